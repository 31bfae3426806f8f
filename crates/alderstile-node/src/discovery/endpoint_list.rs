//! The endpoint list as discovery sends it, and the numbers of hosts; pure.

use std::net::SocketAddr;

use alderstile::types::{Endpoint, EndpointState, Micros, ServerId};
use serde::{Deserialize, Serialize};

// Discovery's JSON has names of its own. They are mapped to the names of this code here and nowhere else; the upgrade's
// messages and the configuration's `known` carry the same JSON.

/// A list of endpoints, or the changes to one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether it names all endpoints, and not only those that changed.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One host of an endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointRecord {
    /// Its name, the same at every node.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which this node reaches it; a removed one may have none.
    #[serde(rename = "dial", default)]
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its cell, a failure domain within the zone.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Whether it may be sent new work.
    pub health: Health,
    /// Its weight.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// When it last started, in milliseconds since the Unix epoch; 0 for long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: u64,
}

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It may be sent new work.
    Up,
    /// It finishes the work that it has.
    Draining,
    /// It no longer exists.
    Removed,
}

impl EndpointList {
    /// Reads a list from JSON.
    ///
    /// # Errors
    ///
    /// The value is no endpoint list.
    pub fn from_value(value: serde_json::Value) -> Result<Self, serde_json::Error> {
        serde_json::from_value(value)
    }

    /// The list as the policy takes it. A zone that the settings do not name gets a number that none of theirs has.
    pub fn entries(&self, zones: &[String]) -> Vec<Endpoint> {
        self.endpoints.iter().map(|endpoint| endpoint.entry(zones)).collect()
    }
}

impl EndpointRecord {
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

/// The number of a host by its name: the same at all nodes and after every start, since a group's first host is chosen by it.
pub fn server_id(host: &str) -> ServerId {
    ServerId(alderstile_cluster::name_hash(host))
}
