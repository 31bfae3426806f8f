//! Replication of the leader's entry: appends, the entries that voters have stored, and commits by a
//! majority.

use alderstile::types::Micros;

use super::{
    ClockReading, ELECTION_TIMEOUT_HEARTBEATS, FetchFromVoter, HardState, PendingEntry, Progress, Raft,
    RaftEffects, Role, Round, StepTime,
};
use crate::replicated_config::message::{
    Announcement, AppendEntry, AppendReply, LogPosition, RaftMessage, RaftPayload, VersionHeader,
};

/// Number of rounds whose start a leader keeps. Replies to older rounds renew no lease.
const MAX_ROUNDS: usize = 32;

impl Raft {
    /// Sends the next heartbeat, or steps down if no majority has replied within the election timeout
    /// (check-quorum), because the other voters may have elected another leader by then.
    pub(super) fn tick_leader(&mut self, time: StepTime, effects: &mut RaftEffects) {
        let confirmed_at = self.confirmed_at.unwrap_or(self.leader_since).max(self.leader_since);
        let timeout = self.heartbeats(ELECTION_TIMEOUT_HEARTBEATS);
        if self.progress.len() > 1 && confirmed_at + timeout < time.now {
            self.become_follower(time.now, None);
        } else {
            self.broadcast_append(time, effects);
        }
    }

    /// Starts a round: sends this leader's entry and the committed version to all other voters.
    pub fn broadcast_append(&mut self, time: StepTime, effects: &mut RaftEffects) {
        let Some(hard_state) = self.hard_state.filter(|_| self.role == Role::Leader) else { return };
        self.round += 1;
        self.rounds.push_back(Round { number: self.round, started_at: time.now });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.heartbeat_at = time.now + self.heartbeat;
        if self.progress.len() == 1 {
            self.confirm_majority(time.now, effects);
        }
        for peer in self.peers() {
            let append = self.append_for(peer, hard_state.entry, time);
            let payload = RaftPayload::AppendEntry(append);
            effects.messages.push(RaftMessage { peer, term: hard_state.term, payload });
        }
    }

    fn append_for(&self, peer: u8, entry: VersionHeader, time: StepTime) -> AppendEntry {
        let committed = match self.committed {
            Some(committed) if committed == entry => None,
            Some(committed) => Some(committed),
            // The committed version is not known yet; version 0 precedes all others.
            None => Some(HardState::genesis().entry),
        };
        let clock = self.progress[usize::from(peer)].clock;
        let latest_at_us = match (self.confirmed_at(), clock) {
            // The peer read its clock before this voter received the reading, so the result is never too
            // late.
            (Some(confirmed_at), Some(ClockReading { clock_us, received_at })) => {
                clock_us.saturating_add(confirmed_at.0).saturating_sub(received_at.0)
            }
            _ => 0,
        };
        let commit_age_us = time.commit_age.0;
        AppendEntry { round: self.round, entry, committed, commit_age_us, latest_at_us }
    }

    /// Writes a document as the next version and returns that version. Returns `None` unless the current
    /// entry is committed. The document must be stored.
    pub fn propose(
        &mut self,
        time: StepTime,
        digest: u64,
        length: u32,
        effects: &mut RaftEffects,
    ) -> Option<u64> {
        let committed = self.committed()?;
        let hard_state = self.hard_state.as_mut().filter(|hard_state| hard_state.entry == committed)?;
        let version = committed.position.version.saturating_add(1);
        let position = LogPosition { term: hard_state.term, version };
        hard_state.entry = VersionHeader { position, digest, length };
        effects.persist = true;
        self.broadcast_append(time, effects);
        Some(version)
    }

    /// Stores the leader's entry at a follower, or fetches its document first.
    pub(super) fn handle_append(
        &mut self,
        time: StepTime,
        peer: u8,
        term: u64,
        append: AppendEntry,
        has_document: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let Some(hard_state) = self.hard_state else { return };
        if term < hard_state.term {
            // Round 0 confirms nothing. The term in the reply makes the old leader step down.
            return self.reply_to_append(time, peer, 0, effects);
        }
        if self.role == Role::Leader {
            return;
        }
        self.become_follower(time.now, Some(peer));
        self.leader_contact_at = Some(time.now);
        if append.entry.position > hard_state.entry.position {
            self.store_or_fetch(peer, &append, has_document, effects);
        }
        self.reply_to_append(time, peer, append.round, effects);
        effects.announced = Some(announcement(&append));
    }

    fn store_or_fetch(
        &mut self,
        peer: u8,
        append: &AppendEntry,
        has_document: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let entry = append.entry;
        if has_document(entry.digest) {
            self.store(entry, effects);
        } else {
            self.pending_entry = Some(PendingEntry { entry, round: append.round });
            effects.fetch = Some(FetchFromVoter { digest: entry.digest, voter: peer });
        }
    }

    fn store(&mut self, entry: VersionHeader, effects: &mut RaftEffects) {
        if let Some(hard_state) = &mut self.hard_state {
            hard_state.entry = entry;
            effects.persist = true;
            self.pending_entry = None;
        }
    }

    fn reply_to_append(&self, time: StepTime, peer: u8, round: u64, effects: &mut RaftEffects) {
        let Some(hard_state) = self.hard_state else { return };
        let stored = hard_state.entry.position;
        let payload = RaftPayload::AppendReply(AppendReply { round, stored, clock_us: time.clock_us });
        effects.messages.push(RaftMessage { peer, term: hard_state.term, payload });
    }

    /// Handles the arrival of a document: a follower stores the entry that waits for it, and a learner may
    /// recover.
    pub fn handle_document_available(&mut self, time: StepTime, digest: u64, effects: &mut RaftEffects) {
        if let (Some(pending_entry), Some(hard_state), Some(leader)) =
            (self.pending_entry, self.hard_state, self.leader)
            && pending_entry.entry.digest == digest
            && pending_entry.entry.position > hard_state.entry.position
        {
            self.store(pending_entry.entry, effects);
            self.reply_to_append(time, leader, pending_entry.round, effects);
        }
        self.recover(time.now, |other| other == digest, effects);
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Micros,
        peer: u8,
        term: u64,
        reply: AppendReply,
        effects: &mut RaftEffects,
    ) {
        let current = self.hard_state.is_some_and(|hard_state| hard_state.term == term);
        if self.role != Role::Leader || !current || reply.round > self.round {
            return;
        }
        let progress = &mut self.progress[usize::from(peer)];
        if reply.round >= progress.round {
            progress.clock = Some(ClockReading { clock_us: reply.clock_us, received_at: now });
        }
        progress.round = progress.round.max(reply.round);
        progress.stored = progress.stored.max(reply.stored);
        self.confirm_majority(now, effects);
    }

    /// Records the last round that a majority has answered, and commits the entry once a majority has stored
    /// it.
    fn confirm_majority(&mut self, now: Micros, effects: &mut RaftEffects) {
        let Some(hard_state) = self.hard_state else { return };
        let confirmed_round = self.majority_round();
        if let Some(round) = self.rounds.iter().find(|round| round.number == confirmed_round) {
            self.confirmed_at = self.confirmed_at.max(Some(round.started_at.min(now)));
        }
        let id = usize::from(self.id);
        let has_entry = |(voter, progress): &(usize, &Progress)| {
            *voter == id || progress.stored == hard_state.entry.position
        };
        let stored = self.progress.iter().enumerate().filter(has_entry).count();
        if stored >= self.majority() && self.committed != Some(hard_state.entry) {
            self.committed = Some(hard_state.entry);
            effects.committed = true;
        }
    }

    fn majority_round(&self) -> u64 {
        let mut rounds: Vec<u64> = self.progress.iter().map(|progress| progress.round).collect();
        rounds[usize::from(self.id)] = self.round;
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        rounds[self.majority() - 1]
    }
}

/// Returns what an append announces about the committed version.
pub(super) fn announcement(append: &AppendEntry) -> Announcement {
    Announcement {
        header: append.committed.unwrap_or(append.entry),
        commit_age_us: append.commit_age_us,
        latest_at_us: append.latest_at_us,
    }
}
