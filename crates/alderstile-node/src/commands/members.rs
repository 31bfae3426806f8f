//! `members`: prints the members of the cluster as a running node sees them.

use std::net::SocketAddr;

use super::{CommandError, FilePaths};
use crate::admin::client;

/// Returns the text to print: a table, or with `json` the node's response unchanged.
///
/// # Errors
///
/// Fails if no admin address is known, or the node can't be reached or returns an error.
pub fn run(files: FilePaths<'_>, admin: Option<SocketAddr>, json: bool) -> Result<String, CommandError> {
    let admin = files.admin_address(admin)?;
    let response = client::get(admin, "/members").map_err(|error| CommandError::Members { admin, error })?;
    if json {
        return Ok(response + "\n");
    }
    client::members_table(&response).map_err(|error| CommandError::MembersResponse { admin, error })
}
