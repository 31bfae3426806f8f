//! Runs on processes: real nodes, stand-ins round them, and a proxy of the lab on every way.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use thiserror::Error;
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{info, warn};

use crate::history::{Event, History};
use crate::schedule::{Idempotency, MAX_PROCESSES, Party, Plan};

mod addresses;
mod clients;
mod configuration;
pub(crate) mod discovery;
mod faults;
mod hosts;
pub(crate) mod nodes;
mod proxies;

pub(crate) use addresses::LoopbackAddresses;
use addresses::{RUNS, Role};
use clients::{Client, ClientState, NodeSelector};
use configuration::cluster;
pub(crate) use configuration::settings;
use discovery::{Discovery, HostEntry};
use hosts::Host;
use nodes::{Node, RunDir};
use proxies::{DatagramProxy, Links, StreamProxy};

/// How long after a notice something new may still reach a draining host.
const GRACE: Duration = Duration::from_millis(500);
/// What is waited beyond the schedule's length before a run is taken to be stuck.
const STUCK: Duration = Duration::from_secs(60);
/// What a run goes on after its clients, so that answers and ends that are due come.
const SETTLE: Duration = Duration::from_secs(1);
/// Where members' proxy arrive.
const MEMBERS: u16 = 7_946;
/// A line of progress comes this often.
const PROGRESS: Duration = Duration::from_secs(5);
/// Why a run came to nothing.
#[derive(Debug, Error)]
pub enum RunError {
    /// Too many processes for one machine.
    #[error("{0} nodes: at most {MAX_PROCESSES} can be run as processes; more with --on emulated")]
    TooManyNodes(usize),
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
pub fn default_program() -> io::Result<PathBuf> {
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
    if plan.nodes > MAX_PROCESSES {
        return Err(RunError::TooManyNodes(plan.nodes));
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
            () = interrupt_signal() => Err(RunError::Interrupted),
        };
        lab.end().await;
        done
    })
}

/// Waits for an interrupt or a signal to end.
pub(crate) async fn interrupt_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
}

struct Lab {
    nodes: Vec<Rc<Node>>,
    hosts: Vec<Rc<Host>>,
    discovery: Rc<Discovery>,
    links: Rc<Links>,
    selector: Rc<NodeSelector>,
    history: Rc<History>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    folder: RunDir,
    logs: Option<PathBuf>,
    _addresses: Rc<LoopbackAddresses>,
}

impl Lab {
    async fn build(plan: &Plan, options: &Options, history: Rc<History>) -> Result<Self, RunError> {
        let at = Rc::new(LoopbackAddresses::reserve().await?);
        let folder = RunDir::new(RUNS.fetch_add(1, Ordering::Relaxed)).map_err(io_at("temporary folder"))?;
        let classes: BTreeMap<String, Idempotency> =
            plan.clients.iter().map(|clients| (clients.class.clone(), clients.idempotency)).collect();
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
        let links = Links::new(plan.links.clone(), plan.seed);
        let tasks = RefCell::new(Vec::new());
        let spawn = |name: String, task: std::pin::Pin<Box<dyn Future<Output = io::Result<()>>>>| {
            tasks.borrow_mut().push(spawn_local(async move {
                if let Err(error) = task.await {
                    warn!("{name}: {error}");
                }
            }));
        };
        let link = |from, to, at, target| {
            let (proxy, links) = (StreamProxy { from, to, at, target }, links.clone());
            spawn(format!("link from {from} to {to}"), Box::pin(proxy.serve(links)));
        };
        let setup = Duration::from_secs_f64(plan.hosts.setup_ms / 1e3);
        let mut hosts = Vec::new();
        for number in 0..plan.hosts.count {
            let host = Host::new(number, at.at(Role::Host, number, 9_000), setup, history.clone());
            host.start().await.map_err(io_at(format!("h{number}")))?;
            hosts.push(host);
        }
        let zone = |number: usize| plan.zones[number % plan.zones.len()].clone();
        let entry = |number| HostEntry { health: "up", zone: zone(number), started_ms: 0 };
        let entries = (0..plan.hosts.count).map(entry).collect();
        let after = Duration::from_secs_f64(plan.hosts.notify_delay_ms / 1e3);
        let addresses = at.clone();
        let dial = move |node, host: usize| addresses.at(Role::Back, node, 9_000 + host as u16);
        let discovery = Discovery::new(entries, plan.nodes, after, history.clone(), dial);
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let dir = folder.path().join(format!("n{number}"));
            std::fs::create_dir_all(&dir).map_err(io_at(format!("n{number}")))?;
            let (listen, list) = (at.at(Role::Node, number, 9_000), at.at(Role::Discovery, number, 8_500));
            let mut settings = settings(plan);
            settings["my_zone"] = json!(number % plan.zones.len());
            let way = at.at(Role::Back, number, 8_500);
            let mut args = options.args.clone();
            if let Some(members) = &plan.members {
                let file = dir.join("cluster.toml");
                std::fs::write(&file, cluster(members, &plan.subsetting, &at, number, plan.nodes))
                    .map_err(io_at(format!("n{number}")))?;
                args.extend(["--cluster".to_owned(), file.display().to_string()]);
            }
            let node = Rc::new(Node {
                number,
                program: options.program.clone(),
                dir,
                config: RefCell::new(nodes::node_config(&format!("n{number}"), listen, way, settings)),
                listen,
                admin: [at.at(Role::Node, number, 9_001), at.at(Role::Node, number, 9_002)],
                args,
                history: history.clone(),
                process: RefCell::default(),
                started: std::cell::Cell::default(),
                up: tokio::sync::watch::Sender::new(None),
            });
            spawn(format!("discovery of n{number}"), Box::pin(discovery.clone().answer(number, list)));
            let always = tokio::sync::watch::Sender::new(Some(list));
            link(Party::Node(number), Party::Discovery, way, always.subscribe());
            for host in &hosts {
                let (party, port) = (Party::Host(host.number()), 9_000 + host.number() as u16);
                link(Party::Node(number), party, at.at(Role::Back, number, port), host.up.subscribe());
            }
            link(Party::Clients, Party::Node(number), at.at(Role::Front, number, 9_000), node.up.subscribe());
            nodes.push(node);
        }
        if plan.members.is_some() {
            let known: Vec<SocketAddr> = (0..plan.nodes).map(|n| at.at(Role::Back, n, MEMBERS)).collect();
            let own = (0..plan.nodes).map(|n| at.at(Role::Node, n, MEMBERS)).collect();
            let udp = DatagramProxy::open(links.clone(), &known, own).await.map_err(io_at("member links"))?;
            for node in 0..plan.nodes {
                let udp = udp.clone();
                spawn(
                    format!("member link to n{node}"),
                    Box::pin(async move {
                        udp.carry(node).await;
                        Ok(())
                    }),
                );
            }
        }
        let selector = NodeSelector::new((0..plan.nodes).map(|n| at.at(Role::Front, n, 9_000)).collect());
        let logs = options.logs.clone();
        Ok(Lab { nodes, hosts, discovery, links, selector, history, tasks, folder, logs, _addresses: at })
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
            tasks.push(spawn_local(self.selector.clone().watch(node)));
        }
        if plan.members.is_some() {
            for node in &self.nodes {
                tasks.push(spawn_local(node.clone().watch_view()));
            }
        }
        let began = Instant::now();
        let until = began + Duration::from_secs_f64(plan.length_s);
        let mut number = 0;
        for class in &plan.clients {
            for _ in 0..class.count {
                let state = Rc::new(ClientState::default());
                let (selector, history) = (self.selector.clone(), self.history.clone());
                let (class, state_of) = (class.clone(), state.clone());
                let client =
                    Client { number, class, selector, history: history.clone(), until, state: state_of };
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
            tasks.extend(self.begin(number, fault));
        }
        sleep_until(until + SETTLE).await;
        progress.abort();
        tasks.iter().for_each(JoinHandle::abort);
        Ok(())
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
