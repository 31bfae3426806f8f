//! The document that a cluster agrees on: settings of all nodes alike, and hosts out by hand at all of them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::config::{Config, ConfigError};

/// Keys of the settings that are each node's own.
const OWN: [&str; 2] = ["my_zone", "index"];
/// The most hosts that are out by hand.
const MAX_HOSTS: usize = 1_000;
/// The longest name of a host, bytes.
const MAX_HOST: usize = 200;

/// Why a document can't be agreed on.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// It is not JSON, or a key is unknown, missing or of another kind.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A key has a value that can't be used.
    #[error("the key {0}: {1}")]
    Key(String, String),
    /// The settings can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
}

/// What all nodes of a cluster go by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The settings, as in the configuration's file, but for each node's own keys.
    pub settings: Map<String, Value>,
    /// Hosts that nothing new goes to, whatever discovery lists.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub hosts_out: BTreeSet<String>,
}

impl Document {
    /// Reads a document and checks what can be checked without a node.
    pub fn parse(bytes: &[u8]) -> Result<Self, DocumentError> {
        let document: Document = serde_json::from_slice(bytes)?;
        if let Some(key) = OWN.into_iter().find(|key| document.settings.contains_key(*key)) {
            let what = "each node's own, stays in its file".to_owned();
            return Err(DocumentError::Key(format!("settings.{key}"), what));
        }
        if document.hosts_out.len() > MAX_HOSTS {
            return Err(DocumentError::Key(
                "hosts_out".to_owned(),
                format!("at most {MAX_HOSTS} hosts are wanted"),
            ));
        }
        if let Some(host) = document.hosts_out.iter().find(|host| host.is_empty() || host.len() > MAX_HOST) {
            let what = format!("{host:?}: names of 1 to {MAX_HOST} bytes are wanted");
            return Err(DocumentError::Key("hosts_out".to_owned(), what));
        }
        Ok(document)
    }

    /// A node's file with these settings in place of its own.
    pub fn over(&self, file: &Value) -> Value {
        let mut file = file.clone();
        if let Some(fields) = file.as_object_mut() {
            let before = fields.remove("settings").unwrap_or_default();
            let mut settings = self.settings.clone();
            let own = OWN.into_iter().filter_map(|key| Some((key.to_owned(), before.get(key)?.clone())));
            settings.extend(own);
            fields.insert("settings".to_owned(), Value::Object(settings));
        }
        file
    }

    /// Whether a node that serves by this configuration can go by the document: by the same code as a file at SIGHUP.
    pub fn check(&self, config: &Config) -> Result<(), DocumentError> {
        self.config(config).map(|_| ())
    }

    /// The configuration of a node that goes by the document from now on.
    pub fn config(&self, config: &Config) -> Result<Config, DocumentError> {
        Ok(config.renewed(self.over(&config.told))?.0)
    }

    /// The configuration of a node that has heard of the document before it counts: attempts are limited by the lower number of both.
    pub fn waiting(&self, config: &Config) -> Result<Option<Config>, DocumentError> {
        let place = ["allowed", "max_attempts"];
        let of = |value: &Value| place.iter().try_fold(value.clone(), |value, key| value.get(key).cloned());
        let new = of(&Value::Object(self.settings.clone())).and_then(|most| most.as_u64());
        let mut told = config.told.clone();
        let old = told.get("settings").and_then(of).and_then(|most| most.as_u64());
        if let (Some(new), Some(old)) = (new, old)
            && new < old
            && let Some(most) = told.pointer_mut("/settings/allowed/max_attempts")
        {
            *most = new.into();
            return Ok(Some(config.renewed(told)?.0));
        }
        Ok(None)
    }
}
