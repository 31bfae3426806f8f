//! `settings`: prints the replicated configuration, proposes a new version, and initializes a voter's state.

use std::net::SocketAddr;
use std::path::PathBuf;

use alderstile_cluster::replicated_config::PersistedState;

use super::{CommandError, FilePaths};
use crate::control::replicated_config::client;
use crate::control::replicated_config::document::ConfigDocument;
use crate::control::replicated_config::store::VoterStore;

/// Returns a node's active version and its document as JSON.
///
/// # Errors
///
/// Fails if no admin address is known, or the node can't be reached or returns an error.
pub fn show(files: FilePaths<'_>, admin: Option<SocketAddr>) -> Result<String, CommandError> {
    let status = client::status(files.admin_address(admin)?)?;
    Ok(serde_json::to_string_pretty(&status)?)
}

/// Proposes a document as the version after `expected_version`, by default after the latest one that the node
/// knows.
///
/// # Errors
///
/// Fails if the document is invalid, the proposal is rejected, or its result is unknown.
pub fn propose(
    files: FilePaths<'_>,
    admin: Option<SocketAddr>,
    file: PathBuf,
    expected_version: Option<u64>,
) -> Result<String, CommandError> {
    let admin = files.admin_address(admin)?;
    let document = read_document(&file)?;
    let expected_version = match expected_version {
        Some(version) => version,
        None => client::status(admin)?.committed_version,
    };
    match client::propose(admin, expected_version, &document) {
        Ok(version) => Ok(format!("version {version}")),
        Err(error) => Err(CommandError::Proposal { file, error }),
    }
}

/// Reads a document and validates it as far as possible without a node.
fn read_document(file: &PathBuf) -> Result<Vec<u8>, CommandError> {
    let document =
        std::fs::read(file).map_err(|error| CommandError::DocumentFile { file: file.clone(), error })?;
    match ConfigDocument::parse(&document) {
        Ok(_) => Ok(document),
        Err(error) => Err(CommandError::Document { file: file.clone(), error }),
    }
}

/// Initializes a voter's state before its very first start; never overwrites an existing one.
///
/// # Errors
///
/// Fails if this node is not a voter, its state exists, or the state can't be written.
pub fn init(files: FilePaths<'_>) -> Result<String, CommandError> {
    let name = files.load_config()?.name;
    let replication = files.load_cluster()?.and_then(|cluster| cluster.replication);
    let replication = replication.ok_or(CommandError::NoReplication)?;
    let (Some(_), Some(dir)) = (replication.settings.local_voter, &replication.state_dir) else {
        return Err(CommandError::NotAVoter(replication.listen));
    };
    let path = VoterStore::path(dir, &name);
    if path.exists() {
        return Err(CommandError::VoterStateExists(path));
    }
    let (store, _) = VoterStore::open(&path, replication.settings.voters_digest())?;
    store.save(&PersistedState::genesis())?;
    Ok(format!("{}: begun", path.display()))
}
