//! The subcommands of the program and their errors.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::admin::client;
use crate::config::{ClusterConfig, ClusterConfigError, Config, ConfigError};
use crate::control::replicated_config::client::CallError;
use crate::control::replicated_config::document::DocumentError;
use crate::control::replicated_config::store::StoreError;

pub mod check_config;
pub mod log;
pub mod members;
pub mod serve;
pub mod settings;

/// The file paths given on the command line.
#[derive(Clone, Copy, Debug)]
pub struct FilePaths<'a> {
    /// The configuration file; if not given, `ROUTER_CONFIG` names it.
    pub config: Option<&'a Path>,
    /// The cluster file.
    pub cluster: Option<&'a Path>,
}

impl FilePaths<'_> {
    fn load_config(&self) -> Result<Config, ConfigError> {
        Config::load(self.config, env)
    }

    fn load_cluster(&self) -> Result<Option<ClusterConfig>, ClusterConfigError> {
        self.cluster.map(ClusterConfig::load).transpose()
    }

    /// Returns the address of a node's admin server: the given one, or the configuration's.
    fn admin_address(&self, given: Option<SocketAddr>) -> Result<SocketAddr, CommandError> {
        match given {
            Some(address) => Ok(address),
            None => self.load_config()?.admin_addr.ok_or(CommandError::NoAdminAddress),
        }
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The cluster file is invalid.
    #[error(transparent)]
    ClusterConfig(#[from] ClusterConfigError),
    /// Neither the command line nor the configuration gives an admin address.
    #[error("no admin address: set --admin, or admin_addr in the configuration")]
    NoAdminAddress,
    /// The members can't be read from a node.
    #[error("{admin}: {error}")]
    Members {
        /// The address of the node's admin server.
        admin: SocketAddr,
        /// The cause.
        error: client::CallError,
    },
    /// A node's response is not JSON.
    #[error("{admin}: {error}")]
    MembersResponse {
        /// The address of the node's admin server.
        admin: SocketAddr,
        /// The cause.
        error: serde_json::Error,
    },
    /// The replicated configuration can't be read from a node.
    #[error(transparent)]
    ReplicatedConfig(#[from] CallError),
    /// The replicated configuration can't be formatted.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A document can't be read.
    #[error("{}: {error}", .file.display())]
    DocumentFile {
        /// The path of the document.
        file: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// A document is invalid.
    #[error("{}: {error}", .file.display())]
    Document {
        /// The path of the document.
        file: PathBuf,
        /// The cause.
        error: DocumentError,
    },
    /// A proposal was rejected, or its result is unknown.
    #[error("{}: {error}", .file.display())]
    Proposal {
        /// The path of the document.
        file: PathBuf,
        /// The cause.
        error: CallError,
    },
    /// The cluster file is not given or has no table for the replicated configuration.
    #[error("no [control] table: set --cluster to a cluster file that has one")]
    NoReplication,
    /// This node is not a voter of the replicated configuration.
    #[error("this node's address {0} is not in control.voters")]
    NotAVoter(SocketAddr),
    /// A voter's state exists and is not overwritten.
    #[error("{}: already exists, not overwritten", .0.display())]
    VoterStateExists(PathBuf),
    /// A voter's state can't be written.
    #[error(transparent)]
    VoterStore(#[from] StoreError),
}

impl CommandError {
    /// Returns whether the input is invalid, so that the same command would fail again.
    pub fn is_invalid_input(&self) -> bool {
        match self {
            CommandError::ReplicatedConfig(error) | CommandError::Proposal { error, .. } => {
                matches!(error, CallError::Rejected(_))
            }
            CommandError::Members { .. } | CommandError::MembersResponse { .. } | CommandError::Json(_) => {
                false
            }
            _ => true,
        }
    }
}

fn env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
