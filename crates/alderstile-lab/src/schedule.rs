//! Schedules: what a run consists of and which faults come when, as a TOML file.
//!
//! The format is described in `docs/lab.md`. A file is checked whole before anything runs; an error names the line
//! and the key.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::path::Path;

use clap::ValueEnum;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use toml::Spanned;

/// Processes that one machine is asked to bear.
pub const MOST_PROCESSES: usize = 20;
/// Emulated nodes.
pub const MOST_EMULATED: usize = 10_000;
/// Times that one fault may come again.
const MOST_TIMES: f64 = 100_000.0;
/// The longest run, seconds: a day.
const LONGEST_S: f64 = 86_400.0;

/// Why a schedule can't be played. Its text is for a person: file, line and key.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    File {
        /// Its path.
        file: String,
        /// Why.
        error: std::io::Error,
    },
    /// A key is unknown or has a value that can't be used.
    #[error("{file}:{line}: {key}: {what}")]
    Key {
        /// The file's path.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The key's path.
        key: String,
        /// What is wrong, and what is wanted.
        what: String,
    },
}

/// Why a word names no party of a run.
#[derive(Debug, Error)]
pub enum PartyError {
    /// The word is no party's name.
    #[error("{0:?} names no party")]
    Unknown(String),
    /// The zone is not one of the schedule's.
    #[error("{0:?}: no such zone")]
    Zone(String),
    /// The share of the nodes is no number from 0 to 1.
    #[error("{0:?}: a share from 0 to 1 is wanted")]
    Share(String),
    /// The word before the colon is unknown.
    #[error("{0:?}: zone:NAME or share:0.3 is wanted")]
    Group(String),
    /// The node's number is beyond the last.
    #[error("there are nodes n0 to n{last}")]
    Node {
        /// The last node's number.
        last: usize,
    },
    /// The host's number is beyond the last.
    #[error("there are {count} hosts, from h0 on")]
    Host {
        /// How many hosts there are.
        count: usize,
    },
}

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
    fn fault(&self) -> Option<(&'static str, &'static str)> {
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

/// One fault of the time line.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, seconds from the start.
    pub at_s: f64,
    /// How long it lasts; without, to the end of the run.
    pub for_s: Option<f64>,
    /// Again each so many seconds, to the end of the run; shares are drawn anew.
    pub every_s: Option<f64>,
    /// What it is.
    pub kind: Kind,
    /// Whom it hits: `n3`, `h2`, `zone:a`, `share:0.3`, `nodes`, `hosts`.
    #[serde(default)]
    pub on: Vec<String>,
    /// For ways: from whom; also `clients` and `discovery`. Without, from all.
    #[serde(default)]
    pub from: Vec<String>,
    /// For ways: to whom. Without, to all.
    #[serde(default)]
    pub to: Vec<String>,
    /// For loss, duplicates, reordering and damage: the share of datagrams.
    pub share: Option<f64>,
    /// For delay, jitter, slow hosts and late lists: milliseconds.
    pub ms: Option<f64>,
    /// For `list_leaves_out` and `list_lies`: which hosts.
    #[serde(default)]
    pub hosts: Vec<String>,
}

/// What kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A process ends at once; it starts again after `for_s`, where given.
    Kill,
    /// A process is told to stop; it starts again `for_s` after it was told, where given.
    Stop,
    /// A second process of the same node takes over.
    Replace,
    /// The process reads another settings file.
    Reload,
    /// The process stands still.
    Pause,
    /// Nothing passes either way.
    Cut,
    /// Nothing passes from `from` to `to`.
    CutOneWay,
    /// A share of datagrams is lost; a piece of a stream comes 200 ms later instead.
    Loss,
    /// All comes later.
    Delay,
    /// Comes later by a drawn time.
    Jitter,
    /// A share of datagrams comes twice.
    Duplicate,
    /// A share of datagrams is overtaken by later ones.
    Reorder,
    /// A share of datagrams has a byte changed.
    Damage,
    /// All faults of ways end.
    Heal,
    /// Changes of the list come later.
    ListLate,
    /// The list leaves hosts out.
    ListLeavesOut,
    /// The list calls running hosts draining.
    ListLies,
    /// Discovery turns calls away.
    ListRefuses,
    /// A host ends at once; after `for_s` it runs again and is cold.
    HostKill,
    /// A host is listed as draining, ends after `for_s`, and runs again, cold, a second later.
    HostDrain,
    /// A host takes that much longer for everything.
    HostSlow,
    /// A host says nothing.
    HostSilent,
    /// A host turns new connections away.
    HostRefuse,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A unit variant's form is its name in quotes.
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(text.trim_matches('"'))
    }
}

/// What a kind of fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum About {
    /// Processes of nodes.
    Process,
    /// Ways.
    Way,
    /// What nodes are listed.
    List,
    /// Hosts.
    Host,
}

impl Kind {
    /// What it is about.
    pub fn about(self) -> About {
        use Kind::*;
        match self {
            Kill | Stop | Replace | Reload | Pause => About::Process,
            Cut | CutOneWay | Loss | Delay | Jitter | Duplicate | Reorder | Damage | Heal => About::Way,
            ListLate | ListLeavesOut | ListLies | ListRefuses => About::List,
            HostKill | HostDrain | HostSlow | HostSilent | HostRefuse => About::Host,
        }
    }

    fn wants_share(self) -> bool {
        matches!(self, Kind::Loss | Kind::Duplicate | Kind::Reorder | Kind::Damage)
    }

    fn wants_ms(self) -> bool {
        matches!(self, Kind::Delay | Kind::Jitter | Kind::ListLate | Kind::HostSlow)
    }

    fn wants_span(self) -> bool {
        matches!(self, Kind::Pause | Kind::HostDrain)
    }
}

/// A party of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Actor {
    /// A node, from 0.
    Node(usize),
    /// A host, from 0.
    Host(usize),
    /// The list's service.
    Discovery,
    /// All clients.
    Clients,
}

impl fmt::Display for Actor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Actor::Node(n) => write!(f, "n{n}"),
            Actor::Host(h) => write!(f, "h{h}"),
            Actor::Discovery => f.write_str("discovery"),
            Actor::Clients => f.write_str("clients"),
        }
    }
}

impl From<Actor> for String {
    fn from(actor: Actor) -> Self {
        actor.to_string()
    }
}

impl TryFrom<String> for Actor {
    type Error = PartyError;
    fn try_from(text: String) -> Result<Self, PartyError> {
        let number = |rest: &str| rest.parse().ok();
        let of = |text: &str| match text {
            "discovery" => Some(Actor::Discovery),
            "clients" => Some(Actor::Clients),
            _ => {
                let node = text.strip_prefix('n').and_then(number).map(Actor::Node);
                node.or_else(|| text.strip_prefix('h').and_then(number).map(Actor::Host))
            }
        };
        of(&text).ok_or(PartyError::Unknown(text))
    }
}

/// A fault with its targets drawn.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it begins, seconds.
    pub at_s: f64,
    /// How long it lasts, seconds.
    pub for_s: Option<f64>,
    /// What it is.
    pub kind: Kind,
    /// Whom it hits.
    pub on: BTreeSet<Actor>,
    /// For ways, from whom.
    pub from: BTreeSet<Actor>,
    /// For ways, to whom.
    pub to: BTreeSet<Actor>,
    /// See [`Fault::share`].
    pub share: f64,
    /// See [`Fault::ms`].
    pub ms: f64,
    /// See [`Fault::hosts`].
    pub hosts: BTreeSet<Actor>,
}

/// A schedule that has been checked, with everything drawn that a seed decides.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it shows.
    pub title: String,
    /// The seed.
    pub seed: u64,
    /// How long clients come, seconds.
    pub length_s: f64,
    /// Nodes.
    pub nodes: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// See [`Nodes::traffic`].
    pub traffic: Vec<f64>,
    /// The members, where the nodes know of each other.
    pub members: Option<Members>,
    /// What nodes share out.
    pub choices: Choices,
    /// The hosts.
    pub hosts: Hosts,
    /// The clients.
    pub clients: Vec<Clients>,
    /// The ways before faults.
    pub ways: Ways,
    /// The time line, by time.
    pub faults: Vec<Planned>,
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

/// Where in a file an error is.
struct Text<'a> {
    file: &'a str,
    text: &'a str,
}

impl Text<'_> {
    /// An error at a place of the text. The line named is that of `key` behind the place, where it stands there.
    fn error(&self, span: Range<usize>, key: &str, what: impl Into<String>) -> ScheduleError {
        let start = span.start.min(self.text.len());
        let word = key.rsplit('.').next().unwrap_or_default();
        // A table's span is its head alone; it goes on to the next one.
        let lines = self.text.get(start..).unwrap_or_default().lines().enumerate();
        let mut table = lines.take_while(|(i, line)| *i == 0 || !line.starts_with('['));
        let within = table.find(|(_, line)| line.trim_start().starts_with(word)).map_or(0, |(i, _)| i);
        let line = self.text.get(..start).unwrap_or_default().matches('\n').count() + 1 + within;
        ScheduleError::Key { file: self.file.to_owned(), line, key: key.to_owned(), what: what.into() }
    }
}

impl Plan {
    /// Reads and checks a file. `seed` stands above the file's.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or a key of it is unknown or has a value that can't be used.
    pub fn load(path: &Path, seed: Option<u64>) -> Result<Self, ScheduleError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScheduleError::File { file: file.clone(), error })?;
        Self::parse(&file, &text, seed)
    }

    /// Checks a text; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// If a key is unknown or has a value that can't be used.
    pub fn parse(file: &str, text: &str, seed: Option<u64>) -> Result<Self, ScheduleError> {
        let at = Text { file, text };
        let schedule: Schedule = toml::from_str(text).map_err(|error| {
            let span = error.span().unwrap_or_default();
            let word = text.get(span.clone()).unwrap_or_default().lines().next().unwrap_or_default();
            at.error(span, word.trim(), error.message())
        })?;
        let seed = seed.unwrap_or(schedule.seed);
        let length_s = *schedule.length_s.get_ref();
        if !(length_s > 0.0 && length_s <= LONGEST_S) {
            return Err(at.error(
                schedule.length_s.span(),
                "length_s",
                "more than 0 and at most a day is wanted",
            ));
        }
        let count = *schedule.nodes.count.get_ref();
        if count == 0 || count > MOST_EMULATED {
            let what = format!("1 to {MOST_EMULATED} are wanted");
            return Err(at.error(schedule.nodes.count.span(), "nodes.count", what));
        }
        if schedule.nodes.zones.is_empty() {
            return Err(at.error(schedule.nodes.count.span(), "nodes.zones", "at least one zone is wanted"));
        }
        if !schedule.nodes.traffic.iter().all(|share| *share > 0.0 && *share <= 1e3)
            || schedule.nodes.traffic.is_empty()
        {
            let what = "shares above 0 and at most 1000 are wanted";
            return Err(at.error(schedule.nodes.count.span(), "nodes.traffic", what));
        }
        let (span, hosts) = (schedule.hosts.span(), schedule.hosts.into_inner());
        if let Some((key, wanted)) = hosts.fault() {
            return Err(at.error(span, &format!("hosts.{key}"), format!("{wanted} is wanted")));
        }
        if hosts.count > MOST_EMULATED {
            return Err(at.error(span, "hosts.count", format!("at most {MOST_EMULATED} are wanted")));
        }
        let choices = schedule.choices.map(|choices| (choices.span(), choices.into_inner()));
        if let Some((span, choices)) = &choices {
            let bad = |key: &str, what: &str| Err(at.error(span.clone(), &format!("choices.{key}"), what));
            if choices.size == 0 {
                return bad("size", "1 or more is wanted");
            }
            if !(choices.hold_s > 0.0 && choices.hold_s <= LONGEST_S) {
                return bad("hold_s", "seconds above 0 are wanted");
            }
        }
        for (i, clients) in schedule.clients.iter().enumerate() {
            let (span, clients) = (clients.span(), clients.get_ref());
            let key = |name: &str| format!("clients[{i}].{name}");
            let times = [("hold_s", clients.hold_s), ("rest_s", clients.rest_s)];
            if let Some((name, _)) = times.into_iter().find(|(_, s)| !(*s > 0.0 && *s <= LONGEST_S)) {
                return Err(at.error(span, &key(name), "seconds above 0 are wanted"));
            }
            if clients.wait_ms == 0 || clients.wait_ms > 60_000 {
                return Err(at.error(span, &key("wait_ms"), "1 to 60000 is wanted"));
            }
            if !(0.0..=1e9).contains(&clients.load_us) {
                return Err(at.error(span, &key("load_us"), "0 to 1000000000 is wanted"));
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let parties = Parties { nodes: count, hosts: hosts.count, zones: &schedule.nodes.zones };
        let mut faults = Vec::new();
        for (i, fault) in schedule.faults.iter().enumerate() {
            let span = fault.span();
            let bad = |key: &str, what: String| at.error(span.clone(), &format!("faults[{i}].{key}"), what);
            let mut fault = fault.get_ref().clone();
            if let Some(every) = fault.every_s
                && !(every > 0.0 && every >= fault.for_s.unwrap_or(every) && length_s / every <= MOST_TIMES)
            {
                let what = format!("at least for_s is wanted, and at most {MOST_TIMES} times in the run");
                return Err(bad("every_s", what));
            }
            let every = fault.every_s.unwrap_or(f64::INFINITY);
            loop {
                let planned = plan(&fault, &parties, length_s, &mut rng);
                faults.push((i, planned.map_err(|(key, what)| bad(key, what))?));
                fault.at_s += every;
                if fault.at_s > length_s {
                    break;
                }
            }
        }
        if let Some(members) = &schedule.members {
            let (span, members) = (members.span(), members.get_ref());
            let bad = |key: &str, what: &str| Err(at.error(span.clone(), &format!("members.{key}"), what));
            if !(20..=60_000).contains(&members.period_ms) {
                return bad("period_ms", "20 to 60000 is wanted");
            }
            if !(members.suspicion >= 1.0 && members.suspicion <= 100.0) {
                return bad("suspicion", "1 to 100 is wanted");
            }
            if !(0.0..0.5).contains(&members.clock_rate) {
                return bad("clock_rate", "a share from 0 to under 0.5 is wanted");
            }
        }
        if let Some((i, key, what)) = contradiction(&faults) {
            return Err(at.error(schedule.faults[i].span(), &format!("faults[{i}].{key}"), what));
        }
        faults.sort_by(|(_, a), (_, b)| a.at_s.total_cmp(&b.at_s));
        Ok(Plan {
            title: schedule.title,
            seed,
            length_s,
            nodes: count,
            zones: schedule.nodes.zones,
            traffic: schedule.nodes.traffic,
            members: schedule.members.map(Spanned::into_inner),
            choices: choices.map(|(_, choices)| choices).unwrap_or_default(),
            hosts,
            clients: schedule.clients.into_iter().map(Spanned::into_inner).collect(),
            ways: schedule.ways,
            faults: faults.into_iter().map(|(_, fault)| fault).collect(),
        })
    }

    /// The zone of a party, by its number; clients and discovery are in none.
    pub fn zone(&self, actor: Actor) -> Option<usize> {
        match actor {
            Actor::Node(n) | Actor::Host(n) => Some(n % self.zones.len()),
            Actor::Discovery | Actor::Clients => None,
        }
    }
}

/// Who there is.
struct Parties<'a> {
    nodes: usize,
    hosts: usize,
    zones: &'a [String],
}

impl Parties<'_> {
    /// Those that a word names.
    fn named(&self, word: &str, rng: &mut Pcg64Mcg) -> Result<Vec<Actor>, PartyError> {
        let nodes = || (0..self.nodes).map(Actor::Node);
        let hosts = || (0..self.hosts).map(Actor::Host);
        match word.split_once(':') {
            Some(("zone", zone)) => {
                let zone = self.zones.iter().position(|name| name == zone);
                let zone = zone.ok_or_else(|| PartyError::Zone(word.to_owned()))?;
                let within = |n: usize| n % self.zones.len() == zone;
                Ok(nodes()
                    .chain(hosts())
                    .filter(|actor| matches!(actor, Actor::Node(n) | Actor::Host(n) if within(*n)))
                    .collect())
            }
            Some(("share", share)) => {
                let share: Option<f64> = share.parse().ok().filter(|share| (0.0..=1.0).contains(share));
                let share = share.ok_or_else(|| PartyError::Share(word.to_owned()))?;
                let mut drawn: Vec<Actor> = nodes().collect();
                drawn.shuffle(rng);
                drawn.truncate((share * self.nodes as f64).round() as usize);
                Ok(drawn)
            }
            Some(_) => Err(PartyError::Group(word.to_owned())),
            None if word == "nodes" => Ok(nodes().collect()),
            None if word == "hosts" => Ok(hosts().collect()),
            None => match Actor::try_from(word.to_owned())? {
                Actor::Node(n) if n >= self.nodes => Err(PartyError::Node { last: self.nodes - 1 }),
                Actor::Host(h) if h >= self.hosts => Err(PartyError::Host { count: self.hosts }),
                actor => Ok(vec![actor]),
            },
        }
    }

    fn all_named(&self, words: &[String], rng: &mut Pcg64Mcg) -> Result<BTreeSet<Actor>, PartyError> {
        words.iter().try_fold(BTreeSet::new(), |mut set, word| {
            set.extend(self.named(word, rng)?);
            Ok(set)
        })
    }

    fn everyone(&self) -> BTreeSet<Actor> {
        let nodes = (0..self.nodes).map(Actor::Node);
        nodes.chain((0..self.hosts).map(Actor::Host)).chain([Actor::Discovery, Actor::Clients]).collect()
    }
}

type Bad = (&'static str, String);

fn plan(fault: &Fault, parties: &Parties, length_s: f64, rng: &mut Pcg64Mcg) -> Result<Planned, Bad> {
    let kind = fault.kind;
    let about = kind.about();
    if !(0.0..=length_s).contains(&fault.at_s) {
        return Err(("at_s", format!("0 to length_s ({length_s}) is wanted")));
    }
    if fault.for_s.is_some_and(|s| !(s > 0.0 && s <= LONGEST_S)) {
        return Err(("for_s", "seconds above 0 are wanted".to_owned()));
    }
    if kind.wants_span() && fault.for_s.is_none() {
        return Err(("for_s", format!("{kind} needs it")));
    }
    if kind.wants_share() != fault.share.is_some() {
        return Err((
            "share",
            if fault.share.is_none() { format!("{kind} needs it") } else { format!("not for {kind}") },
        ));
    }
    if fault.share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
        return Err(("share", "a share from 0 to 1 is wanted".to_owned()));
    }
    if kind.wants_ms() != fault.ms.is_some() {
        return Err((
            "ms",
            if fault.ms.is_none() { format!("{kind} needs it") } else { format!("not for {kind}") },
        ));
    }
    if fault.ms.is_some_and(|ms| !(0.0..=600_000.0).contains(&ms)) {
        return Err(("ms", "0 to 600000 is wanted".to_owned()));
    }
    let mut named =
        |key, words: &[String]| parties.all_named(words, rng).map_err(|error| (key, error.to_string()));
    let (on, from, to) = (named("on", &fault.on)?, named("from", &fault.from)?, named("to", &fault.to)?);
    let hosts = named("hosts", &fault.hosts)?;
    let wanted = |actor: &Actor| match about {
        About::Process | About::List => matches!(actor, Actor::Node(_)),
        About::Host => matches!(actor, Actor::Host(_)),
        About::Way => false,
    };
    if about == About::Way {
        if !on.is_empty() {
            return Err(("on", format!("{kind} is about ways: from and to are wanted")));
        }
    } else {
        if !from.is_empty() || !to.is_empty() {
            return Err((
                if from.is_empty() { "to" } else { "from" },
                format!("{kind} is not about ways: on is wanted"),
            ));
        }
        if on.is_empty() {
            return Err(("on", format!("{kind} hits nobody")));
        }
    }
    // A zone names nodes and hosts: a fault takes those that it is about.
    let (named, on): (usize, BTreeSet<Actor>) = (on.len(), on.into_iter().filter(wanted).collect());
    if named > 0 && on.is_empty() {
        let what = if about == About::Host { "hosts" } else { "nodes" };
        return Err(("on", format!("{kind} is about {what}, and none is named")));
    }
    let lists = matches!(kind, Kind::ListLeavesOut | Kind::ListLies);
    if lists == hosts.is_empty() {
        return Err(("hosts", if lists { format!("{kind} needs them") } else { format!("not for {kind}") }));
    }
    if hosts.iter().any(|actor| !matches!(actor, Actor::Host(_))) {
        return Err(("hosts", "hosts are wanted: h0, hosts".to_owned()));
    }
    let or_all = |set: BTreeSet<Actor>| if set.is_empty() { parties.everyone() } else { set };
    let (from, to) = if about == About::Way { (or_all(from), or_all(to)) } else { (from, to) };
    let (share, ms) = (fault.share.unwrap_or(0.0), fault.ms.unwrap_or(0.0));
    Ok(Planned { at_s: fault.at_s, for_s: fault.for_s, kind, on, from, to, share, ms, hosts })
}

/// Faults that can't both be: a party that is away is told to do something else. Each fault with its place in the file.
fn contradiction(faults: &[(usize, Planned)]) -> Option<(usize, &'static str, String)> {
    let away = |fault: &Planned| {
        matches!(
            fault.kind,
            Kind::Kill | Kind::Stop | Kind::Pause | Kind::Replace | Kind::HostKill | Kind::HostDrain
        )
    };
    let mut by_time: Vec<&(usize, Planned)> = faults.iter().filter(|(_, fault)| away(fault)).collect();
    by_time.sort_by(|(_, a), (_, b)| a.at_s.total_cmp(&b.at_s));
    let mut until: std::collections::BTreeMap<Actor, (f64, Kind)> = std::collections::BTreeMap::new();
    for (i, fault) in by_time {
        // A replacement takes no time that the schedule knows.
        let longest = if fault.kind == Kind::Replace { 0.0 } else { f64::INFINITY };
        for actor in &fault.on {
            if let Some((_, kind)) = until.get(actor).filter(|(until, _)| *until > fault.at_s) {
                return Some((*i, "on", format!("{actor} is already under {kind} then")));
            }
            until.insert(*actor, (fault.at_s + fault.for_s.unwrap_or(longest), fault.kind));
        }
    }
    None
}
