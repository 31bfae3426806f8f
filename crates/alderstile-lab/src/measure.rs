//! Measures the cost of one real node at several sizes: a node process with stub hosts, stub clients and a
//! stub for discovery. Processor time is that of the process, so that other load on the machine does not
//! distort it; wall-clock times depend on the machine and its load.

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
use crate::real::{Usage, read_counters, usage};
use crate::scale::lab_settings;
use crate::schedule::ScheduleError;
use crate::tables::Row;

/// Largest socket limit configured for the node. If the system's descriptor limit is lower, the limit is 100
/// below that, as a node needs some descriptors for other purposes.
const MAX_SOCKETS: u64 = 19_900;
/// Maximum number of concurrent connection setups while clients are connected before a measurement.
const MAX_CONCURRENT_SETUPS: usize = 100;
/// Time that a client waits for its answer, as declared in its first line, in milliseconds.
const SETUP_TIMEOUT_MS: u64 = 2_000;
/// Delay before a client that was refused or disconnected connects again; a random jitter is added.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the jitter added to [`RECONNECT_DELAY`], in milliseconds.
const RECONNECT_JITTER_MS: u64 = 150;
/// Timeout of a step of a measurement.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the completion of a step is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Line that hosts send to their clients: 100 bytes with the line ending.
const BROADCAST_LINE: &str =
    "M 0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123\r\n";

/// The measurements to run, and the sizes of each.
#[derive(Clone, Debug)]
pub struct MeasurePlan {
    /// Numbers of idle connections.
    pub connections: Vec<usize>,
    /// Time over which idle connections are measured.
    pub idle: Duration,
    /// Numbers of clients that receive each line.
    pub listeners: Vec<usize>,
    /// Number of lines sent to all of them, one after the other; more where there are few clients.
    pub lines: usize,
    /// Numbers of hosts in the endpoint list, for placements and list updates.
    pub hosts: Vec<usize>,
    /// Number of placements (connections established through the node), one after the other.
    pub placements: usize,
    /// Number of complete endpoint lists that the node applies.
    pub list_updates: usize,
    /// Numbers of clients that reconnect at the same time.
    pub reconnects: Vec<usize>,
}

impl MeasurePlan {
    /// Returns the sizes of the tables in `docs/experiments`.
    pub fn full() -> Self {
        MeasurePlan {
            connections: vec![0, 100, 1_000, 3_000, 5_000, 9_900],
            idle: Duration::from_secs(20),
            listeners: vec![1, 100, 500, 1_000, 2_000, 5_000],
            lines: 20,
            hosts: vec![10, 30, 100, 300, 1_000],
            placements: 1_000,
            list_updates: 20,
            reconnects: vec![1_000, 3_000, 5_000, 9_900],
        }
    }

    /// Returns small sizes, for a run of a few seconds.
    pub fn short() -> Self {
        MeasurePlan {
            connections: vec![50, 200],
            idle: Duration::from_millis(500),
            listeners: vec![1, 50],
            lines: 3,
            hosts: vec![5, 20],
            placements: 20,
            list_updates: 3,
            reconnects: vec![100],
        }
    }
}

/// Errors that end the measurements early.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// Creating a file, a socket, a thread or a runtime failed, or the node did not start.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// No loopback addresses are available for the node and its hosts.
    #[error(transparent)]
    Addresses(#[from] processes::RunError),
    /// The node's settings are invalid.
    #[error(transparent)]
    Settings(#[from] ScheduleError),
    /// The process of the node is not running.
    #[error("the process of the node is not running")]
    NoProcess,
    /// A step exceeded its timeout.
    #[error("{step}: timed out after {} s", STEP_TIMEOUT.as_secs())]
    StepTimeout {
        /// Description of the step.
        step: &'static str,
    },
    /// A line did not reach all clients in time.
    #[error("a line did not reach all {listeners} listeners in time")]
    LinesLost {
        /// Number of clients that the line was sent to.
        listeners: usize,
    },
    /// The node did not apply an endpoint list in time.
    #[error("an endpoint list of {hosts} hosts was not applied in time")]
    ListIgnored {
        /// Number of hosts in the list.
        hosts: usize,
    },
    /// A placement was not answered in time.
    #[error("a placement was not answered in time")]
    NoAnswer,
    /// A placement was refused, or its connection failed.
    #[error("a placement failed: {0}")]
    Placement(io::Error),
    /// A signal interrupted the run.
    #[error("interrupted")]
    Interrupted,
}

/// Runs all measurements of the plan. The rows of each measurement are passed to `done` as it completes.
///
/// # Errors
///
/// If the node could not be started, a step exceeded its timeout, or a signal interrupted the run.
pub fn run(plan: &MeasurePlan, program: &Path, mut done: impl FnMut(&[Row])) -> Result<(), MeasureError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            result = measure_all(plan, program, &mut done) => result,
            () = interrupt_signal() => Err(MeasureError::Interrupted),
        }
    })
}

async fn measure_all(
    plan: &MeasurePlan,
    program: &Path,
    done: &mut impl FnMut(&[Row]),
) -> Result<(), MeasureError> {
    for &connections in &plan.connections {
        info!(connections, "measurement of idle connections started");
        done(&with_test_bed(program, 20, async |bed| measure_idle(bed, connections, plan.idle).await).await?);
    }
    for &listeners in &plan.listeners {
        info!(listeners, "measurement of lines started");
        done(&with_test_bed(program, 20, async |bed| measure_lines(bed, listeners, plan.lines).await).await?);
    }
    for &hosts in &plan.hosts {
        info!(hosts, "measurement of placements and endpoint lists started");
        done(
            &with_test_bed(program, hosts, async |bed| measure_placements(bed, hosts, plan.placements).await)
                .await?,
        );
        done(
            &with_test_bed(program, hosts, async |bed| {
                measure_list_updates(bed, hosts, plan.list_updates).await
            })
            .await?,
        );
    }
    for &clients in &plan.reconnects {
        info!(clients, "measurement of concurrent reconnects started");
        done(&with_test_bed(program, 20, async |bed| measure_reconnects(bed, clients).await).await?);
    }
    Ok(())
}

/// A node process with the stubs for its hosts, its clients and discovery.
struct TestBed {
    node: Rc<Node>,
    hosts: StubHosts,
    discovery: Rc<Discovery>,
    clients: Rc<StubClients>,
    _run_dir: RunDir,
    _addresses: LoopbackAddresses,
}

/// Builds a test bed, runs a measurement on it, and tears it down whether or not the measurement succeeded.
async fn with_test_bed(
    program: &Path,
    hosts: usize,
    measurement: impl AsyncFnOnce(&TestBed) -> Result<Vec<Row>, MeasureError>,
) -> Result<Vec<Row>, MeasureError> {
    let addresses = LoopbackAddresses::reserve().await?;
    let run_dir = RunDir::new(20_000 + hosts as u32)?;
    let host_addresses: Vec<SocketAddr> = (0..hosts).map(|host| addresses.extended(host, 9_100)).collect();
    let history = Rc::new(History::discard());
    let entries = vec![HostEntry { health: "up", zone: "here".to_owned(), started_ms: 0 }; hosts];
    let dial_addresses = host_addresses.clone();
    let discovery = Discovery::new(entries, 1, Duration::ZERO, history.clone(), move |_, host: usize| {
        dial_addresses[host]
    });
    let discovery_address = addresses.extended(0, 8_500);
    let discovery_task = spawn_local({
        let discovery = discovery.clone();
        async move {
            if let Err(error) = discovery.serve(0, discovery_address).await {
                warn!(%error, "stub discovery failed");
            }
        }
    });
    let dir = run_dir.path().join("n0");
    std::fs::create_dir_all(&dir)?;
    let listen = addresses.extended(0, 9_000);
    let mut config = nodes::node_config("n0", listen, discovery_address, lab_settings(&["here".to_owned()])?);
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    config["limits"]["sockets"] =
        limit.map_or(MAX_SOCKETS, |max| max.saturating_sub(100).min(MAX_SOCKETS)).into();
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
    let hosts = StubHosts::start(host_addresses).await?;
    let bed = TestBed {
        node: node.clone(),
        hosts,
        discovery,
        clients: StubClients::new(listen),
        _run_dir: run_dir,
        _addresses: addresses,
    };
    let result = match node.start().await {
        Ok(()) => measurement(&bed).await,
        Err(error) => Err(error.into()),
    };
    bed.clients.stop();
    let process = node.process.take();
    if let Some(process) = process {
        process.kill().await;
    }
    discovery_task.abort();
    result
}

impl TestBed {
    fn usage(&self) -> Result<Usage, MeasureError> {
        let pid = self.node.process.borrow().as_ref().map(|process| process.pid());
        Ok(usage(pid.ok_or(MeasureError::NoProcess)?)?)
    }

    async fn counter(&self, name: &str) -> Option<u64> {
        let admin = self.node.process.borrow().as_ref()?.admin;
        read_counters(admin).await?.get(name).copied()
    }

    /// Connects this number of clients, at most [`MAX_CONCURRENT_SETUPS`] at once, and waits until all are
    /// established.
    async fn connect_clients(&self, clients: usize) -> Result<(), MeasureError> {
        self.clients.start_clients(clients, MAX_CONCURRENT_SETUPS);
        wait_until("connecting the clients", || self.clients.established.get() == clients).await
    }
}

async fn wait_until(step: &'static str, done: impl Fn() -> bool) -> Result<(), MeasureError> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !done() {
        if Instant::now() > deadline {
            return Err(MeasureError::StepTimeout { step });
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn measure_idle(
    bed: &TestBed,
    connections: usize,
    duration: Duration,
) -> Result<Vec<Row>, MeasureError> {
    let without_connections = bed.usage()?;
    bed.connect_clients(connections).await?;
    // Work left over from connection setup ends before the measurement.
    sleep(Duration::from_secs(2).min(duration)).await;
    let before = bed.usage()?;
    sleep(duration).await;
    let after = bed.usage()?;
    let row = |figure: &str, value: f64| Row::single(connections as f64, "idle", figure, value);
    let idle = (after.cpu - before.cpu).as_secs_f64() / duration.as_secs_f64();
    Ok(vec![
        row("memory (KB)", after.resident as f64 / 1e3),
        row(
            "memory more than without connections (KB)",
            after.resident.saturating_sub(without_connections.resident) as f64 / 1e3,
        ),
        row("descriptors", after.descriptors as f64),
        row("processor time (us/s)", idle * 1e6),
        row("processor time of all set-ups (ms)", (before.cpu - without_connections.cpu).as_secs_f64() * 1e3),
    ])
}

async fn measure_lines(bed: &TestBed, listeners: usize, count: usize) -> Result<Vec<Row>, MeasureError> {
    bed.connect_clients(listeners).await?;
    // With few listeners more rounds are needed for a stable figure.
    let count = count.max(2_000 / listeners);
    sleep(Duration::from_millis(500)).await;
    let (before, mut durations) = (bed.usage()?, Vec::new());
    let start = Instant::now();
    for _ in 0..count {
        let (expected, from) = (bed.clients.lines_received.get() + listeners as u64, Instant::now());
        bed.hosts.broadcast_line().await;
        // Waits for the notification of the last line, as polling would limit the resolution.
        let all_received = async {
            while bed.clients.lines_received.get() < expected {
                bed.clients.line_received.notified().await;
            }
        };
        timeout(STEP_TIMEOUT, all_received).await.map_err(|_| MeasureError::LinesLost { listeners })?;
        durations.push(from.elapsed().as_secs_f64() * 1e3);
    }
    let duration = start.elapsed().as_secs_f64();
    let after = bed.usage()?;
    let cpu = (after.cpu - before.cpu).as_secs_f64() * 1e6;
    let size = listeners as f64;
    let delivered = (count * listeners) as f64;
    let mut rows = vec![
        Row::single(size, "lines", "processor time a round (us)", cpu / count as f64),
        Row::single(size, "lines", "processor time a delivery (us)", cpu / delivered),
        Row::single(size, "lines", "deliveries a second as played", delivered / duration),
    ];
    rows.extend(Row::from_values(size, "lines", "all listeners have it after (ms)", &durations));
    Ok(rows)
}

async fn measure_placements(bed: &TestBed, hosts: usize, count: usize) -> Result<Vec<Row>, MeasureError> {
    // Warm-up: the node knows nothing about the hosts at its first placements.
    for _ in 0..(count / 10).max(5) {
        bed.clients.connect_once().await?;
    }
    let (before, mut durations) = (bed.usage()?, Vec::new());
    for _ in 0..count {
        let from = Instant::now();
        bed.clients.connect_once().await?;
        durations.push(from.elapsed().as_secs_f64() * 1e6);
    }
    let after = bed.usage()?;
    durations.sort_by(f64::total_cmp);
    let size = hosts as f64;
    let cpu = (after.cpu - before.cpu).as_secs_f64() * 1e6 / count as f64;
    let median = durations.get(durations.len() / 2).copied().unwrap_or_default();
    let mut rows = vec![
        Row::single(size, "placement", "processor time each (us)", cpu),
        Row::single(size, "placement", "median answered after (us)", median),
    ];
    rows.extend(Row::from_values(size, "placement", "answered after (us)", &durations));
    Ok(rows)
}

/// Repeatedly sends the node a complete endpoint list in which one host is missing, a different host each
/// time, and then one with all hosts.
async fn measure_list_updates(bed: &TestBed, hosts: usize, count: usize) -> Result<Vec<Row>, MeasureError> {
    let (mut durations, mut cpu) = (Vec::new(), Vec::new());
    let idle_cpu = {
        let before = bed.usage()?;
        sleep(Duration::from_millis(500)).await;
        (bed.usage()?.cpu - before.cpu).as_secs_f64() / 0.5
    };
    for iteration in 0..count {
        // The node is not polled while its processor time is measured, as its answers would add to it.
        let (before, from) = (bed.usage()?, Instant::now());
        bed.discovery.set_faults(0, |faults| faults.omitted = vec![iteration % hosts]);
        sleep(Duration::from_millis(200)).await;
        let used = (bed.usage()?.cpu - before.cpu).as_secs_f64();
        cpu.push((used - idle_cpu * from.elapsed().as_secs_f64()).max(0.0) * 1e6);
        // The duration is measured by polling the node until it lists all hosts again.
        let from = Instant::now();
        bed.discovery.set_faults(0, |faults| faults.omitted.clear());
        while bed.counter("hosts_listed").await != Some(hosts as u64) {
            if from.elapsed() > STEP_TIMEOUT {
                return Err(MeasureError::ListIgnored { hosts });
            }
        }
        durations.push(from.elapsed().as_secs_f64() * 1e3);
    }
    let size = hosts as f64;
    let mut rows: Vec<Row> =
        Row::from_values(size, "list", "processor time a whole list (us)", &cpu).into_iter().collect();
    rows.extend(Row::from_values(size, "list", "taken in after (ms)", &durations));
    Ok(rows)
}

/// Kills the node process, which disconnects all clients, and starts it again; all clients reconnect at the
/// same time.
async fn measure_reconnects(bed: &TestBed, clients: usize) -> Result<Vec<Row>, MeasureError> {
    bed.connect_clients(clients).await?;
    bed.clients.setup_permits.add_permits(clients);
    bed.clients.interruptions.set(0);
    bed.node.kill().await;
    let killed_at = Instant::now();
    bed.node.start().await?;
    let ready_after = killed_at.elapsed().as_secs_f64();
    let mut milestones: BTreeMap<usize, f64> = BTreeMap::new();
    while bed.clients.established.get() < clients {
        for share in [50, 95, 99] {
            if bed.clients.established.get() * 100 >= clients * share {
                milestones.entry(share).or_insert_with(|| killed_at.elapsed().as_secs_f64());
            }
        }
        if killed_at.elapsed() > STEP_TIMEOUT {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let all_after = killed_at.elapsed().as_secs_f64();
    let used = bed.usage()?;
    let size = clients as f64;
    let row = |figure: &str, value: f64| Row::single(size, "return of all", figure, value);
    let established = bed.clients.established.get();
    let mut rows = vec![row("process ready after (s)", ready_after)];
    rows.extend(milestones.iter().map(|(share, s)| row(&format!("{share}% served after (s)"), *s)));
    if established == clients {
        rows.push(row("all served after (s)", all_after));
    }
    rows.extend([
        row("not served after a minute", (clients - established) as f64),
        row("times turned away or cut off", bed.clients.interruptions.get() as f64),
        row("processor time a client (us)", used.cpu.as_secs_f64() * 1e6 / size),
    ]);
    Ok(rows)
}

/// Stub clients of one node.
struct StubClients {
    node_address: SocketAddr,
    started: Cell<usize>,
    /// Number of clients whose connection is established.
    established: Cell<usize>,
    /// Number of lines received by all clients.
    lines_received: Cell<u64>,
    line_received: tokio::sync::Notify,
    /// Number of times that a client was refused or disconnected.
    interruptions: Cell<u64>,
    setup_permits: Rc<Semaphore>,
    tasks: RefCell<Vec<tokio::task::JoinHandle<()>>>,
    next_id: Cell<u64>,
}

impl StubClients {
    fn new(node_address: SocketAddr) -> Rc<Self> {
        Rc::new(StubClients {
            node_address,
            started: Cell::new(0),
            established: Cell::new(0),
            lines_received: Cell::new(0),
            line_received: tokio::sync::Notify::new(),
            interruptions: Cell::new(0),
            setup_permits: Rc::new(Semaphore::new(0)),
            tasks: RefCell::default(),
            next_id: Cell::new(0),
        })
    }

    /// Starts additional clients; at most `max_concurrent_setups` of their connection setups run at once.
    fn start_clients(self: &Rc<Self>, clients: usize, max_concurrent_setups: usize) {
        self.setup_permits.add_permits(max_concurrent_setups);
        for _ in 0..clients {
            let number = self.started.replace(self.started.get() + 1);
            let this = self.clone();
            self.tasks.borrow_mut().push(spawn_local(async move {
                let mut rng = Pcg64Mcg::seed_from_u64(number as u64);
                loop {
                    // The client reconnects no matter why its connection ended.
                    let _ = this.run_connection().await;
                    this.interruptions.set(this.interruptions.get() + 1);
                    sleep(RECONNECT_DELAY + Duration::from_millis(rng.random_range(0..RECONNECT_JITTER_MS)))
                        .await;
                }
            }));
        }
    }

    fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Connects and sends a request; returns the connection once it is established.
    async fn open(&self) -> io::Result<BufReader<TcpStream>> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let stream = TcpStream::connect(self.node_address).await?;
        stream.set_nodelay(true)?;
        let mut stream = BufReader::with_capacity(256, stream);
        let line = format!("OPEN {id:016x} {id:016x} c=chat,d={SETUP_TIMEOUT_MS}\r\n");
        stream.get_mut().write_all(line.as_bytes()).await?;
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        if line.starts_with("UP") { Ok(stream) } else { Err(io::Error::other(line)) }
    }

    /// Runs one connection from its setup until it ends.
    async fn run_connection(&self) -> io::Result<()> {
        let mut stream = {
            // The permit is held during the setup only. Acquiring it never fails: the semaphore lives as long
            // as its clients.
            let _permit = self.setup_permits.acquire().await.map_err(io::Error::other)?;
            self.open().await?
        };
        self.established.set(self.established.get() + 1);
        let mut line = String::new();
        let result = loop {
            line.clear();
            match stream.read_line(&mut line).await {
                Ok(0) => break Ok(()),
                Err(error) => break Err(error),
                Ok(_) if line.starts_with("MOVE") => break Ok(()),
                Ok(_) => {
                    self.lines_received.set(self.lines_received.get() + 1);
                    self.line_received.notify_one();
                }
            }
        };
        self.established.set(self.established.get() - 1);
        result
    }

    /// Establishes a connection through the node and closes it.
    async fn connect_once(&self) -> Result<(), MeasureError> {
        let opened = timeout(STEP_TIMEOUT, self.open()).await.map_err(|_| MeasureError::NoAnswer)?;
        drop(opened.map_err(MeasureError::Placement)?);
        Ok(())
    }
}

enum HostCommand {
    BroadcastLine(oneshot::Sender<()>),
}

/// Stub hosts on a separate thread, so that clients don't delay them. The thread ends when this is dropped.
struct StubHosts {
    commands: Option<mpsc::UnboundedSender<HostCommand>>,
    thread: Option<JoinHandle<()>>,
}

impl StubHosts {
    /// Starts a host at each address; returns once all of them listen.
    async fn start(addresses: Vec<SocketAddr>) -> io::Result<Self> {
        let (commands, mut received_commands) = mpsc::unbounded_channel::<HostCommand>();
        let (ready, readiness) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name("hosts".to_owned()).spawn(move || {
            let connections: Rc<RefCell<BTreeMap<u64, Rc<TcpStream>>>> = Rc::default();
            let next = Rc::new(Cell::new(0));
            LocalSet::new().block_on(&runtime, async {
                let mut bind_result = Ok(());
                for address in addresses {
                    match TcpListener::bind(address).await {
                        Ok(listener) => {
                            spawn_local(accept(listener, connections.clone(), next.clone()));
                        }
                        Err(error) => bind_result = Err(error),
                    }
                }
                let _ = ready.send(bind_result);
                while let Some(HostCommand::BroadcastLine(done)) = received_commands.recv().await {
                    for stream in connections.borrow().values() {
                        // A line of 100 bytes fits into the socket buffer if the client has read the previous
                        // one.
                        let _ = stream.try_write(BROADCAST_LINE.as_bytes());
                    }
                    let _ = done.send(());
                }
            });
        })?;
        readiness.await.map_err(io::Error::other)??;
        Ok(StubHosts { commands: Some(commands), thread: Some(thread) })
    }

    /// Makes every host send a line to each of its clients.
    async fn broadcast_line(&self) {
        let (done, completion) = oneshot::channel();
        if let Some(commands) = &self.commands {
            let _ = commands.send(HostCommand::BroadcastLine(done));
        }
        let _ = completion.await;
    }
}

impl Drop for StubHosts {
    fn drop(&mut self) {
        self.commands.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(
    listener: TcpListener,
    connections: Rc<RefCell<BTreeMap<u64, Rc<TcpStream>>>>,
    next: Rc<Cell<u64>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (connections, next) = (connections.clone(), next.clone());
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let stream = Rc::new(stream);
            // The first line arrives in one read: a node sends it in one write.
            let mut data = [0; 512];
            if !matches!(read(&stream, &mut data).await, Ok(1..)) {
                return;
            }
            let id = next.replace(next.get() + 1);
            if stream.try_write(format!("UP {id:012x}\r\n").as_bytes()).is_err() {
                return;
            }
            connections.borrow_mut().insert(id, stream.clone());
            while matches!(read(&stream, &mut data).await, Ok(1..)) {}
            connections.borrow_mut().remove(&id);
        });
    }
}

async fn read(stream: &TcpStream, data: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(data) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}
