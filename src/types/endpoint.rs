//! Entries of an endpoint list: servers and their states.

use super::id::ServerId;
use super::time::Micros;

/// Whether a server may receive new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Receives new connections.
    Ready,
    /// Keeps its connections and receives no new ones.
    Draining,
    /// Keeps this node's connections and receives no new ones. Discovery never reports this state:
    /// the node sets it for a server that is outside its subset or whose entry may be out of date.
    Cordoned,
    /// Not in service: listed as removed, or missing from a full list.
    #[default]
    Removed,
}

/// One server of an endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Server identifier.
    pub id: ServerId,
    /// Zone of the server.
    pub zone: u16,
    /// Cell of the server.
    pub cell: u16,
    /// Whether the server may receive new connections.
    pub state: EndpointState,
    /// Weight of the server, interpreted according to [`super::BalancerSettings::weight_meaning`].
    pub weight: f64,
    /// Time of the server's last start; `None` if long ago.
    pub started: Option<Micros>,
    /// Time at which the server joined this node's subset; `None` if long ago. A server that joined
    /// recently holds few of this node's connections, so the node's load record does not yet
    /// represent it.
    pub joined: Option<Micros>,
}

impl Endpoint {
    /// Returns whether the server may receive new connections.
    pub fn ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// How an endpoint list relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Contains changed endpoints only.
    Delta,
    /// Contains all endpoints. A server that is missing has been removed.
    Full,
    /// Contains all endpoints as stored before this process started. It may be out of date.
    Cached,
    /// No list arrived: a call failed or the subscription broke. The previous list stays in effect.
    Failed,
}
