//! This node's membership in its cluster: provides the socket, the clock and the log to the membership core,
//! which does no I/O.

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

/// Interval of bind attempts while this node's other process has the address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Pause after a failed receive, so that persistent errors do not occupy the processor.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Time limit for sending this member's leave message, which takes one turn of the runtime.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Amount by which a successor's incarnation and sequence numbers start above those of its predecessor, which
/// continues to use some in the meantime.
const TAKEOVER_GAP: u64 = 1 << 32;
/// Maximum number of other members' addresses that are handed over to a successor.
const MAX_HANDED_OVER_PEERS: usize = 64;

/// Keys of the settings that differ between nodes.
const NODE_SPECIFIC_SETTINGS: [&str; 2] = ["my_zone", "index"];

/// Status of one member. The JSON keys are those of the admin interface.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Name of its node.
    pub name: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Name of its zone.
    pub zone: String,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Identifier of its instance, which changes at each restart.
    #[serde(rename = "session")]
    pub instance: String,
    /// Its latest incarnation.
    pub incarnation: u64,
    /// Digest of its settings.
    #[serde(rename = "settings")]
    pub config_digest: String,
    /// Time since it entered its state, milliseconds.
    #[serde(rename = "for_ms")]
    pub state_age_ms: u64,
    /// Whether it is this member.
    #[serde(rename = "me")]
    pub is_local: bool,
}

/// Status of all members of the cluster, as seen by this one.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipStatus {
    /// Name of the cluster.
    pub cluster: String,
    /// Lifeguard's local health multiplier; 0 is best.
    #[serde(rename = "health")]
    pub local_health: u32,
    /// Names claimed by two live processes.
    #[serde(rename = "claimed")]
    pub name_conflicts: Vec<String>,
    /// All known members, sorted by name.
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
    /// Creates a member that knows only its seeds, or one that continues its predecessor's membership.
    ///
    /// # Errors
    ///
    /// Returns an error if this node's name or zone does not fit into a member record.
    pub fn new(
        config: &Config,
        cluster: &ClusterConfig,
        predecessor: Option<&MemberIdentity>,
    ) -> Result<Self, RecordError> {
        let mut seeds = cluster.seeds.clone();
        let mut instance = new_instance(config.seed);
        let (mut incarnation, mut sequence) = (1, 0);
        if let Some(predecessor) = predecessor {
            instance = predecessor.instance;
            incarnation = predecessor.incarnation.saturating_add(TAKEOVER_GAP);
            sequence = predecessor.counter.saturating_add(TAKEOVER_GAP);
            seeds.extend(&predecessor.alive_members);
        }
        let local = local_record(config, cluster, instance, incarnation);
        local.validate()?;
        // Two processes of one member use different random sequences.
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

    /// Binds the socket. While another process has the address, binding is retried for as long as `retry`
    /// returns true.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound.
    pub async fn bind(&self, retry: impl Fn() -> bool) -> io::Result<UdpSocket> {
        loop {
            match UdpSocket::bind(self.listen).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && retry() => {
                    tokio::time::sleep(BIND_RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    /// Runs the membership until the socket is released.
    pub async fn run(self: Rc<Self>, socket: UdpSocket) {
        info!(cluster = %self.cluster_name, listen = %self.listen, "membership started");
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let timeout_at = self.started_at + Duration::from_micros(self.members.borrow().next_timeout().0);
            tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) => {
                        let effects = self.members.borrow_mut().handle_datagram(self.now(), from, &data[..length]);
                        self.apply(&socket, effects);
                    }
                    // Reported after a member that is down refused a datagram. Persistent errors must not
                    // occupy the processor.
                    Err(error) => {
                        debug!(%error, "membership receive failed");
                        tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    }
                },
                () = tokio::time::sleep_until(timeout_at.into()) => {
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
                // A datagram that does not fit into the send buffer is dropped, as the network may drop any.
                MembershipEffect::Send { to, datagram } => {
                    if let Err(error) = socket.try_send_to(&datagram, to) {
                        debug!(%to, %error, "membership datagram dropped");
                    }
                }
                MembershipEffect::Changed(change) => self.log_change(&change),
            }
        }
    }

    fn log_change(&self, change: &MembershipChange) {
        match change {
            MembershipChange::Joined(instance) => info!(member = %self.describe(*instance), "member joined"),
            MembershipChange::Suspected(instance) => {
                info!(member = %self.describe(*instance), "member suspected: no reply to probes")
            }
            MembershipChange::Recovered(instance) => {
                info!(member = %self.describe(*instance), "member recovered")
            }
            MembershipChange::Died(instance) => warn!(member = %self.describe(*instance), "member died"),
            MembershipChange::Left(instance) => info!(member = %self.describe(*instance), "member left"),
            MembershipChange::Replaced(instance) => {
                info!(member = %self.describe(*instance), "member replaced by a new instance")
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

    /// Returns a member's name and address, or its instance if nothing else is known.
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

    /// Announces the digest of a changed configuration to the other members.
    pub fn update_config_digest(&self, config: &Config) {
        self.members.borrow_mut().set_config_digest(settings_digest(config));
    }

    /// Replaces the keys that authenticate datagrams.
    pub fn set_keys(&self, cluster: &ClusterConfig) {
        self.members.borrow_mut().set_codec(cluster.codec.clone());
    }

    /// Sets a field of this member's metadata, which the others receive by gossip.
    pub fn set_metadata(&self, tag: u8, bytes: &[u8]) {
        if let Err(error) = self.members.borrow_mut().set_metadata(tag, bytes) {
            warn!(tag, %error, "member metadata not set");
        }
    }

    /// Maps the record of each other member that is alive or suspected.
    pub fn map_live_peers<T>(&self, each: impl Fn(&MemberRecord) -> T) -> Vec<T> {
        let members = self.members.borrow();
        members.peers().filter(|member| member.state.is_live()).map(|member| each(&member.record)).collect()
    }

    /// Returns this member's name.
    pub fn local_name(&self) -> String {
        self.members.borrow().local().name.to_string()
    }

    /// Returns the address at which other members reach this one.
    pub fn local_address(&self) -> SocketAddr {
        self.members.borrow().local().address
    }

    /// Releases the socket, so that this node's other process can continue as the same member.
    pub fn release_socket(&self) {
        self.release_socket.notify_one();
    }

    /// Announces that this member leaves, and waits until the announcement is sent.
    pub async fn leave(&self) {
        self.leave.notify_one();
        // A member that never had its socket cannot send the announcement.
        if timeout(LEAVE_TIMEOUT, self.left.notified()).await.is_err() {
            debug!("leave announcement not sent");
        }
    }

    /// Returns the state that a successor needs to continue as the same member.
    pub fn handover_state(&self) -> MemberIdentity {
        let members = self.members.borrow();
        let alive = members.peers().filter(|member| member.state == MemberState::Alive);
        MemberIdentity {
            instance: members.local().instance.0,
            incarnation: members.local().incarnation,
            counter: members.last_sequence(),
            alive_members: alive.map(|member| member.record.address).take(MAX_HANDED_OVER_PEERS).collect(),
        }
    }

    /// Returns the member counts by state and the datagram counters.
    pub fn stats(&self) -> MembershipStats {
        self.members.borrow().stats()
    }

    /// Returns the status of all members, sorted by name.
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

/// Returns a random identifier for a new instance, never 0.
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

/// Computes the digest of the settings that all nodes share.
fn settings_digest(config: &Config) -> u64 {
    let mut settings = config.source.get("settings").cloned().unwrap_or_default();
    if let Some(fields) = settings.as_object_mut() {
        for key in NODE_SPECIFIC_SETTINGS {
            fields.remove(key);
        }
    }
    alderstile_cluster::content_digest(Value::to_string(&settings).as_bytes())
}
