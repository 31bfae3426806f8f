//! Proposals of a new version: this node's own, and at the leader those of all nodes.

use std::net::SocketAddr;

use alderstile::types::Micros;
use thiserror::Error;

use super::ReplicatedConfig;
use super::effect::Effect;
use super::message::{MAX_DOCUMENT, Message, ProposalOutcome, ProposalRequest};
use super::raft::{Raft, Role};

/// An unanswered proposal is sent again after this.
const REPEAT_INTERVAL: Micros = Micros::from_millis(400);
/// Proposals that a leader fetches or waits for: bounds its memory.
const MAX_PENDING: usize = 8;

/// Why a document can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct InvalidDocument(pub String);

/// Checks a document.
pub type ValidateDocument = Box<dyn Fn(&[u8]) -> Result<(), InvalidDocument>>;

/// Why a proposal is rejected; the text is sent to the proposer.
#[derive(Clone, Debug, PartialEq, Error)]
enum Rejection {
    #[error("{0} bytes: 1 to {MAX_DOCUMENT} are wanted")]
    Length(usize),
    #[error(transparent)]
    Invalid(#[from] InvalidDocument),
    #[error("another change is on its way, or a leader has just been elected: try again in a moment")]
    Busy,
    #[error("version {committed} is agreed, not {expected}: look at it, and propose on top of it")]
    Conflict { committed: u64, expected: u64 },
    #[error("version {version} counts in {seconds:.1} s only: try again then")]
    NotActiveYet { version: u64, seconds: f64 },
}

impl From<Rejection> for ProposalOutcome {
    fn from(rejection: Rejection) -> Self {
        ProposalOutcome::Rejected(rejection.to_string())
    }
}

/// This node's own proposal.
struct OwnProposal {
    request: ProposalRequest,
    repeat_at: Micros,
}

/// A proposal at the leader.
struct PendingProposal {
    /// Who is answered; none for this node's own.
    from: Option<SocketAddr>,
    request: ProposalRequest,
    /// The version that it would be; none while its document is fetched.
    version: Option<u64>,
}

/// The proposals that a node deals with.
pub(super) struct Proposals {
    own: Option<OwnProposal>,
    /// The voter that is asked next.
    presumed_leader: u8,
    pending: Vec<PendingProposal>,
}

impl Proposals {
    pub fn new(presumed_leader: u8) -> Self {
        Proposals { own: None, presumed_leader, pending: Vec::new() }
    }

    /// When this node's own proposal is sent again.
    pub fn repeat_at(&self) -> Option<Micros> {
        self.own.as_ref().map(|own| own.repeat_at)
    }

    /// Digest of the document that this node proposes.
    pub fn own_digest(&self) -> Option<u64> {
        self.own.as_ref().map(|own| own.request.digest)
    }

    /// Forgets proposals of others: who no longer leads can't tell how they end.
    pub fn forget_pending(&mut self) {
        self.pending.clear();
    }

    /// Forgets a proposal whose document is or was to be fetched.
    fn forget_fetched(&mut self, digest: u64) {
        self.pending.retain(|pending| pending.version.is_some() || pending.request.digest != digest);
    }

    /// A proposal of the same document that is written but not committed yet.
    fn written(&mut self, digest: u64) -> Option<&mut PendingProposal> {
        self.pending.iter_mut().find(|pending| pending.request.digest == digest && pending.version.is_some())
    }
}

impl ReplicatedConfig {
    /// Proposes a document as the version after `expected_version`; [`Effect::ProposalFinished`] names the nonce. One at a time: another
    /// one takes the place of this node's own proposal before.
    pub fn propose(
        &mut self,
        now: Micros,
        nonce: u64,
        expected_version: u64,
        document: Vec<u8>,
    ) -> Vec<Effect> {
        self.now = self.now.max(now);
        if let Err(rejection) = self.validate_proposed(&document) {
            return vec![Effect::ProposalFinished { nonce, outcome: rejection.into() }];
        }
        let length = document.len() as u32;
        let digest = self.hold(document);
        let request = ProposalRequest { nonce, expected_version, digest, length };
        self.proposals.own = Some(OwnProposal { request, repeat_at: self.now });
        let mut effects = Vec::new();
        self.submit_proposal(&mut effects);
        effects
    }

    fn validate_proposed(&self, document: &[u8]) -> Result<(), Rejection> {
        if document.is_empty() || document.len() > MAX_DOCUMENT {
            return Err(Rejection::Length(document.len()));
        }
        Ok((self.validate)(document)?)
    }

    /// Stops repeating this node's proposal. It may still be committed: the latest version shows it.
    pub fn abandon_proposal(&mut self, nonce: u64) {
        self.proposals.own.take_if(|own| own.request.nonce == nonce);
    }

    /// Submits this node's own proposal: here, or to the voter that is presumed to lead.
    pub(super) fn submit_proposal(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(own) = &mut self.proposals.own else { return };
        own.repeat_at = now + REPEAT_INTERVAL;
        let request = own.request;
        if self.role() == Some(Role::Leader) {
            return self.consider(PendingProposal { from: None, request, version: None }, effects);
        }
        if let Some(leader) = self.leader() {
            self.proposals.presumed_leader = leader;
        }
        let presumed_leader = self.proposals.presumed_leader;
        let Some(to) = self.settings.voter(presumed_leader) else { return };
        // If this one doesn't answer, the next one is asked.
        self.proposals.presumed_leader = (presumed_leader + 1) % self.settings.voters.len().max(1) as u8;
        self.send(effects, to, &Message::Propose(request));
    }

    pub(super) fn handle_propose(
        &mut self,
        from: SocketAddr,
        request: ProposalRequest,
        effects: &mut Vec<Effect>,
    ) {
        if self.role() != Some(Role::Leader) {
            if let Some(leader) = self.leader() {
                self.answer(effects, Some(from), request.nonce, ProposalOutcome::NotLeader(leader));
            }
            return;
        }
        let pending = PendingProposal { from: Some(from), request, version: None };
        if self.documents.holds(request.digest) {
            self.consider(pending, effects);
        } else if request.length > 0 && self.proposals.pending.len() < MAX_PENDING {
            self.proposals.forget_fetched(request.digest);
            self.proposals.pending.push(pending);
            self.fetch(effects, request.digest, from);
        }
    }

    pub(super) fn handle_propose_reply(
        &mut self,
        nonce: u64,
        outcome: ProposalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if self.proposals.own.as_ref().is_none_or(|own| own.request.nonce != nonce) {
            return;
        }
        match outcome {
            ProposalOutcome::NotLeader(voter) => self.submit_elsewhere(voter, effects),
            outcome => self.finish_own(nonce, outcome, effects),
        }
    }

    /// Submits to the voter that is said to lead, unless it was the one just asked: two that name each other must not make a loop.
    fn submit_elsewhere(&mut self, voter: u8, effects: &mut Vec<Effect>) {
        let count = self.settings.voters.len();
        let just_asked = (usize::from(self.proposals.presumed_leader) + count - 1) % count.max(1);
        if usize::from(voter) < count && usize::from(voter) != just_asked {
            self.proposals.presumed_leader = voter;
            self.submit_proposal(effects);
        }
    }

    fn finish_own(&mut self, nonce: u64, outcome: ProposalOutcome, effects: &mut Vec<Effect>) {
        self.abandon_proposal(nonce);
        effects.push(Effect::ProposalFinished { nonce, outcome });
    }

    fn answer(
        &mut self,
        effects: &mut Vec<Effect>,
        from: Option<SocketAddr>,
        nonce: u64,
        outcome: ProposalOutcome,
    ) {
        match from {
            Some(to) => self.send(effects, to, &Message::ProposeReply { nonce, outcome }),
            None => self.finish_own(nonce, outcome, effects),
        }
    }

    /// At the leader: writes a proposal as the next version, or answers why not. Its document is held.
    fn consider(&mut self, proposal: PendingProposal, effects: &mut Vec<Effect>) {
        let PendingProposal { from, request, .. } = proposal;
        if !self.documents.holds(request.digest) {
            return;
        }
        let latest = self.committed.header;
        let version = latest.position.version;
        if latest.digest == request.digest && version == request.expected_version.saturating_add(1) {
            // It was committed before, and that answer was lost.
            return self.answer(effects, from, request.nonce, ProposalOutcome::Committed(version));
        }
        if let Some(written) = self.proposals.written(request.digest) {
            // The same again: it is answered when it is committed.
            (written.from, written.request.nonce) = (from, request.nonce);
            return;
        }
        match self.check_acceptable(&request) {
            Ok(()) => self.write_proposal(proposal, effects),
            Err(rejection) => self.answer(effects, from, request.nonce, rejection.into()),
        }
    }

    /// Whether the leader may write a proposal now.
    fn check_acceptable(&self, request: &ProposalRequest) -> Result<(), Rejection> {
        let latest = self.committed.header;
        let (committed, wait) = (latest.position.version, self.activates_in());
        let settled = self.raft.as_ref().and_then(Raft::committed) == Some(latest);
        if !settled || self.hard_state().is_none_or(|hard_state| hard_state.entry != latest) {
            return Err(Rejection::Busy);
        }
        if committed != request.expected_version {
            return Err(Rejection::Conflict { committed, expected: request.expected_version });
        }
        if wait > Micros(0) {
            return Err(Rejection::NotActiveYet { version: committed, seconds: wait.as_secs_f64() });
        }
        let document = self.documents.get(request.digest).unwrap_or_default();
        Ok((self.validate)(document)?)
    }

    fn write_proposal(&mut self, proposal: PendingProposal, effects: &mut Vec<Effect>) {
        let digest = proposal.request.digest;
        let length = self.documents.get(digest).unwrap_or_default().len() as u32;
        let next = self.committed_version().saturating_add(1);
        self.proposals.forget_fetched(digest);
        self.proposals.pending.push(PendingProposal { version: Some(next), ..proposal });
        let mut version = None;
        self.drive_raft(effects, |raft, time, _, raft_effects| {
            version = raft.propose(time, digest, length, raft_effects);
        });
        if version.is_none() {
            self.proposals.forget_pending();
        }
    }

    /// Considers the proposal whose document has just arrived, if this node still leads.
    pub(super) fn consider_fetched(&mut self, digest: u64, effects: &mut Vec<Effect>) {
        let waits = |pending: &PendingProposal| pending.request.digest == digest && pending.version.is_none();
        if self.role() == Some(Role::Leader)
            && let Some(at) = self.proposals.pending.iter().position(waits)
        {
            let proposal = self.proposals.pending.remove(at);
            self.consider(proposal, effects);
        }
    }

    /// Answers the proposal that has just been committed.
    pub(super) fn answer_committed(&mut self, effects: &mut Vec<Effect>) {
        let latest = self.committed.header;
        let version = latest.position.version;
        for pending in std::mem::take(&mut self.proposals.pending) {
            if pending.version == Some(version) && pending.request.digest == latest.digest {
                let outcome = ProposalOutcome::Committed(version);
                self.answer(effects, pending.from, pending.request.nonce, outcome);
            } else {
                self.proposals.pending.push(pending);
            }
        }
    }
}
