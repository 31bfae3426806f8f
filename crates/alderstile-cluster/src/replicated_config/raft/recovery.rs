//! How a voter comes back that has lost its hard state.
//!
//! Any vote that it may have forgotten was for one of the others, whose own term is at least that of the vote, and any entry that it
//! helped to commit is held by at least one other. So it asks all others, and goes on with the highest term that they tell, plus one, and
//! the last entry: it needs the answer of each of them.

use alderstile::types::Micros;
use rand::RngExt;

use super::replication::announcement;
use super::{FetchFromVoter, HardState, Raft, RaftEffects, RecalledState, Role};
use crate::replicated_config::message::{RaftMessage, RaftPayload};

/// A learner asks the others this often, in heartbeats.
const RECALL_INTERVAL_HEARTBEATS: u64 = 2;

/// The state of another voter, as a learner was told it.
struct PeerState {
    peer: u8,
    state: RecalledState,
}

impl Raft {
    /// The hard state could not be persisted: what rests on it was not sent, and nothing more is until the others have been asked.
    pub fn handle_persist_failure(&mut self, now: Micros) {
        self.hard_state = None;
        self.role = Role::Learner;
        (self.leader, self.offered) = (None, None);
        self.recall_nonce = self.rng.random();
        self.progress.iter_mut().for_each(|progress| progress.recalled = None);
        self.election_at = now + self.heartbeats(RECALL_INTERVAL_HEARTBEATS);
    }

    pub(super) fn tick_learner(&mut self, now: Micros, effects: &mut RaftEffects) {
        self.election_at = now + self.heartbeats(RECALL_INTERVAL_HEARTBEATS);
        self.broadcast(effects, 0, RaftPayload::HardStateRequest { nonce: self.recall_nonce });
    }

    /// A learner hears what is committed and collects the others' states; all else would need a hard state.
    pub(super) fn step_learner(
        &mut self,
        now: Micros,
        message: RaftMessage,
        holds: impl Fn(u64) -> bool,
        effects: &mut RaftEffects,
    ) {
        match message.payload {
            RaftPayload::AppendEntry(append) => {
                self.leader = Some(message.peer);
                effects.announced = Some(announcement(&append));
            }
            RaftPayload::HardStateReply { nonce, entry } if nonce == self.recall_nonce => {
                let recalled = RecalledState { term: message.term, entry };
                self.progress[usize::from(message.peer)].recalled = Some(recalled);
                self.recover(now, holds, effects);
            }
            _ => {}
        }
    }

    /// Takes up a hard state once each of the others has told its own and the last entry's document is held.
    pub(super) fn recover(&mut self, now: Micros, holds: impl Fn(u64) -> bool, effects: &mut RaftEffects) {
        if self.role != Role::Learner || self.progress.len() < 2 {
            return;
        }
        let Some(states) = self.recalled_states() else { return };
        let term = states.iter().map(|peer| peer.state.term).max().unwrap_or(0).saturating_add(1);
        let Some(last) = states.iter().max_by_key(|peer| peer.state.entry.position) else { return };
        let entry = last.state.entry;
        if !holds(entry.digest) {
            effects.fetch = Some(FetchFromVoter { digest: entry.digest, voter: last.peer });
            return;
        }
        self.hard_state = Some(HardState { term, vote: None, entry });
        effects.persist = true;
        self.become_follower(now, None);
    }

    /// The states of all others; none unless each of them has told its own.
    fn recalled_states(&self) -> Option<Vec<PeerState>> {
        let state = |peer: u8| {
            let state = self.progress[usize::from(peer)].recalled?;
            Some(PeerState { peer, state })
        };
        self.peers().map(state).collect()
    }
}
