//! Keeps this node's subset of the hosts up to date with the members, and tells them this node's traffic.

use std::rc::Rc;
use std::time::Duration;

use alderstile_cluster::host_assignment::{
    HostAssignment, HostAssignmentConfig, TRAFFIC_METADATA_TAG, traffic_from_metadata,
};
use alderstile_cluster::subsetting::{SubsetCounts, SubsetNode, SubsettingParams};
use tracing::info;

use crate::config::{Config, SubsettingConfig};
use crate::control::membership::ClusterMembership;
use crate::node::Node;

/// How often the assignment is computed anew from the members, the hosts and what this node can't reach.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits this node to its subset of the hosts from now on.
pub fn enable(node: &Node, subsetting: &SubsettingConfig) {
    let config = node.config();
    let me = SubsetNode { name: config.name.as_str().into(), zone: config.settings.zone, traffic: 0.0 };
    let params = SubsettingParams {
        hosts_per_node: subsetting.hosts_per_node,
        nodes_per_host: subsetting.nodes_per_host,
        prefer_own_zone: subsetting.prefer_own_zone,
    };
    let assignment = HostAssignmentConfig {
        subsetting: Some(params),
        added_host_retention: subsetting.added_host_retention,
        warm_up: config.settings.warm_up,
    };
    node.decisions.enable_host_assignment(&config, |weights_are_capacities| {
        HostAssignment::new(assignment, me, weights_are_capacities)
    });
}

/// Follows the members for as long as the node runs.
pub async fn run(node: Rc<Node>, membership: Rc<ClusterMembership>) {
    let mut logged_counts = None;
    loop {
        let peers = live_peers(&membership, &node.config());
        node.decisions.update_host_assignment(peers, |assignment, now| {
            if let Some(level) = assignment.traffic_report(now, node.clients.descriptors_in_use()) {
                membership.set_metadata(TRAFFIC_METADATA_TAG, &level);
            }
        });
        let counts = node.decisions.assigned_host_counts();
        if counts != logged_counts {
            if let Some(SubsetCounts { in_use, added }) = counts.filter(|counts| counts.in_use > 0) {
                info!(in_use, added, "host subset changed");
            }
            logged_counts = counts;
        }
        tokio::time::sleep(UPDATE_INTERVAL).await;
    }
}

/// The other live members, in the form that subsetting takes.
fn live_peers(membership: &ClusterMembership, config: &Config) -> Vec<SubsetNode> {
    membership.map_live_peers(|record| SubsetNode {
        name: record.name.clone(),
        // A zone that the settings do not name is none of theirs.
        zone: zone_number(&config.zones, &record.zone).unwrap_or(u16::MAX),
        traffic: traffic_from_metadata(record.metadata_value(TRAFFIC_METADATA_TAG)),
    })
}

fn zone_number(zones: &[String], name: &str) -> Option<u16> {
    zones.iter().position(|zone| zone == name).and_then(|number| u16::try_from(number).ok())
}
