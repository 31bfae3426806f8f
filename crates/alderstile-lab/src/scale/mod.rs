//! Scale runs: clusters of hollow nodes ([`crate::hollow`]) and some real ones, at several sizes. Each run
//! measures the cost of membership and how long its changes take to propagate.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use alderstile::types::Micros;
use alderstile_cluster::membership::{DatagramCodec, MembershipConfig};
use serde_json::json;
use thiserror::Error;
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::history::History;
use crate::hollow::{
    ExtraCoreFactory, HollowConfig, HollowNodes, Network, NodeSample, NodeSpec, Observation, ObservedChange,
    ThreadSample,
};
use crate::processes::discovery::{Discovery, HostEntry};
use crate::processes::nodes::{self, Node, RunDir};
use crate::processes::{self, LoopbackAddresses, interrupt_signal, settings};
use crate::real::{Usage, read_counters, usage};
use crate::schedule::{Plan, ScheduleError};
use crate::tables::Row;

mod phases;
mod plan;

pub use plan::{ScalePlan, ScalePlanError, Size};

/// UDP port of membership.
const MEMBERSHIP_PORT: u16 = 7_946;
/// Interval at which the nodes are polled for their number of members; the resolution of the delays measured
/// at real nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the starts of the hollow nodes are spread.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Smallest timeout for a change to reach all nodes.
const MIN_LEARN_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of protocol periods to wait until the gossip about earlier changes has ended.
const MAX_GOSSIP_PERIODS: f64 = 120.0;
/// Timeout of a call to the admin address.
const ADMIN_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two deaths, and between two configuration changes.
const DISTURBANCE_INTERVAL: Duration = Duration::from_secs(2);
/// Key of the cluster. It is fixed: these clusters exchange test data only.
const CLUSTER_KEY: [u8; 32] = [0x5a; 32];

/// Errors that end scale runs early.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// Creating a file, a socket, a thread or a runtime failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// No loopback addresses are available for the run.
    #[error(transparent)]
    Addresses(#[from] processes::RunError),
    /// The settings of the real nodes are invalid.
    #[error(transparent)]
    Settings(#[from] ScheduleError),
    /// The key of the cluster is invalid.
    #[error("invalid cluster key")]
    Key,
    /// A real node did not start.
    #[error("starting a real node in a cluster of {members} members failed: {source}")]
    Start {
        /// Number of members of the run.
        members: usize,
        /// Cause.
        source: io::Error,
    },
    /// A signal interrupted the run.
    #[error("interrupted")]
    Interrupted,
}

/// Why a size was not measured completely.
enum Incomplete {
    /// The size exceeded its time limit.
    TimedOut,
    /// A real node did not start.
    Failed(io::Error),
    /// A signal interrupted the run.
    Interrupted,
}

/// Runs all sizes of the plan. The rows of each size are passed to `done` when its run ends.
///
/// # Errors
///
/// If a size can't be set up, a real node does not start, or a signal interrupts the run. A size that exceeds
/// its time limit is logged, and the next one is run.
pub fn run(
    plan: &ScalePlan,
    program: &Path,
    extra_cores: &ExtraCoreFactory,
    mut done: impl FnMut(Size, &[Row]),
) -> Result<(), ScaleError> {
    for size in &plan.sizes {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (rows, result) = LocalSet::new().block_on(&runtime, async {
            let mut cluster = TestCluster::build(plan, *size, program, extra_cores).await?;
            let time_limit = Duration::from_secs_f64(plan.time_limit_s);
            let result = tokio::select! {
                result = timeout(time_limit, cluster.run_phases()) => result.map_err(|_| Incomplete::TimedOut).and_then(|result| result.map_err(Incomplete::Failed)),
                () = interrupt_signal() => Err(Incomplete::Interrupted),
            };
            cluster.shut_down().await;
            Ok::<_, ScaleError>((std::mem::take(&mut cluster.rows), result))
        })?;
        // The rows measured before an early end are kept.
        done(*size, &rows);
        match result {
            Ok(()) => {}
            // The remaining sizes are still run.
            Err(Incomplete::TimedOut) => warn!(
                members = size.members,
                time_limit_s = plan.time_limit_s,
                "size aborted: time limit exceeded"
            ),
            Err(Incomplete::Failed(source)) => {
                return Err(ScaleError::Start { members: size.members, source });
            }
            Err(Incomplete::Interrupted) => return Err(ScaleError::Interrupted),
        }
    }
    Ok(())
}

/// The cluster of one run: its members, hollow and real, and the rows measured so far.
struct TestCluster<'a> {
    plan: &'a ScalePlan,
    size: Size,
    specs: Vec<NodeSpec>,
    network: Arc<Network>,
    hollows: HollowNodes,
    real: Vec<Rc<Node>>,
    /// Numbers of the real members.
    real_numbers: BTreeSet<usize>,
    /// Numbers of the hollow members that are running.
    hollow_alive: BTreeSet<usize>,
    discovery: Vec<JoinHandle<()>>,
    rows: Vec<Row>,
    /// Memory of this process before the hollow nodes were created, in bytes.
    initial_memory: u64,
    /// Bytes sent per hollow node and second in the phase without changes.
    quiet_bytes_per_s: f64,
    _run_dir: RunDir,
    _addresses: LoopbackAddresses,
}

/// Readings of all members at one time.
struct Snapshot {
    at: Micros,
    /// One per thread of hollow nodes.
    samples: Vec<ThreadSample>,
    /// One per real node; `None` if it was not running or did not answer.
    real: Vec<Option<(Usage, BTreeMap<String, u64>)>>,
}

impl Snapshot {
    fn nodes(&self) -> BTreeMap<usize, NodeSample> {
        self.samples
            .iter()
            .flat_map(|samples| &samples.nodes)
            .map(|sample| (sample.number, *sample))
            .collect()
    }

    fn cpu(&self) -> Duration {
        self.samples.iter().map(|samples| samples.cpu).sum()
    }
}

/// Returns the bytes sent per second between two snapshots, as the mean of the hollow nodes.
fn mean_bytes_sent_per_s(from: &Snapshot, to: &Snapshot) -> f64 {
    let before = from.nodes();
    let bytes_sent: Vec<f64> = (to.nodes().iter())
        .filter_map(|(number, now)| {
            let then = before.get(number)?;
            Some(now.stats.counters.sent_bytes.saturating_sub(then.stats.counters.sent_bytes) as f64)
        })
        .collect();
    bytes_sent.iter().sum::<f64>() / bytes_sent.len().max(1) as f64 / (to.at - from.at).as_secs_f64()
}

impl<'a> TestCluster<'a> {
    async fn build(
        plan: &'a ScalePlan,
        size: Size,
        program: &Path,
        extra_cores: &ExtraCoreFactory,
    ) -> Result<Self, ScaleError> {
        let addresses = LoopbackAddresses::reserve().await?;
        let run_dir = RunDir::new(size.members as u32 + 10_000)?;
        let zone = |number| format!("z{}", plan.zone_of(number));
        let specs: Vec<NodeSpec> = (0..size.members)
            .map(|number| {
                let kind = if number < plan.control_nodes { "c" } else { "n" };
                let address = addresses.extended(number, MEMBERSHIP_PORT);
                NodeSpec { number, name: format!("{kind}{number}"), zone: zone(number), address }
            })
            .collect();
        let regions = specs.iter().map(|spec| (spec.address, plan.region_of(spec.number))).collect();
        let network = Network::new(regions);
        let mut settings = MembershipConfig::with_period(Micros::from_millis(plan.period_ms));
        settings.suspicion_multiplier = plan.suspicion;
        let codec = DatagramCodec::new("scale", &[CLUSTER_KEY.to_vec()]).map_err(|_| ScaleError::Key)?;
        let seeds: Vec<SocketAddr> = specs.iter().take(3).map(|spec| spec.address).collect();
        let real_numbers: Vec<usize> =
            (0..size.members).filter(|&number| plan.may_be_real(number)).take(size.real).collect();
        let known_nodes =
            specs.iter().filter(|spec| plan.start_joined && !real_numbers.contains(&spec.number));
        let config = HollowConfig {
            known_nodes: Arc::new(known_nodes.cloned().collect()),
            membership: settings,
            codec,
            seeds: seeds.clone(),
            network: network.clone(),
            seed: plan.seed,
            extra_cores: extra_cores.clone(),
        };
        let initial_memory = resident_memory();
        let hollows = HollowNodes::new(plan.threads, &config)?;
        let history = Rc::new(History::discard());
        let discovery_address = addresses.extended(0, 8_500);
        let entry = HostEntry { health: "up", zone: zone(0), started_ms: 0 };
        let host = addresses.extended(0, 9_009);
        let stub_discovery =
            Discovery::new(vec![entry], 1, Duration::ZERO, history.clone(), move |_, _| host);
        let mut discovery = Vec::new();
        if !real_numbers.is_empty() {
            discovery.push(spawn_local(async move {
                if let Err(error) = stub_discovery.serve(0, discovery_address).await {
                    warn!(%error, "stub discovery failed");
                }
            }));
        }
        let zones: Vec<String> = (0..plan.zones).map(zone).collect();
        let mut real = Vec::new();
        for &number in &real_numbers {
            let spec = &specs[number];
            let dir = run_dir.path().join(&spec.name);
            std::fs::create_dir_all(&dir)?;
            let file = dir.join("cluster.toml");
            let quoted: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
            let key: String = CLUSTER_KEY.iter().map(|byte| format!("{byte:02x}")).collect();
            let cluster = format!(
                "name = \"scale\"\nlisten = \"{}\"\nseeds = [{}]\nkeys = [\"{key}\"]\nperiod_ms = {}\nsuspicion = {:?}\n",
                spec.address,
                quoted.join(", "),
                plan.period_ms,
                plan.suspicion
            );
            std::fs::write(&file, cluster)?;
            let mut node_settings = lab_settings(&zones)?;
            node_settings["my_zone"] = json!(plan.zone_of(number));
            let listen = addresses.extended(number, 9_000);
            real.push(Rc::new(Node {
                number,
                program: program.to_owned(),
                dir,
                config: nodes::node_config(&spec.name, listen, discovery_address, node_settings).into(),
                listen,
                admin: [addresses.extended(number, 9_001), addresses.extended(number, 9_002)],
                args: vec!["--cluster".to_owned(), file.display().to_string()],
                history: history.clone(),
                process: Default::default(),
                started: Default::default(),
                up: tokio::sync::watch::Sender::new(None),
            }));
        }
        Ok(TestCluster {
            plan,
            size,
            specs,
            network,
            hollows,
            real,
            real_numbers: real_numbers.into_iter().collect(),
            hollow_alive: BTreeSet::new(),
            discovery,
            rows: Vec::new(),
            initial_memory,
            quiet_bytes_per_s: 0.0,
            _run_dir: run_dir,
            _addresses: addresses,
        })
    }

    async fn shut_down(&mut self) {
        for node in &self.real {
            let process = node.process.take();
            if let Some(process) = process {
                process.kill().await;
            }
        }
        self.discovery.iter().for_each(JoinHandle::abort);
    }

    fn push_row(&mut self, row: Option<Row>) {
        self.rows.extend(row);
    }

    fn record(&mut self, phase: &str, figure: &str, value: f64) {
        self.rows.push(Row::single(self.size.members as f64, phase, figure, value));
    }

    fn record_values(&mut self, phase: &str, figure: &str, values: &[f64]) {
        let row = Row::from_values(self.size.members as f64, phase, figure, values);
        self.push_row(row);
    }

    /// Returns the timeout for a change to reach all nodes. It grows with the logarithm of the number of
    /// members, as the time that suspicion and gossip need does, and is well above that time.
    fn learn_timeout(&self) -> Duration {
        let periods = 30.0 + 10.0 * (self.size.members as f64).log2();
        // With short periods, a busy machine may delay a change by many periods. The minimum keeps such a
        // change from being counted as not learned.
        Duration::from_secs_f64(periods * self.plan.period_s()).max(MIN_LEARN_TIMEOUT)
    }

    /// Returns the time after which gossip about a change that all nodes know has ended.
    ///
    /// Each of N nodes sends each change 3 log2(N) times. It sends about two datagrams per period, so this
    /// time, 3 log2(N) periods, is about twice the time needed.
    fn settle_time(&self) -> Duration {
        let periods = 3.0 * (self.size.members as f64).log2();
        Duration::from_secs_f64(periods * self.plan.period_s())
    }

    /// Reads all members, and resets the peaks of the hollow ones.
    async fn snapshot(&self) -> Snapshot {
        let mut real = Vec::new();
        for node in &self.real {
            real.push(self.read_real_node(node).await);
        }
        Snapshot { at: self.network.now(), samples: self.hollows.sample_and_reset_peaks().await, real }
    }

    async fn read_real_node(&self, node: &Node) -> Option<(Usage, BTreeMap<String, u64>)> {
        let process = node.process.borrow().clone()?;
        // Usage is read first, as answering the call costs the node processor time.
        let used = usage(process.pid()).ok()?;
        Some((used, read_counters(process.admin).await?))
    }

    /// Records the resources that the nodes used between two snapshots.
    fn record_costs(&mut self, phase: &str, from: &Snapshot, to: &Snapshot) {
        let span = (to.at - from.at).as_secs_f64();
        let (before, after) = (from.nodes(), to.nodes());
        let pairs_of_samples: Vec<(NodeSample, NodeSample)> = after
            .iter()
            .filter_map(|(number, now)| Some((*before.get(number)?, *now)))
            .filter(|(then, now)| now.stats.counters.sent >= then.stats.counters.sent)
            .collect();
        let per_second = |counter: &dyn Fn(&NodeSample) -> u64| -> Vec<f64> {
            pairs_of_samples
                .iter()
                .map(|(then, now)| counter(now).saturating_sub(counter(then)) as f64 / span)
                .collect()
        };
        let bytes_out = per_second(&|sample| sample.stats.counters.sent_bytes + sample.extra_core[1]);
        let bytes_in = per_second(&|sample| sample.bytes_received + sample.extra_core[3]);
        let sent = per_second(&|sample| sample.stats.counters.sent + sample.extra_core[0]);
        let received = per_second(&|sample| sample.datagrams_received + sample.extra_core[2]);
        let rate_limited: Vec<f64> = pairs_of_samples
            .iter()
            .map(|(then, now)| (now.stats.counters.rate_limited - then.stats.counters.rate_limited) as f64)
            .collect();
        self.record_values(phase, "bytes out a node and second", &bytes_out);
        self.record_values(phase, "bytes in a node and second", &bytes_in);
        self.record_values(phase, "datagrams out a node and second", &sent);
        self.record_values(phase, "datagrams in a node and second", &received);
        self.record_values(phase, "datagrams held back a node", &rate_limited);
        let peaks = |peak: fn(&NodeSample) -> u64| -> Vec<f64> {
            after.values().map(|sample| peak(sample) as f64).collect()
        };
        self.record_values(phase, "bytes out in the busiest second", &peaks(|sample| sample.peak.0));
        self.record_values(phase, "bytes in in the busiest second", &peaks(|sample| sample.peak.1));
        let cpu = (to.cpu() - from.cpu()).as_secs_f64() / span / after.len().max(1) as f64;
        self.record(phase, "processor time a hollow node (us/s)", cpu * 1e6);
        let pairs: Vec<_> =
            from.real.iter().zip(&to.real).filter_map(|(a, b)| Some((a.as_ref()?, b.as_ref()?))).collect();
        let cpu: Vec<f64> = pairs
            .iter()
            .map(|(then, now)| now.0.cpu.saturating_sub(then.0.cpu).as_secs_f64() / span * 1e6)
            .collect();
        let bytes: Vec<f64> = pairs
            .iter()
            .map(|(then, now)| {
                let bytes_sent = |counters: &BTreeMap<String, u64>| {
                    counters.get("members_sent_bytes").copied().unwrap_or_default()
                };
                bytes_sent(&now.1).saturating_sub(bytes_sent(&then.1)) as f64 / span
            })
            .collect();
        self.record_values(phase, "processor time a real node (us/s)", &cpu);
        self.record_values(phase, "bytes out a real node and second", &bytes);
    }

    /// Runs all phases of the plan and records their rows.
    async fn run_phases(&mut self) -> io::Result<()> {
        self.start_all().await?;
        let phase = "quiet";
        // The gossip about the start ends before the baseline is measured.
        sleep(self.settle_time()).await;
        let from = self.snapshot().await;
        self.hollows.take_observations().await;
        sleep(Duration::from_secs_f64(self.plan.quiet_s)).await;
        let to = self.snapshot().await;
        self.record_costs(phase, &from, &to);
        self.quiet_bytes_per_s = mean_bytes_sent_per_s(&from, &to);
        let seen = self.hollows.take_observations().await;
        let dead = seen.iter().filter(|seen| seen.change == ObservedChange::Died).count();
        self.record(phase, "held dead though well (pairs)", dead as f64);
        self.record_memory(phase, &to);
        self.record_operator_view(phase).await;
        if self.plan.config_changes > 0 {
            self.run_config_changes().await;
        }
        if self.plan.deaths > 0 {
            self.run_deaths().await;
        }
        if self.plan.lose_zone {
            self.wait_for_gossip_end("start").await;
            self.run_zone_loss().await;
        }
        if self.plan.partition_s > 0.0 {
            self.wait_for_gossip_end("zone back").await;
            self.run_partition().await;
        }
        Ok(())
    }

    /// Starts the hollow members within [`START_SPREAD`] and, during that time, the real ones. Three members
    /// are the seeds. Waits until all members list each other.
    async fn start_all(&mut self) -> io::Result<()> {
        let phase = "start of all";
        info!(members = self.size.members, real = self.size.real, "scale run started");
        let from = self.snapshot().await;
        let mut starts = JoinSet::new();
        for node in &self.real {
            let node = node.clone();
            starts.spawn_local(async move { node.start().await });
        }
        let hollow: Vec<NodeSpec> =
            self.specs.iter().filter(|spec| !self.real_numbers.contains(&spec.number)).cloned().collect();
        let pause = START_SPREAD / u32::try_from(hollow.len()).unwrap_or(1).max(1);
        let start = self.network.now();
        for spec in hollow {
            self.hollow_alive.insert(spec.number);
            self.hollows.start(spec);
            sleep(pause).await;
        }
        while let Some(started) = starts.join_next().await {
            started.map_err(io::Error::other).flatten()?;
        }
        let complete = self.wait_for_member_count(phase, start, self.size.members).await;
        let to = self.snapshot().await;
        // The counters of each node start at 0, so their values are the totals of this phase.
        let span = (to.at - start).as_secs_f64();
        let sent: Vec<f64> =
            to.nodes().values().map(|sample| sample.stats.counters.sent_bytes as f64 / span).collect();
        self.record_values(phase, "bytes out a node and second", &sent);
        let peaks: Vec<f64> = to.nodes().values().map(|sample| sample.peak.0 as f64).collect();
        self.record_values(phase, "bytes out in the busiest second", &peaks);
        let cpu = (to.cpu() - from.cpu()).as_secs_f64() / self.hollow_alive.len().max(1) as f64;
        self.record(phase, "processor time a hollow node (us)", cpu * 1e6);
        if !complete {
            warn!(members = self.size.members, "cluster start incomplete: not all members see each other");
        }
        Ok(())
    }

    /// Waits until every node lists `members` members, and records the time until the hollow nodes, and each
    /// real node, list them.
    ///
    /// Returns whether all nodes list them before the timeout.
    async fn wait_for_member_count(&mut self, phase: &str, start: Micros, members: usize) -> bool {
        let deadline = start + Micros(u64::try_from(self.learn_timeout().as_micros()).unwrap_or(u64::MAX));
        let (mut hollow, mut real) = (None, vec![None; self.real.len()]);
        loop {
            let now = self.network.now();
            let samples = self.hollows.sample().await;
            let counts: Vec<usize> = samples
                .iter()
                .flat_map(|thread| &thread.nodes)
                .map(|node| node.stats.alive + node.stats.suspect)
                .collect();
            if counts.len() == self.hollow_alive.len() && counts.iter().all(|&count| count == members) {
                hollow.get_or_insert(now);
            }
            self.poll_real_nodes(&mut real, members).await;
            let all_real = real.iter().all(Option::is_some);
            let timed_out = now > deadline;
            if timed_out || hollow.is_some() && all_real {
                let after = |at: Micros| (at - start).as_secs_f64();
                match hollow {
                    Some(at) => self.record(phase, "all hollow nodes see all after (s)", after(at)),
                    None => {
                        let unaware = counts.iter().filter(|&&count| count != members).count();
                        self.record(phase, "hollow nodes that did not see all in time", unaware as f64);
                    }
                }
                self.record_real_delays(phase, "a real node sees all after (s)", start, &real);
                return hollow.is_some() && all_real;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls the real nodes and stores in `listed_at` the time at which each first listed `members` members.
    async fn poll_real_nodes(&self, listed_at: &mut [Option<Micros>], members: usize) {
        for (node, listed_at) in self.real.iter().zip(listed_at).filter(|(_, listed_at)| listed_at.is_none())
        {
            let Some(admin) = node.process.borrow().as_ref().map(|process| process.admin) else { continue };
            let Some(figures) = read_counters(admin).await else { continue };
            let counter = |name: &str| figures.get(name).copied().unwrap_or_default();
            if counter("members_alive") + counter("members_suspect") == members as u64 {
                *listed_at = Some(self.network.now());
            }
        }
    }

    fn record_real_delays(&mut self, phase: &str, figure: &str, start: Micros, listed_at: &[Option<Micros>]) {
        let after: Vec<f64> = listed_at.iter().flatten().map(|at| (*at - start).as_secs_f64()).collect();
        self.record_values(phase, figure, &after);
        if !listed_at.is_empty() {
            self.record(
                phase,
                "real nodes that did not know in time",
                (listed_at.len() - after.len()) as f64,
            );
        }
    }

    fn record_memory(&mut self, phase: &str, snapshot: &Snapshot) {
        let own = resident_memory().saturating_sub(self.initial_memory) as f64;
        self.record(phase, "memory a hollow node (KB)", own / self.hollow_alive.len().max(1) as f64 / 1e3);
        let real: Vec<f64> =
            snapshot.real.iter().flatten().map(|(used, _)| used.resident as f64 / 1e3).collect();
        self.record_values(phase, "memory a real node (KB)", &real);
    }

    /// Waits until the gossip about earlier changes has ended, that is until the nodes send little more than
    /// in the quiet phase. Stops waiting after [`MAX_GOSSIP_PERIODS`].
    async fn wait_for_gossip_end(&mut self, phase: &str) {
        let start = self.network.now();
        let deadline = Duration::from_secs_f64(MAX_GOSSIP_PERIODS * self.plan.period_s());
        loop {
            let from = self.snapshot().await;
            sleep(Duration::from_secs_f64(5.0 * self.plan.period_s())).await;
            let now = mean_bytes_sent_per_s(&from, &self.snapshot().await);
            let after = (self.network.now() - start).as_secs_f64();
            if now < 1.3 * self.quiet_bytes_per_s {
                return self.record(phase, "told out after (s)", after);
            }
            if after > deadline.as_secs_f64() {
                return self.record(phase, "not told out after (s)", after);
            }
        }
    }

    /// Records the size and the latency of each real node's answer to `/members`, with which operators list
    /// all members.
    async fn record_operator_view(&mut self, phase: &str) {
        let (mut bytes, mut spans) = (Vec::new(), Vec::new());
        for node in &self.real {
            let Some(admin) = node.process.borrow().as_ref().map(|process| process.admin) else { continue };
            let from = self.network.now();
            if let Ok(Ok((200, view))) =
                timeout(ADMIN_CALL_TIMEOUT, nodes::admin_get(admin, "/members")).await
            {
                bytes.push(view.len() as f64 / 1e3);
                spans.push((self.network.now() - from).as_secs_f64() * 1e3);
            }
        }
        self.record_values(phase, "view for operators (KB)", &bytes);
        self.record_values(phase, "view for operators after (ms)", &spans);
    }

    /// Waits until each observer has learned each change, and returns the observations. The keys of `changes`
    /// are the subjects.
    ///
    /// With `real_members` it also waits until each real node lists this number of members, and returns when
    /// each one first did.
    async fn wait_until_learned(
        &mut self,
        phase: &str,
        observers: &BTreeSet<usize>,
        changes: &BTreeMap<usize, (ObservedChange, Micros)>,
        real_members: Option<usize>,
    ) -> (Vec<Observation>, Vec<Option<Micros>>) {
        let start = changes.values().map(|(_, at)| *at).fold(Micros(0), Micros::max);
        let deadline = start + Micros(u64::try_from(self.learn_timeout().as_micros()).unwrap_or(u64::MAX));
        let mut pending: BTreeSet<(usize, usize)> = changes
            .keys()
            .flat_map(|subject| observers.iter().map(move |observer| (*observer, *subject)))
            .filter(|(observer, subject)| observer != subject)
            .collect();
        let mut observations = Vec::new();
        let mut real_listed_at = vec![None; if real_members.is_some() { self.real.len() } else { 0 }];
        loop {
            for seen in self.hollows.take_observations().await {
                let matches_change = changes
                    .get(&seen.subject)
                    .is_some_and(|(change, at)| *change == seen.change && *at <= seen.at);
                if matches_change && pending.remove(&(seen.observer, seen.subject))
                    || seen.change == ObservedChange::Suspected
                {
                    observations.push(seen);
                }
            }
            if let Some(members) = real_members {
                self.poll_real_nodes(&mut real_listed_at, members).await;
            }
            let now = self.network.now();
            if pending.is_empty() && real_listed_at.iter().all(Option::is_some) || now > deadline {
                self.record(phase, "pairs not known in time", pending.len() as f64);
                return (observations, real_listed_at);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the time until each change reached half of the nodes, the time until it reached all of them,
    /// and for deaths the time until the first suspicion.
    fn record_propagation(
        &mut self,
        phase: &str,
        changes: &BTreeMap<usize, (ObservedChange, Micros)>,
        observations: &[Observation],
    ) {
        let (mut half_know, mut all_know, mut first_suspected) = (Vec::new(), Vec::new(), Vec::new());
        for (node, (change, changed_at)) in changes {
            let about_subject = |seen: &&Observation| seen.subject == *node && *changed_at <= seen.at;
            let mut times: Vec<f64> = (observations.iter().filter(about_subject))
                .filter(|seen| seen.change == *change)
                .map(|seen| (seen.at - *changed_at).as_secs_f64())
                .collect();
            times.sort_by(f64::total_cmp);
            half_know.extend(times.get(times.len() / 2));
            all_know.extend(times.last());
            let suspected = observations
                .iter()
                .filter(about_subject)
                .filter(|seen| seen.change == ObservedChange::Suspected);
            if *change == ObservedChange::Died {
                first_suspected
                    .extend(suspected.map(|seen| (seen.at - *changed_at).as_secs_f64()).reduce(f64::min));
            }
        }
        self.record_values(phase, "first suspected after (s)", &first_suspected);
        self.record_values(phase, "half know after (s)", &half_know);
        self.record_values(phase, "all know after (s)", &all_know);
        let periods: Vec<f64> = all_know.iter().map(|s| s / self.plan.period_s()).collect();
        self.record_values(phase, "all know after (periods)", &periods);
    }

    /// Returns up to `count` running hollow nodes that are neither control nodes nor in the zone that is
    /// lost.
    fn ordinary_hollow_nodes(&self, count: usize) -> Vec<usize> {
        let candidates =
            self.hollow_alive.iter().rev().copied().filter(|number| self.plan.is_ordinary(*number));
        candidates.take(count).collect()
    }
}

/// Returns the resident anonymous memory of this process, in bytes; 0 if it can't be read.
fn resident_memory() -> u64 {
    let pid = i32::try_from(std::process::id()).unwrap_or_default();
    usage(pid).map_or(0, |used| used.resident)
}

/// Returns the settings of real nodes, which are the same as in the lab's schedules.
pub(crate) fn lab_settings(zones: &[String]) -> Result<serde_json::Value, ScheduleError> {
    let zones: Vec<String> = zones.iter().map(|zone| format!("{zone:?}")).collect();
    let text = format!(
        "title = \"measure\"\nlength_s = 1.0\n[nodes]\ncount = 1\nzones = [{}]\n[hosts]\ncount = 1\n\
         [[clients]]\nclass = \"chat\"\nsemantics = \"retryable\"\ncount = 1\n",
        zones.join(", ")
    );
    Ok(settings(&Plan::parse("measure", &text, None)?))
}

/// Returns a factory that gives no node an extra core.
pub fn no_extra_cores() -> ExtraCoreFactory {
    Arc::new(|_| None)
}
