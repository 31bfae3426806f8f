//! Parameters of the replication, and the bounds derived from them.

use std::net::SocketAddr;

use alderstile::types::Micros;

/// Maximum number of voters.
pub const MAX_VOTERS: usize = 15;

const DEFAULT_HEARTBEAT: Micros = Micros::from_millis(500);
const DEFAULT_LEASE: Micros = Micros::from_millis(2_500);
/// Fraction of the true rate: 0.2%.
const DEFAULT_DRIFT: f64 = 0.002;
const DEFAULT_FANOUT: usize = 4;

/// Parameters of the replication. All nodes have the same values, except for `local_voter`.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationSettings {
    /// Addresses of the voters, in the same order at all members.
    pub voters: Vec<SocketAddr>,
    /// Index of this node in `voters`, if it is a voter.
    pub local_voter: Option<u8>,
    /// Interval between a leader's appends.
    pub heartbeat: Micros,
    /// How long a version may be acted on after a time at which it was the latest.
    pub lease: Micros,
    /// Maximum deviation of a clock's rate from true time, as a fraction.
    pub drift: f64,
    /// Number of subscribers per node in the distribution tree.
    pub fanout: usize,
}

impl ReplicationSettings {
    /// Returns the default parameters for these voters.
    pub fn new(voters: Vec<SocketAddr>, local_voter: Option<u8>) -> Self {
        ReplicationSettings {
            voters,
            local_voter,
            heartbeat: DEFAULT_HEARTBEAT,
            lease: DEFAULT_LEASE,
            drift: DEFAULT_DRIFT,
            fanout: DEFAULT_FANOUT,
        }
    }

    /// Returns the delay between a version's commit and its activation. By then, every lease on the previous
    /// version has expired, even if the lease holder's clock runs slow and this node's clock runs fast.
    pub fn activation_delay(&self) -> Micros {
        self.lease.scale((1.0 + self.drift) / (1.0 - self.drift)) + Micros(1)
    }

    /// Returns the digest of the voter list. Nodes with different lists must not elect a leader together.
    pub fn voters_digest(&self) -> u64 {
        let list: Vec<String> = self.voters.iter().map(SocketAddr::to_string).collect();
        crate::content_digest(list.join(",").as_bytes())
    }

    /// Returns the address of a voter.
    pub fn voter(&self, voter: u8) -> Option<SocketAddr> {
        self.voters.get(usize::from(voter)).copied()
    }
}
