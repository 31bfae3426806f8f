//! This node's replica of the cluster's configuration: socket, clock, disk and log for a core that has none of them.
//!
//! `apply` says what the node does by a version, `status` what operators see, `propose` how they change it.
//! `docs/replicated-config.md` has the design.

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

/// Key of the membership metadata that holds a member's port for announcements.
const PORT_METADATA_KEY: u8 = b'c';
/// How often the order of the members is brought up to date.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// How long receiving pauses after an error: should errors go on, they must not take the processor.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(5);
/// A voter whose store another process holds tries again this often, and takes part without a vote meanwhile.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// A voter with another list of voters is logged this often at most: it sends several messages a second.
const MISMATCH_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// A node whose version was superseded is ready again after so many leases, although it hasn't the new one.
const MAX_SUPERSEDED_LEASES: f64 = 3.0;

/// Why a node can't take part in the replication.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The store is of a voter in another list of voters.
    #[error(transparent)]
    Store(StoreError),
    /// The address for datagrams can't be bound.
    #[error("control.listen {0}: {1}")]
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
    /// The core's next timeout may have changed.
    timeout_changed: Notify,
    lease_expired: Cell<bool>,
    mismatch_logged_at: Cell<Option<Instant>>,
    next_nonce: Cell<u64>,
    /// Who waits for the end of a proposal, by its nonce.
    proposers: RefCell<BTreeMap<u64, oneshot::Sender<ProposalOutcome>>>,
}

impl ConfigReplica {
    /// A replica that has heard of no version.
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

    /// Takes part in the replication for as long as the node runs.
    ///
    /// # Errors
    /// The store is of another list of voters, or the address can't be bound.
    pub async fn run(self: Rc<Self>, cluster: Rc<ClusterMembership>) -> Result<(), ReplicaError> {
        loop {
            let votes = self.open_store()?;
            let bound_before = self.bound_address();
            let socket = self.bind(votes).await?;
            let listen = self.config.listen;
            let port = socket.local_addr().map_or(listen.port(), |address| address.port());
            cluster.set_metadata(PORT_METADATA_KEY, &port.to_le_bytes());
            if bound_before.is_none() || votes {
                let address = SocketAddr::new(listen.ip(), port);
                info!(%address, voter = votes, "listening for configuration versions");
            }
            let waits_for_store = self.config.settings.local_voter.is_some() && !votes;
            let until = waits_for_store.then(|| Instant::now() + STORE_RETRY_INTERVAL);
            self.serve(&socket, port, &cluster, until).await;
        }
    }

    /// Opens a voter's store; whether this process has it, and so may vote.
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
            None => warn!(voter, "voter hard state missing; no vote until each other voter has answered"),
        }
        self.store.replace(Some(store));
        self.core.replace(new_core(&self.config, &self.node, Some(voter), stored, self.now()));
    }

    fn bound_address(&self) -> Option<SocketAddr> {
        self.socket.borrow().as_ref().and_then(|socket| socket.local_addr().ok())
    }

    /// The socket: a voter's is at the address that all others know, another node's may be at any port.
    async fn bind(&self, votes: bool) -> Result<Rc<UdpSocket>, ReplicaError> {
        let listen = self.config.listen;
        let bound = self.bound_address().filter(|bound| !votes || *bound == listen);
        if let (Some(_), Some(socket)) = (bound, self.socket.borrow().clone()) {
            return Ok(socket);
        }
        self.socket.replace(None);
        let socket = match UdpSocket::bind(listen).await {
            // The predecessor of this process has it; the membership's metadata tells others of the port.
            Err(_) if !votes => UdpSocket::bind((listen.ip(), 0)).await,
            bound => bound,
        };
        let socket = Rc::new(socket.map_err(|error| ReplicaError::Bind(listen, error))?);
        self.socket.replace(Some(socket.clone()));
        Ok(socket)
    }

    /// Passes datagrams and time to the core, until the store is to be tried again.
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
                    // A node that is down refused what was sent to it.
                    Err(error) => {
                        debug!(%error, "receiving configuration versions failed");
                        tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
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
        self.carry_out(effects);
    }

    fn tick(&self) {
        let effects = self.core.borrow_mut().tick(self.now());
        self.carry_out(effects);
    }

    /// Brings the order of the members that are no voters up to date: the same at all that see the same members.
    fn update_members(&self, cluster: &ClusterMembership, port: u16) {
        let voters = &self.config.settings.voters;
        let others = cluster.map_live_peers(|record| {
            let port = record.metadata_value(PORT_METADATA_KEY)?;
            let port = port.try_into().ok().map(u16::from_le_bytes)?;
            let address = SocketAddr::new(record.address.ip(), port);
            (!voters.contains(&address)).then(|| (alderstile_cluster::name_hash(&record.name), address))
        });
        let mut members: Vec<(u64, SocketAddr)> = others.into_iter().flatten().collect();
        let votes = self.core.borrow().role().is_some();
        let (name, address) = (cluster.local_name(), cluster.local_address());
        let me = SocketAddr::new(address.ip(), port);
        if !votes && !voters.contains(&me) {
            members.push((alderstile_cluster::name_hash(&name), me));
        }
        members.sort_unstable();
        let place = members.iter().position(|(_, address)| !votes && *address == me);
        let members = members.into_iter().map(|(_, address)| address).collect();
        self.core.borrow_mut().set_members(members, place);
    }

    /// Carries effects out in their order; none behind a hard state that can't be persisted.
    fn carry_out(&self, effects: Vec<Effect>) {
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

    /// Whether what rests on the hard state may be sent.
    fn persist(&self, state: &PersistedState) -> bool {
        let store = self.store.borrow();
        let Some(store) = store.as_ref() else { return true };
        if let Err(error) = store.save(state) {
            error!(%error, "voter hard state not persisted; no vote until each other voter has answered");
            self.core.borrow_mut().handle_persist_failure(self.now());
            return false;
        }
        true
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Some(socket) = self.socket.borrow().as_ref()
            && let Err(error) = socket.try_send_to(datagram, to)
        {
            debug!(%to, %error, "datagram not sent");
        }
    }

    fn log_voter_list_mismatch(&self, voter: u8) {
        let now = Instant::now();
        if self.mismatch_logged_at.get().is_none_or(|last| now - last > MISMATCH_LOG_INTERVAL) {
            self.mismatch_logged_at.set(Some(now));
            warn!(
                voter,
                "voter with another list of voters ignored; control.voters must be the same everywhere"
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
            warn!(version, "configuration lease expired: cut off from the voters; the version stays in use");
        } else {
            info!(version, "configuration lease renewed");
        }
    }

    /// A file at SIGHUP as it is put in force: with the replicated settings in place of its own.
    pub fn overlay_file(&self, file: Value) -> Value {
        self.applied.overlay_file(file)
    }

    /// Uses other keys from now on.
    pub fn set_keys(&self, config: &ReplicationConfig) {
        self.core.borrow_mut().set_codec(config.codec.clone());
    }

    /// Whether this node may take clients: not in its first lease before it has heard which version is active, nor, if the cluster's
    /// file says so, while it is cut off.
    pub fn is_ready(&self) -> bool {
        let (core, now) = (self.core.borrow(), self.now());
        let refuses = self.config.when_isolated == IsolationPolicy::StopAdmitting;
        let lease = self.config.settings.lease;
        match core.lease_state(now) {
            LeaseState::Valid => true,
            LeaseState::Unknown => now >= lease && !refuses,
            LeaseState::Superseded => {
                let follows_a_version = self.applied.version() > 0 || core.committed_version() == 0;
                follows_a_version || now >= lease.scale(MAX_SUPERSEDED_LEASES)
            }
            LeaseState::Expired => !refuses,
        }
    }
}

fn log_store_unavailable(path: &Path, error: &StoreError) {
    let path = path.display();
    match error {
        StoreError::Locked => {
            debug!(%path, "voter store held by another process; taking part without a vote")
        }
        _ => warn!(%path, %error, "voter store unavailable; taking part without a vote"),
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
        let node = node.upgrade().ok_or_else(|| InvalidDocument("the node ends".to_owned()))?;
        ConfigDocument::parse(document)
            .and_then(|document| document.validate(&node.config()))
            .map_err(|error| InvalidDocument(error.to_string()))
    };
    let settings = ReplicationSettings { local_voter, ..config.settings.clone() };
    // Another seed at each start: what an earlier process was told must not count for this one.
    ReplicatedConfig::new(settings, config.codec.clone(), stored, Box::new(validate), random_seed(), now)
}
