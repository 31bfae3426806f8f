//! What the program round the decisions may look at, and how an instance that only watches is kept in step
//! with the
//! one that decides. Nothing here decides anything.

use super::*;

impl Policy {
    /// Chance falls as for the other instance from now on.
    pub fn share_chance(&mut self, other: &Policy) {
        self.rng = other.rng.clone();
    }

    /// A request that is held.
    pub fn request(&self, id: RequestId) -> Option<Request> {
        self.conns.get(&id).map(|conn| conn.request)
    }

    /// Whatever this instance chose: the request was sent to that server, or to none and is over.
    pub fn follow(&mut self, now: Micros, request: Request, server: Option<ServerId>) {
        let known = self.conns.remove(&request.id);
        known.iter().for_each(|conn| self.leave(conn));
        let Some(&s) = server.and_then(|server| self.by_id.get(&server)) else { return };
        let mut conn = known.unwrap_or_else(|| self.conn(now, request));
        if conn.stage.trying() {
            conn.tried.pop();
        }
        self.send(now, s, conn);
    }

    /// Whatever this instance chose: the client was not told to move.
    pub fn stays(&mut self, id: RequestId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.stage = conn.stage.server().map_or(conn.stage, Stage::Open);
    }

    /// Listed servers that draw nothing new now: for people, it decides nothing.
    pub fn avoided(&self, now: Micros) -> usize {
        let listed = |&s: &usize| self.servers[s].entry.state != EndpointState::Gone;
        let away = |&s: &usize| {
            let server = &self.servers[s];
            let drains = server.entry.state == EndpointState::Draining;
            drains || (server.entry.ready() && (now < server.paused_until || self.late(now, s)))
        };
        (0..self.servers.len()).filter(listed).filter(away).count()
    }

    /// Servers that this node could not reach, or that dropped all it held there or turned work away, until a
    /// set-up succeeds.
    pub fn unreached(&self) -> BTreeSet<ServerId> {
        let shut = self.servers.iter().filter(|server| server.shut || server.fell);
        shut.map(|server| server.entry.id).collect()
    }

    // ---- two processes of one node ----

    /// What was counted of further attempts, for the process that takes this one's place, or nothing where
    /// that is not
    /// known. This one makes none from now on.
    pub fn hand_over(&mut self, now: Micros) -> Option<Vec<RetryBudgetBucket>> {
        let over = self.set.retry_budget.map_or(Micros(0), |budget| budget.window);
        let known = self.ledger.known(now, over);
        self.ledger.since = Micros(u64::MAX);
        known.then(|| self.ledger.parts.iter().copied().collect())
    }

    /// Takes over what the process before has counted. Where it told nothing, or this process serves on after
    /// one that
    /// was to take its place, no further attempts are made until the span has passed.
    pub fn inherit(&mut self, now: Micros, told: Option<Vec<RetryBudgetBucket>>) {
        self.ledger.since = if told.is_some() { Micros(0) } else { now };
        let own = std::mem::take(&mut self.ledger.parts);
        self.ledger.parts = told.into_iter().flatten().chain(own).collect();
    }
}
