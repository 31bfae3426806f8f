//! Effective weight: what a server is believed to be able to do beside others. Loads are compared for each
//! unit of it.

use crate::types::{Micros, WeightMeaning};

use super::Policy;
use super::load_estimate::is_valid_load;
use super::server::ServerIndex;

/// Factor on the weight of servers in this node's zone, where crossing zones is charged for.
const ZONE_AFFINITY: f64 = 3.0;

impl Policy {
    /// The listed weight of a server where the settings say that weights are nominal capacities, else 1.
    pub(super) fn weight(&self, index: ServerIndex) -> f64 {
        let weight = self.servers[index].endpoint.weight;
        let nominal = self.settings.weight_meaning == WeightMeaning::NominalCapacity;
        if nominal && weight > 0.0 && is_valid_load(&weight) { weight } else { 1.0 }
    }

    /// The weight of a server, raised by zone affinity.
    pub(super) fn zone_weight(&self, index: ServerIndex) -> f64 {
        let in_own_zone = self.servers[index].endpoint.zone == self.settings.zone;
        self.weight(index) * if in_own_zone { self.zone_affinity } else { 1.0 }
    }

    /// The zone weight of a server, lowered by the slowness seen there.
    pub(super) fn effective_weight(&self, index: ServerIndex) -> f64 {
        self.zone_weight(index) * (1.0 - self.servers[index].capacity.slowness)
    }

    /// Sets the zone affinity. Acts once a period and on each endpoint list.
    ///
    /// It is off while a server warms up, as what migrates must reach all that can take it; and where groups
    /// share work, as a copy of a group in each zone costs more than crossing zones.
    pub(super) fn update_zone_affinity(&mut self, now: Micros) {
        let warming_up = self.available_servers(now).any(|index| !self.is_warm(now, index));
        let charged = self.settings.costs.cross_zone > 0.0;
        let active = charged && !warming_up && !self.settings.groups;
        self.zone_affinity = if active { ZONE_AFFINITY } else { 1.0 };
    }
}
