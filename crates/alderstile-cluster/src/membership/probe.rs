//! The failure detector: pings one peer per period, in rounds (SWIM sections 3.1 and 4.3).

use std::collections::BTreeSet;

use alderstile::types::Micros;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::Membership;
use super::datagram::Message;
use super::indirect_probe::INDIRECT_PROBES;
use super::peer::MemberState;
use super::peer_table::PeerTable;
use super::record::InstanceId;

/// The timeout of a direct ping, in periods. After it, other members are asked to ping.
const DIRECT_TIMEOUT_PERIODS: f64 = 0.25;
/// The timeout of a probe including indirect pings, in periods: e/(e-1) - 1. A dead member is then suspected
/// e/(e-1) periods after its death on average, as in the SWIM paper, although the members' periods start at
/// different times.
pub(super) const PROBE_TIMEOUT_PERIODS: f64 = 0.58;
/// The maximum number of periods between two probes that a member with degraded local health sends. Their
/// timeouts are longer, so that several probes are pending at a time. The interval is bounded because a member
/// that is cut off together with few others has to detect that without waiting for the longest timeout in
/// every step of a round.
const MAX_PROBE_INTERVAL_PERIODS: u32 = 3;

/// Selects the peer to probe next, and holds the probes that wait for an answer.
#[derive(Default)]
pub(super) struct Prober {
    round: Vec<InstanceId>,
    /// The index of the next peer in the round.
    position: usize,
    /// A peer suspected by another member, to be probed before the round continues.
    out_of_turn: Option<InstanceId>,
    pending: Vec<Probe>,
    /// The number of periods to skip before the next probe.
    periods_to_skip: u32,
}

/// A probe that waits for an answer.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: InstanceId,
    nonce: u64,
    stage: ProbeStage,
    deadline: Micros,
    /// The number of members asked to ping the target.
    indirect_probes: u32,
    /// The number of those members that have sent a nack.
    nacks: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeStage {
    /// The target was pinged; at the deadline, other members are asked to ping it.
    Direct,
    /// Other members were asked; at the deadline, the target is suspected.
    Indirect,
}

impl Prober {
    pub fn deadlines(&self) -> impl Iterator<Item = Micros> {
        self.pending.iter().map(|probe| probe.deadline)
    }

    pub fn cancel_pending(&mut self) {
        self.pending.clear();
    }

    pub fn probe_out_of_turn(&mut self, target: InstanceId) {
        self.out_of_turn = Some(target);
    }

    /// Inserts a new peer at a random position of the round (SWIM section 4.3), which may already have been
    /// passed. If new peers were inserted only into the remainder of a round that is nearly complete, all
    /// members would ping the peer in the same few periods and no member in the others.
    pub fn add_to_round(&mut self, instance: InstanceId, rng: &mut Pcg64Mcg) {
        let index = rng.random_range(0..=self.round.len());
        self.round.insert(index, instance);
        self.position += usize::from(index < self.position);
    }

    /// Ends the pending probe with this nonce, and returns whether there was one.
    pub fn finish(&mut self, nonce: u64) -> bool {
        let index = self.pending.iter().position(|probe| probe.nonce == nonce);
        index.map(|index| self.pending.swap_remove(index)).is_some()
    }

    pub fn count_nack(&mut self, nonce: u64) {
        if let Some(probe) = self.pending.iter_mut().find(|probe| probe.nonce == nonce) {
            probe.nacks += 1;
        }
    }

    /// Returns whether a probe is due in this period; otherwise counts the period as skipped.
    fn is_due(&mut self, local_health: u32) -> bool {
        if self.periods_to_skip > 0 {
            self.periods_to_skip -= 1;
            return false;
        }
        self.periods_to_skip = local_health.min(MAX_PROBE_INTERVAL_PERIODS - 1);
        true
    }

    fn next_target(&mut self, peers: &PeerTable, rng: &mut Pcg64Mcg) -> Option<InstanceId> {
        let out_of_turn = self.out_of_turn.take().filter(|target| self.may_probe(*target, peers));
        out_of_turn.or_else(|| self.next_in_round(peers, rng))
    }

    /// Returns the next peer of the round, whose random order includes each peer once (SWIM section 4.3).
    fn next_in_round(&mut self, peers: &PeerTable, rng: &mut Pcg64Mcg) -> Option<InstanceId> {
        for _ in 0..2 {
            while let Some(target) = self.round.get(self.position).copied() {
                self.position += 1;
                if self.may_probe(target, peers) {
                    return Some(target);
                }
            }
            self.begin_round(peers, rng);
        }
        None
    }

    /// Begins the next round in the same order, so that two probes of a peer are never further apart than one
    /// round. Peers that have recovered are inserted at random positions.
    fn begin_round(&mut self, peers: &PeerTable, rng: &mut Pcg64Mcg) {
        self.position = 0;
        self.round.retain(|instance| peers.is_live(*instance));
        let already_in_round: BTreeSet<InstanceId> = self.round.iter().copied().collect();
        for (instance, peer) in peers.iter() {
            if peer.state.is_live() && !already_in_round.contains(&instance) {
                self.round.insert(rng.random_range(0..=self.round.len()), instance);
            }
        }
    }

    /// A peer with a pending probe is not probed again.
    fn may_probe(&self, target: InstanceId, peers: &PeerTable) -> bool {
        peers.is_live(target) && self.pending.iter().all(|probe| probe.target != target)
    }
}

impl Membership {
    pub(super) fn begin_probe(&mut self) {
        if !self.prober.is_due(self.local_health.score()) {
            return;
        }
        let Some(target) = self.prober.next_target(&self.peers, &mut self.rng) else { return };
        let nonce = self.new_nonce();
        let deadline = self.probe_deadline(DIRECT_TIMEOUT_PERIODS);
        let stage = ProbeStage::Direct;
        self.prober.pending.push(Probe { target, nonce, stage, deadline, indirect_probes: 0, nacks: 0 });
        self.ping(target, nonce);
    }

    pub(super) fn ping(&mut self, target: InstanceId, nonce: u64) {
        let record = self.local.clone();
        self.send(target, &Message::Ping { nonce, record });
    }

    pub(super) fn handle_probe_timeouts(&mut self) {
        let now = self.now;
        let due: Vec<Probe> = self.prober.pending.extract_if(.., |probe| probe.deadline <= now).collect();
        for probe in due {
            // A target that has died or left in the meantime says nothing about this member's health.
            if !self.peers.is_live(probe.target) {
                continue;
            }
            match probe.stage {
                ProbeStage::Direct => self.begin_indirect_probe(probe),
                ProbeStage::Indirect => self.handle_failed_probe(probe),
            }
        }
    }

    fn begin_indirect_probe(&mut self, mut probe: Probe) {
        probe.indirect_probes = self.request_pings(INDIRECT_PROBES, probe.target, probe.nonce);
        probe.stage = ProbeStage::Indirect;
        probe.deadline = self.probe_deadline(PROBE_TIMEOUT_PERIODS - DIRECT_TIMEOUT_PERIODS);
        self.prober.pending.push(probe);
    }

    fn handle_failed_probe(&mut self, probe: Probe) {
        // Members that do not even send a nack indicate a fault in this member's own network (Lifeguard
        // section IV-A).
        let missing_nacks = probe.indirect_probes.saturating_sub(probe.nacks);
        self.local_health.degrade(if probe.indirect_probes > 0 { missing_nacks } else { 1 });
        let Some(peer) = self.peers.get(probe.target).filter(|peer| peer.state.is_live()) else { return };
        let incarnation = peer.record.incarnation;
        if peer.state == MemberState::Alive {
            self.counters.suspicions_started += 1;
        }
        self.apply_suspect(probe.target, incarnation, self.local.instance);
    }

    fn probe_deadline(&self, periods: f64) -> Micros {
        self.now + self.local_health.scaled_timeout(self.config.period, periods)
    }
}
