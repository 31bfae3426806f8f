//! This node's replica of the cluster's configuration: provides the socket, clock, disk and log to the core,
//! which does no I/O.
//!
//! The `apply` module applies versions to the node, `status` reports to operators, and `propose` submits
//! their changes. `docs/replicated-config.md` describes the design.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use alderstile::types::Micros;
use alderstile_cluster::authentication::MAX_DATAGRAM_BYTES;
use alderstile_cluster::replicated_config::{
    Effect, HardState, InvalidDocument, LeaseState, PersistedState, ProposalOutcome, ReplicatedConfig,
    ReplicationSettings,
};
use serde_json::Value;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tracing::{debug, error, info, warn};

use crate::config::{IsolationPolicy, ReplicationConfig};
use crate::control::configured_node::ConfiguredNode;
use crate::control::membership::ClusterMembership;

mod apply;
pub mod client;
pub mod document;
mod propose;
pub mod status;
pub mod store;

pub use propose::ProposalResult;
pub use status::ReplicationStatus;

use apply::AppliedConfig;
use document::ConfigDocument;
use status::role_name;
use store::{StoreError, VoterStore};

/// Key of the membership metadata field that holds a member's port for announcements.
const PORT_METADATA_KEY: u8 = b'c';
/// Interval at which the order of the members is updated.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed receive, so that persistent errors do not occupy the processor.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Interval at which a voter retries to open a store that another process has. It participates without a vote
/// in the meantime.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between log lines about voters with a different voter list, which send several messages
/// per second.
const MIN_MISMATCH_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Number of leases for which a starting node that has applied no version, and knows that one is committed,
/// waits for that version before it accepts clients.
const MAX_SUPERSEDED_LEASES: f64 = 3.0;

/// Reason why a node cannot participate in the replication.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The store belongs to a voter in a different voter list.
    #[error(transparent)]
    Store(StoreError),
    /// The address for datagrams cannot be bound.
    #[error("cannot bind control.listen {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
}

/// This node's replica of the configuration.
pub struct ConfigReplica {
    config: ReplicationConfig,
    core: RefCell<ReplicatedConfig>,
    started_at: Instant,
    node: Weak<dyn ConfiguredNode>,
    applied: AppliedConfig,
    store: RefCell<Option<VoterStore>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Notified when the core's next timeout may have changed.
    timeout_changed: Notify,
    lease_expired: Cell<bool>,
    mismatch_logged_at: Cell<Option<Instant>>,
    next_nonce: Cell<u64>,
    /// Channels to the callers that wait for the outcome of a proposal, by nonce.
    proposers: RefCell<BTreeMap<u64, oneshot::Sender<ProposalOutcome>>>,
}

impl ConfigReplica {
    /// Creates a replica that knows no version.
    pub fn new<N: ConfiguredNode + 'static>(config: &ReplicationConfig, node: &Rc<N>) -> Self {
        let node: Weak<N> = Rc::downgrade(node);
        let node: Weak<dyn ConfiguredNode> = node;
        ConfigReplica {
            config: config.clone(),
            core: RefCell::new(new_core(config, &node, None, None, Micros(0))),
            started_at: Instant::now(),
            applied: AppliedConfig::new(node.clone()),
            node,
            store: RefCell::default(),
            socket: RefCell::default(),
            timeout_changed: Notify::new(),
            lease_expired: Cell::new(false),
            mismatch_logged_at: Cell::default(),
            next_nonce: Cell::new(random_seed()),
            proposers: RefCell::default(),
        }
    }

    fn now(&self) -> Micros {
        Micros(u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Participates in the replication for as long as the node runs.
    ///
    /// # Errors
    /// Returns an error if the store belongs to a different voter list, or the address cannot be bound.
    pub async fn run(self: Rc<Self>, cluster: Rc<ClusterMembership>) -> Result<(), ReplicaError> {
        loop {
            let is_voter = self.open_store()?;
            let bound_before = self.bound_address();
            let socket = self.bind(is_voter).await?;
            let listen = self.config.listen;
            let port = socket.local_addr().map_or(listen.port(), |address| address.port());
            cluster.set_metadata(PORT_METADATA_KEY, &port.to_le_bytes());
            if bound_before.is_none() || is_voter {
                let address = SocketAddr::new(listen.ip(), port);
                info!(%address, voter = is_voter, "listening for configuration versions");
            }
            let awaits_store = self.config.settings.local_voter.is_some() && !is_voter;
            let until = awaits_store.then(|| Instant::now() + STORE_RETRY_INTERVAL);
            self.serve(&socket, port, &cluster, until).await;
        }
    }

    /// Opens a voter's store. Returns whether this process has it and may therefore vote.
    fn open_store(&self) -> Result<bool, ReplicaError> {
        let (Some(me), Some(dir), Some(node)) =
            (self.config.settings.local_voter, &self.config.state_dir, self.node.upgrade())
        else {
            return Ok(false);
        };
        let path = VoterStore::path(dir, &node.config().name);
        match VoterStore::open(&path, self.config.settings.voters_digest()) {
            Ok((store, stored)) => {
                self.start_voting(me, store, stored);
                Ok(true)
            }
            Err(mismatch @ StoreError::VoterListMismatch(_)) => Err(ReplicaError::Store(mismatch)),
            Err(unavailable) => {
                log_store_unavailable(&path, &unavailable);
                Ok(false)
            }
        }
    }

    fn start_voting(&self, voter: u8, store: VoterStore, stored: Option<PersistedState>) {
        match &stored {
            Some(PersistedState { hard_state: HardState { term, entry, .. }, .. }) => {
                let version = entry.position.version;
                info!(voter, term, version, "voter hard state restored");
            }
            None => warn!(voter, "voter hard state missing; not voting until every other voter has replied"),
        }
        self.store.replace(Some(store));
        self.core.replace(new_core(&self.config, &self.node, Some(voter), stored, self.now()));
    }

    fn bound_address(&self) -> Option<SocketAddr> {
        self.socket.borrow().as_ref().and_then(|socket| socket.local_addr().ok())
    }

    /// Binds the socket. A voter uses the address that all other nodes know; other nodes may use any port.
    async fn bind(&self, is_voter: bool) -> Result<Rc<UdpSocket>, ReplicaError> {
        let listen = self.config.listen;
        let bound = self.bound_address().filter(|bound| !is_voter || *bound == listen);
        if let (Some(_), Some(socket)) = (bound, self.socket.borrow().clone()) {
            return Ok(socket);
        }
        self.socket.replace(None);
        let socket = match UdpSocket::bind(listen).await {
            // The predecessor has the address. Other members receive the port with the membership metadata.
            Err(_) if !is_voter => UdpSocket::bind((listen.ip(), 0)).await,
            bound => bound,
        };
        let socket = Rc::new(socket.map_err(|error| ReplicaError::Bind(listen, error))?);
        self.socket.replace(Some(socket.clone()));
        Ok(socket)
    }

    /// Passes datagrams and timeouts to the core until `until`, when the store is to be retried.
    async fn serve(
        &self,
        socket: &UdpSocket,
        port: u16,
        cluster: &ClusterMembership,
        until: Option<Instant>,
    ) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut members_due = self.started_at;
        loop {
            let now = Instant::now();
            if until.is_some_and(|until| until <= now) {
                return;
            }
            if members_due <= now {
                members_due = now + MEMBERS_INTERVAL;
                self.update_members(cluster, port);
            }
            let core_due = self.started_at + Duration::from_micros(self.core.borrow().next_timeout().0);
            let due = until.map_or(core_due.min(members_due), |until| core_due.min(members_due).min(until));
            tokio::select! {
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.handle_datagram(from, &buffer[..length]),
                    // Reported after a node that is down refused a datagram.
                    Err(error) => {
                        debug!(%error, "configuration datagram receive failed");
                        tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    }
                },
                () = tokio::time::sleep_until(due.into()) => self.tick(),
                () = self.timeout_changed.notified() => {}
            }
            self.log_lease_change();
        }
    }

    fn handle_datagram(&self, from: SocketAddr, datagram: &[u8]) {
        let effects = self.core.borrow_mut().handle_datagram(self.now(), from, datagram);
        self.execute(effects);
    }

    fn tick(&self) {
        let effects = self.core.borrow_mut().tick(self.now());
        self.execute(effects);
    }

    /// Updates the order of the members that are not voters. Nodes that see the same members compute the same
    /// order.
    fn update_members(&self, cluster: &ClusterMembership, port: u16) {
        let voters = &self.config.settings.voters;
        let others = cluster.map_live_peers(|record| {
            let port = record.metadata_value(PORT_METADATA_KEY)?;
            let port = port.try_into().ok().map(u16::from_le_bytes)?;
            let address = SocketAddr::new(record.address.ip(), port);
            (!voters.contains(&address)).then(|| (alderstile_cluster::name_hash(&record.name), address))
        });
        let mut members: Vec<(u64, SocketAddr)> = others.into_iter().flatten().collect();
        let is_voter = self.core.borrow().role().is_some();
        let (name, address) = (cluster.local_name(), cluster.local_address());
        let own_address = SocketAddr::new(address.ip(), port);
        if !is_voter && !voters.contains(&own_address) {
            members.push((alderstile_cluster::name_hash(&name), own_address));
        }
        members.sort_unstable();
        let position = members.iter().position(|(_, address)| !is_voter && *address == own_address);
        let members = members.into_iter().map(|(_, address)| address).collect();
        self.core.borrow_mut().set_members(members, position);
    }

    /// Executes effects in order. Stops at a hard state that cannot be persisted.
    fn execute(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist(state) => {
                    if !self.persist(&state) {
                        return;
                    }
                }
                Effect::Send { to, datagram } => self.send(to, &datagram),
                Effect::VersionCommitted { version, document } => {
                    let activates_in = self.core.borrow().activates_in();
                    self.applied.prepare(version, &document, activates_in);
                }
                Effect::VersionActive { version, document } => self.applied.activate(version, &document),
                Effect::ProposalFinished { nonce, outcome } => self.finish_proposal(nonce, outcome),
                Effect::RoleChanged(role) => info!(role = role_name(role), "voter role changed"),
                Effect::VoterListMismatch { voter } => self.log_voter_list_mismatch(voter),
            }
        }
    }

    /// Persists a hard state. Returns whether the messages that depend on it may be sent.
    fn persist(&self, state: &PersistedState) -> bool {
        let store = self.store.borrow();
        let Some(store) = store.as_ref() else { return true };
        if let Err(error) = store.save(state) {
            error!(%error, "voter hard state not persisted; not voting until every other voter has replied");
            self.core.borrow_mut().handle_persist_failure(self.now());
            return false;
        }
        true
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Some(socket) = self.socket.borrow().as_ref()
            && let Err(error) = socket.try_send_to(datagram, to)
        {
            debug!(%to, %error, "configuration datagram dropped");
        }
    }

    fn log_voter_list_mismatch(&self, voter: u8) {
        let now = Instant::now();
        if self.mismatch_logged_at.get().is_none_or(|last| now - last > MIN_MISMATCH_LOG_INTERVAL) {
            self.mismatch_logged_at.set(Some(now));
            warn!(
                voter,
                "message of a voter with a different voter list dropped; \
                 control.voters must be identical at all nodes"
            );
        }
    }

    fn log_lease_change(&self) {
        let expired = self.core.borrow().lease_state(self.now()) == LeaseState::Expired;
        if self.lease_expired.replace(expired) == expired {
            return;
        }
        let version = self.applied.version();
        if expired {
            warn!(
                version,
                "configuration lease expired: isolated from the voters; the active version remains in use"
            );
        } else {
            info!(version, "configuration lease renewed");
        }
    }

    /// Returns the file read at SIGHUP, with the replicated settings in place of its own.
    pub fn overlay_file(&self, file: Value) -> Value {
        self.applied.overlay_file(file)
    }

    /// Replaces the keys that authenticate datagrams.
    pub fn set_keys(&self, config: &ReplicationConfig) {
        self.core.borrow_mut().set_codec(config.codec.clone());
    }

    /// Returns whether this node may accept clients. A starting node waits for the active version, but at
    /// most for one lease, or for three leases if it knows that a version is committed. With
    /// [`IsolationPolicy::StopAdmitting`] a node that has received no announcement, or is isolated, accepts
    /// none at any time.
    pub fn is_ready(&self) -> bool {
        let (core, now) = (self.core.borrow(), self.now());
        let stops_admitting = self.config.when_isolated == IsolationPolicy::StopAdmitting;
        let lease = self.config.settings.lease;
        match core.lease_state(now) {
            LeaseState::Valid => true,
            LeaseState::Unknown => now >= lease && !stops_admitting,
            LeaseState::Superseded => {
                let has_applied_version = self.applied.version() > 0 || core.committed_version() == 0;
                has_applied_version || now >= lease.scale(MAX_SUPERSEDED_LEASES)
            }
            LeaseState::Expired => !stops_admitting,
        }
    }
}

fn log_store_unavailable(path: &Path, error: &StoreError) {
    let path = path.display();
    match error {
        StoreError::Locked => {
            debug!(%path, "voter store locked by another process; participating without a vote")
        }
        _ => warn!(%path, %error, "voter store unavailable; participating without a vote"),
    }
}

fn random_seed() -> u64 {
    std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), 0)
}

fn new_core(
    config: &ReplicationConfig,
    node: &Weak<dyn ConfiguredNode>,
    local_voter: Option<u8>,
    stored: Option<PersistedState>,
    now: Micros,
) -> ReplicatedConfig {
    let node = node.clone();
    let validate = move |document: &[u8]| {
        let node = node.upgrade().ok_or_else(|| InvalidDocument("the node is shutting down".to_owned()))?;
        ConfigDocument::parse(document)
            .and_then(|document| document.validate(&node.config()))
            .map_err(|error| InvalidDocument(error.to_string()))
    };
    let settings = ReplicationSettings { local_voter, ..config.settings.clone() };
    // Another seed at each start, so that replies that echo the clock of an earlier process are invalid.
    ReplicatedConfig::new(settings, config.codec.clone(), stored, Box::new(validate), random_seed(), now)
}
