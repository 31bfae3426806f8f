//! Events that the embedding program reports to the policy.

use super::endpoint::{Endpoint, EndpointListKind};
use super::id::{RequestId, ServerId, TimerToken};
use super::request::{Outcome, Request};
use super::settings::BalancerSettings;
use super::time::Micros;

/// An event, reported together with the time at which it occurred.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list was received, or a call for it failed.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A client's request was received. It must get exactly one final answer.
    Request(Request),
    /// A connection to this server was open before this process started.
    ExistingConnection(Request, ServerId),
    /// An attempt became an established connection.
    Established {
        /// Request of the attempt.
        id: RequestId,
        /// Time from forwarding the attempt to its establishment.
        latency: Micros,
    },
    /// An attempt ended, or the connection that it had become.
    Ended {
        /// Request of the attempt or connection.
        id: RequestId,
        /// Server of the attempt or connection.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has its final answer. If not, the policy still has to answer it.
        closed: bool,
        /// Load report of the server, empty if there was none.
        report: Vec<f64>,
    },
    /// The current load of a connection, in microseconds of CPU work per second.
    LoadReported(RequestId, f64),
    /// The current message delay at a server, in milliseconds.
    DelayReported(ServerId, f64),
    /// The client disconnected and needs no answer.
    ClientDisconnected(RequestId),
    /// A timer set by [`super::Action::SetTimer`] expired.
    Timer(TimerToken),
    /// A probe completed.
    ProbeCompleted {
        /// Server that was probed.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Load report of the server, empty if there was none.
        report: Vec<f64>,
    },
    /// A message from another node, identified by its index, was received.
    PeerMessage(u32, Vec<u8>),
    /// New settings apply from now on. Classes keep their indices, and the number of classes never
    /// decreases.
    SettingsChanged(Box<BalancerSettings>),
}
