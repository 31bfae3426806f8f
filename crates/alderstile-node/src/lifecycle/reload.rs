//! Reloading the configuration at SIGHUP, while the node runs.
//!
//! A file is applied completely or rejected completely. What the node is built round (its addresses, limits, zones and
//! name) waits for the next start.

use std::path::Path;

use tracing::{error, info};

use crate::config::{ClusterConfig, Config, ReloadedConfig};
use crate::node::Node;

/// Reads the file again, and applies it. A faulty one changes nothing, and its fault is logged.
///
/// The environment's discovery address counted for the start: from here on the file's does, or a reload could never
/// change it.
pub fn reload(node: &Node, path: Option<&Path>, env: impl Fn(&str) -> Option<String>) {
    let with_replicated_settings = |file| match node.admin.replicated_config() {
        Some(replica) => replica.overlay_file(file),
        None => file,
    };
    let file = Config::read(path, env).map(with_replicated_settings);
    match file.and_then(|file| node.config().reloaded(file)) {
        Ok(reloaded) => {
            log_reload(node, &reloaded);
            node.apply_config(reloaded.config);
            node.clients.update_counters(|counters| counters.configs_applied += 1);
        }
        Err(error) => {
            error!(%error, "configuration reload rejected, the one in force stays");
            node.clients.update_counters(|counters| counters.configs_rejected += 1);
        }
    }
}

fn log_reload(node: &Node, reloaded: &ReloadedConfig) {
    let config = &reloaded.config;
    let classes = config.classes.len() - config.retired_classes.len();
    info!(classes, discovery = %config.discovery, "configuration reloaded");
    let mut deferred_keys = reloaded.deferred_keys.clone();
    if config.shadow.is_some() && node.config().shadow.is_none() {
        deferred_keys.push("shadow");
    }
    if !deferred_keys.is_empty() {
        info!(keys = %deferred_keys.join(", "), "configuration keys deferred to the next start");
    }
}

/// Reads the cluster's file again, of which only the keys can change while the node runs.
pub fn reload_keys(node: &Node, path: Option<&Path>) {
    let Some((path, membership)) = path.zip(node.admin.membership()) else { return };
    match ClusterConfig::load(path) {
        Ok(config) => {
            membership.set_keys(&config);
            if let (Some(replica), Some(config)) = (node.admin.replicated_config(), &config.replication) {
                replica.set_keys(config);
            }
            info!("cluster keys reloaded, all else of the file is deferred to the next start");
        }
        Err(error) => error!(%error, "cluster file rejected, the keys in force stay"),
    }
}
