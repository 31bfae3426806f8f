//! Hollow nodes: the protocol cores of a node on real UDP sockets at loopback addresses, without clients,
//! hosts or a separate process.
//!
//! The term is that of Kubernetes' kubemark, which measures a control plane with nodes that run no workload.
//! Hundreds of hollow nodes share one process and run in one cluster with real `alderstile` processes. Both
//! send the same datagrams under the same keys, so a node cannot tell whether a peer is hollow or real.
//!
//! [`HollowNodes`] distributes the nodes over a few threads. Each node runs [`Membership`], and optionally an
//! [`ExtraCore`] on a separate socket: an implementation of this trait makes it possible to measure another
//! protocol core with any number of nodes.
//!
//! ```text
//! let extra_cores: ExtraCoreFactory = Arc::new(|spec| Some(Box::new(MyCore::new(spec))));
//! let hollows = HollowNodes::new(4, &HollowConfig { extra_cores, ..config })?;
//! hollows.start(spec); // hollows.kill(number) ends a node without a leave message
//! // Counters of each node, processor time of each thread.
//! let samples = hollows.sample_and_reset_peaks().await;
//! // What each node has learned since the last call, and when.
//! let observations = hollows.take_observations().await;
//! ```
//!
//! A network partition takes effect at the hollow nodes: they ignore datagrams from addresses of another
//! region and send none there. Traffic between two real processes cannot be blocked, so all real processes
//! must be in one region.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use alderstile::types::Micros;
use alderstile_cluster::authentication::MAX_DATAGRAM_BYTES;
use alderstile_cluster::membership::{
    DatagramCodec, InstanceId, MemberRecord, Membership, MembershipChange, MembershipConfig,
    MembershipEffect, MembershipStats,
};
use rustix::time::{ClockId, clock_gettime};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};
use tracing::debug;

/// Interval over which bytes sent and received are summed to find each node's busiest second.
const PEAK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest datagram that an extra core can receive, bytes.
const MAX_EXTRA_DATAGRAM_BYTES: usize = 65_535;

/// An additional protocol core of a hollow node, with a separate socket.
///
/// A core does no I/O: it returns the datagrams to send, each with its destination.
pub trait ExtraCore: Send {
    /// Returns the address at which the core receives datagrams.
    fn address(&self) -> SocketAddr;
    /// Returns the time at which [`ExtraCore::handle_timeout`] must be called next.
    fn next_timeout(&self) -> Micros;
    /// Does the work that is due at `now` and returns the datagrams to send.
    ///
    /// The core may read the node's membership and set the node's metadata or the digest of its settings.
    fn handle_timeout(&mut self, now: Micros, members: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)>;
    /// Processes a received datagram and returns the datagrams to send.
    fn handle_datagram(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
        members: &mut Membership,
    ) -> Vec<(SocketAddr, Vec<u8>)>;
}

/// Creates the extra core of a node, or returns `None` if the node has none.
pub type ExtraCoreFactory = Arc<dyn Fn(&NodeSpec) -> Option<Box<dyn ExtraCore>> + Send + Sync>;

/// Identity of a node in a scale run.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// The node's number, unique among all hollow and real nodes of the run.
    pub number: usize,
    /// The node's name: letters followed by its number.
    pub name: String,
    /// The node's zone.
    pub zone: String,
    /// Address at which the node receives membership datagrams.
    pub address: SocketAddr,
}

/// The network between the nodes: a common clock and the regions that can be partitioned.
pub struct Network {
    started_at: Instant,
    regions: BTreeMap<SocketAddr, u8>,
    partitioned: AtomicBool,
}

impl Network {
    /// Creates a network from the region of each address. Addresses without a region reach all others.
    pub fn new(regions: BTreeMap<SocketAddr, u8>) -> Arc<Self> {
        Arc::new(Network { started_at: Instant::now(), regions, partitioned: AtomicBool::new(false) })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        Micros(u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Starts or ends the partition between the regions.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Relaxed);
    }

    fn delivers(&self, one: &SocketAddr, other: &SocketAddr) -> bool {
        if !self.partitioned.load(Ordering::Relaxed) {
            return true;
        }
        match (self.regions.get(one), self.regions.get(other)) {
            (Some(one), Some(other)) => one == other,
            _ => true,
        }
    }
}

/// Configuration common to all hollow nodes.
#[derive(Clone)]
pub struct HollowConfig {
    /// Configuration of the membership protocol.
    pub membership: MembershipConfig,
    /// Encodes datagrams with the cluster's name and keys.
    pub codec: DatagramCodec,
    /// Addresses that a member contacts when it knows no others.
    pub seeds: Vec<SocketAddr>,
    /// The network between the nodes.
    pub network: Arc<Network>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Creates each node's extra core.
    pub extra_cores: ExtraCoreFactory,
    /// Nodes that each node knows at its first start, with no updates about them left to disseminate. Empty
    /// if nodes know only their seeds.
    pub known_nodes: Arc<Vec<NodeSpec>>,
}

impl HollowConfig {
    /// Returns the member record of a node's process; `start` counts the node's processes from 1.
    fn member_record(&self, spec: &NodeSpec, start: u64) -> MemberRecord {
        let text = format!("{} {} {} {start}", self.seed, spec.name, spec.address);
        MemberRecord {
            instance: InstanceId(alderstile_cluster::content_digest(text.as_bytes()).max(1)),
            incarnation: 1,
            name: spec.name.as_str().into(),
            zone: spec.zone.as_str().into(),
            address: spec.address,
            config_digest: 0,
            metadata: [].into(),
        }
    }
}

/// A change that a node has observed of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedChange {
    /// A new process of the node joined.
    Joined,
    /// The node is suspected because it did not reply.
    Suspected,
    /// The node was declared dead.
    Died,
    /// The node was suspected or dead and is alive.
    Recovered,
    /// The node announced this digest of its settings.
    ConfigDigest(u64),
}

/// A change in the membership view of one node.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Time of the observation since the start of the run.
    pub at: Micros,
    /// Number of the node whose view changed.
    pub observer: usize,
    /// Number of the node that the change is about.
    pub subject: usize,
    /// The change.
    pub change: ObservedChange,
}

/// Counters of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeSample {
    /// The node's number.
    pub number: usize,
    /// The node's view of the members and the membership counters.
    pub stats: MembershipStats,
    /// Membership datagrams received.
    pub datagrams_received: u64,
    /// Bytes of these datagrams.
    pub bytes_received: u64,
    /// Counters of the extra core: datagrams sent, bytes sent, datagrams received, bytes received.
    pub extra_core: [u64; 4],
    /// Bytes sent and bytes received, each in its busiest second since the last
    /// [`HollowNodes::sample_and_reset_peaks`].
    pub peak: (u64, u64),
}

/// Counters of one thread.
#[derive(Clone, Debug, Default)]
pub struct ThreadSample {
    /// Counters of all nodes of the thread.
    pub nodes: Vec<NodeSample>,
    /// Processor time that the thread has used.
    pub cpu: Duration,
}

enum Command {
    Start(NodeSpec),
    Kill(usize),
    SetConfigDigest {
        node: usize,
        digest: u64,
    },
    /// Records an observation when a node learns that a process has this digest.
    WatchDigest {
        instance: InstanceId,
        digest: u64,
    },
    Sample {
        reset_peaks: bool,
        reply: oneshot::Sender<ThreadSample>,
    },
    TakeObservations(oneshot::Sender<Vec<Observation>>),
    /// Returns the instance ID of a node's current process.
    GetInstance(usize, oneshot::Sender<Option<InstanceId>>),
}

/// Hollow nodes on a fixed number of threads. Dropping the value ends all of them.
pub struct HollowNodes {
    threads: Vec<(mpsc::UnboundedSender<Command>, Option<JoinHandle<()>>)>,
}

impl HollowNodes {
    /// Starts the given number of threads (at least one), without nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread or its runtime cannot be created.
    pub fn new(threads: usize, config: &HollowConfig) -> io::Result<Self> {
        let mut all = Vec::new();
        for number in 0..threads.max(1) {
            let (command, commands) = mpsc::unbounded_channel();
            let config = config.clone();
            // Created here rather than in the thread, so that a failure is returned to the caller.
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let handle = std::thread::Builder::new().name(format!("hollow-{number}")).spawn(move || {
                LocalSet::new().block_on(&runtime, run_worker(Rc::new(Worker::new(config)), commands));
            })?;
            all.push((command, Some(handle)));
        }
        Ok(HollowNodes { threads: all })
    }

    fn command(&self, node: usize, command: Command) {
        // Sending cannot fail: the threads end only when this value is dropped.
        let _ = self.threads[node % self.threads.len()].0.send(command);
    }

    /// Starts a node, or a new process of a node that was started before.
    pub fn start(&self, spec: NodeSpec) {
        self.command(spec.number, Command::Start(spec));
    }

    /// Ends a node without a leave message.
    pub fn kill(&self, node: usize) {
        self.command(node, Command::Kill(node));
    }

    /// Changes the digest of a node's settings, and records when each node learns of it as
    /// [`ObservedChange::ConfigDigest`].
    pub async fn set_config_digest(&self, node: usize, digest: u64) {
        let (reply, receiver) = oneshot::channel();
        self.command(node, Command::GetInstance(node, reply));
        let Ok(Some(instance)) = receiver.await else { return };
        for (command, _) in &self.threads {
            let _ = command.send(Command::WatchDigest { instance, digest });
        }
        self.command(node, Command::SetConfigDigest { node, digest });
    }

    async fn ask<T>(&self, command: impl Fn(oneshot::Sender<T>) -> Command) -> Vec<T> {
        let mut receivers = Vec::new();
        for (sender, _) in &self.threads {
            let (reply, receiver) = oneshot::channel();
            if sender.send(command(reply)).is_ok() {
                receivers.push(receiver);
            }
        }
        let mut all = Vec::new();
        for receiver in receivers {
            all.extend(receiver.await);
        }
        all
    }

    /// Returns the counters of each thread.
    pub async fn sample(&self) -> Vec<ThreadSample> {
        self.ask(|reply| Command::Sample { reset_peaks: false, reply }).await
    }

    /// Returns the counters of each thread and resets the peaks of all nodes.
    pub async fn sample_and_reset_peaks(&self) -> Vec<ThreadSample> {
        self.ask(|reply| Command::Sample { reset_peaks: true, reply }).await
    }

    /// Returns all observations since the last call, in no particular order.
    pub async fn take_observations(&self) -> Vec<Observation> {
        self.ask(Command::TakeObservations).await.concat()
    }
}

impl Drop for HollowNodes {
    fn drop(&mut self) {
        let threads: Vec<_> = self.threads.drain(..).collect();
        // The channels are closed here, and each thread ends when its channel is closed.
        let handles: Vec<_> = threads.into_iter().filter_map(|(_, handle)| handle).collect();
        for handle in handles {
            let _ = handle.join();
        }
    }
}

struct Worker {
    config: HollowConfig,
    nodes: RefCell<BTreeMap<usize, RunningNode>>,
    /// Number of starts of each node.
    starts: RefCell<BTreeMap<usize, u64>>,
    observations: RefCell<Vec<Observation>>,
    /// Digests to watch, each with the process that announces it. The first time that a node learns of one is
    /// recorded as an observation.
    watched: RefCell<Vec<(InstanceId, u64)>>,
}

struct RunningNode {
    node: Rc<HollowNode>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    /// Bytes sent and received until the last update of the peaks.
    last_totals: (u64, u64),
    /// Most bytes sent and most bytes received in one interval since the last reset.
    peak: (u64, u64),
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

struct HollowNode {
    number: usize,
    address: SocketAddr,
    members: RefCell<Membership>,
    /// Membership datagrams and bytes received.
    received: Cell<(u64, u64)>,
    /// See [`NodeSample::extra_core`].
    extra_core: Cell<[u64; 4]>,
    /// Watched digests that this node has learned.
    known_digests: RefCell<BTreeSet<u64>>,
}

async fn run_worker(worker: Rc<Worker>, mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut sample = interval(PEAK_INTERVAL);
    sample.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => worker.execute(command).await,
                None => break,
            },
            _ = sample.tick() => worker.update_peaks(),
        }
    }
    worker.nodes.borrow_mut().clear();
}

impl Worker {
    fn new(config: HollowConfig) -> Self {
        Worker {
            config,
            nodes: RefCell::default(),
            starts: RefCell::default(),
            observations: RefCell::default(),
            watched: RefCell::default(),
        }
    }

    async fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Start(spec) => {
                let number = spec.number;
                if let Err(error) = self.start(spec).await {
                    // The run continues without this node: to the others it is a member that did not join
                    // or has died.
                    tracing::error!(node = number, error = %error, "hollow node start failed");
                }
            }
            Command::Kill(node) => drop(self.nodes.borrow_mut().remove(&node)),
            Command::SetConfigDigest { node, digest } => {
                if let Some(running) = self.nodes.borrow().get(&node) {
                    running.node.members.borrow_mut().set_config_digest(digest);
                }
            }
            Command::WatchDigest { instance, digest } => self.watched.borrow_mut().push((instance, digest)),
            Command::GetInstance(node, reply) => {
                let nodes = self.nodes.borrow();
                let instance = nodes.get(&node).map(|running| running.node.members.borrow().local().instance);
                let _ = reply.send(instance);
            }
            Command::Sample { reset_peaks, reply } => drop(reply.send(self.sample_nodes(reset_peaks))),
            Command::TakeObservations(reply) => drop(reply.send(self.observations.take())),
        }
    }

    async fn start(self: &Rc<Self>, spec: NodeSpec) -> io::Result<()> {
        let config = &self.config;
        let start = {
            let mut starts = self.starts.borrow_mut();
            let start = starts.entry(spec.number).or_default();
            *start += 1;
            *start
        };
        let record = config.member_record(&spec, start);
        record.validate().map_err(io::Error::other)?;
        let socket = UdpSocket::bind(spec.address).await?;
        let (seeds, seed) = (config.seeds.clone(), config.seed ^ record.instance.0);
        let mut members = Membership::new(
            config.membership,
            config.codec.clone(),
            record,
            seeds,
            seed,
            config.network.now(),
        );
        if start == 1 {
            let others = config.known_nodes.iter().filter(|other| other.number != spec.number);
            members = members.with_known_members(others.map(|other| config.member_record(other, 1)));
        }
        let node = Rc::new(HollowNode {
            number: spec.number,
            address: spec.address,
            members: RefCell::new(members),
            received: Cell::default(),
            extra_core: Cell::default(),
            known_digests: RefCell::default(),
        });
        let mut tasks = vec![spawn_local(self.clone().run(node.clone(), socket))];
        if let Some(core) = (config.extra_cores)(&spec) {
            let socket = UdpSocket::bind(core.address()).await?;
            tasks.push(spawn_local(self.clone().run_extra_core(node.clone(), core, socket)));
        }
        let running = RunningNode { node, tasks, last_totals: (0, 0), peak: (0, 0) };
        self.nodes.borrow_mut().insert(spec.number, running);
        Ok(())
    }

    /// Runs a node's membership on its socket, as the membership adapter of a real node does.
    async fn run(self: Rc<Self>, node: Rc<HollowNode>, socket: UdpSocket) {
        let network = &self.config.network;
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let deadline = network.started_at + Duration::from_micros(node.members.borrow().next_timeout().0);
            let outgoing = tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) if network.delivers(&from, &node.address) => {
                        let (datagrams, bytes) = node.received.get();
                        node.received.set((datagrams + 1, bytes + length as u64));
                        node.members.borrow_mut().handle_datagram(network.now(), from, &data[..length])
                    }
                    Ok(_) => continue,
                    Err(error) => {
                        debug!(node = node.number, error = %error, "datagram receive failed");
                        continue;
                    }
                },
                () = tokio::time::sleep_until(deadline.into()) => node.members.borrow_mut().handle_timeout(network.now()),
            };
            for out in outgoing {
                match out {
                    // A datagram for which the send buffer has no room is dropped, as the network may drop
                    // any.
                    MembershipEffect::Send { to, datagram: bytes }
                        if network.delivers(&node.address, &to) =>
                    {
                        let _ = socket.try_send_to(&bytes, to);
                    }
                    MembershipEffect::Send { .. } => {}
                    MembershipEffect::Changed(change) => self.record_change(&node, &change),
                }
            }
            self.record_config_digests(&node);
        }
    }

    async fn run_extra_core(
        self: Rc<Self>,
        node: Rc<HollowNode>,
        mut core: Box<dyn ExtraCore>,
        socket: UdpSocket,
    ) {
        let network = &self.config.network;
        let mut data = vec![0; MAX_EXTRA_DATAGRAM_BYTES];
        loop {
            let deadline = network.started_at + Duration::from_micros(core.next_timeout().0);
            let mut totals = node.extra_core.get();
            let outgoing = tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) if network.delivers(&from, &node.address) => {
                        totals[2] += 1;
                        totals[3] += length as u64;
                        let mut members = node.members.borrow_mut();
                        core.handle_datagram(network.now(), from, &data[..length], &mut members)
                    }
                    _ => continue,
                },
                () = tokio::time::sleep_until(deadline.into()) => {
                    core.handle_timeout(network.now(), &mut node.members.borrow_mut())
                }
            };
            for (to, bytes) in outgoing {
                totals[0] += 1;
                totals[1] += bytes.len() as u64;
                if network.delivers(&node.address, &to) {
                    let _ = socket.try_send_to(&bytes, to);
                }
            }
            node.extra_core.set(totals);
        }
    }

    fn record_change(&self, node: &HollowNode, change: &MembershipChange) {
        let (instance, change) = match change {
            MembershipChange::Joined(instance) => (instance, ObservedChange::Joined),
            MembershipChange::Suspected(instance) => (instance, ObservedChange::Suspected),
            MembershipChange::Died(instance) => (instance, ObservedChange::Died),
            MembershipChange::Recovered(instance) => (instance, ObservedChange::Recovered),
            _ => return,
        };
        let members = node.members.borrow();
        let Some(subject) = members.peer(*instance).and_then(|member| node_number(&member.record.name))
        else {
            return;
        };
        self.observations.borrow_mut().push(Observation {
            at: self.config.network.now(),
            observer: node.number,
            subject,
            change,
        });
    }

    fn record_config_digests(&self, node: &HollowNode) {
        let members = node.members.borrow();
        for (instance, digest) in self.watched.borrow().iter() {
            let Some(member) =
                members.peer(*instance).filter(|member| member.record.config_digest == *digest)
            else {
                continue;
            };
            if node.known_digests.borrow_mut().insert(*digest) {
                let subject = node_number(&member.record.name).unwrap_or_default();
                let at = self.config.network.now();
                self.observations.borrow_mut().push(Observation {
                    at,
                    observer: node.number,
                    subject,
                    change: ObservedChange::ConfigDigest(*digest),
                });
            }
        }
    }

    fn update_peaks(&self) {
        for running in self.nodes.borrow_mut().values_mut() {
            let now = running.node.byte_totals();
            let (sent, received) = (now.0 - running.last_totals.0, now.1 - running.last_totals.1);
            running.peak = (running.peak.0.max(sent), running.peak.1.max(received));
            running.last_totals = now;
        }
    }

    fn sample_nodes(&self, reset_peaks: bool) -> ThreadSample {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        let cpu = Duration::new(
            u64::try_from(time.tv_sec).unwrap_or_default(),
            u32::try_from(time.tv_nsec).unwrap_or_default(),
        );
        let mut nodes = self.nodes.borrow_mut();
        let sample = |running: &mut RunningNode| {
            let node = &running.node;
            let (datagrams_received, bytes_received) = node.received.get();
            let (stats, extra_core) = (node.members.borrow().stats(), node.extra_core.get());
            let peak = if reset_peaks { std::mem::take(&mut running.peak) } else { running.peak };
            NodeSample { number: node.number, stats, datagrams_received, bytes_received, extra_core, peak }
        };
        ThreadSample { nodes: nodes.values_mut().map(sample).collect(), cpu }
    }
}

impl HollowNode {
    /// Returns the bytes sent and received by membership and the extra core.
    fn byte_totals(&self) -> (u64, u64) {
        let extra_core = self.extra_core.get();
        (self.members.borrow().counters().sent_bytes + extra_core[1], self.received.get().1 + extra_core[3])
    }
}

/// Returns the number at the end of a node's name.
fn node_number(name: &str) -> Option<usize> {
    name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().ok()
}
