//! What the decisions ask the host program to do.

use super::id::{RequestId, ServerId, TimerToken};
use super::time::Micros;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt; no time-out means until the client gives up.
    Send(RequestId, ServerId, Option<Micros>),
    /// Final answer: declined, a further try does no harm; perhaps not before the time named.
    Refuse(RequestId, Option<Micros>),
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// End a connection politely; its client comes again.
    Move(RequestId),
    /// Wake me after this time with this token.
    SetTimer(Micros, TimerToken),
    /// Subscribe to the server list.
    Watch,
    /// Probe a server.
    Probe(ServerId),
    /// Send a message to all other nodes.
    TellAll(Vec<u8>),
    /// A line for people, and the server that it is about.
    Log(Option<ServerId>, String),
}
