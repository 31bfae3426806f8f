//! Lines of the server list.

use super::id::ServerId;
use super::time::Micros;

/// What a server list says of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It may be sent new work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It serves on: what this node holds there stays, and new work goes elsewhere. No list says so, the cluster does.
    Aside,
    /// It is no more.
    #[default]
    Gone,
}

/// A line of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: ServerState,
    /// Its weight; [`Settings::weights`] tells the meaning.
    pub weight: f64,
    /// When it last started; none if long ago.
    pub started: Option<Micros>,
    /// When the cluster gave it to this node, whose record of it says little until a while after; none if long ago.
    pub joined: Option<Micros>,
}

impl ServerEntry {
    /// Whether it may be sent new work.
    pub fn ready(&self) -> bool {
        self.state == ServerState::Ready
    }
}

/// Which list has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// All lines; a server that is missing is gone.
    Full,
    /// All lines as last held before this start; they may be stale.
    Cached,
    /// A call failed or the subscription broke; the list held goes on.
    Failed,
}
