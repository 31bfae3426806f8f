//! Classification of load reports, in which loads and message delays have the same form.
//!
//! A connection's load, in microseconds of CPU work per second, is reported when it changes. The
//! message delay of a server, in milliseconds, is reported about once per second on one of its
//! connections while the delay is high. If the delays of such a server were taken for loads, its
//! recorded load would be close to zero and it would receive all new connections.
//!
//! A value is ambiguous if it is far below the last load of its connection or far below the typical
//! load of connections. A single such value may come from a client that became idle. The value is a
//! delay if another ambiguous value follows at the interval of delay reports, either on the same
//! connection or with both values far below the loads of their own connections. Otherwise, it is a
//! load. Only a limited number of ambiguous values is kept; beyond it, a value is a load.

use std::collections::BTreeMap;

use crate::types::{Micros, RequestId, ServerId};

/// A value is far below a load if the load is more than this many times the value. Few changes of a
/// load are this large, but most delays are this far below loads.
const FAR_BELOW_FACTOR: f64 = 20.0;
/// Minimum interval between two delay reports of one server.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(980);
/// Maximum interval between two delay reports of one server, which come once per second. At a
/// server with many connections of this node, light loads follow one another by chance, and a wider
/// interval would classify them as delays.
const MAX_REPORT_INTERVAL: Micros = Micros::from_millis(1_020);
/// Maximum valid load, in microseconds of CPU work per second.
const MAX_LOAD: f64 = 1e9;

/// Maximum number of ambiguous values of one connection that are kept. Delay reports come once per
/// second, so that a connection has few.
pub const MAX_AMBIGUOUS_PER_CONNECTION: usize = 4;
/// Maximum number of ambiguous values of all connections that are kept.
pub const MAX_AMBIGUOUS: usize = 1_024;

/// A classified value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadSignal {
    /// Load of this connection, in microseconds of CPU work per second.
    Load(RequestId, f64),
    /// Message delay of this server, in milliseconds.
    Delay(ServerId, f64),
}

/// A value that may be a load or a delay.
struct AmbiguousValue {
    id: RequestId,
    server: ServerId,
    value: f64,
    reported_at: Micros,
    /// Whether the value is far below the last load of its own connection.
    below_own_load: bool,
}

impl AmbiguousValue {
    fn expires_at(&self) -> Micros {
        self.reported_at + MAX_REPORT_INTERVAL
    }

    /// Returns whether another ambiguous value, reported at `now`, shows that this value is a
    /// delay.
    fn is_confirmed_by(&self, now: Micros, id: RequestId, server: ServerId, below_own_load: bool) -> bool {
        let same_source = self.id == id || (self.below_own_load && below_own_load);
        self.server == server && is_report_interval(self.reported_at, now) && same_source
    }
}

/// Sum and number of the first loads of all connections.
#[derive(Default)]
struct FirstLoads {
    sum: f64,
    count: f64,
}

impl FirstLoads {
    fn add(&mut self, load: f64) {
        self.sum += load;
        self.count += 1.0;
    }

    /// Returns whether a value is far below the mean first load; `false` while there is no mean.
    fn is_far_above(&self, value: f64) -> bool {
        self.count > 0.0 && value * FAR_BELOW_FACTOR < self.sum / self.count
    }
}

/// Returns whether the time since `earlier` matches the interval of delay reports.
fn is_report_interval(earlier: Micros, now: Micros) -> bool {
    now >= earlier + MIN_REPORT_INTERVAL && now <= earlier + MAX_REPORT_INTERVAL
}

/// Classifies reported values as loads or delays.
#[derive(Default)]
pub struct LoadSignalClassifier {
    /// Last reported load of each connection.
    loads: BTreeMap<RequestId, f64>,
    first_loads: FirstLoads,
    /// Ambiguous values, in the order of their reports.
    ambiguous: Vec<AmbiguousValue>,
    /// Time of the last delay report of each server with a high delay.
    last_delay_report: BTreeMap<ServerId, Micros>,
}

impl LoadSignalClassifier {
    /// Classifies a value that was reported on a connection to this server. Returns `None` while
    /// the value is ambiguous.
    pub fn classify(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        value: f64,
    ) -> Option<LoadSignal> {
        let own_load = self.loads.get(&id);
        let below_own_load = own_load.is_some_and(|load| value * FAR_BELOW_FACTOR < *load);
        let ambiguous = below_own_load || self.first_loads.is_far_above(value);
        // An unchanged load is reported again with exactly the same value, whereas a delay varies.
        if !ambiguous || own_load == Some(&value) {
            return Some(self.load(id, value));
        }
        let last_delay = self.last_delay_report.get(&server);
        let continues = last_delay.is_some_and(|at| is_report_interval(*at, now));
        let mut earlier = self.ambiguous.iter();
        if !continues && !earlier.any(|first| first.is_confirmed_by(now, id, server, below_own_load)) {
            if self.is_full(id) {
                return Some(self.load(id, value));
            }
            self.ambiguous.push(AmbiguousValue { id, server, value, reported_at: now, below_own_load });
            return None;
        }
        Some(self.delay(now, server, value))
    }

    /// Returns whether no further ambiguous value of a connection is kept.
    fn is_full(&self, id: RequestId) -> bool {
        let of_connection = self.ambiguous.iter().filter(|value| value.id == id).count();
        of_connection >= MAX_AMBIGUOUS_PER_CONNECTION || self.ambiguous.len() >= MAX_AMBIGUOUS
    }

    /// Removes the ambiguous values that were not confirmed in time and returns them as loads.
    pub fn take_expired(&mut self, now: Micros) -> Vec<LoadSignal> {
        let values = std::mem::take(&mut self.ambiguous);
        let (expired, open): (Vec<_>, Vec<_>) =
            values.into_iter().partition(|value| now > value.expires_at());
        self.ambiguous = open;
        expired.into_iter().map(|value| self.load(value.id, value.value)).collect()
    }

    /// Returns when the next ambiguous value expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.ambiguous.first().map(|value| value.expires_at() + Micros(1))
    }

    /// Removes the state of a connection that has ended.
    pub fn forget(&mut self, id: RequestId) {
        self.loads.remove(&id);
        self.ambiguous.retain(|value| value.id != id);
    }

    fn load(&mut self, id: RequestId, load: f64) -> LoadSignal {
        if (0.0..=MAX_LOAD).contains(&load) && self.loads.insert(id, load).is_none() {
            self.first_loads.add(load);
        }
        LoadSignal::Load(id, load)
    }

    fn delay(&mut self, now: Micros, server: ServerId, value: f64) -> LoadSignal {
        self.ambiguous
            .retain(|earlier| earlier.server != server || !is_report_interval(earlier.reported_at, now));
        self.last_delay_report.retain(|_, at| now <= *at + MAX_REPORT_INTERVAL);
        self.last_delay_report.insert(server, now);
        LoadSignal::Delay(server, value)
    }
}
