//! What is held of one request, and of the connection that it becomes.

use crate::types::{ClassSettings, Micros, Request, ServerId};

use super::Policy;
use super::load_estimate::is_load;

/// Where a request stands.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// Accepted, no attempt out.
    Waiting,
    /// An attempt is out at this server.
    Attempting(usize),
    /// A connection at this server.
    Open(usize),
    /// A connection that was asked to move.
    Migrating(usize),
}

impl ConnectionState {
    pub(super) fn server(self) -> Option<usize> {
        match self {
            ConnectionState::Waiting => None,
            ConnectionState::Attempting(index)
            | ConnectionState::Open(index)
            | ConnectionState::Migrating(index) => Some(index),
        }
    }

    pub(super) fn is_attempting(self) -> bool {
        matches!(self, ConnectionState::Attempting(_))
    }
}

/// A request, and the connection that it becomes.
pub(super) struct Connection {
    pub(super) request: Request,
    pub(super) deadline: Micros,
    pub(super) state: ConnectionState,
    /// Probes it has waited for.
    pub(super) probe_attempts: u32,
    pub(super) attempted_servers: Vec<usize>,
    /// The first attempt that may have run: its server and when it was sent.
    pub(super) first_run: Option<(usize, Micros)>,
    pub(super) sent: Micros,
    /// The attempt that is out has a time-out of its own.
    pub(super) has_attempt_timeout: bool,
    /// When that server had started, as far as was known then.
    pub(super) server_started: Option<Micros>,
    /// Its class as it was when it came.
    pub(super) class_at_arrival: Option<ClassSettings>,
    /// The load last told.
    pub(super) reported_load: Option<f64>,
}

impl Connection {
    pub(super) fn new(now: Micros, request: Request) -> Self {
        Connection {
            request,
            deadline: now + request.remaining,
            state: ConnectionState::Waiting,
            probe_attempts: 0,
            attempted_servers: Vec::new(),
            first_run: None,
            sent: now,
            has_attempt_timeout: false,
            server_started: None,
            class_at_arrival: None,
            reported_load: request.expected_load.filter(is_load),
        }
    }
}

impl Policy {
    pub(super) fn on_existing_connection(&mut self, now: Micros, request: Request, server: ServerId) {
        let Some(&index) = self.index_by_id.get(&server) else { return };
        let connection =
            Connection { state: ConnectionState::Open(index), ..self.new_connection(now, request) };
        self.add_to_load(&connection);
        self.learn_typical_load(&request, request.expected_load);
        self.connections.insert(request.id, connection);
    }

    /// A request as this node takes it: in its group only where groups share work.
    pub(super) fn new_connection(&self, now: Micros, request: Request) -> Connection {
        let group = request.group.filter(|_| self.settings.groups);
        let class = self.settings.classes.get(usize::from(request.class)).cloned();
        Connection { class_at_arrival: class, ..Connection::new(now, Request { group, ..request }) }
    }

    /// A request's class as it was when that came, and as it is: other settings may have come since, and what
    /// either forbids is not done.
    pub(super) fn binding_classes<'a>(
        &'a self,
        connection: &'a Connection,
    ) -> impl Iterator<Item = &'a ClassSettings> {
        connection
            .class_at_arrival
            .iter()
            .chain(self.settings.classes.get(usize::from(connection.request.class)))
    }
}
