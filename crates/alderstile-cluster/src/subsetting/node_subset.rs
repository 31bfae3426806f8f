//! One node's subset: its row of the table, widened while it can't reach its hosts.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};

use super::rendezvous::rendezvous_rank;
use super::{SubsetHost, SubsetNode, SubsettingParams, TrafficShares, node_shares, preference_order};
use crate::name_hash;

/// A node that can't reach the hosts of more than this part of its traffic adds others. Below that the rest of its hosts do:
/// what hosts lose that are down for all is in the list soon.
const MAX_UNREACHABLE_SHARE: f64 = 0.5;
/// The least part of the retention after which an added host is given up; the rest, up to one and a half of it, is drawn.
const MIN_RETENTION_FACTOR: f64 = 0.5;

/// How a node treats a host that may receive new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostUse {
    /// New work may go there, for this part of the node's traffic.
    Assigned(f64),
    /// Connections there stay; new work goes elsewhere.
    Cordoned,
}

/// How many hosts a subset has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubsetCounts {
    /// Hosts in use.
    pub in_use: usize,
    /// Those of them that were added in place of others that can't be reached.
    pub added: usize,
}

/// One node's subset: its row of the table, and the hosts that it adds where it can't reach its own.
///
/// **Widening.** While a node can't reach the hosts of more than half of its traffic, or is rejected there, each of these is
/// replaced by the next host of its order that it can reach and that is warm, as long as there is one.
/// **Narrowing.** An added host stays for a while after the last moment at which it was needed, drawn by node and host: nodes
/// that lost the same hosts at once give up what they took one after the other. Connections on a host that is given up stay.
#[derive(Debug)]
pub struct NodeSubset {
    params: SubsettingParams,
    node: SubsetNode,
    added_host_retention: Micros,
    shares: TrafficShares,
    preferred_hosts: Vec<ServerId>,
    /// Hosts beyond the table's, and when each was last needed.
    added: BTreeMap<ServerId, Micros>,
}

impl NodeSubset {
    /// A node that knows of no hosts yet.
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

    /// Takes in the other nodes, and the hosts that may receive new work.
    pub fn update(&mut self, other_nodes: &[SubsetNode], hosts: &[SubsetHost]) {
        self.update_shares(node_shares(self.params, &self.node, other_nodes, hosts), hosts);
    }

    /// The same, with the node's row of the table from elsewhere.
    pub fn update_shares(&mut self, shares: TrafficShares, hosts: &[SubsetHost]) {
        self.shares = shares;
        self.preferred_hosts = preference_order(self.params, &self.node, hosts);
        self.added.retain(|id, _| self.preferred_hosts.contains(id));
    }

    /// How this node treats each host that may receive new work, given those that it can't reach now, and those that are warming
    /// up and get no more than their share.
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

    /// How many hosts the subset has.
    pub fn counts(&self) -> SubsetCounts {
        SubsetCounts { in_use: self.shares.len() + self.added.len(), added: self.added.len() }
    }

    /// The shares of the hosts that can't be reached.
    fn unreachable_shares(&self, unreachable: &BTreeSet<ServerId>) -> Vec<f64> {
        let unreachable_shares = self.shares.iter().filter(|(id, _)| unreachable.contains(id));
        unreachable_shares.map(|(_, share)| *share).collect()
    }

    /// Adds so many hosts, the first of the order that may stand in for others, or notes that they are needed still.
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
