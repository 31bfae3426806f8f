//! Actions that the policy asks the embedding program to perform.

use super::id::{RequestId, ServerId, TimerToken};
use super::time::Micros;

/// An effect that the embedding program carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts the request's next attempt at this server. Without a timeout, the attempt lasts until
    /// the client's deadline.
    Forward(RequestId, ServerId, Option<Micros>),
    /// Answers that the request was rejected without effect and is safe to retry, no earlier than
    /// the Retry-After time if one is given. This is a final answer.
    Reject(RequestId, Option<Micros>),
    /// Answers that the request failed and may have had an effect. This is a final answer.
    Fail(RequestId),
    /// Asks the client of an open connection to reconnect, so that the connection is placed again.
    Migrate(RequestId),
    /// Delivers [`super::Event::Timer`] with this token after this delay.
    SetTimer(Micros, TimerToken),
    /// Subscribes to the endpoint list.
    WatchEndpoints,
    /// Probes a server for its load report.
    Probe(ServerId),
    /// Sends a message to all other nodes.
    Broadcast(Vec<u8>),
    /// Writes a log line, which is about the given server if there is one.
    Log(Option<ServerId>, String),
}
