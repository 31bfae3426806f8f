//! Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005): which hosts a node prefers.

use std::collections::BTreeMap;

use alderstile::types::ServerId;

use super::{SubsetHost, SubsetNode, SubsettingParams, bounded_weight};
use crate::name_hash;

/// A failure group has this multiple of its part of a subset at most, rounded up, while others have room: its failure must not
/// take most of a node's hosts.
const MAX_GROUP_FACTOR: f64 = 2.0;
/// With the own zone first, the part of a subset that is in other zones, for what the own one can't take.
const OTHER_ZONES_FRACTION: f64 = 0.25;

/// The rank of a host at the node with this hash: the lowest is preferred, and a heavier host is first as much more often
/// (exponential draws).
pub fn rendezvous_rank(node_hash: u64, host: &SubsetHost) -> f64 {
    // The finalizer of MurmurHash3: each bit of the pair reaches each bit of the draw.
    let mixed = node_hash ^ host.id.0.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ mixed >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    let uniform = ((mixed ^ mixed >> 33) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / bounded_weight(host.weight)
}

/// All hosts in the order in which a node would use them: by rank, but no failure group with more than twice its part of a
/// subset before all others have had theirs, and the own zone first where that is asked for.
pub fn preference_order(params: SubsettingParams, node: &SubsetNode, hosts: &[SubsetHost]) -> Vec<ServerId> {
    let mut group_quotas = failure_group_quotas(params, hosts);
    let (mut own_zone, mut other_zones, mut over_quota) = (Vec::new(), Vec::new(), Vec::new());
    for host in by_rank(node, hosts) {
        // At least one of each group has room.
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
    // Most from the own zone, some from others, the rest of the own, the rest of the others.
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

/// How many hosts of each failure group a subset takes before all others.
fn failure_group_quotas(params: SubsettingParams, hosts: &[SubsetHost]) -> BTreeMap<u16, f64> {
    let total_weight: f64 = hosts.iter().map(|host| bounded_weight(host.weight)).sum();
    let mut quotas: BTreeMap<u16, f64> = BTreeMap::new();
    for host in hosts {
        *quotas.entry(host.failure_group).or_default() +=
            MAX_GROUP_FACTOR * params.hosts_per_node as f64 * bounded_weight(host.weight) / total_weight;
    }
    quotas
}
