//! Configuration of the membership protocol.

use alderstile::types::Micros;

/// The protocol parameters of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// The protocol period (SWIM section 3.1; T' in the paper). A round trip must fit into a quarter of it.
    pub period: Micros,
    /// The minimum suspicion timeout, in periods per factor of ten in the number of members (Lifeguard's
    /// alpha).
    pub suspicion_multiplier: f64,
    /// The maximum number of datagrams that this member sends per period, so that received datagrams cannot
    /// make it flood the network.
    pub max_datagrams_per_period: u32,
    /// How long dead members and members that left are remembered, and dead members probed for recovery.
    pub dead_retention: Micros,
    /// Whether a member slows down its probes when they fail (Lifeguard section IV-A). Without it, the
    /// protocol is plain SWIM.
    pub local_health: bool,
}

impl MembershipConfig {
    /// Returns the default configuration with the given period.
    pub fn with_period(period: Micros) -> Self {
        MembershipConfig {
            period,
            suspicion_multiplier: 3.0,
            max_datagrams_per_period: 64,
            dead_retention: Micros(3_600_000_000),
            local_health: true,
        }
    }

    /// Returns the minimum suspicion timeout in a cluster with this number of members.
    pub fn min_suspicion_timeout(&self, members: usize) -> Micros {
        self.period.scale(self.suspicion_multiplier * (members as f64).log10().max(1.0))
    }
}
