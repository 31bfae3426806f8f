//! The client listener: accepts connections within the limits of descriptors and pending clients.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};
use tracing::warn;

use super::clients::ClientResources;
use super::session;
use crate::config::Config;
use crate::node::Node;

/// The accept backlog of the system: clients may reconnect all at once.
const ACCEPT_QUEUE: u32 = 4096;
/// The pause in accepting after an error or at a limit, neither of which an immediate retry would resolve.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long closing a listener may wait for descriptors. The queued clients wait for that long, too.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Listens on an address.
///
/// # Errors
///
/// Returns the error of the system.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address, false)
}

/// Listens on the client address. If the configuration has a state directory, the node's successor may listen
/// on the same address at the same time.
///
/// # Errors
///
/// Returns the error of the system.
pub fn bind_clients(config: &Config) -> io::Result<TcpListener> {
    listen(config.listen, config.state_dir.is_some())
}

fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Lets a restarted node bind its address while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    if reuse_port {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Converts the listener that the predecessor shares.
///
/// # Errors
///
/// Fails if the socket cannot be made non-blocking.
pub fn from_shared(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts clients until `stop_accepting` of the process is notified, then drains and closes the listener.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    let listener = Rc::new(listener);
    node.process.set_listener(Some(listener.clone()));
    tokio::select! {
        () = accept_clients(&node, &listener) => {}
        () = node.process.stop_accepting.notified() => {}
    }
    node.process.set_listener(None);
    // Fails only while the listener is being shared with the other process, which then serves its queue.
    if let Ok(listener) = Rc::try_unwrap(listener) {
        close(&node, listener).await;
    }
}

async fn accept_clients(node: &Rc<Node>, listener: &TcpListener) {
    loop {
        // Without a descriptor and memory even for a rejection, clients wait in the accept queue until a
        // pending one is evicted.
        let Some(resources) = node.clients.acquire_client() else {
            free_resources(node).await;
            continue;
        };
        if !node.clients.pending.ensure_free_slot() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((socket, _)) => {
                spawn_session(node, socket, resources);
                // Clients that have sent bytes are served before the next one is accepted.
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

async fn free_resources(node: &Node) {
    if node.clients.pending.evict_oldest() {
        // The evicted session is notified, checks once more for a complete line, and ends.
        yield_now().await;
        yield_now().await;
    } else {
        sleep(RETRY_PAUSE).await;
    }
}

fn spawn_session(node: &Rc<Node>, socket: TcpStream, resources: ClientResources) {
    let (node, slot) = (node.clone(), node.clients.pending.add());
    spawn_local(async move {
        session::run(node, socket, slot).await;
        drop(resources);
    });
}

/// Why no queued client can be accepted while a listener is closed.
#[derive(Debug, Error)]
enum DrainError {
    #[error("no descriptor or no memory available")]
    NoResources,
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Accepts the queued clients, and closes the listener in the same step in which the queue is found empty.
/// Afterwards only the other process listens on the address. If that process has a separate socket, a client
/// that arrives after the last accept and before the close is reset.
async fn close(node: &Rc<Node>, listener: TcpListener) {
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => return warn!(%error, "listener drain failed"),
    };
    while Instant::now() < deadline {
        match accept_queued(node, &listener) {
            Ok((socket, resources)) => spawn_session(node, socket, resources),
            Err(DrainError::Io(error)) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(DrainError::NoResources) => {
                node.clients.pending.evict_oldest();
                sleep(RETRY_PAUSE).await;
            }
            Err(DrainError::Io(error)) => {
                warn!(%error, "accept failed");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    warn!("listener closed before its accept queue was drained: timeout expired");
}

fn accept_queued(
    node: &Node,
    listener: &std::net::TcpListener,
) -> Result<(TcpStream, ClientResources), DrainError> {
    let resources = node.clients.acquire_client().ok_or(DrainError::NoResources)?;
    let (socket, _) = listener.accept()?;
    socket.set_nonblocking(true)?;
    Ok((TcpStream::from_std(socket)?, resources))
}
