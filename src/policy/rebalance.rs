//! Rebalancing: once a period each server that holds too much sheds its excess, by the connections whose load
//! comes closest to it.
//!
//! A server holds too much when it has been above the overload threshold for some periods, when its messages
//! are late, or when it drains and the settings ask for its clients to be migrated.

use rand::RngExt;

use crate::types::{Action, EndpointState, Micros, RequestId, TimerToken};

use super::Policy;
use super::connection::{Connection, ConnectionState};
use super::log_limit::LogLimit;
use super::message_delay::{LATE_SHARE_OF_OBJECTIVE, MessageDelay};
use super::server::ServerIndex;

/// Loads are summed and compared this often.
pub(super) const PERIOD: Micros = Micros::from_millis(1_000);
/// Wakes the next period.
pub(super) const PERIOD_TIMER: TimerToken = TimerToken(0);

/// A server is overloaded above this multiple of the mean load.
pub(super) const OVERLOAD_THRESHOLD: f64 = 1.1;
/// Periods above the threshold before a server sheds: a load that swings by itself is back under it by then.
const OVERLOADED_PERIODS: u32 = 3;
/// Share of an overloaded server's connections that one period may move, rounded down: few connections tell
/// too little of a server.
const PROACTIVE_MOVE_SHARE: f64 = 0.1;
/// The same for a late or draining server: its connections lose more by staying.
const REACTIVE_MOVE_SHARE: f64 = 0.5;
/// Added before the number of moves is rounded down: rounds up.
const ROUND_UP: f64 = 0.99;
/// From this share of late servers among the warm ones on the fleet as a whole is late: what moves finds no
/// capacity.
const FLEET_LATE_SHARE: f64 = 0.9;
/// Below this many connections on a server, in the mean, the own record tells next to nothing of a server.
const FEW_CONNECTIONS: f64 = 1.0;
/// The backlog of a late server is to be gone after this long.
const BACKLOG_CLEAR_TIME: Micros = Micros::from_millis(1_000);
/// The part of the load that a late server works off which counts as manageable, where a whole latency
/// objective is missed.
const CAPACITY_MARGIN: f64 = 0.7;
/// Bounds of work asked over work done at a late server.
const MIN_UTILIZATION: f64 = 0.5;
const MAX_UTILIZATION: f64 = 10.0;

/// Why a server holds too much.
#[derive(Clone, Copy, PartialEq)]
enum ExcessCause {
    /// It has been above the overload threshold for some periods.
    Overloaded,
    /// Its messages are late.
    Late,
    /// It is to have no connections when it stops.
    Draining,
}

/// What a server is to shed.
struct Excess {
    /// In microseconds of work a second; of a draining server the number of its connections.
    load: f64,
    cause: ExcessCause,
}

/// How many connections one period may move.
struct MoveLimit {
    share: f64,
    rounding: f64,
}

impl MoveLimit {
    fn of(&self, connections: usize) -> usize {
        (connections as f64 * self.share + self.rounding).floor() as usize
    }
}

/// A connection that may be migrated.
struct MigrationCandidate {
    id: RequestId,
    /// What the migration takes off its server.
    freed_load: f64,
}

impl Policy {
    /// Everything that is done once a period.
    pub(super) fn on_period(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(PERIOD, PERIOD_TIMER));
        self.log_limit = LogLimit::default();
        self.setups.on_period();
        let mean_connections = self.mean_connections(now);
        self.refill_slow_start_tokens(now, mean_connections);
        self.servers.iter_mut().for_each(|server| server.capacity.recover());
        self.probe_stalled_servers(now, actions);
        self.find_disproved_lists(now);
        self.update_zone_affinity(now);
        self.probe_removed_servers(now, actions);
        self.rebalance(now, mean_connections < FEW_CONNECTIONS, actions);
    }

    /// Lets each server that may hold too much shed its excess. `holds_few` says that this node holds next to
    /// no connections.
    fn rebalance(&mut self, now: Micros, holds_few: bool, actions: &mut Vec<Action>) {
        let mean_load = self.mean_load(now);
        for index in 0..self.servers.len() {
            let draining = self.servers[index].endpoint.state == EndpointState::Draining;
            if self.is_available(now, index) || (draining && self.settings.migrate_from_draining) {
                self.shed(now, index, mean_load, holds_few, actions);
            }
        }
    }

    /// Migrates connections away from a server that holds too much.
    fn shed(
        &mut self,
        now: Micros,
        index: ServerIndex,
        mean_load: f64,
        holds_few: bool,
        actions: &mut Vec<Action>,
    ) {
        let excess = self.measure_excess(now, index, mean_load);
        if excess.load <= 0.0 {
            return;
        }
        let limit = self.draw_move_limit(now, excess.cause);
        let candidates = self.migration_candidates(now, index, excess.cause);
        let Some(load) = self.draw_load_to_shed(index, &excess, &candidates, holds_few) else { return };
        let moves = limit.of(candidates.len());
        self.migrate_closest(index, load, moves, candidates, actions);
    }

    /// Measures what a server holds too much, and counts its periods above the overload threshold.
    fn measure_excess(&mut self, now: Micros, index: ServerIndex, mean_load: f64) -> Excess {
        let draining = self.servers[index].draining;
        let reactive = if draining {
            self.servers[index].load.connections.len() as f64
        } else {
            self.measure_late_excess(now, index, mean_load)
        };
        let fair_load = mean_load * self.effective_weight(index);
        let load = self.recorded_load(index);
        let server = &mut self.servers[index];
        let overloaded = load > OVERLOAD_THRESHOLD * fair_load;
        server.overloaded_periods = if overloaded { server.overloaded_periods + 1 } else { 0 };
        let proactive = if server.overloaded_periods >= OVERLOADED_PERIODS { load - fair_load } else { 0.0 };
        let cause = match (draining, reactive > 0.0) {
            (true, _) => ExcessCause::Draining,
            (false, true) => ExcessCause::Late,
            (false, false) => ExcessCause::Overloaded,
        };
        Excess { load: reactive.max(proactive), cause }
    }

    /// Measures what a late server has beyond what it manages, and what is to go for its backlog to clear in
    /// time. Bounds the server to what it manages, unless it is stalled: that tells nothing of its capacity.
    fn measure_late_excess(&mut self, now: Micros, index: ServerIndex, mean_load: f64) -> f64 {
        let Some(late) = self.servers[index].delay.filter(|_| self.is_late(now, index)) else { return 0.0 };
        let load = self.recorded_load(index);
        let manageable_load = self.manageable_load(&late, load);
        if !late.stalled {
            self.bound_to_capacity(index, manageable_load, mean_load);
        }
        let backlog = late.delay.as_secs_f64() / BACKLOG_CLEAR_TIME.as_secs_f64();
        (load - manageable_load * (1.0 - backlog)).clamp(0.0, load)
    }

    /// The part of its load that a late server manages. The growth of its delay tells how far it is over its
    /// capacity; where it is a little late that is little, so only where a whole objective is missed the
    /// whole margin is kept.
    fn manageable_load(&self, late: &MessageDelay, load: f64) -> f64 {
        let utilization = (1.0 + late.growth).clamp(MIN_UTILIZATION, MAX_UTILIZATION);
        let late_threshold_s = self.late_threshold.as_secs_f64();
        let urgency = (late.delay.as_secs_f64() * LATE_SHARE_OF_OBJECTIVE / late_threshold_s).min(1.0);
        (1.0 - (1.0 - CAPACITY_MARGIN) * urgency) * load / utilization
    }

    /// How many connections a server may shed in this period. Where the fleet as a whole is late, late
    /// servers move no more than others, rounded by chance: what moves comes back as set-ups, and these would
    /// keep the fleet late.
    fn draw_move_limit(&mut self, now: Micros, cause: ExcessCause) -> MoveLimit {
        let fleet_is_late = cause != ExcessCause::Draining
            && self.late_share(now, self.warm_servers(now)) >= FLEET_LATE_SHARE;
        // Drawn whatever the cause: the sequence of random numbers depends on the fleet alone.
        let rounding = if fleet_is_late { self.rng.random() } else { ROUND_UP };
        match cause {
            ExcessCause::Overloaded => MoveLimit { share: PROACTIVE_MOVE_SHARE, rounding: 0.0 },
            _ if fleet_is_late => MoveLimit { share: PROACTIVE_MOVE_SHARE, rounding },
            _ => MoveLimit { share: REACTIVE_MOVE_SHARE, rounding },
        }
    }

    /// Share of these servers that are late; NaN for none.
    fn late_share(&self, now: Micros, servers: impl Iterator<Item = ServerIndex>) -> f64 {
        let (late, all) = servers
            .fold((0_u32, 0_u32), |(late, all), index| (late + u32::from(self.is_late(now, index)), all + 1));
        f64::from(late) / f64::from(all)
    }

    /// The open connections of a server that may migrate, with what each takes off it. Of a draining server
    /// all may, whatever their load.
    fn migration_candidates(
        &self,
        now: Micros,
        index: ServerIndex,
        cause: ExcessCause,
    ) -> Vec<MigrationCandidate> {
        let group_restart_share = self.group_restart_share(now, cause);
        let freed_load = |connection: &Connection| match cause {
            ExcessCause::Draining => Some(1.0),
            _ => self.freed_load(index, connection, group_restart_share),
        };
        let held = self.servers[index].load.connections.iter();
        held.filter_map(|id| self.connections.get(id))
            .filter(|connection| connection.state.is_open())
            .filter_map(|connection| {
                let freed_load = freed_load(connection)?;
                Some(MigrationCandidate { id: connection.request.id, freed_load })
            })
            .collect()
    }

    /// What beginning a group anew elsewhere costs, in typical connections: one, and less where a late server
    /// sheds while few others are late.
    fn group_restart_share(&self, now: Micros, cause: ExcessCause) -> f64 {
        match cause {
            ExcessCause::Overloaded => 1.0,
            ExcessCause::Late | ExcessCause::Draining => {
                let late_share = self.late_share(now, self.available_servers(now));
                (2.0 * self.settings.group_load * late_share).min(1.0)
            }
        }
    }

    /// What migrating a connection takes off a server; none where its group stays and that is less than
    /// beginning the group anew elsewhere costs. The last connection of a group takes this node's share of
    /// the group's work along.
    fn freed_load(
        &self,
        index: ServerIndex,
        connection: &Connection,
        group_restart_share: f64,
    ) -> Option<f64> {
        let load = self.connection_load(connection);
        let groups = &self.servers[index].load.groups;
        let Some(members) = connection.request.group.and_then(|group| groups.get(&group)) else {
            return Some(load);
        };
        let freed = if *members == 1 { load + self.group_load_share() } else { load };
        (freed > self.typical_load() * group_restart_share).then_some(freed)
    }

    /// The load to shed: the excess, if it is as large as the lightest candidate.
    ///
    /// A late server may lose a connection for less than its load, with that part as its chance, where this
    /// node holds few connections or a whole objective is missed: each of many nodes may hold one there and
    /// none would begin, and what stays earns nothing.
    fn draw_load_to_shed(
        &mut self,
        index: ServerIndex,
        excess: &Excess,
        candidates: &[MigrationCandidate],
        holds_few: bool,
    ) -> Option<f64> {
        let lightest = candidates.iter().map(|candidate| candidate.freed_load).fold(f64::INFINITY, f64::min);
        let reactive = excess.cause != ExcessCause::Overloaded;
        let part = excess.load.min(REACTIVE_MOVE_SHARE * lightest);
        if (holds_few || self.misses_objective(index))
            && reactive
            && excess.load < lightest
            && part > lightest * self.rng.random::<f64>()
        {
            return Some(lightest);
        }
        let enough = if reactive { excess.load >= lightest } else { excess.load > lightest };
        enough.then_some(excess.load)
    }

    /// Whether messages at a server were last seen to take a whole latency objective.
    fn misses_objective(&self, index: ServerIndex) -> bool {
        let delay = self.servers[index].delay;
        delay.is_some_and(|last| last.delay.scale(LATE_SHARE_OF_OBJECTIVE) >= self.late_threshold)
    }

    /// Migrates so many connections at most, each the one that comes closest to the load still to shed, while
    /// that brings it closer.
    fn migrate_closest(
        &mut self,
        index: ServerIndex,
        load: f64,
        moves: usize,
        mut candidates: Vec<MigrationCandidate>,
        actions: &mut Vec<Action>,
    ) {
        let mut remaining = load;
        for _ in 0..moves {
            let closest = self.draw_closest(remaining, &candidates);
            if (candidates[closest].freed_load - remaining).abs() >= remaining.abs() {
                break;
            }
            let candidate = candidates.swap_remove(closest);
            remaining -= candidate.freed_load;
            if let Some(connection) = self.connections.get_mut(&candidate.id) {
                connection.state = ConnectionState::Migrating(index);
                actions.push(Action::Migrate(candidate.id));
            }
        }
    }

    /// The position of the candidate whose load is closest, at random among equals.
    fn draw_closest(&mut self, load: f64, candidates: &[MigrationCandidate]) -> usize {
        let gap = |candidate: &MigrationCandidate| (candidate.freed_load - load).abs();
        let lowest = candidates.iter().map(gap).fold(f64::INFINITY, f64::min);
        let ties: Vec<usize> = (0..candidates.len()).filter(|&i| gap(&candidates[i]) == lowest).collect();
        ties[self.rng.random_range(0..ties.len())]
    }
}
