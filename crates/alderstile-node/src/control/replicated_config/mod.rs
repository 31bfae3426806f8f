//! Agreed settings at this node: the socket, the clock, the disk and the log of a core that has none of them, and what the node does
//! when a version counts. `docs/agreed.md` has the design.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use alderstile::types::Micros;
use alderstile_cluster::authentication::MAX_DATAGRAM_BYTES;
use alderstile_cluster::replicated_config::{
    Effect, InvalidDocument, LeaseState, ProposalOutcome, ReplicatedConfig, ReplicationSettings, Role,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use tracing::{debug, error, info, warn};

use crate::config::{ControlConfig, CutOff};
use crate::control::configured_node::ConfiguredNode;
use crate::control::membership::Cluster;
use crate::control::replicated_config::document::Document;
use crate::control::replicated_config::store::{Store, StoreError};

pub mod client;
pub mod document;
pub mod store;

/// The tag of the fact by which a member tells on which port it hears of versions.
const PORT: u8 = b'c';
/// How often the members' view is looked at.
const LOOK: Duration = Duration::from_secs(1);
/// How long receiving pauses after an error: it does not go away by asking at once.
const PAUSE: Duration = Duration::from_millis(5);
/// A voter whose store another process of this node has tries again this often, and takes part without a vote meanwhile.
const TRY_AGAIN: Duration = Duration::from_secs(1);
/// How long a call that proposes waits for its end: an operator's call has two seconds in all.
const PROPOSED: Duration = Duration::from_millis(1_500);

/// What a node says of agreed versions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Shown {
    /// The version in force; 0 before there is one.
    pub in_force: u64,
    /// `unheard`, `counts`, `between` (a later one is agreed, and the lease on this one has run out) or `cut off`.
    pub standing: String,
    /// The latest version that is known to be agreed.
    pub known: u64,
    /// It counts after this, milliseconds.
    pub waits_ms: u64,
    /// When the node's word was the latest, milliseconds ago.
    pub age_ms: Option<u64>,
    /// `leader`, `follower`, `candidate`, `learner`; none at a node that is no voter.
    pub voter: Option<String>,
    /// The voter that leads, as far as a voter knows.
    pub leader: Option<SocketAddr>,
    /// Why this node does not go by the version in force.
    pub refused: Option<String>,
    /// Digest of the document in force.
    pub digest: String,
    /// The document in force.
    pub document: Value,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposed {
    /// It is this version.
    Agreed(u64),
    /// It changes nothing, for this reason.
    Refused(String),
    /// Nothing was heard so far; it may still be agreed on.
    Open,
}

/// This node's part in agreed versions.
pub struct Control {
    config: ControlConfig,
    core: RefCell<ReplicatedConfig>,
    began: Instant,
    node: Weak<dyn ConfiguredNode>,
    store: RefCell<Option<Store>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    poked: Notify,
    /// What this node goes by, and what else it has taken out for versions that wait.
    applied: RefCell<(u64, Document)>,
    out: RefCell<BTreeSet<String>>,
    refused: RefCell<Option<String>>,
    cut_off: Cell<bool>,
    other_voters: Cell<Option<Instant>>,
    nonce: Cell<u64>,
    asked: RefCell<BTreeMap<u64, oneshot::Sender<ProposalOutcome>>>,
}

impl Control {
    /// A node that has heard of nothing.
    pub fn new<N: ConfiguredNode + 'static>(config: &ControlConfig, node: &Rc<N>) -> Self {
        let began = Instant::now();
        let node: Weak<N> = Rc::downgrade(node);
        let node: Weak<dyn ConfiguredNode> = node;
        let core = RefCell::new(core(config, &node, None, None, Micros(0)));
        Control {
            config: config.clone(),
            core,
            began,
            node,
            store: RefCell::default(),
            socket: RefCell::default(),
            poked: Notify::new(),
            applied: RefCell::default(),
            out: RefCell::default(),
            refused: RefCell::default(),
            cut_off: Cell::new(false),
            other_voters: Cell::default(),
            nonce: Cell::new(seed()),
            asked: RefCell::default(),
        }
    }

    fn now(&self) -> Micros {
        Micros(u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Takes part for as long as the node runs.
    pub async fn run(self: Rc<Self>, cluster: Rc<Cluster>) -> Result<(), String> {
        let listen = self.config.listen;
        loop {
            let votes = self.remember()?;
            let bound = self.socket.borrow().as_ref().and_then(|socket| socket.local_addr().ok());
            if bound.is_none() || (votes && bound != Some(listen)) {
                self.socket.replace(None);
                let socket = match UdpSocket::bind(listen).await {
                    // The process before this one of the same node has it: others are told of another one.
                    Err(_) if !votes => UdpSocket::bind((listen.ip(), 0)).await,
                    bound => bound,
                };
                let socket = socket.map_err(|error| format!("control.listen {listen}: {error}"))?;
                self.socket.replace(Some(Rc::new(socket)));
            }
            let Some(socket) = self.socket.borrow().clone() else { continue };
            let port = socket.local_addr().map_or(listen.port(), |address| address.port());
            cluster.set_metadata(PORT, &port.to_le_bytes());
            if bound.is_none() || votes {
                info!(
                    "agreed: hears of versions at {}:{port}{}",
                    listen.ip(),
                    if votes { " as a voter" } else { "" }
                );
            }
            let until = (self.config.settings.me.is_some() && !votes).then(|| Instant::now() + TRY_AGAIN);
            self.serve(&socket, port, &cluster, until).await;
        }
    }

    /// Opens a voter's store; whether this process has it and so may vote once it knows what the voter said before.
    fn remember(&self) -> Result<bool, String> {
        let (Some(me), Some(dir), Some(node)) =
            (self.config.settings.me, &self.config.state_dir, self.node.upgrade())
        else {
            return Ok(false);
        };
        let path = Store::path(dir, &node.config().name);
        let (store, found) = match Store::open(&path, self.config.settings.voters_digest()) {
            Ok(opened) => opened,
            Err(StoreError::Taken) => {
                debug!("agreed: another process of this voter has its store; without a vote until that ends");
                return Ok(false);
            }
            Err(other @ StoreError::OtherVoters(_)) => return Err(other.to_string()),
            Err(StoreError::Disk(path, why)) => {
                warn!("agreed: {path}: {why}; without a vote");
                return Ok(false);
            }
        };
        match &found {
            Some((memory, _)) => {
                info!(
                    "agreed: voter {me} remembers term {}, version {}",
                    memory.term, memory.entry.position.version
                );
            }
            None => {
                warn!("agreed: voter {me} has no memory: it doesn't vote until each of the others has told")
            }
        }
        self.store.replace(Some(store));
        self.core.replace(core(&self.config, &self.node, Some(me), found, self.now()));
        Ok(true)
    }

    async fn serve(&self, socket: &UdpSocket, port: u16, cluster: &Cluster, until: Option<Instant>) {
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        let mut look = self.began;
        loop {
            let now = Instant::now();
            if until.is_some_and(|until| until <= now) {
                return;
            }
            if look <= now {
                look = now + LOOK;
                self.look(cluster, port);
            }
            let due = self.began + Duration::from_micros(self.core.borrow().next_timeout().0);
            let due = until.map_or(due.min(look), |until| due.min(look).min(until));
            tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) => {
                        let out = self.core.borrow_mut().handle_datagram(self.now(), from, &data[..length]);
                        self.act(out);
                    }
                    // One that is down refused what was sent to it; should errors go on, they must not take the core.
                    Err(error) => {
                        debug!("agreed: {error}");
                        tokio::time::sleep(PAUSE).await;
                    }
                },
                () = tokio::time::sleep_until(due.into()) => {
                    let out = self.core.borrow_mut().tick(self.now());
                    self.act(out);
                }
                () = self.poked.notified() => {}
            }
            self.tell_standing();
        }
    }

    /// Brings the order of the members up to date: the same at all that see the same members.
    fn look(&self, cluster: &Cluster, port: u16) {
        let voters = &self.config.settings.voters;
        let others = cluster.living(|record| {
            let port =
                record.metadata_value(PORT).and_then(|port| port.try_into().ok()).map(u16::from_le_bytes)?;
            let address = SocketAddr::new(record.address.ip(), port);
            (!voters.contains(&address)).then(|| (alderstile_cluster::hashed(&record.name), address))
        });
        let mut others: Vec<(u64, SocketAddr)> = others.into_iter().flatten().collect();
        let votes = self.core.borrow().role().is_some();
        let (name, address) = cluster.me();
        let me = SocketAddr::new(address.ip(), port);
        if !votes && !voters.contains(&me) {
            others.push((alderstile_cluster::hashed(&name), me));
        }
        others.sort_unstable();
        let place = others.iter().position(|(_, address)| !votes && *address == me);
        self.core.borrow_mut().set_members(others.into_iter().map(|(_, address)| address).collect(), place);
    }

    fn act(&self, out: Vec<Effect>) {
        for out in out {
            match out {
                Effect::PersistHardState(memory, document) => {
                    let store = self.store.borrow();
                    let Some(store) = store.as_ref() else { continue };
                    if let Err(error) = store.save(&memory, &document) {
                        error!(
                            "agreed: {error}; this voter votes no more until it can, and each of the others has told"
                        );
                        self.core.borrow_mut().handle_persist_failure(self.now());
                        return;
                    }
                }
                Effect::Send(to, bytes) => {
                    if let Some(socket) = self.socket.borrow().as_ref()
                        && let Err(error) = socket.try_send_to(&bytes, to)
                    {
                        debug!("agreed: datagram to {to} lost: {error}");
                    }
                }
                Effect::VersionCommitted(version, document) => self.waits(version, &document),
                Effect::VersionActive(version, document) => self.take_up(version, &document),
                Effect::ProposalFinished(nonce, outcome) => {
                    if let Some(asked) = self.asked.borrow_mut().remove(&nonce) {
                        // The caller may have gone.
                        let _ = asked.send(outcome);
                    }
                }
                Effect::RoleChanged(role) => info!("agreed: this voter is {}", shown(role)),
                Effect::VoterListMismatch(voter) => {
                    let now = Instant::now();
                    if self.other_voters.get().is_none_or(|last| now - last > Duration::from_secs(60)) {
                        self.other_voters.set(Some(now));
                        warn!(
                            "agreed: voter {voter} goes by another list of voters: not heard; mend the file"
                        );
                    }
                }
            }
        }
    }

    // ---- what the node does ----

    /// A version was agreed and doesn't count yet: the stricter of both counts at once.
    fn waits(&self, version: u64, document: &[u8]) {
        let Some(node) = self.node.upgrade().filter(|_| version > self.applied.borrow().0) else { return };
        let Ok(document) = Document::parse(document) else { return };
        info!(
            "agreed: version {version} is agreed and counts in {:.1} s",
            self.core.borrow().committed().1.as_secs_f64()
        );
        self.take_out(&*node, &document.hosts_out);
        if let Ok(Some(config)) = document.waiting(&node.config()) {
            node.apply_config(config);
        }
    }

    /// A version counts: it is taken whole or turned down whole, by the same code as a file at SIGHUP.
    fn take_up(&self, version: u64, document: &[u8]) {
        let Some(node) = self.node.upgrade().filter(|_| version > self.applied.borrow().0) else { return };
        let taken = Document::parse(document).and_then(|document| {
            let config = document.config(&node.config())?;
            Ok((document, config))
        });
        match taken {
            Ok((document, config)) => {
                info!("agreed: version {version} counts");
                node.apply_config(config);
                node.count_reconfiguration(true);
                self.take_out(&*node, &document.hosts_out);
                self.put_back(&*node, &document.hosts_out);
                self.refused.replace(None);
                self.applied.replace((version, document));
            }
            Err(why) => {
                error!("agreed: version {version} is turned down: {why}; the one held goes on");
                node.count_reconfiguration(false);
                self.refused.replace(Some(why.to_string()));
            }
        }
    }

    fn take_out(&self, node: &dyn ConfiguredNode, hosts: &BTreeSet<String>) {
        for host in hosts {
            if self.out.borrow_mut().insert(host.clone()) {
                info!("agreed: host {host} is out");
                node.take_host_out(host);
            }
        }
    }

    /// Puts back what is out no more, but for what is out by hand at this node.
    fn put_back(&self, node: &dyn ConfiguredNode, out: &BTreeSet<String>) {
        let back: Vec<String> = self.out.borrow().difference(out).cloned().collect();
        for host in back {
            self.out.borrow_mut().remove(&host);
            info!("agreed: host {host} is back");
            node.put_host_back(&host);
        }
    }

    /// A file at SIGHUP as it counts: with the agreed settings in place of its own.
    pub fn over(&self, file: Value) -> Value {
        let applied = self.applied.borrow();
        if applied.0 == 0 {
            return file;
        }
        let over = applied.1.over(&file);
        if over != file {
            warn!(
                "reload: the file's settings are others than those of version {}, which count: `alderstile settings propose` \
                 changes them at all nodes",
                applied.0
            );
        }
        over
    }

    /// Other keys count from now on.
    pub fn renew_keys(&self, config: &ControlConfig) {
        self.core.borrow_mut().set_codec(config.codec.clone());
    }

    /// Tells when this node is cut off, and when it is not any more.
    fn tell_standing(&self) {
        let cut_off = self.core.borrow().lease_state(self.now()) == LeaseState::Expired;
        if self.cut_off.replace(cut_off) != cut_off {
            let version = self.applied.borrow().0;
            if cut_off {
                warn!(
                    "agreed: cut off: nothing was heard of versions for the lease's time; goes on by version {version}"
                );
            } else {
                info!("agreed: not cut off any more");
            }
        }
    }

    /// Whether this node may take clients: not before it has heard which version counts, for a lease's time, nor, where the cluster's
    /// file says so, while it is cut off.
    pub fn ready(&self) -> bool {
        let (core, now) = (self.core.borrow(), self.now());
        let refuses = self.config.cut_off == CutOff::Refuse;
        match core.lease_state(now) {
            LeaseState::Valid => true,
            LeaseState::NeverHeard => now >= self.config.settings.lease && !refuses,
            LeaseState::Superseded => {
                self.applied.borrow().0 > 0
                    || core.committed().0 == 0
                    || now >= self.config.settings.lease.scale(3.0)
            }
            LeaseState::Expired => !refuses,
        }
    }

    // ---- operators ----

    /// What this node says.
    pub fn show(&self) -> Shown {
        let (core, now) = (self.core.borrow(), self.now());
        let (in_force, document) = core.active();
        let (known, waits) = core.committed();
        let standing = match core.lease_state(now) {
            LeaseState::NeverHeard => "unheard",
            LeaseState::Valid => "counts",
            LeaseState::Superseded => "between",
            LeaseState::Expired => "cut off",
        };
        Shown {
            in_force,
            standing: standing.to_owned(),
            known,
            waits_ms: waits.0 / 1_000,
            age_ms: core.news_age(now).map(|age| age.0 / 1_000),
            voter: core.role().map(|role| shown(role).to_owned()),
            leader: core
                .leader()
                .and_then(|leader| self.config.settings.voters.get(usize::from(leader)).copied()),
            refused: self.refused.borrow().clone(),
            digest: format!("{:016x}", alderstile_cluster::digest(document)),
            document: serde_json::from_slice(document).unwrap_or_default(),
        }
    }

    /// The figures for operators, as text.
    pub fn figures(&self) -> String {
        let (core, now) = (self.core.borrow(), self.now());
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "router.agreed_{name}:{value}|{kind}");
        };
        line("version", core.active().0, 'g');
        line("known", core.committed().0, 'g');
        line("cut_off", u64::from(core.lease_state(now) == LeaseState::Expired), 'g');
        line("refused", u64::from(self.refused.borrow().is_some()), 'g');
        line("age_ms", core.news_age(now).map_or(0, |age| age.0 / 1_000), 'g');
        line("told", core.subscriber_count() as u64, 'g');
        let figures = core.traffic();
        line("sent", figures.sent, 'c');
        line("sent_bytes", figures.sent_bytes, 'c');
        line("taken", figures.received, 'c');
        line("taken_bytes", figures.received_bytes, 'c');
        line("foreign", figures.foreign, 'c');
        line("damaged", figures.malformed, 'c');
        line("newer", figures.newer_format, 'c');
        line("contrary", figures.conflicting, 'c');
        text
    }

    /// Proposes a document as the version after `expect`, and waits for its end as long as an operator's call may.
    pub async fn propose(&self, expect: u64, document: &[u8]) -> Proposed {
        // Written one way, so that the same document is the same bytes.
        let document = match Document::parse(document).and_then(|document| Ok(serde_json::to_vec(&document)?))
        {
            Ok(document) => document,
            Err(error) => return Proposed::Refused(error.to_string()),
        };
        let nonce = self.nonce.get();
        self.nonce.set(nonce.wrapping_add(1));
        let (asked, told) = oneshot::channel();
        self.asked.borrow_mut().insert(nonce, asked);
        let out = self.core.borrow_mut().propose(self.now(), nonce, expect, document);
        self.act(out);
        self.poked.notify_one();
        let told = timeout(PROPOSED, told).await;
        self.asked.borrow_mut().remove(&nonce);
        match told {
            Ok(Ok(ProposalOutcome::Committed(version))) => Proposed::Agreed(version),
            Ok(Ok(ProposalOutcome::Rejected(why))) => Proposed::Refused(why),
            _ => {
                self.core.borrow_mut().abandon_proposal(nonce);
                Proposed::Open
            }
        }
    }
}

fn seed() -> u64 {
    std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), 0)
}

fn core(
    config: &ControlConfig,
    node: &Weak<dyn ConfiguredNode>,
    me: Option<u8>,
    found: crate::control::replicated_config::store::Found,
    now: Micros,
) -> ReplicatedConfig {
    let node = node.clone();
    let check = move |document: &[u8]| {
        let node = node.upgrade().ok_or_else(|| InvalidDocument("the node ends".to_owned()))?;
        let document = Document::parse(document).map_err(|error| InvalidDocument(error.to_string()))?;
        document.check(&node.config()).map_err(|error| InvalidDocument(error.to_string()))
    };
    let set = ReplicationSettings { me, ..config.settings.clone() };
    // Never the same at two starts: what an earlier process was told must not count for this one.
    ReplicatedConfig::new(set, config.codec.clone(), found, Box::new(check), seed(), now)
}

fn shown(role: Role) -> &'static str {
    match role {
        Role::Learner => "learner",
        Role::Follower => "follower",
        Role::PreCandidate | Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}
