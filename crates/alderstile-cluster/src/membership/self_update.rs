//! Updates about this member: published records, refutations and leaving.

use alderstile::types::Micros;

use super::Membership;
use super::datagram::{MemberUpdate, Message};
use super::effect::{MembershipChange, MembershipEffect};
use super::indirect_probe::INDIRECT_PROBES;
use super::record::{InstanceId, RecordError};

/// The number of peers that are notified of a refutation or of leaving at once, without waiting for a ping.
const IMMEDIATE_GOSSIP_PEERS: usize = 2 * INDIRECT_PROBES;

impl Membership {
    /// Publishes the digest of the configuration that this member now runs with.
    pub fn set_config_digest(&mut self, digest: u64) {
        if self.local.config_digest != digest {
            self.local.config_digest = digest;
            self.announce_new_incarnation();
        }
    }

    /// Publishes metadata of this member under a tag, or removes it if `value` is empty.
    ///
    /// # Errors
    /// Returns an error if the metadata would be too long; nothing changes then.
    pub fn set_metadata(&mut self, tag: u8, value: &[u8]) -> Result<(), RecordError> {
        if self.local.metadata_value(tag).unwrap_or_default() != value {
            self.local.set_metadata(tag, value)?;
            self.announce_new_incarnation();
        }
        Ok(())
    }

    /// Leaves the cluster. Some peers are notified at once, and gossip the update to the others.
    pub fn leave(&mut self, now: Micros) -> Vec<MembershipEffect> {
        self.now = self.now.max(now);
        self.leaving = true;
        self.raise_incarnation_above(self.local.incarnation);
        let (instance, incarnation) = (self.local.instance, self.local.incarnation);
        self.gossip.push(MemberUpdate::Left { instance, incarnation });
        self.gossip_immediately();
        self.take_effects()
    }

    pub(super) fn handle_update_about_self(&mut self, update: &MemberUpdate) {
        match update {
            MemberUpdate::Suspect { incarnation, .. } | MemberUpdate::Dead { incarnation, .. } => {
                self.refute(*incarnation);
            }
            // The update repeats an earlier datagram of this member, or comes from a process that wrongly
            // uses its instance.
            MemberUpdate::Alive(_) | MemberUpdate::Left { .. } => {}
        }
    }

    /// Refutes a suspicion by a higher incarnation (SWIM section 4.2), and notifies some peers at once.
    fn refute(&mut self, suspected_incarnation: u64) {
        if self.leaving {
            return;
        }
        if suspected_incarnation < self.local.incarnation {
            // The refutation was published before but has not reached all members. A member that sends the
            // suspicion with a ping receives the refutation with the ack.
            return self.gossip.push(MemberUpdate::Alive(self.local.clone()));
        }
        self.raise_incarnation_above(suspected_incarnation);
        self.counters.refutations += 1;
        // A member that was suspected although it is alive may be slow itself (Lifeguard section IV-A).
        self.local_health.degrade(1);
        self.gossip.push(MemberUpdate::Alive(self.local.clone()));
        self.gossip_immediately();
        self.report(MembershipChange::Refuted);
    }

    fn announce_new_incarnation(&mut self) {
        self.raise_incarnation_above(self.local.incarnation);
        self.gossip.push(MemberUpdate::Alive(self.local.clone()));
    }

    /// Saturates, because only a faulty member uses the highest incarnation, and it must not make this one
    /// panic.
    fn raise_incarnation_above(&mut self, incarnation: u64) {
        self.local.incarnation = incarnation.saturating_add(1);
    }

    fn gossip_immediately(&mut self) {
        for receiver in self.random_alive_peers(IMMEDIATE_GOSSIP_PEERS, InstanceId::default()) {
            self.send_gossip(receiver);
        }
    }

    /// Sends updates without waiting for a ping, on a sync page without members.
    pub(super) fn send_gossip(&mut self, receiver: InstanceId) {
        self.send(receiver, &Message::SyncPage { is_last: false, members: Vec::new() });
    }
}
