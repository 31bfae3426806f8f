//! Attempts and retries: when an attempt is sent, how its end is handled, and when a retry may
//! follow.

use crate::types::{Action, DedupScope, Idempotency, Micros, Outcome, Request, RequestId};

use super::Policy;
use super::connection::{Connection, ConnectionState, FirstExecution};
use super::server::ServerIndex;

impl Policy {
    /// Handles a client's request, which needs one final answer.
    pub(super) fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        self.record_admitted_request(now);
        let connection = self.new_connection(now, request);
        self.attempt(now, connection, actions);
    }

    /// Sends a request to a server, or answers it at once if that is impossible.
    pub(super) fn attempt(&mut self, now: Micros, connection: Connection, actions: &mut Vec<Action>) {
        let allowed = self.may_attempt(now, &connection);
        let Some(index) = allowed.then(|| self.select_server(now, &connection)).flatten() else {
            return self.give_up(now, &connection, actions);
        };
        if self.needs_probe(now, index, &connection) {
            return self.wait_for_probe(index, connection, actions);
        }
        self.record_attempt(now, &connection);
        let timeout = self.attempt_timeout(now, &connection);
        let server = self.servers[index].endpoint.id;
        actions.push(Action::Forward(connection.request.id, server, timeout));
        self.start_attempt(now, index, Connection { has_attempt_timeout: timeout.is_some(), ..connection });
    }

    /// Returns whether the deadline, the maximum number of attempts and the retry budget allow
    /// another attempt. A request that appears expired may be valid if clocks differ.
    fn may_attempt(&self, now: Micros, connection: &Connection) -> bool {
        let in_time = now < connection.deadline + self.settings.deadline_tolerance;
        let attempts_left = (connection.attempted_servers.len() as u32) < self.settings.max_attempts;
        in_time && attempts_left && (connection.attempted_servers.is_empty() || self.budget_allows_retry(now))
    }

    /// Records an attempt that is sent to a server.
    pub(super) fn start_attempt(&mut self, now: Micros, index: ServerIndex, mut connection: Connection) {
        let server = &mut self.servers[index];
        connection.state = ConnectionState::Attempting(index);
        connection.sent = now;
        connection.server_started = server.started;
        connection.attempted_servers.push(index);
        server.last_attempt_at = now;
        server.slow_start.spend_one();
        self.add_to_load(&connection);
        self.connections.insert(connection.request.id, connection);
    }

    /// Returns whether the attempt in flight may still be sent after its transport connection was
    /// established. Since the decision, its server may have started draining, been removed or
    /// restarted, or the deduplication window may have expired.
    pub fn may_still_send(&self, now: Micros, id: RequestId) -> bool {
        let Some(connection) = self.connections.get(&id) else { return false };
        let ConnectionState::Attempting(index) = connection.state else { return false };
        self.is_available(now, index)
            && self.servers[index].started == connection.server_started
            && self.may_retry_at(now, index, connection)
    }

    /// Returns whether a request may be sent to a server, given that an earlier attempt may have
    /// been executed. An idempotent request always may; any other only while the server ignores
    /// duplicates of it.
    pub(super) fn may_retry_at(&self, now: Micros, index: ServerIndex, connection: &Connection) -> bool {
        let Some(FirstExecution { server, sent }) = connection.first_execution else { return true };
        let (first, next) = (&self.servers[server].endpoint, &self.servers[index].endpoint);
        self.binding_classes(connection).all(|class| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Deduplicated(_) if now >= sent + class.dedup_window => false,
            Idempotency::Deduplicated(DedupScope::All) => true,
            Idempotency::Deduplicated(DedupScope::Zone) => first.zone == next.zone,
            Idempotency::Deduplicated(DedupScope::Cell) => first.cell == next.cell,
        })
    }

    /// Handles an attempt that became a connection after `latency`.
    pub(super) fn on_established(
        &mut self,
        now: Micros,
        id: RequestId,
        latency: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let ConnectionState::Attempting(index) = connection.state else { return };
        connection.state = ConnectionState::Open(index);
        connection.mark_possible_execution(index);
        let request = connection.request;
        self.update_typical_load(&request, request.expected_load);
        self.record_success(now, index);
        let excess_ms = self.setups.excess_ms(latency);
        self.setups.on_success(latency);
        if !self.settings.servers_report_delay {
            self.on_setup_excess(now, index, excess_ms, actions);
        }
    }

    /// Handles the end of an attempt, or of the connection that it had become. `closed` means that
    /// the request has its final answer.
    pub(super) fn on_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        closed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        self.remove_from_load(&connection);
        self.turnover.ended += u32::from(outcome == Outcome::Ok && connection.state.is_open());
        if let Some(index) = connection.state.server() {
            self.record_failure(now, index, &connection, outcome, actions);
            self.record_timeout(now, &connection, outcome);
            if outcome.may_have_executed() {
                connection.mark_possible_execution(index);
            }
        }
        if !closed && !connection.state.is_migrating() {
            connection.state = ConnectionState::Waiting;
            self.retry_or_give_up(now, connection, outcome, actions);
        }
    }

    fn retry_or_give_up(
        &mut self,
        now: Micros,
        connection: Connection,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if self.client_has_given_up(&connection, outcome) || !self.has_retry_token(outcome) {
            return self.give_up(now, &connection, actions);
        }
        self.spend_retry_token(outcome);
        self.attempt(now, connection, actions);
    }

    /// Returns whether an outcome shows that the client's deadline has passed, even if it has not
    /// passed by this node's clock. Applies if clocks may differ and the attempt had no timeout of
    /// its own, so that only the client's deadline limited it.
    fn client_has_given_up(&self, connection: &Connection, outcome: Outcome) -> bool {
        let out_of_time = matches!(outcome, Outcome::Timeout | Outcome::NeverSent);
        let clocks_differ = self.settings.deadline_tolerance > Micros(0);
        out_of_time && !connection.has_attempt_timeout && clocks_differ
    }
}
