//! Configuration reload on SIGHUP.
//!
//! A file is applied completely or rejected completely. Keys that are fixed while the process runs
//! (the name, the node's own addresses, limits, zones and the seed) take effect at the next start.

use std::cell::Cell;
use std::path::Path;

use serde_json::Value;
use tokio::sync::Notify;
use tracing::{error, info};

use super::state_update::ConfigUpdate;
use crate::clock::MachineTime;
use crate::config::{ClusterConfig, Config, ReloadedConfig};
use crate::node::Node;

/// When the files were read that are in use since a reload, at whichever of the node's processes; 0 before the
/// first reload.
#[derive(Default)]
pub struct ReloadTimes {
    /// When the configuration was read.
    pub config: Cell<MachineTime>,
    /// When the cluster file was read, whose keys are in use.
    pub cluster_keys: Cell<MachineTime>,
    /// Notified when the node's other process has read the cluster file later than this one.
    pub keys_requested: Notify,
}

impl ReloadTimes {
    /// Requests that this process reads the cluster file, if the other process did so at a later time.
    pub fn request_keys(&self, read_at: MachineTime) {
        if read_at > self.cluster_keys.get() {
            self.cluster_keys.set(read_at);
            self.keys_requested.notify_one();
        }
    }
}

/// Reads the configuration file again and applies it. An invalid file changes nothing, and its error is
/// logged.
///
/// The environment overrides the discovery address only at the start. From the first reload on, the file's
/// address applies; otherwise a reload could never change it.
pub fn reload(node: &Node, path: Option<&Path>, env: impl Fn(&str) -> Option<String>) {
    let read_at = MachineTime::now();
    let file = Config::read(path, env).map(|file| with_replicated_settings(node, file));
    match file.and_then(|file| node.config().reloaded(file)) {
        Ok(reloaded) => {
            log_reload(node, &reloaded);
            node.apply_config(reloaded.config);
            node.reload_times.config.set(read_at);
            node.clients.update_counters(|counters| counters.configs_applied += 1);
        }
        Err(error) => {
            error!(%error, "configuration reload rejected, active configuration kept");
            node.clients.update_counters(|counters| counters.configs_rejected += 1);
        }
    }
}

/// Applies a file that the node's other process has applied at a reload, unless this process has read a newer
/// one. It is not counted as a reload: the other process has counted it.
pub fn apply_update(node: &Node, update: ConfigUpdate) {
    let ConfigUpdate { read_at, file } = update;
    if read_at <= node.reload_times.config.get() {
        return;
    }
    match node.config().adopted(with_replicated_settings(node, file)) {
        Ok(reloaded) => {
            log_reload(node, &reloaded);
            node.apply_config(reloaded.config);
            node.reload_times.config.set(read_at);
        }
        Err(error) => {
            error!(%error, "configuration of the other process rejected, active configuration kept")
        }
    }
}

fn with_replicated_settings(node: &Node, file: Value) -> Value {
    match node.admin.replicated_config() {
        Some(replica) => replica.overlay_file(file),
        None => file,
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

/// Reads the cluster file again. Only its authentication keys can change while the node runs. Returns whether
/// the file's keys are in use.
pub fn reload_keys(node: &Node, path: Option<&Path>) -> bool {
    let Some((path, membership)) = path.zip(node.admin.membership()) else { return false };
    match ClusterConfig::load(path) {
        Ok(config) => {
            membership.set_keys(&config);
            if let (Some(replica), Some(config)) = (node.admin.replicated_config(), &config.replication) {
                replica.set_keys(config);
            }
            info!(
                "authentication keys reloaded, other changes of the cluster file deferred to the next start"
            );
            true
        }
        Err(error) => {
            error!(%error, "cluster file rejected, active authentication keys kept");
            false
        }
    }
}
