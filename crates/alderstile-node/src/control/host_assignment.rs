//! Keeps this node's part of the hosts in step with the members, and tells them what comes to this node.

use std::rc::Rc;
use std::time::Duration;

use alderstile_cluster::host_assignment::{Choices, Parts, TRAFFIC, traffic};
use alderstile_cluster::subsetting::{Node as Peer, Rule};
use tracing::info;

use crate::config::{Config, Subsets};
use crate::control::membership::Cluster;
use crate::node::Node;

/// How often members, hosts and what this node can't reach are looked at.
const EVERY: Duration = Duration::from_secs(1);

/// Lays subsets over the list from now on.
pub fn begin(node: &Node, subsets: &Subsets) {
    let config = node.config();
    let me = Peer { name: config.name.as_str().into(), zone: config.settings.zone, traffic: 0.0 };
    let rule = Rule { size: subsets.size, users: subsets.users, zones: subsets.zones_first };
    let parts = Parts { subsets: Some(rule), hold: subsets.hold, cold: config.settings.warm_up };
    node.decisions.enable_host_assignment(&config, |sized| Choices::new(parts, me, sized));
}

/// Follows the members for as long as the node runs.
pub async fn run(node: Rc<Node>, cluster: Rc<Cluster>) {
    let mut before = None;
    loop {
        let config = node.config();
        node.decisions.update_host_assignment(others(&cluster, &config), |choices, now| {
            if let Some(level) = choices.tell(now, node.clients.descriptors_in_use()) {
                cluster.set_metadata(TRAFFIC, &level);
            }
        });
        let counts = node.decisions.assigned_host_counts();
        if counts != before {
            if let Some((used, added)) = counts.filter(|(used, _)| *used > 0) {
                info!("subset: {used} hosts in use, {added} of them for others that can't be reached");
            }
            before = counts;
        }
        tokio::time::sleep(EVERY).await;
    }
}

/// The other members that live, as the view has them.
fn others(cluster: &Cluster, config: &Config) -> Vec<Peer> {
    let zone =
        |name: &str| config.zones.iter().position(|zone| zone == name).and_then(|i| u16::try_from(i).ok());
    cluster.living(|record| Peer {
        name: record.name.clone(),
        zone: zone(&record.zone).unwrap_or(u16::MAX),
        traffic: traffic(record.metadata_value(TRAFFIC)),
    })
}
