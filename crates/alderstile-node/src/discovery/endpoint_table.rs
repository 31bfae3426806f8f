//! The table of known endpoints, updated from the lists of discovery. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use alderstile::types::ServerId;

use super::endpoint_list::{EndpointList, EndpointRecord, Health, server_id};

/// A host's name and the address at which this node reaches it.
#[derive(Clone, Debug)]
pub struct HostAddress {
    /// The host's name.
    pub name: Rc<str>,
    /// The address at which this node reaches the host.
    pub address: SocketAddr,
}

/// The known endpoints by host id, and the version of the last list applied.
#[derive(Debug, Default)]
pub struct EndpointTable {
    version: u64,
    endpoints: BTreeMap<ServerId, (HostAddress, EndpointRecord)>,
    /// The names of the hosts that have changed; `None` while changes are not recorded.
    changed: Option<BTreeSet<String>>,
}

impl EndpointTable {
    /// Applies a complete list or a delta. An endpoint without an address is treated as removed.
    pub fn apply(&mut self, list: &EndpointList) {
        self.version = list.version;
        if list.complete {
            self.remove_unlisted(list);
        }
        for endpoint in &list.endpoints {
            let id = server_id(&endpoint.name);
            self.record_change(id, endpoint);
            match endpoint.address {
                Some(address) if endpoint.health != Health::Removed => {
                    let host = HostAddress { name: endpoint.name.as_str().into(), address };
                    self.endpoints.insert(id, (host, endpoint.clone()));
                }
                _ => {
                    self.endpoints.remove(&id);
                }
            }
        }
    }

    fn remove_unlisted(&mut self, list: &EndpointList) {
        let listed: BTreeSet<_> = list.endpoints.iter().map(|endpoint| server_id(&endpoint.name)).collect();
        let changed = &mut self.changed;
        self.endpoints.retain(|id, (host, _)| {
            let is_listed = listed.contains(id);
            if !is_listed && let Some(changed) = changed {
                changed.insert(host.name.to_string());
            }
            is_listed
        });
    }

    /// Records the host if its endpoint is about to change.
    fn record_change(&mut self, id: ServerId, endpoint: &EndpointRecord) {
        if let Some(changed) = &mut self.changed
            && self.endpoints.get(&id).is_none_or(|(_, known)| known != endpoint)
        {
            changed.insert(endpoint.name.clone());
        }
    }

    /// Returns the version of the last list applied.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the name and address of a host, if it is listed.
    pub fn host(&self, id: ServerId) -> Option<&HostAddress> {
        self.endpoints.get(&id).map(|(host, _)| host)
    }

    /// Returns the hosts that are listed as up.
    pub fn hosts_up(&self) -> impl Iterator<Item = ServerId> {
        self.endpoints.iter().filter(|(_, (_, endpoint))| endpoint.health == Health::Up).map(|(id, _)| *id)
    }

    /// Returns all endpoints as a complete list.
    pub fn complete_list(&self) -> EndpointList {
        let endpoints = self.endpoints.values().map(|(_, endpoint)| endpoint.clone()).collect();
        EndpointList { version: self.version, complete: true, endpoints }
    }

    /// Returns the listed ones among the given hosts as a delta. Its version is 0.
    pub fn changes<'a>(&self, ids: impl IntoIterator<Item = &'a ServerId>) -> EndpointList {
        let known = ids.into_iter().filter_map(|id| self.endpoints.get(id));
        let endpoints = known.map(|(_, endpoint)| endpoint.clone()).collect();
        EndpointList { version: 0, complete: false, endpoints }
    }

    /// Begins or ends the recording of changes. Recorded changes are forgotten.
    pub fn record_changes(&mut self, record: bool) {
        self.changed = record.then(BTreeSet::new);
    }

    /// Returns the endpoints that have changed since this was last called, each as it is now; one that is no
    /// longer listed is returned as removed.
    pub fn take_changes(&mut self) -> Vec<EndpointRecord> {
        let changed = self.changed.as_mut().map(std::mem::take).unwrap_or_default();
        let as_listed = |name: String| {
            let listed = self.endpoints.get(&server_id(&name)).map(|(_, endpoint)| endpoint.clone());
            listed.unwrap_or_else(|| EndpointRecord::removed(name))
        };
        changed.into_iter().map(as_listed).collect()
    }
}
