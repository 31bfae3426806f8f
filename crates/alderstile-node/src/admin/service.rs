//! What operators ask and say: figures, readiness, hosts out by hand and back.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use tracing::info;

use crate::admin::maintenance_store::{Kept, Stand};
use crate::admin::metrics::Gauges;
use crate::config::Current;
use crate::control::membership::Cluster;
use crate::control::replicated_config::Control;
use crate::decisions::Decisions;
use crate::discovery::endpoint_list::server_id;
use crate::lifecycle::process::Process;
use crate::proxy::clients::Clients;

/// What operators have said, and where what they ask for stands.
pub struct Operators {
    config: Rc<Current>,
    decisions: Rc<Decisions>,
    clients: Rc<Clients>,
    process: Rc<Process>,
    kept: RefCell<Kept>,
    cluster: RefCell<Option<Rc<Cluster>>>,
    control: RefCell<Option<Rc<Control>>>,
}

impl Operators {
    /// As the process before this one left it.
    pub fn new(
        config: Rc<Current>,
        decisions: Rc<Decisions>,
        clients: Rc<Clients>,
        process: Rc<Process>,
    ) -> Self {
        let told = config.get();
        let kept = told.state_dir.as_deref().map(|dir| Kept::load(dir, &told.name)).unwrap_or_default();
        for (host, stand) in kept.hosts() {
            decisions.decide(|balancer, now| stand.apply(balancer, now, server_id(host)));
        }
        let (kept, cluster, control) = (RefCell::new(kept), RefCell::default(), RefCell::default());
        Operators { config, decisions, clients, process, kept, cluster, control }
    }

    /// Whether clients may be sent here.
    pub fn ready(&self) -> bool {
        let heard = self.control().is_none_or(|control| control.ready());
        heard
            && self.decisions.can_serve()
            && self.process.listener().is_some()
            && !self.process.is_shutting_down()
    }

    /// This node is a member of a cluster from now on.
    pub fn join(&self, cluster: Rc<Cluster>) {
        self.cluster.replace(Some(cluster));
    }

    /// This node as a member, where it is one.
    pub fn cluster(&self) -> Option<Rc<Cluster>> {
        self.cluster.borrow().clone()
    }

    /// This node goes by settings that are agreed from now on.
    pub fn agree(&self, control: Rc<Control>) {
        self.control.replace(Some(control));
    }

    /// This node's part in agreed settings, where it has one.
    pub fn control(&self) -> Option<Rc<Control>> {
        self.control.borrow().clone()
    }

    /// Where hosts stand that operators have named.
    pub fn hosts(&self) -> Vec<(String, Stand)> {
        self.kept.borrow().hosts().map(|(host, stand)| (host.to_owned(), stand)).collect()
    }

    /// The figures for operators, as text.
    pub fn figures(&self) -> String {
        let gauges = self.decisions.decide(|balancer, now| Gauges {
            inflight: self.clients.in_flight(),
            hosts_listed: balancer.maintenance().listed_count(),
            hosts_down: balancer.unavailable_servers(now),
            subset: self.decisions.assigned_host_counts(),
            members: self.cluster().map(|cluster| cluster.stats()),
        });
        let agreed = self.control().map(|control| control.figures()).unwrap_or_default();
        self.clients.render_metrics(gauges) + &agreed
    }

    /// Takes a host out by hand or puts it back. It is so in the decisions and on disk before this returns; false where
    /// nobody has that host.
    pub async fn maintain(&self, host: &str, online: bool) -> io::Result<bool> {
        let id = server_id(host);
        let (known, out) = self.decisions.decide(|balancer, _| {
            let hosts = balancer.maintenance();
            (hosts.is_known(id), hosts.is_in_maintenance(id))
        });
        if known && online == out {
            let stand = if online { Stand::Back(self.decisions.clock.now().0) } else { Stand::Out };
            self.stand(host, stand);
            let config = self.config.get();
            if let Some(dir) = &config.state_dir {
                self.kept.borrow().save(dir, &config.name)?;
            }
            if let Some(link) = self.process.other() {
                link.send_host_maintenance(host, stand).await;
            }
        }
        Ok(known)
    }

    /// A host stands elsewhere by hand.
    pub fn stand(&self, host: &str, stand: Stand) {
        self.kept.borrow_mut().set(host, stand, self.decisions.clock.now());
        self.decisions.decide(|balancer, now| stand.apply(balancer, now, server_id(host)));
        info!("host {host}: {} by hand", if stand == Stand::Out { "out" } else { "back" });
    }
}
