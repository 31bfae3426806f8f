//! Runs on processes: real nodes, stub clients, hosts and discovery around them, and a proxy on every link.

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

/// How long after a notification a draining host may still receive new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time beyond the length of the schedule after which a run that has not finished is aborted.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a run continues after its clients stop, so that pending answers and ends arrive.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Port of the membership protocol.
const MEMBERS: u16 = 7_946;
/// Interval of progress messages in the log.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Errors of runs on processes.
#[derive(Debug, Error)]
pub enum RunError {
    /// The schedule has too many nodes for one machine.
    #[error("too many nodes: found {0}, at most {MAX_PROCESSES} on processes; use --on emulated for more")]
    TooManyNodes(usize),
    /// The schedule has no clients or no hosts.
    #[error("a run on processes requires {0}, found none")]
    Missing(&'static str),
    /// A system call failed, or a process did not start.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// The run did not finish in time.
    #[error("the run did not finish within {} s after its length", FINISH_TIMEOUT.as_secs())]
    TimedOut,
    /// A signal interrupted the run.
    #[error("interrupted")]
    Interrupted,
}

/// Returns a conversion of an I/O error that names what failed.
fn io_at(what: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
    let what = what.into();
    move |error| RunError::Io(what, error)
}

/// Options of a run on processes.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program of the nodes.
    pub program: PathBuf,
    /// Additional arguments of the program.
    pub args: Vec<String>,
    /// Directory to which the logs of the nodes are copied, if any.
    pub logs: Option<PathBuf>,
}

/// Returns the path of the program `alderstile` in the directory of the current program or its parent.
///
/// # Errors
///
/// If there is no such program, or the path of the current program is unknown.
pub fn default_program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dirs = own.ancestors().skip(1).take(2);
    let found = dirs.map(|dir| dir.join("alderstile")).find(|program| program.is_file());
    found.ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            "program alderstile not found next to this program: build it, or specify one with --program",
        )
    })
}

/// Runs a plan on processes. Returns when all processes have exited, also after an error.
///
/// # Errors
///
/// If the plan does not fit a run on processes, something did not start, the run did not finish in time, or a
/// signal interrupted it.
pub fn run(plan: &Plan, options: &Options, history: Rc<History>) -> Result<(), RunError> {
    if plan.nodes > MAX_PROCESSES {
        return Err(RunError::TooManyNodes(plan.nodes));
    }
    if plan.hosts.count == 0 {
        return Err(RunError::Missing("hosts"));
    }
    // The settings of a node require at least one class of requests.
    if plan.clients.is_empty() {
        return Err(RunError::Missing("clients"));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(io_at("runtime"))?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let lab = Lab::build(plan, options, history).await?;
        let deadline = Duration::from_secs_f64(plan.length_s) + FINISH_TIMEOUT;
        let result = tokio::select! {
            result = timeout(deadline, lab.run(plan)) => result.unwrap_or(Err(RunError::TimedOut)),
            () = interrupt_signal() => Err(RunError::Interrupted),
        };
        lab.shut_down().await;
        result
    })
}

/// Waits for SIGINT or SIGTERM.
pub(crate) async fn interrupt_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
}

/// Everything that takes part in a run on processes.
struct Lab {
    nodes: Vec<Rc<Node>>,
    hosts: Vec<Rc<Host>>,
    discovery: Rc<Discovery>,
    links: Rc<Links>,
    selector: Rc<NodeSelector>,
    history: Rc<History>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    run_dir: RunDir,
    logs: Option<PathBuf>,
    _addresses: Rc<LoopbackAddresses>,
}

impl Lab {
    /// Starts hosts, discovery and proxies, and prepares the nodes.
    async fn build(plan: &Plan, options: &Options, history: Rc<History>) -> Result<Self, RunError> {
        let at = Rc::new(LoopbackAddresses::reserve().await?);
        let run_dir = RunDir::new(RUNS.fetch_add(1, Ordering::Relaxed)).map_err(io_at("run directory"))?;
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
            grace_s: DRAIN_GRACE.as_secs_f64(),
            period_s: plan.members.as_ref().map_or(0.0, |members| members.period_ms as f64 / 1e3),
        });
        let links = Links::new(plan.links.clone(), plan.seed);
        let tasks = RefCell::new(Vec::new());
        let spawn = |name: String, task: std::pin::Pin<Box<dyn Future<Output = io::Result<()>>>>| {
            tasks.borrow_mut().push(spawn_local(async move {
                if let Err(error) = task.await {
                    warn!(task = %name, %error, "task failed");
                }
            }));
        };
        let link = |from, to, listen, target| {
            let (proxy, links) = (StreamProxy { from, to, listen, target }, links.clone());
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
        let delay = Duration::from_secs_f64(plan.hosts.notify_delay_ms / 1e3);
        let addresses = at.clone();
        let dial = move |node, host: usize| addresses.at(Role::Back, node, 9_000 + host as u16);
        let discovery = Discovery::new(entries, plan.nodes, delay, history.clone(), dial);
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let dir = run_dir.path().join(format!("n{number}"));
            std::fs::create_dir_all(&dir).map_err(io_at(format!("n{number}")))?;
            let (listen, list) = (at.at(Role::Node, number, 9_000), at.at(Role::Discovery, number, 8_500));
            let mut settings = settings(plan);
            settings["my_zone"] = json!(number % plan.zones.len());
            let route = at.at(Role::Back, number, 8_500);
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
                config: RefCell::new(nodes::node_config(&format!("n{number}"), listen, route, settings)),
                listen,
                admin: [at.at(Role::Node, number, 9_001), at.at(Role::Node, number, 9_002)],
                args,
                history: history.clone(),
                process: RefCell::default(),
                started: std::cell::Cell::default(),
                up: tokio::sync::watch::Sender::new(None),
            });
            spawn(format!("discovery of n{number}"), Box::pin(discovery.clone().serve(number, list)));
            let always = tokio::sync::watch::Sender::new(Some(list));
            link(Party::Node(number), Party::Discovery, route, always.subscribe());
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
            let udp = DatagramProxy::open(links.clone(), &known, own).await.map_err(io_at("gossip proxy"))?;
            for node in 0..plan.nodes {
                let udp = udp.clone();
                spawn(
                    format!("member link to n{node}"),
                    Box::pin(async move {
                        udp.forward(node).await;
                        Ok(())
                    }),
                );
            }
        }
        let selector = NodeSelector::new((0..plan.nodes).map(|n| at.at(Role::Front, n, 9_000)).collect());
        let logs = options.logs.clone();
        Ok(Lab { nodes, hosts, discovery, links, selector, history, tasks, run_dir, logs, _addresses: at })
    }

    /// Starts the nodes and runs the plan: clients, faults and health checks.
    async fn run(&self, plan: &Plan) -> Result<(), RunError> {
        let mut starts = JoinSet::new();
        for node in &self.nodes {
            let node = node.clone();
            starts.spawn_local(async move { node.start().await });
        }
        while let Some(result) = starts.join_next().await {
            result.map_err(|error| io::Error::other(error.to_string())).flatten().map_err(io_at("start"))?;
        }
        let mut tasks = Vec::new();
        for node in 0..plan.nodes {
            tasks.push(spawn_local(self.selector.clone().check_health(node)));
        }
        if plan.members.is_some() {
            for node in &self.nodes {
                tasks.push(spawn_local(node.clone().watch_view()));
            }
        }
        let started = Instant::now();
        let until = started + Duration::from_secs_f64(plan.length_s);
        let mut number = 0;
        for class in &plan.clients {
            for _ in 0..class.count {
                let state = Rc::new(ClientState::default());
                let (selector, history) = (self.selector.clone(), self.history.clone());
                let (class, client_state) = (class.clone(), state.clone());
                let client =
                    Client { number, class, selector, history: history.clone(), until, state: client_state };
                let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
                tasks.push(spawn_local(client.run(seed)));
                tasks.push(spawn_local(clients::sample_service(number, state, history, until)));
                number += 1;
            }
        }
        let progress = spawn_local(async move {
            loop {
                sleep(PROGRESS_INTERVAL).await;
                info!(
                    "run in progress: {:.0} of {:.0} s",
                    started.elapsed().as_secs_f64(),
                    (until - started).as_secs_f64()
                );
            }
        });
        for (number, fault) in plan.faults.iter().enumerate() {
            let at = started + Duration::from_secs_f64(fault.at_s);
            sleep_until(at.min(until)).await;
            tasks.extend(self.begin(number, fault));
        }
        sleep_until(until + SETTLE_TIME).await;
        progress.abort();
        tasks.iter().for_each(JoinHandle::abort);
        Ok(())
    }

    /// Kills all processes, and copies their logs if requested.
    async fn shut_down(&self) {
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
                        warn!(path = %to.display(), %error, "log not copied");
                    }
                }
            }
        }
        info!(path = %self.run_dir.path().display(), "run directory removed");
    }
}
