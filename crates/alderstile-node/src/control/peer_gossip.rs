//! Gossip between the policies of the nodes, in datagrams that may be lost or delayed.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tracing::{debug, warn};

use crate::node::Node;

/// Maximum length of a gossip message, bytes.
pub const MAX_MESSAGE: usize = 256;

/// Pause after a failed receive, so that persistent errors do not occupy the processor.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Interval of bind attempts while this node's other process has the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The gossip channel of this process. Only one of a node's two processes has the socket at a time.
#[derive(Default)]
pub struct GossipChannel(RefCell<Option<Rc<GossipSocket>>>);

impl GossipChannel {
    /// Sends a message to all nodes if this process has the socket.
    pub fn broadcast(&self, message: &[u8]) {
        if let Some(socket) = self.0.borrow().as_ref() {
            socket.broadcast(message);
        }
    }

    /// Receives messages until the socket is released to the other process.
    pub async fn run(self: Rc<Self>, node: Rc<Node>, socket: Rc<GossipSocket>) {
        self.0.replace(Some(socket.clone()));
        tokio::select! {
            () = socket.receive(node.clone()) => {}
            () = node.process.release_sockets.notified() => {}
        }
        self.0.replace(None);
    }

    /// Runs the channel as soon as the predecessor releases the socket.
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
                    return warn!(%error, "gossip socket not bound; serving without gossip");
                }
            }
        }
    }
}

/// The socket on which this node gossips.
pub struct GossipSocket {
    socket: UdpSocket,
    /// Address that reaches all nodes at once.
    broadcast_address: SocketAddr,
}

impl GossipSocket {
    /// Binds the configured socket. Returns `None` if gossip is disabled or not configured.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound.
    pub async fn bind(node: &Node) -> io::Result<Option<Rc<Self>>> {
        let config = node.config();
        let (Some(listen), Some(broadcast_address)) = (config.peer_listen, config.peer_broadcast) else {
            return Ok(None);
        };
        if !config.settings.gossip_allowed {
            return Ok(None);
        }
        let socket = UdpSocket::bind(listen).await?;
        // Until the runtime has polled the socket once, a non-blocking send reports that it would block.
        socket.writable().await?;
        Ok(Some(Rc::new(GossipSocket { socket, broadcast_address })))
    }

    /// Sends a message to all nodes. The message is dropped if it does not fit into the send buffer.
    pub fn broadcast(&self, message: &[u8]) {
        if message.len() > MAX_MESSAGE {
            warn!(bytes = message.len(), "gossip message exceeds the maximum length; not sent");
        } else if let Err(error) = self.socket.try_send_to(message, self.broadcast_address) {
            debug!(%error, "gossip message dropped");
        }
    }

    /// Passes the messages of configured nodes to the policy until the future is dropped.
    pub async fn receive(self: Rc<Self>, node: Rc<Node>) {
        let mut buffer = [0; MAX_MESSAGE + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => deliver(&node, from, &buffer[..length]),
                // Reported after a node that is down refused a datagram. The next receive succeeds.
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
