//! What this node holds of one server. Each part is a type of the rule that keeps it.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Endpoint, GroupId, Micros, RequestId};

use super::capacity::ObservedCapacity;
use super::message_delay::MessageDelay;
use super::outlier::OutlierState;
use super::probe::ProbeState;
use super::slow_start::SlowStartTokens;

/// Position of a server in [`Policy::servers`](super::Policy); it stays the same while the node runs.
pub(super) type ServerIndex = usize;

/// State of one server.
#[derive(Default)]
pub(super) struct Server {
    /// Its line in the endpoint list.
    pub(super) endpoint: Endpoint,
    /// The latest time at which it may have started; none if long ago.
    pub(super) started: Option<Micros>,
    /// It was listed as draining, and not as ready since.
    pub(super) draining: bool,
    /// Number of the endpoint list that removed it: servers removed by one list are judged together.
    pub(super) removed_by_list: u32,
    /// When this node last sent it an attempt.
    pub(super) last_attempt_at: Micros,
    pub(super) load: ServerLoad,
    pub(super) delay: Option<MessageDelay>,
    pub(super) capacity: ObservedCapacity,
    /// Periods in a row above the overload threshold.
    pub(super) overloaded_periods: u32,
    pub(super) outlier: OutlierState,
    pub(super) slow_start: SlowStartTokens,
    pub(super) probes: ProbeState,
}

/// This node's attempts and connections at one server, with their sums.
#[derive(Default)]
pub(super) struct ServerLoad {
    /// Sum of the reported loads, in microseconds of work a second.
    pub(super) reported: f64,
    /// Connections without a load report, by class.
    pub(super) unreported: BTreeMap<u16, u32>,
    /// Connections in each group.
    pub(super) groups: BTreeMap<GroupId, u32>,
    pub(super) connections: BTreeSet<RequestId>,
}

impl ServerLoad {
    pub(super) fn holds_group(&self, group: Option<GroupId>) -> bool {
        group.is_some_and(|group| self.groups.contains_key(&group))
    }
}
