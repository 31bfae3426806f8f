//! A simulated cluster: state machines of the replicated configuration with faulty clocks, disks and network,
//! in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use alderstile::types::Micros;
use alderstile_cluster::replicated_config::{
    DatagramCodec, Effect, InvalidDocument, PersistedState, ProposalOutcome, ReplicatedConfig,
    ReplicationSettings, Role,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const KEY: &[u8] = b"sixteen bytes or more";

pub fn codec() -> DatagramCodec {
    DatagramCodec::new("test", &[KEY.to_vec()]).expect("a valid codec")
}

pub fn address(n: usize) -> SocketAddr {
    format!("10.0.{}.{}:7950", n / 200, n % 200 + 1).parse().expect("a valid address")
}

/// Accepts any document that does not begin with `!`.
pub fn validate_document(document: &[u8]) -> Result<(), InvalidDocument> {
    if document.first() == Some(&b'!') {
        Err(InvalidDocument("the key ! is unknown".to_owned()))
    } else {
        Ok(())
    }
}

/// One process: its state machine, its clock, and a record of its activity.
pub struct Process {
    pub core: Option<ReplicatedConfig>,
    /// When the process started, in microseconds of true time.
    pub started_at_us: u64,
    /// The rate of the process's clock relative to true time.
    pub clock_rate: f64,
    /// The number of starts. Wakes scheduled before the last start are ignored.
    pub incarnation: u64,
    /// The persisted state; non-voters have none.
    pub disk: Option<PersistedState>,
    pub disk_fails: bool,
    pub paused: bool,
    /// Datagrams received while the process is paused.
    pub backlog: Vec<(SocketAddr, Vec<u8>)>,
    pub region: usize,
    /// The time spans in which the process acted on a version.
    pub active_spans: Vec<ActiveSpan>,
    /// The number of bytes sent in each second.
    pub sent_bytes_per_second: Vec<u32>,
}

/// A time span in which a process acted on a version, in microseconds of true time.
pub struct ActiveSpan {
    pub version: u64,
    pub from_us: f64,
    pub until_us: f64,
}

pub enum Event {
    Deliver(usize, SocketAddr, Vec<u8>),
    Wake(usize, u64),
}

/// The processes and the network between them, in simulated time.
pub struct SimulatedCluster {
    /// True time, in microseconds.
    pub now: u64,
    pub rng: Pcg64Mcg,
    pub voters: usize,
    pub settings: ReplicationSettings,
    pub processes: Vec<Process>,
    /// Scheduled events by time in microseconds, sequence number, and slot in `events`.
    pub queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub events: Vec<Option<Event>>,
    pub free_slots: Vec<usize>,
    pub last_sequence: u64,
    /// The probabilities that a datagram is lost or duplicated.
    pub loss: f64,
    pub duplication: f64,
    /// Whether the regions cannot reach each other.
    pub partitioned: bool,
    /// For each process, whether it can neither send nor receive.
    pub isolated: Vec<bool>,
    /// Minimum and maximum delay within a region and between regions, in microseconds.
    pub delay: [(u64, u64); 2],
    /// The outcomes of proposals by nonce.
    pub outcomes: BTreeMap<u64, ProposalOutcome>,
    /// For each process, when each version became active, in microseconds.
    pub activated_at_us: Vec<BTreeMap<u64, u64>>,
    /// The documents of all versions.
    pub documents: BTreeMap<u64, Vec<u8>>,
    /// Whether processes crash at random before an effect is executed.
    pub crash_between_effects: bool,
}

impl SimulatedCluster {
    /// Creates a cluster of `count` processes, of which the first `voters` are voters.
    pub fn new(seed: u64, count: usize, voters: usize, clocks_drift: bool) -> Self {
        SimulatedCluster::with_settings(
            seed,
            count,
            clocks_drift,
            ReplicationSettings::new((0..voters).map(address).collect(), None),
        )
    }

    pub fn with_settings(seed: u64, count: usize, clocks_drift: bool, settings: ReplicationSettings) -> Self {
        let (mut rng, voters) = (Pcg64Mcg::seed_from_u64(seed), settings.voters.len());
        let process = |n: usize, rng: &mut Pcg64Mcg| Process {
            core: None,
            started_at_us: 0,
            clock_rate: if clocks_drift { 1.0 + 0.002 * (2.0 * rng.random::<f64>() - 1.0) } else { 1.0 },
            incarnation: 0,
            disk: (n < voters).then(PersistedState::genesis),
            disk_fails: false,
            paused: false,
            backlog: Vec::new(),
            region: n % 2,
            active_spans: Vec::new(),
            sent_bytes_per_second: Vec::new(),
        };
        let processes = (0..count).map(|n| process(n, &mut rng)).collect();
        let mut cluster = SimulatedCluster {
            now: 0,
            rng,
            voters,
            settings,
            processes,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            last_sequence: 0,
            loss: 0.0,
            duplication: 0.0,
            partitioned: false,
            isolated: vec![false; count],
            delay: [(200, 1_500), (20_000, 45_000)],
            outcomes: BTreeMap::new(),
            activated_at_us: vec![BTreeMap::new(); count],
            documents: BTreeMap::new(),
            crash_between_effects: false,
        };
        (0..count).for_each(|n| cluster.start(n));
        cluster
    }

    /// Returns the current time by the clock of a process.
    pub fn local_time(&self, n: usize) -> Micros {
        let process = &self.processes[n];
        Micros(((self.now - process.started_at_us) as f64 * process.clock_rate) as u64)
    }

    /// Converts a time by the clock of a process to true time, in microseconds.
    pub fn to_true_time(&self, n: usize, local: Micros) -> f64 {
        let process = &self.processes[n];
        process.started_at_us as f64 + local.0 as f64 / process.clock_rate
    }

    /// Starts a process with its persisted state.
    pub fn start(&mut self, n: usize) {
        let local_voter = (n < self.voters).then_some(n as u8);
        let settings = ReplicationSettings { local_voter, ..self.settings.clone() };
        let seed = self.rng.random();
        let disk = self.processes[n].disk.clone();
        let mut core =
            ReplicatedConfig::new(settings, codec(), disk, Box::new(validate_document), seed, Micros(0));
        let others = (self.voters..self.processes.len()).map(address).collect();
        core.set_members(others, n.checked_sub(self.voters));
        let process = &mut self.processes[n];
        (process.core, process.started_at_us, process.incarnation) =
            (Some(core), self.now, process.incarnation + 1);
        process.paused = false;
        process.backlog.clear();
        self.schedule_wake(n);
    }

    /// Stops a process, which keeps only its persisted state.
    pub fn kill(&mut self, n: usize) {
        self.processes[n].core = None;
    }

    pub fn pause(&mut self, n: usize) {
        self.processes[n].paused = true;
    }

    /// Resumes a paused process, which first receives the datagrams of its backlog.
    pub fn resume(&mut self, n: usize) {
        if std::mem::take(&mut self.processes[n].paused) {
            for (from, bytes) in std::mem::take(&mut self.processes[n].backlog) {
                self.deliver(n, from, &bytes);
            }
            self.tick(n);
        }
    }

    /// Schedules an event at a true time in microseconds.
    pub fn push(&mut self, at: u64, event: Event) {
        self.last_sequence += 1;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.queue.push(Reverse((at, self.last_sequence, slot)));
    }

    /// Schedules the next wake of a process at its earliest timeout.
    pub fn schedule_wake(&mut self, n: usize) {
        let process = &self.processes[n];
        if let Some(core) = &process.core {
            let at = self.to_true_time(n, core.next_timeout()).ceil() as u64 + 1;
            let (at, incarnation) = (at.max(self.now + 100), process.incarnation);
            self.push(at, Event::Wake(n, incarnation));
        }
    }

    pub fn tick(&mut self, n: usize) {
        let now = self.local_time(n);
        if let Some(core) = &mut self.processes[n].core {
            let effects = core.tick(now);
            self.execute_effects(n, effects);
        }
    }

    pub fn deliver(&mut self, n: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.local_time(n);
        if let Some(core) = &mut self.processes[n].core {
            let timeout_before = core.next_timeout();
            let effects = core.handle_datagram(now, from, bytes);
            let is_earlier = core.next_timeout() < timeout_before;
            self.execute_effects(n, effects);
            if is_earlier {
                self.schedule_wake(n);
            }
        }
    }

    pub fn propose(&mut self, n: usize, nonce: u64, expected_version: u64, document: &[u8]) {
        let now = self.local_time(n);
        if self.processes[n].paused {
            return;
        }
        if let Some(core) = &mut self.processes[n].core {
            let effects = core.propose(now, nonce, expected_version, document.to_vec());
            self.execute_effects(n, effects);
            self.schedule_wake(n);
        }
    }

    pub fn execute_effects(&mut self, n: usize, effects: Vec<Effect>) {
        let crash = (self.crash_between_effects && self.rng.random_range(0..2_000) == 0)
            .then(|| self.rng.random_range(0..=effects.len()));
        for (i, effect) in effects.into_iter().enumerate() {
            if crash == Some(i) {
                return self.kill(n);
            }
            match effect {
                Effect::Persist(state) => {
                    if self.processes[n].disk_fails {
                        let now = self.local_time(n);
                        if let Some(core) = &mut self.processes[n].core {
                            core.handle_persist_failure(now);
                        }
                        break;
                    }
                    self.processes[n].disk = Some(state);
                }
                Effect::Send { to, datagram } => self.send(n, to, datagram),
                Effect::VersionActive { version, document } => {
                    let recorded = self.documents.entry(version).or_insert_with(|| document.clone());
                    assert_eq!(*recorded, document, "different documents for version {version}");
                    let now = self.now;
                    self.activated_at_us[n].entry(version).or_insert(now);
                }
                Effect::VersionCommitted { version, document } => {
                    let recorded = self.documents.entry(version).or_insert_with(|| document.clone());
                    assert_eq!(*recorded, document, "different documents for version {version}");
                }
                Effect::ProposalFinished { nonce, outcome } => {
                    self.outcomes.insert(nonce, outcome);
                }
                Effect::RoleChanged(_) => {}
                Effect::VoterListMismatch { voter } => panic!("voter list mismatch at {voter}"),
            }
        }
        self.record_active_version(n);
    }

    /// Records the version that a process acts on, and until when it does so if it receives no further
    /// datagram.
    pub fn record_active_version(&mut self, n: usize) {
        let Some(core) = &self.processes[n].core else { return };
        let version = core.active_version();
        let Some(until) = core.lease_ends_at().map(|until| self.to_true_time(n, until)) else { return };
        let now = self.now as f64;
        if until <= now {
            return;
        }
        let active_spans = &mut self.processes[n].active_spans;
        match active_spans.last_mut() {
            Some(last) if last.version == version && last.until_us >= now => {
                last.until_us = last.until_us.max(until);
                return;
            }
            Some(last) if last.version != version => last.until_us = last.until_us.min(now),
            _ => {}
        }
        active_spans.push(ActiveSpan { version, from_us: now, until_us: until });
    }

    /// Returns whether datagrams between two processes are delivered.
    pub fn reachable(&self, a: usize, b: usize) -> bool {
        let separated = self.partitioned && self.processes[a].region != self.processes[b].region;
        !separated && !self.isolated[a] && !self.isolated[b]
    }

    pub fn send(&mut self, n: usize, to: SocketAddr, bytes: Vec<u8>) {
        let second = (self.now / 1_000_000) as usize;
        let sent = &mut self.processes[n].sent_bytes_per_second;
        sent.resize(sent.len().max(second + 1), 0);
        sent[second] += bytes.len() as u32;
        let std::net::IpAddr::V4(ip) = to.ip() else { return };
        let to = usize::from(ip.octets()[2]) * 200 + usize::from(ip.octets()[3]) - 1;
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.loss || !self.reachable(n, to) {
                continue;
            }
            let is_other_region = self.processes[n].region != self.processes[to].region;
            let (min_delay, max_delay) = self.delay[usize::from(is_other_region)];
            let at = self.now + self.rng.random_range(min_delay..max_delay);
            self.push(at, Event::Deliver(to, address(n), bytes.clone()));
        }
    }

    /// Advances the simulation by this number of seconds.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + (seconds * 1e6) as u64;
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            self.free_slots.push(slot);
            match self.events[slot].take().expect("an event in the slot") {
                Event::Wake(n, incarnation) => {
                    let process = &self.processes[n];
                    if process.core.is_some() && process.incarnation == incarnation {
                        if !process.paused
                            && process
                                .core
                                .as_ref()
                                .is_some_and(|core| core.next_timeout() <= self.local_time(n))
                        {
                            self.tick(n);
                        }
                        self.reschedule_wake(n);
                    }
                }
                Event::Deliver(n, from, bytes) => {
                    if self.processes[n].paused {
                        self.processes[n].backlog.push((from, bytes));
                    } else {
                        self.deliver(n, from, &bytes);
                    }
                }
            }
        }
        self.now = until;
    }

    /// Schedules the wake that follows another one; a paused process is checked again after 50 ms.
    pub fn reschedule_wake(&mut self, n: usize) {
        if self.processes[n].paused {
            let incarnation = self.processes[n].incarnation;
            self.push(self.now + 50_000, Event::Wake(n, incarnation));
        } else {
            self.schedule_wake(n);
        }
    }

    /// Returns a process that considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        (0..self.voters).find(|n| self.core(*n).is_some_and(|core| core.role() == Some(Role::Leader)))
    }

    /// Returns the state machine of a process; `None` if it does not run.
    pub fn core(&self, n: usize) -> Option<&ReplicatedConfig> {
        self.processes[n].core.as_ref()
    }

    /// Returns the maximum time that a version was acted on after a later one had become active, in seconds,
    /// or 0 if never.
    pub fn max_version_overlap_seconds(&self) -> f64 {
        let active_spans = || self.processes.iter().flat_map(|process| &process.active_spans);
        let mut starts: BTreeMap<u64, f64> = BTreeMap::new();
        for ActiveSpan { version, from_us, .. } in active_spans() {
            let start = starts.entry(*version).or_insert(*from_us);
            *start = start.min(*from_us);
        }
        let overlap_us = |span: &ActiveSpan| {
            let later = starts.range(span.version + 1..);
            later.map(|(_, start)| span.until_us - start).fold(0.0, f64::max)
        };
        active_spans().map(overlap_us).fold(0.0, f64::max) / 1e6
    }
}

/// Returns a document of approximately this size. Documents with different numbers differ in only a few
/// bytes.
pub fn document_of_size(n: u64, size: usize) -> Vec<u8> {
    let mut text = "settings of a fleet, many keys that stay as they are; ".repeat(size / 54).into_bytes();
    let at = text.len() / 2;
    text.splice(at..at, format!("\"max_attempts\": {n}").into_bytes());
    text
}
