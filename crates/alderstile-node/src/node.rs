//! One node: its parts, and what concerns all of them.

use std::rc::Rc;

use alderstile::types::{Micros, RetryBudgetBucket};

use crate::admin::maintenance_store::MaintenanceState;
use crate::admin::service::AdminService;
use crate::clock::micros;
use crate::config::{ActiveConfig, Config};
use crate::control::configured_node::ConfiguredNode;
use crate::decisions::Decisions;
use crate::discovery::endpoint_list::server_id;
use crate::lifecycle::process::Process;
use crate::lifecycle::upgrade_channel::MESSAGE_TIMEOUT;
use crate::lifecycle::upgrade_state::{RetryBudgetAges, UpgradeState};
use crate::proxy::clients::Clients;

/// One node. A task is given the parts that it needs.
pub struct Node {
    config: Rc<ActiveConfig>,
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
        let known = config.cached_endpoints.clone();
        let config = Rc::new(ActiveConfig::new(config));
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
            self.admin.membership().iter().for_each(|cluster| cluster.config_changed(&config));
        }
        let discovery = config.discovery;
        self.config.set(config);
        if discovery != self.decisions.discovery() {
            self.decisions.move_discovery(discovery);
        }
    }

    /// Whether the front is to send clients to the clients' address, where another process of this node may serve.
    pub fn wanted(&self) -> bool {
        self.admin.is_ready() || self.process.other_serves()
    }

    /// Does what is due, for as long as the node runs; `tell` is given what all other nodes are to hear.
    pub async fn run(self: Rc<Self>, tell: impl Fn(&[u8])) {
        let clients = self.clients.clone();
        self.decisions.clone().run(|id| clients.migrate(id), tell).await;
    }

    /// The state that the successor needs. The retry budget is the successor's from here on: two processes of one node have
    /// one budget.
    pub fn hand_over_state(&self, version: u32) -> UpgradeState {
        let budget = self.decisions.decide(|balancer, now| balancer.export_retry_budget(now));
        let config = self.config();
        UpgradeState {
            version,
            name: config.name.clone(),
            config: config.source.clone(),
            discovery: Some(self.decisions.discovery()),
            endpoints: self.decisions.complete_list(),
            lease_remaining_us: Some(self.decisions.lease_remaining().0),
            host_maintenance: self.admin.maintained_hosts().into_iter().collect(),
            request_ids: self.clients.known_ids(),
            descriptors_in_use: self.clients.descriptors_in_use(),
            member: self.admin.membership().map(|cluster| cluster.handover_state()),
            retry_budget: budget.map(|buckets| buckets.into_iter().map(RetryBudgetAges::from).collect()),
        }
    }

    /// Takes over the state of the predecessor. The endpoint list is requested at once: the predecessor's watch ends with it.
    pub fn take_over(&self, state: &UpgradeState) {
        let known = self.admin.maintained_hosts();
        for (host, stand) in &state.host_maintenance {
            // What the maintenance file says is in force already.
            if !known.iter().any(|known| (&known.0, &known.1) == (host, stand)) {
                self.admin.apply_maintenance(host, *stand);
            }
        }
        let budget = state.retry_budget.clone();
        let budget = budget.map(|buckets| buckets.into_iter().map(RetryBudgetBucket::from).collect());
        let late = micros(MESSAGE_TIMEOUT);
        self.decisions.decide(|balancer, now| balancer.import_retry_budget(now, budget, late));
        state.request_ids.iter().for_each(|id| self.clients.remember_id(id.as_bytes()));
        state.lease_remaining_us.iter().for_each(|left| self.decisions.inherit_lease(Micros(*left)));
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
