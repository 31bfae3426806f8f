//! Effective weight: the assumed capacity of a server relative to the other servers. Loads are
//! compared per unit of effective weight.

use crate::types::{Micros, WeightMeaning};

use super::Policy;
use super::load_estimate::is_valid_load;
use super::server::ServerIndex;

/// Factor applied to the weight of servers in this node's zone if cross-zone attempts have a cost.
const ZONE_AFFINITY: f64 = 3.0;

impl Policy {
    /// Returns the listed weight of a server if weights are nominal capacities, and 1 otherwise.
    pub(super) fn weight(&self, index: ServerIndex) -> f64 {
        let weight = self.servers[index].endpoint.weight;
        let nominal = self.settings.weight_meaning == WeightMeaning::NominalCapacity;
        if nominal && weight > 0.0 && is_valid_load(&weight) { weight } else { 1.0 }
    }

    /// Returns the weight of a server, multiplied by the zone affinity if the server is in this
    /// node's zone.
    pub(super) fn zone_weight(&self, index: ServerIndex) -> f64 {
        let in_own_zone = self.servers[index].endpoint.zone == self.settings.zone;
        self.weight(index) * if in_own_zone { self.zone_affinity } else { 1.0 }
    }

    /// Returns the zone weight of a server, reduced by its observed slowness.
    pub(super) fn effective_weight(&self, index: ServerIndex) -> f64 {
        self.zone_weight(index) * (1.0 - self.servers[index].capacity.slowness)
    }

    /// Updates the zone affinity. Runs once per period and after each endpoint list.
    ///
    /// The affinity is disabled while a server warms up, because migrated connections must be able
    /// to use all servers with free capacity. It is also disabled if groups share work, because a
    /// copy of a group in each zone costs more than cross-zone attempts.
    pub(super) fn update_zone_affinity(&mut self, now: Micros) {
        let warming_up = self.available_servers(now).any(|index| !self.is_warm(now, index));
        let has_cross_zone_cost = self.settings.costs.cross_zone > 0.0;
        let active = has_cross_zone_cost && !warming_up && !self.settings.groups;
        self.zone_affinity = if active { ZONE_AFFINITY } else { 1.0 };
    }
}
