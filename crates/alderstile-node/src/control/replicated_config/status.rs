//! Status and metrics of the replicated configuration for operators. The names are part of the admin
//! interface, so they do not change, although the code uses other terms.

use std::fmt::Write;
use std::net::SocketAddr;

use alderstile_cluster::replicated_config::{LeaseState, Role};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::ConfigReplica;

/// Status of a node's replica.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// The active version; 0 if none has become active.
    #[serde(rename = "in_force")]
    pub active_version: u64,
    /// State of the lease on it: `counts`, `between`, `cut off` or `unheard`, as [`lease_state_name`] maps
    /// them.
    #[serde(rename = "standing")]
    pub lease_state: String,
    /// The latest version known to be committed.
    #[serde(rename = "known")]
    pub committed_version: u64,
    /// Time until that version becomes active, milliseconds.
    #[serde(rename = "waits_ms")]
    pub activates_in_ms: u64,
    /// Time since that version was last known to be the latest, milliseconds.
    #[serde(rename = "age_ms")]
    pub staleness_ms: Option<u64>,
    /// `leader`, `follower`, `candidate` or `learner`; `None` if the node is not a voter.
    #[serde(rename = "voter")]
    pub role: Option<String>,
    /// Address of the leader, if this node is a voter that knows it.
    pub leader: Option<SocketAddr>,
    /// Why the active version was not applied at this node.
    #[serde(rename = "refused")]
    pub rejection: Option<String>,
    /// Digest of the active document.
    pub digest: String,
    /// The active document.
    pub document: Value,
}

/// Returns the admin interface's name for a lease state.
pub fn lease_state_name(state: LeaseState) -> &'static str {
    match state {
        LeaseState::Unknown => "unheard",
        LeaseState::Valid => "counts",
        LeaseState::Superseded => "between",
        LeaseState::Expired => "cut off",
    }
}

/// Returns the admin interface's name for a voter's role.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Learner => "learner",
        Role::Follower => "follower",
        Role::PreCandidate | Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}

impl ConfigReplica {
    /// Returns the status for operators.
    pub fn status(&self) -> ReplicationStatus {
        let (core, now) = (self.core.borrow(), self.now());
        let document = core.active_document();
        ReplicationStatus {
            active_version: core.active_version(),
            lease_state: lease_state_name(core.lease_state(now)).to_owned(),
            committed_version: core.committed_version(),
            activates_in_ms: core.activates_in().0 / 1_000,
            staleness_ms: core.staleness(now).map(|age| age.0 / 1_000),
            role: core.role().map(|role| role_name(role).to_owned()),
            leader: core.leader().and_then(|leader| self.config.settings.voter(leader)),
            rejection: self.applied.rejection(),
            digest: format!("{:016x}", alderstile_cluster::content_digest(document)),
            document: serde_json::from_slice(document).unwrap_or_default(),
        }
    }

    /// Renders the metrics as text.
    pub fn metrics(&self) -> String {
        let (core, now) = (self.core.borrow(), self.now());
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "router.agreed_{name}:{value}|{kind}");
        };
        line("version", core.active_version(), 'g');
        line("known", core.committed_version(), 'g');
        line("cut_off", u64::from(core.lease_state(now) == LeaseState::Expired), 'g');
        line("refused", u64::from(self.applied.rejection().is_some()), 'g');
        line("age_ms", core.staleness(now).map_or(0, |age| age.0 / 1_000), 'g');
        line("told", core.subscriber_count() as u64, 'g');
        let traffic = core.traffic();
        line("sent", traffic.sent, 'c');
        line("sent_bytes", traffic.sent_bytes, 'c');
        line("taken", traffic.received, 'c');
        line("taken_bytes", traffic.received_bytes, 'c');
        line("foreign", traffic.foreign, 'c');
        line("damaged", traffic.malformed, 'c');
        line("newer", traffic.newer_format, 'c');
        line("contrary", traffic.conflicting, 'c');
        text
    }
}
