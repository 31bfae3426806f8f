//! Selection: the server on which a connection lands.

use rand::RngExt;

use crate::types::{GroupId, Micros, ServerId};

use super::Policy;
use super::connection::Connection;
use super::groups::{GROUP_OVERLOAD_THRESHOLD, group_reach};
use super::probe::CROWDED_LOAD_RATIO;
use super::rebalance::OVERLOAD_THRESHOLD;

/// Where only set-ups tell of delays, each server is to have one this often, by any node.
const SETUP_INTERVAL: Micros = Micros::from_millis(2_000);

/// Chance that falls alike at every node for a group: where many servers tie in the own record, nodes that
/// know nothing of one another still begin it on the same server.
pub(super) fn shared_chance(group: GroupId, server: ServerId) -> u64 {
    let mixed = (group.0 ^ server.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

/// A lot among servers of these sizes, from a draw that any of them may have: the lowest wins, as much more
/// often as it is larger
/// (exponential draws).
pub(super) fn weighted_pick(draw: u64, size: f64) -> f64 {
    -((draw as f64 + 1.0) / (u64::MAX as f64 + 2.0)).ln() / size
}

impl Policy {
    /// A server is due for a set-up by this node this long after its last.
    pub(super) fn setup_interval(&self) -> Micros {
        SETUP_INTERVAL.scale(f64::from(self.settings.node_count))
    }

    /// Where a connection lands: lowest in the own record, chance among equals, with its group where that has
    /// room. What was tried, is paused or is crowded comes after all others.
    pub(super) fn choose(&mut self, now: Micros, connection: &Connection) -> Option<usize> {
        let (mean, held, usual, share) =
            (self.mean_load(now), self.mean_connections(now), self.typical_load(), self.group_load_share());
        let nodes = f64::from(self.settings.node_count.max(1));
        let ticket = connection.request.group.unwrap_or(GroupId(self.rng.random()));
        // The other nodes are taken to hold their mean there.
        let group_room = mean * (1.0 + (GROUP_OVERLOAD_THRESHOLD - 1.0) * nodes);
        // Nothing lands where messages are late: it would earn nothing there and keep the others late. Where
        // all are late the fleet is full and the request is refused.
        let open = |&index: &usize| {
            self.is_eligible(now, index, connection)
                && !self.is_late(now, index)
                && self.has_capacity(index, connection)
        };
        let draw = |index: usize| shared_chance(ticket, self.servers[index].endpoint.id);
        // A copy of a group on one more server costs more than one connection is worth: where those on which
        // it begins are full or late, the request is refused.
        let reached = |&index: &usize| {
            let server = &self.servers[index];
            self.is_available(now, index) && !server.outlier.is_barred(now)
        };
        let mut draws: Vec<u64> = (0..self.servers.len()).filter(reached).map(draw).collect();
        draws.sort_unstable_by(|a, b| b.cmp(a));
        let last = draws.get(group_reach(draws.len()) - 1).copied().unwrap_or(0);
        let near = |&index: &usize| {
            let holds = |group: GroupId| self.servers[index].load.groups.contains_key(&group);
            connection.request.group.is_none_or(|group| draw(index) >= last || holds(group))
        };
        let rank = |index: usize| {
            let server = &self.servers[index];
            let holds = connection.request.group.is_some_and(|group| server.load.groups.contains_key(&group));
            let joins = holds && self.recorded_load(index) <= group_room * self.effective_weight(index);
            let paused = now < server.outlier.ejected_until;
            // A group that it doesn't hold yet is work that it would take on.
            let group = if connection.request.group.is_some() && !holds { share } else { 0.0 };
            let crowded = self.fresh_load_ratio(now, index).is_some_and(|ratio| ratio > CROWDED_LOAD_RATIO);
            let unseen = connection.request.group.is_none() && self.fresh_load_ratio(now, index).is_none();
            // A server that warms up counts at the others' mean at first and at its own load at last: in
            // whole connections, as records are, and by chance. A mean that is a part of one would put it
            // behind every server that is empty in this record, and at many nodes that is nearly all.
            let adds = held * (1.0 - self.warm_up_fraction_here(now, index));
            let chance = f64::from(draw(index) as u32) / f64::from(u32::MAX);
            let landing = (self.recorded_load(index) + group) / self.effective_weight(index)
                + usual * (adds + chance).floor();
            // Guards against a slow server that no set-up shows because nothing new lands there.
            let doubted = server.delay.is_some_and(|d| d.unconfirmed);
            let due = (doubted || now > server.last_attempt_at + self.setup_interval())
                && !self.settings.servers_report_delay;
            let warm = self.warm_up_fraction(now, index) >= 1.0;
            // Where records tie, a cold server with a permit goes first: it holds what permits let in, while
            // warm ones that are empty here are full of what other nodes moved.
            let due = due
                && warm
                && self.recorded_load(index) <= OVERLOAD_THRESHOLD * mean * self.effective_weight(index);
            let (tried, lot) = (
                connection.attempted_servers.contains(&index),
                weighted_pick(draw(index), self.weight(index)),
            );
            ((tried, paused, crowded, !joins, !due, landing, warm, unseen, lot), index)
        };
        let open = (0..self.servers.len()).filter(open).filter(near);
        open.map(rank).reduce(|a, b| if b < a { b } else { a }).map(|(_, index)| index)
    }

    /// Whether the rules let this request go to this server now.
    fn is_eligible(&self, now: Micros, index: usize, connection: &Connection) -> bool {
        let server = &self.servers[index];
        if !self.is_available(now, index)
            || server.outlier.is_barred(now)
            || (server.outlier.connect_failed && !server.load.connections.is_empty())
            || (self.warm_up_fraction(now, index) < 1.0 && server.slow_start.tokens == 0)
        {
            return false;
        }
        self.may_repeat_at(now, index, connection)
    }
}
