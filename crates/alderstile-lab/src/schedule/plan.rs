//! The checked schedule that a run plays.

use super::faults::PlannedFault;
use super::parties::Party;
use super::schema::{ClientClass, Hosts, LinkDefaults, Members, Subsetting};

/// A schedule that has been checked, with everything drawn that a seed decides.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it shows.
    pub title: String,
    /// The seed.
    pub seed: u64,
    /// How long clients come, seconds.
    pub length_s: f64,
    /// Nodes.
    pub nodes: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// See [`Nodes::traffic`](super::Nodes::traffic).
    pub traffic: Vec<f64>,
    /// The members, where the nodes know of each other.
    pub members: Option<Members>,
    /// What nodes share out.
    pub subsetting: Subsetting,
    /// The hosts.
    pub hosts: Hosts,
    /// The clients.
    pub clients: Vec<ClientClass>,
    /// The ways before faults.
    pub links: LinkDefaults,
    /// The time line, by time.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// The zone of a party, by its number; clients and discovery are in none.
    pub fn zone(&self, actor: Party) -> Option<usize> {
        match actor {
            Party::Node(n) | Party::Host(n) => Some(n % self.zones.len()),
            Party::Discovery | Party::Clients => None,
        }
    }
}
