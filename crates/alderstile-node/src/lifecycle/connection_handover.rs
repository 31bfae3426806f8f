//! Passing sockets on to the process that takes over, on a private socket: that on which clients are taken in, and both
//! of each connection with all that is known of it. Clients and hosts notice nothing.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use tokio::io::Interest;
use tokio::net::UnixDatagram;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::config::Config;
use crate::discovery::endpoint_list::server_id;
use crate::node::Node;
use crate::proxy::relay::RelayState;

/// The longest datagram: two buffers and a line, each of 4 KiB at most, with every byte written as a number.
const MAX_DATAGRAM: usize = 64 << 10;
/// How long the other process may take to read: its clients wait as long.
const READ: Duration = Duration::from_millis(300);
/// Receiving pauses this long after an error.
const PAUSE: Duration = Duration::from_millis(5);

/// A connection that is passed on.
#[derive(Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The client's first line, without its end.
    pub line: String,
    /// The host's name.
    pub host: String,
    /// Bytes of the client that have not gone on.
    pub from_client: Vec<u8>,
    /// Bytes of the host that have not gone on.
    pub from_host: Vec<u8>,
    /// What was seen of the lines that passed.
    pub carried: RelayState,
    /// Attempts that it took.
    pub attempts: u32,
    /// Milliseconds that the attempt took that came up.
    pub up_ms: u64,
    /// Milliseconds since the request came.
    pub age_ms: u64,
    /// Under which number the other process says that it has the connection. A process of an older version gives none.
    #[serde(default)]
    pub number: Option<u64>,
}

fn path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("alderstile-{:016x}.pass", server_id(name).0))
}

/// Where connections are to be had from the process before; before this process says that it serves.
pub fn receiver(config: &Config) -> io::Result<Option<UnixDatagram>> {
    let Some(dir) = &config.state_dir else { return Ok(None) };
    let path = path(dir, &config.name);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => UnixDatagram::bind(&path).map(Some),
    }
}

/// The way to the process that takes over.
pub fn sender(config: &Config) -> io::Result<UnixDatagram> {
    let dir = config.state_dir.as_deref().ok_or(io::ErrorKind::NotFound)?;
    let socket = UnixDatagram::unbound()?;
    socket.connect(path(dir, &config.name))?;
    Ok(socket)
}

/// What one datagram holds beside its descriptors.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    /// A client's socket and its host's.
    Connection(Handover),
    /// The socket on which clients are taken in.
    Door,
}

/// Passes a connection on; the other process has it once this returns.
pub async fn send(to: &UnixDatagram, passed: Handover, sockets: [&impl AsFd; 2]) -> io::Result<()> {
    send_message(to, &Message::Connection(passed), &sockets.map(AsFd::as_fd)).await
}

/// Shares the socket on which clients are taken in: both processes take from its one queue, so that none is lost when
/// this one ends.
pub async fn share_door(to: &UnixDatagram, door: &impl AsFd) -> io::Result<()> {
    send_message(to, &Message::Door, &[door.as_fd()]).await
}

async fn send_message(to: &UnixDatagram, message: &Message, fds: &[BorrowedFd<'_>]) -> io::Result<()> {
    let data = serde_json::to_vec(message)?;
    let sent = to.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(fds)) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(sendmsg(to, &[IoSlice::new(&data)], &mut control, SendFlags::NOSIGNAL)?)
    });
    timeout(READ, sent).await.map_err(|_| io::ErrorKind::TimedOut)??;
    Ok(())
}

/// Takes connections in until the process before has ended. Nobody is to find the way after that: this process would
/// pass connections on to itself. `go_on` is given each connection and its two sockets.
pub async fn receive(node: Rc<Node>, from: UnixDatagram, go_on: impl Fn(Handover, Vec<TcpStream>)) {
    let ended = async {
        node.process.alone.notified().await;
        // What it sent last may not be read yet.
        tokio::time::sleep(READ).await;
    };
    tokio::select! {
        () = take_in(&node, &from, go_on) => {}
        () = ended => {}
    }
    let config = node.config();
    let Some(dir) = &config.state_dir else { return };
    if let Err(error) = std::fs::remove_file(path(dir, &config.name)) {
        warn!("connections passed on: {error}");
    }
}

async fn take_in(node: &Node, from: &UnixDatagram, go_on: impl Fn(Handover, Vec<TcpStream>)) {
    let mut data = vec![0; MAX_DATAGRAM];
    let mut taken: u64 = 0;
    loop {
        let received = from.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let read =
                recvmsg(from, &mut [IoSliceMut::new(&mut data)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let mut sockets = Vec::new();
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    sockets.extend(fds);
                }
            }
            Ok((read.bytes, sockets))
        });
        match received.await {
            Ok((length, sockets)) => match (serde_json::from_slice(&data[..length]), sockets.len()) {
                (Ok(Message::Connection(passed)), 2) => {
                    taken += 1;
                    if taken == 1 {
                        info!("connections are passed on to this process");
                    }
                    go_on(passed, sockets.into_iter().map(TcpStream::from).collect());
                }
                (Ok(Message::Door), 1) => {
                    node.process.shared_door(sockets.into_iter().map(TcpListener::from).next())
                }
                (Ok(_), number) => warn!("passed on with {number} sockets"),
                (Err(error), _) => warn!("passed on: {error}"),
            },
            Err(error) => {
                warn!("connections passed on: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
