//! Rebalancing: once per period, each server with an excess load sheds it.
//!
//! A server has an excess if it has exceeded the overload threshold for several periods, if its
//! message delay is high, or if it is draining and the settings require its clients to be migrated.
//! [`migration`](super::migration) selects the connections to shed.

use crate::types::{Action, EndpointState, Micros};

use super::Policy;
use super::message_delay::{HIGH_DELAY_SHARE_OF_OBJECTIVE, MessageDelay};
use super::server::ServerIndex;

/// Multiple of the mean load above which a server is overloaded.
pub(super) const OVERLOAD_THRESHOLD: f64 = 1.1;
/// Number of consecutive periods above the threshold before a server sheds load. A random
/// fluctuation of the load ends within that time.
const PERIODS_BEFORE_SHEDDING: u32 = 3;
/// Time within which the backlog of a server with a high delay is to be cleared.
const BACKLOG_CLEAR_TIME: Micros = Micros::from_millis(1_000);
/// Assumed capacity of a server with a high delay, as a share of the load that it processes, once its
/// delay reaches the full latency objective.
const CAPACITY_MARGIN: f64 = 0.7;
/// Bounds of the ratio of offered to processed work at a server with a high delay.
const MIN_UTILIZATION: f64 = 0.5;
const MAX_UTILIZATION: f64 = 10.0;

/// Why a server has an excess load.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ExcessCause {
    /// The server has exceeded the overload threshold for several periods.
    Overloaded,
    /// The server's message delay is high.
    HighDelay,
    /// The server is draining and must have no connections when it stops.
    Draining,
}

/// Load that a server has to shed.
pub(super) struct Excess {
    /// Load in microseconds of CPU work per second; for a draining server, the number of its
    /// connections.
    pub(super) load: f64,
    pub(super) cause: ExcessCause,
}

impl Policy {
    /// Sheds the excess load of each server. `has_few_connections` means that this node has too few
    /// connections for its load record to be meaningful.
    pub(super) fn rebalance(&mut self, now: Micros, has_few_connections: bool, actions: &mut Vec<Action>) {
        let mean_load = self.mean_load(now);
        for index in 0..self.servers.len() {
            let draining = self.servers[index].endpoint.state == EndpointState::Draining;
            if self.is_available(now, index) || (draining && self.settings.migrate_from_draining) {
                self.shed(now, index, mean_load, has_few_connections, actions);
            }
        }
    }

    /// Migrates connections away from a server with an excess load.
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

    /// Limits a server with a high delay to the load that it can handle. A stalled server is not
    /// limited, because a stall says nothing about its capacity.
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

    /// Returns the excess load of a server. This is the larger of the load above its share of the
    /// mean, if it has been overloaded long enough, and the load to remove because of its high
    /// delay or its draining.
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

    /// Returns the load of a server with a high delay above the load that it can handle, plus the
    /// load to remove so that its backlog clears in time.
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

    /// Returns the part of its load that a server with a high delay can handle. The growth of the
    /// delay shows by how much the server exceeds its capacity. A delay just above the threshold
    /// indicates a small excess, so the full safety margin applies only if the full latency
    /// objective is missed.
    fn manageable_load(&self, observed: &MessageDelay, load: f64) -> f64 {
        let utilization = (1.0 + observed.growth).clamp(MIN_UTILIZATION, MAX_UTILIZATION);
        let threshold_s = self.high_delay_threshold.as_secs_f64();
        let urgency = (observed.delay.as_secs_f64() * HIGH_DELAY_SHARE_OF_OBJECTIVE / threshold_s).min(1.0);
        (1.0 - (1.0 - CAPACITY_MARGIN) * urgency) * load / utilization
    }
}
