//! One node: its parts, and what concerns all of them.

use std::rc::Rc;

use alderstile::types::{Micros, RetryBudgetBucket};

use crate::admin::maintenance_store::MaintenanceState;
use crate::admin::service::AdminService;
use crate::config::{Config, Current};
use crate::control::configured_node::ConfiguredNode;
use crate::decisions::Decisions;
use crate::discovery::endpoint_list::server_id;
use crate::lifecycle::process::Process;
use crate::lifecycle::upgrade_channel::WORD;
use crate::lifecycle::upgrade_state::Handshake;
use crate::proxy::clients::Clients;

/// One node. A task is given the parts that it needs.
pub struct Node {
    config: Rc<Current>,
    /// The decisions and the list.
    pub decisions: Rc<Decisions>,
    /// The clients of this process.
    pub clients: Rc<Clients>,
    /// This process and the other one.
    pub process: Rc<Process>,
    /// The admin interface.
    pub admin: Rc<AdminService>,
}

impl Node {
    /// A node that has just started, with the list it last had.
    pub fn new(config: Config) -> Self {
        let known = config.known.clone();
        let config = Rc::new(Current::new(config));
        let (decisions, process) = (Rc::new(Decisions::new(config.clone())), Rc::new(Process::default()));
        let clients = Rc::new(Clients::new(config.clone(), process.clone()));
        let admin = AdminService::new(config.clone(), decisions.clone(), clients.clone(), process.clone());
        decisions.start_with_cached_list(&known);
        Node { config, decisions, clients, process, admin: Rc::new(admin) }
    }

    /// What the node was told last.
    pub fn config(&self) -> Rc<Config> {
        self.config.get()
    }

    /// Other settings from now on, all of them in this step.
    pub fn renew(&self, config: Config) {
        self.clients.count(|counters| counters.register_classes(&config.classes));
        self.decisions.apply_config(&config);
        // Agreed settings have versions of their own: told by the members too, each change would be 510 rumors.
        if self.admin.replicated_config().is_none() {
            self.admin.membership().iter().for_each(|cluster| cluster.renew(&config));
        }
        let discovery = config.discovery;
        self.config.set(config);
        if discovery != self.decisions.discovery() {
            self.decisions.move_discovery(discovery);
        }
    }

    /// Whether the front is to send clients to the clients' address, where another process of this node may serve.
    pub fn wanted(&self) -> bool {
        self.admin.is_ready() || self.process.shared()
    }

    /// Does what is due, for as long as the node runs; `tell` is given what all other nodes are to hear.
    pub async fn run(self: Rc<Self>, tell: impl Fn(&[u8])) {
        let clients = self.clients.clone();
        self.decisions.clone().run(|id| clients.move_one(id), tell).await;
    }

    /// What the process that takes over is to know.
    pub fn handshake(&self, version: u32) -> Handshake {
        // Two processes of one node have one budget: from here on it is the other's.
        let spent = self.decisions.decide(|balancer, now| balancer.export_retry_budget(now));
        Handshake {
            version,
            name: self.config().name.clone(),
            config: self.config().told.clone(),
            discovery: Some(self.decisions.discovery()),
            list: self.decisions.complete_list(),
            lease_left: Some(self.decisions.lease_remaining().0),
            hosts: self.admin.maintained_hosts().into_iter().collect(),
            ids: self.clients.known_ids(),
            held: self.clients.held(),
            member: self.admin.membership().map(|cluster| cluster.word()),
            spent: spent.map(|parts| {
                parts
                    .iter()
                    .map(|part| (part.first_event.0, part.last_event.0, part.admitted, part.retries))
                    .collect()
            }),
        }
    }

    /// Takes over what the process before has told. The list is asked for at once: that one's news end with it.
    pub fn take_over(&self, handshake: &Handshake) {
        let known = self.admin.maintained_hosts();
        for (host, stand) in &handshake.hosts {
            // What the file told already stands.
            if !known.iter().any(|known| (&known.0, &known.1) == (host, stand)) {
                self.admin.apply_maintenance(host, *stand);
            }
        }
        let part = |&(from, to, taken, further): &(u64, u64, u32, u32)| RetryBudgetBucket {
            first_event: Micros(from),
            last_event: Micros(to),
            admitted: taken,
            retries: further,
        };
        let spent = handshake.spent.as_ref().map(|parts| parts.iter().map(part).collect());
        let late = Micros(WORD.as_micros() as u64);
        self.decisions.decide(|balancer, now| balancer.import_retry_budget(now, spent, late));
        handshake.ids.iter().for_each(|id| self.clients.know_id(id.as_bytes()));
        handshake.lease_left.iter().for_each(|left| self.decisions.inherit_lease(Micros(*left)));
        self.decisions.list_requested.notify_one();
    }
}

impl ConfiguredNode for Node {
    fn config(&self) -> Rc<Config> {
        self.config.get()
    }

    fn apply_config(&self, config: Config) {
        self.renew(config);
    }

    fn count_reconfiguration(&self, applied: bool) {
        self.clients.count(|counters| match applied {
            true => counters.configs_applied += 1,
            false => counters.configs_rejected += 1,
        });
    }

    fn take_host_out(&self, host: &str) {
        self.decisions.decide(|balancer, now| balancer.begin_maintenance(now, server_id(host)));
    }

    fn put_host_back(&self, host: &str) {
        let out_by_hand = (host.to_owned(), MaintenanceState::OutOfService);
        if !self.admin.maintained_hosts().contains(&out_by_hand) {
            self.decisions.decide(|balancer, now| balancer.end_maintenance(now, server_id(host), now));
        }
    }
}
