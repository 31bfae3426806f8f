//! Indirect probes: pings that members send on behalf of one another, to bypass a broken network path (SWIM
//! section 3.1).

use std::collections::BTreeSet;
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::RngExt;

use super::Membership;
use super::datagram::Message;
use super::peer::MemberState;
use super::record::InstanceId;

/// The number of members that are asked to ping a peer that has not answered (k in SWIM section 3.1).
pub(super) const INDIRECT_PROBES: usize = 3;
/// The delay after which a member that relays a ping sends a nack, in periods (Lifeguard section IV-A).
const NACK_DELAY_PERIODS: f64 = 0.2;
/// The maximum number of pending relayed pings, so that requests cannot make a member use unbounded memory.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping sent on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedPing {
    nonce: u64,
    requester: InstanceId,
    requester_nonce: u64,
    /// When to send a nack, or `None` once it was sent.
    nack_at: Option<Micros>,
    expires_at: Micros,
}

impl RelayedPing {
    pub fn next_deadline(&self) -> Micros {
        self.nack_at.unwrap_or(self.expires_at)
    }
}

impl Membership {
    /// Asks up to `count` members to ping a peer on behalf of this one, and returns how many were asked.
    pub(super) fn request_pings(&mut self, count: usize, target: InstanceId, nonce: u64) -> u32 {
        let Some(address) = self.peers.get(target).map(|peer| peer.record.address) else { return 0 };
        let relays = self.random_alive_peers(count, target);
        for relay in &relays {
            self.send(*relay, &Message::PingRequest { nonce, target, address });
        }
        relays.len() as u32
    }

    /// Returns up to `count` alive peers other than `excluded`, chosen at random, in instance order.
    pub(super) fn random_alive_peers(&mut self, count: usize, excluded: InstanceId) -> Vec<InstanceId> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.state == MemberState::Alive);
        let alive: Vec<InstanceId> =
            alive.map(|(instance, _)| instance).filter(|instance| *instance != excluded).collect();
        let mut sample = BTreeSet::new();
        // Few peers are chosen from many: repeating a draw is cheaper than shuffling all of them.
        for _ in 0..4 * count {
            if sample.len() < count.min(alive.len()) {
                sample.insert(alive[self.rng.random_range(0..alive.len())]);
            }
        }
        sample.into_iter().collect()
    }

    pub(super) fn relay_ping(
        &mut self,
        requester: InstanceId,
        requester_nonce: u64,
        target: InstanceId,
        address: SocketAddr,
    ) {
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS || target == self.local.instance {
            return;
        }
        let nonce = self.new_nonce();
        let nack_at = Some(self.now + self.config.period.scale(NACK_DELAY_PERIODS));
        let expires_at = self.now + self.config.period;
        self.relayed_pings.push(RelayedPing { nonce, requester, requester_nonce, nack_at, expires_at });
        let record = self.local.clone();
        self.send_to(address, target, &Message::Ping { nonce, record });
    }

    /// Forwards the ack of a relayed ping to the member that requested it.
    pub(super) fn relay_ack(&mut self, nonce: u64) {
        let Some(index) = self.relayed_pings.iter().position(|relayed| relayed.nonce == nonce) else {
            return;
        };
        let relayed = self.relayed_pings.swap_remove(index);
        self.send(relayed.requester, &Message::Ack { nonce: relayed.requester_nonce });
    }

    pub(super) fn send_due_nacks(&mut self) {
        let now = self.now;
        let mut unanswered = Vec::new();
        for relayed in &mut self.relayed_pings {
            if relayed.nack_at.is_some_and(|at| at <= now) {
                relayed.nack_at = None;
                unanswered.push(*relayed);
            }
        }
        self.relayed_pings.retain(|relayed| relayed.expires_at > now);
        for relayed in unanswered {
            self.send(relayed.requester, &Message::Nack { nonce: relayed.requester_nonce });
        }
    }
}
