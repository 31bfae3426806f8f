//! Calls into a voter's [`Raft`], and execution of the resulting effects.

use super::ReplicatedConfig;
use super::chunked_transfer::ChunkedTransfer;
use super::effect::{Effect, PersistedState};
use super::message::{Announcement, Message, RaftMessage, VersionHeader};
use super::raft::{HardState, Raft, RaftEffects, Role, StepTime};
use alderstile::types::Micros;

/// The state that a call may change.
#[derive(Clone, Copy)]
struct RaftState {
    role: Role,
    hard_state: Option<HardState>,
    committed: Option<VersionHeader>,
    confirmed_at: Option<Micros>,
}

impl RaftState {
    fn of(raft: &Raft) -> Self {
        RaftState {
            role: raft.role(),
            hard_state: raft.hard_state().copied(),
            committed: raft.committed(),
            confirmed_at: raft.confirmed_at(),
        }
    }
}

impl ReplicatedConfig {
    /// Passes another voter's message to Raft.
    pub(super) fn handle_raft_message(&mut self, message: RaftMessage, effects: &mut Vec<Effect>) {
        self.drive_raft(effects, |raft, time, documents, raft_effects| {
            raft.step(time, message, |digest| documents.contains(digest), raft_effects);
        });
        // A learner receives announcements of versions whose documents it has to fetch.
        if let Some(voter) = self.settings.voter(message.peer) {
            self.fetch_committed(effects, voter);
        }
    }

    /// Calls this voter's Raft, if this node is a voter, and executes its effects: the hard state is
    /// persisted before the messages that depend on it are sent.
    pub(super) fn drive_raft(
        &mut self,
        effects: &mut Vec<Effect>,
        call: impl FnOnce(&mut Raft, StepTime, &ChunkedTransfer, &mut RaftEffects),
    ) {
        let commit_age = self.commit_age().unwrap_or_default();
        let time = StepTime { now: self.now, clock_us: self.clock_us(), commit_age };
        let Some(raft) = &mut self.raft else { return };
        let (before, mut raft_effects) = (RaftState::of(raft), RaftEffects::default());
        call(raft, time, &self.documents, &mut raft_effects);
        let after = RaftState::of(raft);
        if let Some(hard_state) = after.hard_state.filter(|_| raft_effects.persist) {
            let document = self.documents.get(hard_state.entry.digest).unwrap_or_default().to_vec();
            effects.push(Effect::Persist(PersistedState { hard_state, document }));
        }
        self.send_raft_messages(raft_effects.messages, effects);
        if let Some(fetch) = raft_effects.fetch
            && let Some(from) = self.settings.voter(fetch.voter)
        {
            self.fetch(effects, fetch.digest, from);
        }
        self.report_role(before.role, after.role, effects);
        self.record_raft_progress(before, after, raft_effects.committed, effects);
        if let Some(announcement) = raft_effects.announced {
            self.record_announced(announcement, effects);
        }
    }

    fn send_raft_messages(&mut self, messages: Vec<RaftMessage>, effects: &mut Vec<Effect>) {
        let (voters_digest, from) = (self.voters_digest, self.settings.local_voter.unwrap_or_default());
        for RaftMessage { peer, term, payload } in messages {
            if let Some(to) = self.settings.voter(peer) {
                self.send(effects, to, &Message::Raft { voters_digest, from, term, payload });
            }
        }
    }

    fn report_role(&mut self, before: Role, after: Role, effects: &mut Vec<Effect>) {
        if before == after {
            return;
        }
        effects.push(Effect::RoleChanged(after));
        if before == Role::Leader {
            self.proposals.discard_pending();
        }
    }

    /// Records what a leader's own rounds confirm: a commit, or that the latest version is still the latest.
    fn record_raft_progress(
        &mut self,
        before: RaftState,
        after: RaftState,
        just_committed: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(header) = after.committed else { return };
        if just_committed {
            self.record_committed(effects, header, Micros(0), after.confirmed_at);
            self.broadcast_commit(effects);
            self.reply_to_committed(effects);
        } else if after.confirmed_at > before.confirmed_at {
            self.record_committed(effects, header, Micros(0), after.confirmed_at);
        }
    }

    /// Announces a commit to the other voters immediately instead of at the next heartbeat.
    fn broadcast_commit(&mut self, effects: &mut Vec<Effect>) {
        // A function pointer, because a closure would make the type of the recursive call infinite.
        let append: fn(&mut Raft, StepTime, &ChunkedTransfer, &mut RaftEffects) =
            |raft, time, _, raft_effects| raft.broadcast_append(time, raft_effects);
        self.drive_raft(effects, append);
    }

    pub(super) fn record_announced(&mut self, announcement: Announcement, effects: &mut Vec<Effect>) {
        let Announcement { header, commit_age_us, latest_at_us } = announcement;
        let latest_at = self.echoed_time(latest_at_us);
        self.record_committed(effects, header, Micros(commit_age_us), latest_at);
    }
}
