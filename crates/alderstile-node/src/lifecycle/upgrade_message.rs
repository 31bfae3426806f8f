//! The messages of the upgrade channel. No I/O.

use serde::{Deserialize, Serialize};

use super::state_update::StateUpdate;
use super::upgrade_state::{UpgradeState, is_zero};
use crate::admin::maintenance_store::MaintenanceState;
use crate::proxy::request_ids::IdDigest;

/// The version of the messages that only some processes accept. From 1 on, processes report the ends of
/// requests and their memory in use; from 2 on, changes of the values that both share.
pub const MINOR_VERSION: u32 = 2;

/// A message on the channel, one JSON line each. The names on the wire are those of its first version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpgradeMessage {
    /// The first message of a successor.
    Join {
        /// The version of the channel's messages.
        version: u32,
        /// The successor's [`MINOR_VERSION`]; absent from processes of older versions.
        #[serde(default, skip_serializing_if = "is_zero")]
        minor_version: u32,
    },
    /// The predecessor's answer to [`UpgradeMessage::Join`]: its state.
    #[serde(rename = "hello")]
    State(Box<UpgradeState>),
    /// The predecessor's answer to a third process, which then ends.
    #[serde(rename = "taken")]
    AlreadyJoined,
    /// The number of descriptors that the sender has open.
    #[serde(rename = "held")]
    DescriptorsInUse(usize),
    /// Reports that the sender accepts clients; acknowledged.
    Ready {
        /// The number of the acknowledgement.
        number: u64,
    },
    /// Requests the listener for clients: the successor can now receive sockets; acknowledged.
    #[serde(rename = "door")]
    ShareListener {
        /// The number of the acknowledgement.
        number: u64,
    },
    /// Reports a change of a host's maintenance state; acknowledged.
    #[serde(rename = "host")]
    HostMaintenance {
        /// The number of the acknowledgement.
        number: u64,
        /// The host's name.
        host: String,
        /// The host's new maintenance state.
        #[serde(rename = "stand")]
        state: MaintenanceState,
    },
    /// Acknowledges a message after it has been processed.
    #[serde(rename = "done")]
    Ack {
        /// The number of the acknowledged message.
        number: u64,
    },
    /// Reports the id of a request that the sender has admitted. Sent to processes of minor version 0.
    #[serde(rename = "id")]
    RequestId(String),
    /// Reports the id of a request that the sender has admitted. Sent from minor version 1 on.
    #[serde(rename = "id_claimed")]
    RequestClaimed(IdDigest),
    /// The number of bytes that the sender's connections use of the memory budget. Sent from minor version 1
    /// on.
    #[serde(rename = "memory")]
    MemoryInUse(usize),
    /// Reports the id of a request that has ended at the sender. Sent from minor version 1 on.
    #[serde(rename = "id_ended")]
    RequestEnded(IdDigest),
    /// A successor asks its predecessor whether it may admit a request with this id. Sent from minor version 1
    /// on.
    #[serde(rename = "claim_id")]
    ClaimRequest {
        /// The number of the answer.
        number: u64,
        /// The id.
        id: IdDigest,
    },
    /// The predecessor's answer to [`UpgradeMessage::ClaimRequest`].
    #[serde(rename = "claim_answer")]
    ClaimAnswer {
        /// The number of the question.
        number: u64,
        /// Whether the id was new; it counts as claimed by the successor from then on.
        granted: bool,
    },
    /// Some of the ids of requests that had ended at the predecessor when the successor joined. Sent from minor
    /// version 1 on, directly after the state.
    #[serde(rename = "ended_ids")]
    EndedIds(Vec<IdDigest>),
    /// Reports a change of a value that both processes share. Sent from minor version 2 on.
    Update(StateUpdate),
    /// Reports that the sender is about to end and admits no more requests; acknowledged. Sent from minor version
    /// 2 on.
    Leaving {
        /// The number of the acknowledgement.
        number: u64,
    },
    /// Reports that the sender accepts no more clients.
    #[serde(rename = "closed")]
    StoppedAccepting,
}

impl UpgradeMessage {
    /// Returns the memory of the message in the queue, in bytes.
    pub fn queued_bytes(&self) -> usize {
        let text = match self {
            UpgradeMessage::RequestId(id) => id.len(),
            UpgradeMessage::HostMaintenance { host, .. } => host.len(),
            _ => 0,
        };
        size_of::<UpgradeMessage>() + text
    }
}
