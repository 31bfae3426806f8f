//! The session of one client connection, from its first line to its end.

mod attempt;
mod first_line;
mod handover;
mod placement;

use std::rc::Rc;
use std::time::Duration;

use alderstile::balancer::ConnectionRequest;
use alderstile::types::{GroupId, Outcome, RequestId, ServerId};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tracing::{debug, info};

pub use self::handover::resume;
use self::placement::Placement;
use super::count_guard::CountGuard;
use super::line_stream::LineStream;
use super::pending_clients::PendingSlot;
use super::protocol::OpenRequest;
use super::relay::{self, CloseMode, Relay, RelayEnd, RelayState, ServedRequest};
use super::termination_reason::TerminationReason;
use crate::admin::metrics::RequestOutcome;
use crate::clock::micros;
use crate::discovery::endpoint_list::server_id;
use crate::node::Node;

/// How much earlier than the client the node stops waiting, so that its answer still reaches the client.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);
/// The maximum wait of the node, whatever the client requests.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Serves one connection to its end.
pub async fn run(node: Rc<Node>, socket: TcpStream, slot: PendingSlot) {
    let mut client = LineStream::new(socket, node.clients.memory());
    let line = match first_line::read(&node, &mut client, &slot).await {
        Ok(line) => line,
        // Logged at debug level, since the front checks many times per second.
        Err(reason @ TerminationReason::HealthChecked) => return debug!(code = %reason, "connection ended"),
        Err(reason) => {
            info!(code = %reason, "connection ended");
            return first_line::reject(client, slot, reason).await;
        }
    };
    let arrived = Instant::now();
    match first_line::admit(&node, &line).await {
        Ok(admitted) => {
            drop(slot);
            let (request, class) = (admitted.request, admitted.class);
            let session = Session { node, line: &line, request, class, arrived, attempts: 0, setup_ms: 0 };
            session.run(client).await;
        }
        Err(reason) => {
            first_line::log_rejected(reason, &line);
            first_line::reject(client, slot, reason).await;
        }
    }
}

/// Returns how long a request may wait for its answer.
fn max_wait(request: &OpenRequest<'_>) -> Duration {
    Duration::from_millis(request.wait_ms).min(MAX_WAIT).saturating_sub(ANSWER_MARGIN)
}

/// The state of an admitted request while its client waits for a host or is served by one.
struct Session<'a> {
    node: Rc<Node>,
    /// The first line, without its line ending.
    line: &'a [u8],
    request: OpenRequest<'a>,
    class: u16,
    arrived: Instant,
    attempts: u32,
    /// How long the successful attempt took, in milliseconds.
    setup_ms: u128,
}

/// An established connection to a host.
struct EstablishedHost {
    id: RequestId,
    server: ServerId,
    name: Rc<str>,
    stream: LineStream,
    _descriptor: CountGuard,
}

impl Session<'_> {
    async fn run(mut self, mut client: LineStream) {
        let in_flight = self.node.clients.count_in_flight();
        let deadline = self.arrived + max_wait(&self.request);
        let placement = match self.request.previous_host {
            Some(host) => {
                let host = server_id(&String::from_utf8_lossy(host));
                self.resume_at(&mut client, host, deadline).await
            }
            None => self.place(&mut client, deadline).await,
        };
        match placement {
            Placement::Established(host) => {
                self.count(RequestOutcome::Success);
                self.serve(client, host, in_flight, None).await;
            }
            Placement::FinalAnswer { reason, line } => {
                self.log_end(reason, "-");
                let failed = matches!(
                    reason,
                    TerminationReason::Failed
                        | TerminationReason::ClientLineTooLong
                        | TerminationReason::NodeOutOfMemory
                );
                self.count(if failed { RequestOutcome::Failure } else { RequestOutcome::Rejected });
                drop(in_flight);
                client.close_after(&line).await;
            }
            Placement::ClientDisconnected => self.log_end(TerminationReason::ClientCancelled, "-"),
        }
    }

    fn count(&self, outcome: RequestOutcome) {
        self.node.clients.update_counters(|counters| counters.count_outcome(self.class, outcome));
    }

    /// Returns the id for the log, the start of a long one.
    fn id(&self) -> String {
        let id = self.request.id;
        String::from_utf8_lossy(&id[..id.len().min(first_line::MAX_LOGGED_BYTES)]).into_owned()
    }

    fn log_end(&self, reason: TerminationReason, host: &str) {
        let (id, class) = (self.id(), String::from_utf8_lossy(self.request.class));
        let (attempts, up_ms, ms) = (self.attempts, self.setup_ms, self.arrived.elapsed().as_millis());
        info!(code = %reason, %id, %class, %host, attempts, up_ms, ms, "connection ended");
    }

    /// Converts the request to that of the policy. `remaining` is the time for which the client still waits.
    fn connection_request(&self, remaining: Duration) -> ConnectionRequest {
        let group = self.request.group.map(group_number);
        // The group is passed as the key, too. The settings decide which of the two is used, and those of a
        // shadow instance may differ from the active ones.
        ConnectionRequest {
            class: self.class,
            group: group.map(GroupId),
            key: group,
            expected_load: self.request.expected_load,
            time_remaining: micros(remaining),
        }
    }

    /// Relays `UP` and all later lines until one side ends. `state` is the predecessor's relay state of a
    /// connection that it handed over, and `None` for a new connection.
    async fn serve(
        &self,
        mut client: LineStream,
        established: EstablishedHost,
        in_flight: CountGuard,
        state: Option<RelayState>,
    ) {
        let EstablishedHost { id, server, name, stream: mut host, _descriptor } = established;
        let (attempts, up_ms) = (self.attempts, self.setup_ms);
        debug!(id = %self.id(), number = id.0, host = %name, attempts, up_ms, "connection established");
        let registration = self.node.clients.add_established(id);
        let decisions = &self.node.decisions;
        let served = ServedRequest { request: id, host: server };
        let relay = Relay::new(decisions, served, &mut client, &mut host, &registration.signal, state);
        let mut end = relay.run().await;
        if let CloseMode::HandOver(state) = end.close
            && let Err(error) = self.hand_over(&client, &host, &name, state).await
        {
            debug!(id = %self.id(), %error, "connection handover failed");
            end = relay::migrate_client(&mut host, &client, TerminationReason::ShuttingDown).await;
        }
        drop(registration);
        self.report_end(id, server, end.reason);
        self.log_end(end.reason, &name);
        drop(in_flight);
        close(client, host, end).await;
    }

    /// Reports the end of an established connection to the policy.
    fn report_end(&self, id: RequestId, server: ServerId, reason: TerminationReason) {
        use TerminationReason as Reason;
        self.node.decisions.with_balancer(|balancer, now| match reason {
            Reason::ClientClosed
            | Reason::ClientReset
            | Reason::ClientLineTooLong
            | Reason::ClientStalled => balancer.on_client_disconnected(now, id),
            Reason::Completed => balancer.on_connection_ended(now, id, server, Outcome::Ok),
            Reason::Migrated
            | Reason::ShuttingDown
            | Reason::HandedOver
            | Reason::HostMigrated
            | Reason::NodeOutOfMemory => {
                balancer.on_connection_ended(now, id, server, Outcome::Cancelled);
            }
            _ => balancer.on_connection_ended(now, id, server, Outcome::Reset),
        });
    }
}

async fn close(client: LineStream, host: LineStream, end: RelayEnd) {
    match end.close {
        CloseMode::Orderly(last_line) => {
            drop(host);
            client.close_after(last_line).await;
        }
        CloseMode::Reset => {
            host.reset();
            client.reset();
        }
        // The successor holds both sockets: dropping these does not close the connections.
        CloseMode::HandOver(_) => {}
    }
}

/// Returns the numeric id of a client or group: the value of a hexadecimal number of 64 bits at most, or a
/// hash of any other text.
fn group_number(group: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(group);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| server_id(&text).0)
}
