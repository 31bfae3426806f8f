//! Cluster membership: failure detection and dissemination by SWIM (Das, Gupta, Motivala 2002), with the
//! local health score of Lifeguard (Dadgar, Phillips, Currey 2018).
//!
//! In every period, a member pings one peer, in a random order that includes each peer once per round. If the
//! peer does not answer, the member asks others to ping it, and then suspects it. A peer that is suspected
//! for the suspicion timeout and does not refute it is dead. Updates are gossiped on pings and acks. A member
//! whose probes fail, or that was suspected although it is alive, slows down its probes.
//!
//! Bounds for N members and the period T: a member sends at most
//! [`MembershipConfig::max_datagrams_per_period`] datagrams per period, each of at most
//! [`crate::authentication::MAX_DATAGRAM_BYTES`] bytes. A member that dies is suspected after e/(e-1) T on
//! average, and is dead in all views after about another [`MembershipConfig::min_suspicion_timeout`].
//!
//! # Note
//! The state machine has no I/O and no clock. The caller drives it by [`Membership::handle_datagram`] and
//! [`Membership::handle_timeout`], and carries out the effects that they return.

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

/// One member's view of the cluster, and the state of the protocol that maintains it.
pub struct Membership {
    config: MembershipConfig,
    codec: DatagramCodec,
    local: MemberRecord,
    rng: Pcg64Mcg,
    /// The latest time passed by a caller. If the clock goes back, this time stays until the clock catches up.
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
    /// The effects of the current call, in order.
    effects: Vec<MembershipEffect>,
}

impl Membership {
    /// Creates a member that knows only its seeds. `local` must be valid ([`MemberRecord::validate`]).
    pub fn new(
        config: MembershipConfig,
        codec: DatagramCodec,
        local: MemberRecord,
        seeds: Vec<SocketAddr>,
        random_seed: u64,
        now: Micros,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(random_seed);
        // Members that start together must not ping at the same time.
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

    /// Adds members that are already known, before the first call.
    pub fn with_known_members(mut self, records: impl IntoIterator<Item = MemberRecord>) -> Self {
        records.into_iter().for_each(|record| self.apply_alive(record));
        // The records come from other members, so they are neither gossiped nor reported.
        self.gossip = GossipQueue::default();
        self.effects.clear();
        self.anti_entropy.set_complete(self.peers.live_count() > 0);
        self
    }

    /// Continues the sequence numbers of another process of the same instance, after its last datagram.
    pub fn resuming_after(mut self, sequence: u64) -> Self {
        self.transmitter.set_last_sequence(sequence);
        self
    }

    /// Returns the record that this member publishes about itself.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns the sequence number of the last datagram sent.
    pub fn last_sequence(&self) -> u64 {
        self.transmitter.last_sequence()
    }

    /// Returns the peers in instance order, including remembered peers that are dead or have left.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().map(|(_, peer)| peer)
    }

    /// Returns a peer by its instance.
    pub fn peer(&self, instance: InstanceId) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Returns the number of live members in this view, including this one.
    pub fn live_count(&self) -> usize {
        self.peers.live_count() + 1
    }

    /// Returns the number of members by state, and the counters.
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

    /// Returns the names that two live instances use.
    pub fn name_conflicts(&self) -> &BTreeSet<Box<str>> {
        &self.name_conflicts
    }

    /// Returns the local health score: 0 is healthy, 8 is the worst (Lifeguard section IV-A).
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// Returns the counters of datagrams and decisions.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Replaces the codec, to sign and verify with other keys.
    pub fn set_codec(&mut self, codec: DatagramCodec) {
        self.codec = codec;
    }

    /// Returns a nonce that no other ping of any instance uses, so that the ack of another ping is not
    /// mistaken for the ack of this one.
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
