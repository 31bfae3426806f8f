//! Outlier detection: a server that fails is ejected, for a time that doubles with each further
//! ejection. Failures during an ejection do not extend it.
//!
//! A server that fails fast or drops its connections keeps a low load and would otherwise receive
//! all new connections. An ejected server is ranked after the others. A server that could not be
//! reached is excluded until its ejection expires.

use rand::RngExt;

use crate::types::{Action, Micros, Outcome};

use super::Policy;
use super::connection::Connection;
use super::server::ServerIndex;

/// Duration of the first ejection.
const BASE_EJECTION: Micros = Micros::from_millis(1_000);
/// Maximum number of times that the duration doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Failures are forgotten when no ejection has occurred for this long after the last one expired.
const FAILURE_MEMORY: Micros = Micros::from_millis(8_000);
/// Range of the random part of an ejection, relative to its duration, so that nodes do not all
/// resume using a server at the same time.
const JITTER: f64 = 0.5;
/// Maximum number of nodes over which trial attempts at an unreachable server are staggered. With
/// more, the server would wait too long for its first connection.
const MAX_STAGGERED_NODES: f64 = 16.0;
/// Number of remembered failures at which a log line is written.
const FAILURES_TO_LOG: u32 = 3;

/// Outlier detection state of one server.
#[derive(Default)]
pub(super) struct OutlierState {
    /// Number of failures that led to an ejection and are not forgotten.
    failures: u32,
    pub(super) ejected_until: Micros,
    /// Whether a connection to the server could not be established, it rejected a request or it
    /// dropped all connections of this node, and no setup has succeeded since.
    pub(super) unreachable: bool,
    /// Whether a connection could not be established while the server had no other connection of
    /// this node, and no setup has succeeded since. Such a server receives one trial attempt at a
    /// time.
    pub(super) connect_failed: bool,
}

impl OutlierState {
    pub(super) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the server receives no attempts at all.
    pub(super) fn is_excluded(&self, now: Micros) -> bool {
        self.unreachable && self.is_ejected(now)
    }

    /// Resets the failures of a server whose process has restarted.
    pub(super) fn reset_failures(&mut self) {
        let connect_failed = self.connect_failed;
        *self = OutlierState { connect_failed, ..OutlierState::default() };
    }
}

impl Policy {
    /// Records the end of an attempt or connection. Has an effect only if the server caused the end
    /// and the connection was not migrating.
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
        let has_others = self.has_established_connections(index);
        let outlier = &mut self.servers[index].outlier;
        outlier.connect_failed |= outcome == Outcome::ConnectFailed && !has_others;
        let was_ejected = outlier.is_ejected(now);
        if !was_ejected {
            self.eject(now, index);
        }
        // Excludes the server at once, because the endpoint list shows a lost server only seconds
        // later and never shows a network partition.
        let dropped_all = outcome == Outcome::Reset && !has_others;
        let refused = matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected);
        self.servers[index].outlier.unreachable |= dropped_all || refused;
        if !was_ejected {
            self.log_repeated_ejection(index, outcome, actions);
        }
    }

    /// Returns whether a server has established connections of this node, not counting attempts.
    fn has_established_connections(&self, index: ServerIndex) -> bool {
        let established = |connection: &Connection| !connection.state.is_attempting();
        let mut connections = self.servers[index].load.connections.iter();
        connections.any(|id| self.connections.get(id).is_some_and(established))
    }

    /// Ejects a server that is not ejected. If a connection to it could not be established, the
    /// ejections are staggered, so that nodes waiting for it try it one after the other.
    fn eject(&mut self, now: Micros, index: ServerIndex) {
        let chance: f64 = self.rng.random();
        let nodes = f64::from(self.settings.node_count);
        let outlier = &mut self.servers[index].outlier;
        if now > outlier.ejected_until + FAILURE_MEMORY {
            outlier.failures = 0;
        }
        let backoff = BASE_EJECTION.scale(f64::from(1 << outlier.failures.min(MAX_EJECTION_DOUBLINGS)));
        let with_jitter = backoff.scale(1.0 - JITTER / 2.0 + JITTER * chance);
        let staggered_nodes = if outlier.connect_failed { nodes.min(MAX_STAGGERED_NODES) } else { 0.0 };
        let ejection = with_jitter.max(BASE_EJECTION.scale(staggered_nodes * chance));
        outlier.failures += 1;
        outlier.ejected_until = now + ejection;
    }

    fn log_repeated_ejection(&mut self, index: ServerIndex, outcome: Outcome, actions: &mut Vec<Action>) {
        let server = &self.servers[index];
        let (id, failures) = (server.endpoint.id, server.outlier.failures);
        if failures == FAILURES_TO_LOG {
            self.log(
                Some(id),
                format!("server ejected repeatedly: {failures} failures, last outcome {outcome:?}"),
                actions,
            );
        }
    }

    /// Records a successful setup. If no connection could be established before, the server's start
    /// time is set to now: the endpoint list shows a restart late or never, and the server's low
    /// load would otherwise attract many connections.
    pub(super) fn record_success(&mut self, now: Micros, index: ServerIndex) {
        let server = &mut self.servers[index];
        if std::mem::take(&mut server.outlier.connect_failed) {
            server.started = Some(now);
            server.slow_start.clear();
        }
        server.outlier.unreachable = false;
    }
}

/// Returns whether an outcome was caused by the server.
fn is_failure(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Ok | Outcome::Cancelled | Outcome::NeverSent | Outcome::NotForwarded => false,
        Outcome::Error | Outcome::Rejected | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
            true
        }
    }
}
