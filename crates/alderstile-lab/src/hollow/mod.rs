//! Hollow nodes: the cores that a node runs, on real UDP sockets at loopback addresses, without clients, hosts and
//! processes of their own. Hundreds share one process, and real `alderstile` processes stand among them: they send the
//! same datagrams under the same keys, so that neither can tell the other.
//!
//! [`HollowNodes`] spreads them over a few threads. Each has [`Membership`], and may have a further core on a socket of its own
//! ([`ExtraCore`]): whoever builds one runs it here at any number of nodes with an adapter of three calls.
//!
//! ```text
//! let hollows = HollowNodes::new(4, HollowConfig { parts: Arc::new(|spec| Some(Box::new(MyPart::new(spec)))), ..config })?;
//! hollows.start(spec)?;             // a node; hollows.kill(number) ends it without a word
//! let looks = hollows.sample_and_reset_peaks().await; // figures of each node, processor time of each thread
//! let seen = hollows.observations().await;  // what each has learned since the last call, and when
//! ```
//!
//! Regions are parted where datagrams arrive: a hollow node passes by what comes from an address of another region, and
//! sends nothing there. Between two real processes nothing is parted, so all of them belong into one region.

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

/// How often what each node sends and takes in is summed up for the reset_peaks.
const PEAK_INTERVAL: Duration = Duration::from_secs(1);
/// The largest datagram that a further core may be sent.
const MAX_EXTRA_DATAGRAM_BYTES: usize = 65_535;

/// A further core of a hollow node, with a socket of its own. It does no I/O: what it wants sent it returns.
pub trait ExtraCore: Send {
    /// Where its datagrams arrive.
    fn address(&self) -> SocketAddr;
    /// When [`ExtraCore::handle_timeout`] has something to do next.
    fn next_timeout(&self) -> Micros;
    /// Does what is deadline. The node's members may be read, and told a digest or a fact.
    fn handle_timeout(&mut self, now: Micros, members: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)>;
    /// Takes a datagram in.
    fn handle_datagram(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
        members: &mut Membership,
    ) -> Vec<(SocketAddr, Vec<u8>)>;
}

/// Makes the further core of a node, if it has one.
pub type ExtraCoreFactory = Arc<dyn Fn(&NodeSpec) -> Option<Box<dyn ExtraCore>> + Send + Sync>;

/// A node among others.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Its number, over all nodes of the run.
    pub number: usize,
    /// Its name: letters, then its number.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where members' datagrams arrive.
    pub address: SocketAddr,
}

/// What lies between the nodes: one clock for all, and the regions.
pub struct Network {
    started_at: Instant,
    regions: BTreeMap<SocketAddr, u8>,
    partitioned: AtomicBool,
}

impl Network {
    /// All addresses with their regions; those that are not named belong to all.
    pub fn new(regions: BTreeMap<SocketAddr, u8>) -> Arc<Self> {
        Arc::new(Network { started_at: Instant::now(), regions, partitioned: AtomicBool::new(false) })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Micros {
        Micros(u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// From now on regions don't hear each other, or do again.
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

/// What all hollow nodes have alike.
#[derive(Clone)]
pub struct HollowConfig {
    /// What the members go by.
    pub membership: MembershipConfig,
    /// The cluster's name and keys.
    pub codec: DatagramCodec,
    /// Whom a member asks that knows nobody.
    pub seeds: Vec<SocketAddr>,
    /// What lies between them.
    pub network: Arc<Network>,
    /// For all that is drawn.
    pub seed: u64,
    /// Makes each node's further core.
    pub extra_cores: ExtraCoreFactory,
    /// Nodes that each knows when it starts for the first time, with no news of them left to tell; none for nodes that
    /// know their seeds alone.
    pub known_nodes: Arc<Vec<NodeSpec>>,
}

impl HollowConfig {
    /// What a node tells of itself at its start of this number, from 1 on.
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

/// What a node has learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedChange {
    /// A process of that node is new.
    Joined,
    /// That node did not answer.
    Suspected,
    /// That node is held dead.
    Died,
    /// That node lives after all.
    Recovered,
    /// The news of this number.
    ConfigDigest(u64),
}

/// Who has learned what of whom, and when.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// When, since the start of the run.
    pub at: Micros,
    /// Who has learned it.
    pub observer: usize,
    /// Of whom.
    pub subject: usize,
    /// What.
    pub change: ObservedChange,
}

/// One node's figures.
#[derive(Clone, Copy, Debug)]
pub struct NodeSample {
    /// Its number.
    pub number: usize,
    /// How it sees the others, and what it sent.
    pub stats: MembershipStats,
    /// Datagrams that came.
    pub datagrams_received: u64,
    /// Their bytes.
    pub bytes_received: u64,
    /// What its further core sent and was sent: datagrams and bytes.
    pub extra_core: [u64; 4],
    /// Bytes out and in in its busiest second since the last [`HollowNodes::sample_and_reset_peaks`].
    pub peak: (u64, u64),
}

/// A thread's figures.
#[derive(Clone, Debug, Default)]
pub struct ThreadSample {
    /// All its nodes.
    pub nodes: Vec<NodeSample>,
    /// Processor time that the thread has used.
    pub cpu: Duration,
}

enum Command {
    Start(NodeSpec),
    Kill(usize),
    SetConfigDigest { node: usize, digest: u64 },
    Watch { of: InstanceId, digest: u64 },
    Sample { reset_peaks: bool, answer: oneshot::Sender<ThreadSample> },
    TakeObservations(oneshot::Sender<Vec<Observation>>),
    Instance(usize, oneshot::Sender<Option<InstanceId>>),
}

/// Hollow nodes on threads. They end with their owner.
pub struct HollowNodes {
    threads: Vec<(mpsc::UnboundedSender<Command>, Option<JoinHandle<()>>)>,
}

impl HollowNodes {
    /// No nodes yet, on so many threads.
    ///
    /// # Errors
    ///
    /// If the system gives no thread or no runtime.
    pub fn new(threads: usize, config: &HollowConfig) -> io::Result<Self> {
        let mut all = Vec::new();
        for number in 0..threads.max(1) {
            let (command, commands) = mpsc::unbounded_channel();
            let config = config.clone();
            // Made here, so that a fault shows to who asked.
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let handle = std::thread::Builder::new().name(format!("hollow-{number}")).spawn(move || {
                LocalSet::new().block_on(&runtime, run_worker(Rc::new(Worker::new(config)), commands));
            })?;
            all.push((command, Some(handle)));
        }
        Ok(HollowNodes { threads: all })
    }

    fn command(&self, node: usize, command: Command) {
        // A thread ends with this value alone.
        let _ = self.threads[node % self.threads.len()].0.send(command);
    }

    /// Starts a node, or another process of it.
    pub fn start(&self, spec: NodeSpec) {
        self.command(spec.number, Command::Start(spec));
    }

    /// Ends a node without a word.
    pub fn kill(&self, node: usize) {
        self.command(node, Command::Kill(node));
    }

    /// From now on a node tells another digest of its settings, and every node's hearing of it is seen as this news.
    pub async fn set_config_digest(&self, node: usize, digest: u64) {
        let (answer, answered) = oneshot::channel();
        self.command(node, Command::Instance(node, answer));
        let Ok(Some(of)) = answered.await else { return };
        for (command, _) in &self.threads {
            let _ = command.send(Command::Watch { of, digest });
        }
        self.command(node, Command::SetConfigDigest { node, digest });
    }

    async fn ask<T>(&self, command: impl Fn(oneshot::Sender<T>) -> Command) -> Vec<T> {
        let mut answers = Vec::new();
        for (sender, _) in &self.threads {
            let (answer, answered) = oneshot::channel();
            if sender.send(command(answer)).is_ok() {
                answers.push(answered);
            }
        }
        let mut all = Vec::new();
        for answer in answers {
            all.extend(answer.await);
        }
        all
    }

    /// Figures of each thread.
    pub async fn sample(&self) -> Vec<ThreadSample> {
        self.ask(|answer| Command::Sample { reset_peaks: false, answer }).await
    }

    /// The same, and busiest seconds are counted anew from here on.
    pub async fn sample_and_reset_peaks(&self) -> Vec<ThreadSample> {
        self.ask(|answer| Command::Sample { reset_peaks: true, answer }).await
    }

    /// What was learned since the last call, in no command.
    pub async fn take_observations(&self) -> Vec<Observation> {
        self.ask(Command::TakeObservations).await.concat()
    }
}

impl Drop for HollowNodes {
    fn drop(&mut self) {
        let threads: Vec<_> = self.threads.drain(..).collect();
        // Each ends when nobody can command anything any more.
        let handles: Vec<_> = threads.into_iter().filter_map(|(_, handle)| handle).collect();
        for handle in handles {
            let _ = handle.join();
        }
    }
}

struct Worker {
    config: HollowConfig,
    nodes: RefCell<BTreeMap<usize, RunningNode>>,
    /// How often each node was started.
    starts: RefCell<BTreeMap<usize, u64>>,
    observations: RefCell<Vec<Observation>>,
    watched_digests: RefCell<Vec<(InstanceId, u64)>>,
}

struct RunningNode {
    node: Rc<HollowNode>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    /// Bytes out and in at the last sample, and most in one second since the last look.
    last_totals: (u64, u64),
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
    received: Cell<(u64, u64)>,
    extra_core: Cell<[u64; 4]>,
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
            watched_digests: RefCell::default(),
        }
    }

    async fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Start(spec) => {
                let number = spec.number;
                if let Err(error) = self.start(spec).await {
                    // Seen from outside as a node that nobody hears of.
                    tracing::error!("hollow node {number}: {error}");
                }
            }
            Command::Kill(node) => drop(self.nodes.borrow_mut().remove(&node)),
            Command::SetConfigDigest { node, digest } => {
                if let Some(running) = self.nodes.borrow().get(&node) {
                    running.node.members.borrow_mut().set_config_digest(digest);
                }
            }
            Command::Watch { of, digest } => self.watched_digests.borrow_mut().push((of, digest)),
            Command::Instance(node, answer) => {
                let nodes = self.nodes.borrow();
                let instance = nodes.get(&node).map(|running| running.node.members.borrow().local().instance);
                let _ = answer.send(instance);
            }
            Command::Sample { reset_peaks, answer } => drop(answer.send(self.sample_nodes(reset_peaks))),
            Command::TakeObservations(answer) => drop(answer.send(self.observations.take())),
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

    /// As the node's own adapter goes about it.
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
                        debug!("hollow node {}: {error}", node.number);
                        continue;
                    }
                },
                () = tokio::time::sleep_until(deadline.into()) => node.members.borrow_mut().handle_timeout(network.now()),
            };
            for out in outgoing {
                match out {
                    // Lost where the system has no room for it, as on the way.
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
        for (of, digest) in self.watched_digests.borrow().iter() {
            let Some(member) = members.peer(*of).filter(|member| member.record.config_digest == *digest)
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
    /// Bytes out and in, of all its cores.
    fn byte_totals(&self) -> (u64, u64) {
        let extra_core = self.extra_core.get();
        (self.members.borrow().counters().sent_bytes + extra_core[1], self.received.get().1 + extra_core[3])
    }
}

/// A node's number, of its name.
fn node_number(name: &str) -> Option<usize> {
    name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().ok()
}
