//! Attempts: when one is sent, when it may be repeated, and what its end leads to.

use crate::types::{Action, DedupScope, Idempotency, Micros, Outcome, RequestId};

use super::Policy;
use super::connection::{Connection, ConnectionState};

impl Policy {
    /// Sends a request to a server, or answers it at once where that cannot be.
    pub(super) fn attempt(&mut self, now: Micros, connection: Connection, actions: &mut Vec<Action>) {
        let id = connection.request.id;
        let further = !connection.attempted_servers.is_empty();
        // What looks expired may not be, where clocks differ; but nothing waits for a look by a doubtful
        // clock.
        let open = now < connection.deadline + self.settings.deadline_tolerance;
        let more = open && (connection.attempted_servers.len() as u32) < self.settings.max_attempts;
        let allowed =
            !further || self.settings.retry_budget.is_none_or(|budget| self.budget_allows(now, budget));
        let Some(index) = (more && allowed).then(|| self.choose(now, &connection)).flatten() else {
            return self.give_up(&connection, actions);
        };
        if self.wait_for_probe(now, index, &connection, actions) {
            self.connections.insert(id, connection);
            return;
        }
        self.count_in_window(now, 0, u32::from(further));
        let timeout = self.attempt_timeout(now, &connection);
        actions.push(Action::Forward(id, self.servers[index].endpoint.id, timeout));
        self.start_attempt(now, index, Connection { has_attempt_timeout: timeout.is_some(), ..connection });
    }

    pub(super) fn start_attempt(&mut self, now: Micros, index: usize, mut connection: Connection) {
        connection.state = ConnectionState::Attempting(index);
        connection.sent = now;
        connection.server_started = self.servers[index].started;
        connection.attempted_servers.push(index);
        self.servers[index].last_attempt_at = now;
        self.servers[index].slow_start.tokens = self.servers[index].slow_start.tokens.saturating_sub(1);
        self.add_to_load(&connection);
        self.connections.insert(connection.request.id, connection);
    }

    /// Whether what an attempt may have done before lets this request go to this server now.
    pub(super) fn may_repeat_at(&self, now: Micros, index: usize, connection: &Connection) -> bool {
        let Some((first, sent)) = connection.first_run else { return true };
        let (first, entry) = (&self.servers[first].endpoint, &self.servers[index].endpoint);
        self.binding_classes(connection).all(|class| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Deduplicated(_) if now >= sent + class.dedup_window => false,
            Idempotency::Deduplicated(DedupScope::All) => true,
            Idempotency::Deduplicated(DedupScope::Zone) => first.zone == entry.zone,
            Idempotency::Deduplicated(DedupScope::Cell) => first.cell == entry.cell,
        })
    }

    /// Whether the attempt that is out may still be sent, now that its connection is up. Guards against what
    /// came since it was decided: its server drains, is gone, started anew or drops no repeats any more.
    pub fn may_still_send(&self, now: Micros, id: RequestId) -> bool {
        let Some(connection) = self.connections.get(&id) else { return false };
        let ConnectionState::Attempting(index) = connection.state else { return false };
        self.is_available(now, index)
            && self.servers[index].started == connection.server_started
            && self.may_repeat_at(now, index, connection)
    }

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
        self.setups.attempts_in_flight -= 1;
        connection.first_run.get_or_insert((index, connection.sent));
        let request = connection.request;
        self.learn_typical_load(&request, request.expected_load);
        let server = &mut self.servers[index];
        // Guards against a restart that the list tells of late or never: its record is the lowest.
        if std::mem::take(&mut server.outlier.connect_failed) {
            (server.started, server.slow_start.tokens) = (Some(now), 0);
        }
        server.outlier.unreachable = false;
        let took = latency.as_secs_f64() * 1e3;
        let usual = self.setups.typical_ms.0.unwrap_or(took);
        // A slow server must not pass for usual, but where all are slow that is the usual soon.
        self.setups.typical_ms.add(took.min(2.0 * usual));
        self.setups.timed_out_share.add(0.0);
        if !self.settings.servers_report_delay {
            self.on_setup_excess(now, index, took - usual, actions);
        }
    }

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
        let itself = outcome == Outcome::Ok;
        self.turnover.ended += u32::from(itself && matches!(connection.state, ConnectionState::Open(_)));
        if let Some(index) = connection.state.server() {
            self.record_failure(now, index, &connection, outcome, actions);
            if outcome == Outcome::Timeout && connection.has_attempt_timeout {
                self.setups.timed_out_share.add(1.0);
                // Guards against a fleet that is slow as a whole, where time-outs would add to its work.
                let took = (now - connection.sent).as_secs_f64() * 1e3;
                self.setups
                    .typical_ms
                    .add(self.setups.typical_ms.0.map_or(took, |usual| took.min(2.0 * usual)));
            }
            if outcome.may_have_run() {
                connection.first_run.get_or_insert((index, connection.sent));
            }
        }
        if closed || matches!(connection.state, ConnectionState::Migrating(_)) {
            return;
        }
        connection.state = ConnectionState::Waiting;
        // The client's time is over, whatever was told of it, unless the attempt had a time-out of its own.
        let late =
            matches!(outcome, Outcome::Timeout | Outcome::NeverSent) && !connection.has_attempt_timeout;
        let over = late && self.settings.deadline_tolerance > Micros(0);
        // What was not sent, or found no connection, is no load on anyone.
        let saved = self.settings.retry_budget.is_none()
            && !matches!(outcome, Outcome::NotForwarded | Outcome::ConnectFailed);
        if over || (saved && self.retry_usage.tokens < 1.0) {
            return self.give_up(&connection, actions);
        }
        self.retry_usage.tokens -= if saved { 1.0 } else { 0.0 };
        self.attempt(now, connection, actions);
    }
}
