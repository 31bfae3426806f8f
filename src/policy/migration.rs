//! Migration: which connections a server sheds, and how many in a period.
//!
//! Acts where [`rebalance`](super::rebalance) has found that a server holds too much.

use rand::RngExt;

use crate::types::{Action, Micros, RequestId};

use super::Policy;
use super::connection::{Connection, ConnectionState};
use super::message_delay::HIGH_DELAY_SHARE_OF_OBJECTIVE;
use super::rebalance::{Excess, ExcessCause};
use super::server::ServerIndex;

/// Share of an overloaded server's connections that one period may migrate, rounded down: few connections say
/// too little about a server.
const PROACTIVE_MIGRATION_SHARE: f64 = 0.1;
/// The same for a late or draining server: its connections lose more by staying.
const REACTIVE_MIGRATION_SHARE: f64 = 0.5;
/// Added before the number of migrations is rounded down, which rounds it up.
const ROUND_UP_OFFSET: f64 = 0.99;
/// From this share of late servers among the warm ones on the fleet as a whole is late: what migrates finds
/// no capacity.
const FLEET_HIGH_DELAY_SHARE: f64 = 0.9;

/// How many connections one period may migrate.
pub(super) struct MigrationLimit {
    share: f64,
    rounding: f64,
}

impl MigrationLimit {
    pub(super) fn of(&self, connections: usize) -> usize {
        (connections as f64 * self.share + self.rounding).floor() as usize
    }
}

/// A connection that may be migrated.
pub(super) struct MigrationCandidate {
    id: RequestId,
    /// What the migration takes off its server.
    freed_load: f64,
}

impl Policy {
    /// How many connections a server may shed in this period. Where the fleet as a whole is late, late
    /// servers migrate no more than others, rounded by chance: what migrates comes back as set-ups, and these
    /// would keep the fleet late.
    pub(super) fn migration_limit(&mut self, now: Micros, cause: ExcessCause) -> MigrationLimit {
        let fleet_has_high_delay = cause != ExcessCause::Draining
            && self.high_delay_share(now, self.warm_servers(now)) >= FLEET_HIGH_DELAY_SHARE;
        // Drawn whatever the cause: the sequence of random numbers depends on the fleet alone.
        let rounding = if fleet_has_high_delay { self.rng.random() } else { ROUND_UP_OFFSET };
        match cause {
            ExcessCause::Overloaded => MigrationLimit { share: PROACTIVE_MIGRATION_SHARE, rounding: 0.0 },
            _ if fleet_has_high_delay => MigrationLimit { share: PROACTIVE_MIGRATION_SHARE, rounding },
            _ => MigrationLimit { share: REACTIVE_MIGRATION_SHARE, rounding },
        }
    }

    /// Share of these servers that are late; NaN for none.
    fn high_delay_share(&self, now: Micros, servers: impl Iterator<Item = ServerIndex>) -> f64 {
        let (high, all) = servers
            .fold((0_u32, 0_u32), |(high, all), i| (high + u32::from(self.has_high_delay(now, i)), all + 1));
        f64::from(high) / f64::from(all)
    }

    /// The open connections of a server that may migrate, with what each takes off it. Of a draining server
    /// all may, whatever their load.
    pub(super) fn migration_candidates(
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
            ExcessCause::HighDelay | ExcessCause::Draining => {
                let high_delay_share = self.high_delay_share(now, self.available_servers(now));
                (2.0 * self.settings.group_load * high_delay_share).min(1.0)
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
    pub(super) fn load_to_shed(
        &mut self,
        index: ServerIndex,
        excess: &Excess,
        candidates: &[MigrationCandidate],
        has_few_connections: bool,
    ) -> Option<f64> {
        let lightest = candidates.iter().map(|candidate| candidate.freed_load).fold(f64::INFINITY, f64::min);
        let reactive = excess.cause != ExcessCause::Overloaded;
        let part = excess.load.min(REACTIVE_MIGRATION_SHARE * lightest);
        if (has_few_connections || self.misses_objective(index))
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
        delay.is_some_and(|last| last.delay.scale(HIGH_DELAY_SHARE_OF_OBJECTIVE) >= self.high_delay_threshold)
    }

    /// Migrates so many connections at most, each the one that comes closest to the load still to shed, while
    /// that brings it closer.
    pub(super) fn migrate_closest(
        &mut self,
        index: ServerIndex,
        load: f64,
        migrations: usize,
        mut candidates: Vec<MigrationCandidate>,
        actions: &mut Vec<Action>,
    ) {
        let mut remaining = load;
        for _ in 0..migrations {
            let closest = self.closest_candidate(remaining, &candidates);
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
    fn closest_candidate(&mut self, load: f64, candidates: &[MigrationCandidate]) -> usize {
        let gap = |candidate: &MigrationCandidate| (candidate.freed_load - load).abs();
        let lowest = candidates.iter().map(gap).fold(f64::INFINITY, f64::min);
        let ties: Vec<usize> = (0..candidates.len()).filter(|&i| gap(&candidates[i]) == lowest).collect();
        ties[self.rng.random_range(0..ties.len())]
    }
}
