//! Messages between nodes: datagrams, late or lost at any time.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tracing::{debug, warn};

use crate::node::Node;

/// The longest message; a longer one is against the protocol.
pub const MAX_MESSAGE: usize = 256;

/// How long receiving pauses after an error.
const PAUSE: Duration = Duration::from_millis(5);

/// Where another process has the address, it is tried again this often.
const TRY_AGAIN: Duration = Duration::from_millis(20);

/// The way to the other nodes as this process has it: one of two processes of a node at a time.
#[derive(Default)]
pub struct PeerPath(RefCell<Option<Rc<Peers>>>);

impl PeerPath {
    /// Sends a message to all nodes, where this process has the way.
    pub fn tell(&self, data: &[u8]) {
        self.0.borrow().iter().for_each(|peers| peers.tell(data));
    }

    /// Listens from now on, and lets go where the other process is to have the way.
    pub async fn run(self: Rc<Self>, node: Rc<Node>, peers: Rc<Peers>) {
        self.0.replace(Some(peers.clone()));
        tokio::select! {
            () = peers.run(node.clone()) => {}
            () = node.process.release_sockets.notified() => {}
        }
        self.0.replace(None);
    }

    /// The same as soon as the process before lets go.
    pub async fn run_after(self: Rc<Self>, node: Rc<Node>) {
        loop {
            match Peers::bind(&node).await {
                Ok(None) => return,
                Ok(Some(peers)) => return self.run(node, peers).await,
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && node.process.other().is_some() => {
                    tokio::time::sleep(TRY_AGAIN).await;
                }
                Err(error) => {
                    return warn!("peer_listen: {error}; serving without the other nodes' messages");
                }
            }
        }
    }
}

/// A way to the other nodes.
pub struct Peers {
    socket: UdpSocket,
    all: SocketAddr,
}

impl Peers {
    /// Listens where the configuration says; none where nodes may not talk.
    pub async fn bind(node: &Node) -> io::Result<Option<Rc<Self>>> {
        let (Some(listen), Some(all)) = (node.config().peer_listen, node.config().peers_all) else {
            return Ok(None);
        };
        if !node.config().settings.gossip_allowed {
            return Ok(None);
        }
        let socket = UdpSocket::bind(listen).await?;
        // Until the runtime has looked once, a send without waiting finds no room.
        socket.writable().await?;
        Ok(Some(Rc::new(Peers { socket, all })))
    }

    /// Sends a message to all nodes; it is lost where the system has no room for it.
    pub fn tell(&self, data: &[u8]) {
        if data.len() > MAX_MESSAGE {
            warn!("message of {} bytes not sent", data.len());
        } else if let Err(error) = self.socket.try_send_to(data, self.all) {
            debug!("message lost: {error}");
        }
    }

    /// Hands messages of known nodes to the decisions.
    pub async fn run(self: Rc<Self>, node: Rc<Node>) {
        let mut data = [0; MAX_MESSAGE + 1];
        loop {
            match self.socket.recv_from(&mut data).await {
                Ok((len, from)) => {
                    let number = node.config().peers.iter().position(|peer| *peer == from);
                    match number.and_then(|number| u32::try_from(number).ok()) {
                        Some(number) if len <= MAX_MESSAGE => {
                            node.decisions.decide(|balancer, now| {
                                balancer.on_peer_message(now, number, data[..len].to_vec())
                            });
                        }
                        _ => debug!("message of {len} bytes from {from} ignored"),
                    }
                }
                // A message that a node on its way down refused comes back as an error; the next one is fine. Should
                // errors go on, they must not take the whole core.
                Err(error) => {
                    debug!("peers: {error}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}
