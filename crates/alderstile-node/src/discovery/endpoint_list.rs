//! The endpoint list in the JSON format of discovery, and the numeric ids of hosts. Does no I/O.

use std::net::SocketAddr;

use alderstile::types::{Endpoint, EndpointState, Micros, ServerId};
use serde::{Deserialize, Serialize};

// The field names of discovery's JSON differ from those of this code, and are mapped only here. Upgrade
// messages and the key `known` of the configuration carry the same JSON.

/// A complete list of endpoints, or a delta to one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the list contains all endpoints, rather than only those that changed.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// All endpoints, or the changed ones.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One host of an endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct EndpointRecord {
    /// The name of the host, the same at every node.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which this node reaches the host; a removed host may have none.
    #[serde(rename = "dial", default)]
    pub address: Option<SocketAddr>,
    /// The name of the host's zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// The cell of the host, a failure domain within the zone.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Whether the host may receive new requests.
    pub health: Health,
    /// The weight of the host.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// The last start of the host, in milliseconds since the Unix epoch; 0 if that was long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: u64,
}

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The host may receive new requests.
    Up,
    /// The host receives no new requests and serves its connections to their end.
    Draining,
    /// The host no longer exists.
    Removed,
}

impl EndpointList {
    /// Reads a list from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value is not an endpoint list.
    pub fn from_value(value: serde_json::Value) -> Result<Self, serde_json::Error> {
        serde_json::from_value(value)
    }

    /// Converts the list to the endpoints of the policy. A zone that is not in `zones` is mapped to
    /// `u16::MAX`, which is the index of no zone.
    pub fn entries(&self, zones: &[String]) -> Vec<Endpoint> {
        self.endpoints.iter().map(|endpoint| endpoint.entry(zones)).collect()
    }
}

impl EndpointRecord {
    /// Returns the record of a host that no longer exists.
    pub fn removed(name: String) -> Self {
        EndpointRecord {
            name,
            address: None,
            zone: String::new(),
            cell: 0,
            health: Health::Removed,
            weight: 0.0,
            started_ms: 0,
        }
    }

    fn entry(&self, zones: &[String]) -> Endpoint {
        let zone = zones.iter().position(|zone| *zone == self.zone);
        Endpoint {
            id: server_id(&self.name),
            zone: zone.and_then(|index| u16::try_from(index).ok()).unwrap_or(u16::MAX),
            cell: self.cell,
            state: match self.health {
                Health::Up => EndpointState::Ready,
                Health::Draining => EndpointState::Draining,
                Health::Removed => EndpointState::Removed,
            },
            weight: self.weight,
            started: (self.started_ms > 0).then(|| Micros::from_millis(self.started_ms)),
            joined: None,
        }
    }
}

/// Returns the numeric id of a host, a hash of its name. The id must be the same at all nodes and after every
/// restart, since the policy chooses the first host of a group by the ids.
pub fn server_id(host: &str) -> ServerId {
    ServerId(alderstile_cluster::name_hash(host))
}
