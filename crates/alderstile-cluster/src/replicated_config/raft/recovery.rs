//! Recovery of a voter that has lost its hard state.
//!
//! A vote that the learner no longer knows of was for one of the other voters, whose term is at least that of
//! the vote, and any entry that it helped to commit is stored by at least one other voter. The learner
//! therefore requests the state of all others, and continues with the highest reported term plus one and the
//! last reported entry. It needs a reply from every other voter.

use alderstile::types::Micros;
use rand::RngExt;

use super::replication::announcement;
use super::{FetchFromVoter, HardState, Raft, RaftEffects, ReportedState, Role};
use crate::replicated_config::message::{RaftMessage, RaftPayload};

/// Interval of a learner's requests, in heartbeats.
const RECOVERY_INTERVAL_HEARTBEATS: u64 = 2;

/// The state that another voter reported.
struct PeerState {
    peer: u8,
    state: ReportedState,
}

impl Raft {
    /// Handles a failure to persist the hard state. The messages that depend on it were not sent, and this
    /// voter neither votes nor acknowledges until all other voters have replied to its request.
    pub fn handle_persist_failure(&mut self, now: Micros) {
        self.hard_state = None;
        self.role = Role::Learner;
        (self.leader, self.pending_entry) = (None, None);
        self.recovery_nonce = self.rng.random();
        self.progress.iter_mut().for_each(|progress| progress.reported_state = None);
        self.election_at = now + self.heartbeats(RECOVERY_INTERVAL_HEARTBEATS);
    }

    pub(super) fn tick_learner(&mut self, now: Micros, effects: &mut RaftEffects) {
        self.election_at = now + self.heartbeats(RECOVERY_INTERVAL_HEARTBEATS);
        self.broadcast(effects, 0, RaftPayload::HardStateRequest { nonce: self.recovery_nonce });
    }

    /// Records the committed version and the other voters' states. A learner handles no other message, as
    /// that would require a hard state.
    pub(super) fn step_learner(
        &mut self,
        now: Micros,
        message: RaftMessage,
        has_document: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        match message.payload {
            RaftPayload::AppendEntry(append) => {
                self.leader = Some(message.peer);
                effects.announced = Some(announcement(&append));
            }
            RaftPayload::HardStateReply { nonce, entry } if nonce == self.recovery_nonce => {
                let reported_state = ReportedState { term: message.term, entry };
                self.progress[usize::from(message.peer)].reported_state = Some(reported_state);
                self.recover(now, has_document, effects);
            }
            _ => {}
        }
    }

    /// Adopts a hard state once every other voter has reported its own and the document of the last entry is
    /// stored.
    pub(super) fn recover(
        &mut self,
        now: Micros,
        has_document: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        if self.role != Role::Learner || self.progress.len() < 2 {
            return;
        }
        let Some(states) = self.reported_states() else { return };
        let term = states.iter().map(|peer| peer.state.term).max().unwrap_or(0).saturating_add(1);
        let Some(last) = states.iter().max_by_key(|peer| peer.state.entry.position) else { return };
        let entry = last.state.entry;
        if !has_document(entry.digest) {
            effects.fetch = Some(FetchFromVoter { digest: entry.digest, voter: last.peer });
            return;
        }
        self.hard_state = Some(HardState { term, vote: None, entry });
        effects.persist = true;
        self.become_follower(now, None);
    }

    /// Returns the states of all other voters, or `None` if any of them has not reported its own.
    fn reported_states(&self) -> Option<Vec<PeerState>> {
        let state = |peer: u8| {
            let state = self.progress[usize::from(peer)].reported_state?;
            Some(PeerState { peer, state })
        };
        self.peers().map(state).collect()
    }
}
