//! The node: composes the parts of one process, and implements the operations that involve several of them.

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
use crate::lifecycle::reload::ReloadTimes;
use crate::lifecycle::upgrade_channel::MESSAGE_TIMEOUT;
use crate::lifecycle::upgrade_message::MINOR_VERSION;
use crate::lifecycle::upgrade_state::{RetryBudgetAges, UpgradeState};
use crate::proxy::clients::Clients;
use crate::proxy::request_ids::IdDigest;

/// The state that the tasks of one process share. Each task receives only the parts that it needs.
pub struct Node {
    config: Rc<ActiveConfig>,
    /// The policy and the endpoint list.
    pub decisions: Rc<Decisions>,
    /// The clients of this process.
    pub clients: Rc<Clients>,
    /// This process, and the other process of the node while an upgrade runs.
    pub process: Rc<Process>,
    /// The admin interface.
    pub admin: Rc<AdminService>,
    /// When the files were read that are in use.
    pub reload_times: ReloadTimes,
}

impl Node {
    /// Creates a node that starts with the cached endpoint list of its configuration.
    pub fn new(config: Config) -> Self {
        let cached_endpoints = config.cached_endpoints.clone();
        let config = Rc::new(ActiveConfig::new(config));
        let (decisions, process) = (Rc::new(Decisions::new(config.clone())), Rc::new(Process::default()));
        let clients = Rc::new(Clients::new(config.clone(), process.clone()));
        let admin = AdminService::new(config.clone(), decisions.clone(), clients.clone(), process.clone());
        decisions.apply_cached_list(&cached_endpoints);
        Node {
            config,
            decisions,
            clients,
            process,
            admin: Rc::new(admin),
            reload_times: ReloadTimes::default(),
        }
    }

    /// Returns the active configuration.
    pub fn config(&self) -> Rc<Config> {
        self.config.get()
    }

    /// Activates a configuration in all parts at once.
    pub fn apply_config(&self, config: Config) {
        self.clients.update_counters(|counters| counters.register_classes(&config.classes));
        self.decisions.apply_config(&config);
        // A replicated configuration has its own versions. If it were gossiped too, each change would cost
        // one rumor per member.
        if self.admin.replicated_config().is_none()
            && let Some(membership) = self.admin.membership()
        {
            membership.update_config_digest(&config);
        }
        let discovery = config.discovery;
        self.config.set(config);
        if discovery != self.decisions.discovery_address() {
            self.decisions.set_discovery_address(discovery);
        }
    }

    /// Returns whether the front may send clients to this node. During an upgrade the other process may serve
    /// them.
    pub fn accepts_clients(&self) -> bool {
        self.admin.is_ready() || self.process.other_process_serves()
    }

    /// Performs the actions that the policy requests, for as long as the node runs. `broadcast` sends a
    /// message to all other nodes.
    pub async fn run(self: Rc<Self>, broadcast: impl Fn(&[u8])) {
        let clients = self.clients.clone();
        self.decisions.clone().run(|id| clients.migrate(id), broadcast).await;
    }

    /// Returns the state that the successor needs, and gives up the retry budget: the two processes of a node
    /// share one budget, which the successor spends from now on.
    pub fn hand_over_state(&self, version: u32) -> UpgradeState {
        let budget = self.decisions.with_balancer(|balancer, now| balancer.hand_over_retry_budget(now));
        let config = self.config();
        UpgradeState {
            version,
            minor_version: MINOR_VERSION,
            name: config.name.clone(),
            config: config.source.clone(),
            discovery: Some(self.decisions.discovery_address()),
            endpoints: self.decisions.complete_list(),
            endpoints_source: self.decisions.list_from_other_discovery(),
            lease_remaining_us: Some(self.decisions.lease_remaining().0),
            host_maintenance: self.admin.maintenance_states(),
            request_ids: self.clients.request_ids().texts(),
            open_request_ids: self.clients.request_ids().open_at_this_process(),
            descriptors_in_use: self.clients.descriptors_in_use(),
            member: self.admin.membership().map(|membership| membership.handover_state()),
            retry_budget: budget.map(|buckets| buckets.into_iter().map(RetryBudgetAges::from).collect()),
        }
    }

    /// Takes over the state of the predecessor. Requests the endpoint list at once, because the predecessor's
    /// watch ends with it.
    pub fn take_over(&self, state: &UpgradeState) {
        let loaded_states = self.admin.maintenance_states();
        for (host, maintenance) in &state.host_maintenance {
            // The maintenance file of this process has been applied already.
            if loaded_states.get(host) != Some(maintenance) {
                self.admin.apply_maintenance(host, *maintenance);
            }
        }
        let budget = state.retry_budget.clone();
        let budget = budget.map(|buckets| buckets.into_iter().map(RetryBudgetBucket::from).collect());
        let max_delay = micros(MESSAGE_TIMEOUT);
        self.decisions.with_balancer(|balancer, now| balancer.take_over_retry_budget(now, budget, max_delay));
        self.take_over_request_ids(state);
        if let Some(remaining_us) = state.lease_remaining_us {
            self.decisions.inherit_lease(Micros(remaining_us));
        }
        self.decisions.list_requested.notify_one();
    }

    fn take_over_request_ids(&self, state: &UpgradeState) {
        let ids = self.clients.request_ids();
        // Recorded first: an id that is known to be open is not remembered as ended, too.
        for id in &state.open_request_ids {
            ids.open_at_other_process(*id);
        }
        for id in &state.request_ids {
            ids.remember(IdDigest::of(id.as_bytes()));
        }
    }
}

impl ConfiguredNode for Node {
    fn config(&self) -> Rc<Config> {
        self.config.get()
    }

    fn apply_config(&self, config: Config) {
        Node::apply_config(self, config);
    }

    fn count_reconfiguration(&self, applied: bool) {
        self.clients.update_counters(|counters| match applied {
            true => counters.configs_applied += 1,
            false => counters.configs_rejected += 1,
        });
    }

    fn take_host_out_of_service(&self, host: &str) {
        self.decisions.with_balancer(|balancer, now| balancer.begin_maintenance(now, server_id(host)));
    }

    fn return_host_to_service(&self, host: &str) {
        let maintenance = self.admin.maintenance_states().get(host).copied();
        if maintenance != Some(MaintenanceState::OutOfService) {
            self.decisions.with_balancer(|balancer, now| balancer.end_maintenance(now, server_id(host), now));
        }
    }
}
