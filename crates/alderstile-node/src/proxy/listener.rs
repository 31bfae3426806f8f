//! Listening for clients, and accepting as many as the limits allow.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};
use tracing::warn;

use super::count_guard::CountGuard;
use super::session;
use crate::config::Config;
use crate::node::Node;

/// How many connections the system may queue: a mass reconnect comes within a moment.
const ACCEPT_QUEUE: u32 = 4096;
/// How long accepting pauses after an error or at the limit: neither goes away by an immediate retry.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long a listener that is closed may wait for descriptors: its clients wait as long.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Listens on an address.
///
/// # Errors
///
/// The system does not allow it.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address, false)
}

/// Listens for clients; the node's successor may do so beside this process.
///
/// # Errors
///
/// The system does not allow it.
pub fn bind_clients(config: &Config) -> io::Result<TcpListener> {
    listen(config.listen, config.state_dir.is_some())
}

fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A node that restarts gets its address back while old connections linger.
    socket.set_reuseaddr(true)?;
    if reuse_port {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// The listener that the predecessor shares.
///
/// # Errors
///
/// The socket can't be used without blocking.
pub fn from_shared(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts clients until the process is told to stop accepting, or this is dropped.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    let listener = Rc::new(listener);
    node.process.set_listener(Some(listener.clone()));
    tokio::select! {
        () = accept_clients(&node, &listener) => {}
        () = node.process.stop_accepting.notified() => {}
    }
    node.process.set_listener(None);
    // Nobody else has it now, but for a moment in which it is shared: the other process has it then.
    if let Ok(listener) = Rc::try_unwrap(listener) {
        close(&node, listener).await;
    }
}

async fn accept_clients(node: &Rc<Node>, listener: &TcpListener) {
    loop {
        // Where no descriptor is left even for a rejection, clients wait in the system's queue until a pending one has gone.
        let Some(descriptor) = node.clients.acquire_descriptor(0) else {
            free_descriptor(node).await;
            continue;
        };
        if !node.clients.pending.ensure_free_slot() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((socket, _)) => {
                spawn_session(node, socket, descriptor);
                // Those that have sent something are served before the next is accepted.
                yield_now().await;
            }
            Err(error) => {
                warn!(%error, "accept failed");
                node.clients.pending.evict_oldest();
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn free_descriptor(node: &Node) {
    if node.clients.pending.evict_oldest() {
        // Its session is told of the eviction, looks once more for its line, and ends.
        yield_now().await;
        yield_now().await;
    } else {
        sleep(RETRY_PAUSE).await;
    }
}

fn spawn_session(node: &Rc<Node>, socket: TcpStream, descriptor: CountGuard) {
    let (node, slot) = (node.clone(), node.clients.pending.add());
    spawn_local(async move {
        session::run(node, socket, slot).await;
        drop(descriptor);
    });
}

/// Why a listener that is closed accepts no client now.
#[derive(Debug, Error)]
enum DrainError {
    #[error("no descriptor is left")]
    NoDescriptor,
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Accepts what is queued, and closes the listener in the very step in which the queue is empty: where the other process has
/// a socket of its own, what comes between is reset. The address is the other process's from then on.
async fn close(node: &Rc<Node>, listener: TcpListener) {
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => return warn!(%error, "listener not drained"),
    };
    while Instant::now() < deadline {
        match accept_queued(node, &listener) {
            Ok((socket, descriptor)) => spawn_session(node, socket, descriptor),
            Err(DrainError::Io(error)) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(DrainError::NoDescriptor) => {
                node.clients.pending.evict_oldest();
                sleep(RETRY_PAUSE).await;
            }
            Err(DrainError::Io(error)) => {
                warn!(%error, "accept failed");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    warn!("listener closed before its queue was empty, time for it is over");
}

fn accept_queued(
    node: &Node,
    listener: &std::net::TcpListener,
) -> Result<(TcpStream, CountGuard), DrainError> {
    let descriptor = node.clients.acquire_descriptor(0).ok_or(DrainError::NoDescriptor)?;
    let (socket, _) = listener.accept()?;
    socket.set_nonblocking(true)?;
    Ok((TcpStream::from_std(socket)?, descriptor))
}
