//! What the decisions see of the list where nodes share it out among themselves: laid over every list, as hosts that are out by
//! hand are.
//!
//! Each part is off unless set. With none on, a list passes as it is.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Endpoint, EndpointListKind, EndpointState, Micros, ServerId};

use crate::subsetting::{Host, Node, Place, Rule, Shares, Subset, row};

/// The tag of the fact by which a member tells what comes to it.
pub const TRAFFIC: u8 = b't';
/// Steps of a told level for each doubling: 6% each, up to two million connections in a byte.
const STEPS: f64 = 12.0;
/// A level is told anew when it is off by so many steps, three fifths, and at most this often: each telling goes to every member.
const OFF: u8 = 8;
const TELL_EVERY: Micros = Micros::from_millis(10_000);

/// The level of so many connections, as it is told in one byte.
pub fn level(connections: usize) -> u8 {
    (STEPS * (connections as f64 + 1.0).log2()).round() as u8
}

/// What a member's fact says of its traffic; nothing where it has told nothing that can be read.
pub fn traffic(fact: Option<&[u8]>) -> f64 {
    match fact {
        Some(&[level]) => (f64::from(level) / STEPS).exp2(),
        _ => 0.0,
    }
}

/// Nodes of which nothing is told count at the mean of the others.
fn filled(mut nodes: Vec<Node>) -> Vec<Node> {
    let told: Vec<f64> = nodes.iter().map(|node| node.traffic).filter(|traffic| *traffic > 0.0).collect();
    let mean = if told.is_empty() { 1.0 } else { told.iter().sum::<f64>() / told.len() as f64 };
    nodes.iter_mut().filter(|node| node.traffic <= 0.0).for_each(|node| node.traffic = mean);
    nodes
}

/// Which parts are on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Parts {
    /// Each node uses a part of the hosts.
    pub subsets: Option<Rule>,
    /// How long a host that was added to a subset is kept after it was last needed.
    pub hold: Micros,
    /// A host that has started is warm after this.
    pub cold: Micros,
}

/// The overlay of one node.
#[derive(Debug)]
pub struct Choices {
    parts: Parts,
    me: Node,
    subset: Option<Subset>,
    /// Weights say what a host's size is.
    sized: bool,
    others: Vec<Node>,
    /// The level of its traffic that others were told last, and when.
    told: Option<(u8, Micros)>,
    listed: BTreeMap<ServerId, Endpoint>,
    /// What the decisions were told last.
    shown: BTreeMap<ServerId, Endpoint>,
    /// Members or hosts have changed since the subset was learnt.
    stale: bool,
}

impl Choices {
    /// A node that knows nobody and no host yet. `sized`: weights in the list are sizes.
    pub fn new(parts: Parts, me: Node, sized: bool) -> Self {
        let subset = parts.subsets.map(|rule| Subset::new(rule, me.clone(), parts.hold));
        let (listed, shown) = (BTreeMap::new(), BTreeMap::new());
        Choices { parts, me, subset, sized, others: Vec::new(), told: None, listed, shown, stale: false }
    }

    /// Whether anything is laid over lists.
    pub fn on(&self) -> bool {
        self.subset.is_some()
    }

    /// The other nodes, as the members' view has them.
    pub fn members(&mut self, others: Vec<Node>) {
        self.stale |= self.others != others;
        self.others = others;
    }

    /// Takes in a list as it came, and returns it as the decisions are to see it. A host that is new is set aside until
    /// [`Choices::refresh`], which is due at once where [`Choices::starved`].
    pub fn lay_over(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) -> Vec<Endpoint> {
        if !self.on() {
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
    pub fn starved(&self) -> bool {
        self.on() && !self.shown.values().any(Endpoint::ready)
    }

    /// What other members are to be told of this node's traffic, where that has changed by enough.
    pub fn tell(&mut self, now: Micros, connections: usize) -> Option<[u8; 1]> {
        let level = level(connections);
        // From its first moment on: a node that has just started is about to be filled.
        let (told, at) = *self.told.get_or_insert((0, now));
        if !self.on() || told.abs_diff(level) < OFF || now < at + TELL_EVERY {
            return None;
        }
        (self.told, self.stale) = (Some((level, now)), true);
        self.me.traffic = traffic(Some(&[level]));
        Some([level])
    }

    /// Brings what the decisions see up to date with the members, the hosts and those that this node can't reach; returns what has
    /// changed. To be called about once a second.
    pub fn refresh(&mut self, now: Micros, unreached: &BTreeSet<ServerId>) -> Vec<Endpoint> {
        self.refresh_by(now, unreached, row)
    }

    /// The same, with rows of the table from elsewhere: many nodes of one process share them.
    pub fn refresh_by(
        &mut self,
        now: Micros,
        unreached: &BTreeSet<ServerId>,
        row: impl FnOnce(Rule, &Node, &[Node], &[Host]) -> Shares,
    ) -> Vec<Endpoint> {
        if std::mem::take(&mut self.stale) {
            self.learn(row);
        }
        self.show(now, unreached)
    }

    /// Hosts in use, and those of them that were added for others; none where subsets are off.
    pub fn counts(&self) -> Option<(usize, usize)> {
        self.subset.as_ref().map(Subset::counts)
    }

    /// Hosts that may be sent new work, as the list has them.
    fn hosts(&self) -> Vec<Host> {
        let ready = self.listed.values().filter(|entry| entry.ready());
        let weight = |entry: &Endpoint| if self.sized { entry.weight } else { 1.0 };
        ready
            .map(|entry| Host { id: entry.id, weight: weight(entry), zone: entry.zone, group: entry.cell })
            .collect()
    }

    fn learn(&mut self, row: impl FnOnce(Rule, &Node, &[Node], &[Host]) -> Shares) {
        let hosts = self.hosts();
        if let (Some(subset), Some(rule)) = (&mut self.subset, self.parts.subsets) {
            let mut nodes = self.others.clone();
            nodes.push(self.me.clone());
            let mut nodes = filled(nodes);
            let Some(me) = nodes.pop() else { return };
            subset.learn_row(row(rule, &me, &nodes, &hosts), &hosts);
        }
    }

    fn show(&mut self, now: Micros, unreached: &BTreeSet<ServerId>) -> Vec<Endpoint> {
        let Some(subset) = &mut self.subset else { return Vec::new() };
        let cold = |entry: &&Endpoint| entry.started.is_some_and(|started| now < started + self.parts.cold);
        // A cold host is sent its due and no more.
        let bound = self.listed.values().filter(cold).map(|entry| entry.id).collect();
        let places = subset.places(now, unreached, &bound);
        let used = places.values().filter(|place| matches!(place, Place::Used(_))).count() as f64;
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
                Place::Used(share) => Endpoint { weight: share * used, joined, ..*entry },
                Place::Aside => Endpoint { state: EndpointState::Cordoned, ..*entry },
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
