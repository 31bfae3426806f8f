//! Rebalancing: once a period each server that holds too much sheds its excess.
//!
//! A server holds too much when it has been above the overload threshold for some periods, when its messages
//! are late, or when it drains and the settings ask for its clients to be migrated. The connections that it
//! sheds are chosen in [`migration`](super::migration).

use crate::types::{Action, EndpointState, Micros};

use super::Policy;
use super::message_delay::{HIGH_DELAY_SHARE_OF_OBJECTIVE, MessageDelay};
use super::server::ServerIndex;

/// A server is overloaded above this multiple of the mean load.
pub(super) const OVERLOAD_THRESHOLD: f64 = 1.1;
/// Periods above the threshold before a server sheds: a load that swings by itself is back under it by then.
const PERIODS_BEFORE_SHEDDING: u32 = 3;
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
pub(super) enum ExcessCause {
    /// It has been above the overload threshold for some periods.
    Overloaded,
    /// Its messages are late.
    HighDelay,
    /// It is to have no connections when it stops.
    Draining,
}

/// What a server is to shed.
pub(super) struct Excess {
    /// In microseconds of work a second; of a draining server the number of its connections.
    pub(super) load: f64,
    pub(super) cause: ExcessCause,
}

impl Policy {
    /// Lets each server that may hold too much shed its excess. `has_few_connections` says that this node holds next to
    /// no connections.
    pub(super) fn rebalance(&mut self, now: Micros, has_few_connections: bool, actions: &mut Vec<Action>) {
        let mean_load = self.mean_load(now);
        for index in 0..self.servers.len() {
            let draining = self.servers[index].endpoint.state == EndpointState::Draining;
            if self.is_available(now, index) || (draining && self.settings.migrate_from_draining) {
                self.shed(now, index, mean_load, has_few_connections, actions);
            }
        }
    }

    /// Migrates connections away from a server that holds too much.
    fn shed(
        &mut self,
        now: Micros,
        index: ServerIndex,
        mean_load: f64,
        has_few_connections: bool,
        actions: &mut Vec<Action>,
    ) {
        self.limit_high_delay_server(now, index, mean_load);
        self.count_overloaded_period(index, mean_load);
        let excess = self.excess(now, index, mean_load);
        if excess.load <= 0.0 {
            return;
        }
        let limit = self.migration_limit(now, excess.cause);
        let candidates = self.migration_candidates(now, index, excess.cause);
        let Some(load) = self.load_to_shed(index, &excess, &candidates, has_few_connections) else { return };
        let migrations = limit.of(candidates.len());
        self.migrate_closest(index, load, migrations, candidates, actions);
    }

    /// Bounds a late server to what it manages, unless it is stalled: a stall says nothing about its
    /// capacity.
    fn limit_high_delay_server(&mut self, now: Micros, index: ServerIndex, mean_load: f64) {
        let Some(observed) = self.high_delay(now, index).filter(|observed| !observed.stalled) else { return };
        if !self.servers[index].draining {
            let manageable_load = self.manageable_load(&observed, self.recorded_load(index));
            self.limit_to_capacity(index, manageable_load, mean_load);
        }
    }

    fn count_overloaded_period(&mut self, index: ServerIndex, mean_load: f64) {
        let threshold = OVERLOAD_THRESHOLD * (mean_load * self.effective_weight(index));
        let overloaded = self.recorded_load(index) > threshold;
        let server = &mut self.servers[index];
        server.overloaded_periods = if overloaded { server.overloaded_periods + 1 } else { 0 };
    }

    /// What a server holds too much: the larger of what it has above its part of the mean, when it has been
    /// overloaded for long enough, and of what a late or draining server is to be rid of.
    fn excess(&self, now: Micros, index: ServerIndex, mean_load: f64) -> Excess {
        let server = &self.servers[index];
        let (reactive, cause) = if server.draining {
            (server.load.connections.len() as f64, ExcessCause::Draining)
        } else {
            (self.high_delay_excess(now, index), ExcessCause::HighDelay)
        };
        let proactive = if server.overloaded_periods >= PERIODS_BEFORE_SHEDDING {
            self.recorded_load(index) - mean_load * self.effective_weight(index)
        } else {
            0.0
        };
        let cause = if reactive > 0.0 { cause } else { ExcessCause::Overloaded };
        Excess { load: reactive.max(proactive), cause }
    }

    /// What a late server has beyond what it manages, and what is to go for its backlog to clear in time.
    fn high_delay_excess(&self, now: Micros, index: ServerIndex) -> f64 {
        let Some(observed) = self.high_delay(now, index) else { return 0.0 };
        let load = self.recorded_load(index);
        let manageable_load = self.manageable_load(&observed, load);
        let backlog = observed.delay.as_secs_f64() / BACKLOG_CLEAR_TIME.as_secs_f64();
        (load - manageable_load * (1.0 - backlog)).clamp(0.0, load)
    }

    fn high_delay(&self, now: Micros, index: ServerIndex) -> Option<MessageDelay> {
        self.servers[index].delay.filter(|_| self.has_high_delay(now, index))
    }

    /// The part of its load that a late server manages. The growth of its delay shows how far it is over its
    /// capacity; where it is a little late that is little, so only where a whole objective is missed the
    /// whole margin is kept.
    fn manageable_load(&self, observed: &MessageDelay, load: f64) -> f64 {
        let utilization = (1.0 + observed.growth).clamp(MIN_UTILIZATION, MAX_UTILIZATION);
        let threshold_s = self.high_delay_threshold.as_secs_f64();
        let urgency = (observed.delay.as_secs_f64() * HIGH_DELAY_SHARE_OF_OBJECTIVE / threshold_s).min(1.0);
        (1.0 - (1.0 - CAPACITY_MARGIN) * urgency) * load / utilization
    }
}
