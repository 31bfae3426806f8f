//! Handing sockets over to the successor, in datagrams on a private socket: the listener for clients, and both sockets of
//! each connection with all that is known of it. Clients and hosts notice nothing.

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

/// The largest datagram: two buffers and a line of 4 KiB at most each, with every byte written as a number.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// The most descriptors in a datagram.
const MAX_SOCKETS: usize = 2;
/// How long the other process may take to read a datagram: its clients wait as long.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// How long receiving pauses after an error.
const RECEIVE_PAUSE: Duration = Duration::from_millis(5);

/// A connection that is handed over. The names on the wire are those of the first version.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedOverConnection {
    /// The client's first line, without its end.
    #[serde(rename = "line")]
    pub first_line: String,
    /// The host's name.
    pub host: String,
    /// Bytes of the client that were not forwarded.
    pub from_client: Vec<u8>,
    /// Bytes of the host that were not forwarded.
    pub from_host: Vec<u8>,
    /// What was observed of the forwarded lines.
    #[serde(rename = "carried")]
    pub relay_state: RelayState,
    /// How many attempts it took.
    pub attempts: u32,
    /// How many milliseconds the attempt took that was established.
    #[serde(rename = "up_ms")]
    pub setup_ms: u64,
    /// How many milliseconds ago the request came.
    pub age_ms: u64,
    /// The number under which the successor acknowledges the connection. A process of an older version gives none.
    #[serde(rename = "number", default)]
    pub ack_number: Option<u64>,
}

/// What a datagram contains beside its descriptors.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HandoverMessage {
    /// A connection, with the client's socket and the host's.
    Connection(HandedOverConnection),
    /// The listener for clients.
    #[serde(rename = "door")]
    Listener,
}

/// Why a datagram can't be used.
#[derive(Debug, Error)]
enum DatagramError {
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    #[error("{0} sockets")]
    SocketCount(usize),
}

fn socket_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("alderstile-{:016x}.pass", server_id(name).0))
}

/// The socket on which this process receives what its predecessor hands over; none where the node has no directory for
/// state. It must be bound before this process says that it serves.
///
/// # Errors
///
/// The socket can't be bound.
pub fn bind(config: &Config) -> io::Result<Option<UnixDatagram>> {
    let Some(dir) = &config.state_dir else { return Ok(None) };
    let path = socket_path(dir, &config.name);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => UnixDatagram::bind(&path).map(Some),
    }
}

/// The socket through which this process hands over to its successor.
///
/// # Errors
///
/// No successor has bound its socket.
pub fn connect(config: &Config) -> io::Result<UnixDatagram> {
    let dir = config.state_dir.as_deref().ok_or(io::ErrorKind::NotFound)?;
    let socket = UnixDatagram::unbound()?;
    socket.connect(socket_path(dir, &config.name))?;
    Ok(socket)
}

/// Hands a connection over; its datagram is sent once this returns.
///
/// # Errors
///
/// The successor has ended, or does not read in time.
pub async fn send(
    to: &UnixDatagram,
    connection: HandedOverConnection,
    sockets: [&impl AsFd; 2],
) -> io::Result<()> {
    send_message(to, &HandoverMessage::Connection(connection), &sockets.map(AsFd::as_fd)).await
}

/// Shares the listener for clients: both processes accept from its one queue, so that no client is lost when this one ends.
///
/// # Errors
///
/// The successor has ended, or does not read in time.
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

/// Receives what the predecessor hands over, until it has ended; `on_connection` is called with each connection and its two
/// sockets. The socket's path is removed then, or this process would hand connections over to itself.
pub async fn receive(
    node: Rc<Node>,
    from: UnixDatagram,
    on_connection: impl Fn(HandedOverConnection, Vec<TcpStream>),
) {
    let predecessor_ended = async {
        node.process.predecessor_ended.notified().await;
        // What it sent last may not be read yet.
        sleep(READ_TIMEOUT).await;
    };
    tokio::select! {
        () = receive_datagrams(&node, &from, on_connection) => {}
        () = predecessor_ended => {}
    }
    let config = node.config();
    let Some(dir) = &config.state_dir else { return };
    if let Err(error) = std::fs::remove_file(socket_path(dir, &config.name)) {
        warn!(%error, "hand-over socket not removed");
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
                warn!(%error, "handed-over sockets not received");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match parse(&data[..length], sockets.len()) {
            Ok(HandoverMessage::Connection(connection)) => {
                if std::mem::take(&mut first) {
                    info!("receiving handed-over connections");
                }
                on_connection(connection, sockets.into_iter().map(TcpStream::from).collect());
            }
            Ok(HandoverMessage::Listener) => {
                let listener = sockets.into_iter().map(TcpListener::from).next();
                node.process.set_shared_listener(listener);
            }
            Err(error) => warn!(%error, "handed-over sockets dropped"),
        }
    }
}

/// The length of a datagram, and the descriptors that came with it.
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
