//! Proposals by operators.

use std::time::Duration;

use alderstile_cluster::replicated_config::ProposalOutcome;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::ConfigReplica;
use super::document::{ConfigDocument, DocumentError};

/// How long a call waits for a proposal's outcome. An operator's call is answered within two seconds.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Result of a proposal, as far as it is known in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The document was committed as this version.
    Committed(u64),
    /// The proposal changes nothing, for this reason.
    Rejected(String),
    /// No outcome was received in time. The proposal may still be committed.
    Pending,
}

impl ConfigReplica {
    /// Proposes a document as the version after `expected_version`, and waits for the outcome for as long as
    /// an operator's call may take.
    pub async fn propose(&self, expected_version: u64, document: &[u8]) -> ProposalResult {
        let document = match canonicalize(document) {
            Ok(document) => document,
            Err(error) => return ProposalResult::Rejected(error.to_string()),
        };
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce.wrapping_add(1));
        let (proposer, outcome) = oneshot::channel();
        self.proposers.borrow_mut().insert(nonce, proposer);
        let effects = self.core.borrow_mut().propose(self.now(), nonce, expected_version, document);
        self.execute(effects);
        self.timeout_changed.notify_one();
        let outcome = timeout(PROPOSAL_TIMEOUT, outcome).await;
        self.proposers.borrow_mut().remove(&nonce);
        match outcome {
            Ok(Ok(ProposalOutcome::Committed(version))) => ProposalResult::Committed(version),
            Ok(Ok(ProposalOutcome::Rejected(reason))) => ProposalResult::Rejected(reason),
            _ => {
                self.core.borrow_mut().abandon_proposal(nonce);
                ProposalResult::Pending
            }
        }
    }

    pub(super) fn finish_proposal(&self, nonce: u64, outcome: ProposalOutcome) {
        if let Some(proposer) = self.proposers.borrow_mut().remove(&nonce) {
            // The caller may no longer be waiting.
            let _ = proposer.send(outcome);
        }
    }
}

/// Serializes a document in its canonical form, so that proposing the same document again yields the same
/// digest.
fn canonicalize(document: &[u8]) -> Result<Vec<u8>, DocumentError> {
    Ok(serde_json::to_vec(&ConfigDocument::parse(document)?)?)
}
