//! Endpoint list: which servers may receive new connections, and which parts of the list are
//! disregarded as wrong.
//!
//! Runs when discovery delivers a list or a change, and when the subscription fails.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::types::{Action, Endpoint, EndpointListKind, EndpointState, Micros, ServerId, TimerToken};

use super::Policy;
use super::capacity::ObservedCapacity;
use super::server::{Server, ServerIndex};
use super::slow_start::SlowStartTokens;

/// Timer of the next poll of the endpoint list.
pub(super) const POLL_TIMER: TimerToken = TimerToken(1);

/// Backoff before the next poll after the first failure.
const POLL_BACKOFF: Micros = Micros::from_millis(500);
/// Maximum number of times that the backoff doubles with further failures.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 2;
/// How long an answered probe proves that a server is running.
const PROBE_ANSWER_VALID_FOR: Micros = Micros::from_millis(8_000);

/// State of the subscription to the endpoint list.
#[derive(Default)]
pub(super) struct Subscription {
    /// Number of failures since the last list.
    failures: u32,
    /// Whether a timer for the next poll is set.
    poll_scheduled: bool,
}

/// Received endpoint lists, identified by their sequence numbers.
#[derive(Default)]
pub(super) struct ListHistory {
    /// Number of lists received, which is the sequence number of the last one.
    received: u32,
    /// Lists that removed a server which is running.
    disproved: BTreeSet<u32>,
}

impl Policy {
    /// Schedules the first poll at a random time, because nodes that start together would otherwise
    /// poll the one discovery service at the same time.
    pub(super) fn schedule_first_poll(&mut self, actions: &mut Vec<Action>) {
        let all_nodes = POLL_BACKOFF.scale(f64::from(self.settings.node_count));
        let spread = all_nodes.min(self.settings.max_poll_interval).scale(0.5);
        actions.push(Action::SetTimer(spread.scale(self.rng.random::<f64>()), POLL_TIMER));
    }

    /// Subscribes to the endpoint list after a backoff.
    pub(super) fn on_poll_timer(&mut self, actions: &mut Vec<Action>) {
        self.subscription.poll_scheduled = false;
        actions.push(Action::WatchEndpoints);
    }

    /// Applies an endpoint list, or handles a failed subscription.
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

    /// Schedules the next poll after a failure, with backoff and jitter. At most half of the
    /// maximum poll interval is used, which leaves time for the list to arrive.
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
        self.log(None, format!("endpoint list poll failed, next poll in {} ms", wait.0 / 1_000), actions);
    }

    /// Marks every server that a full list does not contain as removed.
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
            // The last attempt is dated at random within the interval. With many nodes, nearly all
            // servers would otherwise be due for a setup.
            let last_attempt_at = now - self.setup_interval().scale(self.rng.random::<f64>());
            let endpoint = Endpoint { started: None, ..endpoint };
            self.servers.push(Server { endpoint, last_attempt_at, ..Server::default() });
        }
        index
    }

    /// Resets what was observed at a server whose process has restarted.
    fn reset_history(&mut self, now: Micros, index: ServerIndex, endpoint: Endpoint) {
        let nodes = u64::from(self.settings.node_count);
        let node = self.settings.node_index.map_or_else(|| self.rng.random(), u64::from);
        let fraction = (node.wrapping_add(endpoint.id.0) % nodes) as f64 / nodes as f64;
        let server = &mut self.servers[index];
        server.slow_start = SlowStartTokens::with_fraction(fraction);
        // Clocks differ, but a listed server has started by now.
        let latest_start = |started: Micros| (started + self.settings.start_time_tolerance).min(now);
        server.started = endpoint.started.map(latest_start);
        server.capacity = ObservedCapacity::default();
        server.delay = None;
        server.overloaded_periods = 0;
        server.outlier.reset_failures();
    }

    /// Returns whether a server may receive new connections, according to the endpoint list and to
    /// the evidence that a removed server is running.
    pub(super) fn is_available(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let removal_is_wrong =
            || self.lists.disproved.contains(&server.removed_by_list) || self.is_known_running(now, index);
        server.endpoint.ready() || (self.is_advisory_removal(index) && removal_is_wrong())
    }

    /// Returns the available servers by increasing index.
    pub(super) fn available_servers(&self, now: Micros) -> impl Iterator<Item = ServerIndex> {
        (0..self.servers.len()).filter(move |&index| self.is_available(now, index))
    }

    /// Returns whether a server was removed without draining and the settings define removals as
    /// advisory.
    pub(super) fn is_advisory_removal(&self, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let removed = server.endpoint.state == EndpointState::Removed;
        self.settings.removal_is_advisory && removed && !server.draining
    }

    /// Returns whether a server has a connection of this node or has recently answered a probe.
    fn is_known_running(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let answered = server.probes.answered_at;
        !server.load.connections.is_empty() || answered.is_some_and(|at| now < at + PROBE_ANSWER_VALID_FOR)
    }

    /// Updates the set of disproved lists. If one of the servers that a list removed is running,
    /// the list is considered wrong about all servers that it removed.
    pub(super) fn update_disproved_lists(&mut self, now: Micros) {
        let disproves =
            |&index: &ServerIndex| self.is_advisory_removal(index) && self.is_known_running(now, index);
        let disproved = (0..self.servers.len()).filter(disproves);
        self.lists.disproved = disproved.map(|index| self.servers[index].removed_by_list).collect();
    }
}
