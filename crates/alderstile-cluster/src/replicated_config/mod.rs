//! Agreed, versioned configuration: one document that voters agree on, spread to all members, which all act on from a moment on at
//! which nobody acts on the one before any more.
//!
//! Time, messages and randomness are arguments. [`Raft`] agrees (Raft), a tree over the members spreads, and leases
//! (Gray and Cheriton 1989) tell when a version counts: `docs/agreed.md` has the design and derives the bounds.
//!
//! A node *acts on* a version from the moment at which it takes it up until the lease on it has run out or a later one is taken up. The
//! lease runs for [`ReplicationSettings::lease`] from a moment at which that version was the latest one, by this node's clock: who tells it
//! echoes the receiver's own clock, so that neither transit times nor differences between clocks count. A version is taken up
//! [`ReplicationSettings::waits`] after it was agreed, by which time every lease on the one before has run out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::authentication::DecodeError;

mod chunked_transfer;
mod raft;
mod wire;

pub use chunked_transfer::{ChunkedTransfer, difference, patched};
pub use raft::{HardState, Raft, RaftEffects, Role, StepTime};
pub use wire::{
    LogPosition, MAX_CHUNK, MAX_DOCUMENT, MAX_REASON, Message, ProposalOutcome, RaftPayload, Seal,
    VersionHeader,
};

/// Who was not told anything newer for so many heartbeats asks another one.
const PATIENCE: f64 = 2.5;
/// A node says so often, in heartbeats, that it wants to be told; who has not for three times as long is told no more.
const ASKS: f64 = 2.0;
/// Who is told by another one than the tree says goes back to that one after so many heartbeats.
const RETURNS: f64 = 60.0;
/// A proposal is put up again so often until it is answered.
const PROPOSES: Micros = Micros::from_millis(400);
/// Proposals of others that a leader fetches or waits for.
const PROPOSALS: usize = 8;
/// The most voters.
pub const MAX_VOTERS: usize = 15;

/// How a node goes about it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationSettings {
    /// Where the voters are reached, the same list at all members.
    pub voters: Vec<SocketAddr>,
    /// Which of them this is, if any.
    pub me: Option<u8>,
    /// How often a leader tells all that it leads.
    pub heartbeat: Micros,
    /// How long a version may be acted on after a moment at which it was the latest.
    pub lease: Micros,
    /// By how much clocks' rates differ from the true one at most.
    pub drift: f64,
    /// Nodes that a node tells.
    pub fanout: usize,
}

impl ReplicationSettings {
    /// Usual settings: half a second, a lease of 2.5 s, rates within 0.2%, four told by each.
    pub fn usual(voters: Vec<SocketAddr>, me: Option<u8>) -> Self {
        let (heartbeat, lease) = (Micros::from_millis(500), Micros::from_millis(2_500));
        ReplicationSettings { voters, me, heartbeat, lease, drift: 0.002, fanout: 4 }
    }

    /// How long after it was agreed a version counts: a lease on the one before runs out that long after at the latest, though its
    /// holder's clock is slow and this one's is quick.
    pub fn waits(&self) -> Micros {
        self.lease.scale((1.0 + self.drift) / (1.0 - self.drift)) + Micros(1)
    }

    /// Of the list of voters: alike at all members that go by the same.
    pub fn voters_digest(&self) -> u64 {
        let list: Vec<String> = self.voters.iter().map(SocketAddr::to_string).collect();
        crate::digest(list.join(",").as_bytes())
    }
}

/// What a call of the core wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Put this on disk, with this document, before anything after it is done; where that fails, nothing after it may be, and
    /// [`ReplicatedConfig::forget`] is due.
    PersistHardState(HardState, Vec<u8>),
    /// Send these bytes there.
    Send(SocketAddr, Vec<u8>),
    /// A version was agreed and waits until it counts.
    VersionCommitted(u64, Vec<u8>),
    /// A version counts.
    VersionActive(u64, Vec<u8>),
    /// What became of the proposal with this number.
    ProposalFinished(u64, ProposalOutcome),
    /// This voter has another role.
    RoleChanged(Role),
    /// A leader of another list of voters was heard, at this place in that list.
    VoterListMismatch(u8),
}

/// How a node stands to what it has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// It has not heard of any version yet.
    NeverHeard,
    /// It acts on it.
    Valid,
    /// A later one is agreed and doesn't count yet, and the lease on this one has run out.
    Superseded,
    /// The lease has run out, and nothing later was heard of.
    Expired,
}

/// What was sent and came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub taken: u64,
    /// Their bytes.
    pub taken_bytes: u64,
    /// Of another cluster, with another key, or with other voters.
    pub foreign: u64,
    /// In no known form.
    pub damaged: u64,
    /// In a newer form.
    pub newer: u64,
    /// Told of a version that is known with another document: not believed.
    pub contrary: u64,
}

/// What is known to be agreed.
#[derive(Clone, Copy, Debug)]
struct CommittedVersion {
    head: VersionHeader,
    /// It was agreed that long ago at least, at that moment of this clock; none for version 0, which always was.
    since: Option<(Micros, Micros)>,
    /// It was the latest then.
    fresh: Option<Micros>,
}

struct Subscriber {
    clock: u64,
    heard: Micros,
}

struct OwnProposal {
    nonce: u64,
    expect: u64,
    digest: u64,
    length: u32,
    again: Micros,
}

/// A proposal of another node, or of this one, at the leader.
struct PendingProposal {
    from: Option<SocketAddr>,
    nonce: u64,
    expect: u64,
    digest: u64,
    /// The version that it would be, once it was put up.
    version: Option<u64>,
}

/// Says what is wrong with a document.
pub type ValidateDocument = Box<dyn Fn(&[u8]) -> Result<(), String>>;

/// One node's part.
pub struct ReplicatedConfig {
    set: ReplicationSettings,
    voters: u64,
    seal: Seal,
    check: ValidateDocument,
    rng: Pcg64Mcg,
    now: Micros,
    base: u64,
    voting: Option<Raft>,
    blobs: ChunkedTransfer,
    known: CommittedVersion,
    /// Version, digest, and the last moment at which it was the latest.
    in_force: (VersionHeader, Option<Micros>),
    /// The version whose document was told as waiting.
    waits: u64,
    others: Vec<SocketAddr>,
    place: Option<usize>,
    parent: Option<SocketAddr>,
    attempt: u32,
    attempt_at: Micros,
    told: Micros,
    asks_at: Micros,
    children: BTreeMap<SocketAddr, Subscriber>,
    proposal: Option<OwnProposal>,
    guess: u8,
    puts: Vec<PendingProposal>,
    figures: TrafficCounters,
}

impl ReplicatedConfig {
    /// A node that knows of no version, or a voter with its memory and the document in it. `check` says what is wrong with a document.
    pub fn new(
        set: ReplicationSettings,
        seal: Seal,
        memory: Option<(HardState, Vec<u8>)>,
        check: ValidateDocument,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut blobs = ChunkedTransfer::default();
        blobs.hold(Vec::new(), &[]);
        let memory = memory.map(|(memory, document)| {
            blobs.hold(document, &[]);
            memory
        });
        let voting = set.me.map(|me| {
            let rng = Pcg64Mcg::seed_from_u64(rng.random());
            Raft::new(me, set.voters.len(), set.heartbeat, memory, rng, now)
        });
        let genesis = HardState::genesis().head;
        // What an earlier process of this node was told must not fit this one's clock.
        let base = rng.random_range(1 << 61..1 << 62);
        let asks_at = now + set.heartbeat.scale(rng.random::<f64>());
        let guess = rng.random_range(0..set.voters.len().max(1)) as u8;
        ReplicatedConfig {
            voters: set.voters_digest(),
            set,
            seal,
            check,
            rng,
            now,
            base,
            voting,
            blobs,
            known: CommittedVersion { head: genesis, since: None, fresh: None },
            in_force: (genesis, None),
            waits: 0,
            others: Vec::new(),
            place: None,
            parent: None,
            attempt: 0,
            attempt_at: now,
            told: now,
            asks_at,
            children: BTreeMap::new(),
            proposal: None,
            guess,
            puts: Vec::new(),
            figures: TrafficCounters::default(),
        }
    }

    // ---- what is known ----

    /// The version in force, and its document: empty for version 0, which says nothing.
    pub fn in_force(&self) -> (u64, &[u8]) {
        let head = self.in_force.0;
        (head.stamp.version, self.blobs.get(head.digest).unwrap_or_default())
    }

    /// The latest version that is known to be agreed, and how long it waits until it counts.
    pub fn known(&self) -> (u64, Micros) {
        let waits = self.since().map_or(Micros(0), |since| self.set.waits() - since);
        (self.known.head.stamp.version, waits)
    }

    /// How long ago what is known was agreed, at least.
    fn since(&self) -> Option<Micros> {
        self.known.since.map(|(span, at)| span + (self.now - at))
    }

    /// How long ago what is known last was the latest, if it was heard of.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.known.fresh.map(|fresh| now - fresh)
    }

    /// How this node stands to what it has in force.
    pub fn standing(&self, now: Micros) -> LeaseState {
        let (head, fresh) = self.in_force;
        let Some(fresh) = fresh else {
            return if self.known.fresh.is_some() { LeaseState::Superseded } else { LeaseState::NeverHeard };
        };
        if now < fresh + self.set.lease {
            LeaseState::Valid
        } else if self.known.head.stamp.version > head.stamp.version {
            LeaseState::Superseded
        } else {
            LeaseState::Expired
        }
    }

    /// Until when this node acts on what it has in force, if nothing more is heard; none before it has heard anything.
    pub fn acts_until(&self) -> Option<Micros> {
        self.in_force.1.map(|fresh| fresh + self.set.lease)
    }

    /// What this voter is, where it is one.
    pub fn role(&self) -> Option<Role> {
        self.voting.as_ref().map(Raft::role)
    }

    /// Who leads, as far as this voter knows.
    pub fn leader(&self) -> Option<u8> {
        self.voting.as_ref().and_then(Raft::leader)
    }

    /// This voter's memory.
    pub fn memory(&self) -> Option<&HardState> {
        self.voting.as_ref().and_then(Raft::memory)
    }

    /// Nodes that are told by this one.
    pub fn children(&self) -> usize {
        self.children.len()
    }

    /// What was sent and came.
    pub fn figures(&self) -> TrafficCounters {
        self.figures
    }

    // ---- what is said from outside ----

    /// The other members that are no voters, in the order that all of them go by, and this node's place among them.
    pub fn members(&mut self, others: Vec<SocketAddr>, place: Option<usize>) {
        if (&self.others, self.place) != (&others, place) {
            (self.others, self.place) = (others, place);
            if self.attempt == 0 && self.parent.is_some() && self.parent != self.regular() {
                self.parent = None;
                self.asks_at = self.now;
            }
        }
    }

    /// Other keys from now on.
    pub fn set_seal(&mut self, seal: Seal) {
        self.seal = seal;
    }

    /// The memory could not be put on disk.
    pub fn forget(&mut self, now: Micros) {
        let now = self.now.max(now);
        if let Some(voting) = &mut self.voting {
            voting.forget(now);
        }
    }

    /// Proposes a document as the version after `expect`; [`Effect::ProposalFinished`] names the nonce. One at a time: another one takes the
    /// place of this node's own proposal before.
    pub fn propose(&mut self, now: Micros, nonce: u64, expect: u64, document: Vec<u8>) -> Vec<Effect> {
        self.now = self.now.max(now);
        if document.is_empty() || document.len() > MAX_DOCUMENT {
            let reason = format!("{} bytes: 1 to {MAX_DOCUMENT} are wanted", document.len());
            return vec![Effect::ProposalFinished(nonce, ProposalOutcome::Rejected(reason))];
        }
        if let Err(reason) = (self.check)(&document) {
            return vec![Effect::ProposalFinished(nonce, ProposalOutcome::Rejected(reason))];
        }
        let length = document.len() as u32;
        let digest = self.hold(document);
        self.proposal = Some(OwnProposal { nonce, expect, digest, length, again: self.now });
        let mut out = Vec::new();
        self.put_up(&mut out);
        out
    }

    /// Gives this node's proposal up: what became of it is seen by what is agreed.
    pub fn give_up(&mut self, nonce: u64) {
        self.proposal.take_if(|proposal| proposal.nonce == nonce);
    }

    // ---- time ----

    /// When [`ReplicatedConfig::tick`] has something to do next.
    pub fn due(&self) -> Micros {
        let voting = self.voting.as_ref().map(Raft::due);
        let proposal = self.proposal.as_ref().map(|proposal| proposal.again);
        let ready = self.ready_at();
        let asks = (!self.votes()).then_some(self.asks_at);
        voting.into_iter().chain(proposal).chain(ready).chain(asks).chain(self.blobs.due()).min().unwrap_or(
            // Nothing is waited for.
            self.now + self.set.lease,
        )
    }

    /// Does what is due. A clock that goes back stands still until it is where it was.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        self.voting(&mut out, |voting, at, _, acts| voting.tick(at, acts));
        for (to, message) in self.blobs.tick(self.now) {
            self.send(&mut out, to, &message);
        }
        if self.proposal.as_ref().is_some_and(|proposal| proposal.again <= self.now) {
            self.put_up(&mut out);
        }
        if !self.votes() && self.asks_at <= self.now {
            self.ask(&mut out);
        }
        self.take_up(&mut out);
        out
    }

    fn clock(&self) -> u64 {
        self.base + self.now.0
    }

    /// Whether it is told by a leader, as a voter.
    fn votes(&self) -> bool {
        self.voting.as_ref().is_some_and(|voting| voting.role() != Role::Learner)
    }

    fn ready_at(&self) -> Option<Micros> {
        let newer = self.known.head.stamp.version > self.in_force.0.stamp.version;
        let held = self.blobs.get(self.known.head.digest).is_some();
        self.known.since.filter(|_| newer && held).map(|(span, at)| at + (self.set.waits() - span))
    }

    /// Takes up what counts by now.
    fn take_up(&mut self, out: &mut Vec<Effect>) {
        let head = self.known.head;
        let document = self.blobs.get(head.digest).map(<[u8]>::to_vec);
        if let Some(document) = document.filter(|_| head.stamp.version > self.waits) {
            self.waits = head.stamp.version;
            out.push(Effect::VersionCommitted(head.stamp.version, document));
        }
        if self.ready_at().is_some_and(|ready| ready <= self.now) {
            self.in_force = (head, self.known.fresh);
            let (version, document) = self.in_force();
            out.push(Effect::VersionActive(version, document.to_vec()));
        }
    }

    fn hold(&mut self, document: Vec<u8>) -> u64 {
        let memory = self.memory().map(|memory| memory.head.digest);
        let own = self.proposal.as_ref().map(|proposal| proposal.digest);
        let used = [Some(self.known.head.digest), Some(self.in_force.0.digest), memory, own];
        let used: Vec<u64> = used.into_iter().flatten().collect();
        self.blobs.hold(document, &used)
    }

    fn send(&mut self, out: &mut Vec<Effect>, to: SocketAddr, message: &Message) {
        let bytes = self.seal.write(message);
        self.figures.sent += 1;
        self.figures.sent_bytes += bytes.len() as u64;
        out.push(Effect::Send(to, bytes));
    }

    // ---- voters ----

    /// Calls the voter and does what it wants done.
    fn voting(
        &mut self,
        out: &mut Vec<Effect>,
        call: impl FnOnce(&mut Raft, StepTime, &ChunkedTransfer, &mut RaftEffects),
    ) {
        let since = self.since().unwrap_or_default();
        let at = StepTime { now: self.now, clock: self.clock(), since };
        let Some(voting) = &mut self.voting else { return };
        let (mut acts, role) = (RaftEffects::default(), voting.role());
        let confirmed = voting.confirmed();
        call(voting, at, &self.blobs, &mut acts);
        let (voting_role, memory, agreed) = (voting.role(), voting.memory().copied(), voting.agreed());
        let fresh = voting.confirmed();
        if let Some(memory) = memory.filter(|_| acts.save) {
            let document = self.blobs.get(memory.head.digest).unwrap_or_default().to_vec();
            out.push(Effect::PersistHardState(memory, document));
        }
        let (voters, from) = (self.voters, self.set.me.unwrap_or_default());
        for (to, term, ballot) in acts.send {
            if let Some(to) = self.set.voters.get(usize::from(to)).copied() {
                self.send(out, to, &Message::Raft { voters, from, term, ballot });
            }
        }
        if let Some((digest, voter)) = acts.want
            && let Some(from) = self.set.voters.get(usize::from(voter)).copied()
        {
            self.want(out, digest, from);
        }
        if role != voting_role {
            out.push(Effect::RoleChanged(voting_role));
            if role == Role::Leader {
                self.puts.clear();
            }
        }
        if acts.agreed
            && let Some(head) = agreed
        {
            self.learn(out, head, 0, fresh);
            // All hear at once that it is agreed.
            let append: fn(&mut Raft, StepTime, &ChunkedTransfer, &mut RaftEffects) =
                |voting, at, _, acts| voting.append(at, acts);
            self.voting(out, append);
            self.answer_agreed(out);
        } else if let Some(head) = agreed.filter(|_| fresh > confirmed) {
            self.learn(out, head, 0, fresh);
        }
        if let Some((head, since, fresh)) = acts.told {
            let fresh = self.echoed(fresh);
            self.learn(out, head, since, fresh);
        }
    }

    /// A moment of this clock that another node echoes; none where it can't be one.
    fn echoed(&self, clock: u64) -> Option<Micros> {
        clock.checked_sub(self.base).map(Micros).filter(|moment| *moment <= self.now)
    }

    fn want(&mut self, out: &mut Vec<Effect>, digest: u64, from: SocketAddr) {
        let base = self.known.head.digest;
        let base = if base == digest { self.in_force.0.digest } else { base };
        if let Some((to, message)) = self.blobs.want(self.now, digest, base, from) {
            self.send(out, to, &message);
        }
    }

    /// Takes in what is agreed.
    fn learn(&mut self, out: &mut Vec<Effect>, head: VersionHeader, since: u64, fresh: Option<Micros>) {
        let version = head.stamp.version;
        if version < self.known.head.stamp.version {
            return;
        }
        let newer = version > self.known.head.stamp.version;
        if newer {
            self.known = CommittedVersion { head, since: None, fresh: None };
        } else if head.digest != self.known.head.digest {
            // Can't be, as versions are agreed on once; believed it would split the fleet.
            self.figures.contrary += 1;
            return;
        } else {
            // The same document under a later leader's term.
            self.known.head.stamp = self.known.head.stamp.max(head.stamp);
        }
        if version > 0 {
            // At version 0 there is nothing that was agreed.
            if self.since().is_none_or(|known| known < Micros(since)) {
                self.known.since = Some((Micros(since), self.now));
            }
        }
        let fresher = fresh > self.known.fresh;
        if fresher {
            self.known.fresh = fresh;
            if self.in_force.0.stamp.version == version {
                self.in_force.1 = fresh;
            }
        }
        self.take_up(out);
        if (newer || fresher) && self.blobs.get(self.known.head.digest).is_some() {
            self.tell_children(out);
        }
    }

    // ---- proposals ----

    /// Puts this node's own proposal up, here or at the voter that may lead.
    fn put_up(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(OwnProposal { nonce, expect, digest, length, again }) = &mut self.proposal else { return };
        *again = now + PROPOSES;
        let (nonce, expect, digest, length) = (*nonce, *expect, *digest, *length);
        if self.role() == Some(Role::Leader) {
            self.consider(out, PendingProposal { from: None, nonce, expect, digest, version: None });
            return;
        }
        if let Some(leader) = self.leader() {
            self.guess = leader;
        }
        let Some(to) = self.set.voters.get(usize::from(self.guess)).copied() else { return };
        // The next one, where this one doesn't answer.
        self.guess = (self.guess + 1) % self.set.voters.len().max(1) as u8;
        self.send(out, to, &Message::Propose { nonce, expect, digest, length });
    }

    fn answer(
        &mut self,
        out: &mut Vec<Effect>,
        from: Option<SocketAddr>,
        nonce: u64,
        outcome: ProposalOutcome,
    ) {
        match from {
            Some(to) => self.send(out, to, &Message::ProposeReply { nonce, outcome }),
            None => {
                self.give_up(nonce);
                out.push(Effect::ProposalFinished(nonce, outcome));
            }
        }
    }

    /// What a leader makes of a proposal whose document is held; nothing yet where it is to wait.
    fn consider(&mut self, out: &mut Vec<Effect>, put: PendingProposal) {
        let PendingProposal { from, nonce, expect, digest, .. } = put;
        let Some(document) = self.blobs.get(digest) else { return };
        let known = self.known.head;
        let at = known.stamp.version;
        let (_, waits) = self.known();
        let length = document.len() as u32;
        let settled = self.voting.as_ref().and_then(Raft::agreed);
        let refused = if known.digest == digest && at == expect.saturating_add(1) {
            return self.answer(out, from, nonce, ProposalOutcome::Committed(at));
        } else if let Some(waiting) =
            self.puts.iter_mut().find(|put| put.digest == digest && put.version.is_some())
        {
            // The same again: its answer comes when it is agreed.
            (waiting.from, waiting.nonce) = (from, nonce);
            return;
        } else if settled != Some(known) || self.memory().is_none_or(|memory| memory.head != known) {
            "another change is on its way, or a leader has just been elected: try again in a moment"
                .to_owned()
        } else if at != expect {
            format!("version {at} is agreed, not {expect}: look at it, and propose on top of it")
        } else if waits > Micros(0) {
            let seconds = waits.as_secs_f64();
            format!("version {at} counts in {seconds:.1} s only: try again then")
        } else if let Err(reason) = (self.check)(document) {
            reason
        } else {
            let mut version = None;
            self.puts.retain(|put| put.version.is_some() || put.digest != digest);
            self.puts.push(PendingProposal { version: Some(at.saturating_add(1)), ..put });
            self.voting(out, |voting, at, _, acts| version = voting.propose(at, digest, length, acts));
            if version.is_none() {
                self.puts.clear();
            }
            return;
        };
        self.answer(out, from, nonce, ProposalOutcome::Rejected(refused));
    }

    fn answer_agreed(&mut self, out: &mut Vec<Effect>) {
        let (version, digest) = (self.known.head.stamp.version, self.known.head.digest);
        let puts = std::mem::take(&mut self.puts);
        for put in puts {
            match put.version {
                Some(at) if at == version && put.digest == digest => {
                    self.answer(out, put.from, put.nonce, ProposalOutcome::Committed(version));
                }
                _ => self.puts.push(put),
            }
        }
    }

    // ---- the tree ----

    /// Whom the tree says to ask: the first of the voters' children are asked of in turn, and so on down.
    fn regular(&self) -> Option<SocketAddr> {
        let (place, voters) = (self.place?, self.set.voters.len());
        let fanout = self.set.fanout.max(1);
        if place < voters * fanout {
            self.set.voters.get(place % voters).copied()
        } else {
            self.others.get((place - voters * fanout) / fanout).copied()
        }
    }

    fn some_voter(&mut self) -> Option<SocketAddr> {
        let me = self.set.me.map(usize::from);
        let places: Vec<usize> = (0..self.set.voters.len()).filter(|voter| Some(*voter) != me).collect();
        let at = if places.is_empty() { None } else { Some(places[self.rng.random_range(0..places.len())]) };
        at.and_then(|at| self.set.voters.get(at).copied())
    }

    /// Another one to ask: the tree's word, one above this node, the tree's again, a voter.
    fn choose(&mut self) -> Option<SocketAddr> {
        match (self.attempt % 4, self.place) {
            (0 | 2, Some(_)) => self.regular(),
            (1, Some(place)) if place > 0 => {
                let above = self.rng.random_range(0..place);
                self.others.get(above).copied()
            }
            _ => self.some_voter(),
        }
    }

    fn beats(&self, count: f64) -> Micros {
        self.set.heartbeat.scale(count)
    }

    /// Says whom this node wants to be told by, of another one where that one is silent.
    fn ask(&mut self, out: &mut Vec<Effect>) {
        let late = self.told + self.beats(PATIENCE) <= self.now;
        if self.parent.is_some() && late {
            self.attempt += 1;
            (self.parent, self.attempt_at, self.told) = (None, self.now, self.now);
        } else if !self.attempt.is_multiple_of(4) && self.attempt_at + self.beats(RETURNS) <= self.now {
            (self.attempt, self.parent, self.attempt_at) = (0, None, self.now);
        }
        if self.parent.is_none() {
            self.parent = self.choose();
            self.told = self.now;
        }
        if let Some(parent) = self.parent {
            let (clock, in_force) = (self.clock(), self.in_force.0.stamp.version);
            self.send(out, parent, &Message::Subscribe { clock, in_force });
        }
        // Never all together; often enough to be told in time by another one.
        let early = self.rng.random::<f64>();
        let next = self.beats(ASKS * (0.9 + 0.2 * early));
        self.asks_at =
            (self.now + next).min(self.told + self.beats(PATIENCE)).max(self.now + self.beats(0.2));
    }

    /// Tells those that asked what is agreed.
    fn tell_children(&mut self, out: &mut Vec<Effect>) {
        let (now, lasts) = (self.now, self.beats(3.0 * ASKS));
        self.children.retain(|_, child| now < child.heard + lasts);
        let told: Vec<(SocketAddr, Message)> =
            self.children.iter().map(|(to, child)| (*to, self.word_for(child))).collect();
        for (to, message) in told {
            self.send(out, to, &message);
        }
    }

    fn word_for(&self, child: &Subscriber) -> Message {
        // Whatever its clock said it had said before it was heard here.
        let fresh = self
            .known
            .fresh
            .map_or(0, |fresh| child.clock.saturating_add(fresh.0).saturating_sub(child.heard.0));
        let since = self.since().unwrap_or_default().0;
        Message::Announce { head: self.known.head, since, fresh }
    }

    // ---- what comes ----

    /// Takes in a datagram.
    pub fn received(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        let message = match self.seal.read(bytes) {
            Ok(message) => message,
            Err(DecodeError::Unauthenticated) => {
                self.figures.foreign += 1;
                return out;
            }
            Err(DecodeError::Malformed) => {
                self.figures.damaged += 1;
                return out;
            }
            Err(DecodeError::UnsupportedFormat) => {
                self.figures.newer += 1;
                return out;
            }
        };
        self.figures.taken += 1;
        self.figures.taken_bytes += bytes.len() as u64;
        self.take_in(from, message, &mut out);
        out
    }

    fn take_in(&mut self, from: SocketAddr, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Raft { voters, from, .. } if voters != self.voters => {
                self.figures.foreign += 1;
                out.push(Effect::VoterListMismatch(from));
            }
            Message::Raft { from, term, ballot, .. } => {
                self.voting(out, |voting, at, blobs, acts| {
                    let held = |digest| blobs.get(digest).is_some();
                    voting.received(at, (from, term, ballot), held, acts);
                });
                // A learner is told of versions whose documents it has yet to fetch.
                if let Some(voter) = self.set.voters.get(usize::from(from)).copied() {
                    self.fetch_known(out, voter);
                }
            }
            Message::Subscribe { clock, .. } => {
                // A leader has the voters to tell besides.
                let most = if self.role() == Some(Role::Leader) { 1 } else { 2 } * self.set.fanout;
                let room = self.children.len() < most || self.children.contains_key(&from);
                // Clocks begin far below; one that doesn't is none of this program's.
                if room && clock < 1 << 63 {
                    let child = Subscriber { clock, heard: self.now };
                    if self.blobs.get(self.known.head.digest).is_some() {
                        let word = self.word_for(&child);
                        self.send(out, from, &word);
                    }
                    self.children.insert(from, child);
                }
            }
            Message::Announce { head, since, fresh } => {
                let fresh = self.echoed(fresh);
                if Some(from) == self.parent
                    && (head.stamp.version, fresh) > (self.known.head.stamp.version, self.known.fresh)
                {
                    self.told = self.now;
                }
                self.learn(out, head, since, fresh);
                self.fetch_known(out, from);
            }
            Message::ChunkRequest { digest, base, offset } => {
                for part in self.blobs.parts(digest, base, offset) {
                    self.send(out, from, &part);
                }
            }
            Message::Chunk { digest, base, total, offset, bytes } => {
                let (whole, next) = self.blobs.part(self.now, digest, base, total, offset, &bytes);
                if let Some((to, message)) = next {
                    self.send(out, to, &message);
                }
                if let Some(document) = whole {
                    self.fetched(out, document);
                }
            }
            Message::Propose { nonce, expect, digest, length } => {
                if self.role() != Some(Role::Leader) {
                    if let Some(leader) = self.leader() {
                        self.answer(out, Some(from), nonce, ProposalOutcome::NotLeader(leader));
                    }
                    return;
                }
                let put = PendingProposal { from: Some(from), nonce, expect, digest, version: None };
                if self.blobs.get(digest).is_some() {
                    self.consider(out, put);
                } else if length > 0 && self.puts.len() < PROPOSALS {
                    self.puts.retain(|put| put.version.is_some() || put.digest != digest);
                    self.puts.push(put);
                    self.want(out, digest, from);
                }
            }
            Message::ProposeReply { nonce, outcome } => {
                if self.proposal.as_ref().is_none_or(|proposal| proposal.nonce != nonce) {
                    return;
                }
                match outcome {
                    ProposalOutcome::NotLeader(voter) => {
                        let asked = usize::from(self.guess) + self.set.voters.len() - 1;
                        let asked = asked % self.set.voters.len().max(1);
                        if usize::from(voter) < self.set.voters.len() && usize::from(voter) != asked {
                            self.guess = voter;
                            self.put_up(out);
                        }
                    }
                    outcome => {
                        self.give_up(nonce);
                        out.push(Effect::ProposalFinished(nonce, outcome));
                    }
                }
            }
        }
    }

    fn fetch_known(&mut self, out: &mut Vec<Effect>, from: SocketAddr) {
        if self.known.head.stamp.version > 0 {
            self.want(out, self.known.head.digest, from);
        }
    }

    /// A document is here.
    fn fetched(&mut self, out: &mut Vec<Effect>, document: Vec<u8>) {
        let digest = self.hold(document);
        self.voting(out, |voting, at, _, acts| voting.holds(at, digest, acts));
        if digest == self.known.head.digest {
            self.take_up(out);
            self.tell_children(out);
        }
        if self.role() == Some(Role::Leader)
            && let Some(at) = self.puts.iter().position(|put| put.digest == digest && put.version.is_none())
        {
            let put = self.puts.remove(at);
            self.consider(out, put);
        }
    }
}
