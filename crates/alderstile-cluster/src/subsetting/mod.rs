//! Subsetting: which hosts each node uses, and how much of its traffic goes to each, so that every host gets its due of all
//! nodes together. A function of the members and the endpoint list, without state: nodes with the same view agree.
//!
//! Two steps. **Who uses what** ([`preference_order`]): each node takes the hosts that it prefers, and each host is given to
//! the few nodes that prefer it most, so that no host is without one. A node or host more or less changes nobody else's
//! preferences. **How much** ([`share_table`]): the table of nodes by hosts so marked is scaled until both the hosts' dues and
//! the nodes' traffic fit. [`NodeSubset`] is one node's row of it, with hosts added while it can't reach its own.
//!
//! Weighed beside it in `docs/choices.md`: deterministic subsetting, low-discrepancy rings, aperture rings, Maglev tables.

use std::collections::BTreeMap;

use alderstile::types::ServerId;

mod node_subset;
mod proportional_fitting;
mod rendezvous;
mod share_table;

pub use node_subset::{HostUse, NodeSubset, SubsetCounts};
pub use rendezvous::preference_order;
pub use share_table::{node_shares, share_table};

/// The least and the greatest weight; one outside of these is taken for the nearest.
const WEIGHT_BOUNDS: (f64, f64) = (1e-3, 1e3);

/// How subsets are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsettingParams {
    /// Hosts that a node uses, at least.
    pub hosts_per_node: usize,
    /// Nodes that use a host, at least.
    pub nodes_per_host: usize,
    /// Hosts of the node's own zone first.
    pub prefer_own_zone: bool,
}

impl Default for SubsettingParams {
    fn default() -> Self {
        SubsettingParams { hosts_per_node: 20, nodes_per_host: 4, prefer_own_zone: false }
    }
}

/// A host as the endpoint list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetHost {
    /// Its id.
    pub id: ServerId,
    /// Its capacity beside others; what is no positive number counts as one.
    pub weight: f64,
    /// Its zone.
    pub zone: u16,
    /// Hosts that may fail together.
    pub failure_group: u16,
}

/// A node as the members have it.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetNode {
    /// Its name.
    pub name: Box<str>,
    /// Its zone.
    pub zone: u16,
    /// The traffic that it receives beside others; what is no positive number counts as one.
    pub traffic: f64,
}

/// Shares of a node's traffic by host, which sum to one.
pub type TrafficShares = BTreeMap<ServerId, f64>;

/// A positive number within bounds: lists and members may hold anything.
fn bounded_weight(weight: f64) -> f64 {
    let is_usable = weight > 0.0 && weight.is_finite();
    if is_usable { weight.clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1) } else { 1.0 }
}
