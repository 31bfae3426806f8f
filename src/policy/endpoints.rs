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

/// The subscription to the endpoint list.
#[derive(Default)]
pub(super) struct Subscription {
    /// Failures since the last list.
    pub(super) failures: u32,
    /// A timer for the next poll is set.
    pub(super) poll_scheduled: bool,
}

/// The endpoint lists that came, by their number.
#[derive(Default)]
pub(super) struct ListHistory {
    /// Lists received so far; the number of the last one.
    pub(super) received: u32,
    /// Lists that removed a server which runs.
    pub(super) disproved: BTreeSet<u32>,
}

impl Policy {
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        entries: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            // A subscription that broke is asked for again, later each time but within the list's own limit.
            // From the list's return until what it has counts as told: half for the wait, half for its queue.
            let wait = POLL_BACKOFF
                .scale(f64::from(1 << self.subscription.failures.min(MAX_POLL_BACKOFF_DOUBLINGS)));
            let wait =
                wait.scale(0.5 + self.rng.random::<f64>()).min(self.settings.max_poll_interval.scale(0.5));
            if self.settings.must_subscribe && !self.subscription.poll_scheduled {
                self.subscription.poll_scheduled = true;
                self.subscription.failures += 1;
                actions.push(Action::SetTimer(wait, POLL_TIMER));
                self.log(None, format!("list: call failed, asking again in {} ms", wait.0 / 1_000), actions);
            }
            return;
        }
        self.subscription.failures = 0;
        self.lists.received += 1;
        if kind != EndpointListKind::Delta {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
            for server in self.servers.iter_mut().filter(|server| !named.contains(&server.endpoint.id)) {
                if server.endpoint.state != EndpointState::Gone {
                    (server.endpoint.state, server.removed_by_list) =
                        (EndpointState::Gone, self.lists.received);
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
        let index = *self.index_by_id.entry(entry.id).or_insert(self.servers.len());
        if index == self.servers.len() {
            // Somewhere within its turn: with many nodes what was never used would be due at nearly all.
            let sent = now - self.setup_interval().scale(self.rng.random::<f64>());
            let entry = Endpoint { started: None, ..entry };
            self.servers.push(Server { endpoint: entry, last_attempt_at: sent, ..Server::default() });
        }
        if self.servers[index].endpoint.started != entry.started {
            // This node's place in the turns that the nodes take at a cold server.
            let nodes = u64::from(self.settings.node_count);
            let place = self.settings.node_index.map_or_else(|| self.rng.random(), u64::from);
            let server = &mut self.servers[index];
            server.slow_start.fraction = (place.wrapping_add(entry.id.0) % nodes) as f64 / nodes as f64;
            // Guards against stamps that are off: what is heard of has started by then.
            server.started =
                entry.started.map(|started| (started + self.settings.start_time_tolerance).min(now));
            // A process that starts anew has no history.
            (server.capacity.slowness, server.delay, server.capacity.load_limit, server.overloaded_periods) =
                (0.0, None, None, 0);
            (
                server.outlier.failures,
                server.outlier.unreachable,
                server.slow_start.tokens,
                server.outlier.ejected_until,
            ) = (0, false, 0, Micros(0));
            server.slow_start.expire_at = Micros(0);
        }
        let server = &mut self.servers[index];
        if entry.state == EndpointState::Gone && server.endpoint.state != EndpointState::Gone {
            server.removed_by_list = self.lists.received;
        }
        server.endpoint = entry;
        server.draining = entry.state == EndpointState::Draining || (server.draining && !entry.ready());
    }

    /// Whether this is called gone, or left out, where that is advice and no more, and did not drain before.
    pub(super) fn removal_is_advice(&self, index: usize) -> bool {
        let server = &self.servers[index];
        self.settings.removal_is_advisory && server.endpoint.state == EndpointState::Gone && !server.draining
    }

    /// Whether the list and what is known beside it let new work go there.
    pub(super) fn is_available(&self, now: Micros, index: usize) -> bool {
        let doubted = || {
            self.lists.disproved.contains(&self.servers[index].removed_by_list)
                || self.is_known_to_run(now, index)
        };
        self.servers[index].endpoint.ready() || (self.removal_is_advice(index) && doubted())
    }

    /// Whether something of this node's stands there, or a probe has answered of late.
    fn is_known_to_run(&self, now: Micros, index: usize) -> bool {
        let server = &self.servers[index];
        !server.load.connections.is_empty()
            || server.probes.answered_at.is_some_and(|at| now < at + PROBE_ANSWER_VALID_FOR)
    }

    /// Guards against a list that calls running servers gone: where one of those that it called gone together
    /// runs, that list is wrong about all of them.
    pub(super) fn find_disproved_lists(&mut self, now: Micros) {
        let runs = |&index: &usize| self.removal_is_advice(index) && self.is_known_to_run(now, index);
        let wrong = (0..self.servers.len()).filter(runs).map(|index| self.servers[index].removed_by_list);
        self.lists.disproved = wrong.collect();
    }
}
