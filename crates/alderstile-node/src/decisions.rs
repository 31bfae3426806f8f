//! The policy on this node's clock (a *server* of the policy is a *host* of the node's files, logs and admin interface): asks and reports to it, keeps it up to date with discovery, and does what is due.

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

use crate::clock::Clock;
use crate::config::{ActiveConfig, Config};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::endpoint_table::{EndpointTable, HostAddress};
use crate::discovery::lease::Lease;

/// How often it is logged what the shadow instance would have done differently.
const SHADOW_LOG_INTERVAL: Micros = Micros::from_millis(10_000);

/// How a watch of the endpoint list, or the call for one, ended.
#[derive(Clone, Copy, Debug)]
pub struct WatchEnd {
    /// When the call began.
    pub started: Instant,
    /// Whether the call got no connection to discovery.
    pub discovery_unreachable: bool,
}

/// The policy of a node, and the endpoint list that it decides by.
pub struct Decisions {
    config: Rc<ActiveConfig>,
    /// The node's clock.
    pub clock: Clock,
    /// The policy wants a watch of the endpoint list.
    pub list_requested: Notify,
    /// Discovery has a new address.
    pub discovery_address_changed: Notify,
    discovery_address: Cell<SocketAddr>,
    balancer: RefCell<Balancer>,
    /// The hosts' assignment to the cluster's nodes; none where the cluster's file says nothing of it.
    host_assignment: RefCell<Option<HostAssignment>>,
    endpoints: RefCell<EndpointTable>,
    lease: RefCell<Lease>,
    /// What [`Decisions::run`] sleeps until, and what wakes it earlier.
    next_due: Cell<Option<Micros>>,
    wake: Notify,
    can_serve: Cell<bool>,
}

impl Decisions {
    /// A policy that knows nothing yet but its settings.
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
            balancer: RefCell::new(balancer),
            host_assignment: RefCell::default(),
            endpoints: RefCell::default(),
            lease: RefCell::new(lease),
            next_due: Cell::default(),
            wake: Notify::new(),
            can_serve: Cell::new(false),
        }
    }

    /// Asks or reports to the policy at this moment.
    pub fn with_balancer<T>(&self, call: impl FnOnce(&mut Balancer, Micros) -> T) -> T {
        let mut balancer = self.balancer.borrow_mut();
        let result = call(&mut balancer, self.clock.now());
        let due = balancer.poll_timeout();
        if due.is_some_and(|due| self.next_due.get().is_none_or(|planned| due < planned)) {
            self.wake.notify_one();
        }
        result
    }

    /// Applies other settings.
    pub fn apply_config(&self, config: &Config) {
        let assigned = self.host_assignment.borrow().is_some();
        let adapted = |settings: &BalancerSettings| {
            // An assigned list carries this node's shares in place of weights.
            let weights = if assigned { WeightMeaning::NominalCapacity } else { settings.weight_meaning };
            BalancerSettings { weight_meaning: weights, ..settings.clone() }
        };
        let (settings, shadow) = (adapted(&config.settings), config.shadow.as_ref().map(adapted));
        self.lease.borrow_mut().set_push_grace(config.push_drain_grace);
        self.with_balancer(|balancer, now| balancer.apply_settings(now, settings, shadow));
    }

    /// Gives the policy the list that the node knew before its start.
    pub fn apply_cached_list(&self, list: &EndpointList) {
        self.endpoints.borrow_mut().apply(list);
        self.with_balancer(|balancer, now| {
            balancer.on_endpoint_list(now, EndpointListKind::Cached, self.entries(list))
        });
    }

    /// Applies a list that discovery sent.
    pub fn apply_list(&self, list: &EndpointList) {
        self.endpoints.borrow_mut().apply(list);
        let kind = if list.complete { EndpointListKind::Full } else { EndpointListKind::Delta };
        self.report_list(kind, self.entries(list));
    }

    /// Reports a list to the policy, or that a call for it failed.
    pub fn report_list(&self, kind: EndpointListKind, entries: Vec<Endpoint>) {
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
        // Gates readiness, as a cached list may be old: true once a list or a failure was reported and an endpoint is known.
        self.can_serve.set(self.can_serve.get() || !self.endpoints.borrow().is_empty());
    }

    fn entries(&self, list: &EndpointList) -> Vec<Endpoint> {
        list.entries(&self.config.get().zones)
    }

    /// The endpoint list as this node knows it, complete.
    pub fn complete_list(&self) -> EndpointList {
        self.endpoints.borrow().complete_list()
    }

    /// The name and address of a listed host.
    pub fn host(&self, host: ServerId) -> Option<HostAddress> {
        self.endpoints.borrow().host(host).cloned()
    }

    /// The name of a host; its number once it is listed no more.
    pub fn host_name(&self, host: ServerId) -> Rc<str> {
        self.host(host).map_or_else(|| format!("{:016x}", host.0).into(), |host| host.name)
    }

    /// Assigns hosts to this node from now on, in the list known and in every later one. `make` is told whether weights are
    /// sizes.
    pub fn enable_host_assignment(&self, config: &Config, make: impl FnOnce(bool) -> HostAssignment) {
        self.host_assignment
            .replace(Some(make(config.settings.weight_meaning == WeightMeaning::NominalCapacity)));
        self.apply_config(config);
        self.report_list(EndpointListKind::Full, self.complete_list().entries(&config.zones));
    }

    /// Brings the assignment up to date with the other nodes and with the hosts that this one can't reach.
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

    /// How many hosts this node uses, and how many of them were added in place of others; none without an assignment.
    pub fn assigned_host_counts(&self) -> Option<SubsetCounts> {
        self.host_assignment.borrow().as_ref().and_then(HostAssignment::counts)
    }

    /// Renews the lease on the endpoint list: nothing was missed until now. Hosts that were withheld get new work again.
    pub fn renew_lease(&self) {
        let now = self.clock.now();
        let mut lease = self.lease.borrow_mut();
        lease.renew(now);
        let released = lease.release_withheld(now);
        drop(lease);
        if !released.is_empty() {
            info!(hosts = released.len(), "endpoint list lease renewed, new work to hosts resumed");
            let changes = self.endpoints.borrow().changes(&released);
            self.report_list(EndpointListKind::Delta, self.entries(&changes));
        }
    }

    /// Adjusts the lease on the endpoint list after the watch ended or a call failed: extended where discovery was unreachable,
    /// then shortened to the bound without a watch.
    pub fn on_watch_ended(&self, ended: WatchEnd) {
        let mut lease = self.lease.borrow_mut();
        if ended.discovery_unreachable {
            lease.on_discovery_unreachable(self.clock.time_at(ended.started.into_std()));
        }
        lease.on_watch_ended(self.clock.now());
        self.wake.notify_one();
    }

    /// Records that a host accepted a request that was sent to it at `sent`.
    pub fn on_request_accepted(&self, host: ServerId, sent: Instant) {
        self.lease.borrow_mut().on_request_accepted(host, self.clock.time_at(sent.into_std()));
    }

    /// What remains of the lease on the endpoint list.
    pub fn lease_remaining(&self) -> Micros {
        self.lease.borrow().remaining(self.clock.now())
    }

    /// Takes over what the predecessor had left of the lease.
    pub fn inherit_lease(&self, remaining: Micros) {
        self.lease.borrow_mut().inherit(self.clock.now(), remaining);
        self.wake.notify_one();
    }

    /// Withholds new work from hosts that may have changed since the lease expired; their clients stay.
    fn withhold_expired(&self) {
        let endpoints = self.endpoints.borrow();
        let expired = self.lease.borrow_mut().withhold_expired(self.clock.now(), endpoints.hosts_up());
        if expired.is_empty() {
            return;
        }
        warn!(hosts = expired.len(), "endpoint list lease expired, new work to hosts withheld");
        let changes = endpoints.changes(&expired);
        drop(endpoints);
        let mut entries = self.entries(&changes);
        entries.iter_mut().for_each(|entry| entry.state = EndpointState::Cordoned);
        // Not through the host assignment, which continues with what is listed.
        self.with_balancer(|balancer, now| balancer.on_endpoint_list(now, EndpointListKind::Delta, entries));
    }

    /// Whether a planned attempt may still be sent on the connection made for it.
    pub fn may_send(&self, id: RequestId, host: ServerId, address: SocketAddr) -> bool {
        let (listed, now) = (self.host(host).is_some_and(|host| host.address == address), self.clock.now());
        listed
            && self.lease.borrow().allows_new_work(now, host)
            && self.balancer.borrow().may_forward(now, id)
    }

    /// The address of discovery.
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery_address.get()
    }

    /// Changes the address of discovery.
    pub fn set_discovery_address(&self, to: SocketAddr) {
        self.discovery_address.set(to);
        self.lease.borrow_mut().on_discovery_address_changed(self.clock.now());
        self.discovery_address_changed.notify_one();
    }

    /// Whether clients could be served.
    pub fn can_serve(&self) -> bool {
        self.can_serve.get()
    }

    /// Continues after a successor that was handed the retry budget has ended. What it spent is not known, so no retries are
    /// made until the budget's span has passed.
    pub fn continue_without_successor(&self) {
        self.with_balancer(|balancer, now| balancer.take_over_retry_budget(now, None, Micros(0)));
    }

    /// What the shadow instance would have done differently so far; none without one.
    pub fn shadow_differences(&self) -> Option<Differences> {
        self.balancer.borrow().differences()
    }

    /// Logs what the shadow instance would have done differently.
    pub fn log_shadow_differences(&self) {
        self.shadow_differences().iter().for_each(|differences| info!("shadow: {differences}"));
    }

    /// Does what is due for as long as the node runs. `migrate` is called for each client that is to move, `broadcast` with
    /// each message to all other nodes.
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
                // A report may make something due earlier.
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

/// Sleeps until a deadline; for ever without one.
pub async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
