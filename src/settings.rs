//! The settings of an instance: values by path. Keys that are not needed are ignored.
//!
//! The drill hands them over as lines of `path=value`, the node as nested JSON flattened to the same paths.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::str::FromStr;

use thiserror::Error;

use crate::types::*;

/// The shared work of a group where nothing else is said, in usual connections: what the operators tell of the fleets
/// whose connections share work.
const GROUP_LOAD: f64 = 3.0;

/// No limit of further attempts is meant to be above this.
const MOST_RESENDS: f64 = 1e6;

/// What can be wrong with settings.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A key that nothing reads, where that is not allowed.
    #[error("the key {0} is not known")]
    Unknown(String),
    /// A key that the decisions need is not there.
    #[error("the key {0} is missing")]
    Missing(String),
    /// A value cannot be read or is out of range.
    #[error("the key {key} has the value {value:?}, which is not {wanted}")]
    Bad {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What was expected.
        wanted: &'static str,
    },
}

/// Values by path, and the place that error messages name before each path.
pub struct Keys {
    values: HashMap<String, String>,
    place: &'static str,
    /// Keys that were asked for.
    read: RefCell<BTreeSet<String>>,
}

impl Keys {
    /// Values found at `place`: a prefix of their paths in messages, perhaps empty.
    pub fn new(place: &'static str, values: impl IntoIterator<Item = (String, String)>) -> Self {
        Keys { values: values.into_iter().collect(), place, read: RefCell::default() }
    }

    /// These values, and below them those of `other`; messages name the place of these.
    pub fn above(&self, other: &Keys) -> Self {
        let both = other.values.iter().chain(&self.values);
        Keys::new(self.place, both.map(|(key, value)| (key.clone(), value.clone())))
    }

    /// Refuses what stands here and was not read from `whole`: a misspelt key would be taken for its default.
    pub fn all_read(&self, whole: &Keys) -> Result<(), SettingsError> {
        let read = whole.read.borrow();
        let unknown = self.values.keys().filter(|key| !read.contains(*key)).min();
        unknown.map_or(Ok(()), |key| Err(SettingsError::Unknown(format!("{}{key}", self.place))))
    }

    /// Lines of `path=value`; others are ignored.
    pub fn from_lines(text: &str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Keys::new("", pairs.map(|(key, value)| (key.to_owned(), value.to_owned())))
    }

    /// The value as it stands.
    pub fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.read.borrow_mut().insert(key.to_owned());
        let found = self.values.get(key).map(String::as_str);
        found.ok_or_else(|| SettingsError::Missing(format!("{}{key}", self.place)))
    }

    /// An error that names the key with its place.
    pub fn bad(&self, key: &str, value: &str, wanted: &'static str) -> SettingsError {
        SettingsError::Bad { key: format!("{}{key}", self.place), value: value.to_owned(), wanted }
    }

    /// The value, parsed.
    pub fn read<T: FromStr>(&self, key: &str, wanted: &'static str) -> Result<T, SettingsError> {
        let value = self.text(key)?;
        value.trim().parse().map_err(|_| self.bad(key, value, wanted))
    }

    /// A span.
    pub fn micros(&self, key: &str) -> Result<Micros, SettingsError> {
        self.read(key, "a whole number of microseconds").map(Micros)
    }

    /// True or false.
    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        self.read(key, "true or false")
    }

    /// A finite number that is not negative.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let value: f64 = self.read(key, "a number")?;
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        Err(self.bad(key, self.text(key)?, "a finite number of zero or more"))
    }

    /// One of the words named.
    pub fn word<T: Copy>(
        &self,
        key: &str,
        words: &[(&str, T)],
        wanted: &'static str,
    ) -> Result<T, SettingsError> {
        let value = self.text(key)?;
        let found = words.iter().find(|(word, _)| *word == value.trim());
        found.map(|(_, meaning)| *meaning).ok_or_else(|| self.bad(key, value, wanted))
    }

    /// A list of plain values; a key that is absent is an empty list.
    pub fn list(&self, key: &str) -> Vec<&str> {
        self.read.borrow_mut().insert(key.to_owned());
        let value = self.values.get(key).map(String::as_str).unwrap_or_default();
        value.split(',').map(str::trim).filter(|item| !item.is_empty()).collect()
    }
}

/// Reads the settings.
pub fn parse(keys: &Keys) -> Result<BalancerSettings, SettingsError> {
    let balancers = keys.read("balancers", "a whole number")?;
    if balancers == 0 {
        return Err(keys.bad("balancers", "0", "one or more"));
    }
    let groups = keys.flag("extra.groups").or_else(absent(false))?;
    let group_load = keys.number("extra.group_load");
    if let (false, Ok(load)) = (groups, &group_load) {
        // Somebody means connections to share work: with groups off nothing would be done about it.
        return Err(keys.bad(
            "extra.group_load",
            &load.to_string(),
            "of any use while extra.groups is not true",
        ));
    }
    Ok(BalancerSettings {
        node_count: balancers,
        node_index: keys.read("index", "a whole number").map(Some).or_else(absent(None))?,
        zone: keys.read("my_zone", "a zone's number")?,
        classes: classes(keys)?,
        must_subscribe: keys.word(
            "discovery",
            &[("automatic", false), ("subscribe", true)],
            "automatic or subscribe",
        )?,
        max_poll_interval: keys.micros("obligations.must_ask_in").or_else(absent(Micros(0)))?,
        max_attempts: keys.read("allowed.max_attempts", "a whole number")?,
        retry_after_allowed: keys.flag("allowed.retry_after")?,
        max_retry_after: keys.micros("allowed.max_retry_after").or_else(absent(Micros(0)))?,
        probes_allowed: keys.flag("allowed.probes")?,
        gossip_allowed: keys.flag("allowed.may_tell")?,
        weight_meaning: keys.word(
            "weights",
            &[
                ("silent", WeightMeaning::Ignored),
                ("nominal", WeightMeaning::NominalCapacity),
                ("rough", WeightMeaning::NominalCapacity),
                ("live", WeightMeaning::LiveLoad),
            ],
            "silent, nominal, rough or live",
        )?,
        servers_report_delay: keys.flag("extra.tells_delay").or_else(absent(true))?,
        // The facade asks for it; on the drill, where a break is told at once, it costs more than it gains.
        migrate_from_draining: false,
        groups,
        group_load: group_load.or_else(absent(GROUP_LOAD))?,
        report_fields: (keys.list("load_info.columns").iter())
            .map(|field| match *field {
                "x0" => ReportField::LoadRatio,
                _ => ReportField::Other,
            })
            .collect(),
        warm_up: keys.micros("obligations.cold")?,
        warm_up_initial_capacity: keys.number("obligations.cold_from")?,
        overload_multiple: keys.number("obligations.fall_multiple")?,
        overload_window: keys.micros("obligations.overload_for")?,
        retry_budget: resends(keys)?,
        deadline_tolerance: keys.micros("obligations.deadline_drift").or_else(absent(Micros(0)))?,
        removal_is_advisory: keys.flag("obligations.gone_is_advice").or_else(absent(false))?,
        start_time_tolerance: keys.micros("obligations.stamp_doubt").or_else(absent(Micros(0)))?,
        drain_grace: keys.micros("obligations.stop_sending_within").or_else(absent(Micros(0)))?,
        prices: prices(keys)?,
        tenants: tenants(keys)?,
        cpu_us_per_s: keys.number("allowed.cpu_us_per_s").map(Some).or_else(absent(None))?,
    })
}

fn prices(keys: &Keys) -> Result<Prices, SettingsError> {
    let price = |name: &str| keys.number(&format!("charges.{name}")).or_else(absent(0.0));
    Ok(Prices {
        cross_zone: price("cross_zone")?,
        moves: price("moves")?,
        probe: price("probe")?,
        waste: price("waste")?,
        handshake: price("handshake")?,
        late_fail: price("late_fail")?,
    })
}

/// Who shares the service: nobody where no count is stated.
fn tenants(keys: &Keys) -> Result<Vec<TenantSettings>, SettingsError> {
    let count: u16 = keys.read("tenants.count", "a whole number").or_else(absent(0))?;
    let number = |i: u16, field: &str| keys.number(&format!("tenants.{i}.{field}")).or_else(absent(0.0));
    let tenant =
        |i| Ok(TenantSettings { quota_share: number(i, "share")?, quota_per_s: number(i, "quota_per_s")? });
    (0..count).map(tenant).collect()
}

/// The budget of further attempts: all three keys or none, as a part of them limits nothing.
fn resends(keys: &Keys) -> Result<Option<RetryBudget>, SettingsError> {
    let [free, ratio, over] =
        ["free_resends", "resend_ratio", "counted_over"].map(|key| format!("obligations.{key}"));
    if [&free, &ratio, &over].iter().all(|key| matches!(keys.text(key), Err(SettingsError::Missing(_)))) {
        return Ok(None);
    }
    let budget = RetryBudget {
        min_retries: keys.number(&free)?,
        retry_ratio: keys.number(&ratio)?,
        window: keys.micros(&over)?,
    };
    if budget.min_retries.fract() != 0.0 || budget.min_retries > MOST_RESENDS {
        return Err(keys.bad(&free, keys.text(&free)?, "a whole number up to a million"));
    }
    if budget.retry_ratio > MOST_RESENDS {
        return Err(keys.bad(&ratio, keys.text(&ratio)?, "a number up to a million"));
    }
    if budget.window == Micros(0) {
        return Err(keys.bad(&over, "0", "a span above 0"));
    }
    Ok(Some(budget))
}

/// Turns a missing key into a value, and leaves a bad one bad.
pub fn absent<T>(value: T) -> impl FnOnce(SettingsError) -> Result<T, SettingsError> {
    |error| match error {
        SettingsError::Missing(_) => Ok(value),
        bad => Err(bad),
    }
}

fn classes(keys: &Keys) -> Result<Vec<ClassSettings>, SettingsError> {
    let count: u16 = keys.read("classes.count", "a whole number")?;
    let message_aims = keys.list("extra.message_aim");
    let mut classes = Vec::new();
    for i in 0..count {
        let key = |field: &str| format!("classes.{i}.{field}");
        let group_words = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
        let group = || keys.word(&key("group"), &group_words, "all, zone or cell");
        let semantics = match keys.text(&key("semantics"))? {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::Deduplicated(group()?),
            "fragile" => Idempotency::NotIdempotent,
            other => return Err(keys.bad(&key("semantics"), other, "retryable, dedup or fragile")),
        };
        let message_aim = match message_aims.get(usize::from(i)) {
            Some(value) => match value.parse::<f64>() {
                Ok(us) if us.is_finite() && us >= 0.0 => Some(Micros(us as u64)),
                _ => return Err(keys.bad("extra.message_aim", value, "microseconds for each class")),
            },
            None => None,
        };
        classes.push(ClassSettings {
            latency_objective: keys.micros(&key("aim"))?,
            priority_weight: keys.number(&key("worth"))?,
            idempotency: semantics,
            dedup_window: keys.micros(&key("window")).or_else(absent(Micros(0)))?,
            message_latency_objective: message_aim,
        });
    }
    Ok(classes)
}
