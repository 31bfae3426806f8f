//! The metrics of one process: counters since its start, current gauges, and their statsd text.
//!
//! Each event is counted once, where it occurs. No I/O.

use std::fmt::Write;

use alderstile_cluster::membership::MembershipStats;
use alderstile_cluster::subsetting::SubsetCounts;

/// The outcome of a request as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Its connection was established.
    Success,
    /// It was rejected; the client may retry.
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
    /// Attempts whose first line was completely written to a host.
    pub attempts_sent: u64,
    /// Configurations applied after the start, from a file or replicated.
    pub configs_applied: u64,
    /// Configurations rejected after the start.
    pub configs_rejected: u64,
}

/// Current values, sampled when the metrics are rendered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Client connections accepted and not ended.
    pub inflight: usize,
    /// Hosts in the endpoint list.
    pub hosts_listed: usize,
    /// Listed hosts that receive no new requests now, being out of service or avoided by the balancer.
    pub hosts_unavailable: usize,
    /// The host counts of the subset, if the node uses one.
    pub subset: Option<SubsetCounts>,
    /// The membership statistics, if the node is a member of a cluster.
    pub members: Option<MembershipStats>,
}

impl Counters {
    /// Adds counters for new classes; existing classes keep their numbers and counts.
    pub fn register_classes(&mut self, names: &[String]) {
        for name in names.iter().skip(self.classes.len()) {
            self.classes.push(ClassCounters { name: statsd_name(name), ..ClassCounters::default() });
        }
    }

    /// Counts the outcome of a request of a class.
    pub fn count_outcome(&mut self, class: u16, outcome: RequestOutcome) {
        let Some(class) = self.classes.get_mut(usize::from(class)) else { return };
        match outcome {
            RequestOutcome::Success => class.succeeded += 1,
            RequestOutcome::Rejected => class.rejected += 1,
            RequestOutcome::Failure => class.failed += 1,
        }
    }

    /// Renders all metrics as statsd text, one per line. Operators' dashboards depend on their names.
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
        text.gauge("hosts_down", gauges.hosts_unavailable as u64);
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

/// Builds statsd text line by line.
#[derive(Debug, Default)]
pub struct StatsdText(String);

impl StatsdText {
    /// Appends a counter, which only increases.
    pub fn counter(&mut self, name: &str, value: u64) {
        self.line(name, value, 'c');
    }

    /// Appends a gauge, which is a current value.
    pub fn gauge(&mut self, name: &str, value: u64) {
        self.line(name, value, 'g');
    }

    fn line(&mut self, name: &str, value: u64, kind: char) {
        // Writing to a `String` never fails.
        let _ = writeln!(self.0, "router.{name}:{value}|{kind}");
    }

    /// Returns the text.
    pub fn into_string(self) -> String {
        self.0
    }
}

/// Returns a class's name with each statsd field separator, space and control character replaced by `_`.
fn statsd_name(class: &str) -> String {
    class.replace(|c: char| matches!(c, ':' | '|' | '@' | '#') || c.is_whitespace() || c.is_control(), "_")
}
