//! Attempts: when one is sent, when it may be repeated, and what its end leads to.

use crate::types::{Action, DedupScope, Idempotency, Micros, Outcome, RequestId};

use super::Policy;
use super::connection::{Conn, Stage};

impl Policy {
    /// Sends a request to a server, or answers it at once where that cannot be.
    pub(super) fn attempt(&mut self, now: Micros, conn: Conn, out: &mut Vec<Action>) {
        let id = conn.request.id;
        let further = !conn.tried.is_empty();
        // What looks expired may not be, where clocks differ; but nothing waits for a look by a doubtful
        // clock.
        let open = now < conn.deadline + self.set.deadline_tolerance;
        let more = open && (conn.tried.len() as u32) < self.set.max_attempts;
        let allowed = !further || self.set.retry_budget.is_none_or(|budget| self.budget_allows(now, budget));
        let Some(s) = (more && allowed).then(|| self.choose(now, &conn)).flatten() else {
            return self.give_up(&conn, out);
        };
        if self.wait_for_probe(now, s, &conn, out) {
            self.conns.insert(id, conn);
            return;
        }
        self.count_in_window(now, 0, u32::from(further));
        let timeout = self.attempt_timeout(now, &conn);
        out.push(Action::Forward(id, self.servers[s].entry.id, timeout));
        self.start_attempt(now, s, Conn { timed: timeout.is_some(), ..conn });
    }

    pub(super) fn start_attempt(&mut self, now: Micros, s: usize, mut conn: Conn) {
        conn.stage = Stage::Trying(s);
        conn.sent = now;
        conn.started = self.servers[s].started;
        conn.tried.push(s);
        self.servers[s].sent = now;
        self.servers[s].permits = self.servers[s].permits.saturating_sub(1);
        self.add_to_load(&conn);
        self.conns.insert(conn.request.id, conn);
    }

    /// Whether what an attempt may have done before lets this request go to this server now.
    pub(super) fn may_repeat_at(&self, now: Micros, s: usize, conn: &Conn) -> bool {
        let Some((first, sent)) = conn.ran else { return true };
        let (first, entry) = (&self.servers[first].entry, &self.servers[s].entry);
        self.binding_classes(conn).all(|class| match class.idempotency {
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
        let Some(conn) = self.conns.get(&id) else { return false };
        let Stage::Trying(s) = conn.stage else { return false };
        self.is_available(now, s)
            && self.servers[s].started == conn.started
            && self.may_repeat_at(now, s, conn)
    }

    pub(super) fn on_established(
        &mut self,
        now: Micros,
        id: RequestId,
        latency: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Stage::Trying(s) = conn.stage else { return };
        conn.stage = Stage::Open(s);
        self.trying -= 1;
        conn.ran.get_or_insert((s, conn.sent));
        let request = conn.request;
        self.learn_typical_load(&request, request.expected_load);
        let server = &mut self.servers[s];
        // Guards against a restart that the list tells of late or never: its record is the lowest.
        if std::mem::take(&mut server.fell) {
            (server.started, server.permits) = (Some(now), 0);
        }
        server.shut = false;
        let took = latency.as_secs_f64() * 1e3;
        let usual = self.usual_setup_ms.0.unwrap_or(took);
        // A slow server must not pass for usual, but where all are slow that is the usual soon.
        self.usual_setup_ms.add(took.min(2.0 * usual));
        self.unanswered.add(0.0);
        if !self.set.servers_report_delay {
            self.on_setup_excess(now, s, took - usual, out);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(mut conn) = self.conns.remove(&id) else { return };
        self.remove_from_load(&conn);
        let itself = outcome == Outcome::Ok;
        self.ended += u32::from(itself && matches!(conn.stage, Stage::Open(_)));
        if let Some(s) = conn.stage.server() {
            self.record_failure(now, s, &conn, outcome, out);
            if outcome == Outcome::Timeout && conn.timed {
                self.unanswered.add(1.0);
                // Guards against a fleet that is slow as a whole, where time-outs would add to its work.
                let took = (now - conn.sent).as_secs_f64() * 1e3;
                self.usual_setup_ms.add(self.usual_setup_ms.0.map_or(took, |usual| took.min(2.0 * usual)));
            }
            if outcome.may_have_run() {
                conn.ran.get_or_insert((s, conn.sent));
            }
        }
        if closed || matches!(conn.stage, Stage::Leaving(_)) {
            return;
        }
        conn.stage = Stage::Held;
        // The client's time is over, whatever was told of it, unless the attempt had a time-out of its own.
        let late = matches!(outcome, Outcome::Timeout | Outcome::NeverSent) && !conn.timed;
        let over = late && self.set.deadline_tolerance > Micros(0);
        // What was not sent, or found no connection, is no load on anyone.
        let saved = self.set.retry_budget.is_none()
            && !matches!(outcome, Outcome::NotForwarded | Outcome::ConnectFailed);
        if over || (saved && self.retry_tokens < 1.0) {
            return self.give_up(&conn, out);
        }
        self.retry_tokens -= if saved { 1.0 } else { 0.0 };
        self.attempt(now, conn, out);
    }
}
