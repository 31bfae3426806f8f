//! Takes connections in, as many as the limits allow.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;

use crate::node::Node;
use crate::session;

/// Connections that the system may hold for us: a mass reconnect comes within a moment.
const BACKLOG: u32 = 4096;
/// Accepting pauses this long after an error or at the limit: neither goes away by asking at once.
const PAUSE: Duration = Duration::from_millis(20);

/// Listens on an address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A node that starts again takes its address back while old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts until it is dropped.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    loop {
        // Where no descriptor is left even for a refusal, clients wait in the backlog.
        let Some(descriptor) = node.descriptor(0) else {
            node.lobby.show_out_oldest();
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if !node.lobby.has_place() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (node, guest) = (node.clone(), node.lobby.enter());
                spawn_local(async move {
                    session::run(node, stream, guest).await;
                    drop(descriptor);
                });
                // Those that have said something are heard before the next is taken in.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                warn!("accept: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
