//! What people may look at; decides nothing.

use std::collections::BTreeSet;

use crate::types::{EndpointState, Micros, ServerId};

use super::Policy;

impl Policy {
    /// Listed servers that draw nothing new now: for people, it decides nothing.
    pub fn avoided(&self, now: Micros) -> usize {
        let listed = |&index: &usize| self.servers[index].endpoint.state != EndpointState::Gone;
        let away = |&index: &usize| {
            let server = &self.servers[index];
            let drains = server.endpoint.state == EndpointState::Draining;
            drains
                || (server.endpoint.ready()
                    && (now < server.outlier.ejected_until || self.is_late(now, index)))
        };
        (0..self.servers.len()).filter(listed).filter(away).count()
    }

    /// Servers that this node could not reach, or that dropped all it held there or turned work away, until a
    /// set-up succeeds.
    pub fn unreached(&self) -> BTreeSet<ServerId> {
        let shut =
            self.servers.iter().filter(|server| server.outlier.unreachable || server.outlier.connect_failed);
        shut.map(|server| server.endpoint.id).collect()
    }
}
