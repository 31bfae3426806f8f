//! Discrete-event simulator: membership and decisions of many nodes, with their hosts, clients and discovery,
//! over an emulated network in simulated time.
//!
//! The same plan and strategy give the same history, byte for byte, on any machine: all randomness derives
//! from the plan's seed, all events are in one order, and no result depends on the machine's clock or the
//! iteration order of a hash map. Only what a schedule contains is emulated: without hosts and clients
//! the membership protocol runs alone, and without `[members]` it does not run.

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

mod discovery;
mod hosts;
mod requests;
mod strategies;
mod traffic;

pub use hosts::{Host, SAMPLE_INTERVAL};
pub use strategies::{Strategy, StrategySpec};
pub use traffic::TrafficMetrics;
use traffic::{TrafficEvent, TrafficModel};

/// Number of seeds of each member: the first nodes of the plan.
const SEED_NODES: usize = 3;
/// Delay of a reordered datagram, seconds, in addition to three times its link's delay.
const REORDER_DELAY_S: f64 = 0.01;

/// Interval between progress messages, in real time.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Why a schedule can't be emulated.
#[derive(Debug, Error)]
pub enum EmulationError {
    /// The schedule has neither members nor hosts with clients.
    #[error("nothing to emulate: expected a table [members], or hosts and clients")]
    NothingToEmulate,
    /// The simulator does not support this kind of fault.
    #[error("fault `{0}` is not supported in an emulated run")]
    UnsupportedFault(FaultKind),
    /// A fault acts on hosts or discovery, but the schedule has no hosts or no clients.
    #[error("fault `{0}` needs hosts and clients in the schedule")]
    MissingHosts(FaultKind),
}

/// Metrics of an emulated run, besides its history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunMetrics {
    /// Membership datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of these datagrams.
    pub bytes_sent: u64,
    /// Total running time of all members, seconds.
    pub member_seconds: f64,
    /// Suspicions that members started themselves.
    pub suspicions: u64,
    /// Suspicions and deaths that members refuted about themselves.
    pub refutations: u64,
    /// Traffic metrics; `None` if the schedule has no hosts or no clients.
    pub traffic: Option<TrafficMetrics>,
}

/// An event in the queue. Events at the same time are handled in the order in which they were scheduled.
struct ScheduledEvent {
    /// Microseconds since the start of the run.
    at: u64,
    sequence: u64,
    event: SimEvent,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for ScheduledEvent {}

enum SimEvent {
    /// A membership datagram arrives at a node.
    DatagramArrival { to: usize, from: usize, bytes: Vec<u8> },
    /// A node's membership timer expires; ignored if `generation` is not the node's latest.
    MembershipTimer { node: usize, generation: u64 },
    /// The fault with this index in the plan begins.
    FaultStart(usize),
    /// The fault with this index in the plan ends.
    FaultEnd(usize),
    /// An event of clients, hosts or discovery.
    Traffic(TrafficEvent),
}

/// A node's membership and clock.
struct SimNode {
    membership: Option<Membership>,
    /// Rate of the node's clock relative to simulated time.
    clock_rate: f64,
    paused: bool,
    /// Datagrams, with their senders, that arrived while the process was paused.
    queued_datagrams: Vec<(usize, Vec<u8>)>,
    /// Generation of the latest membership timer: earlier timers are ignored.
    timer_generation: u64,
    /// The node's view of each node as last written to the history.
    recorded_views: Vec<Option<MemberState>>,
    /// When the membership of the current process started, seconds.
    started_at_s: f64,
}

/// The state of an emulated run.
struct Simulation<'a> {
    plan: &'a Plan,
    membership_config: MembershipConfig,
    history: &'a History,
    /// Simulated time, microseconds since the start of the run.
    now: u64,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    sequence: u64,
    nodes: Vec<SimNode>,
    link_faults: LinkFaults,
    rng: Pcg64Mcg,
    nodes_by_instance: BTreeMap<InstanceId, usize>,
    /// Instances of all processes that each node has had.
    instances_by_node: Vec<Vec<InstanceId>>,
    traffic: TrafficModel,
    metrics: RunMetrics,
}

/// Returns the membership address of a node. It is an identifier only: no socket is bound to it.
fn node_address(node: usize) -> SocketAddr {
    let [_, b, c, d] = (node as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(127, b, c, d), 7_946).into()
}

/// Converts seconds to microseconds.
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Runs a plan with one load-balancing strategy, records its events in `history` and returns the metrics.
///
/// # Errors
///
/// Returns an error if the plan has nothing to emulate, or has a fault that the simulator does not support or
/// that needs hosts and clients where the plan has none.
pub fn run(plan: &Plan, strategy: &StrategySpec, history: &History) -> Result<RunMetrics, EmulationError> {
    let traffic = TrafficModel::new(plan, strategy);
    if plan.members.is_none() && !traffic.is_enabled() {
        return Err(EmulationError::NothingToEmulate);
    }
    for fault in &plan.faults {
        match fault.kind.target() {
            FaultTarget::Process if matches!(fault.kind, FaultKind::Replace | FaultKind::Reload) => {
                return Err(EmulationError::UnsupportedFault(fault.kind));
            }
            FaultTarget::DiscoveryList | FaultTarget::Host if !traffic.is_enabled() => {
                return Err(EmulationError::MissingHosts(fault.kind));
            }
            _ => {}
        }
    }
    let member_settings = plan.members.clone().unwrap_or_default();
    let membership_config = MembershipConfig {
        suspicion_multiplier: member_settings.suspicion,
        local_health: member_settings.local_health,
        ..MembershipConfig::with_period(Micros::from_millis(member_settings.period_ms))
    };
    let period_s = plan.members.as_ref().map_or(0.0, |members| members.period_ms as f64 / 1e3);
    history.add_at(0.0, traffic.run_event(plan, period_s));
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut nodes = Vec::new();
    for _ in 0..plan.nodes {
        let clock_rate = 1.0 + member_settings.clock_rate * (2.0 * rng.random::<f64>() - 1.0);
        let recorded_views = vec![None; plan.nodes];
        let (membership, queued_datagrams) = (None, Vec::new());
        nodes.push(SimNode {
            membership,
            clock_rate,
            paused: false,
            queued_datagrams,
            timer_generation: 0,
            recorded_views,
            started_at_s: 0.0,
        });
    }
    let mut simulation = Simulation {
        plan,
        membership_config,
        history,
        now: 0,
        event_queue: BinaryHeap::new(),
        sequence: 0,
        nodes,
        link_faults: LinkFaults::new(plan.links.clone()),
        rng,
        nodes_by_instance: BTreeMap::new(),
        instances_by_node: vec![Vec::new(); plan.nodes],
        traffic,
        metrics: RunMetrics::default(),
    };
    simulation.run(member_settings.know_all);
    if simulation.traffic.is_enabled() {
        simulation.metrics.traffic = Some(simulation.traffic.metrics);
    }
    Ok(simulation.metrics)
}

impl Simulation<'_> {
    /// Handles all events until the end of the plan.
    fn run(&mut self, know_all: bool) {
        let records: Vec<MemberRecord> =
            (0..self.plan.nodes).map(|node| self.new_member_record(node)).collect();
        for (node, record) in records.iter().enumerate() {
            self.start_node(node, record.clone(), if know_all { &records } else { &[] }, true);
        }
        self.start_traffic();
        for (index, fault) in self.plan.faults.iter().enumerate() {
            self.schedule(micros(fault.at_s), SimEvent::FaultStart(index));
            if let Some(for_s) = fault.for_s {
                self.schedule(micros(fault.at_s + for_s), SimEvent::FaultEnd(index));
            }
        }
        let end = micros(self.plan.length_s);
        // Real time decides only when progress is logged; it does not influence the run.
        let (mut last_progress, mut events) = (Instant::now(), 0u64);
        while let Some(Reverse(ScheduledEvent { at, event, .. })) = self.event_queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            events += 1;
            if events.is_multiple_of(1 << 16) && last_progress.elapsed() > PROGRESS_INTERVAL {
                last_progress = Instant::now();
                info!("emulated {:.0} of {:.0} s", self.now_s(), self.plan.length_s);
            }
            match event {
                SimEvent::DatagramArrival { to, from, bytes } => self.receive_datagram(to, from, bytes),
                SimEvent::MembershipTimer { node, generation } => self.membership_timer(node, generation),
                SimEvent::FaultStart(index) => self.start_fault(index),
                SimEvent::FaultEnd(index) => self.end_fault(index),
                SimEvent::Traffic(event) => self.handle_traffic_event(event),
            }
        }
        self.now = end;
        (0..self.nodes.len()).for_each(|node| self.collect_membership_metrics(node));
        self.history.add_at(self.plan.length_s, Event::End {});
    }

    /// Returns the simulated time in seconds.
    fn now_s(&self) -> f64 {
        self.now as f64 / 1e6
    }

    /// Writes an event to the history at the current time.
    fn record_event(&self, event: Event) {
        self.history.add_at(self.now_s(), event);
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    /// Returns the member record of a new process of a node.
    fn new_member_record(&mut self, node: usize) -> MemberRecord {
        let instance = InstanceId(self.rng.random::<u64>().max(1));
        self.nodes_by_instance.insert(instance, node);
        self.instances_by_node[node].push(instance);
        let zone = self.plan.zones[node % self.plan.zones.len()].as_str().into();
        let name = format!("n{node}").into();
        MemberRecord {
            instance,
            incarnation: 1,
            name,
            zone,
            address: node_address(node),
            config_digest: 0,
            metadata: [].into(),
        }
    }

    /// Returns the time on a node's own clock.
    fn local_time(&self, node: usize) -> Micros {
        Micros((self.now as f64 * self.nodes[node].clock_rate) as u64)
    }

    /// Starts a process of a node. `first` is true at the start of the run.
    fn start_node(&mut self, node: usize, record: MemberRecord, known: &[MemberRecord], first: bool) {
        self.record_event(Event::Process { node, change: ProcessChange::Started, status: None });
        if self.plan.members.is_some() {
            self.start_membership(node, record, known);
        }
        self.start_traffic_node(node, first);
    }

    fn start_membership(&mut self, node: usize, record: MemberRecord, known: &[MemberRecord]) {
        let seeds = (0..SEED_NODES.min(self.plan.nodes)).map(node_address).collect();
        // A fixed key, the same in all runs: an emulated cluster has nothing to protect.
        let Ok(codec) = DatagramCodec::new("lab", &[b"a key of the lab, and no secret".to_vec()]) else {
            return;
        };
        let seed = self.rng.random();
        let membership =
            Membership::new(self.membership_config, codec, record, seeds, seed, self.local_time(node));
        let membership = membership.with_known_members(known.iter().cloned());
        let now_s = self.now_s();
        let state = &mut self.nodes[node];
        (state.membership, state.started_at_s) = (Some(membership), now_s);
        state.recorded_views.fill(if known.is_empty() { None } else { Some(MemberState::Alive) });
        if known.is_empty() {
            state.recorded_views[node] = Some(MemberState::Alive);
        }
        self.schedule_membership_timer(node);
    }

    /// Adds the membership counters of a node's process to the metrics when the process or the run ends.
    fn collect_membership_metrics(&mut self, node: usize) {
        let now_s = self.now_s();
        let state = &mut self.nodes[node];
        if let Some(membership) = state.membership.take() {
            let counters = membership.counters();
            self.metrics.datagrams_sent += counters.sent;
            self.metrics.bytes_sent += counters.sent_bytes;
            self.metrics.suspicions += counters.suspicions_started;
            self.metrics.refutations += counters.refutations;
            self.metrics.member_seconds += now_s - state.started_at_s;
        }
    }

    /// Schedules the next timer of a node's membership and invalidates earlier ones.
    fn schedule_membership_timer(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(membership) = &state.membership else { return };
        state.timer_generation += 1;
        let (generation, clock_rate) = (state.timer_generation, state.clock_rate);
        let at = ((membership.next_timeout().0 as f64 / clock_rate).ceil() as u64).max(self.now + 1);
        self.schedule(at, SimEvent::MembershipTimer { node, generation });
    }

    fn membership_timer(&mut self, node: usize, generation: u64) {
        if self.nodes[node].timer_generation != generation || self.nodes[node].paused {
            return;
        }
        let now = self.local_time(node);
        if let Some(membership) = &mut self.nodes[node].membership {
            let effects = membership.handle_timeout(now);
            self.apply_membership_effects(node, effects);
        }
        self.schedule_membership_timer(node);
    }

    fn receive_datagram(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if self.nodes[to].paused {
            // The socket of a paused process buffers datagrams; an operating system keeps a few hundred of
            // them.
            if self.nodes[to].queued_datagrams.len() < 500 {
                self.nodes[to].queued_datagrams.push((from, bytes));
            }
            return;
        }
        let now = self.local_time(to);
        if let Some(membership) = &mut self.nodes[to].membership {
            let before = membership.next_timeout();
            let effects = membership.handle_datagram(now, node_address(from), &bytes);
            let timeout_changed = membership.next_timeout() != before;
            self.apply_membership_effects(to, effects);
            if timeout_changed {
                self.schedule_membership_timer(to);
            }
        }
    }

    fn apply_membership_effects(&mut self, node: usize, effects: Vec<MembershipEffect>) {
        for effect in effects {
            match effect {
                MembershipEffect::Send { to, datagram } => self.send_datagram(node, to, datagram),
                MembershipEffect::Changed(change) => self.record_member_view(node, &change),
            }
        }
    }

    /// Sends a datagram over its link, with the loss, damage, duplication, delay and reordering that the link
    /// has now.
    fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let SocketAddr::V4(to) = to else { return };
        let to = (u32::from_be_bytes(to.ip().octets()) & 0x00ff_ffff) as usize;
        let Some(to) = to.checked_sub(1).filter(|to| *to < self.nodes.len()) else { return };
        let link = self.link_faults.link(Party::Node(from), Party::Node(to));
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
            let mut delay_s = link.delay_s + link.jitter_s * self.rng.random::<f64>();
            if link.reorder > 0.0 && self.rng.random::<f64>() < link.reorder {
                delay_s += 3.0 * link.delay_s + REORDER_DELAY_S;
            }
            self.schedule(
                self.now + micros(delay_s).max(1),
                SimEvent::DatagramArrival { to, from, bytes: bytes.clone() },
            );
        }
    }

    /// Records a node's view of another node if it has changed.
    ///
    /// The view is the first state, in the order of [`MemberState`], that a process of the other node has: a
    /// node with an alive process is alive, even if its earlier processes are dead.
    fn record_member_view(&mut self, node: usize, change: &MembershipChange) {
        let instance = match change {
            MembershipChange::Joined(instance)
            | MembershipChange::Suspected(instance)
            | MembershipChange::Recovered(instance)
            | MembershipChange::Died(instance)
            | MembershipChange::Left(instance) => instance,
            MembershipChange::Replaced(_)
            | MembershipChange::NameConflict(_)
            | MembershipChange::NameConflictResolved(_)
            | MembershipChange::Refuted => return,
            MembershipChange::Stalled(_) => return,
        };
        let Some(subject) = self.nodes_by_instance.get(instance).copied() else { return };
        let Some(membership) = &self.nodes[node].membership else { return };
        let instances = self.instances_by_node[subject].iter();
        let view = instances.filter_map(|instance| membership.peer(*instance)).map(|peer| peer.state).min();
        if self.nodes[node].recorded_views[subject] != view {
            self.nodes[node].recorded_views[subject] = view;
            let state = view.map_or("unknown".to_owned(), |state| state.to_string());
            self.record_event(Event::MemberView { node, observed: subject, state });
        }
    }

    /// Returns the nodes that a fault acts on.
    pub(super) fn affected_nodes(fault: &PlannedFault) -> impl Iterator<Item = usize> {
        fault.on.iter().filter_map(|party| if let Party::Node(node) = party { Some(*node) } else { None })
    }

    fn start_fault(&mut self, index: usize) {
        let fault = &self.plan.faults[index];
        self.record_event(Event::fault(fault, true));
        match fault.kind.target() {
            FaultTarget::Link => return self.link_faults.begin(index, fault),
            FaultTarget::Host => return self.set_host_fault(index, true),
            FaultTarget::DiscoveryList => return self.set_discovery_fault(index, true),
            FaultTarget::Process => {}
        }
        for node in Self::affected_nodes(fault) {
            match fault.kind {
                FaultKind::Kill => {
                    self.record_event(Event::Process { node, change: ProcessChange::Killed, status: None });
                    self.record_event(Event::Process {
                        node,
                        change: ProcessChange::Ended,
                        status: Some("killed".to_owned()),
                    });
                    self.end_node(node, false);
                }
                FaultKind::Stop => {
                    self.record_event(Event::Process { node, change: ProcessChange::Stopping, status: None });
                    let now = self.local_time(node);
                    let effects =
                        self.nodes[node].membership.as_mut().map(|membership| membership.leave(now));
                    self.apply_membership_effects(node, effects.unwrap_or_default());
                    self.end_node(node, true);
                    self.record_event(Event::Process {
                        node,
                        change: ProcessChange::Ended,
                        status: Some("left".to_owned()),
                    });
                }
                _ => {
                    self.record_event(Event::Process { node, change: ProcessChange::Paused, status: None });
                    self.nodes[node].paused = true;
                }
            }
        }
    }

    /// Ends a node's process; `graceful` is false if it was killed.
    fn end_node(&mut self, node: usize, graceful: bool) {
        self.end_traffic_node(node, graceful);
        self.collect_membership_metrics(node);
        self.nodes[node].timer_generation += 1;
        self.nodes[node].queued_datagrams.clear();
    }

    fn end_fault(&mut self, index: usize) {
        let fault = &self.plan.faults[index];
        self.record_event(Event::fault(fault, false));
        match fault.kind.target() {
            FaultTarget::Link => return self.link_faults.end(index),
            FaultTarget::Host => return self.set_host_fault(index, false),
            FaultTarget::DiscoveryList => return self.set_discovery_fault(index, false),
            FaultTarget::Process => {}
        }
        for node in Self::affected_nodes(fault) {
            if fault.kind != FaultKind::Pause {
                let record = self.new_member_record(node);
                self.start_node(node, record, &[], false);
                continue;
            }
            self.record_event(Event::Process { node, change: ProcessChange::Resumed, status: None });
            self.nodes[node].paused = false;
            // A resumed process handles its expired timer first, then the datagrams in its socket's buffer.
            let now = self.local_time(node);
            let effects =
                self.nodes[node].membership.as_mut().map(|membership| membership.handle_timeout(now));
            self.apply_membership_effects(node, effects.unwrap_or_default());
            for (from, bytes) in std::mem::take(&mut self.nodes[node].queued_datagrams) {
                self.receive_datagram(node, from, bytes);
            }
            self.resume_traffic_node(node);
            self.schedule_membership_timer(node);
        }
    }
}
