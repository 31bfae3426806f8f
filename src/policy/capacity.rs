//! Observed capacity: the load that a late server was seen to manage, and its gradual recovery.

use super::Policy;
use super::server::ServerIndex;

/// The lowest believed speed: a server is never written off for good.
const MIN_SPEED: f64 = 0.1;
/// What slowness falls by in a period.
const SLOWNESS_RECOVERY: f64 = 0.04;
/// What a load limit grows by in a period.
const LOAD_LIMIT_GROWTH: f64 = 1.05;

/// What a server was seen to manage; it bounds nothing until the server was late.
#[derive(Default)]
pub(super) struct ObservedCapacity {
    /// Believed lack of speed beside the others, from 0 to 0.9.
    pub(super) slowness: f64,
    /// The recorded load above which nothing lands there.
    pub(super) load_limit: Option<f64>,
}

impl ObservedCapacity {
    /// Gives back what one period gives back.
    pub(super) fn recover(&mut self) {
        self.slowness = (self.slowness - SLOWNESS_RECOVERY).max(0.0);
        self.load_limit = self.load_limit.map(|limit| limit * LOAD_LIMIT_GROWTH);
    }
}

impl Policy {
    /// Bounds a server by the load of this node that it manages, and believes it to be as much slower than
    /// the others as that is below the mean: it would else be filled again at once.
    pub(super) fn limit_to_capacity(&mut self, index: ServerIndex, manageable_load: f64, mean_load: f64) {
        // One connection fits always, or the server would never be seen to be fast again.
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
