//! Outlier detection: servers that fail are paused.

use rand::RngExt;

use crate::types::{Action, Micros, Outcome, RequestId};

use super::Policy;
use super::connection::{Connection, ConnectionState};

/// The first pause in sending to a server after a failed set-up; it doubles with each further one.
const BASE_EJECTION: Micros = Micros::from_millis(1_000);

/// The longest pause, as a number of doublings.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Nodes that try a server that is down in turn, at most, or it would wait for long.
const MAX_RETURN_TURNS: f64 = 16.0;

/// Failures without a clear while between them that are worth a line.
const LOGGED_FAILURES: u32 = 3;

/// After this long without a failure the next pause is the first again.
const FAILURES_FORGOTTEN_AFTER: Micros = Micros::from_millis(8_000);

/// What outlier detection holds of one server.
#[derive(Default)]
pub(super) struct OutlierState {
    /// Failures that led to an ejection and are not forgotten.
    pub(super) failures: u32,
    pub(super) ejected_until: Micros,
    /// It could not be reached or had no capacity, until a set-up succeeds.
    pub(super) unreachable: bool,
    /// It took no connection while this node had none there, until a set-up succeeds: it is tried by one
    /// attempt at a time.
    pub(super) connect_failed: bool,
}

impl Policy {
    /// Guards against the server that fails fast, or drops what it takes, keeps a low record and so draws all
    /// new work: each failure doubles a pause, until it has kept clear of them for a while.
    pub(super) fn record_failure(
        &mut self,
        now: Micros,
        index: usize,
        connection: &Connection,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        use Outcome::*;
        let harmless = matches!(outcome, Ok | Cancelled | NeverSent | NotForwarded);
        if harmless || matches!(connection.state, ConnectionState::Migrating(_)) {
            return;
        }
        let holds = |id: &RequestId| {
            self.connections.get(id).is_some_and(|connection| !connection.state.is_attempting())
        };
        let held = self.servers[index].load.connections.iter().any(holds);
        let dropped_all = outcome == Outcome::Reset && !held;
        let (server, nodes) = (&mut self.servers[index], f64::from(self.settings.node_count));
        server.outlier.connect_failed |= outcome == Outcome::ConnectFailed && !held;
        let paused = now < server.outlier.ejected_until;
        if !paused {
            if now > server.outlier.ejected_until + FAILURES_FORGOTTEN_AFTER {
                server.outlier.failures = 0;
            }
            let pause =
                BASE_EJECTION.scale(f64::from(1 << server.outlier.failures.min(MAX_EJECTION_DOUBLINGS)));
            server.outlier.failures += 1;
            // Nodes that all wait for one that is down try it one after the other.
            let chance: f64 = self.rng.random();
            let turns = if server.outlier.connect_failed { nodes.min(MAX_RETURN_TURNS) } else { 0.0 };
            let pause = pause.scale(0.75 + 0.5 * chance).max(BASE_EJECTION.scale(turns * chance));
            server.outlier.ejected_until = now + pause;
        }
        // The list tells of lost servers seconds later, of a cut link never.
        server.outlier.unreachable |=
            dropped_all || matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected);
        let (id, failures) = (server.endpoint.id, server.outlier.failures);
        if !paused && failures == LOGGED_FAILURES {
            self.log(Some(id), format!("paused again after {failures} failures, last {outcome:?}"), actions);
        }
    }
}
