//! Endpoint list: which servers may be sent new work.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::types::{Action, Endpoint, EndpointListKind, EndpointState, Micros, ServerId, TimerToken};

use super::Policy;
use super::server::Server;

/// The first wait before the list is asked for again; doubled after each failure.
pub(super) const POLL_BACKOFF: Micros = Micros::from_millis(500);

/// So many times at most.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 2;

/// A probe that found a server running counts this long.
const PROBE_ANSWER_VALID_FOR: Micros = Micros::from_millis(8_000);

/// Wakes the asking for the list.
pub(super) const POLL_TIMER: TimerToken = TimerToken(1);

impl Policy {
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        entries: Vec<Endpoint>,
        out: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            // A subscription that broke is asked for again, later each time but within the list's own limit.
            // From the list's return until what it has counts as told: half for the wait, half for its queue.
            let wait = POLL_BACKOFF.scale(f64::from(1 << self.ask_failures.min(MAX_POLL_BACKOFF_DOUBLINGS)));
            let wait = wait.scale(0.5 + self.rng.random::<f64>()).min(self.set.max_poll_interval.scale(0.5));
            if self.set.must_subscribe && !self.asking {
                self.asking = true;
                self.ask_failures += 1;
                out.push(Action::SetTimer(wait, POLL_TIMER));
                self.log(None, format!("list: call failed, asking again in {} ms", wait.0 / 1_000), out);
            }
            return;
        }
        self.ask_failures = 0;
        self.lists += 1;
        if kind != EndpointListKind::Delta {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
            for server in self.servers.iter_mut().filter(|s| !named.contains(&s.entry.id)) {
                if server.entry.state != EndpointState::Gone {
                    (server.entry.state, server.called) = (EndpointState::Gone, self.lists);
                }
            }
        }
        for entry in entries {
            self.apply_endpoint(now, entry);
        }
        self.find_disproved_lists(now);
        self.update_zone_affinity(now);
    }

    fn apply_endpoint(&mut self, now: Micros, entry: Endpoint) {
        let s = *self.by_id.entry(entry.id).or_insert(self.servers.len());
        if s == self.servers.len() {
            // Somewhere within its turn: with many nodes what was never used would be due at nearly all.
            let sent = now - self.setup_interval().scale(self.rng.random::<f64>());
            let entry = Endpoint { started: None, ..entry };
            self.servers.push(Server { entry, sent, ..Server::default() });
        }
        if self.servers[s].entry.started != entry.started {
            // This node's place in the turns that the nodes take at a cold server.
            let nodes = u64::from(self.set.node_count);
            let place = self.set.node_index.map_or_else(|| self.rng.random(), u64::from);
            let server = &mut self.servers[s];
            server.credit = (place.wrapping_add(entry.id.0) % nodes) as f64 / nodes as f64;
            // Guards against stamps that are off: what is heard of has started by then.
            server.started = entry.started.map(|started| (started + self.set.start_time_tolerance).min(now));
            // A process that starts anew has no history.
            (server.slowness, server.delay, server.limit, server.above) = (0.0, None, None, 0);
            (server.failures, server.shut, server.permits, server.paused_until) = (0, false, 0, Micros(0));
            server.kept_until = Micros(0);
        }
        let server = &mut self.servers[s];
        if entry.state == EndpointState::Gone && server.entry.state != EndpointState::Gone {
            server.called = self.lists;
        }
        server.entry = entry;
        server.drains = entry.state == EndpointState::Draining || (server.drains && !entry.ready());
    }

    /// Whether this is called gone, or left out, where that is advice and no more, and did not drain before.
    pub(super) fn removal_is_advice(&self, s: usize) -> bool {
        let server = &self.servers[s];
        self.set.removal_is_advisory && server.entry.state == EndpointState::Gone && !server.drains
    }

    /// Whether the list and what is known beside it let new work go there.
    pub(super) fn is_available(&self, now: Micros, s: usize) -> bool {
        let doubted = || self.doubted.contains(&self.servers[s].called) || self.is_known_to_run(now, s);
        self.servers[s].entry.ready() || (self.removal_is_advice(s) && doubted())
    }

    /// Whether something of this node's stands there, or a probe has answered of late.
    fn is_known_to_run(&self, now: Micros, s: usize) -> bool {
        let server = &self.servers[s];
        !server.conns.is_empty() || server.found.is_some_and(|at| now < at + PROBE_ANSWER_VALID_FOR)
    }

    /// Guards against a list that calls running servers gone: where one of those that it called gone together
    /// runs, that list is wrong about all of them.
    pub(super) fn find_disproved_lists(&mut self, now: Micros) {
        let runs = |&s: &usize| self.removal_is_advice(s) && self.is_known_to_run(now, s);
        let wrong = (0..self.servers.len()).filter(runs).map(|s| self.servers[s].called);
        self.doubted = wrong.collect();
    }
}
