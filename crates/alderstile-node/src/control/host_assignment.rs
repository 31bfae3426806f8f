//! Updates this node's host subset as the membership changes, and gossips this node's traffic level to the
//! other members.

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

/// Interval at which the assignment is recomputed from the members, the hosts and the unreachable hosts.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits this node to its subset of the hosts.
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

/// Updates the host assignment for as long as the node runs.
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

/// Returns the other live members in the form that subsetting uses.
fn live_peers(membership: &ClusterMembership, config: &Config) -> Vec<SubsetNode> {
    membership.map_live_peers(|record| SubsetNode {
        name: record.name.clone(),
        // A zone that the settings do not name is mapped to a number that no configured zone has.
        zone: zone_number(&config.zones, &record.zone).unwrap_or(u16::MAX),
        traffic: traffic_from_metadata(record.metadata_value(TRAFFIC_METADATA_TAG)),
    })
}

fn zone_number(zones: &[String], name: &str) -> Option<u16> {
    zones.iter().position(|zone| zone == name).and_then(|number| u16::try_from(number).ok())
}
