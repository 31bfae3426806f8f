//! Migration: which connections a server sheds, and how many per period.
//!
//! Applies to servers with an excess load, as determined in [`rebalance`](super::rebalance).

use rand::RngExt;

use crate::types::{Action, Micros, RequestId};

use super::Policy;
use super::connection::{Connection, ConnectionState};
use super::message_delay::HIGH_DELAY_SHARE_OF_OBJECTIVE;
use super::rebalance::{Excess, ExcessCause};
use super::server::ServerIndex;

/// Share of an overloaded server's connections that may migrate per period, rounded down, because
/// few connections say little about a server's load.
const PROACTIVE_MIGRATION_SHARE: f64 = 0.1;
/// The same share for a server that has a high delay or is draining, where connections suffer more
/// by staying.
const REACTIVE_MIGRATION_SHARE: f64 = 0.5;
/// Added before the number of migrations is rounded down, so that it is rounded up instead.
const ROUND_UP_OFFSET: f64 = 0.99;
/// Minimum share of the warm servers with a high delay at which the whole fleet is considered
/// overloaded, so that migrated connections would find no capacity.
const FLEET_HIGH_DELAY_SHARE: f64 = 0.9;

/// Limit on the number of connections that may migrate in one period.
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
    /// Load that the migration removes from the server.
    freed_load: f64,
}

impl Policy {
    /// Returns the limit on a server's migrations in this period. If the whole fleet has a high
    /// delay, servers with a high delay migrate only as many connections as overloaded ones,
    /// rounded at random. Migrated connections return as setups, and too many setups would keep the
    /// delays high.
    pub(super) fn migration_limit(&mut self, now: Micros, cause: ExcessCause) -> MigrationLimit {
        let fleet_has_high_delay = cause != ExcessCause::Draining
            && self.high_delay_share(now, self.warm_servers(now)) >= FLEET_HIGH_DELAY_SHARE;
        // Also drawn for overloaded servers, where it is not used, so that the sequence of random
        // numbers does not depend on which of the two causes applies.
        let rounding = if fleet_has_high_delay { self.rng.random() } else { ROUND_UP_OFFSET };
        match cause {
            ExcessCause::Overloaded => MigrationLimit { share: PROACTIVE_MIGRATION_SHARE, rounding: 0.0 },
            _ if fleet_has_high_delay => MigrationLimit { share: PROACTIVE_MIGRATION_SHARE, rounding },
            _ => MigrationLimit { share: REACTIVE_MIGRATION_SHARE, rounding },
        }
    }

    /// Returns the share of the given servers that have a high delay; NaN if there are none.
    fn high_delay_share(&self, now: Micros, servers: impl Iterator<Item = ServerIndex>) -> f64 {
        let (high, all) = servers
            .fold((0_u32, 0_u32), |(high, all), i| (high + u32::from(self.has_high_delay(now, i)), all + 1));
        f64::from(high) / f64::from(all)
    }

    /// Returns the open connections of a server that may migrate, with the load that each would
    /// free. All connections of a draining server may migrate, whatever their load.
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
        let connections = self.servers[index].load.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id))
            .filter(|connection| connection.state.is_open())
            .filter_map(|connection| {
                let freed_load = freed_load(connection)?;
                Some(MigrationCandidate { id: connection.request.id, freed_load })
            })
            .collect()
    }

    /// Returns the cost of starting a group again on another server, in multiples of a typical
    /// connection's load. It is 1, or less if a server with a high delay sheds load while few other
    /// servers have a high delay.
    fn group_restart_share(&self, now: Micros, cause: ExcessCause) -> f64 {
        match cause {
            ExcessCause::Overloaded => 1.0,
            ExcessCause::HighDelay | ExcessCause::Draining => {
                let high_delay_share = self.high_delay_share(now, self.available_servers(now));
                (2.0 * self.settings.group_load * high_delay_share).min(1.0)
            }
        }
    }

    /// Returns the load that migrating a connection frees on its server, or `None` if its group
    /// remains there and that load is below the cost of starting the group again elsewhere. The
    /// last connection of a group also frees this node's share of the group's work.
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

    /// Returns the load to shed, which is the excess if that is at least the load of the lightest
    /// candidate, and `None` if there is nothing to shed.
    ///
    /// A server with a high delay may also lose a connection for a smaller excess, with a
    /// probability proportional to the excess and at most [`REACTIVE_MIGRATION_SHARE`]. This
    /// applies if this node has few connections or the server misses the full latency objective.
    /// Without this rule, each of many nodes could keep its one connection there and none would
    /// start shedding, although a connection that stays is of no use to its client.
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

    /// Returns whether the last known message delay of a server is at least the full latency
    /// objective.
    fn misses_objective(&self, index: ServerIndex) -> bool {
        let delay = self.servers[index].delay;
        delay.is_some_and(|last| last.delay.scale(HIGH_DELAY_SHARE_OF_OBJECTIVE) >= self.high_delay_threshold)
    }

    /// Migrates at most `migrations` connections. Each is the one whose load is closest to the load
    /// still to shed, and migration stops when no connection brings the remaining load closer to zero.
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

    /// Returns the position of a candidate whose load is closest to `load`, at random among equals.
    fn closest_candidate(&mut self, load: f64, candidates: &[MigrationCandidate]) -> usize {
        let gap = |candidate: &MigrationCandidate| (candidate.freed_load - load).abs();
        let lowest = candidates.iter().map(gap).fold(f64::INFINITY, f64::min);
        let ties: Vec<usize> = (0..candidates.len()).filter(|&i| gap(&candidates[i]) == lowest).collect();
        ties[self.rng.random_range(0..ties.len())]
    }
}
