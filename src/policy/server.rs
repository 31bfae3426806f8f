//! What is held of one server.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Endpoint, GroupId, Micros, RequestId};

use super::message_delay::MessageDelay;

/// What this node holds of one server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// The latest time at which it may have started, none if long ago.
    pub(super) started: Option<Micros>,
    pub(super) reported: f64,
    pub(super) unreported: BTreeMap<u16, u32>,
    pub(super) groups: BTreeMap<GroupId, u32>,
    pub(super) connections: BTreeSet<RequestId>,
    pub(super) overloaded_periods: u32,
    /// Believed lack of speed beside the others, none unless messages were late.
    pub(super) slowness: f64,
    pub(super) delay: Option<MessageDelay>,
    /// When this node last sent it a request.
    pub(super) last_attempt_at: Micros,
    /// The own record at which it was seen to be full, let out again a little each period.
    pub(super) load_limit: Option<f64>,
    pub(super) failures: u32,
    /// It could not be reached from here or had no room, until a set-up succeeds.
    pub(super) unreachable: bool,
    /// It took no connection while this node had none there.
    pub(super) connect_failed: bool,
    /// It was told to drain, and not to be ready since.
    pub(super) draining: bool,
    /// When a probe last found it running, and when one was last sent.
    pub(super) answered_at: Option<Micros>,
    pub(super) sent_at: Micros,
    /// The list that called it gone, by its number: those that one list calls gone are judged together.
    pub(super) removed_by_list: u32,
    pub(super) ejected_until: Micros,
    /// While cold: the connections that it may still be sent, from when on they are lost, and parts of one.
    pub(super) tokens: u32,
    pub(super) expire_at: Micros,
    pub(super) fraction: f64,
    /// The load ratio last probed, and when.
    pub(super) load_report: Option<(f64, Micros)>,
    /// Requests that wait for it.
    pub(super) waiters: Vec<RequestId>,
}
