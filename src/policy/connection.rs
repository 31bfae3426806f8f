//! State of one request and of the connection that it becomes.

use crate::types::{ClassSettings, Micros, Request, RequestId, ServerId};

use super::Policy;
use super::load_estimate::is_valid_load;
use super::server::ServerIndex;

/// State of a request.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    /// The request has no attempt in flight and waits for a probe.
    Waiting,
    /// An attempt is in flight at this server.
    Attempting(ServerIndex),
    /// A connection to this server is open.
    Open(ServerIndex),
    /// The client was asked to migrate away from this server.
    Migrating(ServerIndex),
}

impl ConnectionState {
    /// Returns the server of the attempt or connection.
    pub(super) fn server(self) -> Option<ServerIndex> {
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

    pub(super) fn is_open(self) -> bool {
        matches!(self, ConnectionState::Open(_))
    }

    pub(super) fn is_migrating(self) -> bool {
        matches!(self, ConnectionState::Migrating(_))
    }
}

/// First attempt of a request that may have been executed.
#[derive(Clone, Copy)]
pub(super) struct FirstExecution {
    pub(super) server: ServerIndex,
    pub(super) sent: Micros,
}

/// A request and the connection that it becomes.
pub(super) struct Connection {
    pub(super) request: Request,
    /// Deadline of the client.
    pub(super) deadline: Micros,
    pub(super) state: ConnectionState,
    /// Number of probes for which the request has waited.
    pub(super) probe_waits: u32,
    /// Servers of all attempts so far.
    pub(super) attempted_servers: Vec<ServerIndex>,
    pub(super) first_execution: Option<FirstExecution>,
    /// Time at which the last attempt was sent.
    pub(super) sent: Micros,
    /// Whether the last attempt has a timeout shorter than the client's deadline.
    pub(super) has_attempt_timeout: bool,
    /// Start time of the last attempt's server, as known when the attempt was sent.
    pub(super) server_started: Option<Micros>,
    /// Settings of the request's class at its arrival.
    pub(super) class_at_arrival: Option<ClassSettings>,
    /// Last reported load, in microseconds of CPU work per second.
    pub(super) reported_load: Option<f64>,
}

impl Connection {
    fn new(now: Micros, request: Request, class: Option<ClassSettings>) -> Self {
        Connection {
            request,
            deadline: now + request.time_remaining,
            state: ConnectionState::Waiting,
            probe_waits: 0,
            attempted_servers: Vec::new(),
            first_execution: None,
            sent: now,
            has_attempt_timeout: false,
            server_started: None,
            class_at_arrival: class,
            reported_load: request.expected_load.filter(is_valid_load),
        }
    }

    /// Records that the last attempt may have been executed by this server.
    pub(super) fn mark_possible_execution(&mut self, server: ServerIndex) {
        self.first_execution.get_or_insert(FirstExecution { server, sent: self.sent });
    }
}

impl Policy {
    /// Creates the state of a request. Its group is ignored unless groups share work.
    pub(super) fn new_connection(&self, now: Micros, request: Request) -> Connection {
        let group = request.group.filter(|_| self.settings.groups);
        let class = self.settings.classes.get(usize::from(request.class)).cloned();
        Connection::new(now, Request { group, ..request }, class)
    }

    /// Records a connection that was open before this process started or that this node takes over.
    pub(super) fn on_existing_connection(&mut self, now: Micros, request: Request, server: ServerId) {
        let Some(&index) = self.index_by_id.get(&server) else { return };
        let state = ConnectionState::Open(index);
        let connection = Connection { state, ..self.new_connection(now, request) };
        self.add_to_load(&connection);
        self.update_typical_load(&request, request.expected_load);
        self.connections.insert(request.id, connection);
    }

    /// Removes the request of a client that needs no answer any more.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.turnover.ended += u32::from(connection.state.is_open());
            self.remove_from_load(&connection);
        }
    }

    /// Returns the settings of a request's class at its arrival and at present. They can differ
    /// after a change of settings, and an action has to be allowed by both.
    pub(super) fn binding_classes<'a>(
        &'a self,
        connection: &'a Connection,
    ) -> impl Iterator<Item = &'a ClassSettings> {
        let current = self.settings.classes.get(usize::from(connection.request.class));
        connection.class_at_arrival.iter().chain(current)
    }
}
