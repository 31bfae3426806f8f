//! Which part of the hosts each node uses, and how much of its traffic goes to each, so that every host gets its due of all
//! nodes together: a function of the members and the list, without state.
//!
//! Two steps. **Who uses what**: each node takes the `size` hosts that it draws highest, and each host is given to the few nodes that
//! draw it highest, so that no host is without one (weighted rendezvous: Thaler and Ravishankar 1998; Schindelhauer and Schomaker
//! 2005). A node or host more or less changes nobody's draws. **How much**: the table of nodes by hosts so marked is scaled, its
//! columns to the hosts' dues and its rows to the nodes' traffic by turns, until both fit (Deming and Stephan 1940; Sinkhorn and
//! Knopp 1967). Of all tables that fit it is the one nearest to the one begun with, so nodes stay in their zone as far as the
//! dues allow, and what a newcomer brings moves little.
//!
//! Weighed beside it in `docs/choices.md`: deterministic subsetting, low-discrepancy rings, aperture rings, Maglev tables.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};

use crate::hashed;

/// A node that can't reach the hosts of more than this part of its traffic takes others.
const TOO_FEW: f64 = 0.5;
/// A weight outside of these is taken for the nearest.
const WEIGHTS: (f64, f64) = (1e-3, 1e3);
/// The table fits when no host is further from its due than this share.
const FITS: f64 = 2e-3;
/// Turns of scaling at most: what a table needs that can't fit is cut off.
const TURNS: usize = 200;
/// A failure group has this multiple of its part of a subset at most, rounded up, while others have room.
const CROWD: f64 = 2.0;
/// Where zones go first, the share of a subset that is in other zones, for what the own one can't take.
const ABROAD: f64 = 0.25;
/// What a host in another zone counts beside one in the own zone.
const FAR: f64 = 0.01;

/// How subsets are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsettingParams {
    /// Hosts that a node uses, at least.
    pub hosts_per_node: usize,
    /// Nodes that use a host, at least.
    pub nodes_per_host: usize,
    /// Hosts of the own zone first.
    pub prefer_own_zone: bool,
}

impl Default for SubsettingParams {
    fn default() -> Self {
        SubsettingParams { hosts_per_node: 20, nodes_per_host: 4, prefer_own_zone: false }
    }
}

/// A host as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetHost {
    /// Its id.
    pub id: ServerId,
    /// Its size beside others; what is no positive number counts as one.
    pub weight: f64,
    /// Its zone.
    pub zone: u16,
    /// Hosts that may fail together.
    pub failure_group: u16,
}

/// A node as the members have it.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetNode {
    /// Its name.
    pub name: Box<str>,
    /// Its zone.
    pub zone: u16,
    /// What comes to it beside others; what is no positive number counts as one.
    pub traffic: f64,
}

/// TrafficShares of a node's traffic by host.
pub type TrafficShares = BTreeMap<ServerId, f64>;

/// A positive number within bounds.
fn bounded(weight: f64) -> f64 {
    if weight > 0.0 && weight.is_finite() { weight.clamp(WEIGHTS.0, WEIGHTS.1) } else { 1.0 }
}

/// A draw for a pair: the lowest goes first, and a heavier host is first as much more often (exponential draws).
fn draw(node: u64, host: &SubsetHost) -> f64 {
    // The finalizer of MurmurHash3: each bit of the pair reaches each bit of the draw.
    let mixed = node ^ host.id.0.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ mixed >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    let chance = ((mixed ^ mixed >> 33) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -chance.ln() / bounded(host.weight)
}

/// All hosts in the order in which a node would use them: by its draws, but no failure group with more than twice its part of a
/// subset before all others have had theirs, and the own zone first where that is asked for.
pub fn preference_order(rule: SubsettingParams, node: &SubsetNode, hosts: &[SubsetHost]) -> Vec<ServerId> {
    let name = hashed(&node.name);
    let mut drawn: Vec<(f64, &SubsetHost)> = hosts.iter().map(|host| (draw(name, host), host)).collect();
    drawn.sort_by(|(a, x), (b, y)| a.total_cmp(b).then(x.id.cmp(&y.id)));
    let mut room: BTreeMap<u16, f64> = BTreeMap::new();
    let weights: f64 = hosts.iter().map(|host| bounded(host.weight)).sum();
    for host in hosts {
        *room.entry(host.failure_group).or_default() +=
            CROWD * rule.hosts_per_node as f64 * bounded(host.weight) / weights;
    }
    let (mut near, mut far, mut crowd) = (Vec::new(), Vec::new(), Vec::new());
    for (_, host) in drawn {
        // At least one of each group has room.
        let room = room.entry(host.failure_group).or_default();
        *room -= 1.0;
        if *room <= -1.0 {
            crowd.push(host.id);
        } else if !rule.prefer_own_zone || host.zone == node.zone {
            near.push(host.id);
        } else {
            far.push(host.id);
        }
    }
    // Most from the own zone, some from others, the rest of the own, the rest of the others.
    let abroad = ((rule.hosts_per_node as f64 * ABROAD).ceil() as usize).min(far.len());
    let home = rule.hosts_per_node.saturating_sub(abroad).min(near.len());
    let (rest, far_rest) = (near.split_off(home), far.split_off(abroad));
    [near, far, rest, far_rest, crowd].concat()
}

/// What a place in an order counts: the last hardly anything, so that who comes or goes there moves little.
fn faded(rank: usize, of: usize) -> f64 {
    (of - rank) as f64 / of as f64
}

/// The whole table: each node's shares, which sum to one; `nodes` and `hosts` in any order, the answer in the order of `nodes`.
/// Who is named twice counts once. Nothing where there are no hosts.
pub fn share_table(rule: SubsettingParams, nodes: &[SubsetNode], hosts: &[SubsetHost]) -> Vec<TrafficShares> {
    let hosts: BTreeMap<ServerId, SubsetHost> = hosts.iter().map(|host| (host.id, *host)).collect();
    let hosts: Vec<SubsetHost> = hosts.into_values().collect();
    let by_name: BTreeMap<&str, &SubsetNode> = nodes.iter().map(|node| (&*node.name, node)).collect();
    let place: BTreeMap<ServerId, usize> = hosts.iter().enumerate().map(|(h, host)| (host.id, h)).collect();
    let sorted: Vec<&SubsetNode> = by_name.values().copied().collect();
    let size = rule.hosts_per_node.max(1);
    let mut uses: Vec<BTreeMap<usize, f64>> = Vec::with_capacity(sorted.len());
    for node in &sorted {
        let order = preference_order(rule, node, &hosts);
        let first = order.iter().take(size).enumerate();
        uses.push(first.filter_map(|(rank, id)| Some((*place.get(id)?, faded(rank, size)))).collect());
    }
    // Each host goes to the nodes that draw it highest: none is left out, whatever the nodes have drawn.
    let names: Vec<u64> = sorted.iter().map(|node| hashed(&node.name)).collect();
    for (h, host) in hosts.iter().enumerate() {
        let mut draws: Vec<(f64, usize)> =
            names.iter().enumerate().map(|(n, name)| (draw(*name, host), n)).collect();
        let users = rule.nodes_per_host.min(draws.len());
        if users < draws.len() && users > 0 {
            draws.select_nth_unstable_by(users - 1, |a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        }
        draws.truncate(users);
        draws.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (rank, (_, n)) in draws.into_iter().enumerate() {
            let begun = uses[n].entry(h).or_default();
            *begun = begun.max(faded(rank, users));
        }
    }
    let shares = scaled(rule, &sorted, &hosts, &uses);
    let found: BTreeMap<&str, TrafficShares> = sorted.iter().map(|node| &*node.name).zip(shares).collect();
    nodes.iter().map(|node| found.get(&*node.name).cloned().unwrap_or_default()).collect()
}

/// One node's row of the table. It counts itself, whoever else names it.
pub fn node_shares(
    rule: SubsettingParams,
    me: &SubsetNode,
    others: &[SubsetNode],
    hosts: &[SubsetHost],
) -> TrafficShares {
    let mut nodes = vec![me.clone()];
    nodes.extend(others.iter().filter(|other| other.name != me.name).cloned());
    share_table(rule, &nodes, hosts).swap_remove(0)
}

/// Scales the table until hosts have their dues and nodes their traffic.
fn scaled(
    rule: SubsettingParams,
    nodes: &[&SubsetNode],
    hosts: &[SubsetHost],
    uses: &[BTreeMap<usize, f64>],
) -> Vec<TrafficShares> {
    let traffic: Vec<f64> = nodes.iter().map(|node| bounded(node.traffic)).collect();
    let whole: f64 = traffic.iter().sum();
    let weights: f64 = hosts.iter().map(|host| bounded(host.weight)).sum();
    let due: Vec<f64> = hosts.iter().map(|host| bounded(host.weight) / weights * whole).collect();
    let begun = |n: usize, h: usize| {
        let far = rule.prefer_own_zone && hosts[h].zone != nodes[n].zone;
        bounded(hosts[h].weight) * if far { FAR } else { 1.0 }
    };
    let mut rows: Vec<Vec<(usize, f64)>> = uses
        .iter()
        .enumerate()
        .map(|(n, uses)| uses.iter().map(|(&h, faded)| (h, faded * begun(n, h))).collect())
        .collect();
    for _ in 0..TURNS {
        for (row, traffic) in rows.iter_mut().zip(&traffic) {
            let sum: f64 = row.iter().map(|(_, share)| share).sum();
            row.iter_mut().for_each(|(_, share)| *share *= traffic / sum);
        }
        let mut sums = vec![0.0; hosts.len()];
        rows.iter().flatten().for_each(|(h, share)| sums[*h] += share);
        let off = |(sum, due): (&f64, &f64)| (sum / due - 1.0).abs();
        if sums.iter().zip(&due).map(off).fold(0.0, f64::max) < FITS {
            break;
        }
        rows.iter_mut().flatten().for_each(|(h, share)| *share *= due[*h] / sums[*h]);
    }
    let share = |row: Vec<(usize, f64)>| {
        let sum: f64 = row.iter().map(|(_, share)| share).sum();
        row.into_iter().map(|(h, share)| (hosts[h].id, share / sum)).collect()
    };
    rows.into_iter().map(share).collect()
}

/// What one node's list says of a host while subsets are on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostUse {
    /// New work may go there, for this part of the node's traffic.
    Assigned(f64),
    /// What stands there stays; new work goes elsewhere.
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

/// One node's subset: its row of the table, and what it adds where it can't reach its hosts.
///
/// **Widening.** While a node can't reach the hosts of more than half of its traffic, or is turned away there, each of these is
/// made up for by the next host of its order that it can reach and that is warm, as long as there is one; that one gets the part
/// of the one that is away. Below that the rest of its hosts do: what hosts lose that are down for all is in the list soon.
/// **Narrowing.** A host that was added stays for `hold` after the last moment at which it was needed, drawn from half to one
/// and a half by node and host: nodes that lost the same hosts at once give up what they took one after the other. What stands
/// on a host that is given up stays there.
#[derive(Debug)]
pub struct NodeSubset {
    rule: SubsettingParams,
    me: SubsetNode,
    hold: Micros,
    shares: TrafficShares,
    order: Vec<ServerId>,
    /// Hosts beyond the table's, and when each was last needed.
    added: BTreeMap<ServerId, Micros>,
}

impl NodeSubset {
    /// A node that knows of no hosts yet.
    pub fn new(rule: SubsettingParams, me: SubsetNode, hold: Micros) -> Self {
        let (shares, order, added) = (TrafficShares::new(), Vec::new(), BTreeMap::new());
        NodeSubset { rule, me, hold, shares, order, added }
    }

    /// Takes in who the other nodes are and which hosts may be sent new work.
    pub fn update(&mut self, others: &[SubsetNode], hosts: &[SubsetHost]) {
        self.update_shares(node_shares(self.rule, &self.me, others, hosts), hosts);
    }

    /// The same, with the node's row of the table from elsewhere.
    pub fn update_shares(&mut self, shares: TrafficShares, hosts: &[SubsetHost]) {
        self.shares = shares;
        self.order = preference_order(self.rule, &self.me, hosts);
        self.added.retain(|id, _| self.order.contains(id));
    }

    /// How this node treats each host that may be sent new work, given those that it can't reach now and those that are to be sent
    /// no more than their due.
    pub fn host_uses(
        &mut self,
        now: Micros,
        unreached: &BTreeSet<ServerId>,
        bound: &BTreeSet<ServerId>,
    ) -> BTreeMap<ServerId, HostUse> {
        let away: Vec<f64> =
            self.shares.iter().filter(|(id, _)| unreached.contains(id)).map(|(_, share)| *share).collect();
        let lost: f64 = away.iter().sum();
        let missing = if lost > TOO_FEW { away.len() } else { 0 };
        let spare =
            |id: &&ServerId| !self.shares.contains_key(id) && !unreached.contains(id) && !bound.contains(id);
        for id in self.order.iter().filter(spare).take(missing) {
            self.added.insert(*id, now);
        }
        let name = hashed(&self.me.name);
        let held = |id: &ServerId| {
            let host = SubsetHost { id: *id, weight: 1.0, zone: 0, failure_group: 0 };
            self.hold.scale(0.5 + (-draw(name, &host)).exp())
        };
        let keeps = |id: &ServerId, at: &Micros| now <= *at + held(id) && !self.shares.contains_key(id);
        self.added.retain(|id, at| keeps(id, at));
        let mean = 1.0 / self.shares.len().max(1) as f64;
        let each = if missing > 0 { lost / missing as f64 } else { mean };
        let place = |id: &ServerId| match self.shares.get(id) {
            Some(share) => HostUse::Assigned(*share),
            None if self.added.contains_key(id) => HostUse::Assigned(each),
            None => HostUse::Cordoned,
        };
        self.order.iter().map(|id| (*id, place(id))).collect()
    }

    /// How many hosts the subset has.
    pub fn counts(&self) -> SubsetCounts {
        SubsetCounts { in_use: self.shares.len() + self.added.len(), added: self.added.len() }
    }
}
