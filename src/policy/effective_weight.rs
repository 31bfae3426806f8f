//! Effective weight: what a server is taken to be able to do beside others.

use crate::types::{Micros, WeightMeaning};

use super::Policy;
use super::load_estimate::is_load;

/// Where crossing zones is charged for, a server in the own zone draws so much more than one in another.
const ZONE_AFFINITY: f64 = 3.0;

impl Policy {
    /// The listed size of a server.
    pub(super) fn weight(&self, index: usize) -> f64 {
        let weight = self.servers[index].endpoint.weight;
        let told = self.settings.weight_meaning == WeightMeaning::NominalCapacity
            && weight > 0.0
            && is_load(&weight);
        if told { weight } else { 1.0 }
    }

    /// What a server is believed to be able to do, beside others: its listed size and its believed speed.
    pub(super) fn effective_weight(&self, index: usize) -> f64 {
        self.zone_weight(index) * (1.0 - self.servers[index].capacity.slowness)
    }

    /// What a server draws beside others that are as fast: by its listed size, and more in the own zone.
    /// Guards against a way between zones that is slow, cut or charged for.
    pub(super) fn zone_weight(&self, index: usize) -> f64 {
        self.weight(index)
            * if self.servers[index].endpoint.zone == self.settings.zone { self.zone_affinity } else { 1.0 }
    }

    /// Only while nothing warms up: what moved is to reach all that can take it. Not where groups share work:
    /// their draw falls alike at all nodes, and a copy of a group for each zone costs more than crossings.
    pub(super) fn update_zone_affinity(&mut self, now: Micros) {
        let cold = (0..self.servers.len())
            .any(|index| self.is_available(now, index) && self.warm_up_fraction(now, index) < 1.0);
        self.zone_affinity = if self.settings.prices.cross_zone > 0.0 && !cold && !self.settings.groups {
            ZONE_AFFINITY
        } else {
            1.0
        };
    }
}
