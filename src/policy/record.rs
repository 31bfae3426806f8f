//! What is held of one request: data that decides nothing.

use crate::types::{ClassSettings, Micros, Request};

use super::sums::is_load;

/// Where a request stands.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Accepted, no attempt out.
    Held,
    /// An attempt is out at this server.
    Trying(usize),
    /// A connection at this server.
    Open(usize),
    /// A connection that was asked to move.
    Leaving(usize),
}

impl Stage {
    pub(super) fn server(self) -> Option<usize> {
        match self {
            Stage::Held => None,
            Stage::Trying(s) | Stage::Open(s) | Stage::Leaving(s) => Some(s),
        }
    }

    pub(super) fn trying(self) -> bool {
        matches!(self, Stage::Trying(_))
    }
}

/// A request, and the connection that it becomes.
pub(super) struct Conn {
    pub(super) request: Request,
    pub(super) deadline: Micros,
    pub(super) stage: Stage,
    /// Probes it has waited for.
    pub(super) looks: u32,
    pub(super) tried: Vec<usize>,
    /// The first attempt that may have run: its server and when it was sent.
    pub(super) ran: Option<(usize, Micros)>,
    pub(super) sent: Micros,
    /// The attempt that is out has a time-out of its own.
    pub(super) timed: bool,
    /// When that server had started, as far as was known then.
    pub(super) started: Option<Micros>,
    /// Its class as it was when it came.
    pub(super) class: Option<ClassSettings>,
    /// The load last told.
    pub(super) told: Option<f64>,
}

impl Conn {
    pub(super) fn new(now: Micros, request: Request) -> Self {
        Conn {
            request,
            deadline: now + request.remaining,
            stage: Stage::Held,
            looks: 0,
            tried: Vec::new(),
            ran: None,
            sent: now,
            timed: false,
            started: None,
            class: None,
            told: request.expected_load.filter(is_load),
        }
    }
}
