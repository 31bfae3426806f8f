//! `serve`: starts a node's components and runs them until a signal arrives and all clients have left.

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

use super::log::Log;
use super::{FilePaths, env};
use crate::admin::server;
use crate::clock::MachineTime;
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

/// Interval at which a successor checks whether it can serve.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a node can't start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The cluster file is invalid.
    #[error(transparent)]
    ClusterConfig(#[from] ClusterConfigError),
    /// The runtime can't be built.
    #[error("runtime not started: {0}")]
    Runtime(io::Error),
    /// The signal handlers can't be installed.
    #[error("signal handlers not installed: {0}")]
    Signals(io::Error),
    /// Another process is already taking over the node.
    #[error(transparent)]
    AlreadyJoined(#[from] AlreadyJoined),
    /// This node's member record is invalid.
    #[error("cluster not joined: {0}")]
    Membership(#[from] RecordError),
    /// The membership socket can't be bound.
    #[error("membership socket not bound (cluster file, listen {address}): {error}")]
    MembershipSocket {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The admin server's listener can't be bound.
    #[error("admin listener not bound (admin_addr {address}): {error}")]
    AdminSocket {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The listener for clients can't be bound.
    #[error("client listener not bound (listen {address}): {error}")]
    ClientSocket {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The gossip socket can't be bound.
    #[error("gossip socket not bound (peer_listen): {0}")]
    GossipSocket(io::Error),
}

/// Runs a node until a signal arrives and all clients have been migrated or handed over.
///
/// # Errors
///
/// Fails if the node can't start.
pub fn run(files: FilePaths<'_>, log: &Log) -> Result<(), ServeError> {
    let cluster = files.load_cluster()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let serving = async {
        spawn_local(Log::report_dropped_lines(log.dropped()));
        serve(files, cluster.as_ref()).await
    };
    LocalSet::new().block_on(&runtime.map_err(ServeError::Runtime)?, serving)
}

async fn serve(files: FilePaths<'_>, cluster: Option<&ClusterConfig>) -> Result<(), ServeError> {
    // Installed first: without a handler, a signal ends the process at once.
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
        None => start_without_predecessor(&node, &gossip).await?,
        Some(predecessor) => start_as_successor(&node, &gossip, predecessor),
    };
    spawn_local(watch::run(node.decisions.clone()));
    spawn_local(node.clone().run(move |message| gossip.broadcast(message)));
    let reloads = Reloads { node: &node, files };
    signals.wait_for_stop(&reloads).await;
    // Reloads still apply: clients are served with the active configuration until the last one has left.
    signals.wait_for(shutdown::run(node.clone(), accepting), &reloads).await;
    Ok(())
}

/// The reloads of a running node.
struct Reloads<'a> {
    node: &'a Node,
    files: FilePaths<'a>,
}

impl Reloads<'_> {
    /// Reloads both files at SIGHUP.
    fn on_hangup(&self) {
        let read_at = MachineTime::now();
        reload::reload(self.node, self.files.config, env);
        if self.reload_keys() {
            self.node.reload_times.cluster_keys.set(read_at);
        }
    }

    /// Reloads the keys after the node's other process has; returns whether they are in use.
    fn reload_keys(&self) -> bool {
        reload::reload_keys(self.node, self.files.cluster)
    }

    /// Waits until the node's other process has reloaded the keys.
    async fn keys_requested(&self) {
        self.node.reload_times.keys_requested.notified().await;
    }
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
    async fn wait_for_stop(&mut self, reloads: &Reloads<'_>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                Some(()) = self.hangup.recv() => reloads.on_hangup(),
                () = reloads.keys_requested() => drop(reloads.reload_keys()),
            }
        }
    }

    /// Waits for a future to complete, and reloads at each SIGHUP.
    async fn wait_for(&mut self, future: impl Future<Output = ()>, reloads: &Reloads<'_>) {
        tokio::pin!(future);
        loop {
            tokio::select! {
                () = &mut future => return,
                Some(()) = self.hangup.recv() => reloads.on_hangup(),
                () = reloads.keys_requested() => drop(reloads.reload_keys()),
            }
        }
    }
}

/// Starts the membership in the cluster, and the replicated configuration and subsets that the cluster file
/// configures.
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
        error!(%error, "configuration replication stopped, active configuration kept");
    }
}

async fn run_membership_after_predecessor(node: Rc<Node>, membership: Rc<ClusterMembership>) {
    match membership.bind(|| node.process.other_process().is_some()).await {
        Ok(socket) => membership.run(socket).await,
        Err(error) => warn!(%error, "membership socket not bound, serving without membership"),
    }
}

fn start_admin_server(node: &Node) -> Result<(), ServeError> {
    let Some(address) = node.config().admin_addr else { return Ok(()) };
    let listener = listener::bind(address).map_err(|error| ServeError::AdminSocket { address, error })?;
    spawn_local(server::run(node.admin.clone(), listener));
    Ok(())
}

/// Starts to accept clients if no other process of this node is running.
async fn start_without_predecessor(
    node: &Rc<Node>,
    gossip: &Rc<GossipChannel>,
) -> Result<JoinHandle<()>, ServeError> {
    let listener = bind_clients(node)?;
    if let Some(socket) = GossipSocket::bind(node).await.map_err(ServeError::GossipSocket)? {
        spawn_local(gossip.clone().run(node.clone(), socket));
    }
    spawn_local(upgrade::accept_successors(node.clone()));
    Ok(spawn_local(listener::run(node.clone(), listener)))
}

/// Starts while the predecessor serves, and takes the node over from it.
fn start_as_successor(
    node: &Rc<Node>,
    gossip: &Rc<GossipChannel>,
    predecessor: Predecessor,
) -> JoinHandle<()> {
    node.take_over(&predecessor.state);
    spawn_local(gossip.clone().run_after_predecessor(node.clone()));
    let predecessor_ended = upgrade::exchange_with_predecessor(node, predecessor);
    let successor = node.clone();
    spawn_local(async move {
        predecessor_ended.await;
        upgrade::accept_successors(successor).await;
    });
    spawn_local(accept_as_successor(node.clone()))
}

/// Accepts clients together with the predecessor, as soon as this process can serve them.
async fn accept_as_successor(node: Rc<Node>) {
    while !node.decisions.can_serve() || !node.admin.is_config_current() {
        if node.process.is_shutting_down() {
            return;
        }
        sleep(READINESS_POLL_INTERVAL).await;
    }
    receive_connections(&node);
    if let Some(other) = node.process.other_process() {
        other.request_listener().await;
        // The listener was sent before the acknowledgement, but this process may not have received it yet.
        sleep(READINESS_POLL_INTERVAL).await;
    }
    let listener = match shared_or_new_listener(&node) {
        Ok(listener) => listener,
        Err(error) => return error!(%error, "client listener not bound, no clients accepted"),
    };
    // Sent before the admin server reports this process as ready: the predecessor may then be stopped at
    // once.
    if let Some(other) = node.process.other_process() {
        other.send_ready().await;
    }
    listener::run(node, listener).await;
}

/// Starts to receive the connections that the predecessor hands over.
fn receive_connections(node: &Rc<Node>) {
    match connection_handover::bind(&node.config()) {
        Ok(Some(socket)) => {
            let resuming_node = node.clone();
            let resume = move |connection, sockets| {
                drop(spawn_local(session::resume(resuming_node.clone(), connection, sockets)));
            };
            spawn_local(connection_handover::receive(node.clone(), socket, resume));
        }
        Ok(None) => {}
        Err(error) => warn!(%error, "handover socket not bound, no connections received from predecessor"),
    }
}

/// Returns the listener that the predecessor shares, or binds a separate one to the same address.
fn shared_or_new_listener(node: &Node) -> Result<TcpListener, ServeError> {
    match node.process.take_shared_listener().map(listener::from_shared) {
        Some(Ok(listener)) => {
            info!(node = %node.config().name, "listener shared with predecessor");
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
    info!(node = %config.name, %address, "client listener bound");
    Ok(listener)
}
