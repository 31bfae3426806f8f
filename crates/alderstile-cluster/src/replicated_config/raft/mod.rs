//! Raft (Ongaro and Ousterhout 2014) with pre-vote and check-quorum (Ongaro's thesis 2014, sections 9.6 and 6.2), on a log of one
//! entry.
//!
//! Each entry would hold a whole document, which replaces all before it, so the log is always compacted to its last entry. Its index is
//! the version, and its order the [`LogPosition`]: term, then version. An append carries the entry's header; a follower acknowledges
//! it once it has the document on disk. A new leader begins by writing its entry again under its own term, as Raft's empty entry does
//! (section 8), and announces nothing as committed before a majority has that.
//!
//! A voter that has lost its hard state is a learner: it neither votes nor acknowledges. `recovery` says how it comes back.

use std::collections::VecDeque;

use alderstile::types::Micros;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::message::{Announcement, LogPosition, RaftMessage, RaftPayload, VersionHeader};

mod election;
mod recovery;
mod replication;

/// Election timeout, in heartbeats that have to be missed; a random time of up to as long is added, so that votes don't split.
const ELECTION_TIMEOUT_HEARTBEATS: u64 = 3;

/// What a voter must not forget: synced to disk before any message that rests on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<u8>,
    /// Its log entry.
    pub entry: VersionHeader,
}

impl HardState {
    /// The state before anything was committed: version 0, an empty document.
    pub fn genesis() -> Self {
        let entry = VersionHeader { digest: crate::content_digest(&[]), ..VersionHeader::default() };
        HardState { term: 0, vote: None, entry }
    }
}

/// The role of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has lost its hard state and doesn't vote.
    Learner,
    /// It follows a leader or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

/// The time of a call.
#[derive(Clone, Copy, Debug)]
pub struct StepTime {
    /// Now, on this process's clock.
    pub now: Micros,
    /// The same with the clock's random offset, as other nodes are told it.
    pub clock_us: u64,
    /// How long the latest committed version has been so, at least.
    pub committed_for: Micros,
}

/// What a call wants done.
#[derive(Debug, Default)]
pub struct RaftEffects {
    /// The hard state has changed: to disk before anything is sent.
    pub persist: bool,
    /// To other voters.
    pub messages: Vec<RaftMessage>,
    /// A document to be fetched.
    pub fetch: Option<FetchFromVoter>,
    /// What a leader has said is committed.
    pub announced: Option<Announcement>,
    /// This leader's entry has just been committed.
    pub committed: bool,
}

/// A document that a voter holds and this one lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFromVoter {
    /// Digest of the document.
    pub digest: u64,
    /// The voter's place in the list.
    pub voter: u8,
}

/// What is known of another voter.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The last round that it has answered.
    round: u64,
    /// The entry that it has on disk.
    stored: LogPosition,
    clock: Option<ClockReading>,
    /// What it told a learner.
    recalled: Option<RecalledState>,
}

/// A voter's clock, microseconds, and when it was heard.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_us: u64,
    received_at: Micros,
}

/// Another voter's term and entry.
#[derive(Clone, Copy, Debug)]
struct RecalledState {
    term: u64,
    entry: VersionHeader,
}

/// A round of appends.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    started_at: Micros,
}

/// An entry whose document a follower has yet to fetch, and the round to acknowledge then.
#[derive(Clone, Copy, Debug)]
struct OfferedEntry {
    entry: VersionHeader,
    round: u64,
}

/// One voter.
pub struct Raft {
    me: u8,
    heartbeat: Micros,
    hard_state: Option<HardState>,
    role: Role,
    rng: Pcg64Mcg,
    /// By place in the list of voters; this one's own is not used.
    progress: Vec<Progress>,
    leader: Option<u8>,
    /// When the leader was last heard.
    leader_contact_at: Option<Micros>,
    /// When a follower stands for election, and a learner asks again.
    election_at: Micros,
    /// Votes for this candidate, a bit a voter.
    votes: u64,
    // Of a leader.
    round: u64,
    rounds: VecDeque<Round>,
    heartbeat_at: Micros,
    led_since: Micros,
    confirmed_at: Option<Micros>,
    committed: Option<VersionHeader>,
    // Of a follower.
    offered: Option<OfferedEntry>,
    // Of a learner.
    recall_nonce: u64,
}

impl Raft {
    /// A voter; without a hard state it is a learner.
    pub fn new(
        me: u8,
        count: usize,
        heartbeat: Micros,
        hard_state: Option<HardState>,
        mut rng: Pcg64Mcg,
        now: Micros,
    ) -> Self {
        let recall_nonce = rng.random();
        let role = if hard_state.is_some() { Role::Follower } else { Role::Learner };
        let mut raft = Raft {
            me,
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
            led_since: now,
            confirmed_at: None,
            committed: None,
            offered: None,
            recall_nonce,
        };
        if role == Role::Follower {
            raft.reset_election_timer(now);
        }
        raft
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The leader, as far as is known.
    pub fn leader(&self) -> Option<u8> {
        self.leader
    }

    /// Its hard state; none of a learner.
    pub fn hard_state(&self) -> Option<&HardState> {
        self.hard_state.as_ref()
    }

    /// Of a leader: what is committed, once a majority has stored an entry of its term.
    pub fn committed(&self) -> Option<VersionHeader> {
        self.committed.filter(|_| self.role == Role::Leader)
    }

    /// Of a leader that has committed in its term: the start of the last round that a majority has answered. Nothing newer was
    /// committed by then.
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
        let me = self.me;
        (0..self.progress.len() as u8).filter(move |voter| *voter != me)
    }

    fn broadcast(&self, effects: &mut RaftEffects, term: u64, payload: RaftPayload) {
        effects.messages.extend(self.peers().map(|peer| RaftMessage { peer, term, payload }));
    }

    /// When [`Raft::tick`] has something to do next.
    pub fn next_timeout(&self) -> Micros {
        if self.role == Role::Leader { self.heartbeat_at } else { self.election_at }
    }

    /// Does what is due.
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

    /// Takes in a message of another voter. `holds` tells which documents this one has.
    pub fn step(
        &mut self,
        time: StepTime,
        message: RaftMessage,
        holds: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let peer = message.peer;
        if peer == self.me || usize::from(peer) >= self.progress.len() {
            return;
        }
        let Some(hard_state) = self.hard_state else {
            return self.step_learner(time.now, message, holds, effects);
        };
        if self.step_outside_term(time, message, &hard_state, effects) {
            return;
        }
        self.adopt_newer_term(time.now, message.term, effects);
        self.step_in_term(time, message, holds, effects);
    }

    /// Handles what must not raise this voter's term: a candidate that could not win must not end a leader's term. Whether the message
    /// was such a one.
    fn step_outside_term(
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
            RaftPayload::RequestVote { .. } if self.hears_leader(time.now) => {}
            _ => return false,
        }
        true
    }

    /// Handles a message once this voter's term is no older than the sender's.
    fn step_in_term(
        &mut self,
        time: StepTime,
        message: RaftMessage,
        holds: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let RaftMessage { peer, term, payload } = message;
        match payload {
            RaftPayload::RequestVote { last_entry } => {
                self.handle_vote_request(time.now, peer, term, last_entry, effects);
            }
            RaftPayload::VoteReply { granted: true } => self.handle_vote_granted(time, peer, term, effects),
            RaftPayload::AppendEntry(append) => {
                self.handle_append(time, peer, term, append, holds, effects);
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
        self.offered = None;
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
