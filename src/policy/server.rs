//! What is held of one server.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{Endpoint, GroupId, Micros, RequestId};

use super::message_delay::Delay;

/// What this node holds of one server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) entry: Endpoint,
    /// The latest time at which it may have started, none if long ago.
    pub(super) started: Option<Micros>,
    pub(super) told_sum: f64,
    pub(super) untold: BTreeMap<u16, u32>,
    pub(super) groups: BTreeMap<GroupId, u32>,
    pub(super) conns: BTreeSet<RequestId>,
    pub(super) above: u32,
    /// Believed lack of speed beside the others, none unless messages were late.
    pub(super) slowness: f64,
    pub(super) delay: Option<Delay>,
    /// When this node last sent it a request.
    pub(super) sent: Micros,
    /// The own record at which it was seen to be full, let out again a little each period.
    pub(super) limit: Option<f64>,
    pub(super) failures: u32,
    /// It could not be reached from here or had no room, until a set-up succeeds.
    pub(super) shut: bool,
    /// It took no connection while this node had none there.
    pub(super) fell: bool,
    /// It was told to drain, and not to be ready since.
    pub(super) drains: bool,
    /// When a probe last found it running, and when one was last sent.
    pub(super) found: Option<Micros>,
    pub(super) probed: Micros,
    /// The list that called it gone, by its number: those that one list calls gone are judged together.
    pub(super) called: u32,
    pub(super) paused_until: Micros,
    /// While cold: the connections that it may still be sent, from when on they are lost, and parts of one.
    pub(super) permits: u32,
    pub(super) kept_until: Micros,
    pub(super) credit: f64,
    /// The load ratio last probed, and when.
    pub(super) seen: Option<(f64, Micros)>,
    /// Requests that wait for it.
    pub(super) lookers: Vec<RequestId>,
}
