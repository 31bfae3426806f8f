//! Endpoints: the servers of an endpoint list and their states.

use super::id::ServerId;
use super::time::Micros;

/// Whether a server may receive work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// May receive new work.
    Ready,
    /// Finishes the work it has and receives none.
    Draining,
    /// Keeps the connections that this node holds there and receives no new work. Discovery never lists this state:
    /// the node sets it, for a server outside its subset or one whose entry may be out of date.
    Cordoned,
    /// Not in service.
    #[default]
    Removed,
}

/// One server of an endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Whether it may receive work.
    pub state: EndpointState,
    /// Its weight, whose meaning [`super::BalancerSettings::weight_meaning`] tells.
    pub weight: f64,
    /// When it last started; none if long ago.
    pub started: Option<Micros>,
    /// When it joined this node's subset; none if long ago. Until well after that the node's record says little of it.
    pub joined: Option<Micros>,
}

impl Endpoint {
    /// Whether it may receive new work.
    pub fn ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// How an endpoint list relates to the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changed endpoints only.
    Delta,
    /// All endpoints; a server that is missing is gone.
    Full,
    /// All endpoints as last held before this start; possibly out of date.
    Cached,
    /// No list: a call failed or the subscription broke. The list held stays in force.
    Failed,
}
