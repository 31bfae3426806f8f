//! Host assignment: applies a node's subset to the endpoint list that the node passes to its policy.
//!
//! A host of the subset has the node's share of traffic as its weight; every other host is cordoned. If
//! subsetting is disabled, lists are passed on unchanged.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Endpoint, EndpointListKind, EndpointState, Micros, ServerId};

use crate::subsetting::{
    HostUse, NodeSubset, SubsetCounts, SubsetHost, SubsetNode, SubsettingParams, TrafficShares, node_shares,
};

mod traffic_level;

use traffic_level::ReportedLevel;
pub use traffic_level::{TRAFFIC_METADATA_TAG, traffic_from_metadata, traffic_level};

/// Configuration of host assignment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostAssignmentConfig {
    /// Parameters of subsetting, or `None` if every node uses all hosts.
    pub subsetting: Option<SubsettingParams>,
    /// How long a host that was added to a subset stays after it was last needed, before jitter.
    pub added_host_retention: Micros,
    /// The time from a host's start until it counts as warmed up.
    pub warm_up: Micros,
}

/// The assignment of hosts to one node.
#[derive(Debug)]
pub struct HostAssignment {
    config: HostAssignmentConfig,
    node: SubsetNode,
    other_nodes: Vec<SubsetNode>,
    subset: Option<NodeSubset>,
    /// Whether the weights in the list are capacities; otherwise all hosts have the same capacity.
    weights_are_capacities: bool,
    reported_level: ReportedLevel,
    /// The endpoints as received from discovery.
    listed: BTreeMap<ServerId, Endpoint>,
    /// The endpoints as passed to the policy.
    assigned: BTreeMap<ServerId, Endpoint>,
    /// Whether members or hosts have changed since the subset was computed.
    is_subset_outdated: bool,
}

impl HostAssignment {
    /// Creates the assignment of a node that knows no other node and no host.
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

    /// Whether subsetting is enabled, so that lists are changed.
    pub fn is_enabled(&self) -> bool {
        self.subset.is_some()
    }

    /// Sets the other nodes of the cluster, as the membership view lists them.
    pub fn set_nodes(&mut self, other_nodes: Vec<SubsetNode>) {
        self.is_subset_outdated |= self.other_nodes != other_nodes;
        self.other_nodes = other_nodes;
    }

    /// Applies a list from discovery and returns it as it is passed to the policy. A new host is cordoned
    /// until the next [`HostAssignment::refresh`], which the caller must run at once if
    /// [`HostAssignment::has_no_ready_host`] is true.
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

    /// Whether no host may receive new work, so that every request would be rejected.
    pub fn has_no_ready_host(&self) -> bool {
        self.is_enabled() && !self.assigned.values().any(Endpoint::ready)
    }

    /// Returns the metadata that reports this node's traffic to other members, if the traffic has changed
    /// enough. `connections` is the current number of connections.
    pub fn traffic_report(&mut self, now: Micros, connections: usize) -> Option<[u8; 1]> {
        if !self.is_enabled() {
            return None;
        }
        let report = [self.reported_level.update(now, connections)?];
        self.node.traffic = traffic_from_metadata(Some(&report));
        self.is_subset_outdated = true;
        Some(report)
    }

    /// Updates the assignment to the current members, hosts and `unreachable` hosts, and returns the
    /// endpoints that changed. It must be called about once per second.
    pub fn refresh(&mut self, now: Micros, unreachable: &BTreeSet<ServerId>) -> Vec<Endpoint> {
        self.refresh_with(now, unreachable, node_shares)
    }

    /// Does the same as [`HostAssignment::refresh`], with the node's shares from `share_fn`: simulated
    /// nodes in one process share one table.
    pub fn refresh_with(
        &mut self,
        now: Micros,
        unreachable: &BTreeSet<ServerId>,
        share_fn: impl FnOnce(SubsettingParams, &SubsetNode, &[SubsetNode], &[SubsetHost]) -> TrafficShares,
    ) -> Vec<Endpoint> {
        if std::mem::take(&mut self.is_subset_outdated) {
            self.update_subset(share_fn);
        }
        self.update_assigned(now, unreachable)
    }

    /// Returns the number of hosts in the subset, or `None` if subsetting is disabled.
    pub fn counts(&self) -> Option<SubsetCounts> {
        self.subset.as_ref().map(NodeSubset::counts)
    }

    /// Returns the listed hosts that may receive new work.
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

    /// Returns a listed entry with its last assignment; a new entry is cordoned.
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
        share_fn: impl FnOnce(SubsettingParams, &SubsetNode, &[SubsetNode], &[SubsetHost]) -> TrafficShares,
    ) {
        let hosts = self.ready_hosts();
        let (Some(subset), Some(params)) = (&mut self.subset, self.config.subsetting) else { return };
        let mut nodes = self.other_nodes.clone();
        nodes.push(self.node.clone());
        fill_unknown_traffic(&mut nodes);
        let Some(node) = nodes.pop() else { return };
        subset.update_shares(share_fn(params, &node, &nodes, &hosts), &hosts);
    }

    /// Recomputes the assignment and returns the endpoints that changed.
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
                    // Scaled to a mean weight of 1, so that the policy's loads per unit of weight are those of
                    // an average host.
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

    /// Returns the hosts that are warming up: they receive no more than their share.
    fn warming_up_hosts(&self, now: Micros) -> BTreeSet<ServerId> {
        let is_warming_up =
            |entry: &&Endpoint| entry.started.is_some_and(|started| now < started + self.config.warm_up);
        self.listed.values().filter(is_warming_up).map(|entry| entry.id).collect()
    }
}

/// Returns when a used host joined the subset. If the subset was already in use, a new host gets the current
/// time, so that the policy warms it up gradually.
fn joined_at(last: Option<&Endpoint>, subset_in_use: bool, now: Micros) -> Option<Micros> {
    let was_used = last.is_some_and(Endpoint::ready);
    if was_used || !subset_in_use { last.and_then(|last| last.joined) } else { Some(now) }
}

fn is_same_assignment(last: &Endpoint, new: &Endpoint) -> bool {
    (last.state, last.weight, last.started) == (new.state, new.weight, new.started)
}

/// Sets the traffic of nodes that have not reported any to the mean of the others.
fn fill_unknown_traffic(nodes: &mut [SubsetNode]) {
    let known: Vec<f64> = nodes.iter().map(|node| node.traffic).filter(|traffic| *traffic > 0.0).collect();
    let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    nodes.iter_mut().filter(|node| node.traffic <= 0.0).for_each(|node| node.traffic = mean);
}
