//! A client's request and how its attempts end.

use super::id::{GroupId, RequestId};
use super::time::Micros;

/// How an attempt or a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn, or the client left.
    Cancelled,
    /// Never sent.
    Moot,
    /// The node itself did not send it: what it was decided by was no longer so when the connection was up.
    Unsent,
}

impl Outcome {
    /// Whether the attempt may have had an effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Unsent)
    }
}

/// What a client asks for.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: u16,
    /// Its group, where connections share work.
    pub group: Option<GroupId>,
    /// Its expected load in microseconds of work a second.
    pub hint: Option<f64>,
    /// The time after which the client gives up this try.
    pub remaining: Micros,
    /// What it is about; the same for all tries of one client.
    pub key: Option<u64>,
    /// Packets of a connection that some server already holds.
    pub mid_flow: bool,
}
