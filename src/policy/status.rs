//! What the program round the decisions may show of the servers. Nothing here decides anything.

use std::collections::BTreeSet;

use crate::types::{EndpointState, Micros, ServerId};

use super::Policy;
use super::server::ServerIndex;

impl Policy {
    /// How many listed servers are avoided now: they drain, are late or are ejected (chosen last, or barred).
    pub fn avoided_server_count(&self, now: Micros) -> usize {
        (0..self.servers.len()).filter(|&index| self.is_avoided(now, index)).count()
    }

    fn is_avoided(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        match server.endpoint.state {
            EndpointState::Draining => true,
            EndpointState::Ready => server.outlier.is_ejected(now) || self.has_high_delay(now, index),
            EndpointState::Cordoned | EndpointState::Removed => false,
        }
    }

    /// Servers that this node could not reach, or that dropped all that it held there or rejected work, until
    /// a set-up succeeds.
    pub fn unreachable_servers(&self) -> BTreeSet<ServerId> {
        let outliers =
            self.servers.iter().filter(|server| server.outlier.unreachable || server.outlier.connect_failed);
        outliers.map(|server| server.endpoint.id).collect()
    }
}
