//! A new configuration while the node runs: at SIGHUP the file is read again.
//!
//! Where discovery is counts at once. All else that the file says is what the node was built round, and counts from
//! the next start.

use std::path::Path;

use log::{error, info};

use crate::config::Config;
use crate::node::Node;

/// Reads the file again. A faulty one changes nothing, and its fault is logged. What the environment says of
/// discovery counted for the start: from here on the file's word stands, or a reload could never change it.
pub fn reload(node: &Node, path: Option<&Path>, env: impl Fn(&str) -> Option<String>) {
    let env = |name: &str| if name == "ROUTER_DISCOVERY" { None } else { env(name) };
    match Config::load(path, env) {
        Ok(config) if config.discovery == node.discovery() => info!("reload: discovery is where it was"),
        Ok(config) => {
            info!("reload: discovery is at {}", config.discovery);
            node.move_discovery(config.discovery);
        }
        Err(error) => error!("reload: {error}; the configuration held goes on"),
    }
}
