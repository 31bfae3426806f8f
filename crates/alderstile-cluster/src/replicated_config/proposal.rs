//! Proposals of a new version: this node's own and, at the leader, those of all nodes.

use std::net::SocketAddr;

use alderstile::types::Micros;
use thiserror::Error;

use super::ReplicatedConfig;
use super::effect::Effect;
use super::message::{MAX_DOCUMENT, Message, ProposalOutcome, ProposalRequest};
use super::raft::{Raft, Role};

/// Time after which an unanswered proposal is retransmitted.
const RETRANSMIT_INTERVAL: Micros = Micros::from_millis(400);
/// Maximum number of proposals that a leader keeps while it fetches their documents or commits them. Bounds
/// its memory.
const MAX_PENDING_PROPOSALS: usize = 8;

/// Error that describes why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct InvalidDocument(pub String);

/// Validates a document.
pub type ValidateDocument = Box<dyn Fn(&[u8]) -> Result<(), InvalidDocument>>;

/// Reason for rejecting a proposal. Its text is sent to the proposer.
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
    retransmit_at: Micros,
}

/// A proposal at the leader.
struct PendingProposal {
    /// Address of the proposer; `None` for this node's own proposal.
    from: Option<SocketAddr>,
    request: ProposalRequest,
    /// The version that the document is written as; `None` while its document is being fetched.
    version: Option<u64>,
}

/// The proposals that a node tracks.
pub(super) struct Proposals {
    own: Option<OwnProposal>,
    /// The voter that the next request is sent to.
    presumed_leader: u8,
    pending: Vec<PendingProposal>,
}

impl Proposals {
    pub fn new(presumed_leader: u8) -> Self {
        Proposals { own: None, presumed_leader, pending: Vec::new() }
    }

    /// Returns when this node's own proposal is retransmitted.
    pub fn retransmit_at(&self) -> Option<Micros> {
        self.own.as_ref().map(|own| own.retransmit_at)
    }

    /// Returns the digest of the document that this node proposes.
    pub fn own_digest(&self) -> Option<u64> {
        self.own.as_ref().map(|own| own.request.digest)
    }

    /// Discards all pending proposals. A voter that is no longer leader cannot determine their outcome.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }

    /// Discards pending proposals of this document that are not written yet.
    fn discard_awaiting_document(&mut self, digest: u64) {
        self.pending.retain(|pending| pending.version.is_some() || pending.request.digest != digest);
    }

    /// Finds a proposal of the same document that is written but not committed yet.
    fn find_written(&mut self, digest: u64) -> Option<&mut PendingProposal> {
        self.pending.iter_mut().find(|pending| pending.request.digest == digest && pending.version.is_some())
    }
}

impl ReplicatedConfig {
    /// Proposes a document as the version after `expected_version`. [`Effect::ProposalFinished`] reports the
    /// outcome with `nonce`. A node has one proposal at a time: a new one replaces the previous one.
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
        let digest = self.store_document(document);
        let request = ProposalRequest { nonce, expected_version, digest, length };
        self.proposals.own = Some(OwnProposal { request, retransmit_at: self.now });
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

    /// Stops retransmitting this node's proposal. The proposal may still be committed as a later
    /// version.
    pub fn abandon_proposal(&mut self, nonce: u64) {
        self.proposals.own.take_if(|own| own.request.nonce == nonce);
    }

    /// Submits this node's own proposal, locally if it is the leader, otherwise to the presumed leader.
    pub(super) fn submit_proposal(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(own) = &mut self.proposals.own else { return };
        own.retransmit_at = now + RETRANSMIT_INTERVAL;
        let request = own.request;
        if self.role() == Some(Role::Leader) {
            return self.process_proposal(PendingProposal { from: None, request, version: None }, effects);
        }
        if let Some(leader) = self.leader() {
            self.proposals.presumed_leader = leader;
        }
        let presumed_leader = self.proposals.presumed_leader;
        let Some(to) = self.settings.voter(presumed_leader) else { return };
        // If this voter does not reply, the next one is tried.
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
                self.reply(effects, Some(from), request.nonce, ProposalOutcome::NotLeader(leader));
            }
            return;
        }
        let pending = PendingProposal { from: Some(from), request, version: None };
        if self.documents.contains(request.digest) {
            self.process_proposal(pending, effects);
        } else if request.length > 0 && self.proposals.pending.len() < MAX_PENDING_PROPOSALS {
            self.proposals.discard_awaiting_document(request.digest);
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
            ProposalOutcome::NotLeader(voter) => self.resubmit_to_leader(voter, effects),
            outcome => self.finish_own_proposal(nonce, outcome, effects),
        }
    }

    /// Resubmits the proposal to the reported leader, unless it was the voter just asked: two voters that
    /// name each other as leader must not cause a loop.
    fn resubmit_to_leader(&mut self, voter: u8, effects: &mut Vec<Effect>) {
        let count = self.settings.voters.len();
        let just_asked = (usize::from(self.proposals.presumed_leader) + count - 1) % count.max(1);
        if usize::from(voter) < count && usize::from(voter) != just_asked {
            self.proposals.presumed_leader = voter;
            self.submit_proposal(effects);
        }
    }

    fn finish_own_proposal(&mut self, nonce: u64, outcome: ProposalOutcome, effects: &mut Vec<Effect>) {
        self.abandon_proposal(nonce);
        effects.push(Effect::ProposalFinished { nonce, outcome });
    }

    fn reply(
        &mut self,
        effects: &mut Vec<Effect>,
        from: Option<SocketAddr>,
        nonce: u64,
        outcome: ProposalOutcome,
    ) {
        match from {
            Some(to) => self.send(effects, to, &Message::ProposeReply { nonce, outcome }),
            None => self.finish_own_proposal(nonce, outcome, effects),
        }
    }

    /// At the leader: writes a proposal as the next version, or replies with the reason for rejecting it. Does
    /// nothing unless the proposal's document is stored.
    fn process_proposal(&mut self, proposal: PendingProposal, effects: &mut Vec<Effect>) {
        let PendingProposal { from, request, .. } = proposal;
        if !self.documents.contains(request.digest) {
            return;
        }
        let latest = self.committed.header;
        let version = latest.position.version;
        if latest.digest == request.digest && version == request.expected_version.saturating_add(1) {
            // The document is already committed and the earlier reply was lost.
            return self.reply(effects, from, request.nonce, ProposalOutcome::Committed(version));
        }
        if let Some(written) = self.proposals.find_written(request.digest) {
            // A retransmission: the reply is sent on commit.
            (written.from, written.request.nonce) = (from, request.nonce);
            return;
        }
        match self.check_proposal(&request) {
            Ok(()) => self.write_proposal(proposal, effects),
            Err(rejection) => self.reply(effects, from, request.nonce, rejection.into()),
        }
    }

    /// Checks whether the leader may write a proposal now.
    fn check_proposal(&self, request: &ProposalRequest) -> Result<(), Rejection> {
        let latest = self.committed.header;
        let (committed, activates_in) = (latest.position.version, self.activates_in());
        let is_settled = self.raft.as_ref().and_then(Raft::committed) == Some(latest);
        if !is_settled || self.hard_state().is_none_or(|hard_state| hard_state.entry != latest) {
            return Err(Rejection::Busy);
        }
        if committed != request.expected_version {
            return Err(Rejection::Conflict { committed, expected: request.expected_version });
        }
        if activates_in > Micros(0) {
            return Err(Rejection::NotActiveYet { version: committed, seconds: activates_in.as_secs_f64() });
        }
        let document = self.documents.get(request.digest).unwrap_or_default();
        Ok((self.validate)(document)?)
    }

    fn write_proposal(&mut self, proposal: PendingProposal, effects: &mut Vec<Effect>) {
        let digest = proposal.request.digest;
        let length = self.documents.get(digest).unwrap_or_default().len() as u32;
        let next = self.committed_version().saturating_add(1);
        self.proposals.discard_awaiting_document(digest);
        self.proposals.pending.push(PendingProposal { version: Some(next), ..proposal });
        let mut version = None;
        self.drive_raft(effects, |raft, time, _, raft_effects| {
            version = raft.propose(time, digest, length, raft_effects);
        });
        if version.is_none() {
            self.proposals.discard_pending();
        }
    }

    /// Processes the proposal whose document has just been fetched, if this node is still the leader.
    pub(super) fn process_fetched_proposal(&mut self, digest: u64, effects: &mut Vec<Effect>) {
        let awaits_document =
            |pending: &PendingProposal| pending.request.digest == digest && pending.version.is_none();
        if self.role() == Some(Role::Leader)
            && let Some(at) = self.proposals.pending.iter().position(awaits_document)
        {
            let proposal = self.proposals.pending.remove(at);
            self.process_proposal(proposal, effects);
        }
    }

    /// Replies to the proposal that has just been committed.
    pub(super) fn reply_to_committed(&mut self, effects: &mut Vec<Effect>) {
        let latest = self.committed.header;
        let version = latest.position.version;
        for pending in std::mem::take(&mut self.proposals.pending) {
            if pending.version == Some(version) && pending.request.digest == latest.digest {
                let outcome = ProposalOutcome::Committed(version);
                self.reply(effects, pending.from, pending.request.nonce, outcome);
            } else {
                self.proposals.pending.push(pending);
            }
        }
    }
}
