//! Replaces the configuration of a running node.

use alderstile::settings::{SettingValues, SettingsError};
use alderstile::types::BalancerSettings;
use serde_json::{Map, Value};

use super::values::plain_text;
use super::{Config, ConfigError, without_cached_endpoints};

/// Keys whose values are fixed until the next start; a reload defers them.
const FIXED_KEYS: [&str; 10] = [
    "name",
    "listen",
    "admin_addr",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "settings.zones",
    "settings.my_zone",
    "seed",
];
/// Keys of a class that only some values of its key `semantics` require; a new class may omit them.
const KEYS_BY_SEMANTICS: [&str; 2] = ["window", "group"];

/// A configuration that replaces the one of a running node.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// The configuration to apply.
    pub config: Config,
    /// Changed keys whose new values take effect at the next start.
    pub deferred_keys: Vec<&'static str>,
}

impl Config {
    /// Returns the configuration that replaces this one. Each key of the current file must be in the new one
    /// too: otherwise a key lost by mistake would silently fall back to its default.
    ///
    /// # Errors
    ///
    /// Fails if a key is unknown, missing or invalid.
    pub fn reloaded(&self, value: Value) -> Result<ReloadedConfig, ConfigError> {
        if !value.is_object() {
            let text = plain_text(&value);
            return Err(SettingValues::new("", []).invalid("(root)", &text, "an object").into());
        }
        if let Some(key) = first_missing_key(&self.source, &value) {
            return Err(SettingsError::MissingKey(key).into());
        }
        self.adopted(value)
    }

    /// Returns the configuration that replaces this one with a file that the node's other process has
    /// accepted. Keys may be missing that this process's own file has: both processes use their defaults.
    ///
    /// # Errors
    ///
    /// Fails if a key is unknown or invalid, or missing without a default.
    pub fn adopted(&self, value: Value) -> Result<ReloadedConfig, ConfigError> {
        let source = without_cached_endpoints(value.clone());
        // Fixed keys are validated too.
        let new = Self::parse(value)?;
        let is_deferred = |key: &&str| value_at(&self.source, key) != value_at(&source, key);
        let deferred_keys = FIXED_KEYS.into_iter().filter(is_deferred).collect();
        let config = Config { source, ..self.with_new_settings(new) };
        Ok(ReloadedConfig { config, deferred_keys })
    }

    /// Returns this configuration with those values of `new` that may change while the node runs.
    fn with_new_settings(&self, new: Config) -> Self {
        let mut classes = self.classes.clone();
        classes.extend(new.classes.iter().filter(|class| !self.classes.contains(class)).cloned());
        let retired = classes.iter().filter(|class| !new.classes.contains(class)).cloned().collect();
        let renumbered = |settings: BalancerSettings, old: &BalancerSettings| {
            let settings = with_classes_numbered(settings, &new.classes, &classes, old);
            BalancerSettings { zone: old.zone, ..settings }
        };
        // For a retired class, the shadow instance uses the previous shadow's settings, or the active ones if
        // there was none.
        let old_shadow = self.shadow.as_ref().unwrap_or(&self.settings);
        Config {
            settings: renumbered(new.settings.clone(), &self.settings),
            shadow: new.shadow.clone().map(|shadow| renumbered(shadow, old_shadow)),
            discovery: new.discovery,
            shutdown_timeout: new.shutdown_timeout,
            connect_timeout: new.connect_timeout,
            push_drain_grace: new.push_drain_grace,
            classes,
            retired_classes: retired,
            ..self.clone()
        }
    }
}

/// Returns the settings with their classes, named `names`, reordered to `names_by_number`. A class that is
/// not in `names` keeps its old settings.
fn with_classes_numbered(
    settings: BalancerSettings,
    names: &[String],
    names_by_number: &[String],
    old: &BalancerSettings,
) -> BalancerSettings {
    let class_settings = |(number, class): (usize, &String)| {
        let index = names.iter().position(|name| name == class);
        index.map_or_else(|| &old.classes[number], |index| &settings.classes[index]).clone()
    };
    let classes = names_by_number.iter().enumerate().map(class_settings).collect();
    BalancerSettings { classes, ..settings }
}

/// Returns the value at a path of keys joined by dots.
fn value_at(value: &Value, path: &str) -> Option<Value> {
    path.split('.').try_fold(value.clone(), |value, key| value.get(key).cloned())
}

/// Returns the path of the first key that is in the old values but not in the new ones. Classes are compared
/// by name and may be removed; other lists are treated as plain values.
fn first_missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Null, _) => None,
        (_, Value::Null) => Some(String::new()),
        (Value::Object(old), _) => old.iter().find_map(|(key, old)| {
            let rest = first_missing_key(old, new.get(key).unwrap_or(&Value::Null))?;
            Some(joined(key, &rest))
        }),
        (Value::Array(old), Value::Array(new)) => new.iter().find_map(|item| {
            let name = item.get("name")?;
            let missing = match old.iter().find(|old| old.get("name") == Some(name)) {
                Some(old) => first_missing_key(old, item),
                None => first_missing_common_key(old, item),
            };
            missing.map(|rest| joined(&plain_text(name), &rest))
        }),
        _ => None,
    }
}

/// Returns the first key that all old classes have but a new class lacks, except for
/// [`KEYS_BY_SEMANTICS`].
fn first_missing_common_key(old: &[Value], new: &Value) -> Option<String> {
    let has = |item: &Value, key: &str| item.get(key).is_some_and(|value| !value.is_null());
    let keys = old.first().and_then(Value::as_object).into_iter().flat_map(Map::keys);
    let mut common = keys
        .filter(|key| !KEYS_BY_SEMANTICS.contains(&key.as_str()) && old.iter().all(|item| has(item, key)));
    common.find(|key| !has(new, key)).cloned()
}

fn joined(key: &str, rest: &str) -> String {
    if rest.is_empty() { key.to_owned() } else { format!("{key}.{rest}") }
}
