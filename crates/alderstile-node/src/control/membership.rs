//! This node among the members of its cluster: the socket, the clock and the log of a core that has none of them.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use alderstile::types::Micros;
use alderstile_cluster::authentication::MAX_DATAGRAM_BYTES;
use alderstile_cluster::membership::{
    InstanceId, MemberRecord, MemberState, Membership, MembershipChange, MembershipEffect, MembershipStats,
};
use serde::Serialize;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use crate::config::{ClusterConfig, Config};
use crate::lifecycle::upgrade_state::MemberIdentity;

/// Where another process has the address, it is tried again this often.
const TRY_AGAIN: Duration = Duration::from_millis(20);
/// How long receiving pauses after an error: it does not go away by asking at once.
const PAUSE: Duration = Duration::from_millis(5);
/// Telling the others that this member leaves takes one turn of the runtime.
const LEAVE: Duration = Duration::from_millis(100);
/// A process that takes over goes on with words and numbers this far above those of the process before, which goes on
/// saying some meanwhile.
const AHEAD: u64 = 1 << 32;
/// Addresses of members that a process that takes over is told.
const TOLD: usize = 64;

/// A member as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct Shown {
    /// Its name.
    pub name: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its zone.
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its process.
    pub session: String,
    /// Its last word about itself.
    pub incarnation: u64,
    /// Of the settings that it goes by.
    pub settings: String,
    /// For how long it has been seen so, milliseconds.
    pub for_ms: u64,
    /// It is this member.
    pub me: bool,
}

/// All members as operators see them.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// The cluster's name.
    pub cluster: String,
    /// How far this member trusts itself: 0 wholly.
    pub health: u32,
    /// Names that two living processes claim.
    pub claimed: Vec<String>,
    /// All members that are remembered, by name.
    pub members: Vec<Shown>,
}

/// This node as a member.
pub struct Cluster {
    name: String,
    listen: SocketAddr,
    members: RefCell<Membership>,
    began: Instant,
    let_go: Notify,
    leaving: Notify,
    left: Notify,
}

impl Cluster {
    /// A member that knows its seeds at most, or goes on in place of the process before.
    pub fn new(
        config: &Config,
        cluster: &ClusterConfig,
        before: Option<&MemberIdentity>,
    ) -> Result<Self, String> {
        let zone = config.zones.get(usize::from(config.settings.zone)).cloned().unwrap_or_default();
        let mut seeds = cluster.seeds.clone();
        let mut session =
            std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), config.seed).max(1);
        let (mut incarnation, mut counter) = (1, 0);
        if let Some(before) = before {
            session = before.session;
            (incarnation, counter) =
                (before.incarnation.saturating_add(AHEAD), before.counter.saturating_add(AHEAD));
            seeds.extend(&before.known);
        }
        let me = MemberRecord {
            instance: InstanceId(session),
            incarnation,
            name: config.name.as_str().into(),
            zone: zone.into(),
            address: cluster.advertise,
            config_digest: digest(config),
            metadata: [].into(),
        };
        me.validate().map_err(|unfit| unfit.to_string())?;
        // Two processes of one member draw differently.
        let seed = config.seed ^ session ^ counter;
        let members = Membership::new(cluster.settings, cluster.codec.clone(), me, seeds, seed, Micros(0));
        let members = RefCell::new(members.resuming_after(counter));
        let (name, listen, began) = (cluster.name.clone(), cluster.listen, Instant::now());
        Ok(Cluster {
            name,
            listen,
            members,
            began,
            let_go: Notify::new(),
            leaving: Notify::new(),
            left: Notify::new(),
        })
    }

    fn now(&self) -> Micros {
        Micros(u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Opens the socket. Where the process before still has it, `waits` tells whether it is waited for.
    pub async fn bind(&self, waits: impl Fn() -> bool) -> io::Result<UdpSocket> {
        loop {
            match UdpSocket::bind(self.listen).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && waits() => {
                    tokio::time::sleep(TRY_AGAIN).await;
                }
                done => return done,
            }
        }
    }

    /// Takes part until it lets go.
    pub async fn run(self: Rc<Self>, socket: UdpSocket) {
        info!("members: {} listens at {}", self.name, self.listen);
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.began + Duration::from_micros(self.members.borrow().next_timeout().0);
            tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) => {
                        let out = self.members.borrow_mut().handle_datagram(self.now(), from, &data[..length]);
                        self.act(&socket, out);
                    }
                    // A member that is down refused what was sent to it; should errors go on, they must not take the core.
                    Err(error) => {
                        debug!("members: {error}");
                        tokio::time::sleep(PAUSE).await;
                    }
                },
                () = tokio::time::sleep_until(due.into()) => {
                    let out = self.members.borrow_mut().handle_timeout(self.now());
                    self.act(&socket, out);
                }
                () = self.leaving.notified() => {
                    let out = self.members.borrow_mut().leave(self.now());
                    self.act(&socket, out);
                    self.left.notify_one();
                }
                () = self.let_go.notified() => return,
            }
        }
    }

    fn act(&self, socket: &UdpSocket, out: Vec<MembershipEffect>) {
        for out in out {
            match out {
                // Lost where the system has no room for it, as on the way.
                MembershipEffect::Send { to, datagram } => {
                    if let Err(error) = socket.try_send_to(&datagram, to) {
                        debug!("members: datagram to {to} lost: {error}");
                    }
                }
                MembershipEffect::Changed(change) => self.tell(&change),
            }
        }
    }

    fn tell(&self, change: &MembershipChange) {
        let members = self.members.borrow();
        let named = |session: &InstanceId| {
            let member = members.peer(*session);
            member.map_or_else(
                || session.to_string(),
                |member| format!("{} ({})", member.record.name, member.record.address),
            )
        };
        match change {
            MembershipChange::Joined(session) => info!("members: {} joined", named(session)),
            MembershipChange::Suspected(session) => info!("members: {} does not answer", named(session)),
            MembershipChange::Recovered(session) => info!("members: {} lives", named(session)),
            MembershipChange::Died(session) => warn!("members: {} is held dead", named(session)),
            MembershipChange::Left(session) => info!("members: {} has left", named(session)),
            MembershipChange::Replaced(session) => {
                info!("members: another process is in place of {}", named(session))
            }
            MembershipChange::NameConflict(name) => {
                let living = members.peers().filter(|m| m.record.name == *name && m.state.is_live());
                let at: Vec<String> = living.map(|member| member.record.address.to_string()).collect();
                warn!("members: two processes claim the name {name}, at {}", at.join(" and "));
            }
            MembershipChange::NameConflictResolved(name) => {
                info!("members: the name {name} is claimed by one process")
            }
            MembershipChange::Refuted => {
                info!("members: others held this one dead or silent; told that it lives")
            }
            MembershipChange::Stalled(span) => {
                warn!("members: this process stood still for {:.1} s", span.as_secs_f64())
            }
        }
    }

    /// Other settings count from now on.
    pub fn renew(&self, config: &Config) {
        self.members.borrow_mut().set_digest(digest(config));
    }

    /// Other keys count from now on.
    pub fn renew_keys(&self, cluster: &ClusterConfig) {
        self.members.borrow_mut().set_codec(cluster.codec.clone());
    }

    /// Sets a fact of this member.
    pub fn set_metadata(&self, tag: u8, bytes: &[u8]) {
        if let Err(error) = self.members.borrow_mut().set_metadata(tag, bytes) {
            warn!("members: {error}");
        }
    }

    /// The other members that live or may live.
    pub fn living<T>(&self, each: impl Fn(&MemberRecord) -> T) -> Vec<T> {
        let members = self.members.borrow();
        members.peers().filter(|member| member.state.is_live()).map(|member| each(&member.record)).collect()
    }

    /// This member's name, and where others reach it.
    pub fn me(&self) -> (String, SocketAddr) {
        let members = self.members.borrow();
        (members.local().name.to_string(), members.local().address)
    }

    /// Lets go of the socket: the other process of this node goes on as the same member.
    pub fn let_go(&self) {
        self.let_go.notify_one();
    }

    /// Tells others that this member goes.
    pub async fn leave(&self) {
        self.leaving.notify_one();
        // Where it never had its socket nobody is told.
        if timeout(LEAVE, self.left.notified()).await.is_err() {
            debug!("members: nobody was told that this one leaves");
        }
    }

    /// What the process that takes over is to know.
    pub fn word(&self) -> MemberIdentity {
        let members = self.members.borrow();
        let living = members.peers().filter(|member| member.state == MemberState::Alive);
        MemberIdentity {
            session: members.local().instance.0,
            incarnation: members.local().incarnation,
            counter: members.last_sequence(),
            known: living.map(|member| member.record.address).take(TOLD).collect(),
        }
    }

    /// Members by state, and what was sent and came.
    pub fn stats(&self) -> MembershipStats {
        self.members.borrow().stats()
    }

    /// All members, as operators see them.
    pub fn view(&self) -> View {
        let members = self.members.borrow();
        let now = self.now();
        let shown = |record: &MemberRecord, state: MemberState, since: Micros, me| Shown {
            name: record.name.to_string(),
            state: state.to_string(),
            zone: record.zone.to_string(),
            address: record.address,
            session: record.instance.to_string(),
            incarnation: record.incarnation,
            settings: format!("{:016x}", record.config_digest),
            for_ms: (now - since).0 / 1_000,
            me,
        };
        let others = members.peers().map(|member| shown(&member.record, member.state, member.since, false));
        let mut all: Vec<Shown> =
            others.chain([shown(members.local(), MemberState::Alive, Micros(0), true)]).collect();
        all.sort_by(|a, b| (&a.name, &a.state, &a.session).cmp(&(&b.name, &b.state, &b.session)));
        View {
            cluster: self.name.clone(),
            health: members.local_health(),
            claimed: members.name_conflicts().iter().map(|name| name.to_string()).collect(),
            members: all,
        }
    }
}

/// Of the settings that all nodes have alike.
fn digest(config: &Config) -> u64 {
    let mut settings = config.told.get("settings").cloned().unwrap_or_default();
    if let Some(fields) = settings.as_object_mut() {
        // What differs by node.
        for own in ["my_zone", "index"] {
            fields.remove(own);
        }
    }
    alderstile_cluster::digest(Value::to_string(&settings).as_bytes())
}
