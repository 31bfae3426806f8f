//! What a process tells the one that takes over from it; pure.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::admin::maintenance_store::MaintenanceState;
use crate::discovery::endpoint_list::EndpointList;

/// What the predecessor tells first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Handshake {
    /// The form of all lines.
    pub version: u32,
    /// The node's name.
    pub name: String,
    /// The file in force, but for the list known.
    pub config: Value,
    /// Where discovery is.
    pub discovery: Option<SocketAddr>,
    /// The server list, whole.
    pub list: EndpointList,
    /// Where hosts stand that operators have named.
    pub hosts: BTreeMap<String, MaintenanceState>,
    /// Ids of requests that are open, or have ended not long ago.
    pub ids: Vec<String>,
    /// Descriptors held.
    pub held: usize,
    /// Further attempts and requests taken, counted in parts of the span of their budget: the ages of a part's first and
    /// last event in microseconds, requests, attempts. Nothing where that is not known: a process of an older version.
    #[serde(default)]
    pub spent: Option<Vec<(u64, u64, u32, u32)>>,
    /// What is left of the lease on the list, in microseconds. Nothing where that is not known.
    #[serde(default)]
    pub lease_left: Option<u64>,
    /// This node as a member of its cluster, where it is one.
    #[serde(default)]
    pub member: Option<MemberWord>,
}

/// What a process that goes on as the same member is to know.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberWord {
    /// The member's session.
    pub session: u64,
    /// Its last word about itself.
    pub incarnation: u64,
    /// The number of its last datagram.
    pub counter: u64,
    /// Addresses of members that live.
    pub known: Vec<SocketAddr>,
}
