//! The configuration of a successor process.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use tracing::warn;

use super::{Config, ConfigError};
use crate::lifecycle::upgrade_state::UpgradeState;

impl Config {
    /// Returns the configuration of a successor: that of its own file, or the predecessor's if the
    /// predecessor would reject the file at a reload. The endpoint list is the predecessor's, and so is the
    /// address of discovery unless the file changes it.
    ///
    /// # Errors
    ///
    /// Fails if the predecessor's configuration is invalid.
    pub fn for_successor(
        predecessor: &UpgradeState,
        path: Option<&Path>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let predecessor_config = Self::from_file_value(predecessor.config.clone(), &env)?;
        let own_config = Self::read(path, &env).and_then(|file| {
            predecessor_config.reloaded(file.clone())?;
            Self::from_file_value(file, &env)
        });
        let mut config = own_config.unwrap_or_else(|error| {
            warn!(%error, "configuration file rejected; the predecessor's configuration remains in use");
            predecessor_config.clone()
        });
        // The file's address applies if it differs from that in the predecessor's file. Otherwise the
        // predecessor's current address applies: a reload may have changed it since the environment was set.
        config.discovery = match (discovery_of(&predecessor_config.source), discovery_of(&config.source)) {
            (old, Some(new)) if old != Some(new) => new,
            _ => predecessor.discovery.unwrap_or(config.discovery),
        };
        config.cached_endpoints = predecessor.endpoints.clone();
        let source = predecessor.endpoints_source.or(predecessor.discovery);
        config.cached_endpoints_source = source.unwrap_or(config.discovery);
        Ok(config)
    }
}

fn discovery_of(file: &Value) -> Option<SocketAddr> {
    file.get("discovery").and_then(Value::as_str).and_then(|text| text.parse().ok())
}
