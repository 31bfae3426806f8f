//! What the decisions ask the host program to do.

use super::id::{RequestId, ServerId, TimerToken};
use super::time::Micros;

/// An effect that the host program is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt; without a time-out it lasts until the client gives up.
    Forward(RequestId, ServerId, Option<Micros>),
    /// Final answer: rejected without effect, safe to retry; not before the Retry-After time where one is named.
    Reject(RequestId, Option<Micros>),
    /// Final answer: failed; whether it had an effect is unknown.
    Fail(RequestId),
    /// Ask the client of an open connection to reconnect, so that it is placed anew.
    Migrate(RequestId),
    /// Deliver [`super::Event::Timer`] with this token after this time.
    SetTimer(Micros, TimerToken),
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Probe a server for its load report.
    Probe(ServerId),
    /// Send a message to all other nodes.
    Broadcast(Vec<u8>),
    /// Write a log line, about a server where one is named.
    Log(Option<ServerId>, String),
}
