//! Host assignment: the endpoint list as one node's decisions see it where the cluster's nodes share the hosts out.
//!
//! A host of this node's subset has the node's share of traffic as its weight; every other one is cordoned. Without
//! subsetting a list passes as it is.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Endpoint, EndpointListKind, EndpointState, Micros, ServerId};

use crate::subsetting::{
    HostUse, NodeSubset, SubsetCounts, SubsetHost, SubsetNode, SubsettingParams, TrafficShares, node_shares,
};

mod traffic_level;

use traffic_level::ReportedLevel;
pub use traffic_level::{TRAFFIC_METADATA_TAG, traffic_from_metadata, traffic_level};

/// How hosts are assigned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostAssignmentConfig {
    /// How subsets are chosen; none where each node uses all hosts.
    pub subsetting: Option<SubsettingParams>,
    /// How long a host that was added to a subset stays after it was last needed.
    pub added_host_retention: Micros,
    /// A host that has started is warm after this.
    pub warm_up: Micros,
}

/// One node's assignment of hosts.
#[derive(Debug)]
pub struct HostAssignment {
    config: HostAssignmentConfig,
    node: SubsetNode,
    other_nodes: Vec<SubsetNode>,
    subset: Option<NodeSubset>,
    /// Weights in the list are capacities; hosts count alike otherwise.
    weights_are_capacities: bool,
    reported_level: ReportedLevel,
    /// The list as it came.
    listed: BTreeMap<ServerId, Endpoint>,
    /// The list as the decisions see it.
    assigned: BTreeMap<ServerId, Endpoint>,
    /// Members or hosts have changed since the subset was worked out.
    is_subset_outdated: bool,
}

impl HostAssignment {
    /// A node that knows no other node and no host yet.
    pub fn new(config: HostAssignmentConfig, node: SubsetNode, weights_are_capacities: bool) -> Self {
        let retention = config.added_host_retention;
        let subset = config.subsetting.map(|params| NodeSubset::new(params, node.clone(), retention));
        HostAssignment {
            config,
            node,
            other_nodes: Vec::new(),
            subset,
            weights_are_capacities,
            reported_level: ReportedLevel::default(),
            listed: BTreeMap::new(),
            assigned: BTreeMap::new(),
            is_subset_outdated: false,
        }
    }

    /// Whether lists are changed at all.
    pub fn is_enabled(&self) -> bool {
        self.subset.is_some()
    }

    /// Takes in the other nodes, as the members' view has them.
    pub fn set_nodes(&mut self, other_nodes: Vec<SubsetNode>) {
        self.is_subset_outdated |= self.other_nodes != other_nodes;
        self.other_nodes = other_nodes;
    }

    /// Takes in a list as it came, and returns it as the decisions are to see it. A host that is new is cordoned until
    /// [`HostAssignment::refresh`], which is due at once where [`HostAssignment::has_no_ready_host`].
    pub fn apply_list(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) -> Vec<Endpoint> {
        if !self.is_enabled() {
            return entries;
        }
        let ready_before = self.ready_hosts();
        self.update_listed(kind, &entries);
        self.is_subset_outdated |= ready_before != self.ready_hosts();
        let entries: Vec<Endpoint> =
            entries.into_iter().map(|entry| self.with_last_assignment(entry)).collect();
        self.assigned.extend(entries.iter().map(|entry| (entry.id, *entry)));
        self.assigned.retain(|id, _| self.listed.contains_key(id));
        entries
    }

    /// Whether no host may receive new work: every request would be rejected.
    pub fn has_no_ready_host(&self) -> bool {
        self.is_enabled() && !self.assigned.values().any(Endpoint::ready)
    }

    /// The metadata that states this node's traffic to other members, where that has changed by enough.
    pub fn traffic_report(&mut self, now: Micros, connections: usize) -> Option<[u8; 1]> {
        if !self.is_enabled() {
            return None;
        }
        let report = [self.reported_level.update(now, connections)?];
        self.node.traffic = traffic_from_metadata(Some(&report));
        self.is_subset_outdated = true;
        Some(report)
    }

    /// Brings the list up to date with the members, the hosts and those that this node can't reach; returns what has changed. To
    /// be called about once a second.
    pub fn refresh(&mut self, now: Micros, unreachable: &BTreeSet<ServerId>) -> Vec<Endpoint> {
        self.refresh_with(now, unreachable, node_shares)
    }

    /// The same, with rows of the table from elsewhere: many nodes of one process share them.
    pub fn refresh_with(
        &mut self,
        now: Micros,
        unreachable: &BTreeSet<ServerId>,
        compute_shares: impl FnOnce(SubsettingParams, &SubsetNode, &[SubsetNode], &[SubsetHost]) -> TrafficShares,
    ) -> Vec<Endpoint> {
        if std::mem::take(&mut self.is_subset_outdated) {
            self.update_subset(compute_shares);
        }
        self.update_assigned(now, unreachable)
    }

    /// How many hosts the subset has; none without subsetting.
    pub fn counts(&self) -> Option<SubsetCounts> {
        self.subset.as_ref().map(NodeSubset::counts)
    }

    /// Hosts that may receive new work, as the list has them.
    fn ready_hosts(&self) -> Vec<SubsetHost> {
        let host = |entry: &Endpoint| SubsetHost {
            id: entry.id,
            weight: if self.weights_are_capacities { entry.weight } else { 1.0 },
            zone: entry.zone,
            failure_group: entry.cell,
        };
        self.listed.values().filter(|entry| entry.ready()).map(host).collect()
    }

    fn update_listed(&mut self, kind: EndpointListKind, entries: &[Endpoint]) {
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            self.listed.clear();
        }
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.listed.remove(&entry.id);
            } else {
                self.listed.insert(entry.id, *entry);
            }
        }
    }

    /// A listed entry as it was last assigned; one that is new is cordoned.
    fn with_last_assignment(&self, entry: Endpoint) -> Endpoint {
        if !entry.ready() {
            return entry;
        }
        match self.assigned.get(&entry.id) {
            Some(last) => Endpoint { state: last.state, weight: last.weight, joined: last.joined, ..entry },
            None => Endpoint { state: EndpointState::Cordoned, ..entry },
        }
    }

    fn update_subset(
        &mut self,
        compute_shares: impl FnOnce(SubsettingParams, &SubsetNode, &[SubsetNode], &[SubsetHost]) -> TrafficShares,
    ) {
        let hosts = self.ready_hosts();
        let (Some(subset), Some(params)) = (&mut self.subset, self.config.subsetting) else { return };
        let mut nodes = self.other_nodes.clone();
        nodes.push(self.node.clone());
        fill_unknown_traffic(&mut nodes);
        let Some(node) = nodes.pop() else { return };
        subset.update_shares(compute_shares(params, &node, &nodes, &hosts), &hosts);
    }

    /// Assigns the hosts anew; returns the entries that have changed.
    fn update_assigned(&mut self, now: Micros, unreachable: &BTreeSet<ServerId>) -> Vec<Endpoint> {
        let warming_up = self.warming_up_hosts(now);
        let Some(subset) = &mut self.subset else { return Vec::new() };
        let uses = subset.host_uses(now, unreachable, &warming_up);
        let is_used = |host_use: &&HostUse| matches!(host_use, HostUse::Assigned(_));
        let used_hosts = uses.values().filter(is_used).count() as f64;
        let had_ready_host = self.assigned.values().any(Endpoint::ready);
        let mut changed = Vec::new();
        for (id, host_use) in uses {
            let Some(entry) = self.listed.get(&id) else { continue };
            let last = self.assigned.get(&id);
            let assigned = match host_use {
                HostUse::Assigned(share) => Endpoint {
                    // Weights of one in the mean: the decisions count in usual connections.
                    weight: share * used_hosts,
                    joined: joined_at(last, had_ready_host, now),
                    ..*entry
                },
                HostUse::Cordoned => Endpoint { state: EndpointState::Cordoned, ..*entry },
            };
            if !last.is_some_and(|last| is_same_assignment(last, &assigned)) {
                self.assigned.insert(id, assigned);
                changed.push(assigned);
            }
        }
        changed
    }

    /// Hosts that get their share and no more.
    fn warming_up_hosts(&self, now: Micros) -> BTreeSet<ServerId> {
        let is_warming_up =
            |entry: &&Endpoint| entry.started.is_some_and(|started| now < started + self.config.warm_up);
        self.listed.values().filter(is_warming_up).map(|entry| entry.id).collect()
    }
}

/// When a used host joined the subset. One that comes to a subset in use is filled gradually: the decisions start it slowly.
fn joined_at(last: Option<&Endpoint>, subset_in_use: bool, now: Micros) -> Option<Micros> {
    let was_used = last.is_some_and(Endpoint::ready);
    if was_used || !subset_in_use { last.and_then(|last| last.joined) } else { Some(now) }
}

fn is_same_assignment(last: &Endpoint, new: &Endpoint) -> bool {
    (last.state, last.weight, last.started) == (new.state, new.weight, new.started)
}

/// Nodes that have not stated their traffic count at the mean of the others.
fn fill_unknown_traffic(nodes: &mut [SubsetNode]) {
    let known: Vec<f64> = nodes.iter().map(|node| node.traffic).filter(|traffic| *traffic > 0.0).collect();
    let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    nodes.iter_mut().filter(|node| node.traffic <= 0.0).for_each(|node| node.traffic = mean);
}
