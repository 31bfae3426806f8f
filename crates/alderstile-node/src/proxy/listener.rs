//! Takes connections in, as many as the limits allow.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::warn;

use crate::config::Config;
use crate::node::Node;
use crate::proxy::clients::Counted;
use crate::proxy::session;

/// Connections that the system may hold for us: a mass reconnect comes within a moment.
const ACCEPT_QUEUE: u32 = 4096;
/// Accepting pauses this long after an error or at the limit: neither goes away by asking at once.
const PAUSE: Duration = Duration::from_millis(20);
/// How long a listener that is closed may wait for room: its clients wait as long.
const CLOSING: Duration = Duration::from_millis(500);

/// Listens on an address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address, false)
}

/// Listens where clients connect; the next process of the node may do so beside this one.
pub fn bind_clients(config: &Config) -> io::Result<TcpListener> {
    listen(config.listen, config.state_dir.is_some())
}

fn listen(address: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A node that starts again takes its address back while old connections linger.
    socket.set_reuseaddr(true)?;
    if beside {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Accepts until the node's door is closed, or it is dropped.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    let listener = Rc::new(listener);
    node.process.listen(Some(listener.clone()));
    tokio::select! {
        () = accept(&node, &listener) => {}
        () = node.process.door.notified() => {}
    }
    node.process.listen(None);
    // Nobody else holds it now, but for a moment in which it is shared: the other process has it then.
    if let Ok(listener) = Rc::try_unwrap(listener) {
        close(&node, listener).await;
    }
}

/// The socket that the process before shares, as this process's own.
pub fn shared(door: std::net::TcpListener) -> io::Result<TcpListener> {
    door.set_nonblocking(true)?;
    TcpListener::from_std(door)
}

/// Takes in what waits, and ends the listener in the very step in which nothing waits any more: where the other process
/// has a socket of its own, what comes between is reset. The address is that one's from then on.
async fn close(node: &Rc<Node>, listener: TcpListener) {
    let until = Instant::now() + CLOSING;
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => return warn!("closing: {error}"),
    };
    while Instant::now() < until {
        let taken = match node.clients.descriptor(0) {
            Some(descriptor) => listener.accept().map(|(stream, _)| (stream, descriptor)),
            None => {
                node.clients.backlog.evict_oldest();
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        match taken.and_then(|(stream, descriptor)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, descriptor))
        }) {
            Ok((stream, descriptor)) => serve(node, stream, descriptor),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                warn!("closing: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    warn!("closing: clients wait, and there is no room to take them in");
}

fn serve(node: &Rc<Node>, stream: TcpStream, descriptor: Counted) {
    let (node, pending) = (node.clone(), node.clients.backlog.enter());
    spawn_local(async move {
        session::run(node, stream, pending).await;
        drop(descriptor);
    });
}

async fn accept(node: &Rc<Node>, listener: &TcpListener) {
    loop {
        // Where no descriptor is left even for a refusal, clients wait in the system's queue until a pending one has gone.
        let Some(descriptor) = node.clients.descriptor(0) else {
            if node.clients.backlog.evict_oldest() {
                // Its session hears of that, looks once more for its line, and ends.
                tokio::task::yield_now().await;
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(PAUSE).await;
            }
            continue;
        };
        if !node.clients.backlog.has_place() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                serve(node, stream, descriptor);
                // Those that have said something are heard before the next is taken in.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                warn!("accept: {error}");
                node.clients.backlog.evict_oldest();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
