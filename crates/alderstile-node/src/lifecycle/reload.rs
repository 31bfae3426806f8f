//! Configuration reload on SIGHUP.
//!
//! A file is applied completely or rejected completely. Keys that are fixed while the process runs
//! (the name, the node's own addresses, limits, zones and the seed) take effect at the next start.

use std::path::Path;

use tracing::{error, info};

use crate::config::{ClusterConfig, Config, ReloadedConfig};
use crate::node::Node;

/// Reads the configuration file again and applies it. An invalid file changes nothing, and its error is
/// logged.
///
/// The environment overrides the discovery address only at the start. From the first reload on, the file's
/// address applies; otherwise a reload could never change it.
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
            error!(%error, "configuration reload rejected, active configuration kept");
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

/// Reads the cluster file again. Only its authentication keys can change while the node runs.
pub fn reload_keys(node: &Node, path: Option<&Path>) {
    let Some((path, membership)) = path.zip(node.admin.membership()) else { return };
    match ClusterConfig::load(path) {
        Ok(config) => {
            membership.set_keys(&config);
            if let (Some(replica), Some(config)) = (node.admin.replicated_config(), &config.replication) {
                replica.set_keys(config);
            }
            info!(
                "authentication keys reloaded, other changes of the cluster file deferred to the next start"
            );
        }
        Err(error) => error!(%error, "cluster file rejected, active authentication keys kept"),
    }
}
