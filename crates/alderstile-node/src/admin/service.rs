//! The state behind the admin server: readiness, metrics and host maintenance.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use tracing::{error, info};

use crate::admin::maintenance_store::{MaintenanceState, MaintenanceStore};
use crate::admin::metrics::Gauges;
use crate::config::ActiveConfig;
use crate::control::membership::ClusterMembership;
use crate::control::replicated_config::ConfigReplica;
use crate::decisions::Decisions;
use crate::discovery::endpoint_list::server_id;
use crate::lifecycle::process::Process;
use crate::proxy::clients::Clients;

/// The admin interface of one node, with the components that it queries.
pub struct AdminService {
    config: Rc<ActiveConfig>,
    decisions: Rc<Decisions>,
    clients: Rc<Clients>,
    process: Rc<Process>,
    maintenance: RefCell<MaintenanceStore>,
    membership: RefCell<Option<Rc<ClusterMembership>>>,
    replicated_config: RefCell<Option<Rc<ConfigReplica>>>,
}

impl AdminService {
    /// Loads the maintenance file of an earlier process and applies it to the balancer.
    pub fn new(
        config: Rc<ActiveConfig>,
        decisions: Rc<Decisions>,
        clients: Rc<Clients>,
        process: Rc<Process>,
    ) -> Self {
        let initial = config.get();
        let state_dir = initial.state_dir.as_deref();
        let maintenance = state_dir.map(|dir| MaintenanceStore::load(dir, &initial.name)).unwrap_or_default();
        for (host, state) in maintenance.hosts() {
            decisions.with_balancer(|balancer, now| state.apply(balancer, now, server_id(host)));
        }
        AdminService {
            config,
            decisions,
            clients,
            process,
            maintenance: RefCell::new(maintenance),
            membership: RefCell::default(),
            replicated_config: RefCell::default(),
        }
    }

    /// Returns whether new clients may be sent to this process.
    pub fn is_ready(&self) -> bool {
        self.is_config_current()
            && self.decisions.can_serve()
            && self.process.listener().is_some()
            && !self.process.is_shutting_down()
    }

    /// Returns whether new clients may be admitted by the settings of this process. With a replicated
    /// configuration they may not while another version may be in force.
    pub fn is_config_current(&self) -> bool {
        self.replicated_config().is_none_or(|replica| replica.is_ready())
    }

    /// Sets this node's membership in its cluster.
    pub fn set_membership(&self, membership: Rc<ClusterMembership>) {
        self.membership.replace(Some(membership));
    }

    /// Returns this node's membership, if it is a member of a cluster.
    pub fn membership(&self) -> Option<Rc<ClusterMembership>> {
        self.membership.borrow().clone()
    }

    /// Sets this node's replica of the cluster's configuration.
    pub fn set_replicated_config(&self, replica: Rc<ConfigReplica>) {
        self.replicated_config.replace(Some(replica));
    }

    /// Returns this node's replica of the configuration, if the configuration is replicated.
    pub fn replicated_config(&self) -> Option<Rc<ConfigReplica>> {
        self.replicated_config.borrow().clone()
    }

    /// Returns the maintenance states that operators have set, by host.
    pub fn maintenance_states(&self) -> BTreeMap<String, MaintenanceState> {
        self.maintenance.borrow().hosts().map(|(host, state)| (host.to_owned(), state)).collect()
    }

    /// Renders the metrics as statsd text.
    pub fn metrics_text(&self) -> String {
        let gauges = self.decisions.with_balancer(|balancer, now| Gauges {
            inflight: self.clients.in_flight_count(),
            hosts_listed: balancer.maintenance().listed_count(),
            hosts_unavailable: balancer.unavailable_server_count(now),
            subset: self.decisions.assigned_host_counts(),
            members: self.membership().map(|membership| membership.stats()),
        });
        let replicated_config = self.replicated_config().map(|replica| replica.metrics()).unwrap_or_default();
        self.clients.render_metrics(gauges) + &replicated_config
    }

    /// Takes a host out of service or returns it. When this returns, the state has been applied to the
    /// balancer, written to disk and sent to the node's other process. Returns `false` if the host is
    /// unknown.
    ///
    /// # Errors
    ///
    /// Fails if the maintenance file can't be written; the balancer uses the new state nevertheless.
    pub async fn set_host_online(&self, host: &str, online: bool) -> io::Result<bool> {
        let id = server_id(host);
        let (known, in_maintenance) = self.decisions.with_balancer(|balancer, _| {
            let hosts = balancer.maintenance();
            (hosts.is_known(id), hosts.is_in_maintenance(id))
        });
        // A host may be out for another reason, the replicated configuration. The operator's word is stored all
        // the same, since it outlasts that reason.
        let out_by_operator = self.maintenance_states().get(host) == Some(&MaintenanceState::OutOfService);
        let changes = if online { in_maintenance } else { !out_by_operator };
        if known && changes {
            let state = match online {
                true => MaintenanceState::ReturnedAt(self.decisions.clock.now().0),
                false => MaintenanceState::OutOfService,
            };
            self.apply_maintenance(host, state);
            self.save_maintenance()?;
            if let Some(other) = self.process.other_process() {
                other.send_host_maintenance(host, state).await;
            }
        }
        Ok(known)
    }

    /// Applies a maintenance state that operators have set at the node's other process, and writes the file: the
    /// other process may have written it before it heard of a host that was set here.
    pub fn apply_maintenance_of_other_process(&self, host: &str, state: MaintenanceState) {
        self.apply_maintenance(host, state);
        if let Err(error) = self.save_maintenance() {
            error!(%error, "maintenance file not written");
        }
    }

    /// Sets a host's maintenance state in the store and the balancer, without writing the file.
    pub fn apply_maintenance(&self, host: &str, state: MaintenanceState) {
        self.maintenance.borrow_mut().set(host, state, self.decisions.clock.now());
        self.decisions.with_balancer(|balancer, now| state.apply(balancer, now, server_id(host)));
        match state {
            MaintenanceState::OutOfService => info!(%host, "host taken out of service"),
            MaintenanceState::ReturnedAt(_) => info!(%host, "host returned to service"),
        }
    }

    fn save_maintenance(&self) -> io::Result<()> {
        let config = self.config.get();
        match &config.state_dir {
            Some(dir) => self.maintenance.borrow().save(dir, &config.name),
            None => Ok(()),
        }
    }
}
