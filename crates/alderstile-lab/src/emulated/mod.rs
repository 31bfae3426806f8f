//! Runs in simulated time: members and decisions of many nodes, their hosts, clients and list over an emulated network, one
//! seed, one order of events.
//!
//! The same inputs give the same history, byte for byte, on any machine: nothing here reads a clock or a hash's order. What a
//! schedule does not name is not there: without hosts and clients members run alone, without `[members]` nobody knows of anybody.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    DatagramCodec, InstanceId, MemberRecord, MemberState, Membership, MembershipChange, MembershipConfig,
    MembershipEffect,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;
use tracing::info;

use crate::history::{Event, History, ProcessChange};
use crate::links::LinkFaults;
use crate::schedule::{FaultKind, FaultTarget, Party, Plan, PlannedFault};

mod choosers;
mod fleet;
mod hosts;
mod requests;
mod supply;

pub use choosers::{Choice, Way};
pub use fleet::Traffic;
use fleet::{Fleet, Step};
pub use hosts::{Host, TICK};

/// The seeds of all members: the first so many nodes.
const SEEDS: usize = 3;
/// A datagram that is overtaken comes this much later, and three times its way's delay.
const OVERTAKEN_S: f64 = 0.01;

/// A line of progress comes this often.
const PROGRESS: Duration = Duration::from_secs(5);

/// Why a schedule can't be emulated.
#[derive(Debug, Error)]
pub enum EmulatedError {
    /// Nothing to emulate.
    #[error("a run on emulated nodes needs a table [members], or hosts and clients")]
    Nothing,
    /// A fault that acts on what is not emulated.
    #[error("{0} is not emulated")]
    Kind(FaultKind),
    /// A fault of hosts or lists where there are none.
    #[error("{0} needs hosts and clients")]
    NoHosts(FaultKind),
}

/// What came of an emulated run, beside its history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Seconds that members have run in all.
    pub member_s: f64,
    /// Suspicions raised by members themselves.
    pub suspected: u64,
    /// Times that a member had to say that it lives.
    pub refuted: u64,
    /// What came of choices; none where there were no hosts or clients.
    pub traffic: Option<Traffic>,
}

/// Something that comes, in microseconds from the start. Events of one moment come in the order in which they were made.
struct Due {
    at: u64,
    made: u64,
    what: What,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.made).cmp(&(other.at, other.made))
    }
}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Due {}

enum What {
    /// A datagram reaches a node.
    Comes {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    /// A node has something to do; stale where its number is not the node's latest.
    Tick {
        node: usize,
        number: u64,
    },
    Begins(usize),
    Ends(usize),
    /// Something of clients, hosts or the list.
    Fleet(Step),
}

struct Node {
    members: Option<Membership>,
    /// How fast its clock runs.
    rate: f64,
    paused: bool,
    /// What came while it stood still.
    waiting: Vec<(usize, Vec<u8>)>,
    /// Number of its latest timer.
    timer: u64,
    /// How it sees each other node, as written last.
    seen: Vec<Option<MemberState>>,
    since_s: f64,
}

/// A run.
struct World<'a> {
    plan: &'a Plan,
    set: MembershipConfig,
    history: &'a History,
    now: u64,
    queue: BinaryHeap<Reverse<Due>>,
    made: u64,
    nodes: Vec<Node>,
    faults: LinkFaults,
    rng: Pcg64Mcg,
    sessions: BTreeMap<InstanceId, usize>,
    /// All processes that a node has had.
    processes: Vec<Vec<InstanceId>>,
    fleet: Fleet,
    sums: Sums,
}

/// The address of a node: a label, nothing is bound there.
fn address(node: usize) -> SocketAddr {
    let [_, b, c, d] = (node as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(127, b, c, d), 7_946).into()
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Plays a plan by one way of choosing; its history gets all that happened.
///
/// # Errors
///
/// When the plan has nothing to emulate, or a fault of something that is not emulated in it.
pub fn run(plan: &Plan, choice: &Choice, history: &History) -> Result<Sums, EmulatedError> {
    let fleet = Fleet::new(plan, choice);
    if plan.members.is_none() && !fleet.on() {
        return Err(EmulatedError::Nothing);
    }
    for fault in &plan.faults {
        match fault.kind.target() {
            FaultTarget::Process if matches!(fault.kind, FaultKind::Replace | FaultKind::Reload) => {
                return Err(EmulatedError::Kind(fault.kind));
            }
            FaultTarget::DiscoveryList | FaultTarget::Host if !fleet.on() => {
                return Err(EmulatedError::NoHosts(fault.kind));
            }
            _ => {}
        }
    }
    let members = plan.members.clone().unwrap_or_default();
    let set = MembershipConfig {
        suspicion_multiplier: members.suspicion,
        local_health: members.local_health,
        ..MembershipConfig::with_period(Micros::from_millis(members.period_ms))
    };
    let period_s = plan.members.as_ref().map_or(0.0, |members| members.period_ms as f64 / 1e3);
    history.add_at(0.0, fleet.head(plan, period_s));
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut nodes = Vec::new();
    for _ in 0..plan.nodes {
        let rate = 1.0 + members.clock_rate * (2.0 * rng.random::<f64>() - 1.0);
        let seen = vec![None; plan.nodes];
        let (members, waiting) = (None, Vec::new());
        nodes.push(Node { members, rate, paused: false, waiting, timer: 0, seen, since_s: 0.0 });
    }
    let mut world = World {
        plan,
        set,
        history,
        now: 0,
        queue: BinaryHeap::new(),
        made: 0,
        nodes,
        faults: LinkFaults::new(plan.links.clone()),
        rng,
        sessions: BTreeMap::new(),
        processes: vec![Vec::new(); plan.nodes],
        fleet,
        sums: Sums::default(),
    };
    world.play(members.know_all);
    if world.fleet.on() {
        world.sums.traffic = Some(world.fleet.traffic);
    }
    Ok(world.sums)
}

impl World<'_> {
    fn play(&mut self, know_all: bool) {
        let records: Vec<MemberRecord> = (0..self.plan.nodes).map(|node| self.record(node)).collect();
        for (node, record) in records.iter().enumerate() {
            self.start(node, record.clone(), if know_all { &records } else { &[] }, true);
        }
        self.open_day();
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.add(micros(fault.at_s), What::Begins(number));
            if let Some(for_s) = fault.for_s {
                self.add(micros(fault.at_s + for_s), What::Ends(number));
            }
        }
        let end = micros(self.plan.length_s);
        // For the person who waits alone: what happens does not hang on it.
        let (mut told, mut events) = (Instant::now(), 0u64);
        while let Some(Reverse(Due { at, what, .. })) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            events += 1;
            if events.is_multiple_of(1 << 16) && told.elapsed() > PROGRESS {
                told = Instant::now();
                info!("{:.0} s of {:.0}", self.seconds(), self.plan.length_s);
            }
            match what {
                What::Comes { to, from, bytes } => self.comes(to, from, bytes),
                What::Tick { node, number } => self.tick(node, number),
                What::Begins(number) => self.begins(number),
                What::Ends(number) => self.ends(number),
                What::Fleet(step) => self.happens(step),
            }
        }
        self.now = end;
        (0..self.nodes.len()).for_each(|node| self.count(node));
        self.history.add_at(self.plan.length_s, Event::End {});
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    fn write(&self, what: Event) {
        self.history.add_at(self.seconds(), what);
    }

    fn add(&mut self, at: u64, what: What) {
        self.made += 1;
        self.queue.push(Reverse(Due { at, made: self.made, what }));
    }

    fn record(&mut self, node: usize) -> MemberRecord {
        let instance = InstanceId(self.rng.random::<u64>().max(1));
        self.sessions.insert(instance, node);
        self.processes[node].push(instance);
        let zone = self.plan.zones[node % self.plan.zones.len()].as_str().into();
        let name = format!("n{node}").into();
        MemberRecord {
            instance,
            incarnation: 1,
            name,
            zone,
            address: address(node),
            config_digest: 0,
            metadata: [].into(),
        }
    }

    /// The time on a node's own clock.
    fn local(&self, node: usize) -> Micros {
        Micros((self.now as f64 * self.nodes[node].rate) as u64)
    }

    fn start(&mut self, node: usize, record: MemberRecord, known: &[MemberRecord], first: bool) {
        self.write(Event::Process { node, change: ProcessChange::Started, status: None });
        if self.plan.members.is_some() {
            self.joins(node, record, known);
        }
        self.side_starts(node, first);
    }

    fn joins(&mut self, node: usize, record: MemberRecord, known: &[MemberRecord]) {
        let seeds = (0..SEEDS.min(self.plan.nodes)).map(address).collect();
        // The lab's own key: what it protects is a run.
        let Ok(codec) = DatagramCodec::new("lab", &[b"a key of the lab, and no secret".to_vec()]) else {
            return;
        };
        let seed = self.rng.random();
        let members = Membership::new(self.set, codec, record, seeds, seed, self.local(node));
        let members = members.with_known_members(known.iter().cloned());
        let now_s = self.seconds();
        let sim = &mut self.nodes[node];
        (sim.members, sim.since_s) = (Some(members), now_s);
        sim.seen.fill(if known.is_empty() { None } else { Some(MemberState::Alive) });
        if known.is_empty() {
            sim.seen[node] = Some(MemberState::Alive);
        }
        self.schedule(node);
    }

    /// Adds up what a process has done, at its end.
    fn count(&mut self, node: usize) {
        let now_s = self.seconds();
        let sim = &mut self.nodes[node];
        if let Some(members) = sim.members.take() {
            let counters = members.counters();
            self.sums.sent += counters.sent;
            self.sums.sent_bytes += counters.sent_bytes;
            self.sums.suspected += counters.suspicions_started;
            self.sums.refuted += counters.refutations;
            self.sums.member_s += now_s - sim.since_s;
        }
    }

    fn schedule(&mut self, node: usize) {
        let sim = &mut self.nodes[node];
        let Some(members) = &sim.members else { return };
        sim.timer += 1;
        let (number, rate) = (sim.timer, sim.rate);
        let at = ((members.next_timeout().0 as f64 / rate).ceil() as u64).max(self.now + 1);
        self.add(at, What::Tick { node, number });
    }

    fn tick(&mut self, node: usize, number: u64) {
        if self.nodes[node].timer != number || self.nodes[node].paused {
            return;
        }
        let now = self.local(node);
        if let Some(members) = &mut self.nodes[node].members {
            let out = members.handle_timeout(now);
            self.act(node, out);
        }
        self.schedule(node);
    }

    fn comes(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if self.nodes[to].paused {
            // What a process's socket holds while it stands still; a system keeps some hundreds of datagrams.
            if self.nodes[to].waiting.len() < 500 {
                self.nodes[to].waiting.push((from, bytes));
            }
            return;
        }
        let now = self.local(to);
        if let Some(members) = &mut self.nodes[to].members {
            let before = members.next_timeout();
            let out = members.handle_datagram(now, address(from), &bytes);
            let moved = members.next_timeout() != before;
            self.act(to, out);
            if moved {
                self.schedule(to);
            }
        }
    }

    fn act(&mut self, node: usize, out: Vec<MembershipEffect>) {
        for out in out {
            match out {
                MembershipEffect::Send { to, datagram } => self.send(node, to, datagram),
                MembershipEffect::Changed(change) => self.told(node, &change),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let SocketAddr::V4(to) = to else { return };
        let to = (u32::from_be_bytes(to.ip().octets()) & 0x00ff_ffff) as usize;
        let Some(to) = to.checked_sub(1).filter(|to| *to < self.nodes.len()) else { return };
        let link = self.faults.link(Party::Node(from), Party::Node(to));
        if link.cut || (link.loss > 0.0 && self.rng.random::<f64>() < link.loss) {
            return;
        }
        let mut bytes = bytes;
        if link.damage > 0.0 && self.rng.random::<f64>() < link.damage {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8);
        }
        let copies = 1 + usize::from(link.duplicate > 0.0 && self.rng.random::<f64>() < link.duplicate);
        for _ in 0..copies {
            let mut late = link.delay_s + link.jitter_s * self.rng.random::<f64>();
            if link.reorder > 0.0 && self.rng.random::<f64>() < link.reorder {
                late += 3.0 * link.delay_s + OVERTAKEN_S;
            }
            self.add(self.now + micros(late).max(1), What::Comes { to, from, bytes: bytes.clone() });
        }
    }

    /// Writes how a node sees another where that has changed: the best of what it holds of the other's processes.
    fn told(&mut self, node: usize, change: &MembershipChange) {
        let session = match change {
            MembershipChange::Joined(s)
            | MembershipChange::Suspected(s)
            | MembershipChange::Recovered(s)
            | MembershipChange::Died(s)
            | MembershipChange::Left(s) => s,
            MembershipChange::Replaced(_)
            | MembershipChange::NameConflict(_)
            | MembershipChange::NameConflictResolved(_)
            | MembershipChange::Refuted => return,
            MembershipChange::Stalled(_) => return,
        };
        let Some(of) = self.sessions.get(session).copied() else { return };
        let Some(members) = &self.nodes[node].members else { return };
        let processes = self.processes[of].iter();
        let seen = processes.filter_map(|session| members.peer(*session)).map(|member| member.state).min();
        if self.nodes[node].seen[of] != seen {
            self.nodes[node].seen[of] = seen;
            let state = seen.map_or("unknown".to_owned(), |state| state.to_string());
            self.write(Event::MemberView { node, observed: of, state });
        }
    }

    pub(super) fn named(fault: &PlannedFault) -> impl Iterator<Item = usize> {
        fault.on.iter().filter_map(|actor| if let Party::Node(node) = actor { Some(*node) } else { None })
    }

    fn begins(&mut self, number: usize) {
        let fault = &self.plan.faults[number];
        self.write(Event::fault(fault, true));
        match fault.kind.target() {
            FaultTarget::Link => return self.faults.begin(number, fault),
            FaultTarget::Host => return self.host_fault(number, true),
            FaultTarget::DiscoveryList => return self.list_fault(number, true),
            FaultTarget::Process => {}
        }
        for node in Self::named(fault) {
            match fault.kind {
                FaultKind::Kill => {
                    self.write(Event::Process { node, change: ProcessChange::Killed, status: None });
                    self.write(Event::Process {
                        node,
                        change: ProcessChange::Ended,
                        status: Some("killed".to_owned()),
                    });
                    self.down(node, false);
                }
                FaultKind::Stop => {
                    self.write(Event::Process { node, change: ProcessChange::Stopping, status: None });
                    let now = self.local(node);
                    let out = self.nodes[node].members.as_mut().map(|members| members.leave(now));
                    self.act(node, out.unwrap_or_default());
                    self.down(node, true);
                    self.write(Event::Process {
                        node,
                        change: ProcessChange::Ended,
                        status: Some("left".to_owned()),
                    });
                }
                _ => {
                    self.write(Event::Process { node, change: ProcessChange::Paused, status: None });
                    self.nodes[node].paused = true;
                }
            }
        }
    }

    fn down(&mut self, node: usize, stopped: bool) {
        self.side_ends(node, stopped);
        self.count(node);
        self.nodes[node].timer += 1;
        self.nodes[node].waiting.clear();
    }

    fn ends(&mut self, number: usize) {
        let fault = &self.plan.faults[number];
        self.write(Event::fault(fault, false));
        match fault.kind.target() {
            FaultTarget::Link => return self.faults.end(number),
            FaultTarget::Host => return self.host_fault(number, false),
            FaultTarget::DiscoveryList => return self.list_fault(number, false),
            FaultTarget::Process => {}
        }
        for node in Self::named(fault) {
            if fault.kind != FaultKind::Pause {
                let record = self.record(node);
                self.start(node, record, &[], false);
                continue;
            }
            self.write(Event::Process { node, change: ProcessChange::Resumed, status: None });
            self.nodes[node].paused = false;
            // A process that goes on finds its timer due and its socket full.
            let now = self.local(node);
            let out = self.nodes[node].members.as_mut().map(|members| members.handle_timeout(now));
            self.act(node, out.unwrap_or_default());
            for (from, bytes) in std::mem::take(&mut self.nodes[node].waiting) {
                self.comes(node, from, bytes);
            }
            self.side_resumes(node);
            self.schedule(node);
        }
    }
}
