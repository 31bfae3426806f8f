//! The schedule as written in TOML: its tables, keys and defaults.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::MAX_RUN_S;
use super::faults::Fault;

/// A schedule as it stands in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// What it shows, in a line.
    pub title: String,
    /// For all that is drawn.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long clients come, seconds.
    pub length_s: Spanned<f64>,
    /// The nodes.
    pub nodes: Nodes,
    /// The members, where the nodes know of each other.
    pub members: Option<Spanned<Members>>,
    /// What nodes share out among themselves.
    #[serde(default)]
    #[serde(rename = "choices")]
    pub subsetting: Option<Spanned<Subsetting>>,
    /// The hosts.
    #[serde(default = "no_hosts")]
    pub hosts: Spanned<Hosts>,
    /// The clients.
    #[serde(default)]
    pub clients: Vec<Spanned<ClientClass>>,
    /// The ways between all parties, before faults.
    #[serde(default)]
    #[serde(rename = "ways")]
    pub links: LinkDefaults,
    /// The time line.
    #[serde(default)]
    pub faults: Vec<Spanned<Fault>>,
}

/// The nodes of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// How many.
    pub count: Spanned<usize>,
    /// Names of the zones; node and host number i are in zone i modulo their number.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// How many clients come to a node beside others, over and over; emulated only.
    #[serde(default = "even")]
    pub traffic: Vec<f64>,
}

/// What nodes share out among themselves, where a run has that part on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Subsetting {
    /// The parts that are on; `compare` may name others.
    #[serde(rename = "on")]
    pub enabled: Vec<Feature>,
    /// Hosts that a node uses.
    #[serde(rename = "size")]
    pub hosts_per_node: usize,
    /// Nodes that use a host, at least.
    #[serde(rename = "users")]
    pub nodes_per_host: usize,
    /// Hosts of the own zone first.
    #[serde(rename = "zones_first")]
    pub prefer_own_zone: bool,
    /// How long a host that was added is kept, seconds.
    #[serde(rename = "hold_s")]
    pub added_host_retention_s: f64,
}

/// A part of what nodes share out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Feature {
    /// Each node uses a part of the hosts
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

/// How nodes know of each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Members {
    /// The protocol period, milliseconds.
    pub period_ms: u64,
    /// The least time of a suspicion, in periods for each power of ten of the number.
    pub suspicion: f64,
    /// Whether members trust themselves less when their probes fail; emulated only.
    pub local_health: bool,
    /// Whether all know all at the start; emulated only.
    pub know_all: bool,
    /// Clocks run faster or slower by up to this share; emulated only.
    pub clock_rate: f64,
}

impl Default for Members {
    fn default() -> Self {
        Members { period_ms: 200, suspicion: 3.0, local_health: true, know_all: true, clock_rate: 0.0 }
    }
}

/// The hosts of a run. What follows `told_after_ms` is emulated only: stand-ins on processes have no capacity.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hosts {
    /// How many.
    pub count: usize,
    /// How long a host takes to set a connection up, milliseconds; emulated, of one core.
    pub setup_ms: f64,
    /// How long discovery takes to tell of a change, milliseconds.
    #[serde(rename = "told_after_ms")]
    pub notify_delay_ms: f64,
    /// Calls for the whole list that discovery answers in a second.
    #[serde(rename = "list_calls_a_second")]
    pub list_requests_per_second: f64,
    /// Sizes of hosts, over and over.
    pub weights: Vec<f64>,
    /// Cores of a host of weight 1.
    pub cores: f64,
    /// Connections that a host of weight 1 holds at most.
    #[serde(rename = "cap")]
    pub max_connections: f64,
    /// A host turns set-ups away that would wait longer, milliseconds.
    #[serde(rename = "queue_ms")]
    pub max_queue_ms: f64,
    /// A host that has started is warm after this, seconds.
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// The share of its capacity that it starts with.
    #[serde(rename = "cold_from")]
    pub warm_up_initial: f64,
    /// A cold host that is asked for this multiple of what it can do ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... over this span falls, seconds.
    #[serde(rename = "overload_for_s")]
    pub overload_window_s: f64,
    /// One that fell starts again after this, seconds.
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
    /// The first key whose value can't be used, and what is wanted.
    pub(super) fn first_invalid_key(&self) -> Option<(&'static str, &'static str)> {
        let above = |value: f64, most: f64| value > 0.0 && value <= most;
        let checks = [
            ("setup_ms", (0.0..=60_000.0).contains(&self.setup_ms), "0 to 60000"),
            ("told_after_ms", (0.0..=600_000.0).contains(&self.notify_delay_ms), "0 to 600000"),
            ("list_calls_a_second", above(self.list_requests_per_second, 1e6), "above 0, at most 1000000"),
            (
                "weights",
                !self.weights.is_empty() && self.weights.iter().all(|w| above(*w, 1e3)),
                "above 0, at most 1000",
            ),
            ("cores", above(self.cores, 1e4), "above 0, at most 10000"),
            ("cap", above(self.max_connections, 1e9), "above 0, at most 1000000000"),
            ("queue_ms", above(self.max_queue_ms, 6e5), "above 0, at most 600000"),
            ("cold_s", above(self.warm_up_s, MAX_RUN_S), "seconds above 0"),
            ("cold_from", above(self.warm_up_initial, 1.0), "a share above 0"),
            ("fall_multiple", above(self.overload_multiple, 1e6), "above 0, at most 1000000"),
            ("overload_for_s", above(self.overload_window_s, MAX_RUN_S), "seconds above 0"),
            ("restart_s", above(self.restart_s, MAX_RUN_S), "seconds above 0"),
        ];
        checks.into_iter().find(|(_, fine, _)| !fine).map(|(key, _, wanted)| (key, wanted))
    }
}

/// Clients of one class, each of which comes again when its connection has ended.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientClass {
    /// The class's name.
    pub class: String,
    /// Whether a request may be repeated.
    #[serde(rename = "semantics")]
    pub idempotency: Idempotency,
    /// How many.
    pub count: usize,
    /// How long a connection is wanted, seconds, in the mean.
    #[serde(default = "three")]
    pub hold_s: f64,
    /// How long a client rests before it comes again, seconds, in the mean.
    #[serde(default = "half")]
    pub rest_s: f64,
    /// How long it waits for its answer, milliseconds.
    #[serde(default = "two_seconds")]
    pub wait_ms: u64,
    /// The work that a connection asks of its host, in microseconds a second in the mean; emulated only.
    #[serde(default)]
    pub load_us: f64,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// At will.
    #[serde(rename = "retryable")]
    Idempotent,
    /// It may run once at most.
    #[serde(rename = "fragile")]
    NotIdempotent,
}

/// What every way does before faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkDefaults {
    /// One way, milliseconds.
    pub delay_ms: f64,
    /// Up to so much more, drawn for each datagram or piece of a stream, milliseconds.
    pub jitter_ms: f64,
    /// The share of datagrams that is lost.
    pub loss: f64,
}

fn one() -> u64 {
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
fn three() -> f64 {
    3.0
}
fn half() -> f64 {
    0.5
}
fn two_seconds() -> u64 {
    2_000
}
