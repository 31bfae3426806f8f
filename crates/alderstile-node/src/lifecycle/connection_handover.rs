//! Connection handover: passes open sockets to the successor process during an upgrade.
//!
//! The sockets travel as `SCM_RIGHTS` descriptors in datagrams on a private Unix socket: the listener for
//! clients, and for each connection the client's and the host's socket together with the connection's state.
//! Neither clients nor hosts observe the handover.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::UnixDatagram;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::config::Config;
use crate::discovery::endpoint_list::server_id;
use crate::node::Node;
use crate::proxy::relay::RelayState;

/// Maximum length of a datagram: two buffers and a line of at most 4 KiB each, every byte encoded as a
/// number.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Maximum number of descriptors in a datagram.
const MAX_SOCKETS: usize = 2;
/// Timeout for the other process to read a datagram; the client of the connection waits for that long.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the next receive after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The state of a connection that is handed over. The names on the wire are those of the first version.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedOverConnection {
    /// The client's first line, without its line terminator.
    #[serde(rename = "line")]
    pub first_line: String,
    /// The host's name.
    pub host: String,
    /// Bytes received from the client and not yet forwarded.
    pub from_client: Vec<u8>,
    /// Bytes received from the host and not yet forwarded.
    pub from_host: Vec<u8>,
    /// The state of the relay after the lines that were forwarded.
    #[serde(rename = "carried")]
    pub relay_state: RelayState,
    /// The number of attempts made for the request.
    pub attempts: u32,
    /// The duration of the successful attempt, in milliseconds.
    #[serde(rename = "up_ms")]
    pub setup_ms: u64,
    /// The time since the request arrived, in milliseconds.
    pub age_ms: u64,
    /// The number with which the successor acknowledges the connection; absent from processes of older
    /// versions.
    #[serde(rename = "number", default)]
    pub ack_number: Option<u64>,
}

/// The payload of a datagram, without its descriptors.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HandoverMessage {
    /// A connection; its descriptors are the client's and the host's socket, in this order.
    Connection(HandedOverConnection),
    /// The listener for clients, the only descriptor.
    #[serde(rename = "door")]
    Listener,
}

/// Why a datagram is rejected.
#[derive(Debug, Error)]
enum DatagramError {
    #[error("malformed message: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("expected 2 sockets for a connection or 1 for the listener, found {0}")]
    SocketCount(usize),
}

fn socket_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("alderstile-{:016x}.pass", server_id(name).0))
}

/// Binds the socket on which this process receives from its predecessor; returns `None` if the node has no
/// state directory. It must be bound before this process reports that it is ready.
///
/// # Errors
///
/// Fails if a stale socket can't be removed or the new one can't be bound.
pub fn bind(config: &Config) -> io::Result<Option<UnixDatagram>> {
    let Some(dir) = &config.state_dir else { return Ok(None) };
    let path = socket_path(dir, &config.name);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => UnixDatagram::bind(&path).map(Some),
    }
}

/// Connects to the socket of the successor, to which this process hands over.
///
/// # Errors
///
/// Fails if the node has no state directory or no successor has bound its socket.
pub fn connect(config: &Config) -> io::Result<UnixDatagram> {
    let dir = config.state_dir.as_deref().ok_or(io::ErrorKind::NotFound)?;
    let socket = UnixDatagram::unbound()?;
    socket.connect(socket_path(dir, &config.name))?;
    Ok(socket)
}

/// Hands a connection over; its datagram has been sent when this returns.
///
/// # Errors
///
/// Fails if the successor has ended or does not read within the timeout.
pub async fn send(
    to: &UnixDatagram,
    connection: HandedOverConnection,
    sockets: [&impl AsFd; 2],
) -> io::Result<()> {
    send_message(to, &HandoverMessage::Connection(connection), &sockets.map(AsFd::as_fd)).await
}

/// Shares the listener for clients. Both processes accept from the same queue, so that no client is lost when
/// this process ends.
///
/// # Errors
///
/// Fails if the successor has ended or does not read within the timeout.
pub async fn share_listener(to: &UnixDatagram, listener: &impl AsFd) -> io::Result<()> {
    send_message(to, &HandoverMessage::Listener, &[listener.as_fd()]).await
}

async fn send_message(
    to: &UnixDatagram,
    message: &HandoverMessage,
    sockets: &[BorrowedFd<'_>],
) -> io::Result<()> {
    let data = serde_json::to_vec(message)?;
    let sent = to.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(sockets)) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(sendmsg(to, &[IoSlice::new(&data)], &mut control, SendFlags::NOSIGNAL)?)
    });
    timeout(READ_TIMEOUT, sent).await.map_err(|_| io::ErrorKind::TimedOut)??;
    Ok(())
}

/// Receives connections and the shared listener from the predecessor until it has ended.
///
/// Calls `on_connection` with each connection and its two sockets. Finally removes the socket's path:
/// otherwise this process would later hand its connections over to itself.
pub async fn receive(
    node: Rc<Node>,
    from: UnixDatagram,
    on_connection: impl Fn(HandedOverConnection, Vec<TcpStream>),
) {
    let predecessor_ended = async {
        node.process.predecessor_ended.notified().await;
        // Its last datagrams may not have been read yet.
        sleep(READ_TIMEOUT).await;
    };
    tokio::select! {
        () = receive_datagrams(&node, &from, on_connection) => {}
        () = predecessor_ended => {}
    }
    let config = node.config();
    let Some(dir) = &config.state_dir else { return };
    if let Err(error) = std::fs::remove_file(socket_path(dir, &config.name)) {
        warn!(%error, "handover socket not removed");
    }
}

async fn receive_datagrams(
    node: &Node,
    from: &UnixDatagram,
    on_connection: impl Fn(HandedOverConnection, Vec<TcpStream>),
) {
    let mut data = vec![0; MAX_DATAGRAM_BYTES];
    let mut first = true;
    loop {
        let received = from.async_io(Interest::READABLE, || receive_datagram(from, &mut data)).await;
        let (length, sockets) = match received {
            Ok(received) => received,
            Err(error) => {
                warn!(%error, "handover datagram not received");
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match parse(&data[..length], sockets.len()) {
            Ok(HandoverMessage::Connection(connection)) => {
                if std::mem::take(&mut first) {
                    info!("first connection received from predecessor");
                }
                on_connection(connection, sockets.into_iter().map(TcpStream::from).collect());
            }
            Ok(HandoverMessage::Listener) => {
                let listener = sockets.into_iter().map(TcpListener::from).next();
                node.process.set_shared_listener(listener);
            }
            Err(error) => warn!(%error, "handover datagram dropped"),
        }
    }
}

/// Receives a datagram; returns its length and its descriptors.
fn receive_datagram(from: &UnixDatagram, data: &mut [u8]) -> io::Result<(usize, Vec<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(from, &mut [IoSliceMut::new(data)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut sockets = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            sockets.extend(descriptors);
        }
    }
    Ok((received.bytes, sockets))
}

fn parse(data: &[u8], sockets: usize) -> Result<HandoverMessage, DatagramError> {
    let message: HandoverMessage = serde_json::from_slice(data)?;
    let expected = match message {
        HandoverMessage::Connection(_) => 2,
        HandoverMessage::Listener => 1,
    };
    if sockets == expected { Ok(message) } else { Err(DatagramError::SocketCount(sockets)) }
}
