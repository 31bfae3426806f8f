//! Runs the policy of this node: passes it events and requests with the time of the node's clock, keeps it up
//! to date with discovery, and performs the actions that it requests.
//!
//! A *server* of the policy is a *host* in the node's files, logs and admin interface.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use alderstile::balancer::{Balancer, LogLine};
use alderstile::shadow::Differences;
use alderstile::types::{
    BalancerSettings, Endpoint, EndpointListKind, EndpointState, Micros, RequestId, ServerId, WeightMeaning,
};
use alderstile_cluster::host_assignment::HostAssignment;
use alderstile_cluster::subsetting::{SubsetCounts, SubsetNode};
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::clock::{Clock, MachineTime};
use crate::config::{ActiveConfig, Config};
use crate::discovery::endpoint_list::{EndpointList, EndpointRecord};
use crate::discovery::endpoint_table::{EndpointTable, HostAddress};
use crate::discovery::lease::Lease;
use crate::discovery::list_update::{ListComparison, ListUpdate};

/// The interval at which the differences between the policy and its shadow instance are logged.
const SHADOW_LOG_INTERVAL: Micros = Micros::from_millis(10_000);

/// How a watch of the endpoint list, or the call that opens one, ended.
#[derive(Clone, Copy, Debug)]
pub struct WatchEnd {
    /// When the call started.
    pub started: Instant,
    /// Whether no connection to discovery could be established.
    pub discovery_unreachable: bool,
}

/// The policy of a node, with the endpoint list and the lease that its decisions are based on.
pub struct Decisions {
    config: Rc<ActiveConfig>,
    /// The node's clock.
    pub clock: Clock,
    /// Notified when the policy requests a watch of the endpoint list.
    pub list_requested: Notify,
    /// Notified when the configured address of discovery has changed.
    pub discovery_address_changed: Notify,
    discovery_address: Cell<SocketAddr>,
    /// The address of discovery from which the endpoint list is.
    list_source: Cell<SocketAddr>,
    balancer: RefCell<Balancer>,
    /// The assignment of hosts to the nodes of the cluster; `None` unless the cluster file configures it.
    host_assignment: RefCell<Option<HostAssignment>>,
    endpoints: RefCell<EndpointTable>,
    lease: RefCell<Lease>,
    /// The time until which [`Decisions::run`] sleeps.
    next_due: Cell<Option<Micros>>,
    /// Wakes [`Decisions::run`] before `next_due`.
    wake: Notify,
    can_serve: Cell<bool>,
}

impl Decisions {
    /// Creates a policy with its settings and an empty endpoint list.
    pub fn new(config: Rc<ActiveConfig>) -> Self {
        let (clock, initial) = (Clock::default(), config.get());
        let balancer = Balancer::with_shadow(
            initial.settings.clone(),
            initial.shadow.clone(),
            initial.seed,
            clock.now(),
        );
        let lease = Lease::new(clock.now(), initial.push_drain_grace);
        Decisions {
            config,
            clock,
            list_requested: Notify::new(),
            discovery_address_changed: Notify::new(),
            discovery_address: Cell::new(initial.discovery),
            list_source: Cell::new(initial.cached_endpoints_source),
            balancer: RefCell::new(balancer),
            host_assignment: RefCell::default(),
            endpoints: RefCell::default(),
            lease: RefCell::new(lease),
            next_due: Cell::default(),
            wake: Notify::new(),
            can_serve: Cell::new(false),
        }
    }

    /// Calls the balancer with the current time, and wakes [`Decisions::run`] if the call makes something due
    /// earlier.
    pub fn with_balancer<T>(&self, call: impl FnOnce(&mut Balancer, Micros) -> T) -> T {
        let mut balancer = self.balancer.borrow_mut();
        let result = call(&mut balancer, self.clock.now());
        let due = balancer.poll_timeout();
        if due.is_some_and(|due| self.next_due.get().is_none_or(|planned| due < planned)) {
            self.wake.notify_one();
        }
        result
    }

    /// Applies the settings of a configuration.
    pub fn apply_config(&self, config: &Config) {
        let assigned = self.host_assignment.borrow().is_some();
        let adapted = |settings: &BalancerSettings| {
            // With host assignment the list carries this node's shares of the hosts' capacity in place of
            // weights.
            let weights = if assigned { WeightMeaning::NominalCapacity } else { settings.weight_meaning };
            BalancerSettings { weight_meaning: weights, ..settings.clone() }
        };
        let (settings, shadow) = (adapted(&config.settings), config.shadow.as_ref().map(adapted));
        self.lease.borrow_mut().set_push_grace(config.push_drain_grace);
        self.with_balancer(|balancer, now| balancer.apply_settings(now, settings, shadow));
    }

    /// Applies the endpoint list that was cached before the node's start. If it is from another address of
    /// discovery, the lease on the list is shortened as after a change of the address.
    pub fn apply_cached_list(&self, list: &EndpointList) {
        if self.list_from_other_discovery().is_some() {
            self.lease.borrow_mut().on_discovery_address_changed(self.clock.now());
        }
        self.endpoints.borrow_mut().apply(list);
        self.with_balancer(|balancer, now| {
            balancer.on_endpoint_list(now, EndpointListKind::Cached, self.entries(list))
        });
    }

    /// Returns the address of discovery from which the endpoint list is, if that is not the present one. The
    /// versions of two addresses are not comparable.
    pub fn list_from_other_discovery(&self) -> Option<SocketAddr> {
        Some(self.list_source.get()).filter(|source| *source != self.discovery_address())
    }

    /// Returns the version of the known list; `None` if that list is from another address of discovery.
    pub fn known_list_version(&self) -> Option<u64> {
        self.list_from_other_discovery().is_none().then(|| self.endpoints.borrow().version())
    }

    /// Applies a list received from discovery and reports it to the policy.
    pub fn apply_list(&self, list: &EndpointList) {
        self.list_source.set(self.discovery_address());
        self.endpoints.borrow_mut().apply(list);
        self.report_list(list_kind(list), self.entries(list));
    }

    /// Reports a list to the policy, or, with [`EndpointListKind::Failed`], that a watch or call failed.
    pub fn report_list(&self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        self.forward_list(kind, entries);
        // A cached list may be outdated and does not make the node ready by itself: a list or a failure must
        // have been reported, too.
        self.can_serve.set(self.can_serve.get() || !self.endpoints.borrow().is_empty());
    }

    fn forward_list(&self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        let mut host_assignment = self.host_assignment.borrow_mut();
        self.with_balancer(|balancer, now| match &mut *host_assignment {
            None => balancer.on_endpoint_list(now, kind, entries),
            Some(assignment) => {
                let entries = assignment.apply_list(kind, entries);
                balancer.on_endpoint_list(now, kind, entries);
                if assignment.has_no_ready_host() {
                    let changed = assignment.refresh(now, &balancer.unreachable_servers());
                    balancer.on_endpoint_list(now, EndpointListKind::Delta, changed);
                }
            }
        });
    }

    /// Begins or ends the recording of changes of the endpoint list for the node's other process.
    pub fn record_list_changes(&self, record: bool) {
        self.endpoints.borrow_mut().record_changes(record);
    }

    /// Returns the endpoints that have changed since this was last called or the recording began.
    pub fn take_list_changes(&self) -> Vec<EndpointRecord> {
        self.endpoints.borrow_mut().take_changes()
    }

    /// Applies a change of the endpoint list that the node's other process has received, and shares its lease
    /// if both have the same list then. Returns how its list compared to this one's. Does not make the node
    /// ready: that takes an own answer of discovery.
    pub fn apply_list_update(&self, update: &ListUpdate) -> ListComparison {
        let comparison = update.compare(self.discovery_address(), self.known_list_version());
        let expires = self.clock.from_machine_time(update.lease_expires);
        if comparison == ListComparison::Newer {
            let list = &update.list;
            let (version, complete, endpoints) = (list.version, list.complete, list.endpoints.len());
            info!(version, complete, endpoints, "endpoint list received from the other process");
            self.list_source.set(update.source);
            self.endpoints.borrow_mut().apply(list);
            self.forward_list(list_kind(list), self.entries(list));
        }
        let mut lease = self.lease.borrow_mut();
        match comparison {
            ListComparison::Newer | ListComparison::Same => lease.set_other_process(expires),
            ListComparison::Older | ListComparison::Unrelated => lease.shorten_other_process(expires),
        }
        if comparison == ListComparison::Newer && !lease.is_valid(self.clock.now()) {
            lease.forget_withheld();
        }
        drop(lease);
        self.release_withheld();
        self.wake.notify_one();
        comparison
    }

    /// Shortens the lease after the node's other process has ended.
    pub fn on_other_process_ended(&self) {
        self.lease.borrow_mut().on_other_process_ended(self.clock.now());
        self.wake.notify_one();
    }

    /// Returns the end of the lease on the endpoint list by what this process has received.
    pub fn own_lease_expires(&self) -> MachineTime {
        self.clock.machine_time(self.lease.borrow().own_expires())
    }

    fn entries(&self, list: &EndpointList) -> Vec<Endpoint> {
        list.entries(&self.config.get().zones)
    }

    /// Returns all known endpoints as a complete list.
    pub fn complete_list(&self) -> EndpointList {
        self.endpoints.borrow().complete_list()
    }

    /// Returns the name and address of a host, if it is listed.
    pub fn host(&self, host: ServerId) -> Option<HostAddress> {
        self.endpoints.borrow().host(host).cloned()
    }

    /// Returns the name of a host, or its number in hexadecimal if it is no longer listed.
    pub fn host_name(&self, host: ServerId) -> Rc<str> {
        self.host(host).map_or_else(|| format!("{:016x}", host.0).into(), |host| host.name)
    }

    /// Enables host assignment, for the known list and every later one. `make` receives whether the weights
    /// of the list are nominal capacities.
    pub fn enable_host_assignment(&self, config: &Config, make: impl FnOnce(bool) -> HostAssignment) {
        self.host_assignment
            .replace(Some(make(config.settings.weight_meaning == WeightMeaning::NominalCapacity)));
        self.apply_config(config);
        self.report_list(EndpointListKind::Full, self.complete_list().entries(&config.zones));
    }

    /// Updates the assignment with the other nodes and with the hosts that this node cannot reach.
    pub fn update_host_assignment(
        &self,
        others: Vec<SubsetNode>,
        update: impl FnOnce(&mut HostAssignment, Micros),
    ) {
        let mut host_assignment = self.host_assignment.borrow_mut();
        let Some(assignment) = &mut *host_assignment else { return };
        assignment.set_nodes(others);
        self.with_balancer(|balancer, now| {
            update(assignment, now);
            let changed = assignment.refresh(now, &balancer.unreachable_servers());
            if !changed.is_empty() {
                balancer.on_endpoint_list(now, EndpointListKind::Delta, changed);
            }
        });
    }

    /// Returns how many hosts this node uses, and how many of them replace others; `None` without host
    /// assignment.
    pub fn assigned_host_counts(&self) -> Option<SubsetCounts> {
        self.host_assignment.borrow().as_ref().and_then(HostAssignment::counts)
    }

    /// Renews the lease on the endpoint list, as no change was missed until now. Hosts that were withheld
    /// receive new requests again.
    pub fn renew_lease(&self) {
        self.lease.borrow_mut().renew(self.clock.now());
        self.release_withheld();
    }

    fn release_withheld(&self) {
        let released = self.lease.borrow_mut().release_withheld(self.clock.now());
        if !released.is_empty() {
            info!(hosts = released.len(), "endpoint list lease renewed, new requests to hosts resumed");
            let changes = self.endpoints.borrow().changes(&released);
            self.forward_list(EndpointListKind::Delta, self.entries(&changes));
        }
    }

    /// Adjusts the lease on the endpoint list after the watch ended or a call failed: extends it if discovery
    /// was unreachable, then shortens it to the bound that applies without a watch.
    pub fn on_watch_ended(&self, ended: WatchEnd) {
        let mut lease = self.lease.borrow_mut();
        if ended.discovery_unreachable {
            lease.on_discovery_unreachable(self.clock.time_at(ended.started.into_std()));
        }
        lease.on_watch_ended(self.clock.now());
        self.wake.notify_one();
    }

    /// Records that a host accepted a request that was sent to it at the time `sent`.
    pub fn on_request_accepted(&self, host: ServerId, sent: Instant) {
        self.lease.borrow_mut().on_request_accepted(host, self.clock.time_at(sent.into_std()));
    }

    /// Returns the remaining time of the lease on the endpoint list.
    pub fn lease_remaining(&self) -> Micros {
        self.lease.borrow().remaining(self.clock.now())
    }

    /// Limits the lease to the time that remained of the predecessor's.
    pub fn inherit_lease(&self, remaining: Micros) {
        self.lease.borrow_mut().inherit(self.clock.now(), remaining);
        self.wake.notify_one();
    }

    /// Withholds new requests from hosts whose state is uncertain since the lease expired. Their connections
    /// remain open.
    fn withhold_expired(&self) {
        let endpoints = self.endpoints.borrow();
        let expired = self.lease.borrow_mut().withhold_expired(self.clock.now(), endpoints.hosts_up());
        if expired.is_empty() {
            return;
        }
        warn!(hosts = expired.len(), "endpoint list lease expired, new requests to hosts withheld");
        let changes = endpoints.changes(&expired);
        drop(endpoints);
        let mut entries = self.entries(&changes);
        entries.iter_mut().for_each(|entry| entry.state = EndpointState::Cordoned);
        // Bypasses the host assignment, which continues with the hosts as listed.
        self.with_balancer(|balancer, now| balancer.on_endpoint_list(now, EndpointListKind::Delta, entries));
    }

    /// Returns whether the request of an attempt may still be sent on the connection that was opened for it.
    pub fn may_send(&self, id: RequestId, host: ServerId, address: SocketAddr) -> bool {
        let (listed, now) = (self.host(host).is_some_and(|host| host.address == address), self.clock.now());
        listed
            && self.lease.borrow().allows_new_work(now, host)
            && self.balancer.borrow().may_forward(now, id)
    }

    /// Returns the configured address of discovery.
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery_address.get()
    }

    /// Changes the address of discovery: the open watch is replaced by one at the new address.
    pub fn set_discovery_address(&self, to: SocketAddr) {
        self.discovery_address.set(to);
        self.lease.borrow_mut().on_discovery_address_changed(self.clock.now());
        self.discovery_address_changed.notify_one();
    }

    /// Returns whether clients can be served. Becomes true with the first report of a list or a failure after
    /// which an endpoint is known, and stays true.
    pub fn can_serve(&self) -> bool {
        self.can_serve.get()
    }

    /// Continues after the end of a successor that had received the retry budget. How much of it the
    /// successor spent is unknown, so no retries are made until the time window of the budget has passed.
    pub fn continue_without_successor(&self) {
        self.with_balancer(|balancer, now| balancer.take_over_retry_budget(now, None, Micros(0)));
    }

    /// Returns how the decisions of the shadow instance differ from the policy's so far; `None` without one.
    pub fn shadow_differences(&self) -> Option<Differences> {
        self.balancer.borrow().differences()
    }

    /// Logs how the decisions of the shadow instance differ from the policy's.
    pub fn log_shadow_differences(&self) {
        self.shadow_differences().iter().for_each(|differences| info!("shadow: {differences}"));
    }

    /// Runs the timers of the policy and of the lease for as long as the node runs. Calls `migrate` for each
    /// client that is to migrate, and `broadcast` with each message to all other nodes.
    pub async fn run(self: Rc<Self>, migrate: impl Fn(RequestId), broadcast: impl Fn(&[u8])) {
        let mut shadow_log_due = self.clock.now() + SHADOW_LOG_INTERVAL;
        loop {
            if self.clock.now() >= shadow_log_due {
                shadow_log_due = self.clock.now() + SHADOW_LOG_INTERVAL;
                self.log_shadow_differences();
            }
            self.handle_due(&migrate, &broadcast);
            self.withhold_expired();
            let lease_due = self.lease.borrow().next_due(self.clock.now());
            let due =
                self.with_balancer(|balancer, _| balancer.poll_timeout()).into_iter().chain(lease_due).min();
            self.next_due.set(due);
            let due = due.map(|due| self.clock.instant_at(due).into());
            tokio::select! {
                () = sleep_until(due) => {}
                // An event reported meanwhile may make something due earlier.
                () = self.wake.notified() => {}
            }
        }
    }

    fn handle_due(&self, migrate: &impl Fn(RequestId), broadcast: &impl Fn(&[u8])) {
        let work = self.with_balancer(|balancer, now| balancer.handle_timeout(now));
        work.migrations.into_iter().for_each(migrate);
        if work.watch_endpoints {
            self.list_requested.notify_one();
        }
        work.broadcasts.iter().for_each(|message| broadcast(message));
        for LogLine { server, text } in work.log_lines {
            match server {
                Some(server) => info!(host = %self.host_name(server), "{text}"),
                None => info!("{text}"),
            }
        }
    }
}

fn list_kind(list: &EndpointList) -> EndpointListKind {
    if list.complete { EndpointListKind::Full } else { EndpointListKind::Delta }
}

/// Sleeps until a deadline; never completes without one.
pub async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
