//! Raft (Ongaro and Ousterhout 2014) with pre-vote and check-quorum (Ongaro's thesis 2014, sections 9.6 and
//! 6.2), on a log of one entry.
//!
//! Each entry denotes a full document that replaces all earlier ones, so the log is always compacted to its
//! last entry. The entry's index is its version, and entries are ordered by [`LogPosition`]: term, then
//! version. An append carries the entry's header; a follower acknowledges it once the document is persisted.
//! A new leader first rewrites its entry under its own term, in place of Raft's empty entry (section 8), and
//! announces nothing as committed until a majority has stored that entry.
//!
//! A voter that has lost its hard state is a learner: it neither votes nor acknowledges entries. The
//! `recovery` module describes how it becomes a voter again.

use std::collections::VecDeque;

use alderstile::types::Micros;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::message::{Announcement, LogPosition, RaftMessage, RaftPayload, VersionHeader};

mod election;
mod recovery;
mod replication;

/// Election timeout, in missed heartbeats. A random time of up to the same length is added, so that votes do
/// not split.
const ELECTION_TIMEOUT_HEARTBEATS: u64 = 3;

/// The state that a voter must not lose. It is synced to disk before any message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The voter that this voter voted for in that term.
    pub vote: Option<u8>,
    /// The voter's log entry.
    pub entry: VersionHeader,
}

impl HardState {
    /// Returns the state before the first commit: version 0 with an empty document.
    pub fn genesis() -> Self {
        let entry = VersionHeader { digest: crate::content_digest(&[]), ..VersionHeader::default() };
        HardState { term: 0, vote: None, entry }
    }
}

/// Role of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The voter has lost its hard state and does not vote.
    Learner,
    /// The voter follows a leader or waits for one.
    Follower,
    /// The voter asks the others whether they would elect it.
    PreCandidate,
    /// The voter requests votes.
    Candidate,
    /// The voter is the leader.
    Leader,
}

/// Time-dependent inputs of a call.
#[derive(Clone, Copy, Debug)]
pub struct StepTime {
    /// The current time on this process's clock.
    pub now: Micros,
    /// The same time with the clock's random offset, as sent to other nodes.
    pub clock_us: u64,
    /// Minimum time since the latest committed version was committed.
    pub commit_age: Micros,
}

/// Effects that a call requests.
#[derive(Debug, Default)]
pub struct RaftEffects {
    /// The hard state has changed and must be persisted before any message is sent.
    pub persist: bool,
    /// Messages to other voters.
    pub messages: Vec<RaftMessage>,
    /// A document to fetch.
    pub fetch: Option<FetchFromVoter>,
    /// The committed version announced by a leader.
    pub announced: Option<Announcement>,
    /// This leader's entry has just been committed.
    pub committed: bool,
}

/// A document to fetch from another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFromVoter {
    /// Digest of the document.
    pub digest: u64,
    /// Index of the voter in the voter list.
    pub voter: u8,
}

/// What this voter knows about another one.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The last round that it has answered.
    round: u64,
    /// Position of the entry that it has persisted.
    stored: LogPosition,
    clock: Option<ClockReading>,
    /// The hard state that it reported to this learner.
    reported_state: Option<ReportedState>,
}

/// A reading of another voter's clock, in microseconds, and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_us: u64,
    received_at: Micros,
}

/// Another voter's term and entry.
#[derive(Clone, Copy, Debug)]
struct ReportedState {
    term: u64,
    entry: VersionHeader,
}

/// A round of appends.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    started_at: Micros,
}

/// An entry whose document a follower is fetching, and the round to acknowledge afterwards.
#[derive(Clone, Copy, Debug)]
struct PendingEntry {
    entry: VersionHeader,
    round: u64,
}

/// A voter.
pub struct Raft {
    id: u8,
    heartbeat: Micros,
    hard_state: Option<HardState>,
    role: Role,
    rng: Pcg64Mcg,
    /// By index in the voter list. This voter's own element is unused.
    progress: Vec<Progress>,
    leader: Option<u8>,
    /// When the last message of the leader was received.
    leader_contact_at: Option<Micros>,
    /// When a follower starts an election, or a learner repeats its request.
    election_at: Micros,
    /// Votes for this candidate, one bit per voter.
    votes: u64,
    // Leader state.
    round: u64,
    rounds: VecDeque<Round>,
    heartbeat_at: Micros,
    leader_since: Micros,
    confirmed_at: Option<Micros>,
    committed: Option<VersionHeader>,
    // Follower state.
    pending_entry: Option<PendingEntry>,
    // Learner state.
    recovery_nonce: u64,
}

impl Raft {
    /// Creates a voter. Without a hard state it is a learner.
    pub fn new(
        id: u8,
        count: usize,
        heartbeat: Micros,
        hard_state: Option<HardState>,
        mut rng: Pcg64Mcg,
        now: Micros,
    ) -> Self {
        let recovery_nonce = rng.random();
        let role = if hard_state.is_some() { Role::Follower } else { Role::Learner };
        let mut raft = Raft {
            id,
            heartbeat,
            hard_state,
            role,
            rng,
            progress: vec![Progress::default(); count],
            leader: None,
            leader_contact_at: None,
            election_at: now,
            votes: 0,
            round: 0,
            rounds: VecDeque::new(),
            heartbeat_at: now,
            leader_since: now,
            confirmed_at: None,
            committed: None,
            pending_entry: None,
            recovery_nonce,
        };
        if role == Role::Follower {
            raft.reset_election_timer(now);
        }
        raft
    }

    /// Returns this voter's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the index of the leader, if known.
    pub fn leader(&self) -> Option<u8> {
        self.leader
    }

    /// Returns this voter's hard state, or `None` for a learner.
    pub fn hard_state(&self) -> Option<&HardState> {
        self.hard_state.as_ref()
    }

    /// At a leader: returns the committed entry once a majority has stored an entry of the leader's term.
    pub fn committed(&self) -> Option<VersionHeader> {
        self.committed.filter(|_| self.role == Role::Leader)
    }

    /// At a leader that has committed an entry in its term: returns the start of the last round that a
    /// majority has answered. No later version had been committed by that time.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at.filter(|_| self.committed().is_some())
    }

    fn heartbeats(&self, count: u64) -> Micros {
        Micros(self.heartbeat.0.saturating_mul(count))
    }

    fn majority(&self) -> usize {
        self.progress.len() / 2 + 1
    }

    fn peers(&self) -> impl Iterator<Item = u8> + use<> {
        let id = self.id;
        (0..self.progress.len() as u8).filter(move |voter| *voter != id)
    }

    fn broadcast(&self, effects: &mut RaftEffects, term: u64, payload: RaftPayload) {
        effects.messages.extend(self.peers().map(|peer| RaftMessage { peer, term, payload }));
    }

    /// Returns when [`Raft::tick`] is next due.
    pub fn next_timeout(&self) -> Micros {
        if self.role == Role::Leader { self.heartbeat_at } else { self.election_at }
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, time: StepTime, effects: &mut RaftEffects) {
        match (self.role, self.hard_state) {
            (Role::Leader, Some(_)) if self.heartbeat_at <= time.now => self.tick_leader(time, effects),
            (Role::Learner, _) if self.election_at <= time.now => self.tick_learner(time.now, effects),
            (Role::Follower | Role::PreCandidate | Role::Candidate, Some(hard_state))
                if self.election_at <= time.now =>
            {
                self.start_pre_vote(time, hard_state, effects);
            }
            _ => {}
        }
    }

    /// Handles a message of another voter. `has_document` returns whether a document is stored.
    pub fn step(
        &mut self,
        time: StepTime,
        message: RaftMessage,
        has_document: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let peer = message.peer;
        if peer == self.id || usize::from(peer) >= self.progress.len() {
            return;
        }
        let Some(hard_state) = self.hard_state else {
            return self.step_learner(time.now, message, has_document, effects);
        };
        if self.step_ignoring_term(time, message, &hard_state, effects) {
            return;
        }
        self.adopt_newer_term(time.now, message.term, effects);
        self.step_after_term_update(time, message, has_document, effects);
    }

    /// Handles messages that must not raise this voter's term: a candidate that cannot win must not end a
    /// leader's term. Returns whether the message was one of them.
    fn step_ignoring_term(
        &mut self,
        time: StepTime,
        message: RaftMessage,
        hard_state: &HardState,
        effects: &mut RaftEffects,
    ) -> bool {
        let RaftMessage { peer, term, payload } = message;
        match payload {
            RaftPayload::HardStateRequest { nonce } => send_hard_state(hard_state, peer, nonce, effects),
            RaftPayload::HardStateReply { .. } => {}
            RaftPayload::PreVote { last_entry } => {
                self.handle_pre_vote(time.now, peer, term, last_entry, effects);
            }
            RaftPayload::PreVoteReply { granted: true } => {
                self.handle_pre_vote_granted(time, peer, term, effects);
            }
            RaftPayload::RequestVote { .. } if self.has_leader_contact(time.now) => {}
            _ => return false,
        }
        true
    }

    /// Handles a message whose term is at most this voter's term.
    fn step_after_term_update(
        &mut self,
        time: StepTime,
        message: RaftMessage,
        has_document: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let RaftMessage { peer, term, payload } = message;
        match payload {
            RaftPayload::RequestVote { last_entry } => {
                self.handle_vote_request(time.now, peer, term, last_entry, effects);
            }
            RaftPayload::VoteReply { granted: true } => self.handle_vote_granted(time, peer, term, effects),
            RaftPayload::AppendEntry(append) => {
                self.handle_append(time, peer, term, append, has_document, effects);
            }
            RaftPayload::AppendReply(reply) => {
                self.handle_append_reply(time.now, peer, term, reply, effects);
            }
            _ => {}
        }
    }

    fn adopt_newer_term(&mut self, now: Micros, term: u64, effects: &mut RaftEffects) {
        let Some(hard_state) = self.hard_state.as_mut().filter(|hard_state| term > hard_state.term) else {
            return;
        };
        (hard_state.term, hard_state.vote) = (term, None);
        effects.persist = true;
        self.pending_entry = None;
        self.become_follower(now, None);
    }

    fn become_follower(&mut self, now: Micros, leader: Option<u8>) {
        self.role = Role::Follower;
        self.leader = leader;
        (self.confirmed_at, self.committed) = (None, None);
        self.reset_election_timer(now);
    }

    fn reset_election_timer(&mut self, now: Micros) {
        let timeout = self.heartbeats(ELECTION_TIMEOUT_HEARTBEATS);
        self.election_at = now + timeout + timeout.scale(self.rng.random::<f64>());
    }
}

fn send_hard_state(hard_state: &HardState, peer: u8, nonce: u64, effects: &mut RaftEffects) {
    let payload = RaftPayload::HardStateReply { nonce, entry: hard_state.entry };
    effects.messages.push(RaftMessage { peer, term: hard_state.term, payload });
}
