//! The schedule as written in TOML: its tables, keys and defaults.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::LONGEST_S;
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
    pub choices: Option<Spanned<Choices>>,
    /// The hosts.
    #[serde(default = "no_hosts")]
    pub hosts: Spanned<Hosts>,
    /// The clients.
    #[serde(default)]
    pub clients: Vec<Spanned<Clients>>,
    /// The ways between all parties, before faults.
    #[serde(default)]
    pub ways: Ways,
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
pub struct Choices {
    /// The parts that are on; `compare` may name others.
    pub on: Vec<Part>,
    /// Hosts that a node uses.
    pub size: usize,
    /// Nodes that use a host, at least.
    pub users: usize,
    /// Hosts of the own zone first.
    pub zones_first: bool,
    /// How long a host that was added is kept, seconds.
    pub hold_s: f64,
}

/// A part of what nodes share out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// Each node uses a part of the hosts
    Subsets,
}

impl Default for Choices {
    fn default() -> Self {
        Choices { on: Vec::new(), size: 20, users: 4, zones_first: false, hold_s: 30.0 }
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
    pub told_after_ms: f64,
    /// Calls for the whole list that discovery answers in a second.
    pub list_calls_a_second: f64,
    /// Sizes of hosts, over and over.
    pub weights: Vec<f64>,
    /// Cores of a host of weight 1.
    pub cores: f64,
    /// Connections that a host of weight 1 holds at most.
    pub cap: f64,
    /// A host turns set-ups away that would wait longer, milliseconds.
    pub queue_ms: f64,
    /// A host that has started is warm after this, seconds.
    pub cold_s: f64,
    /// The share of its capacity that it starts with.
    pub cold_from: f64,
    /// A cold host that is asked for this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... over this span falls, seconds.
    pub overload_for_s: f64,
    /// One that fell starts again after this, seconds.
    pub restart_s: f64,
}

impl Default for Hosts {
    fn default() -> Self {
        Hosts {
            count: 0,
            setup_ms: 1.0,
            told_after_ms: 300.0,
            list_calls_a_second: 1_000.0,
            weights: vec![1.0],
            cores: 4.0,
            cap: 20_000.0,
            queue_ms: 5_000.0,
            cold_s: 20.0,
            cold_from: 0.25,
            fall_multiple: 2.0,
            overload_for_s: 2.0,
            restart_s: 3.0,
        }
    }
}

impl Hosts {
    /// The first key whose value can't be used, and what is wanted.
    pub(super) fn fault(&self) -> Option<(&'static str, &'static str)> {
        let above = |value: f64, most: f64| value > 0.0 && value <= most;
        let checks = [
            ("setup_ms", (0.0..=60_000.0).contains(&self.setup_ms), "0 to 60000"),
            ("told_after_ms", (0.0..=600_000.0).contains(&self.told_after_ms), "0 to 600000"),
            ("list_calls_a_second", above(self.list_calls_a_second, 1e6), "above 0, at most 1000000"),
            (
                "weights",
                !self.weights.is_empty() && self.weights.iter().all(|w| above(*w, 1e3)),
                "above 0, at most 1000",
            ),
            ("cores", above(self.cores, 1e4), "above 0, at most 10000"),
            ("cap", above(self.cap, 1e9), "above 0, at most 1000000000"),
            ("queue_ms", above(self.queue_ms, 6e5), "above 0, at most 600000"),
            ("cold_s", above(self.cold_s, LONGEST_S), "seconds above 0"),
            ("cold_from", above(self.cold_from, 1.0), "a share above 0"),
            ("fall_multiple", above(self.fall_multiple, 1e6), "above 0, at most 1000000"),
            ("overload_for_s", above(self.overload_for_s, LONGEST_S), "seconds above 0"),
            ("restart_s", above(self.restart_s, LONGEST_S), "seconds above 0"),
        ];
        checks.into_iter().find(|(_, fine, _)| !fine).map(|(key, _, wanted)| (key, wanted))
    }
}

/// Clients of one class, each of which comes again when its connection has ended.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// The class's name.
    pub class: String,
    /// Whether a request may be repeated.
    pub semantics: Semantics,
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
pub enum Semantics {
    /// At will.
    Retryable,
    /// It may run once at most.
    Fragile,
}

/// What every way does before faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ways {
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
