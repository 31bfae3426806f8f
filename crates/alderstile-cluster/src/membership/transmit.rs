//! Sending: piggybacks gossip on datagrams and applies the rate limit.

use std::net::SocketAddr;

use super::Membership;
use super::datagram::{DatagramHeader, MemberUpdate, Message};
use super::effect::MembershipEffect;
use super::gossip::retransmit_limit;
use super::peer::MemberState;
use super::record::InstanceId;
use crate::authentication::MAX_DATAGRAM_BYTES;

/// An upper bound on the number of updates that fit into a datagram, derived from the shortest update.
const MAX_UPDATES: usize = MAX_DATAGRAM_BYTES / 16;

/// The last sequence number, and the number of datagrams sent in this period.
#[derive(Debug, Default)]
pub(super) struct Transmitter {
    last_sequence: u64,
    sent_in_period: u32,
}

impl Transmitter {
    pub fn begin_period(&mut self) {
        self.sent_in_period = 0;
    }

    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    pub fn set_last_sequence(&mut self, sequence: u64) {
        self.last_sequence = sequence;
    }

    /// Returns the sequence number of the next datagram, or `None` if the limit of the period is reached.
    fn next_sequence(&mut self, max_per_period: u32) -> Option<u64> {
        if self.sent_in_period >= max_per_period {
            return None;
        }
        self.sent_in_period += 1;
        self.last_sequence += 1;
        Some(self.last_sequence)
    }
}

impl Membership {
    /// Sends a message to a known peer.
    pub(super) fn send(&mut self, receiver: InstanceId, message: &Message) {
        if let Some(address) = self.peers.get(receiver).map(|peer| peer.record.address) {
            self.send_to(address, receiver, message);
        }
    }

    /// Sends a message to an address. `receiver` is the default instance if no instance at the address is
    /// known.
    pub(super) fn send_to(&mut self, address: SocketAddr, receiver: InstanceId, message: &Message) {
        let Some(sequence) = self.transmitter.next_sequence(self.config.max_datagrams_per_period) else {
            self.counters.rate_limited += 1;
            return;
        };
        let header = DatagramHeader { sender: self.local.instance, receiver, sequence };
        let suspicion = self.suspicion_of(receiver);
        let selected = if receiver_may_be_absent(receiver, message, suspicion.as_ref()) {
            Vec::new()
        } else {
            self.gossip.select(MAX_UPDATES)
        };
        let updates: Vec<&MemberUpdate> = suspicion.iter().chain(self.gossip.updates_at(&selected)).collect();
        let (datagram, written) = self.codec.encode(header, message, &updates);
        let written_gossip = written.saturating_sub(usize::from(suspicion.is_some()));
        self.gossip.mark_sent(&selected[..written_gossip], retransmit_limit(self.live_count()));
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.effects.push(MembershipEffect::Send { to: address, datagram });
    }

    /// Returns the update about the receiver if it is suspected or dead. It is sent first, so that the
    /// receiver can refute it (the buddy system of Lifeguard section IV-C).
    fn suspicion_of(&self, receiver: InstanceId) -> Option<MemberUpdate> {
        let peer = self.peers.get(receiver)?;
        let (instance, incarnation) = (receiver, peer.record.incarnation);
        match peer.state {
            MemberState::Suspect => {
                Some(MemberUpdate::Suspect { instance, incarnation, reporter: self.local.instance })
            }
            MemberState::Dead => Some(MemberUpdate::Dead { instance, incarnation }),
            MemberState::Alive | MemberState::Left => None,
        }
    }
}

/// Whether there may be no receiver. Gossip on such a datagram would be lost but count as sent.
fn receiver_may_be_absent(receiver: InstanceId, message: &Message, suspicion: Option<&MemberUpdate>) -> bool {
    let is_dead = matches!(suspicion, Some(MemberUpdate::Dead { .. }));
    receiver == InstanceId::default() || matches!(message, Message::Ping { .. }) && is_dead
}
