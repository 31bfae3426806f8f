//! Admission: the room kept for classes, and the final answer to a request that is given up.

use rand::RngExt;

use crate::types::{Action, ClassSettings, DedupScope, Idempotency};

use super::Policy;
use super::connection::Connection;
use super::rebalance::PERIOD;

/// The share of a full server's room that is kept for the classes worth most for their load.
const RESERVED_SHARE: f64 = 0.5;

impl Policy {
    /// The final answer for a request that is given up: at once, so that the client can come again.
    pub(super) fn give_up(&mut self, connection: &Connection, actions: &mut Vec<Action>) {
        use Idempotency::{Deduplicated, Idempotent};
        let anywhere =
            |c: &ClassSettings| matches!(c.idempotency, Idempotent | Deduplicated(DedupScope::All));
        let anywhere = self.binding_classes(connection).next().is_some()
            && self.binding_classes(connection).all(anywhere);
        if !anywhere && connection.first_run.is_some() {
            return actions.push(Action::Fail(connection.request.id));
        }
        let class = self.settings.classes.get(connection.request.class as usize);
        // Spread out, or those turned away together would come back together.
        let aim = class.map_or(PERIOD, |class| class.latency_objective);
        let wait = aim.min(self.settings.max_retry_after).scale(0.5 + 0.5 * self.rng.random::<f64>());
        actions
            .push(Action::Reject(connection.request.id, self.settings.retry_after_allowed.then_some(wait)));
    }

    /// Whether a server is below the record at which it was full. Where servers fill up, the last of the room
    /// is kept for the classes that are worth most for their load; none is shut out.
    pub(super) fn has_capacity(&self, index: usize, connection: &Connection) -> bool {
        let class = connection.request.class as usize;
        let best = (0..self.class_load.len()).map(|c| self.priority_per_load(c)).fold(0.0, f64::max);
        let claim = if best > 0.0 { self.priority_per_load(class) / best } else { 1.0 };
        let room = 1.0 - RESERVED_SHARE * (1.0 - claim);
        self.servers[index].capacity.load_limit.is_none_or(|limit| self.recorded_load(index) < limit * room)
    }

    /// What a class is worth for its usual load.
    fn priority_per_load(&self, class: usize) -> f64 {
        let load = self.class_load.get(class).and_then(|mean| mean.0).filter(|load| *load > 0.0);
        let worth = self.settings.classes.get(class).map_or(0.0, |c| c.priority_weight);
        load.map_or(0.0, |load| worth / load)
    }
}
