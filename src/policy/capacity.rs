//! Capacity: the load that a late server was seen to manage.

use super::Policy;

/// What counts of what a server was seen to manage: a late one is brought to that, a cold one is sent by it.
pub(super) const CAPACITY_MARGIN: f64 = 0.7;

/// The lowest believed speed: a server is never written off for good.
const MIN_SPEED: f64 = 0.1;

/// What a period without late messages gives back.
pub(super) const SLOWNESS_RECOVERY: f64 = 0.04;

/// What a period gives back of the load at which a server was full.
pub(super) const LOAD_LIMIT_GROWTH: f64 = 1.05;

/// What a server was seen to manage; it bounds nothing until the server was late.
#[derive(Default)]
pub(super) struct ObservedCapacity {
    /// Believed lack of speed beside the others, from 0 to 0.9.
    pub(super) slowness: f64,
    /// The recorded load above which nothing lands there.
    pub(super) load_limit: Option<f64>,
}

impl Policy {
    /// It manages that much of this node's load, and has to be believed so for a while.
    pub(super) fn bound_to_capacity(&mut self, index: usize, manages: f64, mean: f64) {
        // An empty one may take one connection, or it would never be let out again.
        let (usual, size) = (self.typical_load(), self.zone_weight(index));
        let server = &mut self.servers[index];
        server.capacity.load_limit =
            Some(server.capacity.load_limit.map_or(manages, |limit| limit.min(manages)).max(usual));
        if mean > 0.0 {
            let slowness = (1.0 - manages / (mean * size)).min(1.0 - MIN_SPEED);
            server.capacity.slowness = server.capacity.slowness.max(slowness);
        }
    }
}
