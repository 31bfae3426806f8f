//! One node's subset: its row of the table, widened while it can't reach its hosts.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};

use super::rendezvous::rendezvous_rank;
use super::{SubsetHost, SubsetNode, SubsettingParams, TrafficShares, node_shares, preference_order};
use crate::name_hash;

/// A node that can't reach the hosts of more than this part of its traffic adds others. Below that the rest of its hosts do:
/// what hosts lose that are down for all is in the list soon.
const MAX_LOST_SHARE: f64 = 0.5;
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
    order: Vec<ServerId>,
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
            order: Vec::new(),
            added: BTreeMap::new(),
        }
    }

    /// Takes in the other nodes, and the hosts that may receive new work.
    pub fn update(&mut self, others: &[SubsetNode], hosts: &[SubsetHost]) {
        self.update_shares(node_shares(self.params, &self.node, others, hosts), hosts);
    }

    /// The same, with the node's row of the table from elsewhere.
    pub fn update_shares(&mut self, shares: TrafficShares, hosts: &[SubsetHost]) {
        self.shares = shares;
        self.order = preference_order(self.params, &self.node, hosts);
        self.added.retain(|id, _| self.order.contains(id));
    }

    /// How this node treats each host that may receive new work, given those that it can't reach now, and those that are warming
    /// up and get no more than their share.
    pub fn host_uses(
        &mut self,
        now: Micros,
        unreached: &BTreeSet<ServerId>,
        warming_up: &BTreeSet<ServerId>,
    ) -> BTreeMap<ServerId, HostUse> {
        let lost: Vec<f64> = self.lost_shares(unreached);
        let lost_share: f64 = lost.iter().sum();
        let to_replace = if lost_share > MAX_LOST_SHARE { lost.len() } else { 0 };
        self.add_hosts(to_replace, now, unreached, warming_up);
        self.give_up_unneeded_hosts(now);
        let mean_share = 1.0 / self.shares.len().max(1) as f64;
        let added_share = if to_replace > 0 { lost_share / to_replace as f64 } else { mean_share };
        let host_use = |id: &ServerId| match self.shares.get(id) {
            Some(share) => HostUse::Assigned(*share),
            None if self.added.contains_key(id) => HostUse::Assigned(added_share),
            None => HostUse::Cordoned,
        };
        self.order.iter().map(|id| (*id, host_use(id))).collect()
    }

    /// How many hosts the subset has.
    pub fn counts(&self) -> SubsetCounts {
        SubsetCounts { in_use: self.shares.len() + self.added.len(), added: self.added.len() }
    }

    /// The shares of the hosts that can't be reached.
    fn lost_shares(&self, unreached: &BTreeSet<ServerId>) -> Vec<f64> {
        let lost = self.shares.iter().filter(|(id, _)| unreached.contains(id));
        lost.map(|(_, share)| *share).collect()
    }

    /// Adds so many hosts, the first of the order that may stand in for others, or notes that they are needed still.
    fn add_hosts(
        &mut self,
        count: usize,
        now: Micros,
        unreached: &BTreeSet<ServerId>,
        warming_up: &BTreeSet<ServerId>,
    ) {
        let may_stand_in = |id: &&ServerId| {
            !self.shares.contains_key(id) && !unreached.contains(id) && !warming_up.contains(id)
        };
        for id in self.order.iter().filter(may_stand_in).take(count) {
            self.added.insert(*id, now);
        }
    }

    fn give_up_unneeded_hosts(&mut self, now: Micros) {
        let node_hash = name_hash(&self.node.name);
        let retention = |id: &ServerId| {
            let host = SubsetHost { id: *id, weight: 1.0, zone: 0, failure_group: 0 };
            let drawn = (-rendezvous_rank(node_hash, &host)).exp();
            self.added_host_retention.scale(MIN_RETENTION_FACTOR + drawn)
        };
        self.added.retain(|id, needed_at| now <= *needed_at + retention(id) && !self.shares.contains_key(id));
    }
}
