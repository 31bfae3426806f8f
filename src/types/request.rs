//! A client's request and how its attempts end.

use super::id::{GroupId, RequestId};
use super::time::Micros;

/// How an attempt, a connection or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected it unseen, for lack of capacity.
    Rejected,
    /// No answer in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled by the node or by the client.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Not forwarded by the node: the decision no longer held when the connection to the server was up.
    NotForwarded,
}

impl Outcome {
    /// Whether the attempt may have had an effect.
    pub fn may_have_executed(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::NotForwarded
        )
    }
}

/// A client's request for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// Its class, as an index into [`super::BalancerSettings::classes`].
    pub class: u16,
    /// Its group, where connections share work.
    pub group: Option<GroupId>,
    /// Its expected load in microseconds of work a second.
    pub expected_load: Option<f64>,
    /// The time after which the client gives up.
    pub time_remaining: Micros,
    /// The idempotency key: the same for all of one client's requests for the same thing.
    pub key: Option<u64>,
    /// Packets of a connection that some server already holds.
    pub mid_flow: bool,
}
