//! Message delay: how long messages on open connections wait at a server, and which servers have a
//! high delay.
//!
//! Servers report their delay about once per second while it is high. Where servers do not report
//! delays, the difference between the duration of a connection setup and the typical duration is
//! taken as the message delay. If gossip is allowed, nodes send high delays to each other.

use crate::types::{Action, BalancerSettings, Micros, ServerId};

use super::Policy;
use super::server::ServerIndex;

/// Share of the shortest latency objective at which a delay becomes high. The message latency
/// objective of each class counts, or its connection setup objective if there is none.
pub(super) const HIGH_DELAY_SHARE_OF_OBJECTIVE: f64 = 1.0 / 3.0;
/// How long a delay is valid; it is reported once per second while it is high.
const DELAY_VALID_FOR: Micros = Micros::from_millis(1_600);
/// How long a delay is valid at a server without connections of this node, where no report can show
/// that the delay has ended.
const DELAY_VALID_UNOBSERVED_FOR: Micros = Micros::from_millis(30_000);
/// A delay that is at least this long when it first becomes high indicates a stalled server, because
/// a growing queue would have caused a shorter high delay before.
const STALL_DELAY: Micros = Micros::from_millis(2_000);
/// A server that is known to be stalled counts as stalled until its delay grows at least this fast,
/// in seconds per second.
const STALL_MAX_GROWTH: f64 = 1.5;
/// Maximum valid delay in milliseconds, which is one minute.
const MAX_DELAY_MS: f64 = 60_000.0;

/// Last known message delay of a server.
#[derive(Clone, Copy)]
pub(super) struct MessageDelay {
    pub(super) delay: Micros,
    /// Time of the report.
    pub(super) at: Micros,
    /// Whether the server is stalled, or has resumed and is processing its backlog.
    pub(super) stalled: bool,
    /// Growth since the previous delay, in seconds per second.
    pub(super) growth: f64,
    /// Whether the delay is ignored until a second setup confirms it.
    pub(super) unconfirmed: bool,
}

impl MessageDelay {
    fn is_fresh(&self, now: Micros) -> bool {
        now < self.at + DELAY_VALID_FOR
    }

    /// Returns the growth from this delay to a later one, in seconds per second.
    fn growth_to(&self, delay: Micros, now: Micros) -> f64 {
        (delay.as_secs_f64() - self.delay.as_secs_f64()) / (now - self.at).as_secs_f64()
    }
}

/// Returns the minimum message delay that counts as high.
pub(super) fn high_delay_threshold(settings: &BalancerSettings) -> Micros {
    let objectives = settings
        .classes
        .iter()
        .map(|class| class.message_latency_objective.unwrap_or(class.latency_objective));
    objectives.min().unwrap_or(Micros(0)).scale(HIGH_DELAY_SHARE_OF_OBJECTIVE)
}

impl Policy {
    /// Records the message delay that a server reported, in milliseconds.
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
        // Without delay reports, the growth is taken as 0, because setups occur at irregular times.
        let growing = last.filter(|_| self.settings.servers_report_delay);
        let growth = growing.map_or(0.0, |last| last.growth_to(delay, now));
        let stalled = match last.filter(|last| last.delay >= self.high_delay_threshold) {
            Some(last) => last.stalled && growth < STALL_MAX_GROWTH,
            None => delay >= STALL_DELAY,
        };
        self.servers[index].delay = Some(MessageDelay { delay, at: now, stalled, growth, unconfirmed });
    }

    /// Records the difference between the duration of a setup and the typical duration, in
    /// milliseconds, as the server's message delay. Applies where servers do not report delays.
    /// Without this record, a slow server would receive new connections and keep its clients.
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

    /// Returns whether a delay derived from a setup has to be confirmed by the next setup at the
    /// server. This applies if the delay is high but below the latency objective, and the last
    /// delay was not high. A single setup may take long only because of the work that it requires.
    fn is_unconfirmed(&self, index: ServerIndex, delay_ms: f64) -> bool {
        let threshold_ms = self.high_delay_threshold.as_secs_f64() * 1e3;
        let had_high_delay =
            self.servers[index].delay.is_some_and(|last| last.delay >= self.high_delay_threshold);
        !had_high_delay && (threshold_ms..threshold_ms / HIGH_DELAY_SHARE_OF_OBJECTIVE).contains(&delay_ms)
    }

    /// Handles another node's report of a high delay: 16 bytes with the server's identifier and the
    /// delay in milliseconds.
    pub(super) fn on_gossip(&mut self, now: Micros, data: &[u8]) {
        let ([id, delay_ms], []) = data.as_chunks() else { return };
        let server = ServerId(u64::from_le_bytes(*id));
        self.on_message_delay(now, server, f64::from_le_bytes(*delay_ms));
    }

    /// Returns whether the message delay of a server is currently high.
    pub(super) fn has_high_delay(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let unobserved = server.load.connections.is_empty();
        let valid_for = if unobserved { DELAY_VALID_UNOBSERVED_FOR } else { DELAY_VALID_FOR };
        server.delay.is_some_and(|last| {
            !last.unconfirmed && last.delay >= self.high_delay_threshold && now < last.at + valid_for
        })
    }

    /// Returns whether a server counts as having a high delay only because it was stalled and this
    /// node has no connection there that could show that the stall has ended.
    pub(super) fn has_unobserved_high_delay(&self, now: Micros, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let outdated = server.delay.is_some_and(|last| last.stalled && !last.is_fresh(now));
        server.load.connections.is_empty() && outdated && self.has_high_delay(now, index)
    }
}
