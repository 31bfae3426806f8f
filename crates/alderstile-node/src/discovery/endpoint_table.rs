//! The endpoints that this node knows, kept up to date with discovery's lists; pure.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use alderstile::types::ServerId;

use super::endpoint_list::{EndpointList, EndpointRecord, Health, server_id};

/// A host's name and the address at which this node reaches it.
#[derive(Clone, Debug)]
pub struct HostAddress {
    /// Its name.
    pub name: Rc<str>,
    /// Its address.
    pub address: SocketAddr,
}

/// The endpoints known, by their numbers, and the version of the list.
#[derive(Debug, Default)]
pub struct EndpointTable {
    version: u64,
    endpoints: BTreeMap<ServerId, (HostAddress, EndpointRecord)>,
}

impl EndpointTable {
    /// Applies a complete list or the changes of one.
    pub fn apply(&mut self, list: &EndpointList) {
        self.version = list.version;
        if list.complete {
            let named: BTreeSet<_> =
                list.endpoints.iter().map(|endpoint| server_id(&endpoint.name)).collect();
            self.endpoints.retain(|id, _| named.contains(id));
        }
        for endpoint in &list.endpoints {
            let id = server_id(&endpoint.name);
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

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// The name and address of a listed host.
    pub fn host(&self, id: ServerId) -> Option<&HostAddress> {
        self.endpoints.get(&id).map(|(host, _)| host)
    }

    /// The hosts that may be sent new work by the list.
    pub fn hosts_up(&self) -> impl Iterator<Item = ServerId> {
        self.endpoints.iter().filter(|(_, (_, endpoint))| endpoint.health == Health::Up).map(|(id, _)| *id)
    }

    /// All endpoints, as a complete list.
    pub fn complete_list(&self) -> EndpointList {
        let endpoints = self.endpoints.values().map(|(_, endpoint)| endpoint.clone()).collect();
        EndpointList { version: self.version, complete: true, endpoints }
    }

    /// The listed ones of these hosts, as the changes of a list.
    pub fn changes<'a>(&self, ids: impl IntoIterator<Item = &'a ServerId>) -> EndpointList {
        let known = ids.into_iter().filter_map(|id| self.endpoints.get(id));
        let endpoints = known.map(|(_, endpoint)| endpoint.clone()).collect();
        EndpointList { version: 0, complete: false, endpoints }
    }
}
