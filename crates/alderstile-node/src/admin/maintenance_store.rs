//! Hosts that operators took out of service or put back, kept on disk for the next process of this node.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use alderstile::balancer::Balancer;
use alderstile::types::{Micros, ServerId};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tracing::{info, warn};

use crate::state_file;

/// The version of the file's format; a file of another one is not read.
const FORMAT_VERSION: u32 = 1;
/// A host that returned longer ago is an ordinary one again, and its entry goes: far above any warm-up.
const RETURN_REMEMBERED: Micros = Micros::from_millis(3_600_000);

/// What an operator decided about a host. The names in the file and between processes are the operators' words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MaintenanceState {
    /// Nothing new goes to it.
    #[serde(rename = "out")]
    OutOfService,
    /// It was put back at this time, in microseconds of the node's clock; it warms up from then on.
    #[serde(rename = "back")]
    ReturnedAt(u64),
}

impl MaintenanceState {
    /// Tells the decisions.
    pub fn apply(self, balancer: &mut Balancer, now: Micros, host: ServerId) {
        match self {
            MaintenanceState::OutOfService => balancer.begin_maintenance(now, host),
            MaintenanceState::ReturnedAt(since) => {
                balancer.begin_maintenance(now, host);
                balancer.end_maintenance(now, host, Micros(since));
            }
        }
    }

    /// Whether a host returned so long ago that its entry is of no more use.
    fn is_obsolete(self, now: Micros) -> bool {
        matches!(self, MaintenanceState::ReturnedAt(since) if Micros(since) + RETURN_REMEMBERED < now)
    }
}

/// Why a file of an earlier process is not used.
#[derive(Debug, Error)]
enum LoadError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("version {0}")]
    FormatVersion(u32),
}

/// The hosts that operators named, and what they decided about each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceStore {
    #[serde(rename = "version")]
    format_version: u32,
    hosts: BTreeMap<String, MaintenanceState>,
}

impl MaintenanceStore {
    /// The hosts by name, and the state of each.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, MaintenanceState)> {
        self.hosts.iter().map(|(host, state)| (host.as_str(), *state))
    }

    /// Sets a host's state, and forgets hosts that returned long ago.
    pub fn set(&mut self, host: &str, state: MaintenanceState, now: Micros) {
        self.hosts.retain(|_, state| !state.is_obsolete(now));
        self.hosts.insert(host.to_owned(), state);
    }

    /// Reads what an earlier process of the node left; empty where there is nothing.
    ///
    /// A file that can't be read is set aside and logged: keeping a host out for a damaged file would be as wrong as
    /// using it.
    pub fn load(dir: &Path, node_name: &str) -> Self {
        let path = file_path(dir, node_name);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return MaintenanceStore::default(),
            Err(error) => {
                warn!(path = %path.display(), %error, "maintenance file not readable, all hosts in service");
                return MaintenanceStore::default();
            }
        };
        match MaintenanceStore::decode(&bytes) {
            Ok(store) => {
                let out = store.hosts.values().filter(|state| **state == MaintenanceState::OutOfService);
                info!(hosts_out = out.count(), "maintenance file loaded");
                store
            }
            Err(error) => {
                warn!(path = %path.display(), %error, "maintenance file damaged, all hosts in service");
                set_aside(&path);
                MaintenanceStore::default()
            }
        }
    }

    fn decode(bytes: &[u8]) -> Result<Self, LoadError> {
        let store: MaintenanceStore = serde_json::from_slice(bytes)?;
        match store.format_version {
            FORMAT_VERSION => Ok(store),
            other => Err(LoadError::FormatVersion(other)),
        }
    }

    /// Writes the file for the next process: beside the old one, then in its place, so that no reader sees half of it.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn save(&self, dir: &Path, node_name: &str) -> io::Result<()> {
        let path = file_path(dir, node_name);
        let complete = MaintenanceStore { format_version: FORMAT_VERSION, ..self.clone() };
        // Two processes of one node may write at once.
        let temporary = path.with_extension(format!("new-{}", std::process::id()));
        std::fs::write(&temporary, serde_json::to_vec(&complete)?)?;
        std::fs::rename(&temporary, &path)
    }
}

fn set_aside(path: &Path) {
    let aside = path.with_extension("damaged");
    if let Err(error) = std::fs::rename(path, &aside) {
        warn!(path = %aside.display(), %error, "damaged maintenance file not set aside");
    }
}

fn file_path(dir: &Path, node_name: &str) -> PathBuf {
    state_file::path(dir, node_name, "hosts.json")
}
