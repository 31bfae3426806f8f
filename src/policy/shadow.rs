//! What an instance that only watches needs to follow the one that decides.

use crate::types::{Micros, Request, RequestId, ServerId};

use super::Policy;
use super::connection::Stage;

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
        known.iter().for_each(|conn| self.remove_from_load(conn));
        let Some(&s) = server.and_then(|server| self.by_id.get(&server)) else { return };
        let mut conn = known.unwrap_or_else(|| self.new_connection(now, request));
        if conn.stage.trying() {
            conn.tried.pop();
        }
        self.start_attempt(now, s, conn);
    }

    /// Whatever this instance chose: the client was not told to move.
    pub fn stays(&mut self, id: RequestId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.stage = conn.stage.server().map_or(conn.stage, Stage::Open);
    }
}
