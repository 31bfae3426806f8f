//! What is held of one request, and of the connection that it becomes.

use crate::types::{ClassSettings, Micros, Request, ServerId};

use super::Policy;
use super::load_estimate::is_load;

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

impl Policy {
    pub(super) fn on_existing_connection(&mut self, now: Micros, request: Request, server: ServerId) {
        let Some(&s) = self.by_id.get(&server) else { return };
        let conn = Conn { stage: Stage::Open(s), ..self.new_connection(now, request) };
        self.add_to_load(&conn);
        self.learn_typical_load(&request, request.expected_load);
        self.conns.insert(request.id, conn);
    }

    /// A request as this node takes it: in its group only where groups share work.
    pub(super) fn new_connection(&self, now: Micros, request: Request) -> Conn {
        let group = request.group.filter(|_| self.set.groups);
        let class = self.set.classes.get(usize::from(request.class)).cloned();
        Conn { class, ..Conn::new(now, Request { group, ..request }) }
    }

    /// A request's class as it was when that came, and as it is: other settings may have come since, and what
    /// either forbids is not done.
    pub(super) fn binding_classes<'a>(&'a self, conn: &'a Conn) -> impl Iterator<Item = &'a ClassSettings> {
        conn.class.iter().chain(self.set.classes.get(usize::from(conn.request.class)))
    }
}
