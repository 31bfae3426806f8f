//! Traffic levels: the number of a node's connections in one byte of its metadata, on a logarithmic scale.

use alderstile::types::Micros;

/// The metadata tag under which a member states its traffic level.
pub const TRAFFIC_METADATA_TAG: u8 = b't';
/// Steps of a level for each doubling: 6% each, up to two million connections in a byte.
const STEPS_PER_DOUBLING: f64 = 12.0;
/// A level is reported anew when it is off by so many steps, three fifths: each report is gossiped to every member.
const REPORT_THRESHOLD_STEPS: u8 = 8;
/// And at most this often.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(10_000);

/// The level of so many connections.
pub fn traffic_level(connections: usize) -> u8 {
    (STEPS_PER_DOUBLING * (connections as f64 + 1.0).log2()).round() as u8
}

/// The traffic that a member's metadata states, in connections; 0 where it states none that can be read.
pub fn traffic_from_metadata(metadata: Option<&[u8]>) -> f64 {
    match metadata {
        Some(&[level]) => (f64::from(level) / STEPS_PER_DOUBLING).exp2(),
        _ => 0.0,
    }
}

/// The level that others know of this node.
#[derive(Debug, Default)]
pub(super) struct ReportedLevel(Option<(u8, Micros)>);

impl ReportedLevel {
    /// The level to report, where it has changed by enough.
    pub fn update(&mut self, now: Micros, connections: usize) -> Option<u8> {
        let level = traffic_level(connections);
        // The first report waits as well: a node that has just started is about to be filled.
        let (reported, reported_at) = *self.0.get_or_insert((0, now));
        let has_changed = reported.abs_diff(level) >= REPORT_THRESHOLD_STEPS;
        let is_due = has_changed && now >= reported_at + MIN_REPORT_INTERVAL;
        if is_due {
            self.0 = Some((level, now));
        }
        is_due.then_some(level)
    }
}
