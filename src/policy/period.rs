//! The period: what is done once a second, and in which order.

use crate::types::{Action, Micros, TimerToken};

use super::Policy;
use super::log_limit::LogLimit;

/// Loads are summed and compared this often.
pub(super) const PERIOD: Micros = Micros::from_millis(1_000);
/// Wakes the next period.
pub(super) const PERIOD_TIMER: TimerToken = TimerToken(0);
/// Below this many connections on a server, in the mean, this node's record says next to nothing about a
/// server.
const MIN_MEAN_CONNECTIONS: f64 = 1.0;

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
        self.update_disproved_lists(now);
        self.update_zone_affinity(now);
        self.probe_removed_servers(now, actions);
        self.rebalance(now, mean_connections < MIN_MEAN_CONNECTIONS, actions);
    }
}
