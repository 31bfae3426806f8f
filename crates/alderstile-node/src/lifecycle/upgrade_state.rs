//! The state that a process sends to its successor, so that both act as one node. No I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderstile::types::{Micros, RetryBudgetBucket};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::admin::maintenance_store::MaintenanceState;
use crate::discovery::endpoint_list::EndpointList;
use crate::proxy::request_ids::IdDigest;

pub(super) fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The predecessor's state, as sent in its first message. The names on the wire are those of the first
/// version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpgradeState {
    /// The version of the channel's messages.
    pub version: u32,
    /// The predecessor's [`MINOR_VERSION`](super::upgrade_message::MINOR_VERSION); absent from processes of
    /// older versions.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub minor_version: u32,
    /// The node's name.
    pub name: String,
    /// The active configuration, without the cached endpoint list.
    pub config: Value,
    /// The address of discovery that the predecessor uses.
    pub discovery: Option<SocketAddr>,
    /// The complete endpoint list.
    #[serde(rename = "list")]
    pub endpoints: EndpointList,
    /// The address of discovery from which the endpoint list is, if that is not
    /// [`UpgradeState::discovery`].
    #[serde(rename = "list_from", default, skip_serializing_if = "Option::is_none")]
    pub endpoints_source: Option<SocketAddr>,
    /// The maintenance states that operators have set, by host.
    #[serde(rename = "hosts")]
    pub host_maintenance: BTreeMap<String, MaintenanceState>,
    /// Ids of requests that are open or have ended recently, for processes of minor version 0: short ids and
    /// the last ones only.
    #[serde(rename = "ids")]
    pub request_ids: Vec<String>,
    /// Ids of the requests that are open at the predecessor, which reports their ends. Empty from processes of
    /// minor version 0, which report none.
    #[serde(rename = "open_ids", default, skip_serializing_if = "Vec::is_empty")]
    pub open_request_ids: Vec<IdDigest>,
    /// The number of descriptors that the predecessor has open.
    #[serde(rename = "held")]
    pub descriptors_in_use: usize,
    /// The buckets of the retry budget; `None` if unknown, as from a process of an older version.
    #[serde(rename = "spent", default)]
    pub retry_budget: Option<Vec<RetryBudgetAges>>,
    /// The remaining lease on the endpoint list, in microseconds; `None` if unknown.
    #[serde(rename = "lease_left", default)]
    pub lease_remaining_us: Option<u64>,
    /// The node's identity in its cluster, if it is a member of one.
    #[serde(default)]
    pub member: Option<MemberIdentity>,
}

/// A bucket of the retry budget's window with ages instead of times; on the wire an array in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u32, u32)", into = "(u64, u64, u32, u32)")]
pub struct RetryBudgetAges {
    /// The age of the bucket's first event, in microseconds.
    pub first_event_us: u64,
    /// The age of its last event, in microseconds.
    pub last_event_us: u64,
    /// The number of requests admitted.
    pub admitted: u32,
    /// The number of retries made.
    pub retries: u32,
}

impl From<(u64, u64, u32, u32)> for RetryBudgetAges {
    fn from((first_event_us, last_event_us, admitted, retries): (u64, u64, u32, u32)) -> Self {
        RetryBudgetAges { first_event_us, last_event_us, admitted, retries }
    }
}

impl From<RetryBudgetAges> for (u64, u64, u32, u32) {
    fn from(ages: RetryBudgetAges) -> Self {
        (ages.first_event_us, ages.last_event_us, ages.admitted, ages.retries)
    }
}

impl From<RetryBudgetBucket> for RetryBudgetAges {
    fn from(bucket: RetryBudgetBucket) -> Self {
        RetryBudgetAges {
            first_event_us: bucket.first_event.0,
            last_event_us: bucket.last_event.0,
            admitted: bucket.admitted,
            retries: bucket.retries,
        }
    }
}

impl From<RetryBudgetAges> for RetryBudgetBucket {
    fn from(ages: RetryBudgetAges) -> Self {
        RetryBudgetBucket {
            first_event: Micros(ages.first_event_us),
            last_event: Micros(ages.last_event_us),
            admitted: ages.admitted,
            retries: ages.retries,
        }
    }
}

/// The state with which a process continues as the same member of the cluster.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// The id of the member's instance.
    #[serde(rename = "session")]
    pub instance: u64,
    /// The incarnation of its last record about itself.
    pub incarnation: u64,
    /// The counter of its last datagram.
    pub counter: u64,
    /// The addresses of members that are alive.
    #[serde(rename = "known")]
    pub alive_members: Vec<SocketAddr>,
}
