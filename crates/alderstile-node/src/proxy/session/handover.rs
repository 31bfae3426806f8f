//! Connection handover: hands an established connection over to the successor, and resumes a connection that
//! the predecessor has handed over.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tracing::warn;

use super::{EstablishedHost, Session};
use crate::discovery::endpoint_list::server_id;
use crate::lifecycle::connection_handover::{self, HandedOverConnection};
use crate::lifecycle::upgrade_channel::MESSAGE_TIMEOUT;
use crate::lifecycle::upgrade_message::UpgradeMessage;
use crate::node::Node;
use crate::proxy::line_buffer::LineBuffer;
use crate::proxy::line_stream::LineStream;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::protocol::{ClientLine, parse_client_line};
use crate::proxy::relay::RelayState;

fn millis(ms: u128) -> u64 {
    u64::try_from(ms).unwrap_or(u64::MAX)
}

impl Session<'_> {
    /// Hands the connection over, and waits until the successor acknowledges it.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be sent to the successor, or if the successor ends before it
    /// acknowledges the connection.
    pub(super) async fn hand_over(
        &self,
        client: &LineStream,
        host: &LineStream,
        host_name: &str,
        state: RelayState,
    ) -> io::Result<()> {
        let to = self.node.clients.handover_socket().ok_or(io::ErrorKind::NotConnected)?;
        // Held until the successor has acknowledged the connection.
        let _permit = self.node.clients.handover_permit().await.ok_or(io::ErrorKind::TimedOut)?;
        let ack = self.node.process.other_process().map(|other| other.expect_ack());
        let connection = HandedOverConnection {
            first_line: String::from_utf8_lossy(self.line).into_owned(),
            host: host_name.to_owned(),
            from_client: client.buffer.bytes().to_vec(),
            from_host: host.buffer.bytes().to_vec(),
            relay_state: state,
            attempts: self.attempts,
            setup_ms: millis(self.setup_ms),
            age_ms: millis(self.arrived.elapsed().as_millis()),
            ack_number: ack.as_ref().map(|ack| ack.number),
        };
        let sent = connection_handover::send(&to, connection, [&client.socket, &host.socket]).await;
        if sent.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::TimedOut) {
            self.node.clients.stop_handovers();
        }
        sent?;
        // A successor may end before it has read the message, so both sockets stay open here until it
        // acknowledges the connection. A successor of an older version sends no acknowledgement.
        let Some(mut ack) = ack else { return Ok(()) };
        match timeout(MESSAGE_TIMEOUT, ack.received()).await {
            Ok(Err(closed)) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, closed)),
            Ok(Ok(())) => Ok(()),
            // The successor has received the connection, but is too slow for more.
            Err(_) => {
                self.node.clients.stop_handovers();
                Ok(())
            }
        }
    }
}

/// Why a handed-over connection cannot be resumed.
#[derive(Debug, Error)]
enum ResumeError {
    #[error("malformed first line")]
    MalformedLine,
    #[error("invalid number of sockets: expected 2, found {0}")]
    SocketCount(usize),
    #[error("sockets unusable: {0}")]
    Socket(#[from] io::Error),
    #[error("buffered bytes exceed the capacity of a buffer")]
    BufferOverflow,
}

/// Resumes a connection that the predecessor has handed over, and serves it to its end.
pub async fn resume(node: Rc<Node>, connection: HandedOverConnection, sockets: Vec<std::net::TcpStream>) {
    if let Err(error) = try_resume(node, connection, sockets).await {
        warn!(%error, "handed-over connection dropped");
    }
}

async fn try_resume(
    node: Rc<Node>,
    connection: HandedOverConnection,
    sockets: Vec<std::net::TcpStream>,
) -> Result<(), ResumeError> {
    let line = connection.first_line.as_bytes();
    let Some(ClientLine::Open(request)) = parse_client_line(line) else {
        return Err(ResumeError::MalformedLine);
    };
    let [client, host] = streams(&connection, node.clients.memory(), sockets)?;
    let _client = node.clients.count_handed_over_client(line.len());
    let _id = node.clients.claim_handed_over_request_id(request.id);
    // The class may have been removed: the request then gets an index that no class has.
    let class = node.clients.class_index(request.class).unwrap_or(u16::MAX);
    let now = Instant::now();
    let arrived = now.checked_sub(Duration::from_millis(connection.age_ms)).unwrap_or(now);
    let (attempts, setup_ms) = (connection.attempts, u128::from(connection.setup_ms));
    let session = Session { node: node.clone(), line, request, class, arrived, attempts, setup_ms };
    let (request, server) = (session.connection_request(Duration::ZERO), server_id(&connection.host));
    let id = node.decisions.with_balancer(|balancer, now| {
        let id = balancer.adopt_connection(now, request, server);
        connection.relay_state.load.iter().for_each(|load| balancer.on_load_report(now, id, server, *load));
        id
    });
    if let Some((other, number)) = node.process.other_process().zip(connection.ack_number) {
        other.send(UpgradeMessage::Ack { number });
    }
    let name = connection.host.as_str().into();
    let descriptor = node.clients.count_handed_over_descriptor();
    let established = EstablishedHost { id, server, name, stream: host, _descriptor: descriptor };
    session.serve(client, established, node.clients.count_in_flight(), Some(connection.relay_state)).await;
    Ok(())
}

/// Returns the client's and the host's side of a handed-over connection.
fn streams(
    connection: &HandedOverConnection,
    budget: &MemoryBudget,
    sockets: Vec<std::net::TcpStream>,
) -> Result<[LineStream; 2], ResumeError> {
    let sockets: Vec<_> = sockets.into_iter().map(TcpStream::from_std).collect::<io::Result<_>>()?;
    let [client, host] =
        <[TcpStream; 2]>::try_from(sockets).map_err(|sockets| ResumeError::SocketCount(sockets.len()))?;
    let buffer = |bytes| LineBuffer::from_bytes(bytes, budget).ok_or(ResumeError::BufferOverflow);
    let (from_client, from_host) = (buffer(&connection.from_client)?, buffer(&connection.from_host)?);
    Ok([LineStream::with_buffer(client, from_client), LineStream::with_buffer(host, from_host)])
}
