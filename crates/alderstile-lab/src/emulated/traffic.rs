//! Clients, the front, nodes that choose, hosts and discovery of an emulated run.
//!
//! A client's request goes to a node, from there to a host, and back, each way with its delay and its faults. What ends at one
//! party ends at all of them, the host first; only what is on its way is late. Stated in `docs/lab.md` with what is left out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use alderstile::types::{
    Action, BalancerSettings, ClassSettings, Costs, Endpoint, EndpointListKind, EndpointState, Event,
    Idempotency, Micros, Outcome, RequestId, ServerId, TimerToken, WeightMeaning,
};
use alderstile_cluster::host_assignment::{
    HostAssignment, HostAssignmentConfig, TRAFFIC_METADATA_TAG, traffic_from_metadata,
};
use alderstile_cluster::membership::Peer;
use alderstile_cluster::subsetting::{SubsetHost, SubsetNode, SubsettingParams, TrafficShares, share_table};
use rand::RngExt;

use super::hosts::{Host, TICK};
use super::strategies::{Chooser, Strategy, StrategySpec};
use super::{What, World, micros};
use crate::history::{Event as Line, ProcessChange};
use crate::schedule::{Feature as On, Idempotency as Repeats, Party, Plan};

/// A connection to a host that never comes up has failed after this: what a node waits where nothing else is set.
const CONNECT: u64 = 250_000;
/// How long after a notice something new may still reach a draining host, seconds.
const GRACE_S: f64 = 0.5;
/// A node brings its part of the hosts up to date this often.
const SHARES_EVERY: u64 = 1_000_000;
/// The time within which messages are wanted: the lab's own.
const MESSAGE_AIM: Micros = Micros::from_millis(300);
/// The time within which a set-up has its full worth: the lab's own.
const SETUP_AIM: Micros = Micros::from_millis(500);
/// Bits of a request's number that tell which of its client's it is.
pub(super) const SERIAL_BITS: u32 = 24;

/// Traffic metrics of an emulated run: what a load-balancing strategy achieved, besides the history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficMetrics {
    /// Samples (one per client and half second) in which a client wanted to be served.
    pub demand_samples: u64,
    /// Those of `demand_samples` in which the client was served.
    pub served_samples: u64,
    /// Time from each request to its `UP`, seconds.
    pub setup_latencies_s: Vec<f32>,
    /// Requests that were rejected or failed.
    pub unserved_requests: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Clients told to migrate to another host.
    pub migrations: u64,
    /// Cold hosts that failed from overload.
    pub cold_overloads: u64,
    /// Highest load of a cold host relative to the load at which it fails.
    pub cold_load_peak: f64,
    /// Sum of the same ratio over all samples of cold hosts, and the number of samples.
    pub cold_load: (f64, f64),
    /// Sum over samples (one per second) of the connections on the busiest host relative to its fair share, and the
    /// number of samples.
    pub imbalance: (f64, u64),
    /// The same ratio in the last sample.
    pub last_imbalance: f64,
    /// Connections open in the last sample.
    pub open_connections: u64,
    /// Highest number of connections open in one sample.
    pub peak_open_connections: u64,
    /// Hosts on which a node has connections, summed over nodes and samples, and the number of nodes times samples.
    pub hosts_used: (f64, u64),
}

impl TrafficMetrics {
    /// Share of the samples with demand in which the client was served.
    pub fn served_share(&self) -> f64 {
        self.served_samples as f64 / self.demand_samples.max(1) as f64
    }

    /// Mean and 99th percentile of the time from a request to its `UP`, seconds.
    pub fn setup_latency_s(&self) -> (f64, f64) {
        let mut all = self.setup_latencies_s.clone();
        all.sort_unstable_by(f32::total_cmp);
        let mean = all.iter().map(|s| f64::from(*s)).sum::<f64>() / all.len().max(1) as f64;
        (mean, all.get(all.len() * 99 / 100).map_or(0.0, |s| f64::from(*s)))
    }

    /// Mean over time of the connections on the busiest host relative to its fair share.
    pub fn mean_imbalance(&self) -> f64 {
        self.imbalance.0 / self.imbalance.1.max(1) as f64
    }
}

/// Something that happens to clients, nodes, hosts or the list.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A client comes, for something new or again.
    Comes { client: usize, fresh: bool },
    /// What concerns a client's request.
    Of { client: usize, serial: u32, what: Part },
    /// A node's timer.
    Timer { node: usize, life: u64, token: TimerToken },
    /// A node hears how long messages take at a host.
    Note { node: usize, host: usize, late: u64 },
    /// A node hears from another.
    Peer { node: usize, from: usize, data: Vec<u8> },
    /// A node calls for the list.
    Calls { node: usize, life: u64 },
    /// A list reaches a node; a whole one where no host is named. None: the call failed.
    Lists { node: usize, life: u64, of: Option<Option<usize>> },
    /// Discovery hears of a host.
    Heard { host: usize, state: EndpointState, started: Option<u64> },
    /// A host's process starts.
    HostUp { host: usize, life: u64 },
    /// A node brings its part of the hosts up to date.
    Shares { node: usize, life: u64 },
    /// Hosts add up what was asked.
    Tick,
    /// Clients and the front look round.
    Beat,
}

/// What happens to a request.
#[derive(Clone, Debug)]
pub(super) enum Part {
    /// It reaches its node.
    Asks,
    /// Its client's time is over, at the node.
    Deadline,
    /// Its client waits no longer.
    GivesUp,
    /// An attempt reaches a host.
    Reaches { attempt: u32, host: usize },
    /// What became of an attempt reaches the node.
    Result { attempt: u32, outcome: Outcome, receipt: Option<String> },
    /// The final answer reaches the client; when to come again.
    Final { up: Option<String>, word: &'static str, wait: u64 },
    /// Its host's process has ended.
    Broke,
    /// Nothing comes any more: the client leaves, or the node tells it to move.
    Silent { by_client: bool },
    /// The client was told to move.
    Moved,
    /// The client has had what it wanted.
    Leaves,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    Idle,
    /// At its node, or on the way there.
    Asking,
    /// An attempt is out.
    Trying(usize),
    Up(usize),
}

pub(super) struct Client {
    pub(super) class: usize,
    pub(super) serial: u32,
    pub(super) stage: Stage,
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) attempt: u32,
    pub(super) load: f64,
    /// It wants to be served until then.
    pub(super) till: u64,
    pub(super) wants: bool,
    /// It wanted that at the last beat already.
    pub(super) wanted: bool,
    /// Its `UP` has come.
    pub(super) told: bool,
    pub(super) deaf: u32,
    /// When it was last served.
    pub(super) served: u64,
    pub(super) opened: u64,
}

/// What a fault does to a node's list.
#[derive(Clone, Debug, Default)]
pub(super) struct Telling {
    pub(super) late: u64,
    pub(super) leaves_out: BTreeSet<usize>,
    pub(super) lies: BTreeSet<usize>,
    pub(super) refuses: bool,
}

/// A node as clients and hosts see it.
pub(super) struct Side {
    pub(super) chooser: Option<Chooser>,
    pub(super) choices: HostAssignment,
    pub(super) life: u64,
    pub(super) ready: bool,
    /// The last process was told to stop.
    pub(super) stopped: bool,
    /// Clients with a request there.
    pub(super) clients: BTreeSet<usize>,
    /// What came while it stood still.
    pub(super) late: Vec<Step>,
    pub(super) heard: Option<u64>,
    pub(super) telling: Telling,
    pub(super) told: Vec<EndpointState>,
}

/// All of them.
pub(super) struct Fleet {
    parts: HostAssignmentConfig,
    tables: Tables,
    pub(super) way: Strategy,
    pub(super) settings: BalancerSettings,
    pub(super) late_at: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) listed: Vec<(EndpointState, Option<u64>)>,
    pub(super) clients: Vec<Client>,
    pub(super) sides: Vec<Side>,
    /// Nodes that clients are dealt to, with their shares summed.
    pub(super) front: Vec<(usize, f64)>,
    pub(super) list_free: u64,
    pub(super) receipts: u64,
    pub(super) traffic: TrafficMetrics,
}

pub(super) fn request_id(client: usize, serial: u32) -> RequestId {
    RequestId((client as u64) << SERIAL_BITS | u64::from(serial))
}

pub(super) fn server_id(host: usize) -> ServerId {
    ServerId(host as u64 + 1)
}

pub(super) fn of(client: usize, serial: u32, what: Part) -> Step {
    Step::Of { client, serial, what }
}

impl Fleet {
    /// The parties of a plan; none where it has no hosts or no clients.
    pub(super) fn new(plan: &Plan, choice: &StrategySpec) -> Self {
        let has = |part| choice.features.contains(&part) || plan.subsetting.enabled.contains(&part);
        let rule = SubsettingParams {
            hosts_per_node: plan.subsetting.hosts_per_node,
            nodes_per_host: plan.subsetting.nodes_per_host,
            prefer_own_zone: plan.subsetting.prefer_own_zone,
        };
        let subsets = (choice.strategy == Strategy::Alderstile && has(On::Subsets)).then_some(rule);
        let parts = HostAssignmentConfig {
            subsetting: subsets,
            added_host_retention: Micros(micros(plan.subsetting.added_host_retention_s)),
            warm_up: Micros(micros(plan.hosts.warm_up_s)),
        };
        let on = plan.hosts.count > 0 && !plan.clients.is_empty();
        let settings = settings(plan);
        let count = if on { plan.hosts.count } else { 0 };
        let weights = plan.hosts.weights.iter().cycle();
        let hosts = weights.take(count).map(|weight| Host::new(&plan.hosts, *weight, plan.nodes)).collect();
        let classes = plan.clients.iter().enumerate().filter(|_| on);
        let clients = classes.flat_map(|(class, kind)| std::iter::repeat_n(class, kind.count));
        let client = |class| Client {
            class,
            serial: 0,
            stage: Stage::Idle,
            node: 0,
            life: 0,
            attempt: 0,
            load: 0.0,
            till: 0,
            wants: false,
            wanted: false,
            told: false,
            deaf: 0,
            served: 0,
            opened: 0,
        };
        let side = |node| Side {
            chooser: None,
            choices: HostAssignment::new(parts, peer(plan, node), true),
            life: 0,
            ready: false,
            stopped: false,
            clients: BTreeSet::new(),
            late: Vec::new(),
            heard: None,
            telling: Telling::default(),
            told: vec![EndpointState::Ready; count],
        };
        Fleet {
            parts,
            tables: Tables::default(),
            way: choice.strategy,
            late_at: MESSAGE_AIM.0 / 3,
            settings,
            hosts,
            listed: vec![(EndpointState::Ready, None); count],
            clients: clients.map(client).collect(),
            sides: (0..plan.nodes).map(side).collect(),
            front: Vec::new(),
            list_free: 0,
            receipts: 0,
            traffic: TrafficMetrics::default(),
        }
    }

    /// Whether there is any traffic.
    pub(super) fn on(&self) -> bool {
        !self.hosts.is_empty()
    }

    /// The first line of the history.
    pub(super) fn head(&self, plan: &Plan, period_s: f64) -> Line {
        let classes = plan.clients.iter().map(|kind| (kind.class.clone(), kind.idempotency));
        Line::Run {
            title: plan.title.clone(),
            seed: plan.seed,
            on: "emulated".to_owned(),
            length_s: plan.length_s,
            nodes: plan.nodes,
            hosts: self.hosts.len(),
            classes: if self.on() { classes.collect() } else { BTreeMap::new() },
            grace_s: if self.on() { GRACE_S } else { 0.0 },
            period_s,
        }
    }

    pub(super) fn entry(&self, node: usize, host: usize, rate: f64) -> Option<Endpoint> {
        let telling = &self.sides[node].telling;
        let (mut state, started) = self.listed[host];
        if state == EndpointState::Ready && telling.lies.contains(&host) {
            state = EndpointState::Draining;
        }
        let zones = usize::from(self.settings.zone).max(1);
        let started = started.map(|at| Micros((at as f64 * rate) as u64));
        let (zone, weight) = ((host % zones) as u16, self.hosts[host].weight);
        let entry = Endpoint { id: server_id(host), zone, cell: 0, state, weight, started, joined: None };
        (!telling.leaves_out.contains(&host)).then_some(entry)
    }
}

/// A node as others know it.
fn peer(plan: &Plan, node: usize) -> SubsetNode {
    let zone = (node % plan.zones.len()) as u16;
    SubsetNode { name: format!("n{node}").into(), zone, traffic: 0.0 }
}

/// Tables of shares that were worked out of late: emulated nodes with the same view share them.
#[derive(Default)]
struct Tables(VecDeque<Table>);

/// For whom a table is, and each node's row of it.
struct Table {
    nodes: Vec<SubsetNode>,
    hosts: Vec<SubsetHost>,
    rows: BTreeMap<Box<str>, TrafficShares>,
}

impl Tables {
    /// So many different views at a time are remembered.
    const KEPT: usize = 12;

    fn row(
        &mut self,
        rule: SubsettingParams,
        me: &SubsetNode,
        others: &[SubsetNode],
        hosts: &[SubsetHost],
    ) -> TrafficShares {
        let mut nodes = others.to_vec();
        nodes.push(me.clone());
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(known) = self.0.iter().find(|table| table.nodes == nodes && table.hosts == hosts) {
            return known.rows.get(&me.name).cloned().unwrap_or_default();
        }
        let rows = share_table(rule, &nodes, hosts);
        let rows: BTreeMap<Box<str>, TrafficShares> =
            nodes.iter().map(|node| node.name.clone()).zip(rows).collect();
        let row = rows.get(&me.name).cloned().unwrap_or_default();
        self.0.push_front(Table { nodes, hosts: hosts.to_vec(), rows });
        self.0.truncate(Self::KEPT);
        row
    }
}

/// What every node is told: the lab's own figures and the plan's.
fn settings(plan: &Plan) -> BalancerSettings {
    let (hosts, micros) = (&plan.hosts, |s: f64| Micros(micros(s)));
    let class = |kind: &crate::schedule::ClientClass| ClassSettings {
        latency_objective: SETUP_AIM,
        priority_weight: 1.0,
        idempotency: match kind.idempotency {
            Repeats::Idempotent => Idempotency::Idempotent,
            Repeats::NotIdempotent => Idempotency::NotIdempotent,
        },
        dedup_window: Micros(0),
        message_latency_objective: Some(MESSAGE_AIM),
    };
    BalancerSettings {
        node_count: plan.nodes as u32,
        node_index: None,
        // The number of zones; each node gets its own in its place.
        zone: plan.zones.len() as u16,
        classes: plan.clients.iter().map(class).collect(),
        must_subscribe: true,
        max_poll_interval: Micros::from_millis(10_000),
        max_attempts: 3,
        retry_after_allowed: true,
        max_retry_after: Micros::from_millis(2_000),
        probes_allowed: false,
        gossip_allowed: false,
        weight_meaning: WeightMeaning::NominalCapacity,
        servers_report_delay: true,
        migrate_from_draining: true,
        groups: false,
        group_load: 0.0,
        report_fields: Vec::new(),
        warm_up: micros(hosts.warm_up_s),
        warm_up_initial_capacity: hosts.warm_up_initial,
        overload_multiple: hosts.overload_multiple,
        overload_window: micros(hosts.overload_window_s),
        retry_budget: None,
        deadline_tolerance: Micros(0),
        removal_is_advisory: false,
        start_time_tolerance: Micros(0),
        drain_grace: Micros(0),
        costs: Costs::default(),
        tenants: Vec::new(),
        cpu_us_per_s: None,
    }
}

impl World<'_> {
    pub(super) fn step(&mut self, at: u64, what: Step) {
        if self.fleet.on() {
            self.add(at, What::Fleet(what));
        }
    }

    /// Clients come, hosts and the front begin to look round.
    pub(super) fn open_day(&mut self) {
        for client in 0..self.fleet.clients.len() {
            let rest = self.plan.clients[self.fleet.clients[client].class].rest_s;
            let first = self.drawn(rest);
            self.step(first, Step::Comes { client, fresh: true });
        }
        self.step(TICK, Step::Tick);
        self.step(0, Step::Beat);
    }

    /// Exponential, cut off at five times the mean, as the clients of runs on processes are.
    pub(super) fn drawn(&mut self, mean_s: f64) -> u64 {
        micros(mean_s * (-(1.0 - self.rng.random::<f64>()).ln()).min(5.0))
    }

    pub(super) fn soon(&mut self) -> u64 {
        50_000 + self.rng.random_range(0..150_000)
    }

    /// The way from one to the other now: how long it takes, or none where nothing passes.
    pub(super) fn way(&mut self, from: Party, to: Party) -> Option<u64> {
        let link = self.faults.link(from, to);
        let mut late = link.delay_s + link.jitter_s * self.rng.random::<f64>();
        // A piece of a stream that is lost comes 200 ms later.
        if link.loss > 0.0 && self.rng.random::<f64>() < link.loss {
            late += 0.2;
        }
        (!link.cut).then(|| micros(late).max(1))
    }

    // ---- nodes ----

    /// A node's process starts. At the start of a run it knows the list.
    pub(super) fn side_starts(&mut self, node: usize, knows: bool) {
        if !self.fleet.on() {
            self.write(Line::Process { node, change: ProcessChange::Ready, status: None });
            return;
        }
        let (seed, now) = (self.rng.random(), self.local(node));
        let zones = self.plan.zones.len();
        let (index, zone) = (Some(node as u32), (node % zones) as u16);
        let settings = BalancerSettings { node_index: index, zone, ..self.fleet.settings.clone() };
        let mut out = Vec::new();
        let chooser = Chooser::new(self.fleet.way, &settings, seed, now, &mut out);
        let choices = HostAssignment::new(self.fleet.parts, peer(self.plan, node), true);
        let side = &mut self.fleet.sides[node];
        side.life += 1;
        (side.chooser, side.ready, side.stopped) = (Some(chooser), false, false);
        side.choices = choices;
        side.told.fill(EndpointState::Ready);
        let life = side.life;
        out.into_iter().for_each(|action| self.carry_out(node, action));
        if self.fleet.sides[node].choices.is_enabled() {
            let first = self.rng.random_range(0..SHARES_EVERY);
            self.step(self.now + first, Step::Shares { node, life });
        }
        if knows {
            self.lists(node, Some(None));
        } else {
            self.calls(node, life);
        }
    }

    /// A node's process ends: all at it are cut off, or told to come again where it was told to stop.
    pub(super) fn side_ends(&mut self, node: usize, stopped: bool) {
        let side = &mut self.fleet.sides[node];
        (side.chooser, side.ready, side.stopped) = (None, false, stopped);
        side.life += 1;
        side.late.clear();
        for client in std::mem::take(&mut side.clients) {
            let (serial, stage) = (self.fleet.clients[client].serial, self.fleet.clients[client].stage);
            let told = self.fleet.clients[client].told;
            match stage {
                Stage::Up(_) if stopped && told => self.closed(client, "move"),
                // What was asked and not answered is answered now, as far as a process can.
                _ if stopped && !told => self.answered(client, "busy", None),
                _ => self.closed(client, "reset"),
            }
            self.release(client, serial);
            let soon = self.soon();
            self.step(self.now + soon, Step::Comes { client, fresh: false });
        }
    }

    /// A node that stood still goes on.
    pub(super) fn side_resumes(&mut self, node: usize) {
        for step in std::mem::take(&mut self.fleet.sides[node].late) {
            self.happens(step);
        }
    }

    /// A node's part of the hosts follows its members and what it avoids.
    pub(super) fn shares(&mut self, node: usize) {
        let others = self.others(node);
        let now = self.local(node);
        let held = self.fleet.sides[node].clients.len();
        if let Some(members) = &mut self.nodes[node].members
            && let Some(level) = self.fleet.sides[node].choices.traffic_report(now, held)
        {
            // A byte always fits.
            let _ = members.set_metadata(TRAFFIC_METADATA_TAG, &level);
        }
        let Fleet { sides, tables, .. } = &mut self.fleet;
        let Side { chooser: Some(chooser), choices, .. } = &mut sides[node] else { return };
        choices.set_nodes(others);
        let changed = choices.refresh_with(now, &chooser.unreached(), |rule, me, others, hosts| {
            tables.row(rule, me, others, hosts)
        });
        if !changed.is_empty() {
            self.decide(node, Event::EndpointList(EndpointListKind::Delta, changed));
        }
    }

    /// The other nodes as this one sees them: all that there are, where nobody tells.
    fn others(&self, node: usize) -> Vec<SubsetNode> {
        let Some(members) = &self.nodes[node].members else {
            return (0..self.plan.nodes)
                .filter(|other| *other != node)
                .map(|other| peer(self.plan, other))
                .collect();
        };
        let lives = members.peers().filter(|member| member.state.is_live());
        let zone = |name: &str| self.plan.zones.iter().position(|zone| zone == name).unwrap_or(0) as u16;
        let node = |member: &Peer| SubsetNode {
            name: member.record.name.clone(),
            zone: zone(&member.record.zone),
            traffic: traffic_from_metadata(member.record.metadata_value(TRAFFIC_METADATA_TAG)),
        };
        lives.map(node).collect()
    }

    pub(super) fn decide(&mut self, node: usize, event: Event) {
        let (now, at) = (self.local(node), self.now);
        let Fleet { hosts, sides, .. } = &mut self.fleet;
        let truth = |id: ServerId| hosts.get(id.0 as usize - 1).map_or(f64::INFINITY, |host| host.ratio(at));
        let mut out = Vec::new();
        if let Some(chooser) = &mut sides[node].chooser {
            chooser.handle(now, event, &truth, &mut out);
        }
        out.into_iter().for_each(|action| self.carry_out(node, action));
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let life = self.fleet.sides[node].life;
        let split = |id: RequestId| ((id.0 >> SERIAL_BITS) as usize, id.0 as u32 & ((1 << SERIAL_BITS) - 1));
        match action {
            Action::Forward(id, server, _) => {
                let ((client, serial), host) = (split(id), server.0 as usize - 1);
                let who = &mut self.fleet.clients[client];
                who.attempt += 1;
                who.stage = Stage::Trying(host);
                let attempt = who.attempt;
                self.fleet.traffic.retries += u64::from(attempt > 1);
                let (forth, back) = (Party::Node(node), Party::Host(host));
                let part = match (self.way(forth, back), self.faults.link(back, forth).cut) {
                    (Some(late), false) => (late, Part::Reaches { attempt, host }),
                    _ => (CONNECT, Part::Result { attempt, outcome: Outcome::ConnectFailed, receipt: None }),
                };
                self.step(self.now + part.0, of(client, serial, part.1));
            }
            Action::Reject(id, wait) => self.decline(node, split(id), "busy", wait.map_or(0, |wait| wait.0)),
            Action::Fail(id) => self.decline(node, split(id), "failed", 0),
            Action::Migrate(id) => {
                let (client, serial) = split(id);
                self.fleet.traffic.migrations += 1;
                if let Some(late) = self.way(Party::Node(node), Party::Clients) {
                    self.step(self.now + late, of(client, serial, Part::Moved));
                }
            }
            Action::SetTimer(after, token) => {
                let after = (after.0 as f64 / self.nodes[node].rate).ceil() as u64;
                self.step(self.now + after.max(1), Step::Timer { node, life, token });
            }
            Action::WatchEndpoints => self.calls(node, life),
            Action::Broadcast(data) => {
                for other in (0..self.plan.nodes).filter(|other| *other != node) {
                    if let Some(late) = self.way(Party::Node(node), Party::Node(other)) {
                        let step = Step::Peer { node: other, from: node, data: data.clone() };
                        self.step(self.now + late, step);
                    }
                }
            }
            // The program round the module looks at no host, and nobody reads an emulated node's lines.
            Action::Probe(_) | Action::Log(..) => {}
        }
    }

    fn decline(&mut self, node: usize, (client, serial): (usize, u32), word: &'static str, wait: u64) {
        self.fleet.traffic.unserved_requests += 1;
        self.fleet.sides[node].clients.remove(&client);
        self.off_host(client, serial);
        self.fleet.clients[client].stage = Stage::Asking;
        if let Some(late) = self.way(Party::Node(node), Party::Clients) {
            self.step(self.now + late, of(client, serial, Part::Final { up: None, word, wait }));
        }
    }

    /// The node that a step is for.
    fn at_node(&self, step: &Step) -> Option<usize> {
        match step {
            Step::Shares { node, .. } => Some(*node),
            Step::Timer { node, .. } | Step::Note { node, .. } | Step::Peer { node, .. } => Some(*node),
            Step::Lists { node, .. } => Some(*node),
            Step::Of {
                client,
                what: Part::Asks | Part::Deadline | Part::Result { .. } | Part::Broke,
                ..
            } => Some(self.fleet.clients[*client].node),
            _ => None,
        }
    }

    pub(super) fn happens(&mut self, step: Step) {
        if let Some(node) = self.at_node(&step).filter(|node| self.nodes[*node].paused) {
            self.fleet.sides[node].late.push(step);
            return;
        }
        let runs = |world: &Self, node: usize, life| world.fleet.sides[node].life == life;
        match step {
            Step::Comes { client, fresh } => self.client_comes(client, fresh),
            Step::Of { client, serial, what } => self.of_request(client, serial, what),
            Step::Timer { node, life, token } if runs(self, node, life) => {
                self.decide(node, Event::Timer(token));
            }
            Step::Note { node, host, late } => {
                self.decide(node, Event::DelayReported(server_id(host), late as f64 / 1e3));
            }
            Step::Peer { node, from, data } => self.decide(node, Event::PeerMessage(from as u32, data)),
            Step::Calls { node, life } => self.called(node, life),
            Step::Lists { node, life, of } if runs(self, node, life) => self.lists(node, of),
            Step::Shares { node, life } if runs(self, node, life) => {
                self.step(self.now + SHARES_EVERY, Step::Shares { node, life });
                self.shares(node);
            }
            Step::Heard { host, state, started } => self.heard(host, state, started),
            Step::HostUp { host, life } => self.host_up(host, life),
            Step::Tick => self.tick_hosts(),
            Step::Beat => self.beat(),
            Step::Timer { .. } | Step::Lists { .. } | Step::Shares { .. } => {}
        }
    }
}
