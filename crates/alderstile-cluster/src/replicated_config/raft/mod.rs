//! What the voters agree on: Raft (Ongaro and Ousterhout 2014) with pre-vote and check-quorum (Ongaro's thesis 2014, sections 9.6
//! and 6.2), with a log of one entry.
//!
//! Each entry of the log would be a whole document that takes the place of all before it, so the log is always compacted to its
//! last entry, and its place in the order is the [`LogPosition`]: the leader's term, then the version. An append carries that entry's name;
//! a follower acknowledges it once it has the document on disk. A leader begins by putting what it holds under its own
//! term, as Raft's empty entry does (section 8), and says nothing of what is agreed before a majority has that.
//!
//! A voter without a memory neither votes nor acknowledges. Any vote that it may have forgotten was given to one of the others, whose own
//! term is at least that of the vote, and whatever it helped to agree on is held by one of the others at least. So it asks all others,
//! and goes on with the highest term, plus one, and the last entry that they tell of: it needs word from each of them.

use std::collections::VecDeque;

use alderstile::types::Micros;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::wire::{LogPosition, RaftPayload, VersionHeader};

/// Heartbeats that have to be missed before anyone stands for election; up to twice as many are waited for.
const MISSED: u64 = 3;
/// A voter without a memory asks the others this often, in heartbeats.
const RECALLED: u64 = 2;
/// Rounds whose beginning a leader remembers.
const ROUNDS: usize = 32;

/// What a voter must not forget: on disk before anything that rests on it is said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<u8>,
    /// The last document, by its name.
    pub head: VersionHeader,
}

impl HardState {
    /// Before anything was agreed.
    pub fn genesis() -> Self {
        let head = VersionHeader { digest: crate::digest(&[]), ..VersionHeader::default() };
        HardState { term: 0, vote: None, head }
    }
}

/// What a voter is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has no memory and doesn't vote.
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

/// When a call is made.
#[derive(Clone, Copy, Debug)]
pub struct StepTime {
    /// Now.
    pub now: Micros,
    /// This process's clock as others are told it: begins anywhere.
    pub clock: u64,
    /// How long ago what is known to be agreed was so, at least.
    pub since: Micros,
}

/// What a call wants done.
#[derive(Debug, Default)]
pub struct RaftEffects {
    /// The memory has changed: to disk before anything is sent.
    pub save: bool,
    /// To these voters, under these terms.
    pub send: Vec<(u8, u64, RaftPayload)>,
    /// A document is wanted from a voter.
    pub want: Option<(u64, u8)>,
    /// A leader told what is agreed: what, since when at least (a span), and when that was the latest on this clock.
    pub told: Option<(VersionHeader, u64, u64)>,
    /// This leader has found that a majority holds what it holds.
    pub agreed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Other {
    round: u64,
    stored: LogPosition,
    /// Its clock, and when it said so.
    clock: Option<(u64, Micros)>,
    recalled: Option<(u64, VersionHeader)>,
}

/// One voter.
pub struct Raft {
    me: u8,
    heartbeat: Micros,
    memory: Option<HardState>,
    role: Role,
    rng: Pcg64Mcg,
    others: Vec<Other>,
    leader: Option<u8>,
    heard: Option<Micros>,
    elects_at: Micros,
    votes: u64,
    // A leader's.
    round: u64,
    rounds: VecDeque<(u64, Micros)>,
    beats_at: Micros,
    led_since: Micros,
    confirmed: Option<Micros>,
    agreed: Option<VersionHeader>,
    // A follower's.
    offered: Option<(VersionHeader, u64)>,
    // A learner's.
    nonce: u64,
}

impl Raft {
    /// A voter; without a memory it doesn't vote until it has asked all others.
    pub fn new(
        me: u8,
        count: usize,
        heartbeat: Micros,
        memory: Option<HardState>,
        mut rng: Pcg64Mcg,
        now: Micros,
    ) -> Self {
        let nonce = rng.random();
        let role = if memory.is_some() { Role::Follower } else { Role::Learner };
        let mut voting = Raft {
            me,
            heartbeat,
            memory,
            role,
            rng,
            others: vec![Other::default(); count],
            leader: None,
            heard: None,
            elects_at: now,
            votes: 0,
            round: 0,
            rounds: VecDeque::new(),
            beats_at: now,
            led_since: now,
            confirmed: None,
            agreed: None,
            offered: None,
            nonce,
        };
        if role == Role::Follower {
            voting.wait(now);
        }
        voting
    }

    /// What it is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Who leads, as far as is known.
    pub fn leader(&self) -> Option<u8> {
        self.leader
    }

    /// What it remembers.
    pub fn memory(&self) -> Option<&HardState> {
        self.memory.as_ref()
    }

    /// The memory could not be put on disk: what rests on it was not said, and no more is until the others have been asked.
    pub fn forget(&mut self, now: Micros) {
        self.memory = None;
        self.role = Role::Learner;
        (self.leader, self.offered) = (None, None);
        self.nonce = self.rng.random();
        self.others.iter_mut().for_each(|other| other.recalled = None);
        self.elects_at = now + self.beats(RECALLED);
    }

    /// Of a leader: what is agreed, once a majority has confirmed something in its term.
    pub fn agreed(&self) -> Option<VersionHeader> {
        self.agreed.filter(|_| self.role == Role::Leader)
    }

    /// Of a leader: the beginning of the last round that a majority has answered, while something is agreed in its term.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed.filter(|_| self.agreed().is_some())
    }

    fn beats(&self, count: u64) -> Micros {
        Micros(self.heartbeat.0.saturating_mul(count))
    }

    fn majority(&self) -> usize {
        self.others.len() / 2 + 1
    }

    fn wait(&mut self, now: Micros) {
        self.elects_at = now + self.beats(MISSED) + self.beats(MISSED).scale(self.rng.random::<f64>());
    }

    fn peers(&self) -> impl Iterator<Item = u8> + use<> {
        let me = self.me;
        (0..self.others.len() as u8).filter(move |voter| *voter != me)
    }

    fn all(&self, acts: &mut RaftEffects, term: u64, ballot: RaftPayload) {
        acts.send.extend(self.peers().map(|voter| (voter, term, ballot)));
    }

    /// When [`Raft::tick`] has something to do next.
    pub fn due(&self) -> Micros {
        if self.role == Role::Leader { self.beats_at } else { self.elects_at }
    }

    /// Does what is due.
    pub fn tick(&mut self, at: StepTime, acts: &mut RaftEffects) {
        let now = at.now;
        match (self.role, self.memory) {
            (Role::Leader, Some(_)) if self.beats_at <= now => {
                let sure = self.confirmed.unwrap_or(self.led_since).max(self.led_since);
                if self.others.len() > 1 && sure + self.beats(MISSED) < now {
                    // Check-quorum: others may lead by now.
                    self.follow(now, None);
                } else {
                    self.append(at, acts);
                }
            }
            (Role::Learner, _) if self.elects_at <= now => {
                self.elects_at = now + self.beats(RECALLED);
                self.all(acts, 0, RaftPayload::HardStateRequest { nonce: self.nonce });
            }
            (Role::Follower | Role::PreCandidate | Role::Candidate, Some(memory))
                if self.elects_at <= now =>
            {
                self.role = Role::PreCandidate;
                self.leader = None;
                self.votes = 1 << self.me;
                self.wait(now);
                self.all(acts, memory.term.saturating_add(1), RaftPayload::PreVote(memory.head.stamp));
                self.count(at, acts);
            }
            _ => {}
        }
    }

    fn follow(&mut self, now: Micros, leader: Option<u8>) {
        self.role = Role::Follower;
        self.leader = leader;
        (self.confirmed, self.agreed) = (None, None);
        self.wait(now);
    }

    /// Counts votes, and stands for election or leads.
    fn count(&mut self, at: StepTime, acts: &mut RaftEffects) {
        let now = at.now;
        while self.votes.count_ones() as usize >= self.majority() {
            let Some(memory) = &mut self.memory else { return };
            match self.role {
                Role::PreCandidate => {
                    (memory.term, memory.vote) = (memory.term.saturating_add(1), Some(self.me));
                    let (term, held) = (memory.term, memory.head.stamp);
                    acts.save = true;
                    self.role = Role::Candidate;
                    self.votes = 1 << self.me;
                    self.wait(now);
                    self.all(acts, term, RaftPayload::RequestVote(held));
                }
                Role::Candidate => {
                    memory.head.stamp.term = memory.term;
                    acts.save = true;
                    self.role = Role::Leader;
                    self.leader = Some(self.me);
                    self.led_since = now;
                    (self.confirmed, self.agreed, self.offered) = (None, None, None);
                    self.rounds.clear();
                    for other in &mut self.others {
                        (other.stored, other.clock) = (LogPosition::default(), None);
                    }
                    self.append(at, acts);
                    return;
                }
                _ => return,
            }
        }
    }

    /// Tells all others what this leader holds and what is agreed.
    pub fn append(&mut self, at: StepTime, acts: &mut RaftEffects) {
        let now = at.now;
        let Some(memory) = self.memory.filter(|_| self.role == Role::Leader) else { return };
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS {
            self.rounds.pop_front();
        }
        self.beats_at = now + self.heartbeat;
        if self.others.len() == 1 {
            self.confirm(now, acts);
        }
        for voter in self.peers() {
            let agreed = match self.agreed {
                Some(agreed) if agreed == memory.head => None,
                Some(agreed) => Some(agreed),
                // Not known yet: version 0 is older than any.
                None => Some(HardState::genesis().head),
            };
            let clock = self.others[usize::from(voter)].clock;
            let fresh = match (self.confirmed(), clock) {
                // Whatever it said it had said before it was heard.
                (Some(confirmed), Some((clock, heard))) => {
                    clock.saturating_add(confirmed.0).saturating_sub(heard.0)
                }
                _ => 0,
            };
            let (round, head, since) = (self.round, memory.head, at.since.0);
            acts.send.push((
                voter,
                memory.term,
                RaftPayload::AppendEntry { round, head, agreed, since, fresh },
            ));
        }
    }

    /// Looks what a majority has answered and holds.
    fn confirm(&mut self, now: Micros, acts: &mut RaftEffects) {
        let Some(memory) = self.memory else { return };
        let me = usize::from(self.me);
        let mut rounds: Vec<u64> = self.others.iter().map(|other| other.round).collect();
        rounds[me] = self.round;
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let round = rounds[self.majority() - 1];
        if let Some((_, began)) = self.rounds.iter().find(|(number, _)| *number == round) {
            self.confirmed = self.confirmed.max(Some((*began).min(now)));
        }
        let holds = |(voter, other): (usize, &Other)| voter == me || other.stored == memory.head.stamp;
        let held = self.others.iter().enumerate().filter(|pair| holds(*pair)).count();
        if held >= self.majority() && self.agreed != Some(memory.head) {
            self.agreed = Some(memory.head);
            acts.agreed = true;
        }
    }

    /// Puts a document up as the next version. It must be held. Not while another one is on its way.
    pub fn propose(&mut self, at: StepTime, digest: u64, length: u32, acts: &mut RaftEffects) -> Option<u64> {
        let agreed = self.agreed()?;
        let memory = self.memory.as_mut().filter(|memory| memory.head == agreed)?;
        let stamp = LogPosition { term: memory.term, version: agreed.stamp.version.saturating_add(1) };
        memory.head = VersionHeader { stamp, digest, length };
        acts.save = true;
        self.append(at, acts);
        Some(stamp.version)
    }

    /// A document is held now.
    pub fn holds(&mut self, at: StepTime, digest: u64, acts: &mut RaftEffects) {
        let StepTime { now, clock, .. } = at;
        if let (Some((head, round)), Some(memory), Some(leader)) =
            (self.offered, &mut self.memory, self.leader)
            && head.digest == digest
            && head.stamp > memory.head.stamp
        {
            memory.head = head;
            acts.save = true;
            let acked = RaftPayload::AppendReply { round, stored: head.stamp, clock };
            acts.send.push((leader, memory.term, acked));
            self.offered = None;
        }
        self.remember(now, |other| other == digest, acts);
    }

    /// Goes on with what the others remember, once each of them has told.
    fn remember(&mut self, now: Micros, held: impl Fn(u64) -> bool, acts: &mut RaftEffects) {
        if self.role != Role::Learner || self.others.len() < 2 {
            return;
        }
        let told: Option<Vec<(u64, VersionHeader, u8)>> = self
            .peers()
            .map(|voter| self.others[usize::from(voter)].recalled.map(|(term, head)| (term, head, voter)))
            .collect();
        let Some(told) = told else { return };
        let term = told.iter().map(|(term, ..)| *term).max().unwrap_or(0).saturating_add(1);
        let Some((_, head, voter)) = told.into_iter().max_by_key(|(_, head, _)| head.stamp) else { return };
        if !held(head.digest) {
            acts.want = Some((head.digest, voter));
            return;
        }
        self.memory = Some(HardState { term, vote: None, head });
        acts.save = true;
        self.follow(now, None);
    }

    /// Takes in what another voter said. `held` tells which documents are.
    pub fn received(
        &mut self,
        at: StepTime,
        (from, term, ballot): (u8, u64, RaftPayload),
        held: impl Fn(u64) -> bool,
        acts: &mut RaftEffects,
    ) {
        let StepTime { now, clock, .. } = at;
        if from == self.me || usize::from(from) >= self.others.len() {
            return;
        }
        let Some(mut memory) = self.memory else {
            match ballot {
                RaftPayload::AppendEntry { head, agreed, since, fresh, .. } => {
                    self.leader = Some(from);
                    acts.told = Some((agreed.unwrap_or(head), since, fresh));
                }
                RaftPayload::HardStateReply { nonce, head } if nonce == self.nonce => {
                    self.others[usize::from(from)].recalled = Some((term, head));
                    self.remember(now, held, acts);
                }
                _ => {}
            }
            return;
        };
        // Who hears a leader has no ear for candidates (section 6).
        let led = self.role == Role::Leader
            || (self.leader.is_some() && self.heard.is_some_and(|heard| now < heard + self.beats(MISSED)));
        match ballot {
            RaftPayload::HardStateRequest { nonce } => {
                acts.send.push((from, memory.term, RaftPayload::HardStateReply { nonce, head: memory.head }));
                return;
            }
            RaftPayload::HardStateReply { .. } => return,
            RaftPayload::PreVote(stamp) => {
                let yes = !led && term > memory.term && stamp >= memory.head.stamp;
                // Under its own term, which tells a candidate that is behind where it stands.
                let under = if yes { term } else { memory.term };
                acts.send.push((from, under, RaftPayload::PreVoteReply(yes)));
                return;
            }
            RaftPayload::PreVoteReply(true) => {
                if self.role == Role::PreCandidate && term == memory.term.saturating_add(1) {
                    self.votes |= 1 << from;
                    self.count(at, acts);
                }
                return;
            }
            RaftPayload::RequestVote(_) if led => return,
            _ => {}
        }
        if term > memory.term {
            (memory.term, memory.vote) = (term, None);
            self.memory = Some(memory);
            acts.save = true;
            self.offered = None;
            self.follow(now, None);
        }
        match ballot {
            RaftPayload::RequestVote(stamp) => {
                let free = memory.vote.is_none_or(|vote| vote == from);
                let yes = term == memory.term && free && stamp >= memory.head.stamp;
                if yes {
                    memory.vote = Some(from);
                    self.memory = Some(memory);
                    acts.save = true;
                    self.wait(now);
                }
                acts.send.push((from, memory.term, RaftPayload::VoteReply(yes)));
            }
            RaftPayload::VoteReply(true) if self.role == Role::Candidate && term == memory.term => {
                self.votes |= 1 << from;
                self.count(at, acts);
            }
            RaftPayload::AppendEntry { round, head, agreed, since, fresh } => {
                if term < memory.term {
                    let stored = memory.head.stamp;
                    acts.send.push((from, memory.term, RaftPayload::AppendReply { round: 0, stored, clock }));
                    return;
                }
                if self.role == Role::Leader {
                    return;
                }
                self.follow(now, Some(from));
                self.heard = Some(now);
                if head.stamp > memory.head.stamp {
                    if held(head.digest) {
                        memory.head = head;
                        self.memory = Some(memory);
                        acts.save = true;
                        self.offered = None;
                    } else {
                        self.offered = Some((head, round));
                        acts.want = Some((head.digest, from));
                    }
                }
                let stored = memory.head.stamp;
                acts.send.push((from, memory.term, RaftPayload::AppendReply { round, stored, clock }));
                acts.told = Some((agreed.unwrap_or(head), since, fresh));
            }
            RaftPayload::AppendReply { round, stored, clock }
                if self.role == Role::Leader && term == memory.term && round <= self.round =>
            {
                let other = &mut self.others[usize::from(from)];
                if round >= other.round {
                    other.clock = Some((clock, now));
                }
                other.round = other.round.max(round);
                other.stored = other.stored.max(stored);
                self.confirm(now, acts);
            }
            _ => {}
        }
    }
}
