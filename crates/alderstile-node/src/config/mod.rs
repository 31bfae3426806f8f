//! The configuration of a node: reads its file, validates it, and replaces it while the node runs.
//!
//! The keys of the file, the environment variables and the keys of the cluster file are part of the
//! operators' interface. Only this module and its submodules map them to fields.

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

/// Descriptors reserved for other uses than client and host connections: runtime, listeners, discovery,
/// gossip, logs.
const BASE_DESCRIPTORS: usize = 24;
/// Maximum number of concurrent connections to the admin server; their descriptors are reserved.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;

/// Keys of the file that an environment variable overrides, each with the variable's name.
const OVERRIDES: [(&str, &str); 4] = [
    ("name", "ROUTER_NAME"),
    ("listen", "ROUTER_LISTEN"),
    ("discovery", "ROUTER_DISCOVERY"),
    ("admin_addr", "ROUTER_ADMIN_ADDR"),
];
/// The key of the cached endpoint list, which is not part of the operators' configuration.
const CACHED_ENDPOINTS_KEY: &str = "known";

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("no configuration file: set --config or ROUTER_CONFIG")]
    NoFile,
    /// The file can't be read.
    #[error("{path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: {error}")]
    Json {
        /// The path of the file.
        path: String,
        /// The cause.
        error: serde_json::Error,
    },
    /// A key is unknown, missing or has an invalid value.
    #[error(transparent)]
    Key(#[from] SettingsError),
    /// The cached endpoint list is malformed.
    #[error("invalid value for key known: {0}")]
    CachedEndpoints(serde_json::Error),
}

/// The validated configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the admin server, if it is enabled.
    pub admin_addr: Option<SocketAddr>,
    /// The directory for files that a process leaves to the node's next one, if any.
    pub state_dir: Option<PathBuf>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// Maximum number of open descriptors: the configured limit, or the system's if that is lower.
    pub max_descriptors: usize,
    /// Maximum memory of the node's processes together, in bytes.
    pub memory_limit: usize,
    /// The address on which gossip of other nodes is received.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all nodes by their numbers, this one included.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all nodes at once.
    pub peer_broadcast: Option<SocketAddr>,
    /// The last known endpoint list.
    pub cached_endpoints: EndpointList,
    /// The address of discovery from which that list is.
    pub cached_endpoints_source: SocketAddr,
    /// The names of the classes by their numbers; a class keeps its number until the process ends.
    pub classes: Vec<String>,
    /// Classes that a later configuration no longer contains; they admit no new requests.
    pub retired_classes: BTreeSet<String>,
    /// The names of the zones by their numbers.
    pub zones: Vec<String>,
    /// Timeout for connecting to a host.
    pub connect_timeout: Duration,
    /// Maximum duration of a graceful shutdown.
    pub shutdown_timeout: Duration,
    /// With pushed endpoint lists: how long a host may still receive new requests after its drain was
    /// announced.
    pub push_drain_grace: Option<Micros>,
    /// The settings of the balancer.
    pub settings: BalancerSettings,
    /// The settings of the shadow instance, if it is enabled.
    pub shadow: Option<BalancerSettings>,
    /// The file as read, without the cached endpoint list.
    pub source: Value,
}

/// What identifies the processes of one node to each other.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The node's name.
    pub name: String,
    /// The directory in which they find each other.
    pub dir: PathBuf,
}

impl Config {
    /// Reads and validates a file; `env` returns the variables that override its keys.
    ///
    /// # Errors
    ///
    /// Fails if no file is named, it can't be read, or a key is missing or invalid.
    pub fn load(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::from_file_value(Self::read(path, &env)?, env)
    }

    /// Reads a file as JSON, by default the one that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Fails if no file is named, it can't be read, or it is not JSON.
    pub fn read(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Result<Value, ConfigError> {
        let path = path.map(Path::to_path_buf).or_else(|| env("ROUTER_CONFIG").map(Into::into));
        let path = path.ok_or(ConfigError::NoFile)?;
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(&path)
            .map_err(|error| ConfigError::File { path: shown.clone(), error })?;
        serde_json::from_str(&text).map_err(|error| ConfigError::Json { path: shown, error })
    }

    /// Validates the content of a file; `env` returns the variables that override its keys.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing or invalid.
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
        // Without an admin server there is no state to leave to the next process.
        let state_dir = config.admin_addr.and_then(|_| env("TMPDIR")).map(PathBuf::from);
        Ok(Config { state_dir, source, ..config })
    }

    /// Returns the identity of a starting process, even if its file is invalid; `None` if it can't find other
    /// processes of its node.
    pub fn identity(path: Option<&Path>, env: impl Fn(&str) -> Option<String>) -> Option<NodeIdentity> {
        let file = Self::read(path, &env).unwrap_or_default();
        let text = |key: &str| file.get(key).and_then(Value::as_str).map(str::to_owned);
        env("ROUTER_ADMIN_ADDR").or_else(|| text("admin_addr"))?;
        let name = env("ROUTER_NAME").or_else(|| text("name"))?;
        Some(NodeIdentity { name, dir: env("TMPDIR")?.into() })
    }

    /// Returns the number of descriptors that are not available to client and host connections.
    pub fn reserved_descriptors(&self) -> usize {
        BASE_DESCRIPTORS + self.admin_addr.map_or(0, |_| MAX_ADMIN_CONNECTIONS)
    }
}

fn without_cached_endpoints(mut file: Value) -> Value {
    if let Some(fields) = file.as_object_mut() {
        fields.remove(CACHED_ENDPOINTS_KEY);
    }
    file
}
