//! Receiving: which datagrams are accepted, and what each message leads to.

use std::net::SocketAddr;

use alderstile::types::Micros;

use super::Membership;
use super::datagram::{Datagram, DatagramHeader, MemberUpdate, Message};
use super::effect::{MembershipChange, MembershipEffect};
use super::peer::MemberState;
use super::record::{InstanceId, MemberRecord};

impl Membership {
    /// Handles a datagram. Whatever it is, nothing is believed that was not signed for this very instance.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<MembershipEffect> {
        self.now = self.now.max(now);
        match self.codec.decode(bytes) {
            Ok(datagram) => self.receive(from, datagram),
            Err(error) => self.counters.count_rejected(error),
        }
        self.take_effects()
    }

    fn receive(&mut self, from: SocketAddr, Datagram { header, message, updates }: Datagram) {
        if header.sender == self.local.instance {
            // Its own, sent back by somebody.
            self.counters.wrong_instance += 1;
            return;
        }
        if header.receiver != self.local.instance {
            self.counters.wrong_instance += 1;
            return self.reply_to_wrong_instance(from, header.sender, &message);
        }
        if let Some(record) = sender_record(&message) {
            if record.instance != header.sender {
                self.counters.malformed += 1;
                return;
            }
            self.apply_sender_record(record, header.sequence);
        }
        if !self.accept_sequence(header) {
            return;
        }
        let declared_dead = self.incarnation_declared_dead(&updates);
        updates.into_iter().for_each(|update| self.apply_update(update));
        // A sender that holds this member dead hears otherwise now, where the answer to its message does not bring it.
        let is_answered = matches!(message, Message::Ping { .. } | Message::SyncRequest { .. });
        let is_stale = declared_dead.is_some_and(|incarnation| incarnation < self.local.incarnation);
        if !is_answered && !self.leaving && is_stale {
            self.send_gossip(header.sender);
        }
        self.handle_message(header.sender, message);
    }

    /// A datagram for an earlier instance here, or from before the sender had heard of this one, may be a replay: nothing of
    /// it counts. The sender is told which instance is here; that is not answered in turn.
    fn reply_to_wrong_instance(&mut self, from: SocketAddr, sender: InstanceId, message: &Message) {
        if !matches!(message, Message::Identify { .. }) && !self.leaving {
            let record = self.local.clone();
            self.send_to(from, sender, &Message::Identify { record });
        }
    }

    /// A member states who it is, in a datagram for this very instance.
    fn apply_sender_record(&mut self, record: &MemberRecord, sequence: u64) {
        // A replay must not bring back an old statement.
        let known = self.peers.get(record.instance);
        if known.is_some_and(|peer| !peer.replay_window.is_new(sequence)) {
            return;
        }
        self.replace_instances_at(record);
        self.apply_alive(record.clone());
    }

    /// Where another instance answered before, that one has ended: two can't have one address.
    fn replace_instances_at(&mut self, record: &MemberRecord) {
        let others = self.peers.live_at(record.address).filter(|instance| *instance != record.instance);
        let replaced: Vec<(InstanceId, u64)> = others
            .filter_map(|instance| Some((instance, self.peers.get(instance)?.record.incarnation)))
            .collect();
        for (instance, incarnation) in replaced {
            self.report(MembershipChange::Replaced(instance));
            self.apply_dead(instance, incarnation);
        }
    }

    /// Accepts each sequence number of a known sender once. A sender that is not known identifies itself when it is pinged
    /// next.
    fn accept_sequence(&mut self, header: DatagramHeader) -> bool {
        let Some(sender) = self.peers.get_mut(header.sender) else {
            self.counters.wrong_instance += 1;
            return false;
        };
        if !sender.replay_window.accept(header.sequence) {
            self.counters.replayed += 1;
            return false;
        }
        self.counters.accepted += 1;
        true
    }

    /// The incarnation of this member that the first update saying so holds dead.
    fn incarnation_declared_dead(&self, updates: &[MemberUpdate]) -> Option<u64> {
        updates.iter().find_map(|update| match update {
            MemberUpdate::Dead { instance, incarnation } if *instance == self.local.instance => {
                Some(*incarnation)
            }
            _ => None,
        })
    }

    fn handle_message(&mut self, sender: InstanceId, message: Message) {
        match message {
            Message::Ping { nonce, .. } => self.send(sender, &Message::Ack { nonce }),
            Message::Ack { nonce } => self.handle_ack(nonce),
            Message::PingRequest { nonce, target, address } => {
                self.relay_ping(sender, nonce, target, address);
            }
            Message::Nack { nonce } => self.prober.count_nack(nonce),
            Message::Identify { .. } => self.handle_identify(sender),
            Message::SyncRequest { after, .. } => {
                let page = self.sync_page(after);
                self.send(sender, &page);
            }
            Message::SyncPage { is_last, members } => self.handle_sync_page(sender, is_last, members),
        }
    }

    fn handle_ack(&mut self, nonce: u64) {
        if self.prober.finish(nonce) {
            self.local_health.improve();
        }
        self.relay_ack(nonce);
    }

    /// Another instance is where a datagram was sent, or the sender is new to a member.
    fn handle_identify(&mut self, sender: InstanceId) {
        // Nothing has told it so far that it is held dead.
        if self.peers.get(sender).is_some_and(|peer| peer.state == MemberState::Dead) {
            let nonce = self.new_nonce();
            self.ping(sender, nonce);
        }
        if !self.anti_entropy.is_complete() {
            self.request_sync_page();
        }
    }
}

/// The sender's own record, in the messages that have it.
fn sender_record(message: &Message) -> Option<&MemberRecord> {
    match message {
        Message::Ping { record, .. } | Message::Identify { record } | Message::SyncRequest { record, .. } => {
            Some(record)
        }
        _ => None,
    }
}
