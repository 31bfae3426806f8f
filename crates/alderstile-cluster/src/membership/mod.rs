//! Membership: who is in the cluster. Failure detection and dissemination after SWIM (Das, Gupta, Motivala 2002), with the
//! local health of Lifeguard (Dadgar, Phillips, Currey 2018).
//!
//! Every period a member pings one other, in an order that is random but names each once a round. Without an answer it has
//! others ping for it, and then suspects: whom everyone suspects for long enough, without a refutation, is dead. All of that
//! is gossiped on the pings and their answers. A member whose own probes fail, or who was suspected though it is alive, slows
//! its probes down.
//!
//! Bounds, with N members and the period T: a member sends at most [`MembershipConfig::max_datagrams_per_period`] datagrams a
//! period of at most [`crate::authentication::MAX_DATAGRAM_BYTES`] bytes; a member that dies is suspected after e/(e-1) T in
//! the mean, and is dead to all after about [`MembershipConfig::min_suspicion_timeout`] more.
//!
//! # Note
//! The state machine has no I/O and no clock: [`Membership::handle_datagram`] and [`Membership::handle_timeout`] drive it, and
//! the caller carries out the effects that they return.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

mod anti_entropy;
mod codec;
mod config;
mod datagram;
mod effect;
mod gossip;
mod indirect_probe;
mod join;
mod local_health;
mod name_conflict;
mod peer;
mod peer_table;
mod probe;
mod receive;
mod record;
mod rejoin;
mod replay_window;
mod self_update;
mod stats;
mod suspicion;
mod timeout;
mod transmit;
mod update;

pub use codec::DatagramCodec;
pub use config::MembershipConfig;
pub use datagram::{Datagram, DatagramHeader, MemberUpdate, Message};
pub use effect::{MembershipChange, MembershipEffect};
pub use peer::{MemberState, Peer};
pub use record::{InstanceId, MAX_METADATA_BYTES, MAX_NAME_BYTES, MAX_ZONE_BYTES, MemberRecord, RecordError};
pub use stats::{MembershipCounters, MembershipStats};

use anti_entropy::AntiEntropy;
use gossip::GossipQueue;
use indirect_probe::RelayedPing;
use join::SeedContact;
use local_health::LocalHealth;
use peer_table::PeerTable;
use probe::Prober;
use transmit::Transmitter;

/// One member's view of the cluster, and the protocol that maintains it.
pub struct Membership {
    config: MembershipConfig,
    codec: DatagramCodec,
    local: MemberRecord,
    rng: Pcg64Mcg,
    /// The latest moment that a call has named: a clock that goes back stands still until it is where it was.
    now: Micros,
    peers: PeerTable,
    name_conflicts: BTreeSet<Box<str>>,
    gossip: GossipQueue,
    prober: Prober,
    relayed_pings: Vec<RelayedPing>,
    local_health: LocalHealth,
    anti_entropy: AntiEntropy,
    seeds: SeedContact,
    transmitter: Transmitter,
    last_nonce: u64,
    periods: u64,
    next_period_at: Micros,
    leaving: bool,
    counters: MembershipCounters,
    /// What the call that runs wants done, in order.
    effects: Vec<MembershipEffect>,
}

impl Membership {
    /// A member that knows its seeds at most. `local` must have been validated ([`MemberRecord::validate`]).
    pub fn new(
        config: MembershipConfig,
        codec: DatagramCodec,
        local: MemberRecord,
        seeds: Vec<SocketAddr>,
        random_seed: u64,
        now: Micros,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(random_seed);
        // Members that start together must not ping together.
        let next_period_at = now + config.period.scale(rng.random::<f64>());
        let seeds = SeedContact::new(seeds, local.address, &mut rng);
        Membership {
            config,
            codec,
            local,
            rng,
            now,
            peers: PeerTable::default(),
            name_conflicts: BTreeSet::new(),
            gossip: GossipQueue::default(),
            prober: Prober::default(),
            relayed_pings: Vec::new(),
            local_health: LocalHealth::new(config.local_health),
            anti_entropy: AntiEntropy::new(),
            seeds,
            transmitter: Transmitter::default(),
            last_nonce: 0,
            periods: 0,
            next_period_at,
            leaving: false,
            counters: MembershipCounters::default(),
            effects: Vec::new(),
        }
    }

    /// Begins with members that are known already.
    pub fn with_known_members(mut self, records: impl IntoIterator<Item = MemberRecord>) -> Self {
        records.into_iter().for_each(|record| self.apply_alive(record));
        // All that is known was heard from others: nothing of it is to be gossiped or reported.
        self.gossip = GossipQueue::default();
        self.effects.clear();
        self.anti_entropy.set_complete(self.peers.live_count() > 0);
        self
    }

    /// Continues in place of another process of the same instance, whose last datagram had this sequence number.
    pub fn resuming_after(mut self, sequence: u64) -> Self {
        self.transmitter.set_last_sequence(sequence);
        self
    }

    /// What this member states of itself.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// The sequence number of the last datagram sent.
    pub fn last_sequence(&self) -> u64 {
        self.transmitter.last_sequence()
    }

    /// The peers by rising instances; also the dead and those that left, while they are remembered.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().map(|(_, peer)| peer)
    }

    /// One of the peers.
    pub fn peer(&self, instance: InstanceId) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Members that are alive as far as is known, this one included.
    pub fn live_count(&self) -> usize {
        self.peers.live_count() + 1
    }

    /// The view by state, and the counters.
    pub fn stats(&self) -> MembershipStats {
        MembershipStats {
            alive: self.live_count() - self.peers.suspects().len(),
            suspect: self.peers.suspects().len(),
            dead: self.peers.dead().len(),
            name_conflicts: self.name_conflicts.len(),
            local_health: self.local_health.score(),
            counters: self.counters,
        }
    }

    /// Names that two live instances have.
    pub fn name_conflicts(&self) -> &BTreeSet<Box<str>> {
        &self.name_conflicts
    }

    /// How far this member distrusts its own probes: 0 not at all, 8 at worst (Lifeguard section IV-A).
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// What was sent and received.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Signs and verifies with other keys from now on.
    pub fn set_codec(&mut self, codec: DatagramCodec) {
        self.codec = codec;
    }

    /// A number that no other ping of any instance has: an answer to another one's must not pass for an answer to this.
    fn new_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce ^ self.local.instance.0
    }

    fn report(&mut self, change: MembershipChange) {
        self.effects.push(MembershipEffect::Changed(change));
    }

    fn take_effects(&mut self) -> Vec<MembershipEffect> {
        std::mem::take(&mut self.effects)
    }
}
