//! What a call of the core wants its caller to do, and what it counts.

use std::net::SocketAddr;

use super::message::ProposalOutcome;
use super::raft::{HardState, Role};

/// What a call of the core wants done, in the order of the list that it returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sync this to disk, with the document of its entry, before any effect behind it. If that fails none of those may be carried
    /// out, and [`super::ReplicatedConfig::handle_persist_failure`] is to be called.
    PersistHardState(HardState, Vec<u8>),
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// A version was committed and is not active yet.
    VersionCommitted(u64, Vec<u8>),
    /// A version has become active.
    VersionActive(u64, Vec<u8>),
    /// The proposal with this nonce has ended.
    ProposalFinished(u64, ProposalOutcome),
    /// This voter has another role.
    RoleChanged(Role),
    /// A message of a node with another list of voters was dropped; it is at this place of its list.
    VoterListMismatch(u8),
}

/// Counts of datagrams since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams received and read.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Of another cluster, with another key, or with another list of voters.
    pub foreign: u64,
    /// In no known format.
    pub malformed: u64,
    /// In a newer format.
    pub newer_format: u64,
    /// Announcements of a known version with another document: dropped.
    pub conflicting: u64,
}
