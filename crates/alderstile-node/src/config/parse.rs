//! Validates a configuration and applies defaults.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use alderstile::settings::{self, SettingValues, SettingsError, default_if_missing};
use alderstile::types::{BalancerSettings, Micros};
use serde_json::Value;

use super::values::{plain_text, setting_values};
use super::{Config, ConfigError, shadow};
use crate::discovery::endpoint_list::EndpointList;

/// Default limit of the node's open descriptors.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Default limit of the node's memory, MB.
const DEFAULT_MEMORY_MB: usize = 256;
/// Default timeout for connecting to a host.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Default deadline of a request.
const DEFAULT_DEADLINE: Micros = Micros::from_millis(1_000);
/// Upper bound of the request deadline that a shutdown waits for.
const MAX_DEADLINE_AT_SHUTDOWN: Micros = Micros::from_millis(3_000);
/// Time after the longest request deadline at which the platform kills a node.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// Default interval at which the endpoint list must be polled.
const POLL_INTERVAL: Micros = Micros::from_millis(10_000);
/// The same interval for pushed lists. A change that the machine's local agent has counts as received by the
/// node even while no watch is open, so a broken watch must be reopened quickly. Calls at this rate put load
/// on the local agent only.
const POLL_INTERVAL_PUSHED: Micros = Micros::from_millis(200);

/// Default time for which a host may still receive new requests after its drain was announced.
const DEFAULT_DRAIN_GRACE: Micros = Micros::from_millis(500);
/// The part of that time reserved for a line to reach the host.
const DRAIN_GRACE_MARGIN: Micros = Micros::from_millis(100);

const ADDRESS: &str = "an address and a port";

/// The sections of a configuration, which are parsed differently.
struct Sections {
    settings: Value,
    shadow: Option<Value>,
    cached_endpoints: Option<Value>,
    /// All other keys.
    node: Value,
}

impl Sections {
    fn of(mut value: Value) -> Self {
        let mut take = |key: &str| value.as_object_mut().and_then(|fields| fields.remove(key));
        let (settings, shadow, cached_endpoints) = (take("settings"), take("shadow"), take("known"));
        Sections { settings: settings.unwrap_or_default(), shadow, cached_endpoints, node: value }
    }
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Fails if a key is unknown, missing or invalid.
    pub fn parse(value: Value) -> Result<Self, ConfigError> {
        let sections = Sections::of(value);
        check_deadlines_and_attempts(&sections.settings)?;
        let values = setting_values("settings.", &sections.settings);
        let keys = setting_values("", &sections.node);
        let cached_endpoints = parse_cached_endpoints(sections.cached_endpoints)?;
        let classes = parse_class_names(&values)?;
        let longest_deadline = parse_longest_deadline(&values, classes.len())?;
        let settings = settings::parse(&values)?;
        let push_drain_grace = parse_push_drain_grace(&values, &settings)?;
        let settings = adapted_to_subscription(settings);
        let shadow = sections.shadow.map(|section| shadow::parse(section, &values, classes.len()));
        let shadow = shadow.transpose()?.flatten();
        let discovery = keys.read("discovery", ADDRESS)?;
        Ok(Config {
            name: keys.text("name")?.to_owned(),
            listen: keys.read("listen", ADDRESS)?,
            admin_addr: optional_address(&keys, "admin_addr")?,
            state_dir: None,
            discovery,
            seed: parse_seed(&keys)?,
            max_descriptors: parse_max_descriptors(&keys)?,
            memory_limit: parse_memory_limit(&keys)?,
            peer_listen: optional_address(&keys, "peer_listen")?,
            peers: parse_peers(&keys)?,
            peer_broadcast: optional_address(&keys, "peers_all")?,
            cached_endpoints,
            cached_endpoints_source: discovery,
            classes,
            retired_classes: BTreeSet::new(),
            zones: values.list("zones").into_iter().map(str::to_owned).collect(),
            connect_timeout: parse_connect_timeout(&values)?,
            shutdown_timeout: shutdown_timeout(longest_deadline),
            push_drain_grace,
            settings,
            shadow,
            source: Value::Null,
        })
    }
}

fn optional_address(keys: &SettingValues, key: &str) -> Result<Option<SocketAddr>, SettingsError> {
    keys.read(key, ADDRESS).map(Some).or_else(default_if_missing(None))
}

fn parse_peers(keys: &SettingValues) -> Result<Vec<SocketAddr>, SettingsError> {
    let invalid = |text: &str| keys.invalid("peers", text, "addresses and ports");
    keys.list("peers").into_iter().map(|text| text.parse().map_err(|_| invalid(text))).collect()
}

/// Parses the seed; by default it is random at each start.
fn parse_seed(keys: &SettingValues) -> Result<u64, SettingsError> {
    let Ok(text) = keys.text("seed") else {
        return Ok(std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), 0));
    };
    u64::from_str_radix(text, 16).map_err(|_| keys.invalid("seed", text, "at most 16 hexadecimal digits"))
}

fn parse_max_descriptors(keys: &SettingValues) -> Result<usize, SettingsError> {
    let limit = keys.read("limits.sockets", "a whole number");
    Ok(limit.or_else(default_if_missing(DEFAULT_MAX_DESCRIPTORS))?.min(system_max_descriptors()))
}

fn parse_memory_limit(keys: &SettingValues) -> Result<usize, SettingsError> {
    let megabytes = keys.read("limits.memory_mb", "a whole number");
    Ok(megabytes.or_else(default_if_missing(DEFAULT_MEMORY_MB))?.saturating_mul(1 << 20))
}

/// Returns the system's descriptor limit for this process. With a higher configured limit, the node's
/// reserved descriptors would not be available.
fn system_max_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

fn parse_cached_endpoints(section: Option<Value>) -> Result<EndpointList, ConfigError> {
    let list = section.map(EndpointList::from_value).transpose();
    Ok(list.map_err(ConfigError::CachedEndpoints)?.unwrap_or_default())
}

fn parse_class_names(values: &SettingValues) -> Result<Vec<String>, SettingsError> {
    let count: u16 = values.read("classes.count", "a list of classes")?;
    let names = (0..count).map(|i| values.text(&format!("classes.{i}.name")).map(str::to_owned));
    let names = names.collect::<Result<Vec<_>, _>>()?;
    match (1..names.len()).find(|i| names[..*i].contains(&names[*i])) {
        None => Ok(names),
        Some(duplicate) => {
            Err(values.invalid(&format!("classes.{duplicate}.name"), &names[duplicate], "a unique name"))
        }
    }
}

fn parse_longest_deadline(values: &SettingValues, class_count: usize) -> Result<Micros, SettingsError> {
    let deadline = |i| {
        let deadline = values.micros(&format!("classes.{i}.give_up"));
        deadline.or_else(default_if_missing(DEFAULT_DEADLINE))
    };
    let deadlines = (0..class_count).map(deadline).collect::<Result<Vec<_>, _>>()?;
    Ok(deadlines.into_iter().max().unwrap_or(DEFAULT_DEADLINE))
}

fn shutdown_timeout(longest_deadline: Micros) -> Duration {
    Duration::from_micros(longest_deadline.0.min(MAX_DEADLINE_AT_SHUTDOWN.0)) + SHUTDOWN_MARGIN
}

fn parse_connect_timeout(values: &SettingValues) -> Result<Duration, SettingsError> {
    let timeout = values.micros("allowed.connect_timeout").map(|span| Duration::from_micros(span.0));
    timeout.or_else(default_if_missing(DEFAULT_CONNECT_TIMEOUT))
}

fn parse_push_drain_grace(
    values: &SettingValues,
    settings: &BalancerSettings,
) -> Result<Option<Micros>, SettingsError> {
    let grace = values.micros("obligations.stop_sending_within");
    let grace = grace.or_else(default_if_missing(DEFAULT_DRAIN_GRACE))?;
    Ok((!settings.must_subscribe).then_some(grace - DRAIN_GRACE_MARGIN))
}

/// Rejects values other than whole numbers above 0, including text that contains a number.
fn check_positive(value: &Value, path: &str) -> Result<(), SettingsError> {
    match value {
        Value::Number(number) if number.as_u64().is_some_and(|number| number > 0) => Ok(()),
        bad => {
            Err(SettingValues::new("settings.", []).invalid(path, &plain_text(bad), "a whole number above 0"))
        }
    }
}

/// Rejects latency objectives, deadlines, timeouts and attempt limits that are not positive; keys that are
/// missing are not checked.
fn check_deadlines_and_attempts(settings: &Value) -> Result<(), SettingsError> {
    if let Some(allowed) = settings.get("allowed") {
        for key in ["max_attempts", "connect_timeout"] {
            allowed.get(key).map_or(Ok(()), |value| check_positive(value, &format!("allowed.{key}")))?;
        }
    }
    for (i, class) in settings.get("classes").and_then(Value::as_array).into_iter().flatten().enumerate() {
        for key in ["aim", "give_up"] {
            class.get(key).map_or(Ok(()), |value| check_positive(value, &format!("classes.{i}.{key}")))?;
        }
    }
    Ok(())
}

/// Adapts the settings to discovery over sockets: the endpoint list is always subscribed to, and renewed at
/// short intervals if the settings call for pushed lists.
pub fn adapted_to_subscription(mut settings: BalancerSettings) -> BalancerSettings {
    let pushed = !std::mem::replace(&mut settings.must_subscribe, true);
    if pushed {
        settings.max_poll_interval = POLL_INTERVAL_PUSHED;
    } else if settings.max_poll_interval == Micros(0) {
        settings.max_poll_interval = POLL_INTERVAL;
    }
    settings
}
