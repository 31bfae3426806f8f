//! The subset of one node: its row of the share table, widened while its hosts are unreachable.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};

use super::rendezvous::rendezvous_rank;
use super::{SubsetHost, SubsetNode, SubsettingParams, TrafficShares, node_shares, preference_order};
use crate::name_hash;

/// The share of a node's traffic above which the node replaces its unreachable hosts. Below it, the node's
/// other hosts take the load: hosts that are down for all nodes soon disappear from the endpoint list.
const MAX_UNREACHABLE_SHARE: f64 = 0.5;
/// The minimum retention of an added host, as a fraction of the configured one. A random fraction between 0
/// and 1 is added to it.
const MIN_RETENTION_FACTOR: f64 = 0.5;

/// How a node uses a host that may receive new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostUse {
    /// The host receives this share of the node's traffic.
    Assigned(f64),
    /// The host keeps its connections but receives no new work.
    Cordoned,
}

/// The number of hosts in a subset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubsetCounts {
    /// Hosts in use.
    pub in_use: usize,
    /// Hosts in use that were added to replace unreachable ones.
    pub added: usize,
}

/// The subset of one node: its row of the share table, and the hosts added while its own are unreachable.
///
/// - **Widening.** While hosts with more than half of the node's traffic are unreachable or reject the node,
///   each of them is replaced by the next host in preference order that is reachable and warmed up, if there
///   is one.
/// - **Narrowing.** An added host stays for a while after it was last needed. The time depends on a hash of
///   node and host, so that nodes that lost the same hosts do not remove their replacements simultaneously.
///   Connections to a removed host stay.
#[derive(Debug)]
pub struct NodeSubset {
    params: SubsettingParams,
    node: SubsetNode,
    added_host_retention: Micros,
    shares: TrafficShares,
    preferred_hosts: Vec<ServerId>,
    /// The hosts in use that are not in the table's row, and when each was last needed.
    added: BTreeMap<ServerId, Micros>,
}

impl NodeSubset {
    /// Creates the subset of a node that knows no hosts.
    pub fn new(params: SubsettingParams, node: SubsetNode, added_host_retention: Micros) -> Self {
        NodeSubset {
            params,
            node,
            added_host_retention,
            shares: TrafficShares::new(),
            preferred_hosts: Vec::new(),
            added: BTreeMap::new(),
        }
    }

    /// Sets the other nodes, and the hosts that may receive new work.
    pub fn update(&mut self, other_nodes: &[SubsetNode], hosts: &[SubsetHost]) {
        self.update_shares(node_shares(self.params, &self.node, other_nodes, hosts), hosts);
    }

    /// Does the same as [`NodeSubset::update`], with the node's row of the table computed by the caller.
    pub fn update_shares(&mut self, shares: TrafficShares, hosts: &[SubsetHost]) {
        self.shares = shares;
        self.preferred_hosts = preference_order(self.params, &self.node, hosts);
        self.added.retain(|id, _| self.preferred_hosts.contains(id));
    }

    /// Returns how this node uses each host that may receive new work. `unreachable` hosts are replaced if
    /// they have too large a share; hosts that are `warming_up` are not used as replacements and receive no
    /// more than their share.
    pub fn host_uses(
        &mut self,
        now: Micros,
        unreachable: &BTreeSet<ServerId>,
        warming_up: &BTreeSet<ServerId>,
    ) -> BTreeMap<ServerId, HostUse> {
        let unreachable_shares: Vec<f64> = self.unreachable_shares(unreachable);
        let unreachable_share: f64 = unreachable_shares.iter().sum();
        let replacement_count =
            if unreachable_share > MAX_UNREACHABLE_SHARE { unreachable_shares.len() } else { 0 };
        self.add_replacements(replacement_count, now, unreachable, warming_up);
        self.remove_expired_hosts(now);
        let mean_share = 1.0 / self.shares.len().max(1) as f64;
        let added_share =
            if replacement_count > 0 { unreachable_share / replacement_count as f64 } else { mean_share };
        let host_use = |id: &ServerId| match self.shares.get(id) {
            Some(share) => HostUse::Assigned(*share),
            None if self.added.contains_key(id) => HostUse::Assigned(added_share),
            None => HostUse::Cordoned,
        };
        self.preferred_hosts.iter().map(|id| (*id, host_use(id))).collect()
    }

    /// Returns the number of hosts in the subset.
    pub fn counts(&self) -> SubsetCounts {
        SubsetCounts { in_use: self.shares.len() + self.added.len(), added: self.added.len() }
    }

    /// Returns the shares of the unreachable hosts.
    fn unreachable_shares(&self, unreachable: &BTreeSet<ServerId>) -> Vec<f64> {
        let unreachable_shares = self.shares.iter().filter(|(id, _)| unreachable.contains(id));
        unreachable_shares.map(|(_, share)| *share).collect()
    }

    /// Adds the first `count` hosts in preference order that can replace others, or marks them as still
    /// needed.
    fn add_replacements(
        &mut self,
        count: usize,
        now: Micros,
        unreachable: &BTreeSet<ServerId>,
        warming_up: &BTreeSet<ServerId>,
    ) {
        let is_candidate = |id: &&ServerId| {
            !self.shares.contains_key(id) && !unreachable.contains(id) && !warming_up.contains(id)
        };
        for id in self.preferred_hosts.iter().filter(is_candidate).take(count) {
            self.added.insert(*id, now);
        }
    }

    fn remove_expired_hosts(&mut self, now: Micros) {
        let node_hash = name_hash(&self.node.name);
        let retention = |id: &ServerId| {
            let host = SubsetHost { id: *id, weight: 1.0, zone: 0, failure_group: 0 };
            let jitter = (-rendezvous_rank(node_hash, &host)).exp();
            self.added_host_retention.scale(MIN_RETENTION_FACTOR + jitter)
        };
        self.added.retain(|id, last_needed_at| {
            now <= *last_needed_at + retention(id) && !self.shares.contains_key(id)
        });
    }
}
