//! The parts of a datagram: its header, its message, and the updates piggybacked on it.

use std::net::SocketAddr;

use super::peer::MemberState;
use super::record::{InstanceId, MemberRecord};

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Sender, receiver and sequence number.
    pub header: DatagramHeader,
    /// The request or response.
    pub message: Message,
    /// Gossip piggybacked on the message (SWIM section 4.1).
    pub updates: Vec<MemberUpdate>,
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramHeader {
    /// The sender's instance.
    pub sender: InstanceId,
    /// The receiver's instance if the sender knows it, otherwise the default one.
    pub receiver: InstanceId,
    /// The sequence number that the sender gave to this datagram, starting at 1.
    pub sequence: u64,
}

/// The request or response that a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests a [`Message::Ack`].
    Ping {
        /// The nonce that the response repeats.
        nonce: u64,
        /// The sender's own record.
        record: MemberRecord,
    },
    /// Confirms that the pinged member is alive.
    Ack {
        /// The nonce of the ping or ping request.
        nonce: u64,
    },
    /// Requests a ping of another member on behalf of the sender (ping-req in SWIM section 3.1).
    PingRequest {
        /// The nonce that the response repeats.
        nonce: u64,
        /// The member to ping.
        target: InstanceId,
        /// The address of the member to ping.
        address: SocketAddr,
    },
    /// Reports that the target of a ping request has not answered yet (Lifeguard section IV-A).
    Nack {
        /// The nonce of the ping request.
        nonce: u64,
    },
    /// Identifies the instance at an address, in reply to a datagram for another instance or for none.
    Identify {
        /// The sender's own record.
        record: MemberRecord,
    },
    /// Requests the next page of the receiver's view.
    SyncRequest {
        /// The page starts after this instance.
        after: InstanceId,
        /// The sender's own record.
        record: MemberRecord,
    },
    /// A part of the sender's view, in instance order.
    SyncPage {
        /// Whether the page reaches the end of the view.
        is_last: bool,
        /// The members, with their state in the sender's view.
        members: Vec<(MemberState, MemberRecord)>,
    },
}

/// An update about a member, disseminated by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// The member is alive and published this record.
    Alive(MemberRecord),
    /// The member did not answer a probe.
    Suspect {
        /// The member.
        instance: InstanceId,
        /// The incarnation that did not answer.
        incarnation: u64,
        /// The member whose probe was not answered.
        reporter: InstanceId,
    },
    /// The member did not refute a suspicion in time.
    Dead {
        /// The member.
        instance: InstanceId,
        /// The incarnation that was suspected.
        incarnation: u64,
    },
    /// The member left the cluster voluntarily.
    Left {
        /// The member.
        instance: InstanceId,
        /// The member's last incarnation.
        incarnation: u64,
    },
}

impl MemberUpdate {
    /// Returns the member that the update is about.
    pub fn instance(&self) -> InstanceId {
        match self {
            MemberUpdate::Alive(record) => record.instance,
            MemberUpdate::Suspect { instance, .. }
            | MemberUpdate::Dead { instance, .. }
            | MemberUpdate::Left { instance, .. } => *instance,
        }
    }
}
