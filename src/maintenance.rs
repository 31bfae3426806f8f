//! Servers in maintenance, overlaid on every endpoint list before the decisions see it.
//!
//! To the decisions a server in maintenance is draining, whatever the list says; they have no other notion of it. It
//! returns as the list has it by then, but started no earlier than maintenance ended: operators restart servers
//! meanwhile, and the list may say so late.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Endpoint, EndpointListKind, EndpointState, Micros, ServerId};

/// The servers in maintenance, and what the list says of all servers.
#[derive(Debug, Default)]
pub struct MaintenanceOverlay {
    listed: BTreeMap<ServerId, Endpoint>,
    in_maintenance: BTreeSet<ServerId>,
    /// When servers came out of maintenance, until the list has a later start.
    returned_at: BTreeMap<ServerId, Micros>,
}

impl MaintenanceOverlay {
    /// Takes in an endpoint list, and returns it as the decisions are to see it.
    pub fn overlay(&mut self, kind: EndpointListKind, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            self.listed.clear();
        }
        for endpoint in &endpoints {
            self.record(endpoint);
        }
        endpoints.into_iter().map(|endpoint| self.overlaid(endpoint)).collect()
    }

    fn record(&mut self, endpoint: &Endpoint) {
        if endpoint.state == EndpointState::Removed {
            self.listed.remove(&endpoint.id);
        } else {
            self.listed.insert(endpoint.id, *endpoint);
        }
        if self.returned_at.get(&endpoint.id).is_some_and(|at| endpoint.started >= Some(*at)) {
            self.returned_at.remove(&endpoint.id);
        }
    }

    /// A listed server as the decisions are to see it.
    fn overlaid(&self, mut endpoint: Endpoint) -> Endpoint {
        if self.is_in_maintenance(endpoint.id) && endpoint.state != EndpointState::Removed {
            endpoint.state = EndpointState::Draining;
        }
        // No start time means long ago, and compares as less than any time.
        endpoint.started = endpoint.started.max(self.returned_at.get(&endpoint.id).copied());
        endpoint
    }

    /// Puts a server into maintenance. Returns the change for the decisions; none where the list does not name it.
    pub fn begin(&mut self, id: ServerId) -> Option<Endpoint> {
        self.in_maintenance.insert(id);
        self.listed.get(&id).map(|endpoint| self.overlaid(*endpoint))
    }

    /// Takes a server out of maintenance. Returns the change for the decisions; none where it was not in maintenance or
    /// the list does not name it.
    pub fn end(&mut self, now: Micros, id: ServerId) -> Option<Endpoint> {
        if !self.in_maintenance.remove(&id) {
            return None;
        }
        self.returned_at.insert(id, now);
        self.listed.get(&id).map(|endpoint| self.overlaid(*endpoint))
    }

    /// Whether a server is in maintenance.
    pub fn is_in_maintenance(&self, id: ServerId) -> bool {
        self.in_maintenance.contains(&id)
    }

    /// Whether the list names a server, or it is in maintenance.
    pub fn is_known(&self, id: ServerId) -> bool {
        self.listed.contains_key(&id) || self.is_in_maintenance(id)
    }

    /// The number of listed servers.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }
}
