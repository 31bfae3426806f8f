//! Admission control: whether a server has capacity for a class, and the answer to a request that
//! gets no further attempt.

use rand::RngExt;

use crate::types::{Action, ClassSettings, DedupScope, Idempotency, Micros};

use super::Policy;
use super::connection::{Connection, FirstExecution};
use super::period::PERIOD;
use super::server::ServerIndex;

/// Share of a limited server's capacity that is reserved for the classes with the highest priority
/// relative to their load.
const RESERVED_SHARE: f64 = 0.5;

impl Policy {
    /// Returns whether a server is below its load limit for this connection's class. Only a server
    /// with a limited capacity has one (see
    /// [`ObservedCapacity`](super::capacity::ObservedCapacity)). The last part of the capacity is
    /// reserved for the classes with the highest priority relative to their load, but every class
    /// may use a part of the capacity.
    pub(super) fn has_capacity(&self, index: ServerIndex, connection: &Connection) -> bool {
        let Some(limit) = self.servers[index].capacity.load_limit else { return true };
        let classes = 0..self.typical_loads.class_count();
        let highest = classes.map(|class| self.priority_per_unit_load(class)).fold(0.0, f64::max);
        let own = self.priority_per_unit_load(usize::from(connection.request.class));
        let relative_priority = if highest > 0.0 { own / highest } else { 1.0 };
        let usable_share = 1.0 - RESERVED_SHARE * (1.0 - relative_priority);
        self.recorded_load(index) < limit * usable_share
    }

    /// Returns the priority weight of a class divided by its typical load; 0 while that load is
    /// unknown.
    fn priority_per_unit_load(&self, class: usize) -> f64 {
        let load = self.typical_loads.mean_first_load(class).filter(|load| *load > 0.0);
        let priority = self.settings.classes.get(class).map_or(0.0, |class| class.priority_weight);
        load.map_or(0.0, |load| priority / load)
    }

    /// Answers a request that gets no further attempt. The answer is sent at once, so that the client
    /// can retry. A request that may have been executed and that the client cannot safely repeat
    /// fails; any other is rejected.
    pub(super) fn give_up(&mut self, now: Micros, connection: &Connection, actions: &mut Vec<Action>) {
        let id = connection.request.id;
        if !self.client_may_repeat(now, connection) {
            actions.push(Action::Fail(id));
            return;
        }
        let retry_after = self.random_retry_after(connection);
        actions.push(Action::Reject(id, self.settings.retry_after_allowed.then_some(retry_after)));
    }

    /// Returns whether the client may safely repeat the request. Servers that ignore duplicates do so
    /// until the deduplication window ends; a repeat comes after the Retry-After time at the latest,
    /// and may be sent until its own deadline.
    fn client_may_repeat(&self, now: Micros, connection: &Connection) -> bool {
        let Some(FirstExecution { sent, .. }) = connection.first_execution else { return true };
        let longest_retry_after = self.longest_retry_after(connection);
        let repeat_ends = now + longest_retry_after + connection.request.time_remaining;
        let is_safe = |class: &ClassSettings| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated(DedupScope::All) => repeat_ends <= sent + class.dedup_window,
            Idempotency::Deduplicated(_) | Idempotency::NotIdempotent => false,
        };
        let known = self.binding_classes(connection).next().is_some();
        known && self.binding_classes(connection).all(is_safe)
    }

    /// Draws a Retry-After time between half of the latency objective and all of it. The jitter
    /// prevents clients that were rejected together from reconnecting together.
    fn random_retry_after(&mut self, connection: &Connection) -> Micros {
        self.longest_retry_after(connection).scale(0.5 + 0.5 * self.rng.random::<f64>())
    }

    fn longest_retry_after(&self, connection: &Connection) -> Micros {
        let class = self.settings.classes.get(usize::from(connection.request.class));
        let objective = class.map_or(PERIOD, |class| class.latency_objective);
        objective.min(self.settings.max_retry_after)
    }
}
