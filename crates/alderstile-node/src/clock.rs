//! The node's clock: monotonic, with its zero at the Unix epoch, so that a server's start can be told on it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use alderstile::types::Micros;

/// Steps of the system's clock after the start do not reach it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_unix: Micros,
}

impl Default for Clock {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix: Micros(whole(since_epoch.as_micros())) }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// A moment on this clock.
    pub fn at(&self, moment: Instant) -> Micros {
        self.origin_unix + Micros(whole(moment.saturating_duration_since(self.origin).as_micros()))
    }

    /// A time of this clock as a moment.
    pub fn moment(&self, time: Micros) -> Instant {
        self.origin + std::time::Duration::from_micros((time - self.origin_unix).0)
    }
}

fn whole(micros: u128) -> u64 {
    u64::try_from(micros).unwrap_or(u64::MAX)
}
