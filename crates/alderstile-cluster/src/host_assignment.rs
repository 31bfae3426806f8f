//! What the decisions see of the list where nodes share it out among themselves: laid over every list, as hosts that are out by
//! hand are.
//!
//! Each part is off unless set. With none on, a list passes as it is.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Endpoint, EndpointListKind, EndpointState, Micros, ServerId};

use crate::subsetting::{
    HostUse, NodeSubset, SubsetCounts, SubsetHost, SubsetNode, SubsettingParams, TrafficShares, node_shares,
};

/// The tag of the fact by which a member tells what comes to it.
pub const TRAFFIC_METADATA_TAG: u8 = b't';
/// Steps of a told level for each doubling: 6% each, up to two million connections in a byte.
const STEPS: f64 = 12.0;
/// A level is told anew when it is off by so many steps, three fifths, and at most this often: each telling goes to every member.
const OFF: u8 = 8;
const TELL_EVERY: Micros = Micros::from_millis(10_000);

/// The level of so many connections, as it is told in one byte.
pub fn traffic_level(connections: usize) -> u8 {
    (STEPS * (connections as f64 + 1.0).log2()).round() as u8
}

/// What a member's fact says of its traffic; nothing where it has told nothing that can be read.
pub fn traffic_of_level(fact: Option<&[u8]>) -> f64 {
    match fact {
        Some(&[level]) => (f64::from(level) / STEPS).exp2(),
        _ => 0.0,
    }
}

/// Nodes of which nothing is told count at the mean of the others.
fn filled(mut nodes: Vec<SubsetNode>) -> Vec<SubsetNode> {
    let told: Vec<f64> = nodes.iter().map(|node| node.traffic).filter(|traffic| *traffic > 0.0).collect();
    let mean = if told.is_empty() { 1.0 } else { told.iter().sum::<f64>() / told.len() as f64 };
    nodes.iter_mut().filter(|node| node.traffic <= 0.0).for_each(|node| node.traffic = mean);
    nodes
}

/// Which parts are on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostAssignmentConfig {
    /// Each node uses a part of the hosts.
    pub subsetting: Option<SubsettingParams>,
    /// How long a host that was added to a subset is kept after it was last needed.
    pub added_host_retention: Micros,
    /// A host that has started is warm after this.
    pub warm_up: Micros,
}

/// The overlay of one node.
#[derive(Debug)]
pub struct HostAssignment {
    config: HostAssignmentConfig,
    me: SubsetNode,
    subset: Option<NodeSubset>,
    /// Weights say what a host's size is.
    sized: bool,
    others: Vec<SubsetNode>,
    /// The level of its traffic that others were told last, and when.
    told: Option<(u8, Micros)>,
    listed: BTreeMap<ServerId, Endpoint>,
    /// What the decisions were told last.
    shown: BTreeMap<ServerId, Endpoint>,
    /// Members or hosts have changed since the subset was learnt.
    stale: bool,
}

impl HostAssignment {
    /// A node that knows nobody and no host yet. `sized`: weights in the list are sizes.
    pub fn new(config: HostAssignmentConfig, me: SubsetNode, sized: bool) -> Self {
        let subset =
            config.subsetting.map(|rule| NodeSubset::new(rule, me.clone(), config.added_host_retention));
        let (listed, shown) = (BTreeMap::new(), BTreeMap::new());
        HostAssignment {
            config,
            me,
            subset,
            sized,
            others: Vec::new(),
            told: None,
            listed,
            shown,
            stale: false,
        }
    }

    /// Whether anything is laid over lists.
    pub fn is_enabled(&self) -> bool {
        self.subset.is_some()
    }

    /// The other nodes, as the members' view has them.
    pub fn set_nodes(&mut self, others: Vec<SubsetNode>) {
        self.stale |= self.others != others;
        self.others = others;
    }

    /// Takes in a list as it came, and returns it as the decisions are to see it. A host that is new is set aside until
    /// [`HostAssignment::refresh`], which is due at once where [`HostAssignment::starved`].
    pub fn apply_list(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) -> Vec<Endpoint> {
        if !self.is_enabled() {
            return entries;
        }
        let before = self.hosts();
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            self.listed.clear();
        }
        for entry in &entries {
            if entry.state == EndpointState::Gone {
                self.listed.remove(&entry.id);
            } else {
                self.listed.insert(entry.id, *entry);
            }
        }
        self.stale |= before != self.hosts();
        let seen = |entry: Endpoint| match self.shown.get(&entry.id) {
            _ if !entry.ready() => entry,
            Some(shown) => {
                Endpoint { state: shown.state, weight: shown.weight, joined: shown.joined, ..entry }
            }
            None => Endpoint { state: EndpointState::Cordoned, ..entry },
        };
        let entries: Vec<Endpoint> = entries.into_iter().map(seen).collect();
        self.shown.extend(entries.iter().map(|entry| (entry.id, *entry)));
        self.shown.retain(|id, _| self.listed.contains_key(id));
        entries
    }

    /// Whether nothing that is listed is in use: nothing could be sent anywhere.
    pub fn has_no_ready_host(&self) -> bool {
        self.is_enabled() && !self.shown.values().any(Endpoint::ready)
    }

    /// What other members are to be told of this node's traffic, where that has changed by enough.
    pub fn traffic_report(&mut self, now: Micros, connections: usize) -> Option<[u8; 1]> {
        let level = traffic_level(connections);
        // From its first moment on: a node that has just started is about to be filled.
        let (told, at) = *self.told.get_or_insert((0, now));
        if !self.is_enabled() || told.abs_diff(level) < OFF || now < at + TELL_EVERY {
            return None;
        }
        (self.told, self.stale) = (Some((level, now)), true);
        self.me.traffic = traffic_of_level(Some(&[level]));
        Some([level])
    }

    /// Brings what the decisions see up to date with the members, the hosts and those that this node can't reach; returns what has
    /// changed. To be called about once a second.
    pub fn refresh(&mut self, now: Micros, unreached: &BTreeSet<ServerId>) -> Vec<Endpoint> {
        self.refresh_with(now, unreached, node_shares)
    }

    /// The same, with rows of the table from elsewhere: many nodes of one process share them.
    pub fn refresh_with(
        &mut self,
        now: Micros,
        unreached: &BTreeSet<ServerId>,
        shares_of: impl FnOnce(SubsettingParams, &SubsetNode, &[SubsetNode], &[SubsetHost]) -> TrafficShares,
    ) -> Vec<Endpoint> {
        if std::mem::take(&mut self.stale) {
            self.learn(shares_of);
        }
        self.show(now, unreached)
    }

    /// Hosts in use, and those of them that were added for others; none where subsets are off.
    pub fn counts(&self) -> Option<SubsetCounts> {
        self.subset.as_ref().map(NodeSubset::counts)
    }

    /// Hosts that may be sent new work, as the list has them.
    fn hosts(&self) -> Vec<SubsetHost> {
        let ready = self.listed.values().filter(|entry| entry.ready());
        let weight = |entry: &Endpoint| if self.sized { entry.weight } else { 1.0 };
        ready
            .map(|entry| SubsetHost {
                id: entry.id,
                weight: weight(entry),
                zone: entry.zone,
                failure_group: entry.cell,
            })
            .collect()
    }

    fn learn(
        &mut self,
        shares_of: impl FnOnce(SubsettingParams, &SubsetNode, &[SubsetNode], &[SubsetHost]) -> TrafficShares,
    ) {
        let hosts = self.hosts();
        if let (Some(subset), Some(rule)) = (&mut self.subset, self.config.subsetting) {
            let mut nodes = self.others.clone();
            nodes.push(self.me.clone());
            let mut nodes = filled(nodes);
            let Some(me) = nodes.pop() else { return };
            subset.update_shares(shares_of(rule, &me, &nodes, &hosts), &hosts);
        }
    }

    fn show(&mut self, now: Micros, unreached: &BTreeSet<ServerId>) -> Vec<Endpoint> {
        let Some(subset) = &mut self.subset else { return Vec::new() };
        let cold =
            |entry: &&Endpoint| entry.started.is_some_and(|started| now < started + self.config.warm_up);
        // A cold host is sent its due and no more.
        let bound = self.listed.values().filter(cold).map(|entry| entry.id).collect();
        let places = subset.host_uses(now, unreached, &bound);
        let used = places.values().filter(|place| matches!(place, HostUse::Assigned(_))).count() as f64;
        let began = self.shown.values().any(Endpoint::ready);
        let mut changed = Vec::new();
        for (id, place) in places {
            let Some(entry) = self.listed.get(&id) else { continue };
            let shown = self.shown.get(&id);
            // What comes to a subset that was in use already is filled by and by.
            let old = shown.is_some_and(Endpoint::ready);
            let joined = if old || !began { shown.and_then(|shown| shown.joined) } else { Some(now) };
            let seen = match place {
                // Sizes of one in the mean: the decisions count in usual connections.
                HostUse::Assigned(share) => Endpoint { weight: share * used, joined, ..*entry },
                HostUse::Cordoned => Endpoint { state: EndpointState::Cordoned, ..*entry },
            };
            let same = |shown: &Endpoint| {
                (shown.state, shown.weight, shown.started) == (seen.state, seen.weight, seen.started)
            };
            if !shown.is_some_and(same) {
                self.shown.insert(id, seen);
                changed.push(seen);
            }
        }
        changed
    }
}
