//! Discovery and the faults of hosts and of endpoint lists in an emulated run.

use std::collections::BTreeSet;

use super::hosts::SAMPLE_INTERVAL;
use super::traffic::{RequestEvent, TrafficEvent, request_event, server_id};
use super::{Simulation, micros};
use crate::history::{Event as HistoryEvent, ProcessChange};
use crate::schedule::{FaultKind, Party};
use alderstile::types::{Endpoint, EndpointListKind, EndpointState, Event};

/// Time after which a list request without an answer has failed, microseconds. Discovery refuses requests
/// that would have to wait longer.
const LIST_TIMEOUT: u64 = 2_000_000;

impl Simulation<'_> {
    /// Sends a node's request for the endpoint list.
    pub(super) fn send_list_request(&mut self, node: usize, incarnation: u64) {
        match self.draw_link_delay(Party::Node(node), Party::Discovery) {
            Some(delay) => {
                self.schedule_traffic(self.now + delay, TrafficEvent::ListRequest { node, incarnation })
            }
            None => self.schedule_traffic(
                self.now + LIST_TIMEOUT,
                TrafficEvent::ListResponse { node, incarnation, list: None },
            ),
        }
    }

    /// Answers a list request that has arrived at discovery, which handles one request after another.
    pub(super) fn answer_list_request(&mut self, node: usize, incarnation: u64) {
        let service_time = micros(1.0 / self.plan.hosts.list_requests_per_second);
        let done_at = self.traffic.discovery_idle_at.max(self.now) + service_time;
        let link_delay = self.draw_link_delay(Party::Discovery, Party::Node(node));
        let faults = &self.traffic.nodes[node].discovery_faults;
        let (refused, fault_delay) = (faults.refuses || done_at > self.now + LIST_TIMEOUT, faults.delay);
        let (at, list) = match link_delay {
            Some(link_delay) if refused => (self.now + link_delay, None),
            Some(link_delay) => {
                self.traffic.discovery_idle_at = done_at;
                (done_at + link_delay + fault_delay, Some(None))
            }
            None => (self.now + LIST_TIMEOUT, None),
        };
        self.schedule_traffic(at, TrafficEvent::ListResponse { node, incarnation, list });
    }

    /// Notifies discovery of a host's state, after the notification delay of the plan.
    fn notify_discovery(&mut self, host: usize, state: EndpointState) {
        let started = self.traffic.hosts[host].started;
        let delay = micros(self.plan.hosts.notify_delay_ms / 1e3);
        self.schedule_traffic(self.now + delay, TrafficEvent::HostNotification { host, state, started });
    }

    /// Updates a host in the endpoint list and sends the update to all nodes.
    pub(super) fn update_listed_host(&mut self, host: usize, state: EndpointState, started: Option<u64>) {
        self.traffic.listed_hosts[host] = (state, started);
        for node in 0..self.plan.nodes {
            let node_state = &self.traffic.nodes[node];
            let (incarnation, fault_delay) = (node_state.incarnation, node_state.discovery_faults.delay);
            if node_state.balancer.is_none() {
                continue;
            }
            let refuses = node_state.discovery_faults.refuses;
            let (at, list) = match self.draw_link_delay(Party::Discovery, Party::Node(node)) {
                Some(link_delay) if !refuses => (self.now + link_delay + fault_delay, Some(Some(host))),
                // The watch is interrupted, which the node notices after the timeout.
                _ => (self.now + LIST_TIMEOUT, None),
            };
            self.schedule_traffic(at, TrafficEvent::ListResponse { node, incarnation, list });
        }
    }

    /// Handles an endpoint list that has arrived at a node; see [`TrafficEvent::ListResponse`].
    pub(super) fn receive_list(&mut self, node: usize, list: Option<Option<usize>>) {
        let clock_rate = self.nodes[node].clock_rate;
        let Some(updated_host) = list else {
            return self
                .handle_balancer_event(node, Event::EndpointList(EndpointListKind::Failed, Vec::new()));
        };
        let hosts = updated_host.map_or(0..self.traffic.hosts.len(), |host| host..host + 1);
        let entries: Vec<Endpoint> =
            hosts.clone().filter_map(|host| self.traffic.endpoint(node, host, clock_rate)).collect();
        for host in hosts {
            let entry = entries.iter().find(|entry| entry.id == server_id(host));
            let state = entry.map_or(EndpointState::Removed, |entry| entry.state);
            let previous = std::mem::replace(&mut self.traffic.nodes[node].received_states[host], state);
            if previous != state {
                let health = match state {
                    EndpointState::Ready | EndpointState::Cordoned => "up",
                    EndpointState::Draining => "draining",
                    EndpointState::Removed => "removed",
                };
                self.record_event(HistoryEvent::HostUpdate { node, host, health: health.to_owned() });
            }
        }
        let kind = if updated_host.is_some() { EndpointListKind::Delta } else { EndpointListKind::Full };
        let entries = self.traffic.nodes[node].host_assignment.apply_list(kind, entries);
        self.handle_balancer_event(node, Event::EndpointList(kind, entries));
        if self.traffic.nodes[node].host_assignment.has_no_ready_host() {
            self.refresh_subset(node);
        }
        let node_state = &mut self.traffic.nodes[node];
        if !std::mem::replace(&mut node_state.ready, true) {
            node_state.last_answer = Some(self.now);
            self.record_event(HistoryEvent::Process { node, change: ProcessChange::Ready, status: None });
        }
    }

    /// Sends a node the full list again, after a fault has changed what the node is sent.
    fn resend_list(&mut self, node: usize) {
        let incarnation = self.traffic.nodes[node].incarnation;
        if let Some(delay) = self.draw_link_delay(Party::Discovery, Party::Node(node)) {
            self.schedule_traffic(
                self.now + delay,
                TrafficEvent::ListResponse { node, incarnation, list: Some(None) },
            );
        }
    }

    /// Begins or ends a fault of endpoint lists.
    pub(super) fn set_discovery_fault(&mut self, index: usize, begins: bool) {
        let plan = self.plan;
        let fault = &plan.faults[index];
        let hosts = fault
            .hosts
            .iter()
            .filter_map(|party| if let Party::Host(host) = party { Some(*host) } else { None });
        let hosts: BTreeSet<usize> = if begins { hosts.collect() } else { BTreeSet::new() };
        for node in Self::affected_nodes(fault) {
            let faults = &mut self.traffic.nodes[node].discovery_faults;
            match fault.kind {
                FaultKind::ListLate => faults.delay = if begins { micros(fault.ms / 1e3) } else { 0 },
                FaultKind::ListRefuses => faults.refuses = begins,
                FaultKind::ListLeavesOut => faults.omitted_hosts = hosts.clone(),
                _ => faults.misreported_hosts = hosts.clone(),
            }
            if matches!(fault.kind, FaultKind::ListLeavesOut | FaultKind::ListLies) {
                self.resend_list(node);
            }
        }
    }

    /// Begins or ends a fault of hosts.
    pub(super) fn set_host_fault(&mut self, index: usize, begins: bool) {
        let plan = self.plan;
        let fault = &plan.faults[index];
        for party in &fault.on {
            let Party::Host(host) = *party else { continue };
            let state = &mut self.traffic.hosts[host];
            match (fault.kind, begins) {
                (FaultKind::HostSlow, _) => {
                    state.added_delay = if begins { micros(fault.ms / 1e3) } else { 0 }
                }
                (FaultKind::HostSilent, _) => state.silent = begins,
                (FaultKind::HostRefuse, _) => state.refusing = begins,
                (FaultKind::HostDrain, true) => {
                    state.draining = true;
                    self.notify_discovery(host, EndpointState::Draining);
                }
                (FaultKind::HostDrain, false) => {
                    self.stop_host(host);
                    let incarnation = self.traffic.hosts[host].incarnation;
                    self.schedule_traffic(
                        self.now + 1_000_000,
                        TrafficEvent::HostStart { host, incarnation },
                    );
                }
                (_, true) => self.stop_host(host),
                (_, false) => self.start_host(host, self.traffic.hosts[host].incarnation),
            }
        }
    }

    /// Ends a host's process; discovery and the nodes with connections to the host learn of it later.
    pub(super) fn stop_host(&mut self, host: usize) {
        for ((client, serial), (node, _)) in self.traffic.hosts[host].stop() {
            if let Some(delay) = self.draw_link_delay(Party::Host(host), Party::Node(node)) {
                self.schedule_traffic(
                    self.now + delay,
                    request_event(client, serial, RequestEvent::HostEnded),
                );
            }
        }
        self.notify_discovery(host, EndpointState::Removed);
    }

    /// Starts a host's process unless it is up, or was stopped again since the start was scheduled.
    pub(super) fn start_host(&mut self, host: usize, incarnation: u64) {
        let state = &mut self.traffic.hosts[host];
        if state.incarnation == incarnation && !state.up {
            state.start(self.now);
            self.record_event(HistoryEvent::HostState { host, failed: false });
            self.notify_discovery(host, EndpointState::Ready);
        }
    }

    /// Samples the load of all hosts: stops overloaded cold hosts, and once per second sends delay reports to
    /// the nodes.
    pub(super) fn sample_hosts(&mut self) {
        self.schedule_traffic(self.now + SAMPLE_INTERVAL, TrafficEvent::HostSample);
        let full_second = (self.now / SAMPLE_INTERVAL).is_multiple_of(1_000_000 / SAMPLE_INTERVAL);
        for host in 0..self.traffic.hosts.len() {
            let state = &mut self.traffic.hosts[host];
            if let Some(load) = state.sample_cold_load(self.now) {
                let metrics = &mut self.traffic.metrics;
                metrics.cold_load_peak = metrics.cold_load_peak.max(load);
                metrics.cold_load = (metrics.cold_load.0 + load, metrics.cold_load.1 + 1.0);
                if load > 1.0 {
                    metrics.cold_overloads += 1;
                    self.record_event(HistoryEvent::HostState { host, failed: true });
                    self.stop_host(host);
                    let (incarnation, delay) =
                        (self.traffic.hosts[host].incarnation, micros(self.plan.hosts.restart_s));
                    self.schedule_traffic(self.now + delay, TrafficEvent::HostStart { host, incarnation });
                    continue;
                }
            }
            let state = &mut self.traffic.hosts[host];
            let delay = state.delay(self.now);
            if full_second && state.up && !state.silent && delay >= self.traffic.delay_report_threshold {
                for node in 0..self.plan.nodes {
                    if self.traffic.hosts[host].connections_by_node[node] > 0
                        && let Some(link_delay) = self.draw_link_delay(Party::Host(host), Party::Node(node))
                    {
                        self.schedule_traffic(
                            self.now + link_delay,
                            TrafficEvent::DelayReport { node, host, delay },
                        );
                    }
                }
            }
        }
    }
}
