//! Elections: pre-vote, vote, and the transition from candidate to leader.

use alderstile::types::Micros;

use super::{ELECTION_TIMEOUT_HEARTBEATS, HardState, Raft, RaftEffects, Role, StepTime};
use crate::replicated_config::message::{LogPosition, RaftMessage, RaftPayload};

impl Raft {
    /// Asks the other voters whether they would elect this one, so that a voter that returns from a partition
    /// does not raise the term.
    pub(super) fn start_pre_vote(
        &mut self,
        time: StepTime,
        hard_state: HardState,
        effects: &mut RaftEffects,
    ) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = 1 << self.id;
        self.reset_election_timer(time.now);
        let last_entry = hard_state.entry.position;
        self.broadcast(effects, hard_state.term.saturating_add(1), RaftPayload::PreVote { last_entry });
        self.count_votes(time, effects);
    }

    /// Advances the election while a majority supports this voter. A single voter is a majority by itself.
    fn count_votes(&mut self, time: StepTime, effects: &mut RaftEffects) {
        while self.votes.count_ones() as usize >= self.majority() {
            match self.role {
                Role::PreCandidate => self.become_candidate(time.now, effects),
                Role::Candidate => return self.become_leader(time, effects),
                _ => return,
            }
        }
    }

    fn become_candidate(&mut self, now: Micros, effects: &mut RaftEffects) {
        self.role = Role::Candidate;
        self.votes = 1 << self.id;
        let Some(hard_state) = &mut self.hard_state else { return };
        (hard_state.term, hard_state.vote) = (hard_state.term.saturating_add(1), Some(self.id));
        let (term, last_entry) = (hard_state.term, hard_state.entry.position);
        effects.persist = true;
        self.reset_election_timer(now);
        self.broadcast(effects, term, RaftPayload::RequestVote { last_entry });
    }

    fn become_leader(&mut self, time: StepTime, effects: &mut RaftEffects) {
        let Some(hard_state) = &mut self.hard_state else { return };
        hard_state.entry.position.term = hard_state.term;
        effects.persist = true;
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_since = time.now;
        (self.confirmed_at, self.committed, self.pending_entry) = (None, None, None);
        self.rounds.clear();
        for progress in &mut self.progress {
            (progress.stored, progress.clock) = (LogPosition::default(), None);
        }
        self.broadcast_append(time, effects);
    }

    /// Returns whether this voter is the leader or has recently received an append from it. Such a voter
    /// ignores candidates (section 6), so that a voter that receives nothing from the leader cannot depose
    /// it.
    pub(super) fn has_leader_contact(&self, now: Micros) -> bool {
        let timeout = self.heartbeats(ELECTION_TIMEOUT_HEARTBEATS);
        let is_recent = self.leader_contact_at.is_some_and(|received_at| now < received_at + timeout);
        self.role == Role::Leader || (self.leader.is_some() && is_recent)
    }

    pub(super) fn handle_pre_vote(
        &self,
        now: Micros,
        peer: u8,
        term: u64,
        last_entry: LogPosition,
        effects: &mut RaftEffects,
    ) {
        let Some(hard_state) = self.hard_state else { return };
        let granted = !self.has_leader_contact(now)
            && term > hard_state.term
            && last_entry >= hard_state.entry.position;
        // A refusal carries this voter's own term, so that a candidate with an older term learns the current
        // one.
        let term = if granted { term } else { hard_state.term };
        effects.messages.push(RaftMessage { peer, term, payload: RaftPayload::PreVoteReply { granted } });
    }

    pub(super) fn handle_pre_vote_granted(
        &mut self,
        time: StepTime,
        peer: u8,
        term: u64,
        effects: &mut RaftEffects,
    ) {
        let next_term = self.hard_state.map(|hard_state| hard_state.term.saturating_add(1));
        if self.role == Role::PreCandidate && Some(term) == next_term {
            self.votes |= 1 << peer;
            self.count_votes(time, effects);
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: Micros,
        peer: u8,
        term: u64,
        last_entry: LogPosition,
        effects: &mut RaftEffects,
    ) {
        let Some(hard_state) = &mut self.hard_state else { return };
        let may_vote = hard_state.vote.is_none_or(|vote| vote == peer);
        let granted = term == hard_state.term && may_vote && last_entry >= hard_state.entry.position;
        let own_term = hard_state.term;
        if granted {
            hard_state.vote = Some(peer);
            effects.persist = true;
            self.reset_election_timer(now);
        }
        let payload = RaftPayload::VoteReply { granted };
        effects.messages.push(RaftMessage { peer, term: own_term, payload });
    }

    pub(super) fn handle_vote_granted(
        &mut self,
        time: StepTime,
        peer: u8,
        term: u64,
        effects: &mut RaftEffects,
    ) {
        let current = self.hard_state.is_some_and(|hard_state| hard_state.term == term);
        if self.role == Role::Candidate && current {
            self.votes |= 1 << peer;
            self.count_votes(time, effects);
        }
    }
}
