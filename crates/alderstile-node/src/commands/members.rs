//! `members`: shows the members of the cluster, as a running node sees them.

use std::net::SocketAddr;

use super::{CommandError, Files};
use crate::admin::client;

/// The text to print: a table, or the node's answer as it is.
///
/// # Errors
///
/// No node is named, or it can't be asked.
pub fn run(files: Files<'_>, admin: Option<SocketAddr>, json: bool) -> Result<String, CommandError> {
    let admin = files.admin_address(admin)?;
    let answer = client::get(admin, "/members").map_err(|error| CommandError::Members { admin, error })?;
    if json {
        return Ok(answer + "\n");
    }
    client::members_table(&answer).map_err(|error| CommandError::MembersAnswer { admin, error })
}
