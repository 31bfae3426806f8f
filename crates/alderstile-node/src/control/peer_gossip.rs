//! Gossip between the decisions of nodes: datagrams, lost or late at any time.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tracing::{debug, warn};

use crate::node::Node;

/// The longest message of the protocol, bytes.
pub const MAX_MESSAGE: usize = 256;

/// Pause after a failed receive: should errors go on, they must not take the whole core.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// While the other process of this node has the address, binding is retried this often.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The gossip channel of this process. Of two processes of a node one has the socket at a time.
#[derive(Default)]
pub struct GossipChannel(RefCell<Option<Rc<GossipSocket>>>);

impl GossipChannel {
    /// Sends a message to all nodes, where this process has the socket.
    pub fn broadcast(&self, message: &[u8]) {
        if let Some(socket) = self.0.borrow().as_ref() {
            socket.broadcast(message);
        }
    }

    /// Receives until the other process is to have the socket.
    pub async fn run(self: Rc<Self>, node: Rc<Node>, socket: Rc<GossipSocket>) {
        self.0.replace(Some(socket.clone()));
        tokio::select! {
            () = socket.receive(node.clone()) => {}
            () = node.process.release_sockets.notified() => {}
        }
        self.0.replace(None);
    }

    /// Does the same as soon as the process before this one releases the socket.
    pub async fn run_after_predecessor(self: Rc<Self>, node: Rc<Node>) {
        loop {
            match GossipSocket::bind(&node).await {
                Ok(None) => return,
                Ok(Some(socket)) => return self.run(node, socket).await,
                Err(error)
                    if error.kind() == io::ErrorKind::AddrInUse && node.process.other_process().is_some() =>
                {
                    tokio::time::sleep(BIND_RETRY_DELAY).await;
                }
                Err(error) => {
                    return warn!(%error, "gossip socket not bound, serving without gossip");
                }
            }
        }
    }
}

/// The socket on which this node gossips.
pub struct GossipSocket {
    socket: UdpSocket,
    /// Reaches all nodes at once.
    broadcast_address: SocketAddr,
}

impl GossipSocket {
    /// Binds the socket of the configuration; none where nodes may not gossip.
    ///
    /// # Errors
    ///
    /// The socket can't be bound.
    pub async fn bind(node: &Node) -> io::Result<Option<Rc<Self>>> {
        let config = node.config();
        let (Some(listen), Some(broadcast_address)) = (config.peer_listen, config.peer_broadcast) else {
            return Ok(None);
        };
        if !config.settings.gossip_allowed {
            return Ok(None);
        }
        let socket = UdpSocket::bind(listen).await?;
        // Until the runtime has polled it once, a send without waiting would block.
        socket.writable().await?;
        Ok(Some(Rc::new(GossipSocket { socket, broadcast_address })))
    }

    /// Sends a message to all nodes; it is lost where the system has no room for it.
    pub fn broadcast(&self, message: &[u8]) {
        if message.len() > MAX_MESSAGE {
            warn!(bytes = message.len(), "gossip message too long, not sent");
        } else if let Err(error) = self.socket.try_send_to(message, self.broadcast_address) {
            debug!(%error, "gossip message lost");
        }
    }

    /// Hands messages of configured nodes to the decisions, for as long as it runs.
    pub async fn receive(self: Rc<Self>, node: Rc<Node>) {
        let mut buffer = [0; MAX_MESSAGE + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => deliver(&node, from, &buffer[..length]),
                // A node that is down refused what was sent to it; the next receive is fine.
                Err(error) => {
                    debug!(%error, "gossip receive failed");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }
}

fn deliver(node: &Node, from: SocketAddr, message: &[u8]) {
    let index = node.config().peers.iter().position(|peer| *peer == from);
    match index.and_then(|index| u32::try_from(index).ok()) {
        Some(index) if message.len() <= MAX_MESSAGE => {
            node.decisions
                .with_balancer(|balancer, now| balancer.on_peer_message(now, index, message.to_vec()));
        }
        _ => debug!(bytes = message.len(), %from, "gossip message ignored"),
    }
}
