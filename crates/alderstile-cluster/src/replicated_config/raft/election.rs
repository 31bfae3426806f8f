//! Elections: pre-vote, vote, and a candidate that becomes the leader.

use alderstile::types::Micros;

use super::{ELECTION_TIMEOUT_HEARTBEATS, HardState, Raft, RaftEffects, Role, StepTime};
use crate::replicated_config::message::{LogPosition, RaftMessage, RaftPayload};

impl Raft {
    /// Asks the others whether they would elect this voter: one that was cut off must not raise the term when it is back.
    pub(super) fn start_pre_vote(
        &mut self,
        time: StepTime,
        hard_state: HardState,
        effects: &mut RaftEffects,
    ) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = 1 << self.me;
        self.reset_election_timer(time.now);
        let last_entry = hard_state.entry.position;
        self.broadcast(effects, hard_state.term.saturating_add(1), RaftPayload::PreVote { last_entry });
        self.count_votes(time, effects);
    }

    /// Goes on to the next stage of the election for as long as a majority is for this voter: it alone may be one.
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
        self.votes = 1 << self.me;
        let Some(hard_state) = &mut self.hard_state else { return };
        (hard_state.term, hard_state.vote) = (hard_state.term.saturating_add(1), Some(self.me));
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
        self.leader = Some(self.me);
        self.led_since = time.now;
        (self.confirmed_at, self.committed, self.offered) = (None, None, None);
        self.rounds.clear();
        for progress in &mut self.progress {
            (progress.stored, progress.clock) = (LogPosition::default(), None);
        }
        self.broadcast_append(time, effects);
    }

    /// Whether this voter leads or has just heard the leader: then it listens to no candidate (section 6), so that one that
    /// doesn't hear the leader can't depose it.
    pub(super) fn hears_leader(&self, now: Micros) -> bool {
        let timeout = self.heartbeats(ELECTION_TIMEOUT_HEARTBEATS);
        let heard = self.leader_contact_at.is_some_and(|received_at| now < received_at + timeout);
        self.role == Role::Leader || (self.leader.is_some() && heard)
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
        let granted =
            !self.hears_leader(now) && term > hard_state.term && last_entry >= hard_state.entry.position;
        // A refusal carries this voter's own term, which tells a candidate that is behind where it stands.
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
        let free = hard_state.vote.is_none_or(|vote| vote == peer);
        let granted = term == hard_state.term && free && last_entry >= hard_state.entry.position;
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
