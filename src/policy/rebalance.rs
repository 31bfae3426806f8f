//! Rebalancing: the period, and which connections move.

use rand::RngExt;

use crate::types::{Action, EndpointState, Micros, RequestId, TimerToken};

use super::Policy;
use super::capacity::{CAPACITY_MARGIN, LOAD_LIMIT_GROWTH, SLOWNESS_RECOVERY};
use super::connection::{Connection, ConnectionState};
use super::log_limit::LINES_PER_PERIOD;
use super::message_delay::LATE_SHARE_OF_OBJECTIVE;

/// The design's period: loads are summed and compared this often.
pub(super) const PERIOD: Micros = Micros::from_millis(1_000);

/// The design's bar: a server this far above the mean sheds.
pub(super) const OVERLOAD_THRESHOLD: f64 = 1.1;

/// Periods above the bar before a server sheds: a load that swings by itself is back under it by then.
const OVERLOADED_PERIODS: u32 = 3;

/// The share of a server's connections that one period may move, rounded down: few tell too little.
const PROACTIVE_MOVE_SHARE: f64 = 0.1;

/// The same where the server's messages are late: those connections lose more by staying.
const REACTIVE_MOVE_SHARE: f64 = 0.5;

/// From this share of the warm servers on the fleet as a whole is late: what moves finds no room, and late
/// servers move no more than others, whole connections by chance.
const FLEET_LATE_SHARE: f64 = 0.9;

/// Below this many connections on a server, in the mean, the own record tells next to nothing of a server.
const FEW_CONNECTIONS: f64 = 1.0;

/// Piled work that was told is to be gone after this long.
const BACKLOG_CLEAR_TIME: Micros = Micros::from_millis(1_000);

/// Wakes the period.
pub(super) const PERIOD_TIMER: TimerToken = TimerToken(0);

impl Policy {
    pub(super) fn on_period(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(PERIOD, PERIOD_TIMER));
        self.log_limit.lines_left = LINES_PER_PERIOD;
        self.setups.on_period();
        let held = self.mean_connections(now);
        self.refill_slow_start_tokens(now, held);
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            server.capacity.slowness = (server.capacity.slowness - SLOWNESS_RECOVERY).max(0.0);
            server.capacity.load_limit = server.capacity.load_limit.map(|limit| limit * LOAD_LIMIT_GROWTH);
        }
        self.probe_stalled_servers(now, actions);
        self.find_disproved_lists(now);
        self.update_zone_affinity(now);
        self.probe_removed_servers(now, actions);
        let mean = self.mean_load(now);
        for index in 0..self.servers.len() {
            let drains = self.servers[index].endpoint.state == EndpointState::Draining
                && self.settings.migrate_from_draining;
            if self.is_available(now, index) || drains {
                self.shed(now, index, mean, held < FEW_CONNECTIONS, actions);
            }
        }
    }

    /// The reactive trigger. A queue that grows tells how far a server is over what it can do, and its length
    /// what is to be cleared: what is above both is its excess. The server is believed to be as much slower
    /// than the others as its load says, or it would be filled up again.
    fn measure_late_excess(&mut self, now: Micros, index: usize, mean: f64) -> f64 {
        let Some(delay) = self.servers[index].delay.filter(|_| self.is_late(now, index)) else { return 0.0 };
        let record = self.recorded_load(index);
        let busy = (1.0 + delay.growth).clamp(0.5, 10.0);
        // A little late is a little over what it can do: only where an aim is missed is it the whole margin.
        let urgency = (delay.delay.as_secs_f64() * LATE_SHARE_OF_OBJECTIVE
            / self.late_threshold.as_secs_f64())
        .min(1.0);
        let manages = (1.0 - (1.0 - CAPACITY_MARGIN) * urgency) * record / busy;
        if !delay.stalled {
            self.bound_to_capacity(index, manages, mean);
        }
        let piled = delay.delay.as_secs_f64() / BACKLOG_CLEAR_TIME.as_secs_f64();
        (record - manages * (1.0 - piled)).clamp(0.0, record)
    }

    /// Sheds the excess of a server that has been above the bar for long enough, or is late. One that drains
    /// is to have no connections, whatever their load, when it stops, if the settings ask for that.
    fn shed(&mut self, now: Micros, index: usize, mean: f64, few: bool, actions: &mut Vec<Action>) {
        let (draining, held) =
            (self.servers[index].draining, self.servers[index].load.connections.len() as f64);
        let reactive = if draining { held } else { self.measure_late_excess(now, index, mean) };
        let fair = mean * self.effective_weight(index);
        let record = self.recorded_load(index);
        let server = &mut self.servers[index];
        server.overloaded_periods =
            if record > OVERLOAD_THRESHOLD * fair { server.overloaded_periods + 1 } else { 0 };
        let ordinary = if server.overloaded_periods >= OVERLOADED_PERIODS { record - fair } else { 0.0 };
        let mut excess = reactive.max(ordinary);
        if excess <= 0.0 {
            return;
        }
        let late = |of: Vec<usize>| {
            of.iter().filter(|index| self.is_late(now, **index)).count() as f64 / of.len() as f64
        };
        let ready = late((0..self.servers.len()).filter(|&index| self.is_available(now, index)).collect());
        // Guards against a queue of set-ups that grows by what moves: most of that comes back as set-ups.
        let all_late = !draining && late(self.warm_servers(now).collect()) >= FLEET_LATE_SHARE;
        let (share, up) =
            if all_late { (PROACTIVE_MOVE_SHARE, self.rng.random()) } else { (REACTIVE_MOVE_SHARE, 0.99) };
        // What moves begins its group anew elsewhere: the more servers are late, the less room there is.
        let crowding = if reactive > 0.0 { (2.0 * self.settings.group_load * ready).min(1.0) } else { 1.0 };
        let mut open: Vec<(f64, RequestId)> = (self.servers[index].load.connections.iter())
            .filter_map(|id| self.connections.get(id).map(|connection| (id, connection)))
            .filter(|(_, connection)| matches!(connection.state, ConnectionState::Open(_)))
            .filter_map(|(&id, connection)| {
                Some((if draining { 1.0 } else { self.freed_load(index, connection, crowding)? }, id))
            })
            .collect();
        let lightest = open.iter().map(|(load, _)| *load).fold(f64::INFINITY, f64::min);
        // A late server may lose its last connection too; and by chance for less than that where each of many
        // nodes holds one there, or none would begin, and where what stays earns nothing: a way that is slow
        // keeps a steady delay, and half of one connection would ask for no move for as long as that lasts.
        let part = excess.min(REACTIVE_MOVE_SHARE * lightest);
        let lost = self.servers[index]
            .delay
            .is_some_and(|d| d.delay.scale(LATE_SHARE_OF_OBJECTIVE) >= self.late_threshold);
        if (few || lost) && reactive > 0.0 && excess < lightest && part > lightest * self.rng.random::<f64>()
        {
            excess = lightest;
        }
        if excess < lightest || (excess == lightest && reactive == 0.0) {
            return;
        }
        let n = open.len() as f64;
        let limit =
            if reactive > 0.0 { (n * share + up).floor() } else { (n * PROACTIVE_MOVE_SHARE).floor() };
        for _ in 0..limit as usize {
            // The connection that comes closest to what is still to go, while that brings it closer.
            let gaps: Vec<f64> = open.iter().map(|(load, _)| (load - excess).abs()).collect();
            let lowest = gaps.iter().copied().fold(f64::INFINITY, f64::min);
            let ties: Vec<usize> = (0..gaps.len()).filter(|&i| gaps[i] == lowest).collect();
            let i = ties[self.rng.random_range(0..ties.len())];
            if lowest >= excess.abs() {
                break;
            }
            let (load, id) = open.swap_remove(i);
            excess -= load;
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.state = ConnectionState::Migrating(index);
                actions.push(Action::Migrate(id));
            }
        }
    }

    /// What moving a connection takes off a server; nothing where its group stays and that is less than
    /// beginning it anew elsewhere costs: a usual connection, or the stated part of that. The last own of a
    /// group takes this node's share of the group's work along.
    fn freed_load(&self, index: usize, connection: &Connection, crowding: f64) -> Option<f64> {
        let (load, usual) = (self.connection_load(connection), self.typical_load());
        let Some(held) =
            connection.request.group.and_then(|group| self.servers[index].load.groups.get(&group))
        else {
            return Some(load);
        };
        let freed = if *held == 1 { load + self.group_load_share() } else { load };
        (freed > usual * crowding).then_some(freed)
    }
}
