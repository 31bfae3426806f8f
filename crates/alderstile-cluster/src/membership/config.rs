//! Configuration of the membership protocol.

use alderstile::types::Micros;

/// How a member takes part in the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// The protocol period (SWIM section 3.1; the paper's T'). A round trip has to fit into a quarter of it.
    pub period: Micros,
    /// The shortest suspicion timeout, in periods for each power of ten of the members' number (Lifeguard's alpha).
    pub suspicion_multiplier: f64,
    /// Datagrams that this member sends in a period at most: what comes can't make it flood the network.
    pub max_datagrams_per_period: u32,
    /// How long the dead and those that left are remembered, and the dead probed for whether they are back.
    pub dead_retention: Micros,
    /// Whether a member slows its probes down when they fail (Lifeguard section IV-A). Without, this is plain SWIM.
    pub local_health: bool,
}

impl MembershipConfig {
    /// Usual settings with this period.
    pub fn with_period(period: Micros) -> Self {
        MembershipConfig {
            period,
            suspicion_multiplier: 3.0,
            max_datagrams_per_period: 64,
            dead_retention: Micros(3_600_000_000),
            local_health: true,
        }
    }

    /// The shortest suspicion timeout among so many members.
    pub fn min_suspicion_timeout(&self, members: usize) -> Micros {
        self.period.scale(self.suspicion_multiplier * (members as f64).log10().max(1.0))
    }
}
