//! `check-config`: reads and checks the files, and says what they hold.

use super::{CommandError, Files};

/// Checks the files; returns a line that sums them up.
///
/// # Errors
///
/// A file can't be used.
pub fn run(files: Files<'_>) -> Result<String, CommandError> {
    let config = files.load_config()?;
    let cluster = files.load_cluster()?;
    let (name, listen, classes) = (&config.name, config.listen, config.classes.len());
    let admin = config.admin_addr.map(|address| format!(", operators at {address}")).unwrap_or_default();
    let shadow = if config.shadow.is_some() { ", a second instance watches" } else { "" };
    let cluster = cluster.map(|cluster| format!(", a member of {} at {}", cluster.name, cluster.listen));
    let cluster = cluster.unwrap_or_default();
    Ok(format!("{name}: listens on {listen}{admin}, {classes} classes{shadow}{cluster}: fine"))
}
