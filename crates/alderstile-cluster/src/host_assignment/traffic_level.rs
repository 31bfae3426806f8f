//! Traffic levels: the number of a node's connections, encoded in one byte of its metadata on a logarithmic
//! scale.

use alderstile::types::Micros;

/// The metadata tag under which a member reports its traffic level.
pub const TRAFFIC_METADATA_TAG: u8 = b't';
/// Levels per doubling: 12 make steps of 6 %, so that one byte covers up to two million connections.
const STEPS_PER_DOUBLING: f64 = 12.0;
/// The minimum change, in levels, at which a new level is reported: 8 levels are a change of about 60 %.
/// Reports are rare because each one is gossiped to every member.
const REPORT_THRESHOLD_STEPS: u8 = 8;
/// The minimum time between two reports.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(10_000);

/// Returns the level of a number of connections.
pub fn traffic_level(connections: usize) -> u8 {
    (STEPS_PER_DOUBLING * (connections as f64 + 1.0).log2()).round() as u8
}

/// Returns the traffic that a member's metadata reports, in connections, or 0 if it is missing or malformed.
pub fn traffic_from_metadata(metadata: Option<&[u8]>) -> f64 {
    match metadata {
        Some(&[level]) => (f64::from(level) / STEPS_PER_DOUBLING).exp2(),
        _ => 0.0,
    }
}

/// The level that this node last reported, and when.
#[derive(Debug, Default)]
pub(super) struct ReportedLevel(Option<(u8, Micros)>);

impl ReportedLevel {
    /// Returns the level to report, if it has changed by the threshold and the minimum interval has passed.
    pub fn update(&mut self, now: Micros, connections: usize) -> Option<u8> {
        let level = traffic_level(connections);
        // The first report waits as well, because the connections of a node that has just started grow
        // quickly.
        let (reported, reported_at) = *self.0.get_or_insert((0, now));
        let has_changed = reported.abs_diff(level) >= REPORT_THRESHOLD_STEPS;
        let is_due = has_changed && now >= reported_at + MIN_REPORT_INTERVAL;
        if is_due {
            self.0 = Some((level, now));
        }
        is_due.then_some(level)
    }
}
