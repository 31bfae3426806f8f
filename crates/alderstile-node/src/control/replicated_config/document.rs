//! The replicated document: the settings that all nodes share, and the hosts that are out of service at all
//! nodes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::config::{Config, ConfigError};

/// Keys of the settings that belong to each node's own file.
const NODE_SPECIFIC_SETTINGS: [&str; 2] = ["my_zone", "index"];
/// JSON pointer to the attempt limit in a configuration file.
const MAX_ATTEMPTS_POINTER: &str = "/settings/allowed/max_attempts";
/// Maximum number of hosts out of service. Bounds the document.
const MAX_HOSTS: usize = 1_000;
/// Maximum length of a host's name, bytes.
const MAX_HOST_NAME: usize = 200;

/// Reason why a document is invalid.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The document is not JSON, or a key is unknown, missing or of the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The document contains a setting that belongs to each node's own file.
    #[error("invalid key settings.{0}: expected only in each node's own file")]
    NodeSetting(&'static str),
    /// The document takes too many hosts out of service.
    #[error("invalid value for key hosts_out: expected at most {MAX_HOSTS} hosts")]
    TooManyHosts,
    /// The name of a host is empty or too long.
    #[error("invalid value for key hosts_out: expected names of 1 to {MAX_HOST_NAME} bytes, found {0:?}")]
    HostName(String),
    /// The settings are invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
}

/// The configuration that all nodes of a cluster share. Its keys are those of the operators' documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The settings, as in a configuration file, except for `my_zone` and `index`, which belong to each
    /// node's own file.
    pub settings: Map<String, Value>,
    /// Hosts that receive no new work, whatever discovery lists.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub hosts_out: BTreeSet<String>,
}

impl ConfigDocument {
    /// Parses a document and runs the checks that need no node.
    ///
    /// # Errors
    /// Returns an error if the document is malformed, contains a node-specific setting, or exceeds a limit on
    /// hosts.
    pub fn parse(bytes: &[u8]) -> Result<Self, DocumentError> {
        let document: ConfigDocument = serde_json::from_slice(bytes)?;
        if let Some(key) = NODE_SPECIFIC_SETTINGS.into_iter().find(|key| document.settings.contains_key(*key))
        {
            return Err(DocumentError::NodeSetting(key));
        }
        if document.hosts_out.len() > MAX_HOSTS {
            return Err(DocumentError::TooManyHosts);
        }
        let is_invalid = |host: &&String| host.is_empty() || host.len() > MAX_HOST_NAME;
        match document.hosts_out.iter().find(is_invalid) {
            Some(host) => Err(DocumentError::HostName(host.clone())),
            None => Ok(document),
        }
    }

    /// Returns a node's file with these settings in place of its own.
    pub fn overlay(&self, file: &Value) -> Value {
        let mut file = file.clone();
        if let Some(fields) = file.as_object_mut() {
            let node_settings = fields.remove("settings").unwrap_or_default();
            let mut settings = self.settings.clone();
            let node_specific = NODE_SPECIFIC_SETTINGS
                .into_iter()
                .filter_map(|key| Some((key.to_owned(), node_settings.get(key)?.clone())));
            settings.extend(node_specific);
            fields.insert("settings".to_owned(), Value::Object(settings));
        }
        file
    }

    /// Checks that a node with this configuration can apply the document, with the code that reads a file at
    /// SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid in combination with the rest of the node's file.
    pub fn validate(&self, config: &Config) -> Result<(), DocumentError> {
        self.config_for(config).map(|_| ())
    }

    /// Returns the configuration of a node that has applied the document.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid in combination with the rest of the node's file.
    pub fn config_for(&self, config: &Config) -> Result<Config, DocumentError> {
        Ok(config.reloaded(self.overlay(&config.source))?.config)
    }

    /// Returns a node's configuration until the document is active, or `None` if it does not change. Other
    /// nodes may activate the document earlier, so the lower of the two attempt limits applies.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid in combination with the rest of the node's file.
    pub fn interim_config(&self, config: &Config) -> Result<Option<Config>, DocumentError> {
        self.interim_file(&config.source).map(|file| Ok(config.reloaded(file)?.config)).transpose()
    }

    /// Returns a file with the document's attempt limit in place of its own, or `None` if the file's is not
    /// higher.
    pub fn interim_file(&self, file: &Value) -> Option<Value> {
        let max_attempts = |file: &Value| file.pointer(MAX_ATTEMPTS_POINTER).and_then(Value::as_u64);
        let new = self.settings.get("allowed").and_then(|allowed| allowed.get("max_attempts"));
        let new = new.and_then(Value::as_u64)?;
        if max_attempts(file)? <= new {
            return None;
        }
        let mut file = file.clone();
        *file.pointer_mut(MAX_ATTEMPTS_POINTER)? = new.into();
        Some(file)
    }
}
