//! Replication of the leader's entry: appends, what voters have stored, and what a majority makes of that.

use alderstile::types::Micros;

use super::{
    ClockReading, ELECTION_TIMEOUT_HEARTBEATS, FetchFromVoter, HardState, OfferedEntry, Progress, Raft,
    RaftEffects, Role, Round, StepTime,
};
use crate::replicated_config::message::{
    Announcement, AppendEntry, AppendReply, LogPosition, RaftMessage, RaftPayload, VersionHeader,
};

/// Rounds whose start a leader remembers: answers to older ones renew nothing.
const MAX_ROUNDS: usize = 32;

impl Raft {
    /// Sends the next heartbeat, or steps down where no majority has answered for the election timeout (check-quorum): the others may
    /// have elected another leader by then.
    pub(super) fn tick_leader(&mut self, time: StepTime, effects: &mut RaftEffects) {
        let confirmed_at = self.confirmed_at.unwrap_or(self.led_since).max(self.led_since);
        let timeout = self.heartbeats(ELECTION_TIMEOUT_HEARTBEATS);
        if self.progress.len() > 1 && confirmed_at + timeout < time.now {
            self.become_follower(time.now, None);
        } else {
            self.broadcast_append(time, effects);
        }
    }

    /// Begins a round: sends this leader's entry, and what is committed, to all other voters.
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
            // Not known yet: version 0 is older than any.
            None => Some(HardState::genesis().entry),
        };
        let clock = self.progress[usize::from(peer)].clock;
        let latest_at_us = match (self.confirmed_at(), clock) {
            // The peer read its clock before this voter heard of it, so this is never too late.
            (Some(confirmed_at), Some(ClockReading { clock_us, received_at })) => {
                clock_us.saturating_add(confirmed_at.0).saturating_sub(received_at.0)
            }
            _ => 0,
        };
        let committed_for_us = time.committed_for.0;
        AppendEntry { round: self.round, entry, committed, committed_for_us, latest_at_us }
    }

    /// Writes a document as the next version, and returns that; none unless the entry before is committed. The document has to be held.
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

    /// A follower takes the leader's entry over, or fetches its document first.
    pub(super) fn handle_append(
        &mut self,
        time: StepTime,
        peer: u8,
        term: u64,
        append: AppendEntry,
        holds: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let Some(hard_state) = self.hard_state else { return };
        if term < hard_state.term {
            // Round 0 confirms nothing; the term in the reply ends the old leader's.
            return self.reply_to_append(time, peer, 0, effects);
        }
        if self.role == Role::Leader {
            return;
        }
        self.become_follower(time.now, Some(peer));
        self.leader_contact_at = Some(time.now);
        if append.entry.position > hard_state.entry.position {
            self.store_or_fetch(peer, &append, holds, effects);
        }
        self.reply_to_append(time, peer, append.round, effects);
        effects.announced = Some(announcement(&append));
    }

    fn store_or_fetch(
        &mut self,
        peer: u8,
        append: &AppendEntry,
        holds: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        let entry = append.entry;
        if holds(entry.digest) {
            self.store(entry, effects);
        } else {
            self.offered = Some(OfferedEntry { entry, round: append.round });
            effects.fetch = Some(FetchFromVoter { digest: entry.digest, voter: peer });
        }
    }

    fn store(&mut self, entry: VersionHeader, effects: &mut RaftEffects) {
        if let Some(hard_state) = &mut self.hard_state {
            hard_state.entry = entry;
            effects.persist = true;
            self.offered = None;
        }
    }

    fn reply_to_append(&self, time: StepTime, peer: u8, round: u64, effects: &mut RaftEffects) {
        let Some(hard_state) = self.hard_state else { return };
        let stored = hard_state.entry.position;
        let payload = RaftPayload::AppendReply(AppendReply { round, stored, clock_us: time.clock_us });
        effects.messages.push(RaftMessage { peer, term: hard_state.term, payload });
    }

    /// A document has arrived: a follower stores the entry that waited for it, a learner may go on.
    pub fn handle_document_held(&mut self, time: StepTime, digest: u64, effects: &mut RaftEffects) {
        if let (Some(offered), Some(hard_state), Some(leader)) = (self.offered, self.hard_state, self.leader)
            && offered.entry.digest == digest
            && offered.entry.position > hard_state.entry.position
        {
            self.store(offered.entry, effects);
            self.reply_to_append(time, leader, offered.round, effects);
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

    /// Notes the last round that a majority has answered, and commits the entry once a majority has stored it.
    fn confirm_majority(&mut self, now: Micros, effects: &mut RaftEffects) {
        let Some(hard_state) = self.hard_state else { return };
        let answered = self.round_of_majority();
        if let Some(round) = self.rounds.iter().find(|round| round.number == answered) {
            self.confirmed_at = self.confirmed_at.max(Some(round.started_at.min(now)));
        }
        let me = usize::from(self.me);
        let stores = |(voter, progress): &(usize, &Progress)| {
            *voter == me || progress.stored == hard_state.entry.position
        };
        let stored = self.progress.iter().enumerate().filter(stores).count();
        if stored >= self.majority() && self.committed != Some(hard_state.entry) {
            self.committed = Some(hard_state.entry);
            effects.committed = true;
        }
    }

    fn round_of_majority(&self) -> u64 {
        let mut rounds: Vec<u64> = self.progress.iter().map(|progress| progress.round).collect();
        rounds[usize::from(self.me)] = self.round;
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        rounds[self.majority() - 1]
    }
}

/// What an append says of the committed version.
pub(super) fn announcement(append: &AppendEntry) -> Announcement {
    Announcement {
        header: append.committed.unwrap_or(append.entry),
        committed_for_us: append.committed_for_us,
        latest_at_us: append.latest_at_us,
    }
}
