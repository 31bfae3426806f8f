//! Effective weight: zone affinity.

use crate::support::{Node, connections_by_server, entry, pass_periods, settings};
use alderstile::types::{BalancerSettings, Costs, Endpoint, EndpointListKind};

#[test]
fn servers_in_the_own_zone_are_preferred_if_crossing_zones_has_a_cost() {
    let spread = |cross_zone: f64| {
        let costs = Costs { cross_zone, ..Costs::default() };
        // Servers 2 and 4 are in zone 0, like the node.
        let mut node = Node::new(BalancerSettings { costs, ..settings() }, 4);
        node.fill(1, 80);
        let counts = connections_by_server(&node, 1..81);
        assert_eq!(pass_periods(&mut node, 6), Vec::<u64>::new(), "this distribution is not an excess");
        (counts[&2] + counts[&4], counts[&1] + counts[&3])
    };
    assert_eq!(spread(0.0), (40, 40));
    assert_eq!(spread(0.03), (60, 20));
}

#[test]
fn zone_affinity_is_off_while_a_server_warms_up_or_groups_share_work() {
    // Guards against an overload after 54 of 90 hosts are replaced: migrated connections would all use
    // the few warm hosts of the node's zone.
    let costs = Costs { cross_zone: 0.03, ..Costs::default() };
    let near_and_far = |node: &Node| {
        let counts = connections_by_server(node, 1..81);
        let of = |ids: [u64; 2]| ids.iter().map(|id| counts.get(id).copied().unwrap_or(0)).sum::<usize>();
        (of([2, 4]), of([1, 3]))
    };
    let mut node = Node::new(BalancerSettings { costs, ..settings() }, 4);
    let started = Some(node.now);
    node.list(EndpointListKind::Delta, vec![Endpoint { started, ..entry(5) }]);
    node.fill(1, 80);
    let (near, far) = near_and_far(&node);
    assert!(near.abs_diff(far) <= 2, "{near} near, {far} far");
    let mut node = Node::new(BalancerSettings { costs, groups: true, ..settings() }, 4);
    node.fill(1, 80);
    assert_eq!(near_and_far(&node), (40, 40));
}
