//! Group placement: where connections that share work land together.
//!
//! Acts where the settings say that connections of a group share work. Each server that holds any connection
//! of a group does that work once more, so a group keeps to few servers, the same ones at all nodes.

use crate::types::{GroupId, Micros, ServerId};

use super::Policy;
use super::selection::Selection;
use super::server::ServerIndex;

/// A connection joins its group at a server while all nodes together would hold no more than this multiple of
/// the mean there.
const GROUP_OVERLOAD_THRESHOLD: f64 = 1.25;
/// A group begins on the square root of the number of servers and so many more.
const GROUP_EXTRA_SERVERS: f64 = 2.0;

/// On how many of so many servers a group may begin; the same at all nodes.
pub(super) fn max_initial_servers(servers: usize) -> usize {
    ((servers as f64).sqrt() + GROUP_EXTRA_SERVERS) as usize
}

/// A hash of a group and a server that is the same at all nodes: nodes that know nothing of one another begin
/// a group on the same servers.
pub(super) fn rendezvous_hash(group: GroupId, server: ServerId) -> u64 {
    let mixed = (group.0 ^ server.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

/// The lowest hash among the servers on which a group may begin: the highest hashes of those that can be
/// reached.
pub(super) fn min_initial_hash(policy: &Policy, now: Micros, group: GroupId) -> u64 {
    let reachable =
        policy.available_servers(now).filter(|&index| !policy.servers[index].outlier.is_excluded(now));
    let mut hashes: Vec<u64> =
        reachable.map(|index| rendezvous_hash(group, policy.servers[index].endpoint.id)).collect();
    hashes.sort_unstable_by(|a, b| b.cmp(a));
    hashes.get(max_initial_servers(hashes.len()) - 1).copied().unwrap_or(0)
}

impl Selection<'_> {
    /// A group keeps to its reach and to where it is: a copy of it on one more server costs more than one
    /// connection is worth.
    pub(super) fn allows_group(&self, index: ServerIndex) -> bool {
        self.connection.request.group.is_none()
            || self.hash(index) >= self.min_initial_hash
            || self.holds_group(index)
    }

    pub(super) fn holds_group(&self, index: ServerIndex) -> bool {
        self.policy.servers[index].load.holds_group(self.connection.request.group)
    }

    /// Whether the group is at a server and all nodes together, the others taken at their mean, would not
    /// overload it.
    pub(super) fn may_join_group(&self, index: ServerIndex) -> bool {
        let nodes = f64::from(self.policy.settings.node_count.max(1));
        let group_limit = self.mean_load * (1.0 + (GROUP_OVERLOAD_THRESHOLD - 1.0) * nodes);
        let limit = group_limit * self.policy.effective_weight(index);
        self.holds_group(index) && self.policy.recorded_load(index) <= limit
    }
}
