//! The checked schedule that a run plays.

use super::faults::Planned;
use super::parties::Actor;
use super::schema::{Choices, Clients, Hosts, Members, Ways};

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
    pub choices: Choices,
    /// The hosts.
    pub hosts: Hosts,
    /// The clients.
    pub clients: Vec<Clients>,
    /// The ways before faults.
    pub ways: Ways,
    /// The time line, by time.
    pub faults: Vec<Planned>,
}

impl Plan {
    /// The zone of a party, by its number; clients and discovery are in none.
    pub fn zone(&self, actor: Actor) -> Option<usize> {
        match actor {
            Actor::Node(n) | Actor::Host(n) => Some(n % self.zones.len()),
            Actor::Discovery | Actor::Clients => None,
        }
    }
}
