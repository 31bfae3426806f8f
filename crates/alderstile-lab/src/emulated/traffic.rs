//! The traffic model of an emulated run: clients, the front end that distributes them, the nodes' load
//! balancers, hosts and discovery.
//!
//! A client's request travels to a node, from there to a host, and the answer back, each over its link with
//! that link's delay and faults. A connection that ends at one party ends at all parties at the same time, at
//! the host first; only messages that are already in flight arrive later. `docs/lab.md` describes the model
//! and what it leaves out.

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

use super::hosts::{Host, SAMPLE_INTERVAL};
use super::strategies::{NodeBalancer, Strategy, StrategySpec};
use super::{SimEvent, Simulation, micros};
use crate::history::{Event as HistoryEvent, ProcessChange};
use crate::schedule::{Feature, Idempotency as ScheduleIdempotency, Party, Plan};

/// Time within which a connection to a host must be established, microseconds: the default of a real node.
const CONNECT_TIMEOUT: u64 = 250_000;
/// Time after the notification during which a draining host may still receive new connections, seconds.
const DRAIN_GRACE_S: f64 = 0.5;
/// Interval at which a node refreshes its subset of the hosts, microseconds.
const SUBSET_REFRESH_INTERVAL: u64 = 1_000_000;
/// Latency objective of messages; specific to the simulator.
const MESSAGE_LATENCY_OBJECTIVE: Micros = Micros::from_millis(300);
/// Latency objective of connection setups; specific to the simulator.
const SETUP_LATENCY_OBJECTIVE: Micros = Micros::from_millis(500);
/// Bits of a request ID that hold the request's serial number at its client.
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
    /// Sum over samples (one per second) of the connections on the busiest host relative to its fair share,
    /// and the number of samples.
    pub imbalance: (f64, u64),
    /// The same ratio in the last sample.
    pub last_imbalance: f64,
    /// Connections open in the last sample.
    pub open_connections: u64,
    /// Highest number of connections open in one sample.
    pub peak_open_connections: u64,
    /// Hosts on which a node has connections, summed over nodes and samples, and the number of nodes times
    /// samples.
    pub hosts_used: (f64, u64),
}

impl TrafficMetrics {
    /// Returns the share of the samples with demand in which the client was served.
    pub fn served_share(&self) -> f64 {
        self.served_samples as f64 / self.demand_samples.max(1) as f64
    }

    /// Returns the mean and the 99th percentile of the time from a request to its `UP`, seconds.
    pub fn setup_latency_s(&self) -> (f64, f64) {
        let mut all = self.setup_latencies_s.clone();
        all.sort_unstable_by(f32::total_cmp);
        let mean = all.iter().map(|s| f64::from(*s)).sum::<f64>() / all.len().max(1) as f64;
        (mean, all.get(all.len() * 99 / 100).map_or(0.0, |s| f64::from(*s)))
    }

    /// Returns the mean over time of the connections on the busiest host relative to its fair share.
    pub fn mean_imbalance(&self) -> f64 {
        self.imbalance.0 / self.imbalance.1.max(1) as f64
    }
}

/// An event of clients, nodes, hosts or discovery.
#[derive(Clone, Debug)]
pub(super) enum TrafficEvent {
    /// A client connects, for a new session or again in the same one.
    ClientArrival { client: usize, new_session: bool },
    /// An event of a client's request.
    Request { client: usize, serial: u32, event: RequestEvent },
    /// A timer of a node's balancer expires.
    BalancerTimer { node: usize, incarnation: u64, token: TimerToken },
    /// A host's report of its message delay arrives at a node, microseconds.
    DelayReport { node: usize, host: usize, delay: u64 },
    /// A message from another node's balancer arrives.
    PeerMessage { node: usize, from: usize, data: Vec<u8> },
    /// A node's request for the endpoint list arrives at discovery.
    ListRequest { node: usize, incarnation: u64 },
    /// An endpoint list arrives at a node: an update of one host, or a full list if no host is named. `None`
    /// if the request failed.
    ListResponse { node: usize, incarnation: u64, list: Option<Option<usize>> },
    /// Discovery is notified of a host's state.
    HostNotification { host: usize, state: EndpointState, started: Option<u64> },
    /// A host's process starts.
    HostStart { host: usize, incarnation: u64 },
    /// A node refreshes its subset of the hosts.
    SubsetRefresh { node: usize, incarnation: u64 },
    /// The load of all hosts is sampled.
    HostSample,
    /// The front end checks the nodes, and the service of all clients is sampled.
    ServiceSample,
}

/// An event of a request.
#[derive(Clone, Debug)]
pub(super) enum RequestEvent {
    /// The request arrives at its node.
    NodeArrival,
    /// The request's deadline expires at the node.
    Deadline,
    /// The client stops waiting for its answer.
    ClientTimeout,
    /// An attempt arrives at a host.
    HostArrival { attempt: u32, host: usize },
    /// The result of an attempt arrives at the node.
    AttemptResult { attempt: u32, outcome: Outcome, receipt: Option<String> },
    /// The final answer arrives at the client; `retry_after` is in microseconds.
    FinalAnswer { receipt: Option<String>, status: &'static str, retry_after: u64 },
    /// The node learns that the process of the request's host has ended.
    HostEnded,
    /// A party closes a connection on which nothing has arrived for some time: the client, or the node, which
    /// tells the client to migrate.
    SilenceTimeout { by_client: bool },
    /// The client is told to migrate.
    Migration,
    /// The client ends its session.
    ClientDeparture,
}

/// The stage of a client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestState {
    /// There is no request.
    Idle,
    /// The request is at its node, or in flight to it, or its answer is in flight to the client.
    AtNode,
    /// An attempt at this host is under way.
    Attempting(usize),
    /// A connection through to this host is established.
    Established(usize),
}

pub(super) struct Client {
    pub(super) class: usize,
    /// Serial number of the current or last request.
    pub(super) serial: u32,
    pub(super) state: RequestState,
    pub(super) node: usize,
    /// The node's incarnation when the request was sent.
    pub(super) node_incarnation: u64,
    /// Number of attempts of the request.
    pub(super) attempts: u32,
    /// Load of the client's connection, microseconds of work per second.
    pub(super) load: f64,
    /// When the client's session ends.
    pub(super) session_end: u64,
    /// Whether the client wants to be served.
    pub(super) in_session: bool,
    /// Whether the client wanted to be served at the last sample.
    pub(super) in_session_at_sample: bool,
    /// Whether the client has received `UP`.
    pub(super) up_received: bool,
    /// Consecutive samples in which nothing could arrive at the client.
    pub(super) silent_samples: u32,
    /// When the client was last served.
    pub(super) last_served: u64,
    /// When the request was sent.
    pub(super) sent_at: u64,
}

/// The effect of faults on the endpoint lists that a node receives.
#[derive(Clone, Debug, Default)]
pub(super) struct DiscoveryFaults {
    /// Added delay, microseconds.
    pub(super) delay: u64,
    /// Hosts that are missing from the lists.
    pub(super) omitted_hosts: BTreeSet<usize>,
    /// Ready hosts that are listed as draining.
    pub(super) misreported_hosts: BTreeSet<usize>,
    /// Whether requests are refused.
    pub(super) refuses: bool,
}

/// The traffic side of a node: its balancer, its clients and its view of discovery.
pub(super) struct TrafficNode {
    pub(super) balancer: Option<NodeBalancer>,
    pub(super) host_assignment: HostAssignment,
    /// Incremented at each start and end of the process.
    pub(super) incarnation: u64,
    pub(super) ready: bool,
    /// Whether the last process was stopped gracefully.
    pub(super) stopped_gracefully: bool,
    /// Clients with a request at the node.
    pub(super) clients: BTreeSet<usize>,
    /// Events that arrived while the process was paused.
    pub(super) deferred_events: Vec<TrafficEvent>,
    /// When the node last answered the front end.
    pub(super) last_answer: Option<u64>,
    pub(super) discovery_faults: DiscoveryFaults,
    /// State of each host as last received from discovery.
    pub(super) received_states: Vec<EndpointState>,
}

/// The state of clients, nodes, hosts and discovery.
pub(super) struct TrafficModel {
    assignment_config: HostAssignmentConfig,
    share_tables: ShareTableCache,
    pub(super) strategy: Strategy,
    pub(super) balancer_settings: BalancerSettings,
    /// Message delay at or above which a host reports it, microseconds.
    pub(super) delay_report_threshold: u64,
    pub(super) hosts: Vec<Host>,
    /// State and start time of each host as discovery lists it.
    pub(super) listed_hosts: Vec<(EndpointState, Option<u64>)>,
    pub(super) clients: Vec<Client>,
    pub(super) nodes: Vec<TrafficNode>,
    /// Nodes to which the front end sends clients, with the running sum of their weights.
    pub(super) available_nodes: Vec<(usize, f64)>,
    /// When discovery will have answered all list requests received so far.
    pub(super) discovery_idle_at: u64,
    /// Number of receipts that hosts have given.
    pub(super) receipts: u64,
    pub(super) metrics: TrafficMetrics,
}

pub(super) fn request_id(client: usize, serial: u32) -> RequestId {
    RequestId((client as u64) << SERIAL_BITS | u64::from(serial))
}

pub(super) fn server_id(host: usize) -> ServerId {
    ServerId(host as u64 + 1)
}

pub(super) fn request_event(client: usize, serial: u32, event: RequestEvent) -> TrafficEvent {
    TrafficEvent::Request { client, serial, event }
}

impl TrafficModel {
    /// Creates the nodes, hosts and clients of a plan; no hosts and no clients if the plan lacks either.
    pub(super) fn new(plan: &Plan, spec: &StrategySpec) -> Self {
        let has = |feature| spec.features.contains(&feature) || plan.subsetting.enabled.contains(&feature);
        let subsetting = SubsettingParams {
            hosts_per_node: plan.subsetting.hosts_per_node,
            nodes_per_host: plan.subsetting.nodes_per_host,
            prefer_own_zone: plan.subsetting.prefer_own_zone,
        };
        let subsetting =
            (spec.strategy == Strategy::Alderstile && has(Feature::Subsets)).then_some(subsetting);
        let assignment_config = HostAssignmentConfig {
            subsetting,
            added_host_retention: Micros(micros(plan.subsetting.added_host_retention_s)),
            warm_up: Micros(micros(plan.hosts.warm_up_s)),
        };
        let enabled = plan.hosts.count > 0 && !plan.clients.is_empty();
        let balancer_settings = balancer_settings(plan);
        let host_count = if enabled { plan.hosts.count } else { 0 };
        let weights = plan.hosts.weights.iter().cycle();
        let hosts =
            weights.take(host_count).map(|weight| Host::new(&plan.hosts, *weight, plan.nodes)).collect();
        let classes = plan.clients.iter().enumerate().filter(|_| enabled);
        let client_classes = classes.flat_map(|(class, settings)| std::iter::repeat_n(class, settings.count));
        let client = |class| Client {
            class,
            serial: 0,
            state: RequestState::Idle,
            node: 0,
            node_incarnation: 0,
            attempts: 0,
            load: 0.0,
            session_end: 0,
            in_session: false,
            in_session_at_sample: false,
            up_received: false,
            silent_samples: 0,
            last_served: 0,
            sent_at: 0,
        };
        let traffic_node = |node| TrafficNode {
            balancer: None,
            host_assignment: HostAssignment::new(assignment_config, subset_node(plan, node), true),
            incarnation: 0,
            ready: false,
            stopped_gracefully: false,
            clients: BTreeSet::new(),
            deferred_events: Vec::new(),
            last_answer: None,
            discovery_faults: DiscoveryFaults::default(),
            received_states: vec![EndpointState::Ready; host_count],
        };
        TrafficModel {
            assignment_config,
            share_tables: ShareTableCache::default(),
            strategy: spec.strategy,
            delay_report_threshold: MESSAGE_LATENCY_OBJECTIVE.0 / 3,
            balancer_settings,
            hosts,
            listed_hosts: vec![(EndpointState::Ready, None); host_count],
            clients: client_classes.map(client).collect(),
            nodes: (0..plan.nodes).map(traffic_node).collect(),
            available_nodes: Vec::new(),
            discovery_idle_at: 0,
            receipts: 0,
            metrics: TrafficMetrics::default(),
        }
    }

    /// Returns whether the plan has hosts and clients.
    pub(super) fn is_enabled(&self) -> bool {
        !self.hosts.is_empty()
    }

    /// Returns the first event of the history.
    pub(super) fn run_event(&self, plan: &Plan, period_s: f64) -> HistoryEvent {
        let classes = plan.clients.iter().map(|class| (class.class.clone(), class.idempotency));
        HistoryEvent::Run {
            title: plan.title.clone(),
            seed: plan.seed,
            on: "emulated".to_owned(),
            length_s: plan.length_s,
            nodes: plan.nodes,
            hosts: self.hosts.len(),
            classes: if self.is_enabled() { classes.collect() } else { BTreeMap::new() },
            grace_s: if self.is_enabled() { DRAIN_GRACE_S } else { 0.0 },
            period_s,
        }
    }

    /// Returns the entry of a host in the endpoint list of a node whose clock runs at `clock_rate`; `None` if
    /// a fault omits the host.
    pub(super) fn endpoint(&self, node: usize, host: usize, clock_rate: f64) -> Option<Endpoint> {
        let faults = &self.nodes[node].discovery_faults;
        let (mut state, started) = self.listed_hosts[host];
        if state == EndpointState::Ready && faults.misreported_hosts.contains(&host) {
            state = EndpointState::Draining;
        }
        let zones = usize::from(self.balancer_settings.zone).max(1);
        let started = started.map(|at| Micros((at as f64 * clock_rate) as u64));
        let (zone, weight) = ((host % zones) as u16, self.hosts[host].weight);
        let endpoint = Endpoint { id: server_id(host), zone, cell: 0, state, weight, started, joined: None };
        (!faults.omitted_hosts.contains(&host)).then_some(endpoint)
    }
}

/// Returns the description of a node that subsetting uses, without traffic.
fn subset_node(plan: &Plan, node: usize) -> SubsetNode {
    let zone = (node % plan.zones.len()) as u16;
    SubsetNode { name: format!("n{node}").into(), zone, traffic: 0.0 }
}

/// Share tables that were computed recently, so that emulated nodes with the same view compute them once.
#[derive(Default)]
struct ShareTableCache(VecDeque<CachedShareTable>);

/// A share table: the view it was computed from, and the row of each node.
struct CachedShareTable {
    nodes: Vec<SubsetNode>,
    hosts: Vec<SubsetHost>,
    rows: BTreeMap<Box<str>, TrafficShares>,
}

impl ShareTableCache {
    /// Maximum number of tables kept.
    const CAPACITY: usize = 12;

    /// Returns the row of the node `own`, from the cache if it has a table of the same view.
    fn row(
        &mut self,
        params: SubsettingParams,
        own: &SubsetNode,
        others: &[SubsetNode],
        hosts: &[SubsetHost],
    ) -> TrafficShares {
        let mut nodes = others.to_vec();
        nodes.push(own.clone());
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(cached) = self.0.iter().find(|table| table.nodes == nodes && table.hosts == hosts) {
            return cached.rows.get(&own.name).cloned().unwrap_or_default();
        }
        let rows = share_table(params, &nodes, hosts);
        let rows: BTreeMap<Box<str>, TrafficShares> =
            nodes.iter().map(|node| node.name.clone()).zip(rows).collect();
        let row = rows.get(&own.name).cloned().unwrap_or_default();
        self.0.push_front(CachedShareTable { nodes, hosts: hosts.to_vec(), rows });
        self.0.truncate(Self::CAPACITY);
        row
    }
}

/// Returns the settings of every node's balancer: those of the plan, and fixed ones of the simulator.
fn balancer_settings(plan: &Plan) -> BalancerSettings {
    let (hosts, micros) = (&plan.hosts, |s: f64| Micros(micros(s)));
    let class = |class: &crate::schedule::ClientClass| ClassSettings {
        latency_objective: SETUP_LATENCY_OBJECTIVE,
        priority_weight: 1.0,
        idempotency: match class.idempotency {
            ScheduleIdempotency::Idempotent => Idempotency::Idempotent,
            ScheduleIdempotency::NotIdempotent => Idempotency::NotIdempotent,
        },
        dedup_window: Micros(0),
        message_latency_objective: Some(MESSAGE_LATENCY_OBJECTIVE),
    };
    BalancerSettings {
        node_count: plan.nodes as u32,
        node_index: None,
        // The number of zones: `start_traffic_node` replaces it with the zone of the node.
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

impl Simulation<'_> {
    pub(super) fn schedule_traffic(&mut self, at: u64, event: TrafficEvent) {
        if self.traffic.is_enabled() {
            self.schedule(at, SimEvent::Traffic(event));
        }
    }

    /// Schedules the first arrival of each client and the first samples.
    pub(super) fn start_traffic(&mut self) {
        for client in 0..self.traffic.clients.len() {
            let rest_s = self.plan.clients[self.traffic.clients[client].class].rest_s;
            let first = self.draw_exponential(rest_s);
            self.schedule_traffic(first, TrafficEvent::ClientArrival { client, new_session: true });
        }
        self.schedule_traffic(SAMPLE_INTERVAL, TrafficEvent::HostSample);
        self.schedule_traffic(0, TrafficEvent::ServiceSample);
    }

    /// Draws a duration from an exponential distribution that is cut off at five times the mean,
    /// microseconds.
    ///
    /// The clients of runs on processes use the same distribution.
    pub(super) fn draw_exponential(&mut self, mean_s: f64) -> u64 {
        micros(mean_s * (-(1.0 - self.rng.random::<f64>()).ln()).min(5.0))
    }

    /// Draws the delay before a client reconnects, 50 to 200 ms, in microseconds.
    pub(super) fn draw_reconnect_delay(&mut self) -> u64 {
        50_000 + self.rng.random_range(0..150_000)
    }

    /// Draws the current delay of a link, microseconds; `None` if the link is cut.
    pub(super) fn draw_link_delay(&mut self, from: Party, to: Party) -> Option<u64> {
        let link = self.link_faults.link(from, to);
        let mut delay_s = link.delay_s + link.jitter_s * self.rng.random::<f64>();
        // A lost segment of a stream is retransmitted and arrives 200 ms later.
        if link.loss > 0.0 && self.rng.random::<f64>() < link.loss {
            delay_s += 0.2;
        }
        (!link.cut).then(|| micros(delay_s).max(1))
    }

    /// Starts the balancer of a node. With `knows_list` (at the start of a run) the node has the endpoint
    /// list at once.
    pub(super) fn start_traffic_node(&mut self, node: usize, knows_list: bool) {
        if !self.traffic.is_enabled() {
            self.record_event(HistoryEvent::Process { node, change: ProcessChange::Ready, status: None });
            return;
        }
        let (seed, now) = (self.rng.random(), self.local_time(node));
        let zones = self.plan.zones.len();
        let (node_index, zone) = (Some(node as u32), (node % zones) as u16);
        let settings = BalancerSettings { node_index, zone, ..self.traffic.balancer_settings.clone() };
        let mut actions = Vec::new();
        let balancer = NodeBalancer::new(self.traffic.strategy, &settings, seed, now, &mut actions);
        let host_assignment =
            HostAssignment::new(self.traffic.assignment_config, subset_node(self.plan, node), true);
        let state = &mut self.traffic.nodes[node];
        state.incarnation += 1;
        (state.balancer, state.ready, state.stopped_gracefully) = (Some(balancer), false, false);
        state.host_assignment = host_assignment;
        state.received_states.fill(EndpointState::Ready);
        let incarnation = state.incarnation;
        actions.into_iter().for_each(|action| self.execute_action(node, action));
        if self.traffic.nodes[node].host_assignment.is_enabled() {
            let first = self.rng.random_range(0..SUBSET_REFRESH_INTERVAL);
            self.schedule_traffic(self.now + first, TrafficEvent::SubsetRefresh { node, incarnation });
        }
        if knows_list {
            self.receive_list(node, Some(None));
        } else {
            self.send_list_request(node, incarnation);
        }
    }

    /// Ends the balancer of a node and the requests of its clients. With `graceful`, the clients are told to
    /// migrate or are rejected; otherwise their connections are reset.
    pub(super) fn end_traffic_node(&mut self, node: usize, graceful: bool) {
        let state = &mut self.traffic.nodes[node];
        (state.balancer, state.ready, state.stopped_gracefully) = (None, false, graceful);
        state.incarnation += 1;
        state.deferred_events.clear();
        for client in std::mem::take(&mut state.clients) {
            let (serial, request_state) =
                (self.traffic.clients[client].serial, self.traffic.clients[client].state);
            let up_received = self.traffic.clients[client].up_received;
            match request_state {
                RequestState::Established(_) if graceful && up_received => self.record_closed(client, "move"),
                // A process that stops gracefully rejects the requests that it has not answered.
                _ if graceful && !up_received => self.record_answer(client, "busy", None),
                _ => self.record_closed(client, "reset"),
            }
            self.release_request(client, serial);
            let delay = self.draw_reconnect_delay();
            self.schedule_traffic(
                self.now + delay,
                TrafficEvent::ClientArrival { client, new_session: false },
            );
        }
    }

    /// Handles the events that arrived at a node while its process was paused.
    pub(super) fn resume_traffic_node(&mut self, node: usize) {
        for event in std::mem::take(&mut self.traffic.nodes[node].deferred_events) {
            self.handle_traffic_event(event);
        }
    }

    /// Updates a node's subset of the hosts from its membership and the hosts that it can't reach.
    pub(super) fn refresh_subset(&mut self, node: usize) {
        let others = self.other_nodes(node);
        let now = self.local_time(node);
        let client_count = self.traffic.nodes[node].clients.len();
        if let Some(membership) = &mut self.nodes[node].membership
            && let Some(report) = self.traffic.nodes[node].host_assignment.traffic_report(now, client_count)
        {
            // The report is one byte, which always fits into the metadata.
            let _ = membership.set_metadata(TRAFFIC_METADATA_TAG, &report);
        }
        let TrafficModel { nodes, share_tables, .. } = &mut self.traffic;
        let TrafficNode { balancer: Some(balancer), host_assignment, .. } = &mut nodes[node] else { return };
        host_assignment.set_nodes(others);
        let changed =
            host_assignment.refresh_with(now, &balancer.unreachable_hosts(), |params, own, others, hosts| {
                share_tables.row(params, own, others, hosts)
            });
        if !changed.is_empty() {
            self.handle_balancer_event(node, Event::EndpointList(EndpointListKind::Delta, changed));
        }
    }

    /// Returns the other nodes in a node's view: its live members, or all nodes if no membership protocol
    /// runs.
    fn other_nodes(&self, node: usize) -> Vec<SubsetNode> {
        let Some(membership) = &self.nodes[node].membership else {
            return (0..self.plan.nodes)
                .filter(|other| *other != node)
                .map(|other| subset_node(self.plan, other))
                .collect();
        };
        let live_peers = membership.peers().filter(|peer| peer.state.is_live());
        let zone_index =
            |name: &str| self.plan.zones.iter().position(|zone| zone == name).unwrap_or(0) as u16;
        let subset_node = |peer: &Peer| SubsetNode {
            name: peer.record.name.clone(),
            zone: zone_index(&peer.record.zone),
            traffic: traffic_from_metadata(peer.record.metadata_value(TRAFFIC_METADATA_TAG)),
        };
        live_peers.map(subset_node).collect()
    }

    /// Passes an event to a node's balancer and executes the resulting actions.
    pub(super) fn handle_balancer_event(&mut self, node: usize, event: Event) {
        let (now, at) = (self.local_time(node), self.now);
        let TrafficModel { hosts, nodes, .. } = &mut self.traffic;
        let true_load =
            |id: ServerId| hosts.get(id.0 as usize - 1).map_or(f64::INFINITY, |host| host.load_ratio(at));
        let mut actions = Vec::new();
        if let Some(balancer) = &mut nodes[node].balancer {
            balancer.handle(now, event, &true_load, &mut actions);
        }
        actions.into_iter().for_each(|action| self.execute_action(node, action));
    }

    fn execute_action(&mut self, node: usize, action: Action) {
        let incarnation = self.traffic.nodes[node].incarnation;
        let split_id =
            |id: RequestId| ((id.0 >> SERIAL_BITS) as usize, id.0 as u32 & ((1 << SERIAL_BITS) - 1));
        match action {
            Action::Forward(id, server, _) => {
                let ((client, serial), host) = (split_id(id), server.0 as usize - 1);
                let state = &mut self.traffic.clients[client];
                state.attempts += 1;
                state.state = RequestState::Attempting(host);
                let attempt = state.attempts;
                self.traffic.metrics.retries += u64::from(attempt > 1);
                let (node_party, host_party) = (Party::Node(node), Party::Host(host));
                let next = match (
                    self.draw_link_delay(node_party, host_party),
                    self.link_faults.link(host_party, node_party).cut,
                ) {
                    (Some(delay), false) => (delay, RequestEvent::HostArrival { attempt, host }),
                    _ => (
                        CONNECT_TIMEOUT,
                        RequestEvent::AttemptResult {
                            attempt,
                            outcome: Outcome::ConnectFailed,
                            receipt: None,
                        },
                    ),
                };
                self.schedule_traffic(self.now + next.0, request_event(client, serial, next.1));
            }
            Action::Reject(id, retry_after) => {
                self.send_negative_answer(node, split_id(id), "busy", retry_after.map_or(0, |after| after.0))
            }
            Action::Fail(id) => self.send_negative_answer(node, split_id(id), "failed", 0),
            Action::Migrate(id) => {
                let (client, serial) = split_id(id);
                self.traffic.metrics.migrations += 1;
                if let Some(delay) = self.draw_link_delay(Party::Node(node), Party::Clients) {
                    self.schedule_traffic(
                        self.now + delay,
                        request_event(client, serial, RequestEvent::Migration),
                    );
                }
            }
            Action::SetTimer(after, token) => {
                let after = (after.0 as f64 / self.nodes[node].clock_rate).ceil() as u64;
                self.schedule_traffic(
                    self.now + after.max(1),
                    TrafficEvent::BalancerTimer { node, incarnation, token },
                );
            }
            Action::WatchEndpoints => self.send_list_request(node, incarnation),
            Action::Broadcast(data) => {
                for other in (0..self.plan.nodes).filter(|other| *other != node) {
                    if let Some(delay) = self.draw_link_delay(Party::Node(node), Party::Node(other)) {
                        let event = TrafficEvent::PeerMessage { node: other, from: node, data: data.clone() };
                        self.schedule_traffic(self.now + delay, event);
                    }
                }
            }
            // Probes are disabled in the balancer's settings, and logs of emulated nodes are not written.
            Action::Probe(_) | Action::Log(..) => {}
        }
    }

    /// Sends the client the final answer of a request that is rejected or has failed.
    fn send_negative_answer(
        &mut self,
        node: usize,
        (client, serial): (usize, u32),
        status: &'static str,
        retry_after: u64,
    ) {
        self.traffic.metrics.unserved_requests += 1;
        self.traffic.nodes[node].clients.remove(&client);
        self.close_host_connection(client, serial);
        self.traffic.clients[client].state = RequestState::AtNode;
        if let Some(delay) = self.draw_link_delay(Party::Node(node), Party::Clients) {
            self.schedule_traffic(
                self.now + delay,
                request_event(
                    client,
                    serial,
                    RequestEvent::FinalAnswer { receipt: None, status, retry_after },
                ),
            );
        }
    }

    /// Returns the node whose process handles an event; `None` if no node does.
    fn handling_node(&self, event: &TrafficEvent) -> Option<usize> {
        match event {
            TrafficEvent::SubsetRefresh { node, .. } => Some(*node),
            TrafficEvent::BalancerTimer { node, .. }
            | TrafficEvent::DelayReport { node, .. }
            | TrafficEvent::PeerMessage { node, .. } => Some(*node),
            TrafficEvent::ListResponse { node, .. } => Some(*node),
            TrafficEvent::Request {
                client,
                event:
                    RequestEvent::NodeArrival
                    | RequestEvent::Deadline
                    | RequestEvent::AttemptResult { .. }
                    | RequestEvent::HostEnded,
                ..
            } => Some(self.traffic.clients[*client].node),
            _ => None,
        }
    }

    pub(super) fn handle_traffic_event(&mut self, event: TrafficEvent) {
        if let Some(node) = self.handling_node(&event).filter(|node| self.nodes[*node].paused) {
            self.traffic.nodes[node].deferred_events.push(event);
            return;
        }
        let is_current = |simulation: &Self, node: usize, incarnation| {
            simulation.traffic.nodes[node].incarnation == incarnation
        };
        match event {
            TrafficEvent::ClientArrival { client, new_session } => self.client_arrival(client, new_session),
            TrafficEvent::Request { client, serial, event } => {
                self.handle_request_event(client, serial, event)
            }
            TrafficEvent::BalancerTimer { node, incarnation, token }
                if is_current(self, node, incarnation) =>
            {
                self.handle_balancer_event(node, Event::Timer(token));
            }
            TrafficEvent::DelayReport { node, host, delay } => {
                self.handle_balancer_event(node, Event::DelayReported(server_id(host), delay as f64 / 1e3));
            }
            TrafficEvent::PeerMessage { node, from, data } => {
                self.handle_balancer_event(node, Event::PeerMessage(from as u32, data))
            }
            TrafficEvent::ListRequest { node, incarnation } => self.answer_list_request(node, incarnation),
            TrafficEvent::ListResponse { node, incarnation, list } if is_current(self, node, incarnation) => {
                self.receive_list(node, list)
            }
            TrafficEvent::SubsetRefresh { node, incarnation } if is_current(self, node, incarnation) => {
                self.schedule_traffic(
                    self.now + SUBSET_REFRESH_INTERVAL,
                    TrafficEvent::SubsetRefresh { node, incarnation },
                );
                self.refresh_subset(node);
            }
            TrafficEvent::HostNotification { host, state, started } => {
                self.update_listed_host(host, state, started)
            }
            TrafficEvent::HostStart { host, incarnation } => self.start_host(host, incarnation),
            TrafficEvent::HostSample => self.sample_hosts(),
            TrafficEvent::ServiceSample => self.sample_service(),
            TrafficEvent::BalancerTimer { .. }
            | TrafficEvent::ListResponse { .. }
            | TrafficEvent::SubsetRefresh { .. } => {}
        }
    }
}
