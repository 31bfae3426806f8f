//! Message delay: which servers answer messages late.
//!
//! Servers report delays about once a second while they are late. Where they do not, what a connection set-up
//! takes above the usual is taken for the delay of a message, and nodes that may gossip inform each other.

use crate::types::{Action, BalancerSettings, Micros, ServerId};

use super::Policy;
use super::server::ServerIndex;

/// Messages are late from this share of the shortest message latency objective on.
pub(super) const HIGH_DELAY_SHARE_OF_OBJECTIVE: f64 = 1.0 / 3.0;
/// A delay counts this long; reports come once a second while messages are late.
const DELAY_VALID_FOR: Micros = Micros::from_millis(1_600);
/// The same for a server that holds none of this node's connections: no report can say that the delay is
/// over.
const DELAY_VALID_UNOBSERVED_FOR: Micros = Micros::from_millis(30_000);
/// A delay that is as long at once is that of a stalled server: a queue takes longer to grow to that.
const STALL_DELAY: Micros = Micros::from_millis(2_000);
/// It stays stalled while the delay grows by less, in seconds a second.
const STALL_MAX_GROWTH: f64 = 1.5;
/// Delays above this are not believed: a minute, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;

/// The delay of messages at a server, as last heard.
#[derive(Clone, Copy)]
pub(super) struct MessageDelay {
    pub(super) delay: Micros,
    /// When it was heard.
    pub(super) at: Micros,
    /// The server answers nothing, or has resumed and works off its backlog.
    pub(super) stalled: bool,
    /// Growth since the delay before, in seconds a second.
    pub(super) growth: f64,
    /// It does not count until a second set-up confirms it.
    pub(super) unconfirmed: bool,
}

impl MessageDelay {
    fn is_fresh(&self, now: Micros) -> bool {
        now < self.at + DELAY_VALID_FOR
    }

    /// The delay's growth up to a later one, in seconds a second.
    fn growth_to(&self, delay: Micros, now: Micros) -> f64 {
        (delay.as_secs_f64() - self.delay.as_secs_f64()) / (now - self.at).as_secs_f64()
    }
}

/// The delay from which on messages are late.
pub(super) fn high_delay_threshold(settings: &BalancerSettings) -> Micros {
    let objectives = settings
        .classes
        .iter()
        .map(|class| class.message_latency_objective.unwrap_or(class.latency_objective));
    objectives.min().unwrap_or(Micros(0)).scale(HIGH_DELAY_SHARE_OF_OBJECTIVE)
}

impl Policy {
    /// A server reported the delay of its messages, in milliseconds.
    pub(super) fn on_message_delay(&mut self, now: Micros, server: ServerId, ms: f64) {
        self.record_delay(now, server, ms, false);
    }

    fn record_delay(&mut self, now: Micros, server: ServerId, ms: f64, unconfirmed: bool) {
        if !(0.0..=MAX_DELAY_MS).contains(&ms) {
            return;
        }
        let Some(&index) = self.index_by_id.get(&server) else { return };
        let delay = Micros((ms * 1_000.0) as u64);
        let last = self.servers[index].delay.filter(|last| last.is_fresh(now) && now > last.at);
        // Set-ups come at odd moments and show no growth.
        let growing = last.filter(|_| self.settings.servers_report_delay);
        let growth = growing.map_or(0.0, |last| last.growth_to(delay, now));
        let stalled = match last.filter(|last| last.delay >= self.high_delay_threshold) {
            Some(last) => last.stalled && growth < STALL_MAX_GROWTH,
            None => delay >= STALL_DELAY,
        };
        self.servers[index].delay = Some(MessageDelay { delay, at: now, stalled, growth, unconfirmed });
    }

    /// Takes what a set-up took above the usual, in milliseconds, for the delay of messages at its server.
    /// Acts where servers report no delays: a slow server would draw new work and keep its clients.
    pub(super) fn on_setup_excess(
        &mut self,
        now: Micros,
        index: ServerIndex,
        excess_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        let (id, delay_ms) = (self.servers[index].endpoint.id, excess_ms.max(0.0));
        let unconfirmed = self.is_unconfirmed(index, delay_ms);
        self.record_delay(now, id, delay_ms, unconfirmed);
        if self.settings.gossip_allowed && self.has_high_delay(now, index) {
            actions.push(Action::Broadcast([id.0.to_le_bytes(), delay_ms.to_le_bytes()].concat()));
        }
    }

    /// Whether a first delay by a set-up is below a whole objective: one set-up may be long by its own work,
    /// so the next one there has to be long too.
    fn is_unconfirmed(&self, index: ServerIndex, delay_ms: f64) -> bool {
        let threshold_ms = self.high_delay_threshold.as_secs_f64() * 1e3;
        let had_high_delay =
            self.servers[index].delay.is_some_and(|last| last.delay >= self.high_delay_threshold);
        !had_high_delay && (threshold_ms..threshold_ms / HIGH_DELAY_SHARE_OF_OBJECTIVE).contains(&delay_ms)
    }

    /// Another node saw a server late: 16 bytes, the server's number and the delay in milliseconds.
    pub(super) fn on_gossip(&mut self, now: Micros, data: &[u8]) {
        let ([id, delay_ms], []) = data.as_chunks() else { return };
        let server = ServerId(u64::from_le_bytes(*id));
        self.on_message_delay(now, server, f64::from_le_bytes(*delay_ms));
    }

    /// Whether messages at this server are late now.
    pub(super) fn has_high_delay(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let unobserved = server.load.connections.is_empty();
        let valid_for = if unobserved { DELAY_VALID_UNOBSERVED_FOR } else { DELAY_VALID_FOR };
        server.delay.is_some_and(|last| {
            !last.unconfirmed && last.delay >= self.high_delay_threshold && now < last.at + valid_for
        })
    }

    /// Whether a stalled server counts as late only because this node has nothing there that could show
    /// otherwise.
    pub(super) fn has_unobserved_high_delay(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let outdated = server.delay.is_some_and(|last| last.stalled && !last.is_fresh(now));
        server.load.connections.is_empty() && outdated && self.has_high_delay(now, index)
    }
}
