//! The node's clock: monotonic, counted from the Unix epoch, so that a host's start can be placed on it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use alderstile::types::Micros;

/// A clock that does not follow steps of the system's clock after its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// The origin, counted from the Unix epoch.
    origin_unix: Micros,
}

impl Default for Clock {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix: micros(since_epoch) }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Micros {
        self.time_at(Instant::now())
    }

    /// An instant as a time of this clock.
    pub fn time_at(&self, instant: Instant) -> Micros {
        self.origin_unix + micros(instant.saturating_duration_since(self.origin))
    }

    /// A time of this clock as an instant.
    pub fn instant_at(&self, time: Micros) -> Instant {
        self.origin + Duration::from_micros((time - self.origin_unix).0)
    }
}

/// A span in microseconds.
pub fn micros(span: Duration) -> Micros {
    Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}
