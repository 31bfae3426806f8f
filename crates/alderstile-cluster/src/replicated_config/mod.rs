//! Replicated, versioned configuration: one document that the voters commit and all members receive, with at
//! most one version in use at any time.
//!
//! The core does no I/O: time, datagrams and randomness are arguments, and [`Effect`]s are returned. [`Raft`]
//! commits versions, a tree over the members distributes them, and leases (Gray and Cheriton 1989) determine
//! when a version is active. `docs/replicated-config.md` describes the design and derives the bounds.
//!
//! A node *acts on* a version from its activation at that node until its lease expires or a later version
//! becomes active. The lease lasts [`ReplicationSettings::lease`] from a time at which that version was the
//! latest, on this node's clock: the sender of an announcement echoes the receiver's own clock, so neither
//! transit times nor clock offsets matter. A version becomes active [`ReplicationSettings::activation_delay`]
//! after its commit. By then, every lease on the previous version has expired.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::authentication::DecodeError;

mod activation;
mod chunked_transfer;
mod codec;
mod delta;
mod effect;
mod message;
mod proposal;
mod raft;
mod raft_driver;
mod settings;
mod subscription;
mod wire;

pub use activation::LeaseState;
pub use chunked_transfer::{ChunkOutcome, ChunkedTransfer};
pub use delta::{apply_delta, encode_delta};
pub use effect::{Effect, PersistedState, TrafficCounters};
pub use message::{
    Announcement, AppendEntry, AppendReply, Chunk, ChunkRequest, LogPosition, MAX_CHUNK, MAX_DOCUMENT,
    MAX_REASON, Message, ProposalOutcome, ProposalRequest, RaftMessage, RaftPayload, VersionHeader,
};
pub use proposal::{InvalidDocument, ValidateDocument};
pub use raft::{FetchFromVoter, HardState, Raft, RaftEffects, Role, StepTime};
pub use settings::{MAX_VOTERS, ReplicationSettings};
pub use wire::DatagramCodec;

use activation::{ActiveVersion, CommittedVersion};
use proposal::Proposals;
use subscription::{Subscriber, Upstream};

/// One node's replica of the configuration.
pub struct ReplicatedConfig {
    settings: ReplicationSettings,
    voters_digest: u64,
    codec: DatagramCodec,
    validate: ValidateDocument,
    rng: Pcg64Mcg,
    now: Micros,
    /// Added to this process's clock in messages, so that echoes of an earlier process's clock are never
    /// valid.
    clock_offset_us: u64,
    raft: Option<Raft>,
    documents: ChunkedTransfer,
    committed: CommittedVersion,
    active: ActiveVersion,
    /// The last version returned as [`Effect::VersionCommitted`].
    reported_version: u64,
    upstream: Upstream,
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    proposals: Proposals,
    traffic: TrafficCounters,
}

impl ReplicatedConfig {
    /// Creates a node that knows no version, or a voter with its persisted state.
    pub fn new(
        settings: ReplicationSettings,
        codec: DatagramCodec,
        stored: Option<PersistedState>,
        validate: ValidateDocument,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut documents = ChunkedTransfer::default();
        documents.insert(Vec::new(), &[]);
        let hard_state = stored.map(|stored| {
            documents.insert(stored.document, &[]);
            stored.hard_state
        });
        let raft = settings.local_voter.map(|id| {
            let rng = Pcg64Mcg::seed_from_u64(rng.random());
            Raft::new(id, settings.voters.len(), settings.heartbeat, hard_state, rng, now)
        });
        let genesis = HardState::genesis().entry;
        let clock_offset_us = rng.random_range(1 << 61..1 << 62);
        let subscribe_at = now + settings.heartbeat.scale(rng.random::<f64>());
        let presumed_leader = rng.random_range(0..settings.voters.len().max(1)) as u8;
        ReplicatedConfig {
            voters_digest: settings.voters_digest(),
            settings,
            codec,
            validate,
            rng,
            now,
            clock_offset_us,
            raft,
            documents,
            committed: CommittedVersion::new(genesis),
            active: ActiveVersion { header: genesis, latest_at: None },
            reported_version: 0,
            upstream: Upstream::new(now, subscribe_at),
            subscribers: BTreeMap::new(),
            proposals: Proposals::new(presumed_leader),
            traffic: TrafficCounters::default(),
        }
    }

    /// Returns this voter's role, or `None` if this node is not a voter.
    pub fn role(&self) -> Option<Role> {
        self.raft.as_ref().map(Raft::role)
    }

    /// Returns the index of the leader, if this voter knows it.
    pub fn leader(&self) -> Option<u8> {
        self.raft.as_ref().and_then(Raft::leader)
    }

    /// Returns this voter's hard state.
    pub fn hard_state(&self) -> Option<&HardState> {
        self.raft.as_ref().and_then(Raft::hard_state)
    }

    /// Returns the number of nodes that this one sends announcements to.
    pub fn subscriber_count(&self) -> usize {
        self.subscribers.len()
    }

    /// Returns the datagram counters.
    pub fn traffic(&self) -> TrafficCounters {
        self.traffic
    }

    /// Replaces the codec, and with it the authentication keys.
    pub fn set_codec(&mut self, codec: DatagramCodec) {
        self.codec = codec;
    }

    /// Handles a failure to persist the hard state: the voter becomes a learner, as if it had lost the state.
    pub fn handle_persist_failure(&mut self, now: Micros) {
        let now = self.now.max(now);
        if let Some(raft) = &mut self.raft {
            raft.handle_persist_failure(now);
        }
    }

    /// Returns when [`ReplicatedConfig::tick`] is next due.
    pub fn next_timeout(&self) -> Micros {
        let raft = self.raft.as_ref().map(Raft::next_timeout);
        let proposal = self.proposals.retransmit_at();
        let activation = self.activates_at();
        let subscribe = (!self.receives_appends()).then_some(self.upstream.subscribe_at());
        let timeouts = raft
            .into_iter()
            .chain(proposal)
            .chain(activation)
            .chain(subscribe)
            .chain(self.documents.next_timeout());
        // Without any timeout, the caller checks again after a lease.
        timeouts.min().unwrap_or(self.now + self.settings.lease)
    }

    /// Runs everything that is due. If `now` goes backwards, the core's time stays where it is.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut effects = Vec::new();
        self.drive_raft(&mut effects, |raft, time, _, raft_effects| raft.tick(time, raft_effects));
        for (to, request) in self.documents.tick(self.now) {
            self.send(&mut effects, to, &Message::ChunkRequest(request));
        }
        if self.proposals.retransmit_at().is_some_and(|retransmit_at| retransmit_at <= self.now) {
            self.submit_proposal(&mut effects);
        }
        if !self.receives_appends() && self.upstream.subscribe_at() <= self.now {
            self.subscribe(&mut effects);
        }
        self.activate(&mut effects);
        effects
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut effects = Vec::new();
        match self.codec.decode(bytes) {
            Ok(message) => {
                self.traffic.received += 1;
                self.traffic.received_bytes += bytes.len() as u64;
                self.handle_message(from, message, &mut effects);
            }
            Err(DecodeError::Unauthenticated) => self.traffic.foreign += 1,
            Err(DecodeError::Malformed) => self.traffic.malformed += 1,
            Err(DecodeError::UnsupportedFormat) => self.traffic.newer_format += 1,
        }
        effects
    }

    fn handle_message(&mut self, from: SocketAddr, message: Message, effects: &mut Vec<Effect>) {
        match message {
            Message::Raft { voters_digest, from, .. } if voters_digest != self.voters_digest => {
                self.traffic.foreign += 1;
                effects.push(Effect::VoterListMismatch { voter: from });
            }
            Message::Raft { from, term, payload, .. } => {
                self.handle_raft_message(RaftMessage { peer: from, term, payload }, effects);
            }
            Message::Subscribe { clock_us, .. } => self.handle_subscribe(from, clock_us, effects),
            Message::Announce(announcement) => self.handle_announcement(from, announcement, effects),
            Message::ChunkRequest(request) => {
                for chunk in self.documents.chunks(request) {
                    self.send(effects, from, &Message::Chunk(chunk));
                }
            }
            Message::Chunk(chunk) => self.handle_chunk(&chunk, effects),
            Message::Propose(request) => self.handle_propose(from, request, effects),
            Message::ProposeReply { nonce, outcome } => self.handle_propose_reply(nonce, outcome, effects),
        }
    }

    fn handle_chunk(&mut self, chunk: &Chunk, effects: &mut Vec<Effect>) {
        let outcome = self.documents.handle_chunk(self.now, chunk);
        if let Some((to, request)) = outcome.request {
            self.send(effects, to, &Message::ChunkRequest(request));
        }
        if let Some(document) = outcome.document {
            self.handle_document(document, effects);
        }
    }

    /// Passes a fetched document to everything that waits for it.
    fn handle_document(&mut self, document: Vec<u8>, effects: &mut Vec<Effect>) {
        let digest = self.store_document(document);
        self.drive_raft(effects, |raft, time, _, raft_effects| {
            raft.handle_document_available(time, digest, raft_effects);
        });
        if digest == self.committed.header.digest {
            self.activate(effects);
            self.announce_to_subscribers(effects);
        }
        self.process_fetched_proposal(digest, effects);
    }

    /// Stores a document without evicting those in use.
    fn store_document(&mut self, document: Vec<u8>) -> u64 {
        let entry = self.hard_state().map(|hard_state| hard_state.entry.digest);
        let own = self.proposals.own_digest();
        let in_use = [Some(self.committed.header.digest), Some(self.active.header.digest), entry, own];
        let in_use: Vec<u64> = in_use.into_iter().flatten().collect();
        self.documents.insert(document, &in_use)
    }

    /// Fetches a document, as a delta against the latest committed one. If that is the document to fetch, the
    /// delta is against the active one.
    fn fetch(&mut self, effects: &mut Vec<Effect>, digest: u64, from: SocketAddr) {
        let latest = self.committed.header.digest;
        let base = if latest == digest { self.active.header.digest } else { latest };
        if let Some((to, request)) = self.documents.fetch(self.now, digest, base, from) {
            self.send(effects, to, &Message::ChunkRequest(request));
        }
    }

    fn fetch_committed(&mut self, effects: &mut Vec<Effect>, from: SocketAddr) {
        if self.committed_version() > 0 {
            self.fetch(effects, self.committed.header.digest, from);
        }
    }

    fn send(&mut self, effects: &mut Vec<Effect>, to: SocketAddr, message: &Message) {
        let datagram = self.codec.encode(message);
        self.traffic.sent += 1;
        self.traffic.sent_bytes += datagram.len() as u64;
        effects.push(Effect::Send { to, datagram });
    }

    /// Returns whether this node receives versions by appends. Learners and nodes that are not voters
    /// subscribe.
    fn receives_appends(&self) -> bool {
        self.role().is_some_and(|role| role != Role::Learner)
    }

    /// Returns this process's clock as sent to other nodes.
    fn clock_us(&self) -> u64 {
        self.clock_offset_us + self.now.0
    }

    /// Converts an echoed reading of this process's clock. Returns `None` if it is not a valid past reading.
    fn echoed_time(&self, clock_us: u64) -> Option<Micros> {
        clock_us.checked_sub(self.clock_offset_us).map(Micros).filter(|time| *time <= self.now)
    }

    fn heartbeats(&self, count: f64) -> Micros {
        self.settings.heartbeat.scale(count)
    }
}
