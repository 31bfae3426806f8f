//! Classification of load reports on sockets, where two kinds of values have the same form.
//!
//! A connection's load, in microseconds of work a second, is reported when it changes. The milliseconds that messages
//! take at the connection's server are reported about once a second on one of its connections while they are late.
//! A late server whose delays are taken for loads would have next to nothing in the record and draw all new work.
//!
//! A value is ambiguous where it lies far below what its connection last reported, or what connections typically
//! report. A single one may be a client that went idle. It is a delay if another one follows within the interval of
//! delay reports, on the same connection or both far below their own loads; and a load if none does.

use std::collections::BTreeMap;

use crate::types::{Micros, RequestId, ServerId};

/// A value lies far below a load that is this many times higher. Few changes of a load are that large, most delays are.
const FAR_BELOW_FACTOR: f64 = 20.0;
/// The least interval between two delay reports of one server.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(980);
/// The greatest such interval: delay reports come once a second. Where a node holds many connections at a server, light
/// loads follow one another by chance; in a wider interval they would pass for delays.
const MAX_REPORT_INTERVAL: Micros = Micros::from_millis(1_020);
/// The greatest value that counts as a load, in microseconds of work a second.
const MAX_LOAD: f64 = 1e9;

/// A classified value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadSignal {
    /// The load of this connection, in microseconds of work a second.
    Load(RequestId, f64),
    /// The milliseconds that messages take at this server.
    Delay(ServerId, f64),
}

/// A value that may still be a load or a delay.
struct AmbiguousValue {
    id: RequestId,
    server: ServerId,
    value: f64,
    reported_at: Micros,
    /// It lies far below what its own connection last reported.
    below_own_load: bool,
}

impl AmbiguousValue {
    fn expires_at(&self) -> Micros {
        self.reported_at + MAX_REPORT_INTERVAL
    }

    /// Whether a further ambiguous value, reported `now`, shows that this one is a delay.
    fn is_confirmed_by(&self, now: Micros, id: RequestId, server: ServerId, below_own_load: bool) -> bool {
        let same_source = self.id == id || (self.below_own_load && below_own_load);
        self.server == server && is_report_interval(self.reported_at, now) && same_source
    }
}

/// The sum and the number of connections' first loads.
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

    /// Whether a value lies far below the mean; never while there is none.
    fn is_far_above(&self, value: f64) -> bool {
        self.count > 0.0 && value * FAR_BELOW_FACTOR < self.sum / self.count
    }
}

/// Whether a report now follows one at `earlier` at the interval of delay reports.
fn is_report_interval(earlier: Micros, now: Micros) -> bool {
    now >= earlier + MIN_REPORT_INTERVAL && now <= earlier + MAX_REPORT_INTERVAL
}

/// Tells loads and delays apart.
#[derive(Default)]
pub struct LoadSignalClassifier {
    /// The load that each connection last reported.
    loads: BTreeMap<RequestId, f64>,
    first_loads: FirstLoads,
    /// In the order in which they were reported.
    ambiguous: Vec<AmbiguousValue>,
    /// When each late server last reported a delay.
    last_delay_report: BTreeMap<ServerId, Micros>,
}

impl LoadSignalClassifier {
    /// Takes in a value reported on a connection to this server. Returns nothing while the value is ambiguous.
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
        // An unchanged load is reported again to the digit; a delay never stays the same.
        if !ambiguous || own_load == Some(&value) {
            return Some(self.load(id, value));
        }
        let last_delay = self.last_delay_report.get(&server);
        let continues = last_delay.is_some_and(|at| is_report_interval(*at, now));
        let mut earlier = self.ambiguous.iter();
        if !continues && !earlier.any(|first| first.is_confirmed_by(now, id, server, below_own_load)) {
            self.ambiguous.push(AmbiguousValue { id, server, value, reported_at: now, below_own_load });
            return None;
        }
        Some(self.delay(now, server, value))
    }

    /// Ambiguous values that no further one has confirmed in time: they are loads.
    pub fn take_expired(&mut self, now: Micros) -> Vec<LoadSignal> {
        let values = std::mem::take(&mut self.ambiguous);
        let (expired, open): (Vec<_>, Vec<_>) =
            values.into_iter().partition(|value| now > value.expires_at());
        self.ambiguous = open;
        expired.into_iter().map(|value| self.load(value.id, value.value)).collect()
    }

    /// When the next ambiguous value expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.ambiguous.first().map(|value| value.expires_at() + Micros(1))
    }

    /// A connection has ended.
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
