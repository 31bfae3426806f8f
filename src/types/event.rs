//! What the host program reports to the decisions.

use super::endpoint::{ListKind, ServerEntry};
use super::id::{RequestId, ServerId, TimerToken};
use super::request::{Outcome, Request};
use super::settings::Settings;
use super::time::Micros;

/// What has happened. Everything in one call happened at the call's time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list.
    List(ListKind, Vec<ServerEntry>),
    /// A client's request: owed one final answer.
    Request(Request),
    /// A connection that was open already when this node started.
    Open(Request, ServerId),
    /// An attempt became a connection.
    Established {
        /// The request.
        id: RequestId,
        /// Time since the attempt was sent.
        latency: Micros,
    },
    /// An attempt ended, or the connection that it had become.
    Ended {
        /// The request.
        id: RequestId,
        /// The server it was sent to.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// The request has its final answer; otherwise it is still owed.
        closed: bool,
        /// The server's load report, if one came along.
        report: Vec<f64>,
    },
    /// The load of a connection now, in microseconds of work a second.
    LoadTold(RequestId, f64),
    /// Milliseconds that a message takes at a server now.
    DelayTold(ServerId, f64),
    /// The client has left; nothing is owed.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(TimerToken),
    /// A probe's result.
    Probed {
        /// The server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Its load report, if one came along.
        report: Vec<f64>,
    },
    /// A message of another node.
    Peer(u32, Vec<u8>),
    /// Other settings from now on. A class keeps its number; there are as many as before at least.
    Settings(Box<Settings>),
}
