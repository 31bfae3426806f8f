//! Message delay: which servers answer late.

use crate::types::{Action, BalancerSettings, Micros, ServerId};

use super::Policy;

/// The reactive trigger: messages take this share of the shortest message aim, from which on they are told.
pub(super) const LATE_SHARE_OF_OBJECTIVE: f64 = 1.0 / 3.0;

/// A told delay counts this long; notes come once a second while messages are late.
const DELAY_VALID_FOR: Micros = Micros::from_millis(1_600);

/// The same for a server that holds none of this node's connections.
const DELAY_VALID_UNOBSERVED_FOR: Micros = Micros::from_millis(30_000);

/// Messages that take this long at once, and longer no faster than time passes, wait for a server that stands
/// still: a queue that grows to that between two notes goes on growing so. The second in seconds a second.
const STALL_DELAY: Micros = Micros::from_millis(2_000);

const STALL_MAX_GROWTH: f64 = 1.5;

/// Delays above this are no delays: a minute.
const MAX_DELAY_MS: f64 = 60_000.0;

/// From which delay on a server's messages are late.
pub(super) fn late_threshold(settings: &BalancerSettings) -> Micros {
    let shortest =
        settings.classes.iter().map(|c| c.message_latency_objective.unwrap_or(c.latency_objective)).min();
    shortest.unwrap_or(Micros(0)).scale(LATE_SHARE_OF_OBJECTIVE)
}

/// What was told of the time that messages take at a server.
#[derive(Clone, Copy)]
pub(super) struct MessageDelay {
    /// That time.
    pub(super) delay: Micros,
    pub(super) at: Micros,
    /// It stands still, or did until it works off what has piled up.
    pub(super) stalled: bool,
    /// Seconds by which it grew each second, from the note before.
    pub(super) growth: f64,
    /// It does not count yet.
    pub(super) unconfirmed: bool,
}

impl Policy {
    pub(super) fn on_message_delay(&mut self, now: Micros, server: ServerId, ms: f64, doubt: bool) {
        let known = self.index_by_id.get(&server).filter(|_| (0.0..=MAX_DELAY_MS).contains(&ms));
        let Some(&index) = known else { return };
        let span = Micros((ms * 1_000.0) as u64);
        let last = self.servers[index].delay.filter(|last| now < last.at + DELAY_VALID_FOR && now > last.at);
        let grown =
            |d: MessageDelay| (span.as_secs_f64() - d.delay.as_secs_f64()) / (now - d.at).as_secs_f64();
        // Set-ups at odd moments tell nothing of a growth.
        let growth = last.filter(|_| self.settings.servers_report_delay).map_or(0.0, grown);
        let before = last.filter(|d| d.delay >= self.late_threshold);
        let still = before.map_or(span >= STALL_DELAY, |d| d.stalled && growth < STALL_MAX_GROWTH);
        self.servers[index].delay =
            Some(MessageDelay { delay: span, at: now, stalled: still, growth, unconfirmed: doubt });
    }

    /// Guards against a slow server that draws new work and keeps its clients because nothing tells that its
    /// messages are late: what a set-up takes above the usual is taken for what a message waits there. One
    /// node's set-ups are few, so the others hear of it.
    pub(super) fn on_setup_excess(
        &mut self,
        now: Micros,
        index: usize,
        above: f64,
        actions: &mut Vec<Action>,
    ) {
        let (id, waits) = (self.servers[index].endpoint.id, above.max(0.0));
        // Below a whole aim one may be long by its own work: the next there, due now, has to be long too.
        let bar = self.late_threshold.as_secs_f64() * 1e3;
        let before = self.servers[index].delay.is_some_and(|d| d.delay >= self.late_threshold);
        let doubt = !before && (bar..bar / LATE_SHARE_OF_OBJECTIVE).contains(&waits);
        self.on_message_delay(now, id, waits, doubt);
        if self.settings.gossip_allowed && self.is_late(now, index) {
            actions.push(Action::Broadcast([id.0.to_le_bytes(), waits.to_le_bytes()].concat()));
        }
    }

    /// Another node saw messages wait long: the server's number and the milliseconds, in 16 bytes.
    pub(super) fn on_gossip(&mut self, now: Micros, data: &[u8]) {
        let ([id, span], []) = data.as_chunks() else { return };
        self.on_message_delay(now, ServerId(u64::from_le_bytes(*id)), f64::from_le_bytes(*span), false);
    }

    /// Whether messages at this server are late now.
    pub(super) fn is_late(&self, now: Micros, index: usize) -> bool {
        // Where this node holds nothing no note can tell that it is over, and trying costs a client.
        let server = &self.servers[index];
        let fresh =
            if server.load.connections.is_empty() { DELAY_VALID_UNOBSERVED_FOR } else { DELAY_VALID_FOR };
        server.delay.is_some_and(|d| !d.unconfirmed && d.delay >= self.late_threshold && now < d.at + fresh)
    }

    /// Whether it is only taken for late because nothing has told otherwise.
    pub(super) fn is_late_unobserved(&self, now: Micros, index: usize) -> bool {
        let old = |d: MessageDelay| d.stalled && now >= d.at + DELAY_VALID_FOR;
        self.servers[index].load.connections.is_empty()
            && self.servers[index].delay.is_some_and(old)
            && self.is_late(now, index)
    }
}
