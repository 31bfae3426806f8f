//! A new configuration while the node runs: at SIGHUP the file is read again.
//!
//! It is taken whole or turned down whole. What the node is built round (its addresses, limits, zones and name) waits for
//! the next start.

use std::path::Path;

use tracing::{error, info};

use crate::config::{ClusterConfig, Config};
use crate::node::Node;

/// Reads the file again. A faulty one changes nothing, and its fault is logged. What the environment says of
/// discovery counted for the start: from here on the file's word stands, or a reload could never change it.
pub fn reload(node: &Node, path: Option<&Path>, env: impl Fn(&str) -> Option<String>) {
    let over = |file| match node.admin.replicated_config() {
        Some(control) => control.overlay_file(file),
        None => file,
    };
    match Config::read(path, env).and_then(|file| node.config().renewed(over(file))) {
        Ok((config, waiting)) => {
            let classes = config.classes.len() - config.gone.len();
            info!("reload: taken, {classes} classes, discovery at {}", config.discovery);
            if !waiting.is_empty() {
                info!("reload: waits for the next start: {}", waiting.join(", "));
            }
            if config.shadow.is_some() && node.config().shadow.is_none() {
                info!("reload: waits for the next start: shadow");
            }
            node.renew(config);
            node.clients.count(|counters| counters.configs_applied += 1);
        }
        Err(error) => {
            error!("reload: turned down: {error}; the configuration held goes on");
            node.clients.count(|counters| counters.configs_rejected += 1);
        }
    }
}

/// Reads the cluster's file again, of which only the keys can change while the node runs.
pub fn reload_keys(node: &Node, path: Option<&Path>) {
    let Some((path, cluster)) = path.zip(node.admin.membership()) else { return };
    match ClusterConfig::load(path) {
        Ok(config) => {
            cluster.renew_keys(&config);
            if let (Some(control), Some(config)) = (node.admin.replicated_config(), &config.control) {
                control.set_keys(config);
            }
            info!("reload: the cluster's keys are taken; all else of its file waits for the next start");
        }
        Err(error) => error!("reload: the cluster's file is turned down: {error}; the keys held go on"),
    }
}
