//! Suspicion: a peer that does not answer has time to refute that before it is declared dead (SWIM section
//! 4.2). The time is shorter the more members confirm the suspicion (Lifeguard section IV-B).

use alderstile::types::Micros;
use rand::RngExt;

use super::Membership;
use super::datagram::MemberUpdate;
use super::effect::MembershipChange;
use super::indirect_probe::INDIRECT_PROBES;
use super::peer::{FinalProbe, MemberState, Peer};
use super::probe::PROBE_TIMEOUT_PERIODS;
use super::record::InstanceId;

/// The number of independent confirmations at which a suspicion has the minimum timeout (Lifeguard's K).
const MAX_CONFIRMATIONS: usize = 3;
/// The timeout of an unconfirmed suspicion, as a multiple of the minimum (Lifeguard's beta). A member that is
/// the only one to suspect may itself be cut off.
const MAX_TIMEOUT_FACTOR: f64 = 2.0;
/// The mean number of members that ping a suspect once more before they declare it dead, so that lost gossip
/// does not make a live member dead.
const MEAN_FINAL_PROBERS: f64 = 8.0;
/// The number of periods that all other members wait for the result of these final probes.
const FINAL_PROBE_GRACE_PERIODS: f64 = 2.0;

impl Membership {
    /// Applies a report that a peer did not answer.
    pub(super) fn apply_suspect(&mut self, instance: InstanceId, incarnation: u64, reporter: InstanceId) {
        if self.correct_stale_update(instance, incarnation) {
            return;
        }
        let Some(peer) = self.peers.get_mut(instance) else { return };
        match peer.state {
            MemberState::Alive => self.begin_suspicion(instance, incarnation, reporter),
            MemberState::Suspect => self.confirm_suspicion(instance, incarnation, reporter),
            MemberState::Dead | MemberState::Left => {}
        }
    }

    fn begin_suspicion(&mut self, instance: InstanceId, incarnation: u64, reporter: InstanceId) {
        let final_probe = self.choose_final_probe();
        // The peer may have published records that are not known here, so the incarnation of the report is
        // used.
        let Some(peer) = self.peers.mark_suspect(instance, incarnation, self.now) else { return };
        peer.reporters = vec![reporter];
        peer.final_probe = final_probe;
        self.gossip.push(MemberUpdate::Suspect { instance, incarnation, reporter });
        self.report(MembershipChange::Suspected(instance));
        if reporter != self.local.instance && self.should_probe_early() {
            self.prober.probe_out_of_turn(instance);
        }
    }

    fn confirm_suspicion(&mut self, instance: InstanceId, incarnation: u64, reporter: InstanceId) {
        let Some(peer) = self.peers.get_mut(instance) else { return };
        if peer.reporters.len() <= MAX_CONFIRMATIONS && !peer.reporters.contains(&reporter) {
            peer.reporters.push(reporter);
            self.gossip.push(MemberUpdate::Suspect { instance, incarnation, reporter });
        }
    }

    /// Decides at random whether this member is one of the few that send a final probe.
    fn choose_final_probe(&mut self) -> FinalProbe {
        let chance = MEAN_FINAL_PROBERS / self.live_count() as f64;
        if self.rng.random::<f64>() < chance { FinalProbe::Scheduled } else { FinalProbe::ByOthers }
    }

    /// Decides at random whether this member is one of the few that probe a new suspect out of turn. By such
    /// a probe, a suspect learns of the suspicion soon, or others confirm it soon.
    fn should_probe_early(&mut self) -> bool {
        let peers = self.peers.live_count().max(1) as f64;
        self.rng.random::<f64>() < (MAX_CONFIRMATIONS + 1) as f64 / peers
    }

    /// Returns when a suspect is to receive its final probe or to be declared dead.
    pub(super) fn suspicion_deadline(&self, instance: InstanceId) -> Micros {
        let Some(peer) = self.peers.get(instance) else { return self.now };
        let timeout_at = peer.state_since + self.suspicion_timeout(peer);
        match peer.final_probe {
            FinalProbe::Scheduled => timeout_at - self.config.period.scale(PROBE_TIMEOUT_PERIODS),
            FinalProbe::AwaitingAck(until) => until,
            FinalProbe::ByOthers => timeout_at + self.config.period.scale(FINAL_PROBE_GRACE_PERIODS),
        }
    }

    /// Returns the suspicion timeout. It falls from the maximum to the minimum as members confirm the
    /// suspicion (Lifeguard section IV-B).
    fn suspicion_timeout(&self, suspect: &Peer) -> Micros {
        let shortest = self.config.min_suspicion_timeout(self.live_count());
        let longest = if self.config.local_health { shortest.scale(MAX_TIMEOUT_FACTOR) } else { shortest };
        let confirmations = suspect.reporters.len().saturating_sub(1).min(MAX_CONFIRMATIONS) as f64;
        let fraction = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        longest - (longest - shortest).scale(fraction)
    }

    /// Extends suspicions by a time in which this process could not receive a refutation.
    pub(super) fn extend_suspicions(&mut self, by: Micros) {
        let suspects: Vec<InstanceId> = self.peers.suspects().iter().copied().collect();
        for suspect in suspects {
            if let Some(peer) = self.peers.get_mut(suspect) {
                peer.state_since = peer.state_since + by;
            }
        }
    }

    pub(super) fn handle_suspicion_timeouts(&mut self) {
        let suspects = self.peers.suspects().iter().copied();
        let overdue: Vec<InstanceId> =
            suspects.filter(|suspect| self.suspicion_deadline(*suspect) <= self.now).collect();
        for suspect in overdue {
            let Some(peer) = self.peers.get(suspect) else { continue };
            match peer.final_probe {
                FinalProbe::AwaitingAck(_) => self.apply_dead(suspect, peer.record.incarnation),
                // Suspects that others were to probe are probed here as well, because no result of those
                // probes was received.
                FinalProbe::Scheduled | FinalProbe::ByOthers => self.begin_final_probe(suspect),
            }
        }
    }

    fn begin_final_probe(&mut self, suspect: InstanceId) {
        let until = self.now + self.config.period.scale(PROBE_TIMEOUT_PERIODS);
        if let Some(peer) = self.peers.get_mut(suspect) {
            peer.final_probe = FinalProbe::AwaitingAck(until);
        }
        let nonce = self.new_nonce();
        self.ping(suspect, nonce);
        // Some other members ping the suspect too, so that the loss of one datagram does not make a live
        // member dead.
        self.request_pings(INDIRECT_PROBES - 1, suspect, nonce);
    }
}
