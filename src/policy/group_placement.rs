//! Group placement: connections that share work are placed on the same servers.
//!
//! Applies if the settings say that the connections of a group share work. That work is repeated on
//! every server with a connection of the group, so a group uses few servers, the same ones at all
//! nodes.

use crate::types::{GroupId, Micros, ServerId};

use super::Policy;
use super::selection::Selection;
use super::server::ServerIndex;

/// Multiple of the mean load up to which connections join their group on a server, taking the
/// connections of all nodes together.
const GROUP_OVERLOAD_THRESHOLD: f64 = 1.25;
/// A group starts on at most the square root of the number of servers, plus this number.
const GROUP_EXTRA_SERVERS: f64 = 2.0;

/// Returns the maximum number of servers on which a group may start, which is the same at all
/// nodes.
pub(super) fn max_initial_servers(servers: usize) -> usize {
    ((servers as f64).sqrt() + GROUP_EXTRA_SERVERS) as usize
}

/// Returns a rendezvous hash of a group and a server. It is the same at all nodes, so that nodes
/// start a group on the same servers without communication.
pub(super) fn rendezvous_hash(group: GroupId, server: ServerId) -> u64 {
    let mixed = (group.0 ^ server.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

/// Returns the minimum hash of the servers on which a group may start: the reachable servers with
/// the highest hashes.
pub(super) fn min_initial_hash(policy: &Policy, now: Micros, group: GroupId) -> u64 {
    let reachable =
        policy.available_servers(now).filter(|&index| !policy.servers[index].outlier.is_excluded(now));
    let mut hashes: Vec<u64> =
        reachable.map(|index| rendezvous_hash(group, policy.servers[index].endpoint.id)).collect();
    hashes.sort_unstable_by(|a, b| b.cmp(a));
    hashes.get(max_initial_servers(hashes.len()) - 1).copied().unwrap_or(0)
}

impl Selection<'_> {
    /// Returns whether a group may be placed on a server: one of those on which it may start, or
    /// one that already has a connection of the group. A copy of the group on one more server costs
    /// more than a connection is worth.
    pub(super) fn allows_group(&self, index: ServerIndex) -> bool {
        self.connection.request.group.is_none()
            || self.hash(index) >= self.min_initial_hash
            || self.has_group(index)
    }

    pub(super) fn has_group(&self, index: ServerIndex) -> bool {
        self.policy.servers[index].load.has_group(self.connection.request.group)
    }

    /// Returns whether a server has a connection of the group and adding the connection would not
    /// overload it, assuming that the other nodes have their mean load there.
    pub(super) fn may_join_group(&self, index: ServerIndex) -> bool {
        let nodes = f64::from(self.policy.settings.node_count.max(1));
        let group_limit = self.mean_load * (1.0 + (GROUP_OVERLOAD_THRESHOLD - 1.0) * nodes);
        let limit = group_limit * self.policy.effective_weight(index);
        self.has_group(index) && self.policy.recorded_load(index) <= limit
    }
}
