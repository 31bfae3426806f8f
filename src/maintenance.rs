//! Overlay that marks servers in maintenance in each endpoint list before the policy receives it.
//!
//! The policy sees a server in maintenance as draining, whatever its listed state. After
//! maintenance, the server returns to its listed state. Its start time is then at least the end of
//! its maintenance, because operators restart servers during maintenance and the list may show the
//! restart late.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Endpoint, EndpointListKind, EndpointState, Micros, ServerId};

/// Servers in maintenance and the listed state of all servers.
#[derive(Debug, Default)]
pub struct MaintenanceOverlay {
    listed: BTreeMap<ServerId, Endpoint>,
    in_maintenance: BTreeSet<ServerId>,
    /// End of maintenance per server, kept until the list shows a later start.
    returned_at: BTreeMap<ServerId, Micros>,
}

impl MaintenanceOverlay {
    /// Records an endpoint list and returns it with the overlay applied.
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

    /// Returns a listed endpoint with the overlay applied.
    fn overlaid(&self, mut endpoint: Endpoint) -> Endpoint {
        if self.is_in_maintenance(endpoint.id) && endpoint.state != EndpointState::Removed {
            endpoint.state = EndpointState::Draining;
        }
        // A missing start time means long ago and compares as less than any time.
        endpoint.started = endpoint.started.max(self.returned_at.get(&endpoint.id).copied());
        endpoint
    }

    /// Puts a server into maintenance. Returns the changed endpoint, or `None` if the server is not
    /// listed.
    pub fn begin(&mut self, id: ServerId) -> Option<Endpoint> {
        self.in_maintenance.insert(id);
        self.listed.get(&id).map(|endpoint| self.overlaid(*endpoint))
    }

    /// Takes a server out of maintenance as of `since`. Returns the changed endpoint, or `None` if
    /// the server was not in maintenance or is not listed.
    pub fn end(&mut self, since: Micros, id: ServerId) -> Option<Endpoint> {
        if !self.in_maintenance.remove(&id) {
            return None;
        }
        self.returned_at.insert(id, since);
        self.listed.get(&id).map(|endpoint| self.overlaid(*endpoint))
    }

    /// Returns whether a server is in maintenance.
    pub fn is_in_maintenance(&self, id: ServerId) -> bool {
        self.in_maintenance.contains(&id)
    }

    /// Returns whether a server is listed or in maintenance.
    pub fn is_known(&self, id: ServerId) -> bool {
        self.listed.contains_key(&id) || self.is_in_maintenance(id)
    }

    /// Returns the number of listed servers.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }
}
