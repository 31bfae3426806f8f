//! Scale runs: hollow nodes ([`crate::hollow`]) with real ones among them, at several sizes, and what membership costs and
//! how long its news takes at each.

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
use crate::hollow::{Hollows, Look, Looks, MakePart, Network, Seen, Setup, Spec, What};
use crate::processes::discovery::{Discovery, HostEntry};
use crate::processes::nodes::{self, Node, RunDir};
use crate::processes::{self, LoopbackAddresses, interrupt_signal, settings};
use crate::real::{Usage, counters, usage};
use crate::schedule::{Plan, ScheduleError};
use crate::tables::Row;

mod phases;
mod plan;

pub use plan::{Runs, RunsError, Size};

/// Where members' datagrams arrive.
const MEMBERS: u16 = 7_946;
/// How often is looked whether something is known everywhere; what a real node sees is known this exactly.
const LOOK: Duration = Duration::from_millis(100);
/// All hollow nodes start within this.
const STARTS: Duration = Duration::from_secs(1);
/// Nothing is given up before this.
const LEAST_BOUND: Duration = Duration::from_secs(20);
/// What happened before is waited for no longer than these periods.
const MOST_TOLD: f64 = 120.0;
/// An operator's call is given up after this.
const CALL: Duration = Duration::from_secs(10);
/// Between two deaths, and between two pieces of news.
const APART: Duration = Duration::from_secs(2);
/// The cluster's key: these nodes have nothing to hide.
const KEY: [u8; 32] = [0x5a; 32];

/// Why scale runs ended early.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The system refused a resource that a run needs.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// There are no loopback addresses for the run.
    #[error(transparent)]
    Addresses(#[from] processes::RunError),
    /// The settings of the real nodes are invalid.
    #[error(transparent)]
    Settings(#[from] ScheduleError),
    /// The cluster's key is invalid.
    #[error("no key")]
    Key,
    /// A real node did not start.
    #[error("{members} members: {source}")]
    Start {
        /// The size of the run.
        members: usize,
        /// Why the node did not start.
        source: io::Error,
    },
    /// A signal ended the run.
    #[error("interrupted")]
    Interrupted,
}

/// Why a size was not played to its end.
enum Cut {
    /// It took too long.
    Late,
    /// Something did not start.
    Failed(io::Error),
    /// A person or a program ended it.
    Interrupted,
}

/// Plays all sizes; each size's figures are handed to `done` as it ends.
///
/// # Errors
///
/// If a size could not be set up, a real node did not start, or a signal ended the run. A size that took too long is
/// logged, and the next one is played.
pub fn run(
    runs: &Runs,
    program: &Path,
    parts: &MakePart,
    mut done: impl FnMut(Size, &[Row]),
) -> Result<(), ScaleError> {
    for size in &runs.sizes {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (rows, played) = LocalSet::new().block_on(&runtime, async {
            let mut fleet = Fleet::build(runs, *size, program, parts).await?;
            let most = Duration::from_secs_f64(runs.most_s);
            let played = tokio::select! {
                played = timeout(most, fleet.play()) => played.map_err(|_| Cut::Late).and_then(|played| played.map_err(Cut::Failed)),
                () = interrupt_signal() => Err(Cut::Interrupted),
            };
            fleet.end().await;
            Ok::<_, ScaleError>((std::mem::take(&mut fleet.rows), played))
        })?;
        // What was measured until then stays.
        done(*size, &rows);
        match played {
            Ok(()) => {}
            // The sizes that follow are not kept from their turn.
            Err(Cut::Late) => warn!("{} members: not done after {} s", size.members, runs.most_s),
            Err(Cut::Failed(source)) => return Err(ScaleError::Start { members: size.members, source }),
            Err(Cut::Interrupted) => return Err(ScaleError::Interrupted),
        }
    }
    Ok(())
}

/// All members of one run.
struct Fleet<'a> {
    runs: &'a Runs,
    size: Size,
    specs: Vec<Spec>,
    network: Arc<Network>,
    hollows: Hollows,
    real: Vec<Rc<Node>>,
    /// Which numbers are real.
    real_numbers: BTreeSet<usize>,
    hollow_alive: BTreeSet<usize>,
    discovery: Vec<JoinHandle<()>>,
    rows: Vec<Row>,
    before: u64,
    /// Bytes out a node and second while nothing happens.
    quiet: f64,
    _folder: RunDir,
    _addresses: LoopbackAddresses,
}

/// What was counted at one moment.
struct Meter {
    at: Micros,
    looks: Vec<Looks>,
    real: Vec<Option<(Usage, BTreeMap<String, u64>)>>,
}

impl Meter {
    fn nodes(&self) -> BTreeMap<usize, Look> {
        self.looks.iter().flat_map(|looks| &looks.nodes).map(|look| (look.number, *look)).collect()
    }

    fn cpu(&self) -> Duration {
        self.looks.iter().map(|looks| looks.cpu).sum()
    }
}

/// Bytes that all hollow nodes sent in a second, in the mean of them.
fn sent(from: &Meter, to: &Meter) -> f64 {
    let before = from.nodes();
    let spans: Vec<f64> = (to.nodes().iter())
        .filter_map(|(number, now)| {
            let then = before.get(number)?;
            Some(now.counts.counters.sent_bytes.saturating_sub(then.counts.counters.sent_bytes) as f64)
        })
        .collect();
    spans.iter().sum::<f64>() / spans.len().max(1) as f64 / (to.at - from.at).as_secs_f64()
}

impl<'a> Fleet<'a> {
    async fn build(runs: &'a Runs, size: Size, program: &Path, parts: &MakePart) -> Result<Self, ScaleError> {
        let at = LoopbackAddresses::reserve().await?;
        let folder = RunDir::new(size.members as u32 + 10_000)?;
        let zone = |number| format!("z{}", runs.zone_of(number));
        let specs: Vec<Spec> = (0..size.members)
            .map(|number| {
                let kind = if number < runs.control { "c" } else { "n" };
                let address = at.extended(number, MEMBERS);
                Spec { number, name: format!("{kind}{number}"), zone: zone(number), address }
            })
            .collect();
        let regions = specs.iter().map(|spec| (spec.address, runs.region_of(spec.number))).collect();
        let network = Network::new(regions);
        let mut settings = MembershipConfig::with_period(Micros::from_millis(runs.period_ms));
        settings.suspicion_multiplier = runs.suspicion;
        let codec = DatagramCodec::new("scale", &[KEY.to_vec()]).map_err(|_| ScaleError::Key)?;
        let seeds: Vec<SocketAddr> = specs.iter().take(3).map(|spec| spec.address).collect();
        let numbers: Vec<usize> =
            (0..size.members).filter(|&number| runs.may_be_real(number)).take(size.real).collect();
        let known = specs.iter().filter(|spec| runs.know_all && !numbers.contains(&spec.number));
        let setup = Setup {
            known: Arc::new(known.cloned().collect()),
            settings,
            codec,
            seeds: seeds.clone(),
            network: network.clone(),
            seed: runs.seed,
            parts: parts.clone(),
        };
        let before = own_resident();
        let hollows = Hollows::new(runs.threads, &setup)?;
        let history = Rc::new(History::discard());
        let list = at.extended(0, 8_500);
        let entry = HostEntry { health: "up", zone: zone(0), started_ms: 0 };
        let host = at.extended(0, 9_009);
        let list_of = Discovery::new(vec![entry], 1, Duration::ZERO, history.clone(), move |_, _| host);
        let mut discovery = Vec::new();
        if !numbers.is_empty() {
            discovery.push(spawn_local(async move {
                if let Err(error) = list_of.serve(0, list).await {
                    warn!("discovery: {error}");
                }
            }));
        }
        let zones: Vec<String> = (0..runs.zones).map(zone).collect();
        let mut real = Vec::new();
        for &number in &numbers {
            let spec = &specs[number];
            let dir = folder.path().join(&spec.name);
            std::fs::create_dir_all(&dir)?;
            let file = dir.join("cluster.toml");
            let quoted: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
            let key: String = KEY.iter().map(|byte| format!("{byte:02x}")).collect();
            let cluster = format!(
                "name = \"scale\"\nlisten = \"{}\"\nseeds = [{}]\nkeys = [\"{key}\"]\nperiod_ms = {}\nsuspicion = {:?}\n",
                spec.address,
                quoted.join(", "),
                runs.period_ms,
                runs.suspicion
            );
            std::fs::write(&file, cluster)?;
            let mut node_settings = settings_of(&zones)?;
            node_settings["my_zone"] = json!(runs.zone_of(number));
            let listen = at.extended(number, 9_000);
            real.push(Rc::new(Node {
                number,
                program: program.to_owned(),
                dir,
                config: nodes::node_config(&spec.name, listen, list, node_settings).into(),
                listen,
                admin: [at.extended(number, 9_001), at.extended(number, 9_002)],
                args: vec!["--cluster".to_owned(), file.display().to_string()],
                history: history.clone(),
                process: Default::default(),
                started: Default::default(),
                up: tokio::sync::watch::Sender::new(None),
            }));
        }
        Ok(Fleet {
            runs,
            size,
            specs,
            network,
            hollows,
            real,
            real_numbers: numbers.into_iter().collect(),
            hollow_alive: BTreeSet::new(),
            discovery,
            rows: Vec::new(),
            before,
            quiet: 0.0,
            _folder: folder,
            _addresses: at,
        })
    }

    async fn end(&mut self) {
        for node in &self.real {
            let process = node.process.take();
            if let Some(process) = process {
                process.kill().await;
            }
        }
        self.discovery.iter().for_each(JoinHandle::abort);
    }

    fn add(&mut self, row: Option<Row>) {
        self.rows.extend(row);
    }

    fn one(&mut self, phase: &str, figure: &str, value: f64) {
        self.rows.push(Row::one(self.size.members as f64, phase, figure, value));
    }

    fn values(&mut self, phase: &str, figure: &str, values: &[f64]) {
        let row = Row::of(self.size.members as f64, phase, figure, values);
        self.add(row);
    }

    /// The longest that is waited for all to know something: well beyond the members' bound.
    fn bound(&self) -> Duration {
        let periods = 30.0 + 10.0 * (self.size.members as f64).log2();
        // Short periods on a busy machine: late is not never.
        Duration::from_secs_f64(periods * self.runs.period_s()).max(LEAST_BOUND)
    }

    /// After this nobody tells of what all know: each rumor is told 3 log2(N) times, about twice a period.
    fn settle(&self) -> Duration {
        let periods = 3.0 * (self.size.members as f64).log2();
        Duration::from_secs_f64(periods * self.runs.period_s())
    }

    async fn meter(&self) -> Meter {
        let mut real = Vec::new();
        for node in &self.real {
            real.push(self.read(node).await);
        }
        Meter { at: self.network.now(), looks: self.hollows.meter().await, real }
    }

    async fn read(&self, node: &Node) -> Option<(Usage, BTreeMap<String, u64>)> {
        let process = node.process.borrow().clone()?;
        // First: answering costs processor time.
        let used = usage(process.pid()).ok()?;
        Some((used, counters(process.admin).await?))
    }

    /// What each node used from one moment to another.
    fn costs(&mut self, phase: &str, from: &Meter, to: &Meter) {
        let span = (to.at - from.at).as_secs_f64();
        let (before, after) = (from.nodes(), to.nodes());
        let both: Vec<(Look, Look)> = after
            .iter()
            .filter_map(|(number, now)| Some((*before.get(number)?, *now)))
            .filter(|(then, now)| now.counts.counters.sent >= then.counts.counters.sent)
            .collect();
        let each = |of: &dyn Fn(&Look) -> u64| -> Vec<f64> {
            both.iter().map(|(then, now)| of(now).saturating_sub(of(then)) as f64 / span).collect()
        };
        let out = each(&|look| look.counts.counters.sent_bytes + look.part[1]);
        let into = each(&|look| look.came_bytes + look.part[3]);
        let sent = each(&|look| look.counts.counters.sent + look.part[0]);
        let came = each(&|look| look.came + look.part[2]);
        let held: Vec<f64> = both
            .iter()
            .map(|(then, now)| (now.counts.counters.rate_limited - then.counts.counters.rate_limited) as f64)
            .collect();
        self.values(phase, "bytes out a node and second", &out);
        self.values(phase, "bytes in a node and second", &into);
        self.values(phase, "datagrams out a node and second", &sent);
        self.values(phase, "datagrams in a node and second", &came);
        self.values(phase, "datagrams held back a node", &held);
        let peaks =
            |of: fn(&Look) -> u64| -> Vec<f64> { after.values().map(|look| of(look) as f64).collect() };
        self.values(phase, "bytes out in the busiest second", &peaks(|look| look.peak.0));
        self.values(phase, "bytes in in the busiest second", &peaks(|look| look.peak.1));
        let cpu = (to.cpu() - from.cpu()).as_secs_f64() / span / after.len().max(1) as f64;
        self.one(phase, "processor time a hollow node (us/s)", cpu * 1e6);
        let pairs: Vec<_> =
            from.real.iter().zip(&to.real).filter_map(|(a, b)| Some((a.as_ref()?, b.as_ref()?))).collect();
        let cpu: Vec<f64> = pairs
            .iter()
            .map(|(then, now)| now.0.cpu.saturating_sub(then.0.cpu).as_secs_f64() / span * 1e6)
            .collect();
        let bytes: Vec<f64> = pairs
            .iter()
            .map(|(then, now)| {
                let of =
                    |all: &BTreeMap<String, u64>| all.get("members_sent_bytes").copied().unwrap_or_default();
                of(&now.1).saturating_sub(of(&then.1)) as f64 / span
            })
            .collect();
        self.values(phase, "processor time a real node (us/s)", &cpu);
        self.values(phase, "bytes out a real node and second", &bytes);
    }

    async fn play(&mut self) -> io::Result<()> {
        self.start().await?;
        let phase = "quiet";
        // What the start itself was news of is told by then.
        sleep(self.settle()).await;
        let from = self.meter().await;
        self.hollows.seen().await;
        sleep(Duration::from_secs_f64(self.runs.quiet_s)).await;
        let to = self.meter().await;
        self.costs(phase, &from, &to);
        self.quiet = sent(&from, &to);
        let seen = self.hollows.seen().await;
        let dead = seen.iter().filter(|seen| seen.what == What::Died).count();
        self.one(phase, "held dead though well (pairs)", dead as f64);
        self.memory(phase, &to);
        self.operators(phase).await;
        if self.runs.news > 0 {
            self.news().await;
        }
        if self.runs.deaths > 0 {
            self.deaths().await;
        }
        if self.runs.zone {
            self.told_out("start").await;
            self.zone().await;
        }
        if self.runs.parted_s > 0.0 {
            self.told_out("zone back").await;
            self.parted().await;
        }
        Ok(())
    }

    /// All members start within a second, and know three of them.
    async fn start(&mut self) -> io::Result<()> {
        let phase = "start of all";
        info!("{} members, {} of them real: start", self.size.members, self.size.real);
        let from = self.meter().await;
        let mut starts = JoinSet::new();
        for node in &self.real {
            let node = node.clone();
            starts.spawn_local(async move { node.start().await });
        }
        let hollow: Vec<Spec> =
            self.specs.iter().filter(|spec| !self.real_numbers.contains(&spec.number)).cloned().collect();
        let pause = STARTS / u32::try_from(hollow.len()).unwrap_or(1).max(1);
        let began = self.network.now();
        for spec in hollow {
            self.hollow_alive.insert(spec.number);
            self.hollows.start(spec);
            sleep(pause).await;
        }
        while let Some(started) = starts.join_next().await {
            started.map_err(io::Error::other).flatten()?;
        }
        let known = self.until_all_see(phase, began, self.size.members).await;
        let to = self.meter().await;
        // Nothing was counted before a node began: all that it sent counts.
        let span = (to.at - began).as_secs_f64();
        let sent: Vec<f64> =
            to.nodes().values().map(|look| look.counts.counters.sent_bytes as f64 / span).collect();
        self.values(phase, "bytes out a node and second", &sent);
        let peaks: Vec<f64> = to.nodes().values().map(|look| look.peak.0 as f64).collect();
        self.values(phase, "bytes out in the busiest second", &peaks);
        let cpu = (to.cpu() - from.cpu()).as_secs_f64() / self.hollow_alive.len().max(1) as f64;
        self.one(phase, "processor time a hollow node (us)", cpu * 1e6);
        if !known {
            warn!("{} members: not all found each other in time", self.size.members);
        }
        Ok(())
    }

    /// Waits until every node counts so many members; writes down when hollow and real ones did.
    async fn until_all_see(&mut self, phase: &str, began: Micros, members: usize) -> bool {
        let last = began + Micros(u64::try_from(self.bound().as_micros()).unwrap_or(u64::MAX));
        let (mut hollow, mut real) = (None, vec![None; self.real.len()]);
        loop {
            let now = self.network.now();
            let looks = self.hollows.look().await;
            let counts: Vec<usize> =
                looks.iter().flat_map(|l| &l.nodes).map(|l| l.counts.alive + l.counts.suspect).collect();
            if counts.len() == self.hollow_alive.len() && counts.iter().all(|&count| count == members) {
                hollow.get_or_insert(now);
            }
            self.ask_real(&mut real, members).await;
            let all_real = real.iter().all(Option::is_some);
            let over = now > last;
            if over || hollow.is_some() && all_real {
                let after = |at: Micros| (at - began).as_secs_f64();
                match hollow {
                    Some(at) => self.one(phase, "all hollow nodes see all after (s)", after(at)),
                    None => {
                        let not = counts.iter().filter(|&&count| count != members).count();
                        self.one(phase, "hollow nodes that did not see all in time", not as f64);
                    }
                }
                self.real_after(phase, "a real node sees all after (s)", began, &real);
                return hollow.is_some() && all_real;
            }
            sleep(LOOK).await;
        }
    }

    /// Notes the time of each real node that counts so many members for the first time.
    async fn ask_real(&self, known: &mut [Option<Micros>], members: usize) {
        for (node, known) in self.real.iter().zip(known).filter(|(_, known)| known.is_none()) {
            let Some(admin) = node.process.borrow().as_ref().map(|process| process.admin) else { continue };
            let Some(figures) = counters(admin).await else { continue };
            let of = |name: &str| figures.get(name).copied().unwrap_or_default();
            if of("members_alive") + of("members_suspect") == members as u64 {
                *known = Some(self.network.now());
            }
        }
    }

    fn real_after(&mut self, phase: &str, figure: &str, began: Micros, known: &[Option<Micros>]) {
        let after: Vec<f64> = known.iter().flatten().map(|at| (*at - began).as_secs_f64()).collect();
        self.values(phase, figure, &after);
        if !known.is_empty() {
            self.one(phase, "real nodes that did not know in time", (known.len() - after.len()) as f64);
        }
    }

    fn memory(&mut self, phase: &str, meter: &Meter) {
        let own = own_resident().saturating_sub(self.before) as f64;
        self.one(phase, "memory a hollow node (KB)", own / self.hollow_alive.len().max(1) as f64 / 1e3);
        let real: Vec<f64> =
            meter.real.iter().flatten().map(|(used, _)| used.resident as f64 / 1e3).collect();
        self.values(phase, "memory a real node (KB)", &real);
    }

    /// Waits until nodes send little more than in the quiet time: what happened before is told no more. Not for ever.
    async fn told_out(&mut self, phase: &str) {
        let began = self.network.now();
        let last = Duration::from_secs_f64(MOST_TOLD * self.runs.period_s());
        loop {
            let from = self.meter().await;
            sleep(Duration::from_secs_f64(5.0 * self.runs.period_s())).await;
            let now = sent(&from, &self.meter().await);
            let after = (self.network.now() - began).as_secs_f64();
            if now < 1.3 * self.quiet {
                return self.one(phase, "told out after (s)", after);
            }
            if after > last.as_secs_f64() {
                return self.one(phase, "not told out after (s)", after);
            }
        }
    }

    /// What an operator's call for all members brings.
    async fn operators(&mut self, phase: &str) {
        let (mut bytes, mut spans) = (Vec::new(), Vec::new());
        for node in &self.real {
            let Some(admin) = node.process.borrow().as_ref().map(|process| process.admin) else { continue };
            let from = self.network.now();
            if let Ok(Ok((200, view))) = timeout(CALL, nodes::admin_get(admin, "/members")).await {
                bytes.push(view.len() as f64 / 1e3);
                spans.push((self.network.now() - from).as_secs_f64() * 1e3);
            }
        }
        self.values(phase, "view for operators (KB)", &bytes);
        self.values(phase, "view for operators after (ms)", &spans);
    }

    /// Waits until each of these learned each of those, and returns when: the last time for each of those.
    async fn until_learned(
        &mut self,
        phase: &str,
        by: &BTreeSet<usize>,
        of: &BTreeMap<usize, (What, Micros)>,
        real: Option<usize>,
    ) -> (Vec<Seen>, Vec<Option<Micros>>) {
        let began = of.values().map(|(_, at)| *at).fold(Micros(0), Micros::max);
        let last = began + Micros(u64::try_from(self.bound().as_micros()).unwrap_or(u64::MAX));
        let mut wanted: BTreeSet<(usize, usize)> = of
            .keys()
            .flat_map(|of| by.iter().map(move |by| (*by, *of)))
            .filter(|(by, of)| by != of)
            .collect();
        let mut learned = Vec::new();
        let mut real_known = vec![None; if real.is_some() { self.real.len() } else { 0 }];
        loop {
            for seen in self.hollows.seen().await {
                let about = of.get(&seen.of).is_some_and(|(what, at)| *what == seen.what && *at <= seen.at);
                if about && wanted.remove(&(seen.by, seen.of)) || seen.what == What::Suspected {
                    learned.push(seen);
                }
            }
            if let Some(members) = real {
                self.ask_real(&mut real_known, members).await;
            }
            let now = self.network.now();
            if wanted.is_empty() && real_known.iter().all(Option::is_some) || now > last {
                self.one(phase, "pairs not known in time", wanted.len() as f64);
                return (learned, real_known);
            }
            sleep(LOOK).await;
        }
    }

    /// How long each piece took to half of the nodes, and to all.
    fn spread(&mut self, phase: &str, of: &BTreeMap<usize, (What, Micros)>, learned: &[Seen]) {
        let (mut half, mut all, mut first) = (Vec::new(), Vec::new(), Vec::new());
        for (node, (what, began)) in of {
            let about = |seen: &&Seen| seen.of == *node && *began <= seen.at;
            let mut times: Vec<f64> = (learned.iter().filter(about))
                .filter(|seen| seen.what == *what)
                .map(|seen| (seen.at - *began).as_secs_f64())
                .collect();
            times.sort_by(f64::total_cmp);
            half.extend(times.get(times.len() / 2));
            all.extend(times.last());
            let suspected = learned.iter().filter(about).filter(|seen| seen.what == What::Suspected);
            if *what == What::Died {
                first.extend(suspected.map(|seen| (seen.at - *began).as_secs_f64()).reduce(f64::min));
            }
        }
        self.values(phase, "first suspected after (s)", &first);
        self.values(phase, "half know after (s)", &half);
        self.values(phase, "all know after (s)", &all);
        let periods: Vec<f64> = all.iter().map(|s| s / self.runs.period_s()).collect();
        self.values(phase, "all know after (periods)", &periods);
    }

    /// Hollow nodes that are neither control machines nor of the zone that is lost.
    fn ordinary(&self, count: usize) -> Vec<usize> {
        let able = self.hollow_alive.iter().rev().copied().filter(|number| self.runs.is_ordinary(*number));
        able.take(count).collect()
    }
}

/// Memory of this process's own, bytes; 0 where the system does not tell.
fn own_resident() -> u64 {
    let pid = i32::try_from(std::process::id()).unwrap_or_default();
    usage(pid).map_or(0, |used| used.resident)
}

/// The settings that real nodes have: those of the lab's schedules.
pub(crate) fn settings_of(zones: &[String]) -> Result<serde_json::Value, ScheduleError> {
    let zones: Vec<String> = zones.iter().map(|zone| format!("{zone:?}")).collect();
    let text = format!(
        "title = \"measure\"\nlength_s = 1.0\n[nodes]\ncount = 1\nzones = [{}]\n[hosts]\ncount = 1\n\
         [[clients]]\nclass = \"chat\"\nsemantics = \"retryable\"\ncount = 1\n",
        zones.join(", ")
    );
    Ok(settings(&Plan::parse("measure", &text, None)?))
}

/// No node has a further core.
pub fn no_parts() -> MakePart {
    Arc::new(|_| None)
}
