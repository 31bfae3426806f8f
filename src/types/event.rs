//! What the host program reports to the decisions.

use super::endpoint::{Endpoint, EndpointListKind};
use super::id::{RequestId, ServerId, TimerToken};
use super::request::{Outcome, Request};
use super::settings::BalancerSettings;
use super::time::Micros;

/// Something that happened at the time with which it is reported.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list arrived, or a call for it failed.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A client's request arrived; it is owed exactly one final answer.
    Request(Request),
    /// A connection was open before this node started.
    ExistingConnection(Request, ServerId),
    /// An attempt became a connection.
    Established {
        /// The request.
        id: RequestId,
        /// Time since the attempt was forwarded.
        latency: Micros,
    },
    /// An attempt ended, or the connection that it had become.
    Ended {
        /// The request.
        id: RequestId,
        /// The server it was forwarded to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The request has its final answer; otherwise it is still owed one.
        closed: bool,
        /// The server's load report, empty where none came along.
        report: Vec<f64>,
    },
    /// A connection's current load, in microseconds of work a second.
    LoadReported(RequestId, f64),
    /// The milliseconds that a message currently takes at a server.
    DelayReported(ServerId, f64),
    /// The client disconnected; nothing is owed to it.
    ClientDisconnected(RequestId),
    /// A timer set by [`super::Action::SetTimer`] expired.
    Timer(TimerToken),
    /// A probe completed.
    ProbeCompleted {
        /// The probed server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The server's load report, empty where none came along.
        report: Vec<f64>,
    },
    /// A message of another node arrived.
    PeerMessage(u32, Vec<u8>),
    /// Other settings apply from now on. A class keeps its number, and there are at least as many as before.
    SettingsChanged(Box<BalancerSettings>),
}
