//! Proposals by operators.

use std::time::Duration;

use alderstile_cluster::replicated_config::ProposalOutcome;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::ConfigReplica;
use super::document::{ConfigDocument, DocumentError};

/// How long a proposal is waited for: an operator's call is answered within two seconds.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How a proposal ended, as far as is known in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// It was committed as this version.
    Committed(u64),
    /// It changes nothing, for this reason.
    Rejected(String),
    /// Nothing was heard in time; it may still be committed.
    Pending,
}

impl ConfigReplica {
    /// Proposes a document as the version after `expected_version`, and waits for its end as long as an operator's call may.
    pub async fn propose(&self, expected_version: u64, document: &[u8]) -> ProposalResult {
        let document = match canonical(document) {
            Ok(document) => document,
            Err(error) => return ProposalResult::Rejected(error.to_string()),
        };
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce.wrapping_add(1));
        let (proposer, outcome) = oneshot::channel();
        self.proposers.borrow_mut().insert(nonce, proposer);
        let effects = self.core.borrow_mut().propose(self.now(), nonce, expected_version, document);
        self.carry_out(effects);
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
            // The caller may have gone.
            let _ = proposer.send(outcome);
        }
    }
}

/// A document in one way of writing: the same one proposed again has the same digest.
fn canonical(document: &[u8]) -> Result<Vec<u8>, DocumentError> {
    Ok(serde_json::to_vec(&ConfigDocument::parse(document)?)?)
}
