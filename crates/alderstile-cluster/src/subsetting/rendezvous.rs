//! Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005): ranks hosts
//! by node.

use std::collections::BTreeMap;

use alderstile::types::ServerId;

use super::{SubsetHost, SubsetNode, SubsettingParams, bounded_weight};
use crate::name_hash;

/// The maximum size of a failure group in a subset, as a multiple of its proportional part and rounded up,
/// while other groups have hosts left. It keeps the failure of one group from taking most of a node's hosts.
const MAX_GROUP_FACTOR: f64 = 2.0;
/// The fraction of a subset in other zones if a node prefers its own zone, for load that its own zone cannot
/// take.
const OTHER_ZONES_FRACTION: f64 = 0.25;

/// Returns the rank of a host for a node with the hash `node_hash`. Lower ranks are preferred; ranks are
/// exponentially distributed, so that a host is preferred in proportion to its weight.
pub fn rendezvous_rank(node_hash: u64, host: &SubsetHost) -> f64 {
    // The finalizer of MurmurHash3, by which each bit of node and host affects each bit of the result.
    let mixed = node_hash ^ host.id.0.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ mixed >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    let uniform = ((mixed ^ mixed >> 33) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / bounded_weight(host.weight)
}

/// Returns all hosts in the order in which a node prefers them, by rank. No failure group exceeds twice its
/// proportional part of a subset before all other groups have reached theirs. If
/// [`SubsettingParams::prefer_own_zone`] is set, most hosts of a subset are in the node's zone.
pub fn preference_order(params: SubsettingParams, node: &SubsetNode, hosts: &[SubsetHost]) -> Vec<ServerId> {
    let mut group_quotas = failure_group_quotas(params, hosts);
    let (mut own_zone, mut other_zones, mut over_quota) = (Vec::new(), Vec::new(), Vec::new());
    for host in by_rank(node, hosts) {
        // Quotas are positive, so the first host of each group is always within its quota.
        let quota = group_quotas.entry(host.failure_group).or_default();
        *quota -= 1.0;
        if *quota <= -1.0 {
            over_quota.push(host.id);
        } else if !params.prefer_own_zone || host.zone == node.zone {
            own_zone.push(host.id);
        } else {
            other_zones.push(host.id);
        }
    }
    // The order is: most of the subset from the own zone, some from other zones, the rest of the own zone,
    // the rest of the other zones.
    let other_zones_count =
        ((params.hosts_per_node as f64 * OTHER_ZONES_FRACTION).ceil() as usize).min(other_zones.len());
    let own_zone_count = params.hosts_per_node.saturating_sub(other_zones_count).min(own_zone.len());
    let (own_zone_rest, other_zones_rest) =
        (own_zone.split_off(own_zone_count), other_zones.split_off(other_zones_count));
    [own_zone, other_zones, own_zone_rest, other_zones_rest, over_quota].concat()
}

fn by_rank<'a>(node: &SubsetNode, hosts: &'a [SubsetHost]) -> impl Iterator<Item = &'a SubsetHost> {
    let node_hash = name_hash(&node.name);
    let mut ranked: Vec<(f64, &SubsetHost)> =
        hosts.iter().map(|host| (rendezvous_rank(node_hash, host), host)).collect();
    ranked.sort_by(|(a, x), (b, y)| a.total_cmp(b).then(x.id.cmp(&y.id)));
    ranked.into_iter().map(|(_, host)| host)
}

/// Returns the quota of each failure group, in hosts. Hosts within the quotas precede all others in the
/// preference order; a fractional quota is rounded up.
fn failure_group_quotas(params: SubsettingParams, hosts: &[SubsetHost]) -> BTreeMap<u16, f64> {
    let total_weight: f64 = hosts.iter().map(|host| bounded_weight(host.weight)).sum();
    let mut quotas: BTreeMap<u16, f64> = BTreeMap::new();
    for host in hosts {
        *quotas.entry(host.failure_group).or_default() +=
            MAX_GROUP_FACTOR * params.hosts_per_node as f64 * bounded_weight(host.weight) / total_weight;
    }
    quotas
}
