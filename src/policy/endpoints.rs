//! The endpoint list: which servers may be sent new work, and when the list is not believed.
//!
//! Acts on each list or change that discovery delivers, and on a subscription that failed.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::types::{Action, Endpoint, EndpointListKind, EndpointState, Micros, ServerId, TimerToken};

use super::Policy;
use super::capacity::ObservedCapacity;
use super::server::{Server, ServerIndex};
use super::slow_start::SlowStartTokens;

/// Wakes the next poll of the endpoint list.
pub(super) const POLL_TIMER: TimerToken = TimerToken(1);

/// Backoff before the endpoint list is polled again after a first failure.
const POLL_BACKOFF: Micros = Micros::from_millis(500);
/// The backoff doubles with each further failure, so many times at most.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 2;
/// A probe that was answered shows for this long that a server runs.
const PROBE_ANSWER_VALID_FOR: Micros = Micros::from_millis(8_000);

/// The subscription to the endpoint list.
#[derive(Default)]
pub(super) struct Subscription {
    /// Failures since the last list.
    failures: u32,
    /// A timer for the next poll is set.
    poll_scheduled: bool,
}

/// The endpoint lists that came, by their number.
#[derive(Default)]
pub(super) struct ListHistory {
    /// Lists received so far; the number of the last one.
    received: u32,
    /// Lists that removed a server which runs.
    disproved: BTreeSet<u32>,
}

impl Policy {
    /// Schedules the first poll. Nodes that start together must not poll together: one discovery serves all.
    pub(super) fn schedule_first_poll(&mut self, actions: &mut Vec<Action>) {
        let all_nodes = POLL_BACKOFF.scale(f64::from(self.settings.node_count));
        let spread = all_nodes.min(self.settings.max_poll_interval).scale(0.5);
        actions.push(Action::SetTimer(spread.scale(self.rng.random::<f64>()), POLL_TIMER));
    }

    /// The backoff is over: subscribes to the endpoint list.
    pub(super) fn on_poll_timer(&mut self, actions: &mut Vec<Action>) {
        self.subscription.poll_scheduled = false;
        actions.push(Action::WatchEndpoints);
    }

    /// A list or a change of it has come, or the subscription has failed.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            return self.schedule_next_poll(actions);
        }
        self.subscription.failures = 0;
        self.lists.received += 1;
        if kind != EndpointListKind::Delta {
            self.remove_unlisted(&endpoints);
        }
        for endpoint in endpoints {
            self.apply_endpoint(now, endpoint);
        }
        self.update_disproved_lists(now);
        self.update_zone_affinity(now);
    }

    /// Polls again after a failure, with backoff and jitter. Half of the permitted interval is kept for the
    /// time that the list takes to come.
    fn schedule_next_poll(&mut self, actions: &mut Vec<Action>) {
        let doublings = self.subscription.failures.min(MAX_POLL_BACKOFF_DOUBLINGS);
        let backoff = POLL_BACKOFF.scale(f64::from(1 << doublings));
        // Drawn before the checks, so that the sequence of random numbers does not depend on them.
        let jitter = 0.5 + self.rng.random::<f64>();
        let wait = backoff.scale(jitter).min(self.settings.max_poll_interval.scale(0.5));
        if !self.settings.must_subscribe || self.subscription.poll_scheduled {
            return;
        }
        self.subscription.poll_scheduled = true;
        self.subscription.failures += 1;
        actions.push(Action::SetTimer(wait, POLL_TIMER));
        self.log(None, format!("endpoint list: poll failed, next poll in {} ms", wait.0 / 1_000), actions);
    }

    /// A full list removes every server that it does not name.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let named: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        for server in self.servers.iter_mut().filter(|server| !named.contains(&server.endpoint.id)) {
            if server.endpoint.state != EndpointState::Removed {
                server.endpoint.state = EndpointState::Removed;
                server.removed_by_list = self.lists.received;
            }
        }
    }

    fn apply_endpoint(&mut self, now: Micros, endpoint: Endpoint) {
        let index = self.find_or_add_server(now, endpoint);
        if self.servers[index].endpoint.started != endpoint.started {
            self.reset_history(now, index, endpoint);
        }
        let server = &mut self.servers[index];
        if endpoint.state == EndpointState::Removed && server.endpoint.state != EndpointState::Removed {
            server.removed_by_list = self.lists.received;
        }
        let still_draining = server.draining && !endpoint.ready();
        server.draining = endpoint.state == EndpointState::Draining || still_draining;
        server.endpoint = endpoint;
    }

    fn find_or_add_server(&mut self, now: Micros, endpoint: Endpoint) -> ServerIndex {
        let next = self.servers.len();
        let index = *self.index_by_id.entry(endpoint.id).or_insert(next);
        if index == next {
            // Somewhere within the interval: at many nodes nearly all servers would else be due for a set-up.
            let last_attempt_at = now - self.setup_interval().scale(self.rng.random::<f64>());
            let endpoint = Endpoint { started: None, ..endpoint };
            self.servers.push(Server { endpoint, last_attempt_at, ..Server::default() });
        }
        index
    }

    /// Forgets what was seen of a server: its process was started anew.
    fn reset_history(&mut self, now: Micros, index: ServerIndex, endpoint: Endpoint) {
        let nodes = u64::from(self.settings.node_count);
        let node = self.settings.node_index.map_or_else(|| self.rng.random(), u64::from);
        let turn = (node.wrapping_add(endpoint.id.0) % nodes) as f64 / nodes as f64;
        let server = &mut self.servers[index];
        server.slow_start = SlowStartTokens::starting_at(turn);
        // Clocks differ, but what is listed has started by now.
        let latest_start = |started: Micros| (started + self.settings.start_time_tolerance).min(now);
        server.started = endpoint.started.map(latest_start);
        server.capacity = ObservedCapacity::default();
        server.delay = None;
        server.overloaded_periods = 0;
        server.outlier.reset_failures();
    }

    /// Whether new work may go to a server by the endpoint list, and by what is known of servers that a list
    /// removed.
    pub(super) fn is_available(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let removal_is_wrong =
            || self.lists.disproved.contains(&server.removed_by_list) || self.is_known_running(now, index);
        server.endpoint.ready() || (self.is_advisory_removal(index) && removal_is_wrong())
    }

    /// The available servers, in the order of their position.
    pub(super) fn available_servers(&self, now: Micros) -> impl Iterator<Item = ServerIndex> {
        (0..self.servers.len()).filter(move |&index| self.is_available(now, index))
    }

    /// Whether a server was removed without draining before, where the settings call a removal advice only.
    pub(super) fn is_advisory_removal(&self, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let removed = server.endpoint.state == EndpointState::Removed;
        self.settings.removal_is_advisory && removed && !server.draining
    }

    /// Whether a server holds a connection of this node, or has recently answered a probe.
    fn is_known_running(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let answered = server.probes.answered_at;
        !server.load.connections.is_empty() || answered.is_some_and(|at| now < at + PROBE_ANSWER_VALID_FOR)
    }

    /// Notes the lists that removed running servers: where one server that a list removed runs, that list is
    /// wrong about all that it removed.
    pub(super) fn update_disproved_lists(&mut self, now: Micros) {
        let disproves =
            |&index: &ServerIndex| self.is_advisory_removal(index) && self.is_known_running(now, index);
        let disproved = (0..self.servers.len()).filter(disproves);
        self.lists.disproved = disproved.map(|index| self.servers[index].removed_by_list).collect();
    }
}
