//! Exponentially weighted moving average.

/// Weight of the newest value.
const NEWEST_WEIGHT: f64 = 0.1;

/// A moving average that starts at the first value.
#[derive(Clone, Copy, Default)]
pub(super) struct RunningMean {
    mean: Option<f64>,
}

impl RunningMean {
    pub(super) fn add(&mut self, value: f64) {
        self.mean = Some(self.mean.map_or(value, |mean| mean + NEWEST_WEIGHT * (value - mean)));
    }

    /// Returns the mean; `None` before the first value.
    pub(super) fn value(&self) -> Option<f64> {
        self.mean
    }
}
