//! Parameters of the replication, and the bounds that follow from them.

use std::net::SocketAddr;

use alderstile::types::Micros;

/// The most voters.
pub const MAX_VOTERS: usize = 15;

const DEFAULT_HEARTBEAT: Micros = Micros::from_millis(500);
const DEFAULT_LEASE: Micros = Micros::from_millis(2_500);
/// As a fraction: 0.2%.
const DEFAULT_DRIFT: f64 = 0.002;
const DEFAULT_FANOUT: usize = 4;

/// Parameters of the replication, the same at all nodes except `local_voter`.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationSettings {
    /// Addresses of the voters, the same list in the same order at all members.
    pub voters: Vec<SocketAddr>,
    /// This node's place among them, if it is one.
    pub local_voter: Option<u8>,
    /// Interval of a leader's appends.
    pub heartbeat: Micros,
    /// How long a version may be acted on after a time at which it was the latest.
    pub lease: Micros,
    /// By which fraction a clock's rate may differ from true time.
    pub drift: f64,
    /// Subscribers that a node serves by the tree.
    pub fanout: usize,
}

impl ReplicationSettings {
    /// The default parameters for these voters.
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

    /// How long after its commit a version becomes active: by then every lease on the version before has run out, though its
    /// holder's clock may be slow and this one's quick.
    pub fn activation_delay(&self) -> Micros {
        self.lease.scale((1.0 + self.drift) / (1.0 - self.drift)) + Micros(1)
    }

    /// Digest of the list of voters: nodes with different lists must not elect a leader together.
    pub fn voters_digest(&self) -> u64 {
        let list: Vec<String> = self.voters.iter().map(SocketAddr::to_string).collect();
        crate::content_digest(list.join(",").as_bytes())
    }

    /// The address of a voter.
    pub fn voter(&self, voter: u8) -> Option<SocketAddr> {
        self.voters.get(usize::from(voter)).copied()
    }
}
