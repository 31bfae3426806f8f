//! Calls of the operators' commands to a running node: show the replicated configuration, and propose another one.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use super::status::ReplicationStatus;
use crate::admin::client;

/// A proposal of which nothing is heard is sent this often: the same document is the same proposal.
const MAX_PROPOSAL_ATTEMPTS: usize = 5;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The document is rejected, and changes nothing.
    #[error("{0}")]
    Rejected(String),
    /// Nothing was heard of the proposal.
    #[error("no word from a leader: it may still be agreed on; look at `alderstile settings show`")]
    Pending,
    /// The node can't be called.
    #[error("{0}: {1}")]
    Io(SocketAddr, io::Error),
}

/// The status of a node's replica.
///
/// # Errors
/// The node can't be called, or its answer can't be read.
pub fn status(admin: SocketAddr) -> Result<ReplicationStatus, CallError> {
    let text =
        client::get(admin, "/settings").map_err(|error| CallError::Io(admin, io::Error::other(error)))?;
    serde_json::from_str(&text).map_err(|error| CallError::Io(admin, error.into()))
}

/// Proposes a document as the version after `expected_version`; returns its version.
///
/// # Errors
/// The document is rejected, nothing is heard of it, or the node can't be called.
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

/// The version that was committed; none while the proposal is pending.
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
            let what = "the node goes by its own file (no [control] in its cluster's file)";
            Err(CallError::Io(admin, io::Error::other(what)))
        }
        status => Err(CallError::Io(admin, io::Error::other(format!("answered {status}")))),
    }
}
