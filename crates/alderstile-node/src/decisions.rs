//! The decisions, what they know of the list, and when they have something to do next.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use alderstile::balancer::{Balancer, LogLine};
use alderstile::shadow::Differences;
use alderstile::types::{
    BalancerSettings, Endpoint, EndpointListKind, EndpointState, Micros, RequestId, ServerId, WeightMeaning,
};
use alderstile_cluster::host_assignment::Choices;
use alderstile_cluster::subsetting::Node as Peer;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::clock::Clock;
use crate::config::{Config, Current};
use crate::discovery::endpoint_list::{Health, Host, List, server_id};
use crate::discovery::lease::Lease;

/// How often it is told what the watching instance would have done otherwise.
const SHADOW_EVERY: Micros = Micros::from_millis(10_000);

/// A server as this node reaches it.
#[derive(Clone, Debug)]
pub struct HostAt {
    /// Its name.
    pub name: Rc<str>,
    /// Its address.
    pub dial: SocketAddr,
}

/// The decisions of a node, and the list.
pub struct Decisions {
    config: Rc<Current>,
    /// The node's clock.
    pub clock: Clock,
    /// A watch of the server list is wanted.
    pub ask_list: Notify,
    /// The server list is to be had elsewhere from now on.
    pub discovery_moved: Notify,
    discovery: Cell<SocketAddr>,
    balancer: RefCell<Balancer>,
    /// What nodes share out among themselves; nothing where no cluster's file says so.
    choices: RefCell<Option<Choices>>,
    hosts: RefCell<BTreeMap<ServerId, HostAt>>,
    listed: RefCell<BTreeMap<ServerId, Host>>,
    seq: Cell<u64>,
    lease: RefCell<Lease>,
    /// What the running node sleeps until, and what wakes it earlier.
    due: Cell<Option<Micros>>,
    wake: Notify,
    ready: Cell<bool>,
}

impl Decisions {
    /// Decisions that know nothing yet but the settings.
    pub fn new(config: Rc<Current>) -> Self {
        let (clock, told) = (Clock::default(), config.get());
        let balancer =
            Balancer::with_shadow(told.settings.clone(), told.shadow.clone(), told.seed, clock.now());
        let lease = Lease::new(clock.now(), told.pushed);
        Decisions {
            config,
            clock,
            ask_list: Notify::new(),
            discovery_moved: Notify::new(),
            discovery: Cell::new(told.discovery),
            balancer: RefCell::new(balancer),
            choices: RefCell::default(),
            hosts: RefCell::default(),
            listed: RefCell::default(),
            seq: Cell::default(),
            lease: RefCell::new(lease),
            due: Cell::default(),
            wake: Notify::new(),
            ready: Cell::new(false),
        }
    }

    /// Begins with the list that the node last had.
    pub fn begin(&self, known: &List) {
        self.take_addresses(known);
        self.decide(|balancer, now| {
            balancer.on_endpoint_list(now, EndpointListKind::Cached, known.entries(&self.config.get().zones))
        });
    }

    /// Other settings from now on.
    pub fn renew(&self, config: &Config) {
        let shares = self.choices.borrow().is_some();
        let laid_over = |settings: &BalancerSettings| {
            // What is laid over the list names this node's shares as weights.
            let weights = if shares { WeightMeaning::NominalCapacity } else { settings.weight_meaning };
            BalancerSettings { weight_meaning: weights, ..settings.clone() }
        };
        let (settings, shadow) = (laid_over(&config.settings), config.shadow.as_ref().map(laid_over));
        self.lease.borrow_mut().renew(config.pushed);
        self.decide(|balancer, now| balancer.apply_settings(now, settings, shadow));
    }

    /// Something is laid over every list from now on, and over the one that is held. `make` is told whether weights are sizes.
    pub fn share(&self, config: &Config, make: impl FnOnce(bool) -> Choices) {
        self.choices.replace(Some(make(config.settings.weight_meaning == WeightMeaning::NominalCapacity)));
        self.renew(config);
        self.list(EndpointListKind::Full, self.whole_list().entries(&config.zones));
    }

    /// Brings what is laid over the list up to date with the other nodes and with what this one can't reach.
    pub fn shares(&self, others: Vec<Peer>, more: impl FnOnce(&mut Choices, Micros)) {
        let mut choices = self.choices.borrow_mut();
        let Some(choices) = &mut *choices else { return };
        choices.members(others);
        self.decide(|balancer, now| {
            more(choices, now);
            let changed = choices.refresh(now, &balancer.ejected_servers());
            if !changed.is_empty() {
                balancer.on_endpoint_list(now, EndpointListKind::Delta, changed);
            }
        });
    }

    /// Hosts in use, and those of them that were added for others; none where nothing is laid over the list.
    pub fn share_counts(&self) -> Option<(usize, usize)> {
        self.choices.borrow().as_ref().and_then(Choices::counts)
    }

    /// The list as held, whole.
    pub fn whole_list(&self) -> List {
        List { seq: self.seq.get(), whole: true, hosts: self.listed.borrow().values().cloned().collect() }
    }

    /// Asks the decisions or reports to them, at this moment.
    pub fn decide<T>(&self, call: impl FnOnce(&mut Balancer, Micros) -> T) -> T {
        let mut balancer = self.balancer.borrow_mut();
        let done = call(&mut balancer, self.clock.now());
        let due = balancer.poll_timeout();
        if due.is_some_and(|due| self.due.get().is_none_or(|old| due < old)) {
            self.wake.notify_one();
        }
        done
    }

    /// Takes in a list that discovery sent.
    pub fn learn(&self, list: &List) {
        self.take_addresses(list);
        let kind = if list.whole { EndpointListKind::Full } else { EndpointListKind::Delta };
        self.list(kind, list.entries(&self.config.get().zones));
    }

    /// Reports a list, or that a call for it failed.
    pub fn list(&self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        let mut choices = self.choices.borrow_mut();
        self.decide(|balancer, now| match &mut *choices {
            None => balancer.on_endpoint_list(now, kind, entries),
            Some(choices) => {
                let entries = choices.lay_over(kind, entries);
                balancer.on_endpoint_list(now, kind, entries);
                if choices.starved() {
                    let changed = choices.refresh(now, &balancer.ejected_servers());
                    balancer.on_endpoint_list(now, EndpointListKind::Delta, changed);
                }
            }
        });
        // The list known may be old: who serves by it does so only where discovery is not to be had.
        self.ready.set(self.ready.get() || !self.hosts.borrow().is_empty());
    }

    /// A whole line of a watch, or a whole list, was taken in: nothing was missed until now.
    pub fn heard(&self) {
        let now = self.clock.now();
        let mut lease = self.lease.borrow_mut();
        lease.heard(now);
        let restored = lease.restore(now);
        drop(lease);
        if !restored.is_empty() {
            info!("server list: heard of again, {} hosts are sent new work again", restored.len());
            let listed = self.listed.borrow();
            let hosts = restored.iter().filter_map(|id| listed.get(id)).cloned().collect();
            let entries = List { seq: 0, whole: false, hosts }.entries(&self.config.get().zones);
            drop(listed);
            self.list(EndpointListKind::Delta, entries);
        }
    }

    /// The watch has ended, or a call has failed that began then. `unreachable` says that it got no connection.
    pub fn unheard(&self, began: Instant, unreachable: bool) {
        let mut lease = self.lease.borrow_mut();
        if unreachable {
            lease.unreachable(self.clock.at(began.into_std()));
        }
        lease.ended(self.clock.now());
        self.wake.notify_one();
    }

    /// A server took a request that it was asked to take then.
    pub fn took(&self, server: ServerId, asked: Instant) {
        self.lease.borrow_mut().took(server, self.clock.at(asked.into_std()));
    }

    /// What is left of the lease on the list.
    pub fn lease_left(&self) -> Micros {
        self.lease.borrow().left(self.clock.now())
    }

    /// The process before this one had so much left of it.
    pub fn inherit_lease(&self, left: Micros) {
        self.lease.borrow_mut().inherit(self.clock.now(), left);
        self.wake.notify_one();
    }

    /// Nothing new goes to servers that may have changed since the list was last heard of; their clients stay.
    fn withhold(&self) {
        let now = self.clock.now();
        let listed = self.listed.borrow();
        let up = listed.iter().filter(|(_, host)| host.health == Health::Up).map(|(id, _)| *id);
        let out = self.lease.borrow_mut().withhold(now, up);
        if out.is_empty() {
            return;
        }
        warn!("server list: nothing heard for too long, {} hosts are sent nothing new", out.len());
        let hosts = out.iter().filter_map(|id| listed.get(id)).cloned().collect();
        let mut entries = List { seq: 0, whole: false, hosts }.entries(&self.config.get().zones);
        drop(listed);
        entries.iter_mut().for_each(|entry| entry.state = EndpointState::Cordoned);
        // Past what nodes share out among themselves: that one is to go on with what is listed.
        self.decide(|balancer, now| balancer.on_endpoint_list(now, EndpointListKind::Delta, entries));
    }

    fn take_addresses(&self, list: &List) {
        let (mut hosts, mut listed) = (self.hosts.borrow_mut(), self.listed.borrow_mut());
        self.seq.set(list.seq);
        if list.whole {
            let named: BTreeSet<ServerId> = list.hosts.iter().map(|host| server_id(&host.host)).collect();
            hosts.retain(|id, _| named.contains(id));
            listed.retain(|id, _| named.contains(id));
        }
        for host in &list.hosts {
            let id = server_id(&host.host);
            match host.dial {
                Some(dial) if host.health != Health::Removed => {
                    hosts.insert(id, HostAt { name: host.host.as_str().into(), dial });
                    listed.insert(id, host.clone());
                }
                _ => {
                    hosts.remove(&id);
                    listed.remove(&id);
                }
            }
        }
    }

    /// Where a server is reached.
    pub fn host(&self, server: ServerId) -> Option<HostAt> {
        self.hosts.borrow().get(&server).cloned()
    }

    /// Whether an attempt that is out may still be sent where its connection was made.
    pub fn may_go(&self, id: RequestId, server: ServerId, dial: SocketAddr) -> bool {
        let (there, now) = (self.host(server).is_some_and(|at| at.dial == dial), self.clock.now());
        there && self.lease.borrow().holds(now, server) && self.balancer.borrow().may_forward(now, id)
    }

    /// The name of a server; its number once it is listed no more.
    pub fn host_name(&self, server: ServerId) -> Rc<str> {
        self.host(server).map_or_else(|| format!("{:016x}", server.0).into(), |host| host.name)
    }

    /// Where the server list is to be had.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery.get()
    }

    /// From now on the server list is to be had there.
    pub fn move_discovery(&self, to: SocketAddr) {
        self.discovery.set(to);
        self.lease.borrow_mut().moved(self.clock.now());
        self.discovery_moved.notify_one();
    }

    /// Whether clients could be served.
    pub fn can_serve(&self) -> bool {
        self.ready.get()
    }

    /// The process that was to take over has ended: what it has spent of the budget is not known.
    pub fn serve_on(&self) {
        self.decide(|balancer, now| balancer.import_retry_budget(now, None, Micros(0)));
    }

    /// What the watching instance would have done otherwise so far; none where there is no such instance.
    pub fn differences(&self) -> Option<Differences> {
        self.balancer.borrow().differences()
    }

    /// Says in the log what the watching instance would have done otherwise.
    pub fn tell_differences(&self) {
        self.differences().iter().for_each(|differences| info!("shadow: {differences}"));
    }

    /// Does what is due, for as long as the node runs.
    /// `moves` is given each client that is to move, `tell` what all other nodes are to hear.
    pub async fn run(self: Rc<Self>, moves: impl Fn(RequestId), tell: impl Fn(&[u8])) {
        let mut shadow_due = self.clock.now() + SHADOW_EVERY;
        loop {
            if self.clock.now() >= shadow_due {
                shadow_due = self.clock.now() + SHADOW_EVERY;
                self.tell_differences();
            }
            let pending = self.decide(|balancer, now| balancer.handle_timeout(now));
            pending.migrations.into_iter().for_each(&moves);
            if pending.watch_endpoints {
                self.ask_list.notify_one();
            }
            pending.broadcasts.iter().for_each(|data| tell(data));
            for LogLine { server, text: line } in pending.log_lines {
                match server {
                    Some(server) => info!("host {}: {line}", self.host_name(server)),
                    None => info!("{line}"),
                }
            }
            self.withhold();
            let leased = self.lease.borrow().due(self.clock.now());
            let due = self.decide(|balancer, _| balancer.poll_timeout()).into_iter().chain(leased).min();
            self.due.set(due);
            let due = due.map(|due| self.clock.moment(due).into());
            tokio::select! {
                () = sleep_until(due) => {}
                // A report may bring something forward.
                () = self.wake.notified() => {}
            }
        }
    }
}

/// Sleeps until a moment; for ever where there is none.
pub async fn sleep_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}
