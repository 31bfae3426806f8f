//! Parser of a policy instance's settings, given as text values by key path.
//!
//! The simulator sends lines of `path=value`; the node flattens nested JSON to the same paths.
//! [`parse`] ignores unknown keys, which [`SettingValues::reject_unread`] reports. The keys are part
//! of the external interface, and [`parse`] is the only place that maps them to the fields of
//! [`BalancerSettings`].

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::str::FromStr;

use thiserror::Error;

use crate::types::{
    BalancerSettings, ClassSettings, Costs, DedupScope, Idempotency, Micros, ReportField, RetryBudget,
    TenantSettings, WeightMeaning,
};

/// Shared work of a group if the settings omit it, in multiples of a typical connection's load.
const DEFAULT_GROUP_LOAD: f64 = 3.0;

/// Upper bound on the retries, or the retries per request, of a retry budget. A larger budget would
/// limit nothing.
const MAX_RETRY_BUDGET: f64 = 1e6;

/// An error in the settings.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// No setting uses this key. Returned only by [`SettingValues::reject_unread`].
    #[error("unknown key {0}")]
    UnknownKey(String),
    /// A required key is missing.
    #[error("missing key {0}")]
    MissingKey(String),
    /// A value cannot be parsed, is out of range or contradicts another setting.
    #[error("invalid value {value:?} for key {key}: expected {expected}")]
    InvalidValue {
        /// Key, with its prefix.
        key: String,
        /// Value found.
        value: String,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// Text values by key path, with a path prefix for error messages.
pub struct SettingValues {
    values: HashMap<String, String>,
    prefix: &'static str,
    /// Keys read so far, for [`SettingValues::reject_unread`].
    read_keys: RefCell<BTreeSet<String>>,
}

impl SettingValues {
    /// Creates values whose paths are below `prefix`, which error messages include. The prefix may
    /// be empty.
    pub fn new(prefix: &'static str, values: impl IntoIterator<Item = (String, String)>) -> Self {
        SettingValues { values: values.into_iter().collect(), prefix, read_keys: RefCell::default() }
    }

    /// Parses lines of `path=value` and ignores other lines.
    pub fn from_lines(text: &str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        SettingValues::new("", pairs.map(|(key, value)| (key.to_owned(), value.to_owned())))
    }

    /// Returns these values, completed with the values of `base` for missing keys. Error messages
    /// use the prefix of these values.
    pub fn overlaid_on(&self, base: &SettingValues) -> Self {
        let both = base.values.iter().chain(&self.values);
        SettingValues::new(self.prefix, both.map(|(key, value)| (key.clone(), value.clone())))
    }

    /// Checks that every key of these values is the key of a setting. `merged` is the result of
    /// [`SettingValues::overlaid_on`], or these values themselves, after all settings were read from
    /// it. Without this check, the default would silently be used in place of a misspelt key.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::UnknownKey`] with the first key that was not read.
    pub fn reject_unread(&self, merged: &SettingValues) -> Result<(), SettingsError> {
        let read_keys = merged.read_keys.borrow();
        let unread = self.values.keys().filter(|key| !read_keys.contains(*key)).min();
        unread.map_or(Ok(()), |key| Err(SettingsError::UnknownKey(format!("{}{key}", self.prefix))))
    }

    /// Returns the unparsed value of a key.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::MissingKey`] if the key is missing.
    pub fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        let found = self.values.get(key).map(String::as_str);
        found.ok_or_else(|| SettingsError::MissingKey(format!("{}{key}", self.prefix)))
    }

    /// Creates an error for an invalid value of a key. The error contains the key with its prefix.
    pub fn invalid(&self, key: &str, value: &str, expected: &'static str) -> SettingsError {
        SettingsError::InvalidValue {
            key: format!("{}{key}", self.prefix),
            value: value.to_owned(),
            expected,
        }
    }

    /// Parses the value of a key. `expected` describes valid values in error messages.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::MissingKey`] if the key is missing and
    /// [`SettingsError::InvalidValue`] if the value cannot be parsed.
    pub fn read<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<T, SettingsError> {
        let value = self.text(key)?;
        value.trim().parse().map_err(|_| self.invalid(key, value, expected))
    }

    /// Parses a duration in whole microseconds.
    ///
    /// # Errors
    ///
    /// See [`SettingValues::read`].
    pub fn micros(&self, key: &str) -> Result<Micros, SettingsError> {
        self.read(key, "a whole number of microseconds").map(Micros)
    }

    /// Parses `true` or `false`.
    ///
    /// # Errors
    ///
    /// See [`SettingValues::read`].
    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        self.read(key, "true or false")
    }

    /// Parses a finite number that is not negative.
    ///
    /// # Errors
    ///
    /// See [`SettingValues::read`]. Also returns [`SettingsError::InvalidValue`] if the number is
    /// out of range.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let value: f64 = self.read(key, "a number")?;
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        Err(self.invalid(key, self.text(key)?, "a finite number of zero or more"))
    }

    /// Parses one of the given keywords and returns its meaning.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::MissingKey`] if the key is missing and
    /// [`SettingsError::InvalidValue`] for any other keyword.
    pub fn keyword<T: Copy>(
        &self,
        key: &str,
        keywords: &[(&str, T)],
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        let value = self.text(key)?;
        let found = keywords.iter().find(|(keyword, _)| *keyword == value.trim());
        found.map(|(_, meaning)| *meaning).ok_or_else(|| self.invalid(key, value, expected))
    }

    /// Parses a comma-separated list, which is empty if the key is missing.
    pub fn list(&self, key: &str) -> Vec<&str> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        let value = self.values.get(key).map(String::as_str).unwrap_or_default();
        value.split(',').map(str::trim).filter(|item| !item.is_empty()).collect()
    }
}

/// Replaces a missing key by a default value. Other errors are returned unchanged.
pub fn default_if_missing<T>(default: T) -> impl FnOnce(SettingsError) -> Result<T, SettingsError> {
    |error| match error {
        SettingsError::MissingKey(_) => Ok(default),
        invalid => Err(invalid),
    }
}

/// Parses the settings of a policy instance.
///
/// # Errors
///
/// Returns [`SettingsError::MissingKey`] if a required key is missing and
/// [`SettingsError::InvalidValue`] if a value cannot be parsed, is out of range or contradicts
/// another setting.
pub fn parse(values: &SettingValues) -> Result<BalancerSettings, SettingsError> {
    let node_count = node_count(values)?;
    let groups = values.flag("extra.groups").or_else(default_if_missing(false))?;
    let group_load = group_load(values, groups)?;
    Ok(BalancerSettings {
        node_count,
        node_index: values.read("index", "a whole number").map(Some).or_else(default_if_missing(None))?,
        zone: values.read("my_zone", "a zone number")?,
        classes: classes(values)?,
        must_subscribe: values.keyword("discovery", &DISCOVERY_KEYWORDS, "automatic or subscribe")?,
        max_poll_interval: values.micros("obligations.must_ask_in").or_else(default_if_missing(Micros(0)))?,
        max_attempts: values.read("allowed.max_attempts", "a whole number")?,
        retry_after_allowed: values.flag("allowed.retry_after")?,
        max_retry_after: values.micros("allowed.max_retry_after").or_else(default_if_missing(Micros(0)))?,
        probes_allowed: values.flag("allowed.probes")?,
        gossip_allowed: values.flag("allowed.may_tell")?,
        weight_meaning: values.keyword("weights", &WEIGHT_KEYWORDS, "silent, nominal, rough or live")?,
        servers_report_delay: values.flag("extra.tells_delay").or_else(default_if_missing(true))?,
        // Nodes that serve real connections enable it in `balancer.rs`. In the simulator, clients
        // notice at once when a server stops, and migrating them earlier costs more than it gains.
        migrate_from_draining: false,
        groups,
        group_load,
        report_fields: report_fields(values),
        warm_up: values.micros("obligations.cold")?,
        warm_up_initial_capacity: values.number("obligations.cold_from")?,
        overload_multiple: values.number("obligations.fall_multiple")?,
        overload_window: values.micros("obligations.overload_for")?,
        retry_budget: retry_budget(values)?,
        deadline_tolerance: values
            .micros("obligations.deadline_drift")
            .or_else(default_if_missing(Micros(0)))?,
        removal_is_advisory: values.flag("obligations.gone_is_advice").or_else(default_if_missing(false))?,
        start_time_tolerance: values
            .micros("obligations.stamp_doubt")
            .or_else(default_if_missing(Micros(0)))?,
        drain_grace: values
            .micros("obligations.stop_sending_within")
            .or_else(default_if_missing(Micros(0)))?,
        costs: costs(values)?,
        tenants: tenants(values)?,
        cpu_us_per_s: values.number("allowed.cpu_us_per_s").map(Some).or_else(default_if_missing(None))?,
    })
}

/// Keywords of the key `discovery`: whether the endpoint list has to be subscribed to.
const DISCOVERY_KEYWORDS: [(&str, bool); 2] = [("automatic", false), ("subscribe", true)];

/// Keywords of the key `weights`.
const WEIGHT_KEYWORDS: [(&str, WeightMeaning); 4] = [
    ("silent", WeightMeaning::Ignored),
    ("nominal", WeightMeaning::NominalCapacity),
    ("rough", WeightMeaning::NominalCapacity),
    ("live", WeightMeaning::LiveLoad),
];

/// Keywords of the key `group` of a class.
const DEDUP_SCOPE_KEYWORDS: [(&str, DedupScope); 3] =
    [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];

fn node_count(values: &SettingValues) -> Result<u32, SettingsError> {
    match values.read("balancers", "a whole number")? {
        0 => Err(values.invalid("balancers", "0", "a number of at least 1")),
        count => Ok(count),
    }
}

/// Parses the shared work of a group. Rejects the key without `extra.groups`: whoever sets it expects
/// connections to share work, but the setting would have no effect.
fn group_load(values: &SettingValues, groups: bool) -> Result<f64, SettingsError> {
    let load = values.number("extra.group_load");
    match (groups, &load) {
        (false, Ok(load)) => Err(values.invalid(
            "extra.group_load",
            &load.to_string(),
            "no value unless the key extra.groups is true",
        )),
        _ => load.or_else(default_if_missing(DEFAULT_GROUP_LOAD)),
    }
}

fn report_fields(values: &SettingValues) -> Vec<ReportField> {
    let field = |name: &&str| match *name {
        // The name of the column with the load ratio in the external interface.
        "x0" => ReportField::LoadRatio,
        _ => ReportField::Other,
    };
    values.list("load_info.columns").iter().map(field).collect()
}

fn costs(values: &SettingValues) -> Result<Costs, SettingsError> {
    let cost = |name: &str| values.number(&format!("charges.{name}")).or_else(default_if_missing(0.0));
    Ok(Costs {
        cross_zone: cost("cross_zone")?,
        migrations: cost("moves")?,
        probe: cost("probe")?,
        wasted_work: cost("waste")?,
        connection_setup: cost("handshake")?,
        late_failures: cost("late_fail")?,
    })
}

/// Parses the tenants; there are none if the count is missing.
fn tenants(values: &SettingValues) -> Result<Vec<TenantSettings>, SettingsError> {
    let count: u16 = values.read("tenants.count", "a whole number").or_else(default_if_missing(0))?;
    let number = |tenant: u16, field: &str| {
        values.number(&format!("tenants.{tenant}.{field}")).or_else(default_if_missing(0.0))
    };
    let tenant = |tenant| {
        Ok(TenantSettings {
            quota_share: number(tenant, "share")?,
            quota_per_s: number(tenant, "quota_per_s")?,
        })
    };
    (0..count).map(tenant).collect()
}

/// Parses the retry budget; there is none if all three keys are missing. The keys must be set
/// together, because one or two of them define no limit.
fn retry_budget(values: &SettingValues) -> Result<Option<RetryBudget>, SettingsError> {
    let [min_retries, retry_ratio, window] =
        ["free_resends", "resend_ratio", "counted_over"].map(|key| format!("obligations.{key}"));
    let is_missing = |key: &String| matches!(values.text(key), Err(SettingsError::MissingKey(_)));
    if [&min_retries, &retry_ratio, &window].into_iter().all(is_missing) {
        return Ok(None);
    }
    let budget = RetryBudget {
        min_retries: values.number(&min_retries)?,
        retry_ratio: values.number(&retry_ratio)?,
        window: values.micros(&window)?,
    };
    if budget.min_retries.fract() != 0.0 || budget.min_retries > MAX_RETRY_BUDGET {
        return Err(values.invalid(
            &min_retries,
            values.text(&min_retries)?,
            "a whole number up to a million",
        ));
    }
    if budget.retry_ratio > MAX_RETRY_BUDGET {
        return Err(values.invalid(&retry_ratio, values.text(&retry_ratio)?, "a number up to a million"));
    }
    if budget.window == Micros(0) {
        return Err(values.invalid(&window, "0", "a duration above 0"));
    }
    Ok(Some(budget))
}

fn classes(values: &SettingValues) -> Result<Vec<ClassSettings>, SettingsError> {
    let count: u16 = values.read("classes.count", "a whole number")?;
    let message_objectives = values.list("extra.message_aim");
    (0..count).map(|class| class_settings(values, class, &message_objectives)).collect()
}

fn class_settings(
    values: &SettingValues,
    class: u16,
    message_objectives: &[&str],
) -> Result<ClassSettings, SettingsError> {
    let key = |field: &str| format!("classes.{class}.{field}");
    let idempotency = idempotency(values, &key("semantics"), &key("group"))?;
    let message_objective = message_objectives.get(usize::from(class));
    let message_latency_objective =
        message_objective.map(|value| message_latency_objective(values, value)).transpose()?;
    Ok(ClassSettings {
        latency_objective: values.micros(&key("aim"))?,
        priority_weight: values.number(&key("worth"))?,
        idempotency,
        dedup_window: values.micros(&key("window")).or_else(default_if_missing(Micros(0)))?,
        message_latency_objective,
    })
}

fn idempotency(values: &SettingValues, key: &str, scope_key: &str) -> Result<Idempotency, SettingsError> {
    match values.text(key)? {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => {
            let scope = values.keyword(scope_key, &DEDUP_SCOPE_KEYWORDS, "all, zone or cell")?;
            Ok(Idempotency::Deduplicated(scope))
        }
        "fragile" => Ok(Idempotency::NotIdempotent),
        other => Err(values.invalid(key, other, "retryable, dedup or fragile")),
    }
}

fn message_latency_objective(values: &SettingValues, value: &str) -> Result<Micros, SettingsError> {
    match value.parse::<f64>() {
        Ok(us) if us.is_finite() && us >= 0.0 => Ok(Micros(us as u64)),
        _ => Err(values.invalid("extra.message_aim", value, "a number of microseconds for each class")),
    }
}
