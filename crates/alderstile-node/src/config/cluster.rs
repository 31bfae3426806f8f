//! The cluster file (TOML): seeds, authentication keys, host subsets and the replicated configuration.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use alderstile::types::Micros;
use alderstile_cluster::authentication::{MAX_CLUSTER_NAME_BYTES, MIN_KEY_BYTES};
use alderstile_cluster::membership::{DatagramCodec, MembershipConfig};
use alderstile_cluster::replicated_config;
use serde::Deserialize;
use thiserror::Error;

/// Maximum number of hosts in a node's subset, and of nodes that use a host.
const MAX_SUBSET_SIZE: usize = 10_000;
/// Minimum lease, in heartbeats. It covers one heartbeat, the timeout after which a node changes its upstream
/// (the node that sends it announcements), and one lost message.
const MIN_LEASE_HEARTBEATS: f64 = 5.0;
/// Maximum retention of an added host and maximum lease, in seconds.
const MAX_DURATION_S: f64 = 3_600.0;
/// Default period of the membership protocol, in milliseconds.
const DEFAULT_PERIOD_MS: u64 = 1_000;
/// Maximum number of authentication keys: two while one replaces the other.
const MAX_KEYS: usize = 2;

/// Why a cluster file is rejected.
#[derive(Debug, Error)]
pub enum ClusterConfigError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("{path}: {error}")]
    Toml {
        /// The path of the file.
        path: String,
        /// The cause.
        error: toml::de::Error,
    },
    /// A key has an invalid value.
    #[error("{path}: invalid value for key {key}: {message}")]
    Key {
        /// The path of the file.
        path: String,
        /// The path of the key.
        key: String,
        /// What was expected and found.
        message: String,
    },
}

/// A key with an invalid value.
struct InvalidKey {
    key: String,
    message: String,
}

impl InvalidKey {
    fn new(key: impl Into<String>, message: impl Into<String>) -> Self {
        InvalidKey { key: key.into(), message: message.into() }
    }
}

/// The cluster file as written; its keys are part of the operators' interface.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClusterFile {
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
    cut_off: Option<IsolationPolicy>,
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

/// What a node does while it is isolated: its lease expired before any source confirmed the latest version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum IsolationPolicy {
    /// The node continues to serve with the configuration that it has.
    #[default]
    #[serde(rename = "go-on")]
    KeepServing,
    /// The node reports that it is not ready and admits no new clients.
    #[serde(rename = "refuse")]
    StopAdmitting,
}

/// The settings of a node's replica of the configuration.
#[derive(Clone)]
pub struct ReplicationConfig {
    /// The UDP address on which this node receives versions.
    pub listen: SocketAddr,
    /// Encodes and authenticates replication datagrams.
    pub codec: replicated_config::DatagramCodec,
    /// The settings of the replication protocol.
    pub settings: replicated_config::ReplicationSettings,
    /// The directory in which a voter stores its state.
    pub state_dir: Option<PathBuf>,
    /// What this node does while it is isolated.
    pub when_isolated: IsolationPolicy,
}

/// The sizes and rules by which each node uses a subset of the hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsettingConfig {
    /// The number of hosts that a node uses.
    pub hosts_per_node: usize,
    /// The minimum number of nodes that use a host.
    pub nodes_per_host: usize,
    /// Whether hosts of the node's own zone are preferred.
    pub prefer_own_zone: bool,
    /// How long an added host is retained after it was last needed.
    pub added_host_retention: Micros,
}

/// The configuration of a member of a cluster.
#[derive(Clone)]
pub struct ClusterConfig {
    /// The cluster's name.
    pub name: String,
    /// The UDP address on which this member receives datagrams.
    pub listen: SocketAddr,
    /// The UDP address that is advertised to other members.
    pub advertise: SocketAddr,
    /// Members that are contacted to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Encodes and authenticates membership datagrams.
    pub codec: DatagramCodec,
    /// The settings of the membership protocol.
    pub settings: MembershipConfig,
    /// How hosts are divided into subsets; each node uses all hosts if this is not set.
    pub subsetting: Option<SubsettingConfig>,
    /// The replicated configuration; each node uses its own file if this is not set.
    pub replication: Option<ReplicationConfig>,
}

impl ClusterConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not TOML, or a key is unknown, missing or invalid.
    pub fn load(path: &Path) -> Result<Self, ClusterConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ClusterConfigError::File { path: shown.clone(), error })?;
        Self::parse(&shown, &text)
    }

    /// Parses and validates the text of a file; errors name it as `path`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML, or a key is unknown, missing or invalid.
    pub fn parse(path: &str, text: &str) -> Result<Self, ClusterConfigError> {
        let file: ClusterFile = toml::from_str(text)
            .map_err(|error| ClusterConfigError::Toml { path: path.to_owned(), error })?;
        Self::from_file(file).map_err(|InvalidKey { key, message }| ClusterConfigError::Key {
            path: path.to_owned(),
            key,
            message,
        })
    }

    fn from_file(file: ClusterFile) -> Result<Self, InvalidKey> {
        if file.name.is_empty() || file.name.len() > MAX_CLUSTER_NAME_BYTES {
            return Err(InvalidKey::new(
                "name",
                format!("expected 1 to {MAX_CLUSTER_NAME_BYTES} bytes, found {}", file.name.len()),
            ));
        }
        let keys = parse_keys(&file.keys)?;
        check_port("listen", file.listen)?;
        let settings = parse_membership(&file)?;
        let codec = DatagramCodec::new(&file.name, &keys).map_err(|_| rejected_keys())?;
        let advertise = file.advertise.unwrap_or(file.listen);
        if !is_reachable(advertise) {
            return Err(unreachable_address("advertise", advertise));
        }
        let subsetting = file.subsets.map(parse_subsets).transpose()?;
        let replication_codec = replicated_config::DatagramCodec::new(&file.name, &keys);
        let replication_codec = replication_codec.map_err(|_| rejected_keys())?;
        let replication = file.control.map(|table| parse_control(table, replication_codec)).transpose()?;
        Ok(ClusterConfig {
            name: file.name,
            listen: file.listen,
            advertise,
            seeds: file.seeds,
            codec,
            settings,
            subsetting,
            replication,
        })
    }
}

fn parse_keys(texts: &[String]) -> Result<Vec<Vec<u8>>, InvalidKey> {
    let mut keys = Vec::new();
    for (i, text) in texts.iter().enumerate() {
        let key = hex::decode(text).ok().filter(|key| key.len() >= MIN_KEY_BYTES);
        let digits = 2 * MIN_KEY_BYTES;
        let invalid = || {
            InvalidKey::new(format!("keys[{i}]"), format!("expected at least {digits} hexadecimal digits"))
        };
        keys.push(key.ok_or_else(invalid)?);
    }
    if keys.is_empty() || keys.len() > MAX_KEYS {
        return Err(InvalidKey::new("keys", "expected one key, or two while one replaces the other"));
    }
    Ok(keys)
}

fn rejected_keys() -> InvalidKey {
    InvalidKey::new("keys", "rejected by the datagram codec")
}

fn check_port(key: &str, address: SocketAddr) -> Result<(), InvalidKey> {
    if address.port() == 0 {
        return Err(InvalidKey::new(key, "expected a port other than 0, so that other nodes can reach it"));
    }
    Ok(())
}

fn is_reachable(address: SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}

fn unreachable_address(key: impl Into<String>, address: SocketAddr) -> InvalidKey {
    InvalidKey::new(
        key,
        format!("expected an address and a port that other nodes can reach, found {address}"),
    )
}

fn parse_membership(file: &ClusterFile) -> Result<MembershipConfig, InvalidKey> {
    let period_ms = file.period_ms.unwrap_or(DEFAULT_PERIOD_MS);
    if !(50..=60_000).contains(&period_ms) {
        return Err(InvalidKey::new("period_ms", format!("expected 50 to 60000, found {period_ms}")));
    }
    let mut settings = MembershipConfig::with_period(Micros::from_millis(period_ms));
    settings.suspicion_multiplier = file.suspicion.unwrap_or(settings.suspicion_multiplier);
    if !(1.0..=100.0).contains(&settings.suspicion_multiplier) {
        let suspicion = settings.suspicion_multiplier;
        return Err(InvalidKey::new("suspicion", format!("expected 1 to 100, found {suspicion}")));
    }
    Ok(settings)
}

fn parse_subsets(table: SubsetsTable) -> Result<SubsettingConfig, InvalidKey> {
    for (key, value) in [("subsets.size", table.size), ("subsets.users", table.users)] {
        if !(1..=MAX_SUBSET_SIZE).contains(&value) {
            return Err(InvalidKey::new(key, format!("expected 1 to {MAX_SUBSET_SIZE}, found {value}")));
        }
    }
    if !(1.0..=MAX_DURATION_S).contains(&table.hold_s) {
        let message = format!("expected 1 to {MAX_DURATION_S} seconds, found {}", table.hold_s);
        return Err(InvalidKey::new("subsets.hold_s", message));
    }
    Ok(SubsettingConfig {
        hosts_per_node: table.size,
        nodes_per_host: table.users,
        prefer_own_zone: table.zones_first,
        added_host_retention: Micros((table.hold_s * 1e6) as u64),
    })
}

fn parse_control(
    table: ControlTable,
    codec: replicated_config::DatagramCodec,
) -> Result<ReplicationConfig, InvalidKey> {
    check_port("control.listen", table.listen)?;
    check_voters(&table.voters)?;
    let position = table.voters.iter().position(|voter| *voter == table.listen);
    let voter = position.and_then(|position| u8::try_from(position).ok());
    if voter.is_some() && table.state_dir.is_none() {
        return Err(InvalidKey::new(
            "control.state_dir",
            "expected a persistent directory for the voter's state",
        ));
    }
    let settings = parse_replication_settings(&table, voter)?;
    Ok(ReplicationConfig {
        listen: table.listen,
        codec,
        settings,
        state_dir: table.state_dir,
        when_isolated: table.cut_off.unwrap_or_default(),
    })
}

fn parse_replication_settings(
    table: &ControlTable,
    voter: Option<u8>,
) -> Result<replicated_config::ReplicationSettings, InvalidKey> {
    let mut settings = replicated_config::ReplicationSettings::new(table.voters.clone(), voter);
    if let Some(heartbeat_ms) = table.heartbeat_ms {
        if !(20..=10_000).contains(&heartbeat_ms) {
            let message = format!("expected 20 to 10000, found {heartbeat_ms}");
            return Err(InvalidKey::new("control.heartbeat_ms", message));
        }
        settings.heartbeat = Micros::from_millis(heartbeat_ms);
    }
    settings.lease = parse_lease(table.lease_s, settings.heartbeat)?;
    settings.drift = table.drift.unwrap_or(settings.drift);
    if !(0.0..=0.1).contains(&settings.drift) {
        return Err(InvalidKey::new("control.drift", format!("expected 0 to 0.1, found {}", settings.drift)));
    }
    settings.fanout = table.fanout.unwrap_or(settings.fanout);
    if !(2..=64).contains(&settings.fanout) {
        return Err(InvalidKey::new(
            "control.fanout",
            format!("expected 2 to 64, found {}", settings.fanout),
        ));
    }
    Ok(settings)
}

fn check_voters(voters: &[SocketAddr]) -> Result<(), InvalidKey> {
    let max = replicated_config::MAX_VOTERS;
    if voters.is_empty() || voters.len() > max {
        return Err(InvalidKey::new(
            "control.voters",
            format!("expected 1 to {max} addresses, found {}", voters.len()),
        ));
    }
    for (i, voter) in voters.iter().enumerate() {
        let key = format!("control.voters[{i}]");
        if !is_reachable(*voter) {
            return Err(unreachable_address(key, *voter));
        }
        if voters[..i].contains(voter) {
            return Err(InvalidKey::new(key, format!("duplicate address {voter}")));
        }
    }
    Ok(())
}

/// Parses the lease; defaults to the minimum that the heartbeat allows.
fn parse_lease(lease_s: Option<f64>, heartbeat: Micros) -> Result<Micros, InvalidKey> {
    let min_s = heartbeat.scale(MIN_LEASE_HEARTBEATS).as_secs_f64();
    let lease_s = lease_s.unwrap_or(min_s);
    if !(min_s..=MAX_DURATION_S).contains(&lease_s) {
        let message =
            format!("expected {min_s} (five heartbeats) to {MAX_DURATION_S} seconds, found {lease_s}");
        return Err(InvalidKey::new("control.lease_s", message));
    }
    Ok(Micros((lease_s * 1e6) as u64))
}
