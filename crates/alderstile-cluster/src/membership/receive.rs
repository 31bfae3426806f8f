//! Receiving: decides which datagrams are accepted, and handles their messages.

use std::net::SocketAddr;

use alderstile::types::Micros;

use super::Membership;
use super::datagram::{Datagram, DatagramHeader, MemberUpdate, Message};
use super::effect::{MembershipChange, MembershipEffect};
use super::peer::MemberState;
use super::record::{InstanceId, MemberRecord};

impl Membership {
    /// Handles a received datagram and returns the effects. Only content that was signed for this very
    /// instance is applied.
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
            // The datagram is this member's own, reflected by another host.
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
        // A sender that considers this member dead receives the refutation now, unless the reply to its
        // message contains it.
        let is_answered = matches!(message, Message::Ping { .. } | Message::SyncRequest { .. });
        let is_stale = declared_dead.is_some_and(|incarnation| incarnation < self.local.incarnation);
        if !is_answered && !self.leaving && is_stale {
            self.send_gossip(header.sender);
        }
        self.handle_message(header.sender, message);
    }

    /// Replies to a datagram for an earlier instance at this address, or from a sender that does not know
    /// this instance. Such a datagram may be a replay, so nothing in it is applied. The reply identifies this
    /// instance and is not answered.
    fn reply_to_wrong_instance(&mut self, from: SocketAddr, sender: InstanceId, message: &Message) {
        if !matches!(message, Message::Identify { .. }) && !self.leaving {
            let record = self.local.clone();
            self.send_to(from, sender, &Message::Identify { record });
        }
    }

    /// Applies the sender's record, from a datagram for this very instance.
    fn apply_sender_record(&mut self, record: &MemberRecord, sequence: u64) {
        // A replayed datagram must not restore an old record.
        let known = self.peers.get(record.instance);
        if known.is_some_and(|peer| !peer.replay_window.is_new(sequence)) {
            return;
        }
        self.replace_instances_at(record);
        self.apply_alive(record.clone());
    }

    /// Declares other instances at the sender's address dead, because an address has only one live instance.
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

    /// Accepts each sequence number of a known sender once. Datagrams of unknown senders are rejected; such a
    /// sender identifies itself when it is next pinged.
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

    /// Returns the incarnation of this member in the first update that declares it dead.
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

    /// Handles the record of the instance at an address to which this member sent a datagram for another
    /// instance, or for none.
    fn handle_identify(&mut self, sender: InstanceId) {
        // The ping notifies the sender that it is considered dead; no earlier datagram has done so.
        if self.peers.get(sender).is_some_and(|peer| peer.state == MemberState::Dead) {
            let nonce = self.new_nonce();
            self.ping(sender, nonce);
        }
        if !self.anti_entropy.is_complete() {
            self.request_sync_page();
        }
    }
}

/// Returns the sender's own record, if the message contains it.
fn sender_record(message: &Message) -> Option<&MemberRecord> {
    match message {
        Message::Ping { record, .. } | Message::Identify { record } | Message::SyncRequest { record, .. } => {
            Some(record)
        }
        _ => None,
    }
}
