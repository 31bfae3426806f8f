//! Requests of clients and the outcomes of their attempts.

use super::id::{GroupId, RequestId};
use super::time::Micros;

/// How an attempt, a connection or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Completed successfully.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected it without processing it, for lack of capacity.
    Rejected,
    /// No answer was received within the timeout.
    Timeout,
    /// The connection to the server could not be established.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// Cancelled by the node or by the client.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
    /// The node did not forward the attempt, because the decision was no longer valid when the
    /// connection to the server was established.
    NotForwarded,
}

impl Outcome {
    /// Returns whether the attempt may have had an effect on the server.
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
    /// Request identifier.
    pub id: RequestId,
    /// Class of the request, as an index into [`super::BalancerSettings::classes`].
    pub class: u16,
    /// Group of the request, if its connections share work.
    pub group: Option<GroupId>,
    /// Expected load of the connection, in microseconds of CPU work per second.
    pub expected_load: Option<f64>,
    /// Time until the client's deadline.
    pub time_remaining: Micros,
    /// Idempotency key, which a client reuses when it repeats a request.
    pub key: Option<u64>,
    /// Whether the request consists of packets of a connection that a server already holds.
    pub mid_flow: bool,
}
