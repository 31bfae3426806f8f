//! Clients and their requests in an emulated run: from the front end to a host and back.

use alderstile::types::{Event, Micros, Outcome, Request, RequestId};
use rand::RngExt;

use super::hosts::Host;
use super::traffic::{
    RequestEvent, RequestState, SERIAL_BITS, TrafficEvent, TrafficModel, request_event, request_id, server_id,
};
use super::{Simulation, micros};
use crate::history::Event as HistoryEvent;
use crate::schedule::Party;

/// Interval at which the front end checks each node, and the service of each client is sampled, microseconds.
const SERVICE_SAMPLE_INTERVAL: u64 = 500_000;
/// Time after which a node that does not answer the front end receives no new clients, microseconds.
const NODE_CHECK_TIMEOUT: u64 = 2_000_000;
/// Time that a client waits for its answer beyond the deadline that it gave the node, microseconds.
const CLIENT_TIMEOUT_MARGIN: u64 = 1_500_000;
/// Time within which a message must be answered for a client to count as served, microseconds.
const MESSAGE_TIMEOUT: u64 = 1_000_000;
/// Number of consecutive samples without data from the host after which the node closes the connection and
/// tells its client to migrate.
const MAX_SILENT_HOST_SAMPLES: u32 = 9;
/// Number of consecutive samples without data from the node after which the client closes the connection.
const MAX_SILENT_NODE_SAMPLES: u32 = 16;
/// Delay after which an event that must not overtake an answer in flight is handled again, microseconds.
const ANSWER_IN_FLIGHT_DELAY: u64 = 2_000;
/// Longest delay before a rejected client reconnects, microseconds.
const MAX_RECONNECT_DELAY: u64 = 2_000_000;
/// Time at which sampling of the imbalance over hosts begins, microseconds: clients have to arrive first.
const IMBALANCE_SAMPLES_START: u64 = 5_000_000;

impl Simulation<'_> {
    /// Checks all nodes for the front end, and samples which clients are served.
    pub(super) fn sample_service(&mut self) {
        self.schedule_traffic(self.now + SERVICE_SAMPLE_INTERVAL, TrafficEvent::ServiceSample);
        let (mut available_nodes, mut weight_sum) = (Vec::new(), 0.0);
        for node in 0..self.plan.nodes {
            let cut = self.link_faults.link(Party::Clients, Party::Node(node)).cut;
            let state = &mut self.traffic.nodes[node];
            if state.ready && !self.nodes[node].paused && !cut {
                state.last_answer = Some(self.now);
            }
            if state.last_answer.is_some_and(|at| at + NODE_CHECK_TIMEOUT > self.now) {
                weight_sum += self.plan.traffic[node % self.plan.traffic.len()];
                available_nodes.push((node, weight_sum));
            }
        }
        self.traffic.available_nodes = available_nodes;
        let overloaded: Vec<bool> =
            self.traffic.hosts.iter_mut().map(|host| host.delay(self.now) >= MESSAGE_TIMEOUT).collect();
        let (mut in_session, mut served) = (0, 0);
        let mut silence_timeouts = Vec::new();
        for client in 0..self.traffic.clients.len() {
            let state = &mut self.traffic.clients[client];
            if !state.in_session || !std::mem::replace(&mut state.in_session_at_sample, state.in_session) {
                continue;
            }
            in_session += 1;
            if let (RequestState::Established(host), true) = (state.state, state.up_received) {
                let (clients, node_party, host_party) =
                    (Party::Clients, Party::Node(state.node), Party::Host(host));
                let cut = |a, b| {
                    self.link_faults.any()
                        && (self.link_faults.link(a, b).cut || self.link_faults.link(b, a).cut)
                };
                let node_silent = self.nodes[state.node].paused || cut(clients, node_party);
                let silent = node_silent || self.traffic.hosts[host].silent || cut(node_party, host_party);
                state.silent_samples = if silent { state.silent_samples + 1 } else { 0 };
                if !silent && !overloaded[host] {
                    state.last_served = self.now;
                }
                if state.silent_samples
                    > if node_silent { MAX_SILENT_NODE_SAMPLES } else { MAX_SILENT_HOST_SAMPLES }
                {
                    silence_timeouts.push((client, state.serial, node_silent));
                }
            }
            served += u64::from(state.last_served + MESSAGE_TIMEOUT > self.now);
        }
        let metrics = &mut self.traffic.metrics;
        (metrics.demand_samples, metrics.served_samples) =
            (metrics.demand_samples + in_session, metrics.served_samples + served);
        if in_session > 0 {
            self.record_event(HistoryEvent::ServedTotal {
                served: served as usize,
                wanting: in_session as usize,
            });
        }
        for (client, serial, by_client) in silence_timeouts {
            self.handle_request_event(client, serial, RequestEvent::SilenceTimeout { by_client });
        }
        if self.now.is_multiple_of(2 * SERVICE_SAMPLE_INTERVAL) && self.now >= IMBALANCE_SAMPLES_START {
            self.sample_imbalance();
        }
    }

    /// Samples how connections are distributed over the hosts.
    fn sample_imbalance(&mut self) {
        let TrafficModel { hosts, metrics, .. } = &mut self.traffic;
        let accepts = |host: &&Host| host.up && !host.silent && !host.refusing && !host.draining;
        let capacity: f64 = hosts.iter().filter(accepts).map(|host| host.capacity(self.now)).sum();
        let connections: usize = hosts.iter().map(|host| host.connections.len()).sum();
        let relative_to_fair_share = |host: &Host| {
            host.connections.len() as f64 * capacity / (host.capacity(self.now) * connections.max(1) as f64)
        };
        metrics.last_imbalance = hosts.iter().filter(accepts).map(relative_to_fair_share).fold(0.0, f64::max);
        metrics.imbalance = (metrics.imbalance.0 + metrics.last_imbalance, metrics.imbalance.1 + 1);
        metrics.open_connections = connections as u64;
        metrics.peak_open_connections = metrics.peak_open_connections.max(connections as u64);
        let used = hosts
            .iter()
            .map(|host| host.connections_by_node.iter().filter(|n| **n > 0).count())
            .sum::<usize>();
        metrics.hosts_used =
            (metrics.hosts_used.0 + used as f64, metrics.hosts_used.1 + self.plan.nodes as u64);
    }

    /// Connects a client to a node and sends its request. A client whose session has ended rests instead.
    pub(super) fn client_arrival(&mut self, client: usize, new_session: bool) {
        if self.now >= micros(self.plan.length_s) || self.traffic.clients[client].state != RequestState::Idle
        {
            return;
        }
        let class = &self.plan.clients[self.traffic.clients[client].class];
        if new_session {
            let hold = self.draw_exponential(class.hold_s);
            let load = class.load_us * (0.5 + self.rng.random::<f64>());
            let state = &mut self.traffic.clients[client];
            (state.session_end, state.in_session, state.in_session_at_sample, state.load) =
                (self.now + hold, true, false, load);
        } else if self.now >= self.traffic.clients[client].session_end {
            return self.end_session(client);
        }
        let weight_sum = self.traffic.available_nodes.last().map_or(0.0, |(_, sum)| *sum);
        let draw = self.rng.random::<f64>() * weight_sum;
        let index = self.traffic.available_nodes.partition_point(|(_, sum)| *sum <= draw);
        let any_node = self.rng.random_range(0..self.plan.nodes);
        let node = self.traffic.available_nodes.get(index).map_or(any_node, |(node, _)| *node);
        let timeout = class.wait_ms * 1_000;
        let reconnect_delay = self.draw_reconnect_delay();
        let link_delay = self.draw_link_delay(Party::Clients, Party::Node(node));
        let Some(delay) = link_delay.filter(|_| self.traffic.nodes[node].ready) else {
            self.record_event(HistoryEvent::ConnectFailed { client, node });
            let after = if link_delay.is_none() { timeout } else { reconnect_delay };
            return self.schedule_traffic(
                self.now + after,
                TrafficEvent::ClientArrival { client, new_session: false },
            );
        };
        let node_incarnation = self.traffic.nodes[node].incarnation;
        let state = &mut self.traffic.clients[client];
        state.serial = (state.serial + 1) & ((1 << SERIAL_BITS) - 1);
        (state.state, state.node, state.node_incarnation, state.attempts, state.up_received) =
            (RequestState::AtNode, node, node_incarnation, 0, false);
        (state.silent_samples, state.sent_at) = (0, self.now);
        let (serial, class_name) = (state.serial, class.class.clone());
        self.record_event(HistoryEvent::Open {
            id: history_id(client, serial),
            client,
            class: class_name,
            node,
            wait_s: timeout as f64 / 1e6,
        });
        self.schedule_traffic(self.now + delay, request_event(client, serial, RequestEvent::NodeArrival));
        self.schedule_traffic(
            self.now + delay + timeout,
            request_event(client, serial, RequestEvent::Deadline),
        );
        self.schedule_traffic(
            self.now + timeout + CLIENT_TIMEOUT_MARGIN,
            request_event(client, serial, RequestEvent::ClientTimeout),
        );
    }

    /// Ends a client's session; the client rests before its next one.
    fn end_session(&mut self, client: usize) {
        let class = self.traffic.clients[client].class;
        self.traffic.clients[client].in_session = false;
        let rest = self.draw_exponential(self.plan.clients[class].rest_s);
        self.schedule_traffic(self.now + rest, TrafficEvent::ClientArrival { client, new_session: true });
    }

    pub(super) fn record_closed(&mut self, client: usize, reason: &str) {
        let id = history_id(client, self.traffic.clients[client].serial);
        self.record_event(HistoryEvent::Closed { id, how: reason.to_owned() });
    }

    pub(super) fn record_answer(&mut self, client: usize, answer: &str, receipt: Option<String>) {
        let id = history_id(client, self.traffic.clients[client].serial);
        self.record_event(HistoryEvent::Answer { id, what: answer.to_owned(), receipt });
    }

    /// Closes the connection or the attempt of a request at its host.
    pub(super) fn close_host_connection(&mut self, client: usize, serial: u32) {
        if let RequestState::Attempting(host) | RequestState::Established(host) =
            self.traffic.clients[client].state
        {
            self.traffic.hosts[host].close(self.now, (client, serial));
        }
    }

    /// Ends a request at all parties.
    pub(super) fn release_request(&mut self, client: usize, serial: u32) {
        self.close_host_connection(client, serial);
        let state = &mut self.traffic.clients[client];
        state.state = RequestState::Idle;
        let node = state.node;
        self.traffic.nodes[node].clients.remove(&client);
    }

    /// Ends a request at all parties and passes `event` to its node's balancer if the request is at the node.
    ///
    /// The client reconnects after `reconnect_delay`, or ends its session if that is `None`.
    fn finish_request(
        &mut self,
        client: usize,
        serial: u32,
        event: Option<Event>,
        reconnect_delay: Option<u64>,
    ) {
        let node = self.traffic.clients[client].node;
        let at_node = self.traffic.nodes[node].clients.contains(&client);
        self.release_request(client, serial);
        if let Some(event) = event.filter(|_| at_node) {
            self.handle_balancer_event(node, event);
        }
        match reconnect_delay {
            Some(delay) => self.schedule_traffic(
                self.now + delay,
                TrafficEvent::ClientArrival { client, new_session: false },
            ),
            None => self.end_session(client),
        }
    }

    /// Handles an event of a client's request; ignored if the request has ended.
    pub(super) fn handle_request_event(&mut self, client: usize, serial: u32, event: RequestEvent) {
        // Drawn for every event, even if it is not used: the order of random draws determines a run's
        // history.
        let reconnect_delay = self.draw_reconnect_delay();
        let state = &self.traffic.clients[client];
        if state.serial != serial || state.state == RequestState::Idle {
            return;
        }
        let request = OpenRequest { client, serial, node: state.node, reconnect_delay };
        match event {
            RequestEvent::NodeArrival => self.node_arrival(request),
            RequestEvent::Deadline => self.deadline_expired(request),
            RequestEvent::ClientTimeout => self.client_timeout(request),
            RequestEvent::HostArrival { attempt, host } => self.host_arrival(request, attempt, host),
            RequestEvent::AttemptResult { attempt, outcome, receipt } => {
                self.attempt_result(request, attempt, outcome, receipt);
            }
            RequestEvent::FinalAnswer { receipt, status, retry_after } => {
                self.final_answer(request, receipt, status, retry_after)
            }
            // A link delivers in order: these events must not overtake the answer.
            RequestEvent::HostEnded | RequestEvent::Migration if self.answer_in_flight(request) => {
                self.schedule_traffic(
                    self.now + ANSWER_IN_FLIGHT_DELAY,
                    request_event(client, serial, event),
                );
            }
            RequestEvent::HostEnded => self.host_ended(request),
            RequestEvent::SilenceTimeout { by_client } => self.silence_timeout(request, by_client),
            RequestEvent::Migration => self.client_migration(request),
            RequestEvent::ClientDeparture => {
                self.record_closed(client, "left");
                self.finish_request(client, serial, Some(Event::ClientDisconnected(request.id())), None);
            }
        }
    }

    fn answer_in_flight(&self, request: OpenRequest) -> bool {
        let state = &self.traffic.clients[request.client];
        matches!(state.state, RequestState::Established(_)) && !state.up_received
    }

    fn node_arrival(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, node, reconnect_delay } = request;
        let state = &self.traffic.clients[client];
        let node_state = &mut self.traffic.nodes[node];
        if node_state.incarnation != state.node_incarnation {
            // The process ended while the request was in flight. One that stops gracefully still answers new
            // requests.
            if node_state.stopped_gracefully {
                self.record_answer(client, "busy", None);
            } else {
                self.record_closed(client, "reset");
            }
            return self.finish_request(client, serial, None, Some(reconnect_delay));
        }
        node_state.clients.insert(client);
        let class = &self.plan.clients[state.class];
        let event = Event::Request(Request {
            id: request.id(),
            class: state.class as u16,
            group: None,
            expected_load: None,
            time_remaining: Micros(class.wait_ms * 1_000),
            key: None,
            mid_flow: false,
        });
        self.handle_balancer_event(node, event);
    }

    fn deadline_expired(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, node, .. } = request;
        let at_node = self.traffic.nodes[node].clients.contains(&client);
        if let RequestState::Attempting(host) = self.traffic.clients[client].state
            && at_node
        {
            self.close_host_connection(client, serial);
            self.traffic.clients[client].state = RequestState::AtNode;
            self.handle_balancer_event(node, request.ended_event(host, Outcome::Timeout, false));
        }
    }

    fn client_timeout(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, reconnect_delay, .. } = request;
        if !self.traffic.clients[client].up_received {
            self.record_event(HistoryEvent::GaveUp { id: history_id(client, serial) });
            self.finish_request(
                client,
                serial,
                Some(Event::ClientDisconnected(request.id())),
                Some(reconnect_delay),
            );
        }
    }

    fn host_arrival(&mut self, request: OpenRequest, attempt: u32, host: usize) {
        let OpenRequest { client, serial, node, .. } = request;
        let state = &self.traffic.clients[client];
        if state.state != RequestState::Attempting(host) || state.attempts != attempt {
            return;
        }
        let (load, host_state) = (state.load, &mut self.traffic.hosts[host]);
        if host_state.up && host_state.silent {
            return;
        }
        let setup_time =
            if host_state.up { host_state.accept(self.now, (client, serial), node, load) } else { None };
        let outcome = match setup_time {
            Some(_) => Outcome::Ok,
            None if host_state.up => Outcome::Rejected,
            None => Outcome::ConnectFailed,
        };
        let receipt = setup_time.map(|_| self.next_receipt(host));
        if let Some(receipt) = receipt.clone() {
            self.record_event(HistoryEvent::Executed { host, id: history_id(client, serial), receipt });
        }
        if let Some(delay) = self.draw_link_delay(Party::Host(host), Party::Node(node)) {
            let event = RequestEvent::AttemptResult { attempt, outcome, receipt };
            self.schedule_traffic(
                self.now + setup_time.unwrap_or(0) + delay,
                request_event(client, serial, event),
            );
        }
    }

    /// Returns a receipt that is unique in the run.
    fn next_receipt(&mut self, host: usize) -> String {
        self.traffic.receipts += 1;
        format!("{host:02x}{:010x}", self.traffic.receipts)
    }

    fn attempt_result(
        &mut self,
        request: OpenRequest,
        attempt: u32,
        outcome: Outcome,
        receipt: Option<String>,
    ) {
        let OpenRequest { client, serial, node, .. } = request;
        let state = &self.traffic.clients[client];
        let RequestState::Attempting(host) = state.state else { return };
        if state.attempts != attempt || !self.traffic.nodes[node].clients.contains(&client) {
            return;
        }
        if outcome != Outcome::Ok {
            self.traffic.clients[client].state = RequestState::AtNode;
            return self.handle_balancer_event(node, request.ended_event(host, outcome, false));
        }
        let (load, latency) = (state.load, Micros(self.now - state.sent_at));
        self.traffic.clients[client].state = RequestState::Established(host);
        self.handle_balancer_event(node, Event::Established { id: request.id(), latency });
        if load > 0.0 {
            self.handle_balancer_event(node, Event::LoadReported(request.id(), load));
        }
        if let Some(delay) = self.draw_link_delay(Party::Node(node), Party::Clients) {
            let event = RequestEvent::FinalAnswer { receipt, status: "up", retry_after: 0 };
            self.schedule_traffic(self.now + delay, request_event(client, serial, event));
        }
    }

    /// Delivers a final answer to the client; without a receipt the request was rejected or has failed.
    fn final_answer(
        &mut self,
        request: OpenRequest,
        receipt: Option<String>,
        status: &'static str,
        retry_after: u64,
    ) {
        let OpenRequest { client, serial, reconnect_delay, .. } = request;
        self.record_answer(client, status, receipt.clone());
        if receipt.is_none() {
            let delay = retry_after.max(reconnect_delay).min(MAX_RECONNECT_DELAY);
            return self.finish_request(client, serial, None, Some(delay));
        }
        let state = &mut self.traffic.clients[client];
        (state.up_received, state.last_served) = (true, self.now);
        let (departure, latency_s) =
            (state.session_end.max(self.now + 1), (self.now - state.sent_at) as f32 / 1e6);
        self.traffic.metrics.setup_latencies_s.push(latency_s);
        self.schedule_traffic(departure, request_event(client, serial, RequestEvent::ClientDeparture));
    }

    fn host_ended(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, node, reconnect_delay } = request;
        let state = &self.traffic.clients[client];
        match state.state {
            RequestState::Attempting(host) if !state.up_received => {
                self.close_host_connection(client, serial);
                self.traffic.clients[client].state = RequestState::AtNode;
                self.handle_balancer_event(node, request.ended_event(host, Outcome::Reset, false));
            }
            RequestState::Established(host) => {
                self.record_closed(client, "end");
                let event = request.ended_event(host, Outcome::Reset, true);
                self.finish_request(client, serial, Some(event), Some(reconnect_delay));
            }
            _ => {}
        }
    }

    fn silence_timeout(&mut self, request: OpenRequest, by_client: bool) {
        let OpenRequest { client, serial, reconnect_delay, .. } = request;
        if let RequestState::Established(host) = self.traffic.clients[client].state {
            self.record_closed(client, if by_client { "silent" } else { "move" });
            let disconnected = Event::ClientDisconnected(request.id());
            let event =
                if by_client { disconnected } else { request.ended_event(host, Outcome::Reset, true) };
            self.finish_request(client, serial, Some(event), Some(reconnect_delay));
        }
    }

    fn client_migration(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, reconnect_delay, .. } = request;
        if let RequestState::Established(host) = self.traffic.clients[client].state {
            self.record_closed(client, "move");
            let event = request.ended_event(host, Outcome::Cancelled, true);
            self.finish_request(client, serial, Some(event), Some(reconnect_delay));
        }
    }
}

/// A request that has not ended, while one of its events is handled.
#[derive(Clone, Copy)]
struct OpenRequest {
    client: usize,
    serial: u32,
    node: usize,
    /// Delay after which the client reconnects if the event ends the request, microseconds.
    reconnect_delay: u64,
}

impl OpenRequest {
    fn id(self) -> RequestId {
        request_id(self.client, self.serial)
    }

    fn ended_event(self, host: usize, outcome: Outcome, closed: bool) -> Event {
        Event::Ended { id: self.id(), server: server_id(host), outcome, closed, report: Vec::new() }
    }
}

/// Returns a request's ID in the history.
fn history_id(client: usize, serial: u32) -> String {
    format!("{:08x}{serial:08x}", client + 1)
}
