//! Runs on processes: real nodes, stand-ins round them, and a forwarder of the lab on every way.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::history::{Event, History};
use crate::schedule::{About, Actor, Choices, Kind, MOST_PROCESSES, Members, Part, Plan, Planned, Semantics};

mod clients;
pub(crate) mod discovery;
mod hosts;
pub(crate) mod nodes;
mod ways;

use clients::{Client, Front, Wanting};
use discovery::{Discovery, Entry};
use hosts::Host;
use nodes::{Folder, Node};
use ways::{Door, Mail, Ways};

/// How long after a notice something new may still reach a draining host.
const GRACE: Duration = Duration::from_millis(500);
/// What is waited beyond the schedule's length before a run is taken to be stuck.
const STUCK: Duration = Duration::from_secs(60);
/// What a run goes on after its clients, so that answers and ends that are due come.
const SETTLE: Duration = Duration::from_secs(1);
/// Where members' datagrams arrive.
const MEMBERS: u16 = 7_946;
/// A line of progress comes this often.
const PROGRESS: Duration = Duration::from_secs(5);
/// A host that was drained is up again this long after it ended.
const DRAINED: Duration = Duration::from_secs(1);

/// Why a run came to nothing.
#[derive(Debug, Error)]
pub enum RunError {
    /// Too many processes for one machine.
    #[error("{0} nodes: at most {MOST_PROCESSES} can be run as processes; more with --on emulated")]
    TooMany(usize),
    /// The schedule has nobody to serve or nothing to serve with.
    #[error("a run on processes needs {0}")]
    Nothing(&'static str),
    /// The system turned something down, or a process did not start.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// It did not end.
    #[error("stuck: not over {} s after its length", STUCK.as_secs())]
    Stuck,
    /// A person or a program ended it.
    #[error("interrupted")]
    Interrupted,
}

fn io_at(what: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
    let what = what.into();
    move |error| RunError::Io(what, error)
}

/// What a run is given besides its plan.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the nodes.
    pub program: PathBuf,
    /// Further arguments of it.
    pub args: Vec<String>,
    /// Where logs of the nodes are left, if anywhere.
    pub logs: Option<PathBuf>,
}

/// The program beside this one.
///
/// # Errors
///
/// If there is no such program, or this one's own path is unknown.
pub fn program_beside() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dirs = own.ancestors().skip(1).take(2);
    let found = dirs.map(|dir| dir.join("alderstile")).find(|program| program.is_file());
    found.ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            "no program alderstile beside this one: build it, or name one with --program",
        )
    })
}

/// Plays a plan. Returns when all processes have ended, whatever came of it.
///
/// # Errors
///
/// If the plan can't be played on processes, something did not start, the run did not end, or a signal ended it.
pub fn run(plan: &Plan, options: &Options, history: Rc<History>) -> Result<(), RunError> {
    if plan.nodes > MOST_PROCESSES {
        return Err(RunError::TooMany(plan.nodes));
    }
    if plan.hosts.count == 0 {
        return Err(RunError::Nothing("hosts"));
    }
    // A node has at least one class of requests.
    if plan.clients.is_empty() {
        return Err(RunError::Nothing("clients"));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(io_at("runtime"))?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let lab = Lab::build(plan, options, history).await?;
        let longest = Duration::from_secs_f64(plan.length_s) + STUCK;
        let done = tokio::select! {
            done = timeout(longest, lab.play(plan)) => done.unwrap_or(Err(RunError::Stuck)),
            () = interrupted() => Err(RunError::Interrupted),
        };
        lab.end().await;
        done
    })
}

/// Waits for an interrupt or a signal to end.
pub(crate) async fn interrupted() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
}

/// Loopback addresses that no other run uses.
pub(crate) struct Addresses {
    second: u8,
    /// Held as long as the run, so that no other takes them.
    _lock: TcpListener,
}

/// What an address is for.
#[derive(Clone, Copy)]
enum For {
    Node = 1,
    Front = 2,
    Way = 3,
    Host = 4,
    Discovery = 5,
}

static RUNS: AtomicU32 = AtomicU32::new(0);

impl Addresses {
    pub(crate) async fn take() -> Result<Self, RunError> {
        let first = std::process::id().wrapping_mul(31).wrapping_add(RUNS.fetch_add(1, Ordering::Relaxed));
        let mut last = None;
        for step in 0..100u32 {
            let second = 100 + ((first.wrapping_add(step)) % 100) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, second, 0, 1), 7_000)).await {
                Ok(lock) => return Ok(Addresses { second, _lock: lock }),
                Err(error) => last = Some(error),
            }
        }
        Err(RunError::Io("no addresses left".to_owned(), last.unwrap_or(io::ErrorKind::AddrInUse.into())))
    }

    /// Beyond those: for up to 40,000 parties of a run that has no others.
    pub(crate) fn wide(&self, number: usize, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.second, 16 + (number / 200) as u8, 1 + (number % 200) as u8), port).into()
    }

    fn at(&self, what: For, number: usize, port: u16) -> SocketAddr {
        // At most a hundred parties of one kind.
        (Ipv4Addr::new(127, self.second, what as u8, 10 + number as u8), port).into()
    }
}

struct Lab {
    nodes: Vec<Rc<Node>>,
    hosts: Vec<Rc<Host>>,
    discovery: Rc<Discovery>,
    ways: Rc<Ways>,
    front: Rc<Front>,
    history: Rc<History>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    folder: Folder,
    logs: Option<PathBuf>,
    _addresses: Rc<Addresses>,
}

/// A member's file: others know it by its address at the lab.
fn cluster(members: &Members, choices: &Choices, at: &Addresses, number: usize, nodes: usize) -> String {
    let (listen, advertise) = (at.at(For::Node, number, MEMBERS), at.at(For::Way, number, MEMBERS));
    let seeds: Vec<String> =
        (0..nodes.min(3)).map(|node| format!("\"{}\"", at.at(For::Way, node, MEMBERS))).collect();
    let subsets = match choices.on.contains(&Part::Subsets) {
        true => format!(
            "[subsets]\nsize = {}\nusers = {}\nzones_first = {}\nhold_s = {:?}\n",
            choices.size, choices.users, choices.zones_first, choices.hold_s
        ),
        false => String::new(),
    };
    format!(
        "name = \"lab\"\nlisten = \"{listen}\"\nadvertise = \"{advertise}\"\nseeds = [{}]\n\
         keys = [\"{}\"]\nperiod_ms = {}\nsuspicion = {:?}\n{subsets}",
        seeds.join(", "),
        "1ab".repeat(12) + "00",
        members.period_ms,
        members.suspicion,
    )
}

/// The settings that all nodes have, in the form of a node's file.
pub(crate) fn settings(plan: &Plan) -> Value {
    let classes: Vec<Value> = plan
        .clients
        .iter()
        .map(|clients| {
            let semantics = match clients.semantics {
                Semantics::Retryable => "retryable",
                Semantics::Fragile => "fragile",
            };
            json!({"name": clients.class, "aim": 300_000, "give_up": clients.wait_ms * 1_000,
                   "worth": 1.0, "semantics": semantics, "window": 5_000_000})
        })
        .collect();
    json!({
        "balancers": plan.nodes, "my_zone": 0, "zones": plan.zones, "weights": "silent",
        "discovery": "subscribe", "classes": classes, "extra": {"groups": false, "message_aim": [100_000]},
        "allowed": {"connect_timeout": 250_000, "max_attempts": 3, "retry_after": true,
                    "max_retry_after": 1_000_000, "probes": false, "may_tell": false},
        "obligations": {"must_ask_in": 10_000_000, "cold": 8_000_000, "cold_from": 0.4, "fall_multiple": 4.0,
                        "overload_for": 1_500_000},
    })
}

impl Lab {
    async fn build(plan: &Plan, options: &Options, history: Rc<History>) -> Result<Self, RunError> {
        let at = Rc::new(Addresses::take().await?);
        let folder = Folder::new(RUNS.fetch_add(1, Ordering::Relaxed)).map_err(io_at("temporary folder"))?;
        let classes: BTreeMap<String, Semantics> =
            plan.clients.iter().map(|clients| (clients.class.clone(), clients.semantics)).collect();
        history.add(Event::Run {
            title: plan.title.clone(),
            seed: plan.seed,
            on: "processes".to_owned(),
            length_s: plan.length_s,
            nodes: plan.nodes,
            hosts: plan.hosts.count,
            classes,
            grace_s: GRACE.as_secs_f64(),
            period_s: plan.members.as_ref().map_or(0.0, |members| members.period_ms as f64 / 1e3),
        });
        let ways = Ways::new(plan.ways.clone(), plan.seed);
        let tasks = RefCell::new(Vec::new());
        let spawn = |name: String, task: std::pin::Pin<Box<dyn Future<Output = io::Result<()>>>>| {
            tasks.borrow_mut().push(spawn_local(async move {
                if let Err(error) = task.await {
                    warn!("{name}: {error}");
                }
            }));
        };
        let door = |from, to, at, target| {
            let (door, ways) = (Door { from, to, at, target }, ways.clone());
            spawn(format!("way from {from} to {to}"), Box::pin(door.keep(ways)));
        };
        let setup = Duration::from_secs_f64(plan.hosts.setup_ms / 1e3);
        let mut hosts = Vec::new();
        for number in 0..plan.hosts.count {
            let host = Host::new(number, at.at(For::Host, number, 9_000), setup, history.clone());
            host.start().await.map_err(io_at(format!("h{number}")))?;
            hosts.push(host);
        }
        let zone = |number: usize| plan.zones[number % plan.zones.len()].clone();
        let entry = |number| Entry { health: "up", zone: zone(number), born_ms: 0 };
        let entries = (0..plan.hosts.count).map(entry).collect();
        let after = Duration::from_secs_f64(plan.hosts.told_after_ms / 1e3);
        let addresses = at.clone();
        let dial = move |node, host: usize| addresses.at(For::Way, node, 9_000 + host as u16);
        let discovery = Discovery::new(entries, plan.nodes, after, history.clone(), dial);
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let dir = folder.path().join(format!("n{number}"));
            std::fs::create_dir_all(&dir).map_err(io_at(format!("n{number}")))?;
            let (listen, list) = (at.at(For::Node, number, 9_000), at.at(For::Discovery, number, 8_500));
            let mut settings = settings(plan);
            settings["my_zone"] = json!(number % plan.zones.len());
            let way = at.at(For::Way, number, 8_500);
            let mut args = options.args.clone();
            if let Some(members) = &plan.members {
                let file = dir.join("cluster.toml");
                std::fs::write(&file, cluster(members, &plan.choices, &at, number, plan.nodes))
                    .map_err(io_at(format!("n{number}")))?;
                args.extend(["--cluster".to_owned(), file.display().to_string()]);
            }
            let node = Rc::new(Node {
                number,
                program: options.program.clone(),
                dir,
                config: RefCell::new(nodes::config(&format!("n{number}"), listen, way, settings)),
                listen,
                admin: [at.at(For::Node, number, 9_001), at.at(For::Node, number, 9_002)],
                args,
                history: history.clone(),
                process: RefCell::default(),
                started: std::cell::Cell::default(),
                up: tokio::sync::watch::Sender::new(None),
            });
            spawn(format!("discovery of n{number}"), Box::pin(discovery.clone().answer(number, list)));
            let always = tokio::sync::watch::Sender::new(Some(list));
            door(Actor::Node(number), Actor::Discovery, way, always.subscribe());
            for host in &hosts {
                let (party, port) = (Actor::Host(host.number()), 9_000 + host.number() as u16);
                door(Actor::Node(number), party, at.at(For::Way, number, port), host.up.subscribe());
            }
            door(Actor::Clients, Actor::Node(number), at.at(For::Front, number, 9_000), node.up.subscribe());
            nodes.push(node);
        }
        if plan.members.is_some() {
            let known: Vec<SocketAddr> = (0..plan.nodes).map(|node| at.at(For::Way, node, MEMBERS)).collect();
            let own = (0..plan.nodes).map(|node| at.at(For::Node, node, MEMBERS)).collect();
            let mail = Mail::open(ways.clone(), &known, own).await.map_err(io_at("ways of members"))?;
            for node in 0..plan.nodes {
                let mail = mail.clone();
                spawn(
                    format!("members' way to n{node}"),
                    Box::pin(async move {
                        mail.carry(node).await;
                        Ok(())
                    }),
                );
            }
        }
        let front = Front::new((0..plan.nodes).map(|node| at.at(For::Front, node, 9_000)).collect());
        let logs = options.logs.clone();
        Ok(Lab { nodes, hosts, discovery, ways, front, history, tasks, folder, logs, _addresses: at })
    }

    async fn play(&self, plan: &Plan) -> Result<(), RunError> {
        let mut starts = JoinSet::new();
        for node in &self.nodes {
            let node = node.clone();
            starts.spawn_local(async move { node.start().await });
        }
        while let Some(started) = starts.join_next().await {
            started.map_err(|error| io::Error::other(error.to_string())).flatten().map_err(io_at("start"))?;
        }
        let mut tasks = Vec::new();
        for node in 0..plan.nodes {
            tasks.push(spawn_local(self.front.clone().watch(node)));
        }
        if plan.members.is_some() {
            for node in &self.nodes {
                tasks.push(spawn_local(node.clone().watch_view()));
            }
        }
        let began = Instant::now();
        let until = began + Duration::from_secs_f64(plan.length_s);
        let mut number = 0;
        for kind in &plan.clients {
            for _ in 0..kind.count {
                let state = Rc::new(Wanting::default());
                let (front, history) = (self.front.clone(), self.history.clone());
                let (kind, state_of) = (kind.clone(), state.clone());
                let client = Client { number, kind, front, history: history.clone(), until, state: state_of };
                let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
                tasks.push(spawn_local(client.run(seed)));
                tasks.push(spawn_local(clients::beats(number, state, history, until)));
                number += 1;
            }
        }
        let progress = spawn_local(async move {
            loop {
                sleep(PROGRESS).await;
                info!("{:.0} s of {:.0}", began.elapsed().as_secs_f64(), (until - began).as_secs_f64());
            }
        });
        for (number, fault) in plan.faults.iter().enumerate() {
            let at = began + Duration::from_secs_f64(fault.at_s);
            sleep_until(at.min(until)).await;
            tasks.extend(self.begin(number, fault)?);
        }
        sleep_until(until + SETTLE).await;
        progress.abort();
        tasks.iter().for_each(JoinHandle::abort);
        Ok(())
    }

    /// Begins a fault; returns what sees to its end.
    fn begin(&self, number: usize, fault: &Planned) -> Result<Vec<JoinHandle<()>>, RunError> {
        info!("{}: {} {}", fault.kind, shown(&fault.on), shown_way(fault));
        self.history.add(Event::fault(fault, true));
        let span = fault.for_s.map(Duration::from_secs_f64);
        let (history, end) = (self.history.clone(), Event::fault(fault, false));
        let written_end = move || history.add(end);
        let mut tasks = Vec::new();
        match fault.kind.about() {
            About::Way => {
                self.ways.change(|faults| faults.begin(number, fault));
                if let Some(span) = span {
                    let ways = self.ways.clone();
                    tasks.push(spawn_local(async move {
                        sleep(span).await;
                        ways.change(|faults| faults.end(number));
                        written_end();
                    }));
                }
            }
            About::Process => {
                for node in self.named_nodes(fault) {
                    tasks.push(spawn_local(process_fault(node, fault.kind, span)));
                }
                if let Some(span) = span {
                    tasks.push(spawn_local(async move {
                        sleep(span).await;
                        written_end();
                    }));
                }
            }
            About::List => {
                let nodes: Vec<usize> = self.named_nodes(fault).iter().map(|node| node.number).collect();
                let hosts: Vec<usize> = fault.hosts.iter().filter_map(host_of).collect();
                let (kind, late) = (fault.kind, Duration::from_secs_f64(fault.ms / 1e3));
                let discovery = self.discovery.clone();
                let set = move |begins: bool| {
                    for &node in &nodes {
                        discovery.fault(node, |told| match kind {
                            Kind::ListLate => told.late = if begins { late } else { Duration::ZERO },
                            Kind::ListLeavesOut => {
                                told.leaves_out = if begins { hosts.clone() } else { Vec::new() }
                            }
                            Kind::ListLies => told.lies = if begins { hosts.clone() } else { Vec::new() },
                            _ => told.refuses = begins,
                        });
                    }
                };
                set(true);
                if let Some(span) = span {
                    tasks.push(spawn_local(async move {
                        sleep(span).await;
                        set(false);
                        written_end();
                    }));
                }
            }
            About::Host => {
                for host in fault.on.iter().filter_map(host_of).filter_map(|h| self.hosts.get(h)) {
                    let (host, discovery) = (host.clone(), self.discovery.clone());
                    let slow = Duration::from_secs_f64(fault.ms / 1e3);
                    tasks.push(spawn_local(host_fault(host, discovery, fault.kind, span, slow)));
                }
                if let Some(span) = span {
                    tasks.push(spawn_local(async move {
                        sleep(span).await;
                        written_end();
                    }));
                }
            }
        }
        Ok(tasks)
    }

    fn named_nodes(&self, fault: &Planned) -> Vec<Rc<Node>> {
        let number = |actor: &Actor| if let Actor::Node(n) = actor { Some(*n) } else { None };
        fault.on.iter().filter_map(number).filter_map(|n| self.nodes.get(n).cloned()).collect()
    }

    /// Ends all processes, and leaves their logs where they are wanted.
    async fn end(&self) {
        for node in &self.nodes {
            let process = node.process.take();
            if let Some(process) = process {
                process.kill().await;
            }
        }
        self.tasks.borrow().iter().for_each(JoinHandle::abort);
        if let Some(logs) = &self.logs {
            for node in &self.nodes {
                for number in 0..node.started.get() {
                    let to = logs.join(format!("n{}.{number}.log", node.number));
                    if let Err(error) = std::fs::copy(node.dir.join(format!("{number}.log")), &to) {
                        warn!("{}: {error}", to.display());
                    }
                }
            }
        }
        info!("{} is taken away", self.folder.path().display());
    }
}

fn host_of(actor: &Actor) -> Option<usize> {
    if let Actor::Host(h) = actor { Some(*h) } else { None }
}

fn shown(set: &std::collections::BTreeSet<Actor>) -> String {
    let names: Vec<String> = set.iter().map(Actor::to_string).collect();
    names.join(" ")
}

fn shown_way(fault: &Planned) -> String {
    if fault.kind.about() != About::Way {
        return String::new();
    }
    format!("from {} to {}", shown(&fault.from), shown(&fault.to))
}

async fn process_fault(node: Rc<Node>, kind: Kind, span: Option<Duration>) {
    let began = Instant::now();
    let failed = |error: io::Error| warn!("{kind} of n{}: {error}", node.number);
    match kind {
        Kind::Kill => node.kill().await,
        Kind::Stop => node.stop().await,
        Kind::Replace => return node.replace().await.unwrap_or_else(failed),
        Kind::Reload => {
            // Another file than the one before: attempts change between two and three.
            let changed = node.reload(|config| {
                let attempts = &mut config["settings"]["allowed"]["max_attempts"];
                *attempts = json!(if *attempts == json!(3) { 2 } else { 3 });
            });
            return changed.unwrap_or_else(failed);
        }
        _ => node.pause(true),
    }
    let Some(span) = span else { return };
    sleep_until(began + span).await;
    if kind == Kind::Pause {
        node.pause(false);
    } else {
        node.start().await.unwrap_or_else(failed);
    }
}

async fn host_fault(
    host: Rc<Host>,
    discovery: Rc<Discovery>,
    kind: Kind,
    span: Option<Duration>,
    slow: Duration,
) {
    let number = host.number();
    let came_back = async || {
        if let Err(error) = host.start().await {
            warn!("h{number}: {error}");
        }
        discovery.set(number, "up", true);
    };
    match kind {
        Kind::HostKill => {
            host.kill();
            discovery.set(number, "removed", false);
            if let Some(span) = span {
                sleep(span).await;
                came_back().await;
            }
        }
        Kind::HostDrain => {
            discovery.set(number, "draining", false);
            sleep(span.unwrap_or_default()).await;
            host.kill();
            discovery.set(number, "removed", false);
            sleep(DRAINED).await;
            came_back().await;
        }
        _ => {
            let before = host.manner.get();
            let mut manner = before;
            match kind {
                Kind::HostSlow => manner.slow = slow,
                Kind::HostSilent => manner.silent = true,
                _ => manner.refuses = true,
            }
            host.manner.set(manner);
            if let Some(span) = span {
                sleep(span).await;
                host.manner.set(before);
            }
        }
    }
}
