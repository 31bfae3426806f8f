//! The cluster's file (TOML): who the other members are, and what this one goes by.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use alderstile::types::Micros;
use alderstile_cluster::authentication::{MAX_CLUSTER_NAME_BYTES, MIN_KEY_BYTES};
use alderstile_cluster::membership::{DatagramCodec, MembershipConfig};
use alderstile_cluster::replicated_config;
use serde::Deserialize;
use thiserror::Error;

/// No subset is meant to have more hosts, and no host more nodes that it is sure of.
const MOST_HOSTS: usize = 10_000;
/// A lease lasts so many heartbeats at least: one, the patience for the teller, and one lost word.
const LEASE_BEATS: f64 = 5.0;
/// An hour.
const LONGEST_HOLD_S: f64 = 3_600.0;

/// Why a cluster's file can't be used.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// It can't be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// It is not TOML, or a key is unknown, missing or of another kind.
    #[error("{0}: {1}")]
    Toml(String, toml::de::Error),
    /// A key has a value that can't be used.
    #[error("{0}: the key {1}: {2}")]
    Key(String, String, String),
}

/// The file's form.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    keys: Vec<String>,
    period_ms: Option<u64>,
    suspicion: Option<f64>,
    subsets: Option<SubsetsTable>,
    control: Option<ControlTable>,
}

/// The table `[control]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ControlTable {
    listen: SocketAddr,
    voters: Vec<SocketAddr>,
    state_dir: Option<PathBuf>,
    heartbeat_ms: Option<u64>,
    lease_s: Option<f64>,
    drift: Option<f64>,
    fanout: Option<usize>,
    cut_off: Option<CutOff>,
}

/// What a node does that has not heard for the lease's time which version is the latest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOff {
    /// It goes on by what it has.
    #[default]
    GoOn,
    /// It is not ready: takes no new clients.
    Refuse,
}

/// Settings are agreed among the members.
#[derive(Clone)]
pub struct ControlConfig {
    /// Where this node hears of versions, UDP.
    pub listen: SocketAddr,
    /// The cluster's name and keys, on every datagram.
    pub codec: replicated_config::DatagramCodec,
    /// What the core goes by.
    pub settings: replicated_config::ReplicationSettings,
    /// Where a voter keeps its memory.
    pub state_dir: Option<PathBuf>,
    /// What a node does that is cut off.
    pub cut_off: CutOff,
}

/// The table `[subsets]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct SubsetsTable {
    size: usize,
    users: usize,
    zones_first: bool,
    hold_s: f64,
}

impl Default for SubsetsTable {
    fn default() -> Self {
        SubsetsTable { size: 20, users: 4, zones_first: false, hold_s: 30.0 }
    }
}

/// Each node uses a part of the hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subsets {
    /// Hosts that a node uses.
    pub size: usize,
    /// Nodes that use a host, at least.
    pub users: usize,
    /// Hosts of the own zone first.
    pub zones_first: bool,
    /// How long a host that was added is kept after it was last needed.
    pub hold: Micros,
}

/// What the cluster's file says.
#[derive(Clone)]
pub struct ClusterConfig {
    /// The cluster's name.
    pub name: String,
    /// Where datagrams of other members arrive.
    pub listen: SocketAddr,
    /// Where others are told to send them.
    pub advertise: SocketAddr,
    /// Whom a member asks that knows nobody.
    pub seeds: Vec<SocketAddr>,
    /// The cluster's name and keys, on every datagram.
    pub codec: DatagramCodec,
    /// What the members go by.
    pub settings: MembershipConfig,
    /// Each node uses a part of the hosts; all of them where this is not set.
    pub subsets: Option<Subsets>,
    /// Settings are agreed among the members; each node goes by its own file where this is not set.
    pub control: Option<ControlConfig>,
}

impl ClusterConfig {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, ClusterError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ClusterError::File(shown.clone(), error))?;
        Self::parse(&shown, &text)
    }

    /// Checks a text.
    pub fn parse(shown: &str, text: &str) -> Result<Self, ClusterError> {
        let file: File = toml::from_str(text).map_err(|error| ClusterError::Toml(shown.to_owned(), error))?;
        let bad = |key: &str, what: String| ClusterError::Key(shown.to_owned(), key.to_owned(), what);
        if file.name.is_empty() || file.name.len() > MAX_CLUSTER_NAME_BYTES {
            return Err(bad("name", format!("1 to {MAX_CLUSTER_NAME_BYTES} bytes are wanted")));
        }
        let mut keys = Vec::new();
        for (i, key) in file.keys.iter().enumerate() {
            let key = hex::decode(key).ok().filter(|key| key.len() >= MIN_KEY_BYTES);
            let wanted = || {
                bad(
                    &format!("keys[{i}]"),
                    format!("at least {} hexadecimal digits are wanted", 2 * MIN_KEY_BYTES),
                )
            };
            keys.push(key.ok_or_else(wanted)?);
        }
        if keys.is_empty() || keys.len() > 2 {
            return Err(bad(
                "keys",
                "one key is wanted, or two while one takes the other's place".to_owned(),
            ));
        }
        if file.listen.port() == 0 {
            return Err(bad("listen", "a port is wanted that others can know".to_owned()));
        }
        let period_ms = file.period_ms.unwrap_or(1_000);
        if !(50..=60_000).contains(&period_ms) {
            return Err(bad("period_ms", format!("{period_ms}: 50 to 60000 is wanted")));
        }
        let mut settings = MembershipConfig::with_period(Micros::from_millis(period_ms));
        if let Some(suspicion) = file.suspicion {
            if !(1.0..=100.0).contains(&suspicion) {
                return Err(bad("suspicion", format!("{suspicion}: 1 to 100 is wanted")));
            }
            settings.suspicion_multiplier = suspicion;
        }
        let codec =
            DatagramCodec::new(&file.name, &keys).map_err(|_| bad("keys", "can't be used".to_owned()))?;
        let advertise = file.advertise.unwrap_or(file.listen);
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            return Err(bad("advertise", format!("{advertise}: an address is wanted that others can reach")));
        }
        let subsets = match file.subsets {
            None => None,
            Some(table) if !(1..=MOST_HOSTS).contains(&table.size) => {
                return Err(bad("subsets.size", format!("{}: 1 to {MOST_HOSTS} is wanted", table.size)));
            }
            Some(table) if !(1..=MOST_HOSTS).contains(&table.users) => {
                return Err(bad("subsets.users", format!("{}: 1 to {MOST_HOSTS} is wanted", table.users)));
            }
            Some(table) if !(table.hold_s >= 1.0 && table.hold_s <= LONGEST_HOLD_S) => {
                let what = format!("{}: seconds from 1 to {LONGEST_HOLD_S} are wanted", table.hold_s);
                return Err(bad("subsets.hold_s", what));
            }
            Some(SubsetsTable { size, users, zones_first, hold_s }) => {
                Some(Subsets { size, users, zones_first, hold: Micros((hold_s * 1e6) as u64) })
            }
        };
        let replication_codec = || {
            replicated_config::DatagramCodec::new(&file.name, &keys)
                .map_err(|_| bad("keys", "can't be used".to_owned()))
        };
        let control = match file.control {
            None => None,
            Some(table) => Some(control(table, replication_codec()?, bad)?),
        };
        Ok(ClusterConfig {
            control,
            subsets,
            name: file.name,
            listen: file.listen,
            advertise,
            seeds: file.seeds,
            codec,
            settings,
        })
    }
}

/// Checks the table `[control]`.
fn control(
    table: ControlTable,
    codec: replicated_config::DatagramCodec,
    bad: impl Fn(&str, String) -> ClusterError,
) -> Result<ControlConfig, ClusterError> {
    let ControlTable { listen, voters, state_dir, .. } = table;
    let reachable = |address: &SocketAddr| !address.ip().is_unspecified() && address.port() != 0;
    if listen.port() == 0 {
        return Err(bad("control.listen", "a port is wanted that others can know".to_owned()));
    }
    if voters.is_empty() || voters.len() > replicated_config::MAX_VOTERS {
        let what = format!("{}: 1 to {} are wanted", voters.len(), replicated_config::MAX_VOTERS);
        return Err(bad("control.voters", what));
    }
    for (i, voter) in voters.iter().enumerate() {
        if !reachable(voter) {
            let what = format!("{voter}: an address is wanted that others can reach");
            return Err(bad(&format!("control.voters[{i}]"), what));
        }
        if voters[..i].contains(voter) {
            return Err(bad(&format!("control.voters[{i}]"), format!("{voter}: named twice")));
        }
    }
    let me = voters.iter().position(|voter| *voter == listen).and_then(|me| u8::try_from(me).ok());
    if me.is_some() && state_dir.is_none() {
        return Err(bad("control.state_dir", "a voter wants a lasting place for its memory".to_owned()));
    }
    let mut settings = replicated_config::ReplicationSettings::new(voters, me);
    if let Some(heartbeat) = table.heartbeat_ms {
        if !(20..=10_000).contains(&heartbeat) {
            return Err(bad("control.heartbeat_ms", format!("{heartbeat}: 20 to 10000 is wanted")));
        }
        settings.heartbeat = Micros::from_millis(heartbeat);
    }
    let least = settings.heartbeat.scale(LEASE_BEATS);
    let lease = table.lease_s.unwrap_or(least.as_secs_f64());
    if !(lease >= least.as_secs_f64() && lease <= LONGEST_HOLD_S) {
        let what =
            format!("{lease}: {} (five heartbeats) to {LONGEST_HOLD_S} s are wanted", least.as_secs_f64());
        return Err(bad("control.lease_s", what));
    }
    settings.lease = Micros((lease * 1e6) as u64);
    settings.drift = table.drift.unwrap_or(settings.drift);
    if !(0.0..=0.1).contains(&settings.drift) {
        return Err(bad("control.drift", format!("{}: 0 to 0.1 is wanted", settings.drift)));
    }
    settings.fanout = table.fanout.unwrap_or(settings.fanout);
    if !(2..=64).contains(&settings.fanout) {
        return Err(bad("control.fanout", format!("{}: 2 to 64 is wanted", settings.fanout)));
    }
    Ok(ControlConfig { listen, codec, settings, state_dir, cut_off: table.cut_off.unwrap_or_default() })
}
