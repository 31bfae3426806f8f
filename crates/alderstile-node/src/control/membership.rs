//! This node's membership in its cluster: the socket, the clock and the log of the core, which has none of them.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use alderstile::types::Micros;
use alderstile_cluster::authentication::MAX_DATAGRAM_BYTES;
use alderstile_cluster::membership::{
    InstanceId, MemberRecord, MemberState, Membership, MembershipChange, MembershipEffect, MembershipStats,
    RecordError,
};
use serde::Serialize;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use crate::config::{ClusterConfig, Config};
use crate::lifecycle::upgrade_state::MemberIdentity;

/// While the other process of this node has the address, binding is retried this often.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Pause after a failed receive: should errors go on, they must not take the whole core.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Sending that this member leaves takes one turn of the runtime.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);
/// A process that takes over starts its incarnation and sequence numbers this far above those of its predecessor, which
/// goes on using some meanwhile.
const TAKEOVER_GAP: u64 = 1 << 32;
/// The most addresses of other members that are handed over to a successor.
const MAX_HANDED_OVER_PEERS: usize = 64;

/// Keys of the settings that differ by node.
const SETTINGS_OF_ONE_NODE: [&str; 2] = ["my_zone", "index"];

/// The status of one member. The names of the JSON are the operators' words.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its node's name.
    pub name: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its zone.
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its instance: another one after each restart.
    #[serde(rename = "session")]
    pub instance: String,
    /// Its latest incarnation.
    pub incarnation: u64,
    /// Digest of the settings that it goes by.
    #[serde(rename = "settings")]
    pub config_digest: String,
    /// For how long it has had its state, milliseconds.
    #[serde(rename = "for_ms")]
    pub state_age_ms: u64,
    /// It is this member.
    #[serde(rename = "me")]
    pub is_local: bool,
}

/// The status of all members of the cluster, as this one sees them.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipStatus {
    /// The cluster's name.
    pub cluster: String,
    /// Lifeguard's local health multiplier: 0 is best.
    #[serde(rename = "health")]
    pub local_health: u32,
    /// Names that two live processes claim.
    #[serde(rename = "claimed")]
    pub name_conflicts: Vec<String>,
    /// All members that are remembered, by name.
    pub members: Vec<MemberStatus>,
}

/// This node as a member of a cluster.
pub struct ClusterMembership {
    cluster_name: String,
    listen: SocketAddr,
    members: RefCell<Membership>,
    started_at: Instant,
    release_socket: Notify,
    leave: Notify,
    left: Notify,
}

impl ClusterMembership {
    /// A member that knows its seeds at most, or that goes on in place of its predecessor.
    ///
    /// # Errors
    ///
    /// This node's name or zone does not fit into a member's record.
    pub fn new(
        config: &Config,
        cluster: &ClusterConfig,
        predecessor: Option<&MemberIdentity>,
    ) -> Result<Self, RecordError> {
        let mut seeds = cluster.seeds.clone();
        let mut instance = new_instance(config.seed);
        let (mut incarnation, mut sequence) = (1, 0);
        if let Some(predecessor) = predecessor {
            instance = predecessor.session;
            incarnation = predecessor.incarnation.saturating_add(TAKEOVER_GAP);
            sequence = predecessor.counter.saturating_add(TAKEOVER_GAP);
            seeds.extend(&predecessor.alive_members);
        }
        let local = local_record(config, cluster, instance, incarnation);
        local.validate()?;
        // Two processes of one member draw differently.
        let seed = config.seed ^ instance ^ sequence;
        let members = Membership::new(cluster.settings, cluster.codec.clone(), local, seeds, seed, Micros(0));
        Ok(ClusterMembership {
            cluster_name: cluster.name.clone(),
            listen: cluster.listen,
            members: RefCell::new(members.resuming_after(sequence)),
            started_at: Instant::now(),
            release_socket: Notify::new(),
            leave: Notify::new(),
            left: Notify::new(),
        })
    }

    fn now(&self) -> Micros {
        Micros(u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Binds the socket. While another process has the address, it is retried for as long as `retry` says so.
    ///
    /// # Errors
    ///
    /// The socket can't be bound.
    pub async fn bind(&self, retry: impl Fn() -> bool) -> io::Result<UdpSocket> {
        loop {
            match UdpSocket::bind(self.listen).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && retry() => {
                    tokio::time::sleep(BIND_RETRY_DELAY).await;
                }
                done => return done,
            }
        }
    }

    /// Takes part until the socket is released.
    pub async fn run(self: Rc<Self>, socket: UdpSocket) {
        info!(cluster = %self.cluster_name, listen = %self.listen, "membership started");
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.started_at + Duration::from_micros(self.members.borrow().next_timeout().0);
            tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) => {
                        let effects = self.members.borrow_mut().handle_datagram(self.now(), from, &data[..length]);
                        self.apply(&socket, effects);
                    }
                    // A member that is down refused what was sent to it; should errors go on, they must not take the core.
                    Err(error) => {
                        debug!(%error, "membership receive failed");
                        tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    }
                },
                () = tokio::time::sleep_until(due.into()) => {
                    let effects = self.members.borrow_mut().handle_timeout(self.now());
                    self.apply(&socket, effects);
                }
                () = self.leave.notified() => {
                    let effects = self.members.borrow_mut().leave(self.now());
                    self.apply(&socket, effects);
                    self.left.notify_one();
                }
                () = self.release_socket.notified() => return,
            }
        }
    }

    fn apply(&self, socket: &UdpSocket, effects: Vec<MembershipEffect>) {
        for effect in effects {
            match effect {
                // Lost where the system has no room for it, as on the way.
                MembershipEffect::Send { to, datagram } => {
                    if let Err(error) = socket.try_send_to(&datagram, to) {
                        debug!(%to, %error, "membership datagram lost");
                    }
                }
                MembershipEffect::Changed(change) => self.log(&change),
            }
        }
    }

    fn log(&self, change: &MembershipChange) {
        match change {
            MembershipChange::Joined(instance) => info!(member = %self.describe(*instance), "member joined"),
            MembershipChange::Suspected(instance) => {
                info!(member = %self.describe(*instance), "member suspected: no answer to probes")
            }
            MembershipChange::Recovered(instance) => {
                info!(member = %self.describe(*instance), "member alive again")
            }
            MembershipChange::Died(instance) => warn!(member = %self.describe(*instance), "member dead"),
            MembershipChange::Left(instance) => info!(member = %self.describe(*instance), "member left"),
            MembershipChange::Replaced(instance) => {
                info!(member = %self.describe(*instance), "member replaced by another process")
            }
            MembershipChange::NameConflict(name) => {
                let addresses = self.live_addresses_of(name).join(",");
                warn!(%name, %addresses, "member name claimed by two processes")
            }
            MembershipChange::NameConflictResolved(name) => info!(%name, "member name conflict resolved"),
            MembershipChange::Refuted => info!("suspicion of this member refuted"),
            MembershipChange::Stalled(span) => {
                warn!(stalled_s = %format_args!("{:.1}", span.as_secs_f64()), "process stalled")
            }
        }
    }

    /// A member's name and address, or its instance where no more is known.
    fn describe(&self, instance: InstanceId) -> String {
        match self.members.borrow().peer(instance) {
            Some(member) => format!("{} ({})", member.record.name, member.record.address),
            None => instance.to_string(),
        }
    }

    fn live_addresses_of(&self, name: &str) -> Vec<String> {
        let members = self.members.borrow();
        let live = members.peers().filter(|member| *member.record.name == *name && member.state.is_live());
        live.map(|member| member.record.address.to_string()).collect()
    }

    /// Tells the others the digest of another configuration.
    pub fn update_config_digest(&self, config: &Config) {
        self.members.borrow_mut().set_config_digest(settings_digest(config));
    }

    /// Authenticates datagrams by other keys from now on.
    pub fn set_keys(&self, cluster: &ClusterConfig) {
        self.members.borrow_mut().set_codec(cluster.codec.clone());
    }

    /// Sets a piece of this member's metadata, which the others learn by gossip.
    pub fn set_metadata(&self, tag: u8, bytes: &[u8]) {
        if let Err(error) = self.members.borrow_mut().set_metadata(tag, bytes) {
            warn!(tag, %error, "member metadata not set");
        }
    }

    /// A value for each of the other members that is alive or suspected.
    pub fn map_live_peers<T>(&self, each: impl Fn(&MemberRecord) -> T) -> Vec<T> {
        let members = self.members.borrow();
        members.peers().filter(|member| member.state.is_live()).map(|member| each(&member.record)).collect()
    }

    /// This member's name.
    pub fn local_name(&self) -> String {
        self.members.borrow().local().name.to_string()
    }

    /// Where others reach this member.
    pub fn local_address(&self) -> SocketAddr {
        self.members.borrow().local().address
    }

    /// Releases the socket: the other process of this node goes on as the same member.
    pub fn release_socket(&self) {
        self.release_socket.notify_one();
    }

    /// Tells the others that this member leaves, and waits until that is sent.
    pub async fn leave(&self) {
        self.leave.notify_one();
        // A member that never had its socket can tell nobody.
        if timeout(LEAVE_TIMEOUT, self.left.notified()).await.is_err() {
            debug!("leave of this member not sent");
        }
    }

    /// What the process that takes over needs to go on as the same member.
    pub fn handover_state(&self) -> MemberIdentity {
        let members = self.members.borrow();
        let alive = members.peers().filter(|member| member.state == MemberState::Alive);
        MemberIdentity {
            session: members.local().instance.0,
            incarnation: members.local().incarnation,
            counter: members.last_sequence(),
            alive_members: alive.map(|member| member.record.address).take(MAX_HANDED_OVER_PEERS).collect(),
        }
    }

    /// Members by state, and datagrams sent and received.
    pub fn stats(&self) -> MembershipStats {
        self.members.borrow().stats()
    }

    /// The status of all members, sorted by name.
    pub fn status(&self) -> MembershipStatus {
        let members = self.members.borrow();
        let now = self.now();
        let peers =
            members.peers().map(|peer| member_status(&peer.record, peer.state, now - peer.state_since));
        let mut all: Vec<MemberStatus> = peers.collect();
        let local = member_status(members.local(), MemberState::Alive, now);
        all.push(MemberStatus { is_local: true, ..local });
        all.sort_by(|a, b| (&a.name, &a.state, &a.instance).cmp(&(&b.name, &b.state, &b.instance)));
        MembershipStatus {
            cluster: self.cluster_name.clone(),
            local_health: members.local_health(),
            name_conflicts: members.name_conflicts().iter().map(|name| name.to_string()).collect(),
            members: all,
        }
    }
}

fn member_status(record: &MemberRecord, state: MemberState, state_age: Micros) -> MemberStatus {
    MemberStatus {
        name: record.name.to_string(),
        state: state.to_string(),
        zone: record.zone.to_string(),
        address: record.address,
        instance: record.instance.to_string(),
        incarnation: record.incarnation,
        config_digest: format!("{:016x}", record.config_digest),
        state_age_ms: state_age.0 / 1_000,
        is_local: false,
    }
}

/// A number for a new instance, never 0.
fn new_instance(seed: u64) -> u64 {
    std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), seed).max(1)
}

fn local_record(config: &Config, cluster: &ClusterConfig, instance: u64, incarnation: u64) -> MemberRecord {
    let zone = config.zones.get(usize::from(config.settings.zone)).cloned().unwrap_or_default();
    MemberRecord {
        instance: InstanceId(instance),
        incarnation,
        name: config.name.as_str().into(),
        zone: zone.into(),
        address: cluster.advertise,
        config_digest: settings_digest(config),
        metadata: [].into(),
    }
}

/// Digest of the settings that all nodes have alike.
fn settings_digest(config: &Config) -> u64 {
    let mut settings = config.source.get("settings").cloned().unwrap_or_default();
    if let Some(fields) = settings.as_object_mut() {
        for own in SETTINGS_OF_ONE_NODE {
            fields.remove(own);
        }
    }
    alderstile_cluster::content_digest(Value::to_string(&settings).as_bytes())
}
