//! The subcommands of the program, and the errors with which they end.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::admin::client;
use crate::config::{ClusterConfig, ClusterConfigError, Config, ConfigError};
use crate::control::replicated_config::client::CallError;
use crate::control::replicated_config::document::DocumentError;
use crate::control::replicated_config::store::StoreError;

pub mod check_config;
pub mod members;
pub mod serve;
pub mod settings;

/// The files that the command line names.
#[derive(Clone, Copy, Debug)]
pub struct Files<'a> {
    /// The configuration; without, the environment names it.
    pub config: Option<&'a Path>,
    /// The cluster's file.
    pub cluster: Option<&'a Path>,
}

impl Files<'_> {
    fn load_config(&self) -> Result<Config, ConfigError> {
        Config::load(self.config, env)
    }

    fn load_cluster(&self) -> Result<Option<ClusterConfig>, ClusterConfigError> {
        self.cluster.map(ClusterConfig::load).transpose()
    }

    /// The address of a node's admin server: the one that is named, or the configuration's.
    fn admin_address(&self, named: Option<SocketAddr>) -> Result<SocketAddr, CommandError> {
        match named {
            Some(address) => Ok(address),
            None => self.load_config()?.admin_addr.ok_or(CommandError::NoAdminAddress),
        }
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The cluster's file can't be used.
    #[error(transparent)]
    ClusterConfig(#[from] ClusterConfigError),
    /// Neither the command line nor the configuration names an admin server.
    #[error("where? name the operators' address with --admin")]
    NoAdminAddress,
    /// The members can't be read from a node.
    #[error("{admin}: {error}")]
    Members {
        /// The node's admin server.
        admin: SocketAddr,
        /// Why.
        error: client::CallError,
    },
    /// A node's answer is not JSON.
    #[error("{admin}: {error}")]
    MembersAnswer {
        /// The node's admin server.
        admin: SocketAddr,
        /// Why.
        error: serde_json::Error,
    },
    /// The replicated configuration can't be read from a node.
    #[error(transparent)]
    ReplicatedConfig(#[from] CallError),
    /// The replicated configuration can't be shown.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A document can't be read.
    #[error("{}: {error}", .file.display())]
    DocumentFile {
        /// The document's file.
        file: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A document can't be used.
    #[error("{}: {error}", .file.display())]
    Document {
        /// The document's file.
        file: PathBuf,
        /// Why.
        error: DocumentError,
    },
    /// A proposal was rejected, or nothing was heard of it.
    #[error("{}: {error}", .file.display())]
    Proposal {
        /// The document's file.
        file: PathBuf,
        /// Why.
        error: CallError,
    },
    /// The cluster's file has no table for the replicated configuration.
    #[error("the cluster's file has no [control]; name it with --cluster")]
    NoReplication,
    /// This node has no vote on the replicated configuration.
    #[error("{0}: this node is none of control.voters")]
    NotAVoter(SocketAddr),
    /// A voter's state is not written over.
    #[error("{}: is there already, and stays as it is", .0.display())]
    VoterStateExists(PathBuf),
    /// A voter's state can't be written.
    #[error(transparent)]
    VoterStore(#[from] StoreError),
}

impl CommandError {
    /// Whether the input is at fault: the same command would fail again.
    pub fn is_faulty_input(&self) -> bool {
        match self {
            CommandError::ReplicatedConfig(error) | CommandError::Proposal { error, .. } => {
                matches!(error, CallError::Rejected(_))
            }
            CommandError::Members { .. } | CommandError::MembersAnswer { .. } | CommandError::Json(_) => {
                false
            }
            _ => true,
        }
    }
}

fn env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
