//! The node's clock: monotonic, and counted from the Unix epoch so that it is comparable with the start times
//! of hosts. Two processes of a machine compare times by [`MachineTime`].

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use alderstile::types::Micros;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A monotonic clock that reads the system time once, at its creation, and ignores later steps of it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// The time at `origin`, counted from the Unix epoch.
    origin_unix: Micros,
    /// The machine's time at `origin`.
    origin_machine: MachineTime,
}

impl Default for Clock {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix: micros(since_epoch), origin_machine: MachineTime::now() }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.time_at(Instant::now())
    }

    /// Converts an instant to a time of this clock.
    pub fn time_at(&self, instant: Instant) -> Micros {
        self.origin_unix + micros(instant.saturating_duration_since(self.origin))
    }

    /// Converts a time of this clock to an instant.
    pub fn instant_at(&self, time: Micros) -> Instant {
        self.origin + Duration::from_micros((time - self.origin_unix).0)
    }

    /// Converts a time of this clock to the machine's.
    pub fn machine_time(&self, time: Micros) -> MachineTime {
        MachineTime((Micros(self.origin_machine.0) + (time - self.origin_unix)).0)
    }

    /// Converts the machine's time to one of this clock; one before its creation counts as its creation.
    pub fn from_machine_time(&self, time: MachineTime) -> Micros {
        self.origin_unix + (Micros(time.0) - Micros(self.origin_machine.0))
    }
}

/// A time of the machine's monotonic clock, in microseconds. All processes of a machine read the same clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MachineTime(pub u64);

impl MachineTime {
    /// Returns the current time.
    pub fn now() -> Self {
        let since_boot = Duration::try_from(clock_gettime(ClockId::Monotonic)).unwrap_or_default();
        MachineTime(micros(since_boot).0)
    }
}

/// Converts a duration to microseconds; one that exceeds `u64` saturates.
pub fn micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
