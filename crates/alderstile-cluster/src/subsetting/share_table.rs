//! The share table of all nodes by all hosts.

use std::collections::BTreeMap;

use alderstile::types::ServerId;

use super::proportional_fitting::fitted_shares;
use super::rendezvous::{preference_order, rendezvous_rank};
use super::{SubsetHost, SubsetNode, SubsettingParams, TrafficShares};
use crate::name_hash;

/// One node's row before fitting: the weight of its preference for each selected host, by host index.
pub(super) type Preferences = BTreeMap<usize, f64>;

/// Returns the traffic shares of each node, in the order of `nodes`. The result does not depend on the order
/// of `nodes` and `hosts`; duplicates count once. Rows are empty if there are no hosts.
pub fn share_table(
    params: SubsettingParams,
    nodes: &[SubsetNode],
    hosts: &[SubsetHost],
) -> Vec<TrafficShares> {
    let by_id: BTreeMap<ServerId, SubsetHost> = hosts.iter().map(|host| (host.id, *host)).collect();
    let hosts: Vec<SubsetHost> = by_id.into_values().collect();
    let by_name: BTreeMap<&str, &SubsetNode> = nodes.iter().map(|node| (&*node.name, node)).collect();
    let distinct_nodes: Vec<&SubsetNode> = by_name.values().copied().collect();
    let mut preferences = node_preferences(params, &distinct_nodes, &hosts);
    add_host_preferences(params, &distinct_nodes, &hosts, &mut preferences);
    let shares = fitted_shares(params, &distinct_nodes, &hosts, &preferences);
    let by_name: BTreeMap<&str, TrafficShares> = by_name.into_keys().zip(shares).collect();
    nodes.iter().map(|node| by_name.get(&*node.name).cloned().unwrap_or_default()).collect()
}

/// Returns the row of one node. `node` takes precedence over an entry of the same name in `other_nodes`.
pub fn node_shares(
    params: SubsettingParams,
    node: &SubsetNode,
    other_nodes: &[SubsetNode],
    hosts: &[SubsetHost],
) -> TrafficShares {
    let mut nodes = vec![node.clone()];
    nodes.extend(other_nodes.iter().filter(|other| other.name != node.name).cloned());
    share_table(params, &nodes, hosts).swap_remove(0)
}

/// Selects for each node the hosts that it prefers.
fn node_preferences(
    params: SubsettingParams,
    nodes: &[&SubsetNode],
    hosts: &[SubsetHost],
) -> Vec<Preferences> {
    let host_indices: BTreeMap<ServerId, usize> =
        hosts.iter().enumerate().map(|(index, host)| (host.id, index)).collect();
    let subset_size = params.hosts_per_node.max(1);
    let preferences_of = |node: &&SubsetNode| {
        let order = preference_order(params, node, hosts);
        let selected = order.iter().take(subset_size).enumerate();
        selected
            .filter_map(|(rank, id)| Some((*host_indices.get(id)?, preference_weight(rank, subset_size))))
            .collect()
    };
    nodes.iter().map(preferences_of).collect()
}

/// Selects for each host the nodes that prefer it most, so that no host is without a node.
fn add_host_preferences(
    params: SubsettingParams,
    nodes: &[&SubsetNode],
    hosts: &[SubsetHost],
    preferences: &mut [Preferences],
) {
    let node_hashes: Vec<u64> = nodes.iter().map(|node| name_hash(&node.name)).collect();
    let node_count = params.nodes_per_host.min(nodes.len());
    for (index, host) in hosts.iter().enumerate() {
        for (rank, node) in top_ranked_nodes(host, &node_hashes, node_count).into_iter().enumerate() {
            let weight = preferences[node].entry(index).or_default();
            *weight = weight.max(preference_weight(rank, node_count));
        }
    }
}

/// Returns the indices of the `count` nodes that prefer a host most, in order of preference.
fn top_ranked_nodes(host: &SubsetHost, node_hashes: &[u64], count: usize) -> Vec<usize> {
    let ranks = node_hashes.iter().enumerate().map(|(node, hash)| (rendezvous_rank(*hash, host), node));
    let mut ranks: Vec<(f64, usize)> = ranks.collect();
    let by_rank = |a: &(f64, usize), b: &(f64, usize)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
    if count < ranks.len() && count > 0 {
        ranks.select_nth_unstable_by(count - 1, by_rank);
    }
    ranks.truncate(count);
    ranks.sort_by(by_rank);
    ranks.into_iter().map(|(_, node)| node).collect()
}

/// Returns the weight of a rank. The last rank has nearly no weight, so that a host or node that enters or
/// leaves there moves little traffic.
fn preference_weight(rank: usize, count: usize) -> f64 {
    (count - rank) as f64 / count as f64
}
