//! Subsetting: selects the hosts that each node uses and each host's share of the node's traffic, so that
//! every host receives its target load from all nodes together. The result is a pure function of the members
//! and the endpoint list: nodes with the same view compute the same table.
//!
//! The computation has two steps:
//!
//! 1. **Selection** ([`preference_order`]): each node uses the hosts that it prefers, and each host is also
//!    used by the few nodes that prefer it most, so that no host is without a node. Adding or removing a node
//!    or a host does not change the other preferences.
//! 2. **Shares** ([`share_table()`]): the table of selected nodes by hosts is scaled until its rows match the
//!    nodes' traffic and its columns match the hosts' target loads.
//!
//! [`NodeSubset`] holds one node's row of the table, with hosts added while the node cannot reach its own.
//!
//! `docs/choices.md` compares the alternatives: deterministic subsetting, low-discrepancy rings, aperture
//! rings and Maglev tables.

use std::collections::BTreeMap;

use alderstile::types::ServerId;

mod node_subset;
mod proportional_fitting;
mod rendezvous;
mod share_table;

pub use node_subset::{HostUse, NodeSubset, SubsetCounts};
pub use rendezvous::preference_order;
pub use share_table::{node_shares, share_table};

/// The minimum and maximum weight; weights outside this range are clamped.
const WEIGHT_BOUNDS: (f64, f64) = (1e-3, 1e3);

/// Parameters of subsetting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsettingParams {
    /// The minimum number of hosts that a node uses.
    pub hosts_per_node: usize,
    /// The minimum number of nodes that use a host.
    pub nodes_per_host: usize,
    /// Whether a node prefers hosts in its own zone.
    pub prefer_own_zone: bool,
}

impl Default for SubsettingParams {
    fn default() -> Self {
        SubsettingParams { hosts_per_node: 20, nodes_per_host: 4, prefer_own_zone: false }
    }
}

/// A host of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetHost {
    /// The host's id.
    pub id: ServerId,
    /// The host's capacity relative to other hosts; a value that is not a positive number counts as 1.
    pub weight: f64,
    /// The host's zone.
    pub zone: u16,
    /// The failure group: hosts in the same group may fail together.
    pub failure_group: u16,
}

/// A node of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetNode {
    /// The node's name.
    pub name: Box<str>,
    /// The node's zone.
    pub zone: u16,
    /// The node's traffic relative to other nodes; a value that is not a positive number counts as 1.
    pub traffic: f64,
}

/// The shares of a node's traffic by host. They sum to 1.
pub type TrafficShares = BTreeMap<ServerId, f64>;

/// Returns a positive weight within bounds, because endpoint lists and members can contain any value.
fn bounded_weight(weight: f64) -> f64 {
    let is_usable = weight > 0.0 && weight.is_finite();
    if is_usable { weight.clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1) } else { 1.0 }
}
