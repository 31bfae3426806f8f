//! The replicated document: the settings that all nodes share, and the hosts that are out at all of them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::config::{Config, ConfigError};

/// Keys of the settings that belong to each node's own file.
const NODE_SETTINGS: [&str; 2] = ["my_zone", "index"];
/// Where the limit of attempts stands in a configuration's file.
const MAX_ATTEMPTS_POINTER: &str = "/settings/allowed/max_attempts";
/// The most hosts that are out: bounds the document.
const MAX_HOSTS: usize = 1_000;
/// The longest name of a host, bytes.
const MAX_HOST_NAME: usize = 200;

/// Why a document can't be used.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// It is not JSON, or a key is unknown, missing or of another kind.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// It holds a setting of each node's own.
    #[error("the key settings.{0}: each node's own, stays in its file")]
    NodeSetting(&'static str),
    /// Too many hosts are out.
    #[error("the key hosts_out: at most {MAX_HOSTS} hosts are wanted")]
    TooManyHosts,
    /// The name of a host is empty or too long.
    #[error("the key hosts_out: {0:?}: names of 1 to {MAX_HOST_NAME} bytes are wanted")]
    HostName(String),
    /// The settings can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
}

/// The configuration that all nodes of a cluster share. Its keys are those of the operators' documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The settings, as in a configuration's file, without `my_zone` and `index`, which are each node's own.
    pub settings: Map<String, Value>,
    /// Hosts that nothing new is sent to, whatever discovery lists.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub hosts_out: BTreeSet<String>,
}

impl ConfigDocument {
    /// Reads a document, and checks what can be checked without a node.
    ///
    /// # Errors
    /// It is in no known form, holds a node's own setting, or its hosts are out of bounds.
    pub fn parse(bytes: &[u8]) -> Result<Self, DocumentError> {
        let document: ConfigDocument = serde_json::from_slice(bytes)?;
        if let Some(key) = NODE_SETTINGS.into_iter().find(|key| document.settings.contains_key(*key)) {
            return Err(DocumentError::NodeSetting(key));
        }
        if document.hosts_out.len() > MAX_HOSTS {
            return Err(DocumentError::TooManyHosts);
        }
        let unusable = |host: &&String| host.is_empty() || host.len() > MAX_HOST_NAME;
        match document.hosts_out.iter().find(unusable) {
            Some(host) => Err(DocumentError::HostName(host.clone())),
            None => Ok(document),
        }
    }

    /// A node's file with these settings in place of its own.
    pub fn overlay(&self, file: &Value) -> Value {
        let mut file = file.clone();
        if let Some(fields) = file.as_object_mut() {
            let before = fields.remove("settings").unwrap_or_default();
            let mut settings = self.settings.clone();
            let own =
                NODE_SETTINGS.into_iter().filter_map(|key| Some((key.to_owned(), before.get(key)?.clone())));
            settings.extend(own);
            fields.insert("settings".to_owned(), Value::Object(settings));
        }
        file
    }

    /// Checks that a node with this configuration can follow the document, by the code that reads a file at SIGHUP.
    ///
    /// # Errors
    /// The settings can't be used with the rest of the node's file.
    pub fn validate(&self, config: &Config) -> Result<(), DocumentError> {
        self.config_for(config).map(|_| ())
    }

    /// The configuration of a node that follows the document.
    ///
    /// # Errors
    /// The settings can't be used with the rest of the node's file.
    pub fn config_for(&self, config: &Config) -> Result<Config, DocumentError> {
        Ok(config.reloaded(self.overlay(&config.source))?.config)
    }

    /// The configuration of a node until the document is active, where that is another one: attempts are limited by the lower number
    /// of the two, whichever version the other nodes follow.
    ///
    /// # Errors
    /// The settings can't be used with the rest of the node's file.
    pub fn interim_config(&self, config: &Config) -> Result<Option<Config>, DocumentError> {
        let max_attempts = |file: &Value| file.pointer(MAX_ATTEMPTS_POINTER).and_then(Value::as_u64);
        let new = self.settings.get("allowed").and_then(|allowed| allowed.get("max_attempts"));
        let (Some(new), Some(old)) = (new.and_then(Value::as_u64), max_attempts(&config.source)) else {
            return Ok(None);
        };
        let mut file = config.source.clone();
        match file.pointer_mut(MAX_ATTEMPTS_POINTER) {
            Some(limit) if new < old => *limit = new.into(),
            _ => return Ok(None),
        }
        Ok(Some(config.reloaded(file)?.config))
    }
}
