//! Updates about peers: decides which of two updates takes precedence, and applies it (SWIM section 4.2).

use rand::RngExt;

use super::Membership;
use super::datagram::MemberUpdate;
use super::effect::MembershipChange;
use super::peer::MemberState;
use super::record::{InstanceId, MemberRecord};

impl Membership {
    pub(super) fn apply_update(&mut self, update: MemberUpdate) {
        if update.instance() == self.local.instance {
            return self.handle_update_about_self(&update);
        }
        match update {
            MemberUpdate::Alive(record) => self.apply_alive(record),
            MemberUpdate::Suspect { instance, incarnation, reporter } => {
                self.apply_suspect(instance, incarnation, reporter);
            }
            MemberUpdate::Dead { instance, incarnation } => self.apply_dead(instance, incarnation),
            MemberUpdate::Left { instance, incarnation } => self.apply_left(instance, incarnation),
        }
    }

    /// Applies the record of an alive peer.
    pub(super) fn apply_alive(&mut self, record: MemberRecord) {
        let instance = record.instance;
        if instance == self.local.instance {
            return;
        }
        let Some(peer) = self.peers.get(instance) else { return self.add_peer(record) };
        // An instance that has left does not return.
        if record.incarnation <= peer.record.incarnation || peer.state == MemberState::Left {
            return;
        }
        // An instance never changes its name; the index by name depends on that.
        let record = MemberRecord { name: peer.record.name.clone(), ..record };
        let before = self.peers.mark_alive(record.clone(), self.now);
        self.gossip.push(MemberUpdate::Alive(record));
        if before.is_some_and(|state| state != MemberState::Alive) {
            self.report(MembershipChange::Recovered(instance));
        }
        self.check_name_conflict(instance);
    }

    fn add_peer(&mut self, record: MemberRecord) {
        let instance = record.instance;
        self.gossip.push(MemberUpdate::Alive(record.clone()));
        self.peers.insert_alive(record, self.now);
        self.prober.add_to_round(instance, &mut self.rng);
        self.report(MembershipChange::Joined(instance));
        self.check_name_conflict(instance);
    }

    /// Declares a peer dead, because it did not refute a suspicion in time or another instance is at its
    /// address.
    pub(super) fn apply_dead(&mut self, instance: InstanceId, incarnation: u64) {
        let probe_interval = self.rejoin_probe_interval();
        if self.correct_stale_update(instance, incarnation) || !self.peers.is_live(instance) {
            return;
        }
        // Members that receive the update at the same time must not probe for recovery at the same time.
        let elapsed_since_probe = probe_interval.scale(self.rng.random::<f64>());
        self.peers.mark_dead(instance, incarnation, self.now);
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.rejoin_probed_at = self.now - elapsed_since_probe;
        }
        self.gossip.push(MemberUpdate::Dead { instance, incarnation });
        self.report(MembershipChange::Died(instance));
        self.check_name_conflict(instance);
    }

    /// Marks a peer that left the cluster voluntarily.
    fn apply_left(&mut self, instance: InstanceId, incarnation: u64) {
        let Some(peer) = self.peers.get(instance) else { return };
        if incarnation < peer.record.incarnation || peer.state == MemberState::Left {
            return;
        }
        self.peers.mark_left(instance, incarnation, self.now);
        self.gossip.push(MemberUpdate::Left { instance, incarnation });
        self.report(MembershipChange::Left(instance));
        self.check_name_conflict(instance);
    }

    /// Returns whether an update is older than the known record. If so, the known record is gossiped, so that
    /// the sender receives it with the reply.
    pub(super) fn correct_stale_update(&mut self, instance: InstanceId, incarnation: u64) -> bool {
        let Some(peer) = self.peers.get(instance) else { return false };
        let is_stale = incarnation < peer.record.incarnation;
        if is_stale && peer.state == MemberState::Alive {
            self.gossip.push(MemberUpdate::Alive(peer.record.clone()));
        }
        is_stale
    }
}
