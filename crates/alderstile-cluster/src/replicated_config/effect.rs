//! Effects that the core returns to its caller, and its traffic counters.

use std::net::SocketAddr;

use super::message::ProposalOutcome;
use super::raft::{HardState, Role};

/// The state that a voter persists: its hard state and the document of its log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistedState {
    /// The voter's hard state.
    pub hard_state: HardState,
    /// The document of the hard state's log entry.
    pub document: Vec<u8>,
}

impl PersistedState {
    /// Returns the state before the first commit: version 0 with an empty document.
    pub fn genesis() -> Self {
        PersistedState { hard_state: HardState::genesis(), document: Vec::new() }
    }
}

/// An action that the core requests from its caller. The actions of one call are executed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Syncs this state to disk before any later effect is executed. If that fails, the caller executes no
    /// later effect and calls [`super::ReplicatedConfig::handle_persist_failure`].
    Persist(PersistedState),
    /// Sends a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Encoded datagram.
        datagram: Vec<u8>,
    },
    /// A version is committed but not active yet.
    VersionCommitted {
        /// Number of the version.
        version: u64,
        /// Document of the version.
        document: Vec<u8>,
    },
    /// A version has become active.
    VersionActive {
        /// Number of the version.
        version: u64,
        /// Document of the version.
        document: Vec<u8>,
    },
    /// A proposal of this node has finished.
    ProposalFinished {
        /// Nonce given when the document was proposed.
        nonce: u64,
        /// Result of the proposal.
        outcome: ProposalOutcome,
    },
    /// The role of this voter has changed.
    RoleChanged(Role),
    /// A message was dropped because its sender has a different voter list.
    VoterListMismatch {
        /// Index of the sender in its own voter list.
        voter: u8,
    },
}

/// Datagram counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received and decoded.
    pub received: u64,
    /// Bytes of the datagrams received and decoded.
    pub received_bytes: u64,
    /// Datagrams dropped because they are of another cluster, key or voter list.
    pub foreign: u64,
    /// Datagrams dropped because they are malformed.
    pub malformed: u64,
    /// Datagrams dropped because their format is newer.
    pub newer_format: u64,
    /// Announcements dropped because they give a known version a different document.
    pub conflicting: u64,
}
