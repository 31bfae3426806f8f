//! Periodic work, done once per second in a fixed order.

use crate::types::{Action, Micros, TimerToken};

use super::Policy;
use super::log_limit::LogLimit;

/// Interval at which loads are summed and compared.
pub(super) const PERIOD: Micros = Micros::from_millis(1_000);
/// Timer of the next period.
pub(super) const PERIOD_TIMER: TimerToken = TimerToken(0);
/// Mean number of this node's connections per server below which its load record says little about
/// a server.
const MIN_MEAN_CONNECTIONS: f64 = 1.0;

impl Policy {
    /// Performs all periodic work.
    pub(super) fn on_period(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(PERIOD, PERIOD_TIMER));
        self.log_limit = LogLimit::default();
        self.setups.on_period();
        let mean_connections = self.mean_connections(now);
        self.refill_slow_start_tokens(now, mean_connections);
        self.servers.iter_mut().for_each(|server| server.capacity.recover());
        self.probe_stalled_servers(now, actions);
        self.update_disproved_lists(now);
        self.update_zone_affinity(now);
        self.probe_removed_servers(now, actions);
        self.rebalance(now, mean_connections < MIN_MEAN_CONNECTIONS, actions);
    }
}
