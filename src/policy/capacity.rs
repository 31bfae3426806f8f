//! Observed capacity: the load that a server with a high message delay can handle, and the gradual
//! recovery of that limit.

use super::Policy;
use super::server::ServerIndex;

/// Minimum assumed speed of a server, so that no server is excluded permanently.
const MIN_SPEED: f64 = 0.1;
/// Decrease of the slowness per period.
const SLOWNESS_RECOVERY: f64 = 0.04;
/// Growth factor of a load limit per period.
const LOAD_LIMIT_GROWTH: f64 = 1.05;

/// Observed capacity of a server. There is no limit until the server has had a high message delay.
#[derive(Default)]
pub(super) struct ObservedCapacity {
    /// Assumed reduction in speed relative to the other servers, from 0 to 0.9.
    pub(super) slowness: f64,
    /// Recorded load at which the server receives no new connections any more.
    pub(super) load_limit: Option<f64>,
}

impl ObservedCapacity {
    /// Applies the recovery of one period.
    pub(super) fn recover(&mut self) {
        self.slowness = (self.slowness - SLOWNESS_RECOVERY).max(0.0);
        self.load_limit = self.load_limit.map(|limit| limit * LOAD_LIMIT_GROWTH);
    }
}

impl Policy {
    /// Limits a server to the load of this node that it can handle. Sets its slowness to the share
    /// by which that load is below the server's share of the mean load. Without the limit, the
    /// server would immediately be filled to the same load again.
    pub(super) fn limit_to_capacity(&mut self, index: ServerIndex, manageable_load: f64, mean_load: f64) {
        // One connection always fits; otherwise no recovery of the server could ever be observed.
        let lowest_limit = self.typical_load();
        let fair_load = mean_load * self.zone_weight(index);
        let capacity = &mut self.servers[index].capacity;
        let limit = capacity.load_limit.map_or(manageable_load, |limit| limit.min(manageable_load));
        capacity.load_limit = Some(limit.max(lowest_limit));
        if mean_load > 0.0 {
            let slowness = (1.0 - manageable_load / fair_load).min(1.0 - MIN_SPEED);
            capacity.slowness = capacity.slowness.max(slowness);
        }
    }
}
