//! How long messages take at each server, as this node's clients see it, told once a second as the decisions want it.

use std::collections::BTreeMap;
use std::time::Duration;

use alderstile::interface::ServerId;

/// What was seen in the present second.
#[derive(Default)]
pub struct Delays {
    seen: BTreeMap<ServerId, Seen>,
}

#[derive(Default)]
struct Seen {
    sum: Duration,
    count: u32,
}

impl Delays {
    /// A line has come back from a server after this long, or has not come back for this long.
    pub fn add(&mut self, server: ServerId, span: Duration) {
        let seen = self.seen.entry(server).or_default();
        seen.sum += span;
        seen.count += 1;
    }

    /// The mean of each server that was heard in the second now ending, in milliseconds.
    pub fn take(&mut self) -> Vec<(ServerId, f64)> {
        let seen = std::mem::take(&mut self.seen);
        seen.into_iter().map(|(server, seen)| (server, (seen.sum / seen.count).as_secs_f64() * 1e3)).collect()
    }
}
