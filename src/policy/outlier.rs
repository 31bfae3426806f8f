//! Outlier detection: a server that fails is ejected for a time that doubles with each further ejection.
//! Failures while ejected do not lengthen it.
//!
//! A server that fails fast, or drops what it takes, keeps a low load and would draw all new work. An ejected
//! server comes after all others; one that could not be reached is barred until its ejection is over.

use rand::RngExt;

use crate::types::{Action, Micros, Outcome};

use super::Policy;
use super::connection::Connection;
use super::server::ServerIndex;

/// The first ejection; it doubles with each further failure.
const BASE_EJECTION: Micros = Micros::from_millis(1_000);
/// How often the ejection doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Failures are forgotten when a server has been back for this long without one.
const FAILURE_MEMORY: Micros = Micros::from_millis(8_000);
/// Ejections vary by this part of their length, so that nodes do not come back together.
const JITTER: f64 = 0.5;
/// Nodes that take turns in trying a server that is down, at most: with more it would wait for long.
const MAX_STAGGERED_NODES: f64 = 16.0;
/// A line is logged at this many failures that were not forgotten.
const FAILURES_TO_LOG: u32 = 3;

/// What outlier detection holds of one server.
#[derive(Default)]
pub(super) struct OutlierState {
    /// Failures that led to an ejection and are not forgotten.
    failures: u32,
    pub(super) ejected_until: Micros,
    /// It refused a connection, rejected work or dropped all of this node's connections, until a set-up
    /// succeeds.
    pub(super) unreachable: bool,
    /// It took no connection while this node had none there, until a set-up succeeds: it is tried by one
    /// attempt at a time.
    pub(super) connect_failed: bool,
}

impl OutlierState {
    pub(super) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Whether nothing may go there at all.
    pub(super) fn is_excluded(&self, now: Micros) -> bool {
        self.unreachable && self.is_ejected(now)
    }

    /// A process that was started anew has failed nothing.
    pub(super) fn reset_failures(&mut self) {
        let connect_failed = self.connect_failed;
        *self = OutlierState { connect_failed, ..OutlierState::default() };
    }
}

impl Policy {
    /// Takes in the end of an attempt or a connection at a server. Acts where the end is the server's fault
    /// and the connection was not asked to migrate.
    pub(super) fn record_failure(
        &mut self,
        now: Micros,
        index: ServerIndex,
        connection: &Connection,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if !is_failure(outcome) || connection.state.is_migrating() {
            return;
        }
        let holds_others = self.holds_established(index);
        let outlier = &mut self.servers[index].outlier;
        outlier.connect_failed |= outcome == Outcome::ConnectFailed && !holds_others;
        let was_ejected = outlier.is_ejected(now);
        if !was_ejected {
            self.eject(now, index);
        }
        // Barred: the list shows lost servers seconds later, and a cut link never.
        let dropped_all = outcome == Outcome::Reset && !holds_others;
        let refused = matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected);
        self.servers[index].outlier.unreachable |= dropped_all || refused;
        if !was_ejected {
            self.log_repeated_ejection(index, outcome, actions);
        }
    }

    /// Whether a server holds connections of this node, attempts aside.
    fn holds_established(&self, index: ServerIndex) -> bool {
        let established = |connection: &Connection| !connection.state.is_attempting();
        let mut held = self.servers[index].load.connections.iter();
        held.any(|id| self.connections.get(id).is_some_and(established))
    }

    /// Ejects a server that is not ejected. Nodes that all wait for one that took no connection try it one
    /// after the other.
    fn eject(&mut self, now: Micros, index: ServerIndex) {
        let chance: f64 = self.rng.random();
        let nodes = f64::from(self.settings.node_count);
        let outlier = &mut self.servers[index].outlier;
        if now > outlier.ejected_until + FAILURE_MEMORY {
            outlier.failures = 0;
        }
        let backoff = BASE_EJECTION.scale(f64::from(1 << outlier.failures.min(MAX_EJECTION_DOUBLINGS)));
        let with_jitter = backoff.scale(1.0 - JITTER / 2.0 + JITTER * chance);
        let turns = if outlier.connect_failed { nodes.min(MAX_STAGGERED_NODES) } else { 0.0 };
        let ejection = with_jitter.max(BASE_EJECTION.scale(turns * chance));
        outlier.failures += 1;
        outlier.ejected_until = now + ejection;
    }

    fn log_repeated_ejection(&mut self, index: ServerIndex, outcome: Outcome, actions: &mut Vec<Action>) {
        let server = &self.servers[index];
        let (id, failures) = (server.endpoint.id, server.outlier.failures);
        if failures == FAILURES_TO_LOG {
            self.log(Some(id), format!("ejected again after {failures} failures, last {outcome:?}"), actions);
        }
    }

    /// Takes in a set-up that succeeded. One at a server that had taken no connection counts as its start:
    /// the endpoint list shows a restart late or never, and the server's load is the lowest.
    pub(super) fn record_success(&mut self, now: Micros, index: ServerIndex) {
        let server = &mut self.servers[index];
        if std::mem::take(&mut server.outlier.connect_failed) {
            server.started = Some(now);
            server.slow_start.clear();
        }
        server.outlier.unreachable = false;
    }
}

/// Whether an end is the server's fault.
fn is_failure(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Ok | Outcome::Cancelled | Outcome::NeverSent | Outcome::NotForwarded => false,
        Outcome::Error | Outcome::Rejected | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
            true
        }
    }
}
