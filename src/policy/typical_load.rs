//! Typical load: the expected load of a connection of a class, in microseconds of CPU work per
//! second.

use crate::types::{BalancerSettings, Request};

use super::Policy;
use super::load_estimate::is_valid_load;
use super::running_mean::RunningMean;

/// Typical loads of connections, by class and over all classes.
pub(super) struct TypicalLoads {
    by_class: Vec<ClassLoad>,
    /// Running mean of the first loads of connections of all classes.
    first_load: RunningMean,
}

/// Loads of the connections of one class.
#[derive(Clone, Copy, Default)]
pub(super) struct ClassLoad {
    /// Running mean of the first loads of its connections.
    first_load: RunningMean,
    /// Sum of the loads of the current connections that have reported one.
    reported_sum: f64,
    /// Number of those connections.
    reported_count: u32,
}

impl ClassLoad {
    /// Adds a connection with this reported load.
    pub(super) fn add_reported(&mut self, load: f64) {
        self.reported_sum += load;
        self.reported_count += 1;
    }

    /// Removes a connection with this reported load.
    pub(super) fn remove_reported(&mut self, load: f64) {
        self.reported_sum = (self.reported_sum - load).max(0.0);
        self.reported_count -= 1;
    }
}

impl TypicalLoads {
    pub(super) fn new(settings: &BalancerSettings) -> Self {
        let by_class = vec![ClassLoad::default(); settings.classes.len()];
        TypicalLoads { by_class, first_load: RunningMean::default() }
    }

    /// Adapts to settings that may have more classes.
    pub(super) fn resize(&mut self, settings: &BalancerSettings) {
        self.by_class.resize(settings.classes.len(), ClassLoad::default());
    }

    pub(super) fn class_mut(&mut self, class: u16) -> Option<&mut ClassLoad> {
        self.by_class.get_mut(usize::from(class))
    }

    /// Returns the running mean of a class's first loads; `None` before the first one.
    pub(super) fn mean_first_load(&self, class: usize) -> Option<f64> {
        self.by_class.get(class).and_then(|load| load.first_load.value())
    }

    pub(super) fn class_count(&self) -> usize {
        self.by_class.len()
    }
}

impl Policy {
    /// Returns the typical load of a connection of any class.
    pub(super) fn typical_load(&self) -> f64 {
        let sum_and_count =
            |(sum, count), class: &ClassLoad| (sum + class.reported_sum, count + class.reported_count);
        let (sum, count) = self.typical_loads.by_class.iter().fold((0.0, 0), sum_and_count);
        if count > 0 { sum / f64::from(count) } else { self.typical_loads.first_load.value().unwrap_or(1.0) }
    }

    /// Returns the typical load of a connection of one class.
    pub(super) fn typical_class_load(&self, class: u16) -> f64 {
        match self.typical_loads.by_class.get(usize::from(class)) {
            Some(load) if load.reported_count > 0 => load.reported_sum / f64::from(load.reported_count),
            Some(load) => load.first_load.value().unwrap_or_else(|| self.typical_load()),
            None => self.typical_load(),
        }
    }

    /// Records a connection's first load, reported or expected, in the typical loads.
    pub(super) fn update_typical_load(&mut self, request: &Request, load: Option<f64>) {
        let Some(load) = load.filter(is_valid_load) else { return };
        self.typical_loads.first_load.add(load);
        if let Some(class) = self.typical_loads.class_mut(request.class) {
            class.first_load.add(load);
        }
    }
}
