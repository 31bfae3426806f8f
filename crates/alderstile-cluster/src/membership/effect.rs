//! Effects: the actions that a call of the state machine requests from its caller, which does the I/O.

use std::net::SocketAddr;

use alderstile::types::Micros;

use super::record::InstanceId;

/// An action for the caller to perform after a call of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Sends a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The bytes to send.
        datagram: Vec<u8>,
    },
    /// Reports a change of the membership view.
    Changed(MembershipChange),
}

/// A change of the membership view, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A new instance became known.
    Joined(InstanceId),
    /// A member did not answer a probe.
    Suspected(InstanceId),
    /// A suspected or dead member is alive.
    Recovered(InstanceId),
    /// A member is dead.
    Died(InstanceId),
    /// A member left the cluster voluntarily.
    Left(InstanceId),
    /// Another instance answers at a member's address, so the earlier instance has ended.
    Replaced(InstanceId),
    /// Two live instances at different addresses use the same name. Neither takes precedence.
    NameConflict(Box<str>),
    /// At most one live instance still uses the name.
    NameConflictResolved(Box<str>),
    /// Other members considered this process suspect or dead, and it has refuted that.
    Refuted,
    /// This process was not scheduled for the given time.
    Stalled(Micros),
}
