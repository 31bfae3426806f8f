//! Keeps this node's part of the hosts in step with the members, and tells them what comes to this node.

use std::rc::Rc;
use std::time::Duration;

use alderstile_cluster::host_assignment::{
    HostAssignment, HostAssignmentConfig, TRAFFIC_METADATA_TAG, traffic_of_level,
};
use alderstile_cluster::subsetting::{SubsetCounts, SubsetNode, SubsettingParams};
use tracing::info;

use crate::config::{Config, Subsets};
use crate::control::membership::Cluster;
use crate::node::Node;

/// How often members, hosts and what this node can't reach are looked at.
const EVERY: Duration = Duration::from_secs(1);

/// Lays subsets over the list from now on.
pub fn begin(node: &Node, subsets: &Subsets) {
    let config = node.config();
    let me = SubsetNode { name: config.name.as_str().into(), zone: config.settings.zone, traffic: 0.0 };
    let params = SubsettingParams {
        hosts_per_node: subsets.size,
        nodes_per_host: subsets.users,
        prefer_own_zone: subsets.zones_first,
    };
    let assignment = HostAssignmentConfig {
        subsetting: Some(params),
        added_host_retention: subsets.hold,
        warm_up: config.settings.warm_up,
    };
    node.decisions.enable_host_assignment(&config, |weights_are_capacities| {
        HostAssignment::new(assignment, me, weights_are_capacities)
    });
}

/// Follows the members for as long as the node runs.
pub async fn run(node: Rc<Node>, cluster: Rc<Cluster>) {
    let mut before = None;
    loop {
        let config = node.config();
        node.decisions.update_host_assignment(others(&cluster, &config), |assignment, now| {
            if let Some(level) = assignment.traffic_report(now, node.clients.held()) {
                cluster.set_metadata(TRAFFIC_METADATA_TAG, &level);
            }
        });
        let counts = node.decisions.assigned_host_counts();
        if counts != before {
            if let Some(SubsetCounts { in_use, added }) = counts.filter(|counts| counts.in_use > 0) {
                info!("subset: {in_use} hosts in use, {added} of them for others that can't be reached");
            }
            before = counts;
        }
        tokio::time::sleep(EVERY).await;
    }
}

/// The other members that live, as the view has them.
fn others(cluster: &Cluster, config: &Config) -> Vec<SubsetNode> {
    let zone =
        |name: &str| config.zones.iter().position(|zone| zone == name).and_then(|i| u16::try_from(i).ok());
    cluster.living(|record| SubsetNode {
        name: record.name.clone(),
        zone: zone(&record.zone).unwrap_or(u16::MAX),
        traffic: traffic_of_level(record.metadata_value(TRAFFIC_METADATA_TAG)),
    })
}
