//! The metrics of one process: counters since its start, gauges of the moment, and their statsd text.
//!
//! Each event is counted once, where it happens. No I/O.

use std::fmt::Write;

use alderstile_cluster::membership::MembershipStats;
use alderstile_cluster::subsetting::SubsetCounts;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Its connection came up.
    Success,
    /// It was rejected; the client may come again.
    Rejected,
    /// It failed.
    Failure,
}

/// The counters of one class of requests.
#[derive(Clone, Debug, Default)]
struct ClassCounters {
    name: String,
    succeeded: u64,
    rejected: u64,
    failed: u64,
}

/// The counters of a process since its start.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    classes: Vec<ClassCounters>,
    /// Attempts whose line was written completely to a host.
    pub attempts_sent: u64,
    /// Configurations applied while the process runs, from a file or replicated.
    pub configs_applied: u64,
    /// Configurations rejected while the process runs.
    pub configs_rejected: u64,
}

/// What holds at the moment of asking.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Connections taken and not ended.
    pub inflight: usize,
    /// Hosts in the list.
    pub hosts_listed: usize,
    /// Listed hosts that get nothing new now, out of service or by decision.
    pub hosts_down: usize,
    /// Where each node uses a subset of the hosts.
    pub subset: Option<SubsetCounts>,
    /// The members of the cluster, where the node is one.
    pub members: Option<MembershipStats>,
}

impl Counters {
    /// Adds counters for classes that have none yet; a class keeps its number and its counts.
    pub fn register_classes(&mut self, names: &[String]) {
        for name in names.iter().skip(self.classes.len()) {
            self.classes.push(ClassCounters { name: statsd_name(name), ..ClassCounters::default() });
        }
    }

    /// Counts the end of a request of a class.
    pub fn count_outcome(&mut self, class: u16, outcome: RequestOutcome) {
        let Some(class) = self.classes.get_mut(usize::from(class)) else { return };
        match outcome {
            RequestOutcome::Success => class.succeeded += 1,
            RequestOutcome::Rejected => class.rejected += 1,
            RequestOutcome::Failure => class.failed += 1,
        }
    }

    /// All metrics as statsd text, a line each. The names are what operators' dashboards read.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = StatsdText::default();
        for class in &self.classes {
            text.counter(&format!("success.{}", class.name), class.succeeded);
            text.counter(&format!("busy.{}", class.name), class.rejected);
            text.counter(&format!("failure.{}", class.name), class.failed);
        }
        text.counter("backend_calls", self.attempts_sent);
        text.counter("reconfig_ok", self.configs_applied);
        text.counter("reconfig_failed", self.configs_rejected);
        text.gauge("inflight", gauges.inflight as u64);
        text.gauge("hosts_listed", gauges.hosts_listed as u64);
        text.gauge("hosts_down", gauges.hosts_down as u64);
        if let Some(subset) = gauges.subset {
            text.gauge("subset_used", subset.in_use as u64);
            text.gauge("subset_added", subset.added as u64);
        }
        if let Some(members) = gauges.members {
            render_members(&mut text, members);
        }
        text.into_string()
    }
}

fn render_members(text: &mut StatsdText, members: MembershipStats) {
    text.gauge("members_alive", members.alive as u64);
    text.gauge("members_suspect", members.suspect as u64);
    text.gauge("members_dead", members.dead as u64);
    text.gauge("members_claimed", members.name_conflicts as u64);
    text.gauge("members_health", u64::from(members.local_health));
    let counters = members.counters;
    text.counter("members_sent", counters.sent);
    text.counter("members_sent_bytes", counters.sent_bytes);
    text.counter("members_taken", counters.accepted);
    text.counter("members_foreign", counters.unauthenticated);
    text.counter("members_damaged", counters.malformed);
    text.counter("members_newer", counters.unsupported_format);
    text.counter("members_stale", counters.wrong_instance);
    text.counter("members_replayed", counters.replayed);
    text.counter("members_held_back", counters.rate_limited);
    text.counter("members_refuted", counters.refutations);
}

/// Metrics of the statsd format, gathered line by line.
#[derive(Debug, Default)]
pub struct StatsdText(String);

impl StatsdText {
    /// Adds a count that only grows.
    pub fn counter(&mut self, name: &str, value: u64) {
        self.line(name, value, 'c');
    }

    /// Adds a value of the moment.
    pub fn gauge(&mut self, name: &str, value: u64) {
        self.line(name, value, 'g');
    }

    fn line(&mut self, name: &str, value: u64, kind: char) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.0, "router.{name}:{value}|{kind}");
    }

    /// The lines so far.
    pub fn into_string(self) -> String {
        self.0
    }
}

/// A class's name with `_` for each character that separates the fields of a statsd line.
fn statsd_name(class: &str) -> String {
    class.replace(|c: char| matches!(c, ':' | '|' | '@' | '#') || c.is_whitespace() || c.is_control(), "_")
}
