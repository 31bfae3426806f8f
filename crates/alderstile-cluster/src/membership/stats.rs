//! Statistics of a member: the number of members by state, and counters of datagrams and decisions.

use crate::authentication::DecodeError;

/// Counters of datagrams and decisions since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams rejected because they are of another cluster, or not signed by an accepted key.
    pub unauthenticated: u64,
    /// Datagrams rejected because they are malformed.
    pub malformed: u64,
    /// Datagrams ignored because they are in a newer format.
    pub unsupported_format: u64,
    /// Datagrams rejected because they are for another instance, or from a sender that has not identified
    /// itself yet.
    pub wrong_instance: u64,
    /// Datagrams rejected because they were accepted before or are below the replay window.
    pub replayed: u64,
    /// Datagrams not sent because the limit of the period was reached.
    pub rate_limited: u64,
    /// Suspicions that this process started after its own probe failed.
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

/// The number of members by state, and the counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipStats {
    /// Alive members that are not suspected, including this one.
    pub alive: usize,
    /// Suspected members.
    pub suspect: usize,
    /// Remembered dead members.
    pub dead: usize,
    /// Names that two live instances use.
    pub name_conflicts: usize,
    /// The local health score; 0 is healthy (Lifeguard section IV-A).
    pub local_health: u32,
    /// Counters of datagrams and decisions since the start.
    pub counters: MembershipCounters,
}
