//! The parts of a datagram: header, message, and the updates that are piggybacked on it.

use std::net::SocketAddr;

use super::peer::MemberState;
use super::record::{InstanceId, MemberRecord};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Who sent it to whom.
    pub header: DatagramHeader,
    /// What it asks or answers.
    pub message: Message,
    /// Gossip that is piggybacked on it (SWIM section 4.1).
    pub updates: Vec<MemberUpdate>,
}

/// Who sent a datagram to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramHeader {
    /// The sender's instance.
    pub sender: InstanceId,
    /// The receiver's instance as the sender knows it; the default one if it doesn't.
    pub receiver: InstanceId,
    /// The sender's number of this datagram, from 1 on.
    pub sequence: u64,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Answer with [`Message::Ack`].
    Ping {
        /// Repeated by the answer.
        nonce: u64,
        /// The sender's own record.
        record: MemberRecord,
    },
    /// The one that was pinged is alive.
    Ack {
        /// Of the ping or ping request.
        nonce: u64,
    },
    /// Ping another member for the sender (SWIM section 3.1's ping-req).
    PingRequest {
        /// Repeated by the answer.
        nonce: u64,
        /// Whom to ping.
        target: InstanceId,
        /// Its address.
        address: SocketAddr,
    },
    /// The target of a ping request has not answered so far (Lifeguard section IV-A).
    Nack {
        /// Of the ping request.
        nonce: u64,
    },
    /// A datagram came for another instance, or for none: this one is here.
    Identify {
        /// The sender's own record.
        record: MemberRecord,
    },
    /// Answer with the next page of the view.
    SyncRequest {
        /// The page begins behind this instance.
        after: InstanceId,
        /// The sender's own record.
        record: MemberRecord,
    },
    /// A part of the sender's view, by rising instances.
    SyncPage {
        /// The page reaches the end of the view.
        is_last: bool,
        /// The members as the sender sees them.
        members: Vec<(MemberState, MemberRecord)>,
    },
}

/// What is known of a member, as members gossip it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// The member's own statement.
    Alive(MemberRecord),
    /// It did not answer.
    Suspect {
        /// The member.
        instance: InstanceId,
        /// The incarnation that did not answer.
        incarnation: u64,
        /// Whom it did not answer.
        reporter: InstanceId,
    },
    /// It did not refute the suspicion in time.
    Dead {
        /// The member.
        instance: InstanceId,
        /// The incarnation that was suspected.
        incarnation: u64,
    },
    /// It left on its own account.
    Left {
        /// The member.
        instance: InstanceId,
        /// Its last incarnation.
        incarnation: u64,
    },
}

impl MemberUpdate {
    /// The member it is about.
    pub fn instance(&self) -> InstanceId {
        match self {
            MemberUpdate::Alive(record) => record.instance,
            MemberUpdate::Suspect { instance, .. }
            | MemberUpdate::Dead { instance, .. }
            | MemberUpdate::Left { instance, .. } => *instance,
        }
    }
}
