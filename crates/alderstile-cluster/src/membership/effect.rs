//! Effects: what a call of the core wants done, as it has no I/O of its own.

use std::net::SocketAddr;

use alderstile::types::Micros;

use super::record::InstanceId;

/// What the caller has to do after a call of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send these bytes there.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The bytes.
        datagram: Vec<u8>,
    },
    /// The view has changed.
    Changed(MembershipChange),
}

/// A change of the view, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// An instance was not known before.
    Joined(InstanceId),
    /// A member did not answer.
    Suspected(InstanceId),
    /// One that was suspected or dead is alive.
    Recovered(InstanceId),
    /// A member is dead.
    Died(InstanceId),
    /// A member has left on its own account.
    Left(InstanceId),
    /// Another instance answers at a member's address: the one before has ended.
    Replaced(InstanceId),
    /// Two live instances at different addresses have one name; neither is believed over the other.
    NameConflict(Box<str>),
    /// One of them at most is left.
    NameConflictResolved(Box<str>),
    /// This process was suspected or dead to others, and has refuted it.
    Refuted,
    /// This process was not scheduled for that long.
    Stalled(Micros),
}
