//! Validated schedules, ready to run.

use super::faults::PlannedFault;
use super::parties::Party;
use super::schema::{ClientClass, Hosts, LinkDefaults, Members, Subsetting};

/// A validated schedule with all random choices made from its seed.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Short description of what the run shows.
    pub title: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// How long clients send requests, in seconds.
    pub length_s: f64,
    /// Number of nodes.
    pub nodes: usize,
    /// Names of the zones; node and host number i are in zone i modulo the number of zones.
    pub zones: Vec<String>,
    /// See [`Nodes::traffic`](super::Nodes::traffic).
    pub traffic: Vec<f64>,
    /// Membership settings, if the nodes form a cluster.
    pub members: Option<Members>,
    /// Subsetting settings.
    pub subsetting: Subsetting,
    /// Hosts.
    pub hosts: Hosts,
    /// Clients, by class.
    pub clients: Vec<ClientClass>,
    /// Properties of every link before faults.
    pub links: LinkDefaults,
    /// All occurrences of all faults, ordered by time.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Returns the index of the zone of a party; clients and discovery belong to none.
    pub fn zone(&self, party: Party) -> Option<usize> {
        match party {
            Party::Node(n) | Party::Host(n) => Some(n % self.zones.len()),
            Party::Discovery | Party::Clients => None,
        }
    }
}
