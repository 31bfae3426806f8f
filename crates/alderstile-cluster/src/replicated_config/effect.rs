//! What a call of the core wants its caller to do, and what it counts.

use std::net::SocketAddr;

use super::message::ProposalOutcome;
use super::raft::{HardState, Role};

/// What a voter keeps on disk: its hard state, and the document of its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistedState {
    /// The hard state.
    pub hard_state: HardState,
    /// The document.
    pub document: Vec<u8>,
}

impl PersistedState {
    /// The state before anything was committed: version 0, an empty document.
    pub fn genesis() -> Self {
        PersistedState { hard_state: HardState::genesis(), document: Vec::new() }
    }
}

/// What a call of the core wants done, in the order of the list that it returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sync this to disk before any effect behind it. If that fails none of those may be carried out, and
    /// [`super::ReplicatedConfig::handle_persist_failure`] is to be called.
    Persist(PersistedState),
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes.
        datagram: Vec<u8>,
    },
    /// A version was committed and is not active yet.
    VersionCommitted {
        /// The version.
        version: u64,
        /// Its document.
        document: Vec<u8>,
    },
    /// A version has become active.
    VersionActive {
        /// The version.
        version: u64,
        /// Its document.
        document: Vec<u8>,
    },
    /// A proposal of this node has ended.
    ProposalFinished {
        /// Which, as named at the proposal.
        nonce: u64,
        /// How.
        outcome: ProposalOutcome,
    },
    /// This voter has another role.
    RoleChanged(Role),
    /// A message of a voter with another list of voters was dropped.
    VoterListMismatch {
        /// Its place in its own list.
        voter: u8,
    },
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
