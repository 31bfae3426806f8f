//! What people may look at; decides nothing.

use std::collections::BTreeSet;

use crate::types::{EndpointState, Micros, ServerId};

use super::Policy;

impl Policy {
    /// Listed servers that draw nothing new now: for people, it decides nothing.
    pub fn avoided(&self, now: Micros) -> usize {
        let listed = |&s: &usize| self.servers[s].entry.state != EndpointState::Gone;
        let away = |&s: &usize| {
            let server = &self.servers[s];
            let drains = server.entry.state == EndpointState::Draining;
            drains || (server.entry.ready() && (now < server.paused_until || self.is_late(now, s)))
        };
        (0..self.servers.len()).filter(listed).filter(away).count()
    }

    /// Servers that this node could not reach, or that dropped all it held there or turned work away, until a
    /// set-up succeeds.
    pub fn unreached(&self) -> BTreeSet<ServerId> {
        let shut = self.servers.iter().filter(|server| server.shut || server.fell);
        shut.map(|server| server.entry.id).collect()
    }
}
