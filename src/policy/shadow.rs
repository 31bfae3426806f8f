//! Functions with which a shadow instance follows the active one. This module contains no
//! decisions.

use crate::types::{Micros, Request, RequestId, ServerId};

use super::Policy;
use super::connection::ConnectionState;

impl Policy {
    /// Copies the random state of the other instance, so that both draw the same numbers from now
    /// on.
    pub fn copy_random_state(&mut self, other: &Policy) {
        self.rng = other.rng.clone();
    }

    /// Returns a request that has no final answer or is an open connection.
    pub fn request(&self, id: RequestId) -> Option<Request> {
        self.connections.get(&id).map(|connection| connection.request)
    }

    /// Replaces this instance's decision on a request: it was forwarded to `server` or, if that is
    /// `None`, has its final answer.
    pub fn apply_forwarding(&mut self, now: Micros, request: Request, server: Option<ServerId>) {
        let known = self.connections.remove(&request.id);
        known.iter().for_each(|connection| self.remove_from_load(connection));
        let Some(&index) = server.and_then(|server| self.index_by_id.get(&server)) else { return };
        let mut connection = known.unwrap_or_else(|| self.new_connection(now, request));
        if connection.state.is_attempting() {
            connection.attempted_servers.pop();
        }
        self.start_attempt(now, index, connection);
    }

    /// Replaces this instance's decision to migrate a connection: the client was not asked to
    /// migrate.
    pub fn cancel_migration(&mut self, id: RequestId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.state = connection.state.server().map_or(connection.state, ConnectionState::Open);
    }
}
