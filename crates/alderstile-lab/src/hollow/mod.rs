//! Hollow nodes: the cores that a node runs, on real UDP sockets at loopback addresses, without clients, hosts and
//! processes of their own. Hundreds share one process, and real `alderstile` processes stand among them: they send the
//! same datagrams under the same keys, so that neither can tell the other.
//!
//! [`Hollows`] spreads them over a few threads. Each has [`Membership`], and may have a further core on a socket of its own
//! ([`Part`]): whoever builds one runs it here at any number of nodes with an adapter of three calls.
//!
//! ```text
//! let hollows = Hollows::new(4, Setup { parts: Arc::new(|spec| Some(Box::new(MyPart::new(spec)))), ..setup })?;
//! hollows.start(spec)?;             // a node; hollows.kill(number) ends it without a word
//! let looks = hollows.meter().await; // figures of each node, processor time of each thread
//! let seen = hollows.seen().await;  // what each has learned since the last call, and when
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

/// How often what each node sends and takes in is summed up for the peaks.
const SAMPLE: Duration = Duration::from_secs(1);
/// The largest datagram that a further core may be sent.
const MOST: usize = 65_535;

/// A further core of a hollow node, with a socket of its own. It does no I/O: what it wants sent it returns.
pub trait Part: Send {
    /// Where its datagrams arrive.
    fn address(&self) -> SocketAddr;
    /// When [`Part::tick`] has something to do next.
    fn due(&self) -> Micros;
    /// Does what is due. The node's members may be read, and told a digest or a fact.
    fn tick(&mut self, now: Micros, members: &mut Membership) -> Vec<(SocketAddr, Vec<u8>)>;
    /// Takes a datagram in.
    fn received(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
        members: &mut Membership,
    ) -> Vec<(SocketAddr, Vec<u8>)>;
}

/// Makes the further core of a node, if it has one.
pub type MakePart = Arc<dyn Fn(&Spec) -> Option<Box<dyn Part>> + Send + Sync>;

/// A node among others.
#[derive(Clone, Debug)]
pub struct Spec {
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
    began: Instant,
    regions: BTreeMap<SocketAddr, u8>,
    parted: AtomicBool,
}

impl Network {
    /// All addresses with their regions; those that are not named belong to all.
    pub fn new(regions: BTreeMap<SocketAddr, u8>) -> Arc<Self> {
        Arc::new(Network { began: Instant::now(), regions, parted: AtomicBool::new(false) })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Micros {
        Micros(u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// From now on regions don't hear each other, or do again.
    pub fn part(&self, parted: bool) {
        self.parted.store(parted, Ordering::Relaxed);
    }

    fn passes(&self, one: &SocketAddr, other: &SocketAddr) -> bool {
        if !self.parted.load(Ordering::Relaxed) {
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
pub struct Setup {
    /// What the members go by.
    pub settings: MembershipConfig,
    /// The cluster's name and keys.
    pub codec: DatagramCodec,
    /// Whom a member asks that knows nobody.
    pub seeds: Vec<SocketAddr>,
    /// What lies between them.
    pub network: Arc<Network>,
    /// For all that is drawn.
    pub seed: u64,
    /// Makes each node's further core.
    pub parts: MakePart,
    /// Nodes that each knows when it starts for the first time, with no news of them left to tell; none for nodes that
    /// know their seeds alone.
    pub known: Arc<Vec<Spec>>,
}

impl Setup {
    /// What a node tells of itself at its start of this number, from 1 on.
    fn record(&self, spec: &Spec, start: u64) -> MemberRecord {
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
pub enum What {
    /// A process of that node is new.
    Joined,
    /// That node did not answer.
    Suspected,
    /// That node is held dead.
    Died,
    /// That node lives after all.
    Lives,
    /// The news of this number.
    News(u64),
}

/// Who has learned what of whom, and when.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// When, since the start of the run.
    pub at: Micros,
    /// Who has learned it.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// What.
    pub what: What,
}

/// One node's figures.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// Its number.
    pub number: usize,
    /// How it sees the others, and what it sent.
    pub counts: MembershipStats,
    /// Datagrams that came.
    pub came: u64,
    /// Their bytes.
    pub came_bytes: u64,
    /// What its further core sent and was sent: datagrams and bytes.
    pub part: [u64; 4],
    /// Bytes out and in in its busiest second since the last [`Hollows::meter`].
    pub peak: (u64, u64),
}

/// A thread's figures.
#[derive(Clone, Debug, Default)]
pub struct Looks {
    /// All its nodes.
    pub nodes: Vec<Look>,
    /// Processor time that the thread has used.
    pub cpu: Duration,
}

enum Order {
    Start(Spec),
    Kill(usize),
    News { node: usize, digest: u64 },
    Watch { of: InstanceId, digest: u64 },
    Look { peaks: bool, answer: oneshot::Sender<Looks> },
    Seen(oneshot::Sender<Vec<Seen>>),
    Session(usize, oneshot::Sender<Option<InstanceId>>),
}

/// Hollow nodes on threads. They end with their owner.
pub struct Hollows {
    threads: Vec<(mpsc::UnboundedSender<Order>, Option<JoinHandle<()>>)>,
}

impl Hollows {
    /// No nodes yet, on so many threads.
    ///
    /// # Errors
    ///
    /// If the system gives no thread or no runtime.
    pub fn new(threads: usize, setup: &Setup) -> io::Result<Self> {
        let mut all = Vec::new();
        for number in 0..threads.max(1) {
            let (order, orders) = mpsc::unbounded_channel();
            let setup = setup.clone();
            // Made here, so that a fault shows to who asked.
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let handle = std::thread::Builder::new().name(format!("hollow-{number}")).spawn(move || {
                LocalSet::new().block_on(&runtime, work(Rc::new(Worker::new(setup)), orders));
            })?;
            all.push((order, Some(handle)));
        }
        Ok(Hollows { threads: all })
    }

    fn order(&self, node: usize, order: Order) {
        // A thread ends with this value alone.
        let _ = self.threads[node % self.threads.len()].0.send(order);
    }

    /// Starts a node, or another process of it.
    pub fn start(&self, spec: Spec) {
        self.order(spec.number, Order::Start(spec));
    }

    /// Ends a node without a word.
    pub fn kill(&self, node: usize) {
        self.order(node, Order::Kill(node));
    }

    /// From now on a node tells another digest of its settings, and every node's hearing of it is seen as this news.
    pub async fn news(&self, node: usize, digest: u64) {
        let (answer, answered) = oneshot::channel();
        self.order(node, Order::Session(node, answer));
        let Ok(Some(of)) = answered.await else { return };
        for (order, _) in &self.threads {
            let _ = order.send(Order::Watch { of, digest });
        }
        self.order(node, Order::News { node, digest });
    }

    async fn ask<T>(&self, order: impl Fn(oneshot::Sender<T>) -> Order) -> Vec<T> {
        let mut answers = Vec::new();
        for (sender, _) in &self.threads {
            let (answer, answered) = oneshot::channel();
            if sender.send(order(answer)).is_ok() {
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
    pub async fn look(&self) -> Vec<Looks> {
        self.ask(|answer| Order::Look { peaks: false, answer }).await
    }

    /// The same, and busiest seconds are counted anew from here on.
    pub async fn meter(&self) -> Vec<Looks> {
        self.ask(|answer| Order::Look { peaks: true, answer }).await
    }

    /// What was learned since the last call, in no order.
    pub async fn seen(&self) -> Vec<Seen> {
        self.ask(Order::Seen).await.concat()
    }
}

impl Drop for Hollows {
    fn drop(&mut self) {
        let threads: Vec<_> = self.threads.drain(..).collect();
        // Each ends when nobody can order anything any more.
        let handles: Vec<_> = threads.into_iter().filter_map(|(_, handle)| handle).collect();
        for handle in handles {
            let _ = handle.join();
        }
    }
}

struct Worker {
    setup: Setup,
    nodes: RefCell<BTreeMap<usize, Running>>,
    /// How often each node was started.
    starts: RefCell<BTreeMap<usize, u64>>,
    seen: RefCell<Vec<Seen>>,
    watched: RefCell<Vec<(InstanceId, u64)>>,
}

struct Running {
    hollow: Rc<Hollow>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    /// Bytes out and in at the last sample, and most in one second since the last look.
    before: (u64, u64),
    peak: (u64, u64),
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

struct Hollow {
    number: usize,
    address: SocketAddr,
    members: RefCell<Membership>,
    came: Cell<(u64, u64)>,
    part: Cell<[u64; 4]>,
    known: RefCell<BTreeSet<u64>>,
}

async fn work(worker: Rc<Worker>, mut orders: mpsc::UnboundedReceiver<Order>) {
    let mut sample = interval(SAMPLE);
    sample.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(order) => worker.perform(order).await,
                None => break,
            },
            _ = sample.tick() => worker.sample(),
        }
    }
    worker.nodes.borrow_mut().clear();
}

impl Worker {
    fn new(setup: Setup) -> Self {
        Worker {
            setup,
            nodes: RefCell::default(),
            starts: RefCell::default(),
            seen: RefCell::default(),
            watched: RefCell::default(),
        }
    }

    async fn perform(self: &Rc<Self>, order: Order) {
        match order {
            Order::Start(spec) => {
                let number = spec.number;
                if let Err(error) = self.start(spec).await {
                    // Seen from outside as a node that nobody hears of.
                    tracing::error!("hollow node {number}: {error}");
                }
            }
            Order::Kill(node) => drop(self.nodes.borrow_mut().remove(&node)),
            Order::News { node, digest } => {
                if let Some(running) = self.nodes.borrow().get(&node) {
                    running.hollow.members.borrow_mut().set_config_digest(digest);
                }
            }
            Order::Watch { of, digest } => self.watched.borrow_mut().push((of, digest)),
            Order::Session(node, answer) => {
                let nodes = self.nodes.borrow();
                let session =
                    nodes.get(&node).map(|running| running.hollow.members.borrow().local().instance);
                let _ = answer.send(session);
            }
            Order::Look { peaks, answer } => drop(answer.send(self.look(peaks))),
            Order::Seen(answer) => drop(answer.send(self.seen.take())),
        }
    }

    async fn start(self: &Rc<Self>, spec: Spec) -> io::Result<()> {
        let setup = &self.setup;
        let start = {
            let mut starts = self.starts.borrow_mut();
            let start = starts.entry(spec.number).or_default();
            *start += 1;
            *start
        };
        let me = setup.record(&spec, start);
        me.validate().map_err(io::Error::other)?;
        let socket = UdpSocket::bind(spec.address).await?;
        let (seeds, seed) = (setup.seeds.clone(), setup.seed ^ me.instance.0);
        let mut members =
            Membership::new(setup.settings, setup.codec.clone(), me, seeds, seed, setup.network.now());
        if start == 1 {
            let others = setup.known.iter().filter(|other| other.number != spec.number);
            members = members.with_known_members(others.map(|other| setup.record(other, 1)));
        }
        let hollow = Rc::new(Hollow {
            number: spec.number,
            address: spec.address,
            members: RefCell::new(members),
            came: Cell::default(),
            part: Cell::default(),
            known: RefCell::default(),
        });
        let mut tasks = vec![spawn_local(self.clone().run(hollow.clone(), socket))];
        if let Some(part) = (setup.parts)(&spec) {
            let socket = UdpSocket::bind(part.address()).await?;
            tasks.push(spawn_local(self.clone().run_part(hollow.clone(), part, socket)));
        }
        let running = Running { hollow, tasks, before: (0, 0), peak: (0, 0) };
        self.nodes.borrow_mut().insert(spec.number, running);
        Ok(())
    }

    /// As the node's own adapter goes about it.
    async fn run(self: Rc<Self>, hollow: Rc<Hollow>, socket: UdpSocket) {
        let network = &self.setup.network;
        let mut data = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = network.began + Duration::from_micros(hollow.members.borrow().next_timeout().0);
            let out = tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) if network.passes(&from, &hollow.address) => {
                        let (came, bytes) = hollow.came.get();
                        hollow.came.set((came + 1, bytes + length as u64));
                        hollow.members.borrow_mut().handle_datagram(network.now(), from, &data[..length])
                    }
                    Ok(_) => continue,
                    Err(error) => {
                        debug!("hollow node {}: {error}", hollow.number);
                        continue;
                    }
                },
                () = tokio::time::sleep_until(due.into()) => hollow.members.borrow_mut().handle_timeout(network.now()),
            };
            for out in out {
                match out {
                    // Lost where the system has no room for it, as on the way.
                    MembershipEffect::Send { to, datagram: bytes }
                        if network.passes(&hollow.address, &to) =>
                    {
                        let _ = socket.try_send_to(&bytes, to);
                    }
                    MembershipEffect::Send { .. } => {}
                    MembershipEffect::Changed(change) => self.note(&hollow, &change),
                }
            }
            self.note_news(&hollow);
        }
    }

    async fn run_part(self: Rc<Self>, hollow: Rc<Hollow>, mut part: Box<dyn Part>, socket: UdpSocket) {
        let network = &self.setup.network;
        let mut data = vec![0; MOST];
        loop {
            let due = network.began + Duration::from_micros(part.due().0);
            let mut sums = hollow.part.get();
            let out = tokio::select! {
                received = socket.recv_from(&mut data) => match received {
                    Ok((length, from)) if network.passes(&from, &hollow.address) => {
                        sums[2] += 1;
                        sums[3] += length as u64;
                        let mut members = hollow.members.borrow_mut();
                        part.received(network.now(), from, &data[..length], &mut members)
                    }
                    _ => continue,
                },
                () = tokio::time::sleep_until(due.into()) => {
                    part.tick(network.now(), &mut hollow.members.borrow_mut())
                }
            };
            for (to, bytes) in out {
                sums[0] += 1;
                sums[1] += bytes.len() as u64;
                if network.passes(&hollow.address, &to) {
                    let _ = socket.try_send_to(&bytes, to);
                }
            }
            hollow.part.set(sums);
        }
    }

    fn note(&self, hollow: &Hollow, change: &MembershipChange) {
        let (session, what) = match change {
            MembershipChange::Joined(session) => (session, What::Joined),
            MembershipChange::Suspected(session) => (session, What::Suspected),
            MembershipChange::Died(session) => (session, What::Died),
            MembershipChange::Recovered(session) => (session, What::Lives),
            _ => return,
        };
        let members = hollow.members.borrow();
        let Some(of) = members.peer(*session).and_then(|member| number(&member.record.name)) else {
            return;
        };
        self.seen.borrow_mut().push(Seen { at: self.setup.network.now(), by: hollow.number, of, what });
    }

    fn note_news(&self, hollow: &Hollow) {
        let members = hollow.members.borrow();
        for (of, digest) in self.watched.borrow().iter() {
            let Some(member) = members.peer(*of).filter(|member| member.record.config_digest == *digest)
            else {
                continue;
            };
            if hollow.known.borrow_mut().insert(*digest) {
                let of = number(&member.record.name).unwrap_or_default();
                let at = self.setup.network.now();
                self.seen.borrow_mut().push(Seen { at, by: hollow.number, of, what: What::News(*digest) });
            }
        }
    }

    fn sample(&self) {
        for running in self.nodes.borrow_mut().values_mut() {
            let now = running.hollow.bytes();
            let (out, into) = (now.0 - running.before.0, now.1 - running.before.1);
            running.peak = (running.peak.0.max(out), running.peak.1.max(into));
            running.before = now;
        }
    }

    fn look(&self, peaks: bool) -> Looks {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        let cpu = Duration::new(
            u64::try_from(time.tv_sec).unwrap_or_default(),
            u32::try_from(time.tv_nsec).unwrap_or_default(),
        );
        let mut nodes = self.nodes.borrow_mut();
        let look = |running: &mut Running| {
            let hollow = &running.hollow;
            let (came, came_bytes) = hollow.came.get();
            let (counts, part) = (hollow.members.borrow().stats(), hollow.part.get());
            let peak = if peaks { std::mem::take(&mut running.peak) } else { running.peak };
            Look { number: hollow.number, counts, came, came_bytes, part, peak }
        };
        Looks { nodes: nodes.values_mut().map(look).collect(), cpu }
    }
}

impl Hollow {
    /// Bytes out and in, of all its cores.
    fn bytes(&self) -> (u64, u64) {
        let part = self.part.get();
        (self.members.borrow().counters().sent_bytes + part[1], self.came.get().1 + part[3])
    }
}

/// A node's number, of its name.
fn number(name: &str) -> Option<usize> {
    name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().ok()
}
