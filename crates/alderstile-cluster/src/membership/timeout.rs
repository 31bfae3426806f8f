//! Timeouts: the next deadline, the actions that are due, and the protocol period.

use alderstile::types::Micros;

use super::Membership;
use super::anti_entropy::SYNC_INTERVAL_PERIODS;
use super::effect::{MembershipChange, MembershipEffect};

/// The delay of a timeout, in periods, above which the process is considered to have been stalled, that is,
/// not scheduled.
const STALL_THRESHOLD_PERIODS: f64 = 0.5;

impl Membership {
    /// Returns when [`Membership::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Micros {
        let probes = self.prober.deadlines();
        let nacks = self.relayed_pings.iter().map(|relayed| relayed.next_deadline());
        let suspicions = self.peers.suspects().iter().map(|instance| self.suspicion_deadline(*instance));
        probes.chain(nacks).chain(suspicions).fold(self.next_period_at, Micros::min)
    }

    /// Performs all actions that are due, and returns the effects.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<MembershipEffect> {
        let delay = now - self.next_timeout();
        self.now = self.now.max(now);
        if delay > self.config.period.scale(STALL_THRESHOLD_PERIODS) {
            self.recover_from_stall(delay);
        }
        self.send_due_nacks();
        self.handle_probe_timeouts();
        self.handle_suspicion_timeouts();
        if self.next_period_at <= self.now {
            self.begin_period();
        }
        self.take_effects()
    }

    /// Adjusts the state after the process was stopped or its machine was suspended: messages missed in that
    /// time say nothing about other members.
    fn recover_from_stall(&mut self, delay: Micros) {
        self.prober.cancel_pending();
        self.relayed_pings.clear();
        self.local_health.degrade(1);
        self.extend_suspicions(delay);
        self.report(MembershipChange::Stalled(delay));
    }

    fn begin_period(&mut self) {
        self.periods += 1;
        self.next_period_at = self.now + self.config.period;
        self.transmitter.begin_period();
        self.anti_entropy.begin_period();
        self.remove_expired_peers();
        if self.leaving {
            return;
        }
        self.contact_seeds();
        self.probe_dead_peer();
        if !self.anti_entropy.is_complete() || self.periods.is_multiple_of(SYNC_INTERVAL_PERIODS) {
            self.request_sync_page();
        }
        self.begin_probe();
    }

    /// Removes peers that have been dead or left for the retention time. Until then they are remembered, so
    /// that delayed gossip does not add them again.
    fn remove_expired_peers(&mut self) {
        if !self.periods.is_multiple_of(SYNC_INTERVAL_PERIODS) {
            return;
        }
        for instance in self.peers.dead_or_left_before(self.now - self.config.dead_retention) {
            self.peers.remove(instance);
            self.gossip.remove(instance);
        }
    }
}
