//! TOML schema of schedules: tables, keys and default values.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::MAX_RUN_S;
use super::faults::Fault;

/// A schedule as written in its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Short description of what the run shows, in one line.
    pub title: String,
    /// Seed of all random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long clients send requests, in seconds.
    pub length_s: Spanned<f64>,
    /// Nodes.
    pub nodes: Nodes,
    /// Membership settings; without them the nodes do not form a cluster.
    pub members: Option<Spanned<Members>>,
    /// Subsetting settings.
    #[serde(default)]
    #[serde(rename = "choices")]
    pub subsetting: Option<Spanned<Subsetting>>,
    /// Hosts.
    #[serde(default = "no_hosts")]
    pub hosts: Spanned<Hosts>,
    /// Clients, by class.
    #[serde(default)]
    pub clients: Vec<Spanned<ClientClass>>,
    /// Properties of the links between all parties, before faults.
    #[serde(default)]
    #[serde(rename = "ways")]
    pub links: LinkDefaults,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Spanned<Fault>>,
}

/// Nodes of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes.
    pub count: Spanned<usize>,
    /// Names of the zones; node and host number i are in zone i modulo the number of zones.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Share of the clients per node relative to the other nodes, repeated cyclically; emulated runs only.
    #[serde(default = "even")]
    pub traffic: Vec<f64>,
}

/// Subsetting: which hosts each node uses, if the feature is enabled.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Subsetting {
    /// Enabled features; `compare` can enable others.
    #[serde(rename = "on")]
    pub enabled: Vec<Feature>,
    /// Number of hosts that a node uses.
    #[serde(rename = "size")]
    pub hosts_per_node: usize,
    /// Minimum number of nodes that use a host.
    #[serde(rename = "users")]
    pub nodes_per_host: usize,
    /// Whether hosts of the node's own zone are preferred.
    #[serde(rename = "zones_first")]
    pub prefer_own_zone: bool,
    /// How long a host that was added to a subset is retained, in seconds.
    #[serde(rename = "hold_s")]
    pub added_host_retention_s: f64,
}

/// An optional feature of the nodes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Feature {
    /// Each node uses a subset of the hosts
    Subsets,
}

impl Default for Subsetting {
    fn default() -> Self {
        Subsetting {
            enabled: Vec::new(),
            hosts_per_node: 20,
            nodes_per_host: 4,
            prefer_own_zone: false,
            added_host_retention_s: 30.0,
        }
    }
}

/// Membership settings of the nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Members {
    /// Protocol period, in milliseconds.
    pub period_ms: u64,
    /// Minimum duration of a suspicion, in periods per power of ten of the number of members.
    pub suspicion: f64,
    /// Whether members lower their local health when their probes fail; emulated runs only.
    pub local_health: bool,
    /// Whether all members know each other at the start; emulated runs only.
    pub know_all: bool,
    /// Maximum deviation of the clock rate, as a share of the nominal rate; emulated runs only.
    pub clock_rate: f64,
}

impl Default for Members {
    fn default() -> Self {
        Members { period_ms: 200, suspicion: 3.0, local_health: true, know_all: true, clock_rate: 0.0 }
    }
}

/// Hosts of a run. The settings after `told_after_ms` apply to emulated runs only: stub hosts of runs on
/// processes have no capacity limit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hosts {
    /// Number of hosts.
    pub count: usize,
    /// How long a host takes to set up a connection, in milliseconds; in emulated runs the time of one core.
    pub setup_ms: f64,
    /// Delay until discovery notifies nodes of a change, in milliseconds.
    #[serde(rename = "told_after_ms")]
    pub notify_delay_ms: f64,
    /// Requests for the full list that discovery answers per second.
    #[serde(rename = "list_calls_a_second")]
    pub list_requests_per_second: f64,
    /// Relative sizes of the hosts, repeated cyclically.
    pub weights: Vec<f64>,
    /// Number of cores of a host of weight 1.
    pub cores: f64,
    /// Maximum number of connections of a host of weight 1.
    #[serde(rename = "cap")]
    pub max_connections: f64,
    /// Maximum queueing time of a setup, in milliseconds; a host rejects a setup that would wait longer.
    #[serde(rename = "queue_ms")]
    pub max_queue_ms: f64,
    /// Warm-up time of a host after its start, in seconds.
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// Share of its capacity that a host has at the start of its warm-up.
    #[serde(rename = "cold_from")]
    pub warm_up_initial: f64,
    /// Load, as a multiple of its current capacity, at which a host that is warming up crashes ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... if the load lasts for this long, in seconds.
    #[serde(rename = "overload_for_s")]
    pub overload_window_s: f64,
    /// Delay until a host that crashed starts again, in seconds.
    pub restart_s: f64,
}

impl Default for Hosts {
    fn default() -> Self {
        Hosts {
            count: 0,
            setup_ms: 1.0,
            notify_delay_ms: 300.0,
            list_requests_per_second: 1_000.0,
            weights: vec![1.0],
            cores: 4.0,
            max_connections: 20_000.0,
            max_queue_ms: 5_000.0,
            warm_up_s: 20.0,
            warm_up_initial: 0.25,
            overload_multiple: 2.0,
            overload_window_s: 2.0,
            restart_s: 3.0,
        }
    }
}

impl Hosts {
    /// Returns the first key with an invalid value, and the allowed values.
    pub(super) fn first_invalid_key(&self) -> Option<(&'static str, &'static str)> {
        let within = |value: f64, max: f64| value > 0.0 && value <= max;
        let checks = [
            ("setup_ms", (0.0..=60_000.0).contains(&self.setup_ms), "0 to 60000"),
            ("told_after_ms", (0.0..=600_000.0).contains(&self.notify_delay_ms), "0 to 600000"),
            ("list_calls_a_second", within(self.list_requests_per_second, 1e6), "above 0, at most 1000000"),
            (
                "weights",
                !self.weights.is_empty() && self.weights.iter().all(|w| within(*w, 1e3)),
                "above 0, at most 1000",
            ),
            ("cores", within(self.cores, 1e4), "above 0, at most 10000"),
            ("cap", within(self.max_connections, 1e9), "above 0, at most 1000000000"),
            ("queue_ms", within(self.max_queue_ms, 6e5), "above 0, at most 600000"),
            ("cold_s", within(self.warm_up_s, MAX_RUN_S), "seconds above 0, at most 86400"),
            ("cold_from", within(self.warm_up_initial, 1.0), "a share above 0, at most 1"),
            ("fall_multiple", within(self.overload_multiple, 1e6), "above 0, at most 1000000"),
            ("overload_for_s", within(self.overload_window_s, MAX_RUN_S), "seconds above 0, at most 86400"),
            ("restart_s", within(self.restart_s, MAX_RUN_S), "seconds above 0, at most 86400"),
        ];
        checks.into_iter().find(|(_, valid, _)| !valid).map(|(key, _, allowed)| (key, allowed))
    }
}

/// Clients of one class. Each client opens a new connection some time after its previous one has ended.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientClass {
    /// Name of the class.
    pub class: String,
    /// Whether a request may be executed more than once.
    #[serde(rename = "semantics")]
    pub idempotency: Idempotency,
    /// Number of clients.
    pub count: usize,
    /// Mean duration for which a client keeps a connection, in seconds.
    #[serde(default = "default_hold_s")]
    pub hold_s: f64,
    /// Mean pause between two connections of a client, in seconds.
    #[serde(default = "default_rest_s")]
    pub rest_s: f64,
    /// How long a client waits for its answer, in milliseconds.
    #[serde(default = "two_seconds")]
    pub wait_ms: u64,
    /// Mean load of a connection on its host, in microseconds of work per second; emulated runs only.
    #[serde(default)]
    pub load_us: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// It may be executed any number of times.
    #[serde(rename = "retryable")]
    Idempotent,
    /// It may be executed at most once.
    #[serde(rename = "fragile")]
    NotIdempotent,
}

/// Properties of every link before faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkDefaults {
    /// Delay in one direction, in milliseconds.
    pub delay_ms: f64,
    /// Maximum additional delay, drawn per datagram or chunk of a stream, in milliseconds.
    pub jitter_ms: f64,
    /// Share of datagrams that are lost.
    pub loss: f64,
}

fn default_seed() -> u64 {
    1
}
fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
}
fn even() -> Vec<f64> {
    vec![1.0]
}
fn no_hosts() -> Spanned<Hosts> {
    Spanned::new(0..0, Hosts::default())
}
fn default_hold_s() -> f64 {
    3.0
}
fn default_rest_s() -> f64 {
    0.5
}
fn two_seconds() -> u64 {
    2_000
}
