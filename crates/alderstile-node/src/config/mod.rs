//! The configuration of a node: reading its file, checking it, and replacing it while the node runs.
//!
//! The keys of the file, of the environment and of the cluster's file are the operators' words; each is mapped to a
//! field here and in the submodules, and nowhere else.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use alderstile::settings::SettingsError;
use alderstile::types::{BalancerSettings, Micros};
use serde_json::Value;
use thiserror::Error;

use crate::discovery::endpoint_list::EndpointList;

mod active;
mod cluster;
mod parse;
mod reload;
mod shadow;
mod successor;
mod values;

pub use active::ActiveConfig;
pub use cluster::{ClusterConfig, ClusterConfigError, IsolationPolicy, ReplicationConfig, SubsettingConfig};
pub use reload::ReloadedConfig;

/// Descriptors that are no connections of clients or to hosts: the runtime's, the listeners, discovery, gossip, logs.
const OWN_DESCRIPTORS: usize = 24;
/// The most calls of the admin server at once; their descriptors are reserved.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;

/// Environment variables that stand above the file, each with the key that it replaces.
const OVERRIDES: [(&str, &str); 4] = [
    ("name", "ROUTER_NAME"),
    ("listen", "ROUTER_LISTEN"),
    ("discovery", "ROUTER_DISCOVERY"),
    ("admin_addr", "ROUTER_ADMIN_ADDR"),
];
/// The key of the cached endpoint list, which is no part of what the operators configure.
const CACHED_ENDPOINTS_KEY: &str = "known";

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file was named.
    #[error("no configuration: name a file with --config or ROUTER_CONFIG")]
    NoFile,
    /// The file cannot be read.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: {error}")]
    Json {
        /// The file.
        path: String,
        /// Why.
        error: serde_json::Error,
    },
    /// A key is missing or has a value that cannot be used.
    #[error(transparent)]
    Key(#[from] SettingsError),
    /// The cached endpoint list cannot be read.
    #[error("the key known: {0}")]
    CachedEndpoints(serde_json::Error),
}

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the admin server listens, if anywhere.
    pub admin_addr: Option<SocketAddr>,
    /// Where a process leaves files for the next one of this node, if anywhere.
    pub state_dir: Option<PathBuf>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seed of random numbers.
    pub seed: u64,
    /// Descriptors that the node may hold: as the file says, and no more than the system allows.
    pub max_descriptors: usize,
    /// Where gossip of other nodes arrives.
    pub peer_listen: Option<SocketAddr>,
    /// The nodes by their numbers, this one included.
    pub peers: Vec<SocketAddr>,
    /// Reaches all nodes at once.
    pub peer_broadcast: Option<SocketAddr>,
    /// The endpoint list as last known.
    pub cached_endpoints: EndpointList,
    /// The classes by their numbers, which they keep for the process's life.
    pub classes: Vec<String>,
    /// Classes that a later configuration no longer names: they take no new requests.
    pub retired_classes: BTreeSet<String>,
    /// The zones by their numbers.
    pub zones: Vec<String>,
    /// How long a connection to a host may take.
    pub connect_timeout: Duration,
    /// How long a graceful shutdown may take.
    pub shutdown_timeout: Duration,
    /// Where lists are pushed: how long something new may still go to a host after its drain was told.
    pub push_drain_grace: Option<Micros>,
    /// The settings of the decisions.
    pub settings: BalancerSettings,
    /// The settings of a second instance that only watches.
    pub shadow: Option<BalancerSettings>,
    /// The file as it was read, without the cached endpoint list.
    pub source: Value,
}

/// What the processes of one node have in common.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The node's name.
    pub name: String,
    /// The directory where they find each other.
    pub dir: PathBuf,
}

impl Config {
    /// Reads and checks a file; `env` gives the variables that stand above it.
    ///
    /// # Errors
    ///
    /// No file is named, it can't be read, or a key is at fault.
    pub fn load(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::from_file_value(Self::read(path, &env)?, env)
    }

    /// Reads a file; none named means the one that the environment names.
    ///
    /// # Errors
    ///
    /// No file is named, it can't be read, or it is not JSON.
    pub fn read(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Result<Value, ConfigError> {
        let path = path.map(Path::to_path_buf).or_else(|| env("ROUTER_CONFIG").map(Into::into));
        let path = path.ok_or(ConfigError::NoFile)?;
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::File { path: shown.clone(), error })?;
        serde_json::from_str(&text).map_err(|error| ConfigError::Json { path: shown, error })
    }

    /// Checks what a file holds; `env` gives the variables that stand above it.
    ///
    /// # Errors
    ///
    /// A key is missing or has a value that can't be used.
    pub fn from_file_value(
        mut value: Value,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let source = without_cached_endpoints(value.clone());
        for (key, variable) in OVERRIDES {
            if let (Some(fields), Some(text)) = (value.as_object_mut(), env(variable)) {
                fields.insert(key.to_owned(), Value::String(text));
            }
        }
        let config = Self::parse(value)?;
        // Without an admin server there is nothing to leave.
        let state_dir = config.admin_addr.and_then(|_| env("TMPDIR")).map(PathBuf::from);
        Ok(Config { state_dir, source, ..config })
    }

    /// Who a starting process is, also where its file can't be used; none where it can't find others of its node.
    pub fn identity(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Option<NodeIdentity> {
        let file = Self::read(path, &env).unwrap_or_default();
        let text = |key: &str| file.get(key).and_then(Value::as_str).map(str::to_owned);
        env("ROUTER_ADMIN_ADDR").or_else(|| text("admin_addr"))?;
        let name = env("ROUTER_NAME").or_else(|| text("name"))?;
        Some(NodeIdentity { name, dir: env("TMPDIR")?.into() })
    }

    /// Descriptors that are reserved for the node itself.
    pub fn reserved_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.admin_addr.map_or(0, |_| MAX_ADMIN_CONNECTIONS)
    }
}

fn without_cached_endpoints(mut file: Value) -> Value {
    if let Some(fields) = file.as_object_mut() {
        fields.remove(CACHED_ENDPOINTS_KEY);
    }
    file
}
