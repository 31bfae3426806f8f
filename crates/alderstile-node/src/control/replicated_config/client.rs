//! Client of the operators' commands: shows a running node's replicated configuration, and proposes another
//! one.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use super::status::ReplicationStatus;
use crate::admin::client;

/// Maximum number of times a proposal without a reply is sent. Proposing the same document again is
/// idempotent.
const MAX_PROPOSAL_ATTEMPTS: usize = 5;

/// Reason why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The document is rejected and changes nothing.
    #[error("{0}")]
    Rejected(String),
    /// No outcome of the proposal was received.
    #[error(
        "no reply from a leader: the proposal may still be committed; check with `alderstile settings show`"
    )]
    Pending,
    /// The node cannot be reached or its response is invalid.
    #[error("{0}: {1}")]
    Io(SocketAddr, io::Error),
}

/// Requests the status of a node's replica.
///
/// # Errors
/// Returns an error if the node cannot be reached or its response cannot be parsed.
pub fn status(admin: SocketAddr) -> Result<ReplicationStatus, CallError> {
    let text =
        client::get(admin, "/settings").map_err(|error| CallError::Io(admin, io::Error::other(error)))?;
    serde_json::from_str(&text).map_err(|error| CallError::Io(admin, error.into()))
}

/// Proposes a document as the version after `expected_version`. Returns the committed version.
///
/// # Errors
/// Returns an error if the document is rejected, no outcome is received, or the node cannot be reached.
pub fn propose(admin: SocketAddr, expected_version: u64, document: &[u8]) -> Result<u64, CallError> {
    let path = format!("/settings/after/{expected_version}");
    for _ in 0..MAX_PROPOSAL_ATTEMPTS {
        let answer = client::post(admin, &path, document).map_err(|error| CallError::Io(admin, error))?;
        if let Some(version) = committed_version(admin, &answer)? {
            return Ok(version);
        }
    }
    Err(CallError::Pending)
}

/// Returns the committed version, or `None` while the proposal is pending.
fn committed_version(admin: SocketAddr, answer: &client::AdminResponse) -> Result<Option<u64>, CallError> {
    let body = answer.body.trim();
    match answer.status {
        200 => match body.parse() {
            Ok(version) => Ok(Some(version)),
            Err(_) => Err(CallError::Io(admin, io::ErrorKind::InvalidData.into())),
        },
        202 => Ok(None),
        409 | 413 => Err(CallError::Rejected(body.to_owned())),
        404 => {
            let reason =
                "configuration replication is disabled at the node: its cluster file has no table [control]";
            Err(CallError::Io(admin, io::Error::other(reason)))
        }
        status => Err(CallError::Io(admin, io::Error::other(format!("unexpected HTTP status {status}")))),
    }
}
