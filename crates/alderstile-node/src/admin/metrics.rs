//! The figures that operators fetch: counts since this process's start, and their statsd text. Pure.
//!
//! Each fact is counted where it happens, once.

use std::fmt::Write;

use alderstile_cluster::membership::MembershipStats;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its connection came up.
    Success,
    /// It was refused.
    Busy,
    /// It failed.
    Failure,
}

/// What is counted for one class of requests.
#[derive(Clone, Debug, Default)]
struct Class {
    name: String,
    success: u64,
    busy: u64,
    failure: u64,
}

/// What was counted so far.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    classes: Vec<Class>,
    /// Attempts whose line was written whole to a host.
    pub backend_calls: u64,
    /// Configurations taken at SIGHUP.
    pub reconfig_ok: u64,
    /// Configurations turned down at SIGHUP.
    pub reconfig_failed: u64,
}

/// What holds at the moment of asking.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Connections taken and not ended.
    pub inflight: usize,
    /// Hosts in the list.
    pub hosts_listed: usize,
    /// Listed hosts that the node avoids now, by hand or by choice.
    pub hosts_down: usize,
    /// Hosts in use and those added for others, where nodes share hosts out.
    pub subset: Option<(usize, usize)>,
    /// The members of the cluster, where the node is one.
    pub members: Option<MembershipStats>,
}

impl Counters {
    /// The classes by their numbers: new ones stand at 0 from now on. A class keeps its number and its counts.
    pub fn classes(&mut self, names: &[String]) {
        for name in names.iter().skip(self.classes.len()) {
            self.classes.push(Class { name: statsd_name(name), ..Class::default() });
        }
    }

    /// A request of a class has its answer.
    pub fn ended(&mut self, class: u16, how: Ended) {
        let Some(class) = self.classes.get_mut(usize::from(class)) else { return };
        match how {
            Ended::Success => class.success += 1,
            Ended::Busy => class.busy += 1,
            Ended::Failure => class.failure += 1,
        }
    }

    /// All figures, a line each.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "router.{name}:{value}|{kind}");
        };
        for class in &self.classes {
            line(&format!("success.{}", class.name), class.success, 'c');
            line(&format!("busy.{}", class.name), class.busy, 'c');
            line(&format!("failure.{}", class.name), class.failure, 'c');
        }
        line("backend_calls", self.backend_calls, 'c');
        line("reconfig_ok", self.reconfig_ok, 'c');
        line("reconfig_failed", self.reconfig_failed, 'c');
        line("inflight", gauges.inflight as u64, 'g');
        line("hosts_listed", gauges.hosts_listed as u64, 'g');
        line("hosts_down", gauges.hosts_down as u64, 'g');
        if let Some((used, added)) = gauges.subset {
            line("subset_used", used as u64, 'g');
            line("subset_added", added as u64, 'g');
        }
        if let Some(members) = gauges.members {
            line("members_alive", members.alive as u64, 'g');
            line("members_suspect", members.suspect as u64, 'g');
            line("members_dead", members.dead as u64, 'g');
            line("members_claimed", members.name_conflicts as u64, 'g');
            line("members_health", u64::from(members.local_health), 'g');
            let counters = members.counters;
            line("members_sent", counters.sent, 'c');
            line("members_sent_bytes", counters.sent_bytes, 'c');
            line("members_taken", counters.accepted, 'c');
            line("members_foreign", counters.unauthenticated, 'c');
            line("members_damaged", counters.malformed, 'c');
            line("members_newer", counters.unsupported_format, 'c');
            line("members_stale", counters.wrong_instance, 'c');
            line("members_replayed", counters.replayed, 'c');
            line("members_held_back", counters.rate_limited, 'c');
            line("members_refuted", counters.refutations, 'c');
        }
        text
    }
}

/// A class's name where `:` and `|` part a line: what would part it is shown as `_`.
fn statsd_name(class: &str) -> String {
    class.replace(|c: char| matches!(c, ':' | '|' | '@' | '#') || c.is_whitespace() || c.is_control(), "_")
}
