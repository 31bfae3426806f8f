//! What operators said of hosts, kept on disk for the next process of this node.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use alderstile::balancer::Balancer;
use alderstile::types::{Micros, ServerId};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

/// The form of the file; another one is not read.
const VERSION: u32 = 1;
/// A host that came back longer ago than this is as any other: far above any warm-up.
const FORGOTTEN: Micros = Micros::from_millis(3_600_000);

/// Where a host stands by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stand {
    /// Out.
    Out,
    /// Put back then, in microseconds of the node's clock.
    Back(u64),
}

impl Stand {
    /// Tells the decisions.
    pub fn apply(self, balancer: &mut Balancer, now: Micros, host: ServerId) {
        match self {
            Stand::Out => balancer.begin_maintenance(now, host),
            Stand::Back(since) => {
                balancer.begin_maintenance(now, host);
                balancer.end_maintenance(now, host, Micros(since));
            }
        }
    }
}

/// Where hosts stand that operators have named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    version: u32,
    hosts: BTreeMap<String, Stand>,
}

impl Kept {
    /// The hosts, and where they stand.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, Stand)> {
        self.hosts.iter().map(|(host, stand)| (host.as_str(), *stand))
    }

    /// A host stands elsewhere from now on.
    pub fn set(&mut self, host: &str, stand: Stand, now: Micros) {
        self.hosts.retain(|_, stand| !matches!(stand, Stand::Back(at) if Micros(*at) + FORGOTTEN < now));
        self.hosts.insert(host.to_owned(), stand);
    }

    /// What the process before this one left; nothing where there is none. What can't be read is set aside: a host that
    /// stays out for a damaged file would be as wrong as one that is used for it, but the operators see the line.
    pub fn load(dir: &Path, name: &str) -> Self {
        let path = path(dir, name);
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Kept::default(),
            Err(error) => {
                warn!("hosts out by hand: {}: {error}; none is taken to be out", path.display());
                return Kept::default();
            }
        };
        match serde_json::from_slice::<Kept>(&text) {
            Ok(kept) if kept.version == VERSION => {
                let out = kept.hosts.values().filter(|stand| **stand == Stand::Out).count();
                info!("hosts out by hand: {out}, as left by the process before");
                kept
            }
            read => {
                let why =
                    read.map_or_else(|error| error.to_string(), |kept| format!("version {}", kept.version));
                let aside = path.with_extension("damaged");
                let moved = std::fs::rename(&path, &aside);
                warn!("hosts out by hand: {}: {why}; none is taken to be out", path.display());
                if let Err(error) = moved {
                    warn!("hosts out by hand: {}: {error}", aside.display());
                }
                Kept::default()
            }
        }
    }

    /// Leaves it for the next process: written whole, then put in its place.
    pub fn save(&self, dir: &Path, name: &str) -> io::Result<()> {
        let (path, whole) = (path(dir, name), Kept { version: VERSION, ..self.clone() });
        // Two processes of one node may write at once.
        let new = path.with_extension(format!("new-{}", std::process::id()));
        std::fs::write(&new, serde_json::to_vec(&whole)?)?;
        std::fs::rename(&new, &path)
    }
}

fn path(dir: &Path, name: &str) -> PathBuf {
    file(dir, name, "hosts.json")
}

/// A file of the node of that name; a name may hold what no file's may.
pub fn file(dir: &Path, name: &str, kind: &str) -> PathBuf {
    let name = percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC);
    dir.join(format!("alderstile-{name}.{kind}"))
}
