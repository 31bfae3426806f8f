//! `check-config`: validates the configuration and the cluster file, and summarizes them.

use super::{CommandError, FilePaths};

/// Validates the files and returns a one-line summary.
///
/// # Errors
///
/// Fails if a file can't be read or is invalid.
pub fn run(files: FilePaths<'_>) -> Result<String, CommandError> {
    let config = files.load_config()?;
    let cluster = files.load_cluster()?;
    let (name, listen, classes) = (&config.name, config.listen, config.classes.len());
    let admin = config.admin_addr.map(|address| format!(", operators at {address}")).unwrap_or_default();
    let shadow = if config.shadow.is_some() { ", a second instance watches" } else { "" };
    let cluster = cluster.map(|cluster| format!(", a member of {} at {}", cluster.name, cluster.listen));
    let cluster = cluster.unwrap_or_default();
    Ok(format!("{name}: listens on {listen}{admin}, {classes} classes{shadow}{cluster}: fine"))
}
