//! Counts and running means: arithmetic that decides nothing.

use std::collections::{BTreeMap, VecDeque};

use crate::types::{GroupId, Micros, RetryBudgetBucket, ServerId};

/// The weight of the newest value in running means.
const NEWEST: f64 = 0.1;

/// Parts of the span over which further attempts are counted: no more than this is held of it.
const PARTS: f64 = 50.0;

/// Loads above this are no loads: about a thousand cores' work.
pub(super) const LOAD_LIMIT: f64 = 1e9;

/// A load that is no number, negative or absurd would poison every sum that it enters.
pub(super) fn is_load(load: &f64) -> bool {
    (0.0..=LOAD_LIMIT).contains(load)
}

/// Takes one off a count; what is counted down to nothing is no longer held.
pub(super) fn drop_one<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K) {
    let Some(count) = counts.get_mut(&key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(&key);
    }
}

/// A running mean that starts at its first value.
#[derive(Clone, Copy, Default)]
pub(super) struct Mean(pub(super) Option<f64>);

impl Mean {
    pub(super) fn add(&mut self, value: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + NEWEST * (value - mean)));
    }
}

/// Chance that falls alike at every node for a group: where many servers tie in the own record, nodes that
/// know nothing of one another still begin it on the same server.
pub(super) fn shared_chance(group: GroupId, server: ServerId) -> u64 {
    let mixed = (group.0 ^ server.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

/// A lot among servers of these sizes, from a draw that any of them may have: the lowest wins, as much more
/// often as it is larger
/// (exponential draws).
pub(super) fn lot(draw: u64, size: f64) -> f64 {
    -((draw as f64 + 1.0) / (u64::MAX as f64 + 2.0)).ln() / size
}

/// How much of a span has passed since then, from nothing to one; all of it since long ago.
pub(super) fn passed(since: Option<Micros>, now: Micros, span: Micros) -> f64 {
    // No number, where nothing is divided by nothing, loses against one.
    since.map_or(1.0, |since| ((now - since).as_secs_f64() / span.as_secs_f64()).min(1.0))
}

/// Further attempts and requests of the stated span, in parts. What is partly out of the span counts as out
/// for requests and as in for attempts, so the count is never laxer than the rule.
#[derive(Default)]
pub(super) struct Ledger {
    pub(super) parts: VecDeque<RetryBudgetBucket>,
    /// Nothing before is known: the start, or what was dropped.
    pub(super) since: Micros,
}

impl Ledger {
    pub(super) fn add(&mut self, now: Micros, over: Micros, taken: u32, further: u32) {
        while let Some(part) = self.parts.front().filter(|part| part.last_event + over < now) {
            self.since = self.since.max(part.last_event);
            self.parts.pop_front();
        }
        match self.parts.back_mut().filter(|part| now < part.first_event + over.scale(1.0 / PARTS)) {
            Some(p) => (p.last_event, p.admitted, p.retries) = (now, p.admitted + taken, p.retries + further),
            None => self.parts.push_back(RetryBudgetBucket {
                first_event: now,
                last_event: now,
                admitted: taken,
                retries: further,
            }),
        }
    }

    pub(super) fn known(&self, now: Micros, over: Micros) -> bool {
        self.since == Micros(0) || self.since + over < now
    }

    /// Requests taken and further attempts within the span.
    pub(super) fn within(&self, now: Micros, over: Micros) -> (u32, u32) {
        let within = self.parts.iter().filter(|part| part.last_event + over >= now);
        within.fold((0, 0), |(taken, further), part| {
            (taken + part.admitted * u32::from(part.first_event + over > now), further + part.retries)
        })
    }
}
