//! Replacing the configuration of a node that runs.

use alderstile::settings::{SettingValues, SettingsError};
use alderstile::types::BalancerSettings;
use serde_json::{Map, Value};

use super::values::plain_text;
use super::{Config, ConfigError, without_cached_endpoints};

/// Keys that count from the next start on, whatever a reload says.
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
/// Keys of a class that depend on its semantics, so that a new class may lack them.
const KEYS_BY_SEMANTICS: [&str; 2] = ["window", "group"];

/// A configuration for a node that runs.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// The configuration.
    pub config: Config,
    /// Keys whose new values wait for the next start.
    pub deferred_keys: Vec<&'static str>,
}

impl Config {
    /// The configuration that replaces this one. Each key that this one's file has the new one must have too: a default
    /// would hide a lost key.
    ///
    /// # Errors
    ///
    /// A key is missing or has a value that can't be used.
    pub fn reloaded(&self, value: Value) -> Result<ReloadedConfig, ConfigError> {
        if !value.is_object() {
            let whole = plain_text(&value);
            return Err(SettingValues::new("", []).invalid("(the whole file)", &whole, "an object").into());
        }
        if let Some(key) = first_missing_key(&self.source, &value) {
            return Err(SettingsError::MissingKey(key).into());
        }
        let source = without_cached_endpoints(value.clone());
        // Keys that can't change are checked all the same.
        let new = Self::parse(value)?;
        let is_deferred = |key: &&str| value_at(&self.source, key) != value_at(&source, key);
        let deferred_keys = FIXED_KEYS.into_iter().filter(is_deferred).collect();
        let config = Config { source, ..self.with_new_settings(new) };
        Ok(ReloadedConfig { config, deferred_keys })
    }

    /// This configuration with the values of another one that may change while the node runs.
    fn with_new_settings(&self, new: Config) -> Self {
        let mut classes = self.classes.clone();
        classes.extend(new.classes.iter().filter(|class| !self.classes.contains(class)).cloned());
        let retired = classes.iter().filter(|class| !new.classes.contains(class)).cloned().collect();
        let renumbered = |settings: BalancerSettings, old: &BalancerSettings| {
            let settings = with_classes_numbered(settings, &new.classes, &classes, old);
            BalancerSettings { zone: old.zone, ..settings }
        };
        // A retired class is watched by the settings that the shadow instance, or this one, has of it.
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

/// The settings with their classes in the order of `numbered`; a class that `names` lacks keeps its old settings.
fn with_classes_numbered(
    settings: BalancerSettings,
    names: &[String],
    numbered: &[String],
    old: &BalancerSettings,
) -> BalancerSettings {
    let class_settings = |(number, class): (usize, &String)| {
        let place = names.iter().position(|name| name == class);
        place.map_or_else(|| &old.classes[number], |place| &settings.classes[place]).clone()
    };
    let classes = numbered.iter().enumerate().map(class_settings).collect();
    BalancerSettings { classes, ..settings }
}

/// The value at a path of keys joined by points.
fn value_at(value: &Value, path: &str) -> Option<Value> {
    path.split('.').try_fold(value.clone(), |value, key| value.get(key).cloned())
}

/// The path of the first key of the old values that the new ones lack. Classes are compared with those of the same name,
/// and may vanish; other lists are values.
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

/// A new class needs the keys that all old ones have, but for those that depend on its semantics.
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
