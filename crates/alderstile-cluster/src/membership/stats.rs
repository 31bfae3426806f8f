//! Statistics of a member: its view by state, and what it sent and received.

use crate::authentication::DecodeError;

/// Datagrams and decisions since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Rejected: not of this cluster, or not signed with a key in force.
    pub unauthenticated: u64,
    /// Rejected: in no form that this program knows.
    pub malformed: u64,
    /// Ignored: in a newer format.
    pub unsupported_format: u64,
    /// Rejected: for an earlier instance of this member, or from one that has not identified itself yet.
    pub wrong_instance: u64,
    /// Rejected: accepted before, or too old to tell.
    pub replayed: u64,
    /// Not sent, as this period's limit was reached.
    pub rate_limited: u64,
    /// Members that this process itself found not to answer.
    pub suspicions_started: u64,
    /// Suspicions of this process that it refuted.
    pub refutations: u64,
}

impl MembershipCounters {
    pub(super) fn count_rejected(&mut self, error: DecodeError) {
        let counter = match error {
            DecodeError::Unauthenticated => &mut self.unauthenticated,
            DecodeError::Malformed => &mut self.malformed,
            DecodeError::UnsupportedFormat => &mut self.unsupported_format,
        };
        *counter += 1;
    }
}

/// The view by state, and the counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipStats {
    /// Alive members that nobody suspects, this one included.
    pub alive: usize,
    /// Suspects.
    pub suspect: usize,
    /// Dead members that are remembered.
    pub dead: usize,
    /// Names that two live instances have.
    pub name_conflicts: usize,
    /// The local health score: 0 is healthy (Lifeguard section IV-A).
    pub local_health: u32,
    /// Datagrams and decisions since the start.
    pub counters: MembershipCounters,
}
