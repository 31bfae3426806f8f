//! What one real node costs: a process with stand-in hosts and clients round it, at several sizes. Processor time is the
//! process's own, so that a busy machine does not matter; times by the clock are of this machine as it was.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use crate::history::History;
use crate::processes::discovery::{Discovery, HostEntry};
use crate::processes::nodes::{self, Node, RunDir};
use crate::processes::{self, LoopbackAddresses, interrupt_signal};
use crate::real::{Usage, counters, usage};
use crate::scale::settings_of;
use crate::schedule::ScheduleError;
use crate::tables::Row;

/// Descriptors that a node is given; the system's limit is read, and a node keeps some for itself.
const MOST_SOCKETS: u64 = 19_900;
/// Set-ups that are under way at once while clients are brought up for a measurement.
const AT_ONCE: usize = 100;
/// What a client waits for its answer, as it tells the node.
const WAIT_MS: u64 = 2_000;
/// A client that was turned away or cut off comes again after this, and up to as much more.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MORE_MS: u64 = 150;
/// All of a step is waited for this long.
const STEP: Duration = Duration::from_secs(60);
/// How often is looked whether a step is done.
const LOOK: Duration = Duration::from_millis(2);
/// A line that hosts say to their clients, with its end: 100 bytes.
const LINE: &str =
    "M 0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123\r\n";

/// What is measured at which sizes.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Idle connections.
    pub connections: Vec<usize>,
    /// How long they idle.
    pub idle: Duration,
    /// Listeners of one line.
    pub listeners: Vec<usize>,
    /// Lines to all of them, one after the other.
    pub lines: usize,
    /// Hosts to place at, and in the list.
    pub hosts: Vec<usize>,
    /// Placements, one after the other, and lists taken in.
    pub placements: usize,
    /// Whole lists taken in.
    pub lists: usize,
    /// Clients that come back all at once.
    pub returns: Vec<usize>,
}

impl Sizes {
    /// Those of the tables in `docs/experiments`.
    pub fn usual() -> Self {
        Sizes {
            connections: vec![0, 100, 1_000, 3_000, 5_000, 9_900],
            idle: Duration::from_secs(20),
            listeners: vec![1, 100, 500, 1_000, 2_000, 5_000],
            lines: 20,
            hosts: vec![10, 30, 100, 300, 1_000],
            placements: 1_000,
            lists: 20,
            returns: vec![1_000, 3_000, 5_000, 9_900],
        }
    }

    /// A short run of each.
    pub fn short() -> Self {
        Sizes {
            connections: vec![50, 200],
            idle: Duration::from_millis(500),
            listeners: vec![1, 50],
            lines: 3,
            hosts: vec![5, 20],
            placements: 20,
            lists: 3,
            returns: vec![100],
        }
    }
}

/// Why a measurement ended early.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The system refused a resource, or the node did not start.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// There are no loopback addresses for the node and its hosts.
    #[error(transparent)]
    Addresses(#[from] processes::RunError),
    /// The node's settings are invalid.
    #[error(transparent)]
    Settings(#[from] ScheduleError),
    /// The node's process is gone.
    #[error("no process")]
    NoProcess,
    /// A step took longer than all of a step may take.
    #[error("{step}: not within {} s", STEP.as_secs())]
    StepTimeout {
        /// The step.
        step: &'static str,
    },
    /// Lines did not reach all listeners in time.
    #[error("{listeners} listeners: lines did not arrive")]
    LinesLost {
        /// All listeners.
        listeners: usize,
    },
    /// The node did not take a list in.
    #[error("a list of {hosts} hosts was not taken in")]
    ListIgnored {
        /// Hosts in the list.
        hosts: usize,
    },
    /// A placement was not answered in time.
    #[error("no answer")]
    NoAnswer,
    /// A placement was turned down, or its connection broke.
    #[error("a placement: {0}")]
    Placement(io::Error),
    /// A signal ended the run.
    #[error("interrupted")]
    Interrupted,
}

/// Measures all of that; what is done is handed to `done` at once.
///
/// # Errors
///
/// If the node could not be set up, a step was not done in time, or a signal ended the run.
pub fn run(sizes: &Sizes, program: &Path, mut done: impl FnMut(&[Row])) -> Result<(), MeasureError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            all = all(sizes, program, &mut done) => all,
            () = interrupt_signal() => Err(MeasureError::Interrupted),
        }
    })
}

async fn all(sizes: &Sizes, program: &Path, done: &mut impl FnMut(&[Row])) -> Result<(), MeasureError> {
    for &connections in &sizes.connections {
        info!("{connections} idle connections");
        done(&with(program, 20, async |stand| idle(stand, connections, sizes.idle).await).await?);
    }
    for &listeners in &sizes.listeners {
        info!("lines to {listeners} listeners");
        done(&with(program, 20, async |stand| lines(stand, listeners, sizes.lines).await).await?);
    }
    for &hosts in &sizes.hosts {
        info!("placements and lists of {hosts} hosts");
        done(&with(program, hosts, async |stand| placements(stand, hosts, sizes.placements).await).await?);
        done(&with(program, hosts, async |stand| lists(stand, hosts, sizes.lists).await).await?);
    }
    for &clients in &sizes.returns {
        info!("{clients} clients come back at once");
        done(&with(program, 20, async |stand| comes_back(stand, clients).await).await?);
    }
    Ok(())
}

/// A node with hosts and a list round it.
struct Stand {
    node: Rc<Node>,
    hosts: Hosts,
    discovery: Rc<Discovery>,
    clients: Rc<Clients>,
    _folder: RunDir,
    _addresses: LoopbackAddresses,
}

/// Builds a stand, does something with it, and takes it away whatever came of that.
async fn with(
    program: &Path,
    hosts: usize,
    what: impl AsyncFnOnce(&Stand) -> Result<Vec<Row>, MeasureError>,
) -> Result<Vec<Row>, MeasureError> {
    let addresses = LoopbackAddresses::reserve().await?;
    let folder = RunDir::new(20_000 + hosts as u32)?;
    let at: Vec<SocketAddr> = (0..hosts).map(|host| addresses.extended(host, 9_100)).collect();
    let history = Rc::new(History::discard());
    let entries = vec![HostEntry { health: "up", zone: "here".to_owned(), started_ms: 0 }; hosts];
    let dial = at.clone();
    let discovery =
        Discovery::new(entries, 1, Duration::ZERO, history.clone(), move |_, host: usize| dial[host]);
    let list = addresses.extended(0, 8_500);
    let answers = spawn_local({
        let discovery = discovery.clone();
        async move {
            if let Err(error) = discovery.serve(0, list).await {
                warn!("discovery: {error}");
            }
        }
    });
    let dir = folder.path().join("n0");
    std::fs::create_dir_all(&dir)?;
    let listen = addresses.extended(0, 9_000);
    let mut config = nodes::node_config("n0", listen, list, settings_of(&["here".to_owned()])?);
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    config["limits"]["sockets"] =
        limit.map_or(MOST_SOCKETS, |most| most.saturating_sub(100).min(MOST_SOCKETS)).into();
    let node = Rc::new(Node {
        number: 0,
        program: program.to_owned(),
        dir,
        config: config.into(),
        listen,
        admin: [addresses.extended(0, 9_001), addresses.extended(0, 9_002)],
        args: Vec::new(),
        history,
        process: Default::default(),
        started: Default::default(),
        up: tokio::sync::watch::Sender::new(None),
    });
    let hosts = Hosts::start(at).await?;
    let stand = Stand {
        node: node.clone(),
        hosts,
        discovery,
        clients: Clients::new(listen),
        _folder: folder,
        _addresses: addresses,
    };
    let done = match node.start().await {
        Ok(()) => what(&stand).await,
        Err(error) => Err(error.into()),
    };
    stand.clients.stop();
    let process = node.process.take();
    if let Some(process) = process {
        process.kill().await;
    }
    answers.abort();
    done
}

impl Stand {
    fn usage(&self) -> Result<Usage, MeasureError> {
        let pid = self.node.process.borrow().as_ref().map(|process| process.pid());
        Ok(usage(pid.ok_or(MeasureError::NoProcess)?)?)
    }

    async fn figure(&self, name: &str) -> Option<u64> {
        let admin = self.node.process.borrow().as_ref()?.admin;
        counters(admin).await?.get(name).copied()
    }

    /// Brings so many clients up, not too many at once.
    async fn bring_up(&self, clients: usize) -> Result<(), MeasureError> {
        self.clients.want(clients, AT_ONCE);
        until("clients come up", || self.clients.up.get() == clients).await
    }
}

async fn until(step: &'static str, done: impl Fn() -> bool) -> Result<(), MeasureError> {
    let last = Instant::now() + STEP;
    while !done() {
        if Instant::now() > last {
            return Err(MeasureError::StepTimeout { step });
        }
        sleep(LOOK).await;
    }
    Ok(())
}

async fn idle(stand: &Stand, connections: usize, span: Duration) -> Result<Vec<Row>, MeasureError> {
    let empty = stand.usage()?;
    stand.bring_up(connections).await?;
    // What setting up left to do is done.
    sleep(Duration::from_secs(2).min(span)).await;
    let before = stand.usage()?;
    sleep(span).await;
    let after = stand.usage()?;
    let row = |figure: &str, value: f64| Row::one(connections as f64, "idle", figure, value);
    let idle = (after.cpu - before.cpu).as_secs_f64() / span.as_secs_f64();
    Ok(vec![
        row("memory (KB)", after.resident as f64 / 1e3),
        row(
            "memory more than without connections (KB)",
            after.resident.saturating_sub(empty.resident) as f64 / 1e3,
        ),
        row("descriptors", after.descriptors as f64),
        row("processor time (us/s)", idle * 1e6),
        row("processor time of all set-ups (ms)", (before.cpu - empty.cpu).as_secs_f64() * 1e3),
    ])
}

async fn lines(stand: &Stand, listeners: usize, count: usize) -> Result<Vec<Row>, MeasureError> {
    stand.bring_up(listeners).await?;
    // One listener: as many deliveries as make a figure.
    let count = count.max(2_000 / listeners);
    sleep(Duration::from_millis(500)).await;
    let (before, mut spans) = (stand.usage()?, Vec::new());
    let began = Instant::now();
    for _ in 0..count {
        let (wanted, from) = (stand.clients.lines.get() + listeners as u64, Instant::now());
        stand.hosts.say().await;
        // Not the clock's steps: the last line's arrival ends the wait.
        let all = async {
            while stand.clients.lines.get() < wanted {
                stand.clients.heard.notified().await;
            }
        };
        timeout(STEP, all).await.map_err(|_| MeasureError::LinesLost { listeners })?;
        spans.push(from.elapsed().as_secs_f64() * 1e3);
    }
    let span = began.elapsed().as_secs_f64();
    let after = stand.usage()?;
    let cpu = (after.cpu - before.cpu).as_secs_f64() * 1e6;
    let size = listeners as f64;
    let delivered = (count * listeners) as f64;
    let mut rows = vec![
        Row::one(size, "lines", "processor time a round (us)", cpu / count as f64),
        Row::one(size, "lines", "processor time a delivery (us)", cpu / delivered),
        Row::one(size, "lines", "deliveries a second as played", delivered / span),
    ];
    rows.extend(Row::of(size, "lines", "all listeners have it after (ms)", &spans));
    Ok(rows)
}

async fn placements(stand: &Stand, hosts: usize, count: usize) -> Result<Vec<Row>, MeasureError> {
    // The first ones meet what is still unknown.
    for _ in 0..(count / 10).max(5) {
        stand.clients.once().await?;
    }
    let (before, mut spans) = (stand.usage()?, Vec::new());
    for _ in 0..count {
        let from = Instant::now();
        stand.clients.once().await?;
        spans.push(from.elapsed().as_secs_f64() * 1e6);
    }
    let after = stand.usage()?;
    spans.sort_by(f64::total_cmp);
    let size = hosts as f64;
    let cpu = (after.cpu - before.cpu).as_secs_f64() * 1e6 / count as f64;
    let middle = spans.get(spans.len() / 2).copied().unwrap_or_default();
    let mut rows = vec![
        Row::one(size, "placement", "processor time each (us)", cpu),
        Row::one(size, "placement", "median answered after (us)", middle),
    ];
    rows.extend(Row::of(size, "placement", "answered after (us)", &spans));
    Ok(rows)
}

/// Whole lists that lack a host, by turns another one.
async fn lists(stand: &Stand, hosts: usize, count: usize) -> Result<Vec<Row>, MeasureError> {
    let (mut spans, mut cpu) = (Vec::new(), Vec::new());
    let quiet = {
        let before = stand.usage()?;
        sleep(Duration::from_millis(500)).await;
        (stand.usage()?.cpu - before.cpu).as_secs_f64() / 0.5
    };
    for turn in 0..count {
        // For the processor time nobody asks meanwhile.
        let (before, from) = (stand.usage()?, Instant::now());
        stand.discovery.set_faults(0, |faults| faults.omitted = vec![turn % hosts]);
        sleep(Duration::from_millis(200)).await;
        let used = (stand.usage()?.cpu - before.cpu).as_secs_f64();
        cpu.push((used - quiet * from.elapsed().as_secs_f64()).max(0.0) * 1e6);
        // For the time it is asked until it has the whole list again.
        let from = Instant::now();
        stand.discovery.set_faults(0, |faults| faults.omitted.clear());
        while stand.figure("hosts_listed").await != Some(hosts as u64) {
            if from.elapsed() > STEP {
                return Err(MeasureError::ListIgnored { hosts });
            }
        }
        spans.push(from.elapsed().as_secs_f64() * 1e3);
    }
    let size = hosts as f64;
    let mut rows: Vec<Row> =
        Row::of(size, "list", "processor time a whole list (us)", &cpu).into_iter().collect();
    rows.extend(Row::of(size, "list", "taken in after (ms)", &spans));
    Ok(rows)
}

/// The node's process is killed with all its clients and started again; all of them come back at once.
async fn comes_back(stand: &Stand, clients: usize) -> Result<Vec<Row>, MeasureError> {
    stand.bring_up(clients).await?;
    stand.clients.limit.add_permits(clients);
    stand.clients.refused.set(0);
    stand.node.kill().await;
    let killed = Instant::now();
    stand.node.start().await?;
    let ready = killed.elapsed().as_secs_f64();
    let mut marks: BTreeMap<usize, f64> = BTreeMap::new();
    while stand.clients.up.get() < clients {
        for share in [50, 95, 99] {
            if stand.clients.up.get() * 100 >= clients * share {
                marks.entry(share).or_insert_with(|| killed.elapsed().as_secs_f64());
            }
        }
        if killed.elapsed() > STEP {
            break;
        }
        sleep(LOOK).await;
    }
    let all = killed.elapsed().as_secs_f64();
    let used = stand.usage()?;
    let size = clients as f64;
    let row = |figure: &str, value: f64| Row::one(size, "return of all", figure, value);
    let up = stand.clients.up.get();
    let mut rows = vec![row("process ready after (s)", ready)];
    rows.extend(marks.iter().map(|(share, s)| row(&format!("{share}% served after (s)"), *s)));
    if up == clients {
        rows.push(row("all served after (s)", all));
    }
    rows.extend([
        row("not served after a minute", (clients - up) as f64),
        row("times turned away or cut off", stand.clients.refused.get() as f64),
        row("processor time a client (us)", used.cpu.as_secs_f64() * 1e6 / size),
    ]);
    Ok(rows)
}

/// Stand-in clients of one node.
struct Clients {
    at: SocketAddr,
    wanted: Cell<usize>,
    /// Those that are up.
    up: Cell<usize>,
    /// Lines that came.
    lines: Cell<u64>,
    heard: tokio::sync::Notify,
    /// Times that one was turned away or cut off.
    refused: Cell<u64>,
    limit: Rc<Semaphore>,
    tasks: RefCell<Vec<tokio::task::JoinHandle<()>>>,
    ids: Cell<u64>,
}

impl Clients {
    fn new(at: SocketAddr) -> Rc<Self> {
        Rc::new(Clients {
            at,
            wanted: Cell::new(0),
            up: Cell::new(0),
            lines: Cell::new(0),
            heard: tokio::sync::Notify::new(),
            refused: Cell::new(0),
            limit: Rc::new(Semaphore::new(0)),
            tasks: RefCell::default(),
            ids: Cell::new(0),
        })
    }

    /// So many more come, so many of them at once.
    fn want(self: &Rc<Self>, clients: usize, at_once: usize) {
        self.limit.add_permits(at_once);
        for _ in 0..clients {
            let number = self.wanted.replace(self.wanted.get() + 1);
            let own = self.clone();
            self.tasks.borrow_mut().push(spawn_local(async move {
                let mut rng = Pcg64Mcg::seed_from_u64(number as u64);
                loop {
                    // It comes again, whatever ended it.
                    let _ = own.stay().await;
                    own.refused.set(own.refused.get() + 1);
                    sleep(AGAIN + Duration::from_millis(rng.random_range(0..AGAIN_MORE_MS))).await;
                }
            }));
        }
    }

    fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Connects and says what it wants; returns when it is up.
    async fn open(&self) -> io::Result<BufReader<TcpStream>> {
        let id = self.ids.replace(self.ids.get() + 1);
        let stream = TcpStream::connect(self.at).await?;
        stream.set_nodelay(true)?;
        let mut stream = BufReader::with_capacity(256, stream);
        let line = format!("OPEN {id:016x} {id:016x} c=chat,d={WAIT_MS}\r\n");
        stream.get_mut().write_all(line.as_bytes()).await?;
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        if line.starts_with("UP") { Ok(stream) } else { Err(io::Error::other(line)) }
    }

    /// One connection from its first line to its end.
    async fn stay(&self) -> io::Result<()> {
        let mut stream = {
            // Those of a run end together.
            let _one = self.limit.acquire().await.map_err(io::Error::other)?;
            self.open().await?
        };
        self.up.set(self.up.get() + 1);
        let mut line = String::new();
        let ended = loop {
            line.clear();
            match stream.read_line(&mut line).await {
                Ok(0) => break Ok(()),
                Err(error) => break Err(error),
                Ok(_) if line.starts_with("MOVE") => break Ok(()),
                Ok(_) => {
                    self.lines.set(self.lines.get() + 1);
                    self.heard.notify_one();
                }
            }
        };
        self.up.set(self.up.get() - 1);
        ended
    }

    /// Comes, is placed and goes.
    async fn once(&self) -> Result<(), MeasureError> {
        let opened = timeout(STEP, self.open()).await.map_err(|_| MeasureError::NoAnswer)?;
        drop(opened.map_err(MeasureError::Placement)?);
        Ok(())
    }
}

enum Say {
    All(oneshot::Sender<()>),
}

/// Stand-in hosts on a thread of their own, so that they don't wait for the clients. They end with their owner.
struct Hosts {
    say: Option<mpsc::UnboundedSender<Say>>,
    thread: Option<JoinHandle<()>>,
}

impl Hosts {
    /// Hosts at these addresses.
    async fn start(at: Vec<SocketAddr>) -> io::Result<Self> {
        let (say, mut said) = mpsc::unbounded_channel::<Say>();
        let (ready, is_ready) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name("hosts".to_owned()).spawn(move || {
            let open: Rc<RefCell<BTreeMap<u64, Rc<TcpStream>>>> = Rc::default();
            let next = Rc::new(Cell::new(0));
            LocalSet::new().block_on(&runtime, async {
                let mut bound = Ok(());
                for address in at {
                    match TcpListener::bind(address).await {
                        Ok(listener) => {
                            spawn_local(accept(listener, open.clone(), next.clone()));
                        }
                        Err(error) => bound = Err(error),
                    }
                }
                let _ = ready.send(bound);
                while let Some(Say::All(done)) = said.recv().await {
                    for stream in open.borrow().values() {
                        // A line of 100 bytes has room where the one before was taken.
                        let _ = stream.try_write(LINE.as_bytes());
                    }
                    let _ = done.send(());
                }
            });
        })?;
        is_ready.await.map_err(io::Error::other)??;
        Ok(Hosts { say: Some(say), thread: Some(thread) })
    }

    /// Every host says a line to each of its clients.
    async fn say(&self) {
        let (done, is_done) = oneshot::channel();
        if let Some(say) = &self.say {
            let _ = say.send(Say::All(done));
        }
        let _ = is_done.await;
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.say.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(listener: TcpListener, open: Rc<RefCell<BTreeMap<u64, Rc<TcpStream>>>>, next: Rc<Cell<u64>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (open, next) = (open.clone(), next.clone());
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let stream = Rc::new(stream);
            // The first line comes whole: a node sends it in one piece.
            let mut data = [0; 512];
            if !matches!(read(&stream, &mut data).await, Ok(1..)) {
                return;
            }
            let id = next.replace(next.get() + 1);
            if stream.try_write(format!("UP {id:012x}\r\n").as_bytes()).is_err() {
                return;
            }
            open.borrow_mut().insert(id, stream.clone());
            while matches!(read(&stream, &mut data).await, Ok(1..)) {}
            open.borrow_mut().remove(&id);
        });
    }
}

async fn read(stream: &TcpStream, data: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(data) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}
