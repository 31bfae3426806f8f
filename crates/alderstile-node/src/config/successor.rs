//! The configuration of a successor process.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use tracing::warn;

use super::{Config, ConfigError};
use crate::lifecycle::upgrade_state::UpgradeState;

impl Config {
    /// Returns the configuration of a successor: its own file, unless the predecessor would reject it at a
    /// reload. The endpoint list, and unless the file changes it the address of discovery, are the
    /// predecessor's.
    ///
    /// # Errors
    ///
    /// Fails if the predecessor's configuration is invalid.
    pub fn for_successor(
        predecessor: &UpgradeState,
        path: Option<&Path>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let in_force = Self::from_file_value(predecessor.config.clone(), &env)?;
        let own_config = Self::read(path, &env).and_then(|file| {
            in_force.reloaded(file.clone())?;
            Self::from_file_value(file, &env)
        });
        let mut config = own_config.unwrap_or_else(|error| {
            warn!(%error, "configuration file rejected, configuration of predecessor kept");
            in_force.clone()
        });
        // An address that is new in the file applies. Otherwise the predecessor's is more recent than the
        // environment's, which dates from the start.
        config.discovery = match (discovery_of(&in_force.source), discovery_of(&config.source)) {
            (old, Some(new)) if old != Some(new) => new,
            _ => predecessor.discovery.unwrap_or(config.discovery),
        };
        config.cached_endpoints = predecessor.endpoints.clone();
        Ok(config)
    }
}

fn discovery_of(file: &Value) -> Option<SocketAddr> {
    file.get("discovery").and_then(Value::as_str).and_then(|text| text.parse().ok())
}
