//! Exponentially weighted mean.

/// Weight of the newest value.
const NEWEST_WEIGHT: f64 = 0.1;

/// A running mean that starts at its first value; none before that.
#[derive(Clone, Copy, Default)]
pub(super) struct Mean(pub(super) Option<f64>);

impl Mean {
    pub(super) fn add(&mut self, value: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + NEWEST_WEIGHT * (value - mean)));
    }
}
