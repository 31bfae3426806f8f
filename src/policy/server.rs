//! State of one server at this node. Each part is a type of the rule that maintains it.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Endpoint, GroupId, Micros, RequestId};

use super::capacity::ObservedCapacity;
use super::message_delay::MessageDelay;
use super::outlier::OutlierState;
use super::probe::ProbeState;
use super::slow_start::SlowStartTokens;

/// Index of a server in [`Policy::servers`](super::Policy), constant while the process runs.
pub(super) type ServerIndex = usize;

/// State of one server.
#[derive(Default)]
pub(super) struct Server {
    /// Entry of the server in the endpoint list.
    pub(super) endpoint: Endpoint,
    /// Latest possible start time; `None` if long ago.
    pub(super) started: Option<Micros>,
    /// Whether the server was listed as draining and has not been listed as ready since.
    pub(super) draining: bool,
    /// Sequence number of the endpoint list that removed the server. Servers removed by one list
    /// are treated together.
    pub(super) removed_by_list: u32,
    /// Time at which this node last sent an attempt to the server.
    pub(super) last_attempt_at: Micros,
    pub(super) load: ServerLoad,
    pub(super) delay: Option<MessageDelay>,
    pub(super) capacity: ObservedCapacity,
    /// Number of consecutive periods above the overload threshold.
    pub(super) overloaded_periods: u32,
    pub(super) outlier: OutlierState,
    pub(super) slow_start: SlowStartTokens,
    pub(super) probes: ProbeState,
}

/// This node's attempts and connections at one server, with their sums.
#[derive(Default)]
pub(super) struct ServerLoad {
    /// Sum of the reported loads, in microseconds of CPU work per second.
    pub(super) reported: f64,
    /// Number of connections without a load report, by class.
    pub(super) unreported: BTreeMap<u16, u32>,
    /// Number of connections in each group.
    pub(super) groups: BTreeMap<GroupId, u32>,
    pub(super) connections: BTreeSet<RequestId>,
}

impl ServerLoad {
    pub(super) fn has_group(&self, group: Option<GroupId>) -> bool {
        group.is_some_and(|group| self.groups.contains_key(&group))
    }
}
