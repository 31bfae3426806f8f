//! Server states for monitoring by the embedding program. This module contains no decisions.

use std::collections::BTreeSet;

use crate::types::{EndpointState, Micros, ServerId};

use super::Policy;
use super::server::ServerIndex;

impl Policy {
    /// Returns the number of listed servers that are avoided at present: they are draining, have a
    /// high delay, or are ejected (ranked last or excluded).
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

    /// Returns the servers that this node could not reach, that dropped all of its connections or
    /// that rejected requests, and with which no setup has succeeded since.
    pub fn unreachable_servers(&self) -> BTreeSet<ServerId> {
        let outliers =
            self.servers.iter().filter(|server| server.outlier.unreachable || server.outlier.connect_failed);
        outliers.map(|server| server.endpoint.id).collect()
    }
}
