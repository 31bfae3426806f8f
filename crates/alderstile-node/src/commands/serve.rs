//! `serve`: starts a node's parts, and runs them until a signal comes and all clients have left.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use alderstile_cluster::membership::RecordError;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;
use tracing::{error, info, warn};

use super::{Files, env};
use crate::admin::server;
use crate::config::{ClusterConfig, ClusterConfigError, Config, ConfigError};
use crate::control::host_assignment;
use crate::control::membership::ClusterMembership;
use crate::control::peer_gossip::{GossipChannel, GossipSocket};
use crate::control::replicated_config::ConfigReplica;
use crate::discovery::watch;
use crate::lifecycle::upgrade::{AlreadyJoined, Predecessor};
use crate::lifecycle::{connection_handover, reload, shutdown, upgrade};
use crate::node::Node;
use crate::proxy::{listener, session};

/// How often a process that takes over checks whether it can serve.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The cluster's file can't be used.
    #[error(transparent)]
    ClusterConfig(#[from] ClusterConfigError),
    /// The runtime can't be built.
    #[error("runtime: {0}")]
    Runtime(io::Error),
    /// The signals can't be handled.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// Another process is taking over already.
    #[error(transparent)]
    AlreadyJoined(#[from] AlreadyJoined),
    /// This node can't be a member of its cluster.
    #[error("cluster: {0}")]
    Membership(#[from] RecordError),
    /// The socket of the membership can't be bound.
    #[error("cluster: listen {address}: {error}")]
    MembershipSocket {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The admin server's socket can't be bound.
    #[error("admin_addr {address}: {error}")]
    AdminSocket {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The clients' socket can't be bound.
    #[error("listen {address}: {error}")]
    ClientSocket {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The socket for gossip can't be bound.
    #[error("peer_listen: {0}")]
    GossipSocket(io::Error),
}

/// Serves until a signal comes and all clients have been told to move.
///
/// # Errors
///
/// The node can't start.
pub fn run(files: Files<'_>) -> Result<(), ServeError> {
    let cluster = files.load_cluster()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(ServeError::Runtime)?, serve(files, cluster.as_ref()))
}

async fn serve(files: Files<'_>, cluster: Option<&ClusterConfig>) -> Result<(), ServeError> {
    // Handled before anything else is done: unhandled, a signal ends the process.
    let mut signals = Signals::install().map_err(ServeError::Signals)?;
    let predecessor = match Config::identity(files.config, env) {
        Some(identity) => upgrade::join(&identity).await?,
        None => None,
    };
    let config = match &predecessor {
        Some(predecessor) => Config::for_successor(&predecessor.state, files.config, env)?,
        None => files.load_config()?,
    };
    let node = Rc::new(Node::new(config));
    if let Some(cluster) = cluster {
        join_cluster(&node, cluster, predecessor.as_ref()).await?;
    }
    start_admin_server(&node)?;
    let gossip = Rc::new(GossipChannel::default());
    let accepting = match predecessor {
        None => start_alone(&node, &gossip).await?,
        Some(predecessor) => start_beside(&node, &gossip, predecessor),
    };
    spawn_local(watch::run(node.decisions.clone()));
    spawn_local(node.clone().run(move |message| gossip.broadcast(message)));
    let reload = || {
        reload::reload(&node, files.config, env);
        reload::reload_keys(&node, files.cluster);
    };
    signals.until_stop(reload).await;
    // Reloads still count: clients are served by the configuration in force until the last one has left.
    signals.reload_until(shutdown::run(node.clone(), accepting), reload).await;
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, and reloads at each SIGHUP.
    async fn until_stop(&mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                Some(()) = self.hangup.recv() => reload(),
            }
        }
    }

    /// Waits until something is done, and reloads at each SIGHUP.
    async fn reload_until(&mut self, done: impl Future<Output = ()>, reload: impl Fn()) {
        tokio::pin!(done);
        loop {
            tokio::select! {
                () = &mut done => return,
                Some(()) = self.hangup.recv() => reload(),
            }
        }
    }
}

/// Makes the node a member of its cluster, with what the cluster's file asks for.
async fn join_cluster(
    node: &Rc<Node>,
    cluster: &ClusterConfig,
    predecessor: Option<&Predecessor>,
) -> Result<(), ServeError> {
    let predecessor_member = predecessor.and_then(|predecessor| predecessor.state.member.as_ref());
    let membership = Rc::new(ClusterMembership::new(&node.config(), cluster, predecessor_member)?);
    node.admin.set_membership(membership.clone());
    if let Some(replication) = &cluster.replication {
        let replica = Rc::new(ConfigReplica::new(replication, node));
        node.admin.set_replicated_config(replica.clone());
        spawn_local(run_replica(replica, membership.clone()));
    }
    if let Some(subsetting) = &cluster.subsetting {
        host_assignment::enable(node, subsetting);
        spawn_local(host_assignment::run(node.clone(), membership.clone()));
    }
    if predecessor.is_some() {
        spawn_local(run_membership_after_predecessor(node.clone(), membership));
        return Ok(());
    }
    let socket = membership.bind(|| false).await;
    let socket = socket.map_err(|error| ServeError::MembershipSocket { address: cluster.listen, error })?;
    spawn_local(membership.run(socket));
    Ok(())
}

async fn run_replica(replica: Rc<ConfigReplica>, membership: Rc<ClusterMembership>) {
    if let Err(error) = replica.run(membership).await {
        error!(%error, "configuration replication stopped; the configuration in force stays");
    }
}

async fn run_membership_after_predecessor(node: Rc<Node>, membership: Rc<ClusterMembership>) {
    match membership.bind(|| node.process.other_process().is_some()).await {
        Ok(socket) => membership.run(socket).await,
        Err(error) => warn!(%error, "membership socket not bound, serving without the other members"),
    }
}

fn start_admin_server(node: &Node) -> Result<(), ServeError> {
    let Some(address) = node.config().admin_addr else { return Ok(()) };
    let listener = listener::bind(address).map_err(|error| ServeError::AdminSocket { address, error })?;
    spawn_local(server::run(node.admin.clone(), listener));
    Ok(())
}

/// Starts to accept clients where no other process of this node serves.
async fn start_alone(node: &Rc<Node>, gossip: &Rc<GossipChannel>) -> Result<JoinHandle<()>, ServeError> {
    let listener = bind_clients(node)?;
    if let Some(socket) = GossipSocket::bind(node).await.map_err(ServeError::GossipSocket)? {
        spawn_local(gossip.clone().run(node.clone(), socket));
    }
    spawn_local(upgrade::accept_successors(node.clone()));
    Ok(spawn_local(listener::run(node.clone(), listener)))
}

/// Starts beside the process that serves, and takes over from it.
fn start_beside(node: &Rc<Node>, gossip: &Rc<GossipChannel>, predecessor: Predecessor) -> JoinHandle<()> {
    node.take_over(&predecessor.state);
    spawn_local(gossip.clone().run_after_predecessor(node.clone()));
    let ended = upgrade::follow(node, predecessor);
    let successor = node.clone();
    spawn_local(async move {
        ended.await;
        upgrade::accept_successors(successor).await;
    });
    spawn_local(accept_beside(node.clone()))
}

/// Accepts clients beside the process that serves, as soon as they can be served.
async fn accept_beside(node: Rc<Node>) {
    while !node.decisions.can_serve() {
        sleep(READINESS_POLL_INTERVAL).await;
    }
    receive_connections(&node);
    if let Some(other) = node.process.other_process() {
        other.request_listener().await;
        // It was sent before the answer; this process may not have read it.
        sleep(READINESS_POLL_INTERVAL).await;
    }
    let listener = match shared_or_own_listener(&node) {
        Ok(listener) => listener,
        Err(error) => return error!(%error, "clients' socket not bound, no clients accepted"),
    };
    // Before anyone hears that this process is ready: the other one may be told to stop for it.
    if let Some(other) = node.process.other_process() {
        other.send_ready().await;
    }
    listener::run(node, listener).await;
}

/// Takes connections over that the other process hands to this one.
fn receive_connections(node: &Rc<Node>) {
    match connection_handover::bind(&node.config()) {
        Ok(Some(socket)) => {
            let resuming = node.clone();
            let resume = move |connection, sockets| {
                drop(spawn_local(session::resume(resuming.clone(), connection, sockets)));
            };
            spawn_local(connection_handover::receive(node.clone(), socket, resume));
        }
        Ok(None) => {}
        Err(error) => warn!(%error, "handover socket not bound, connections can't be handed to this process"),
    }
}

/// The other process's listener where it shares it, or one of this process on the same address.
fn shared_or_own_listener(node: &Node) -> Result<TcpListener, ServeError> {
    match node.process.take_shared_listener().map(listener::from_shared) {
        Some(Ok(listener)) => {
            info!(node = %node.config().name, "accepting clients beside the predecessor");
            Ok(listener)
        }
        _ => bind_clients(node),
    }
}

fn bind_clients(node: &Node) -> Result<TcpListener, ServeError> {
    let config = node.config();
    let failed = |error| ServeError::ClientSocket { address: config.listen, error };
    let listener = listener::bind_clients(&config).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    info!(node = %config.name, %address, "listening for clients");
    Ok(listener)
}
