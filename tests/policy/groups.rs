//! Groups: where a group begins, what joins it and what leaves it.

use crate::support::{Node, entry, ms, pass_periods, report_delay, report_load, request, settings};
use alderstile::types::{BalancerSettings, EndpointListKind, Event, GroupId, Request};

#[test]
fn a_connection_joins_its_group_while_there_is_room() {
    // Found on days with groups: each server that holds any of a group does the group's work.
    let mut with_groups = settings();
    with_groups.groups = true;
    let mut node = Node::new(with_groups, 4);
    for id in 1..=40 {
        node.open(id, 1 + id % 4);
        report_load(&mut node, id, 100.0);
    }
    let grouped = |id| Request { group: Some(GroupId(1)), ..request(id) };
    node.send_request(grouped(41));
    let first = node.server_of(41);
    report_load(&mut node, 41, 100.0);
    node.send_request(grouped(42));
    assert_eq!(node.server_of(42), first, "though that server now holds more than the others");
    report_load(&mut node, 42, 2_000.0);
    node.send_request(grouped(43));
    assert_ne!(node.server_of(43), first, "but not where it would be far above the mean");
}

#[test]
fn shedding_does_not_tear_light_connections_out_of_their_group() {
    let mut with_groups = settings();
    with_groups.groups = true;
    let mut node = Node::new(with_groups, 2);
    for id in 1..=40 {
        let group = Some(GroupId(if id <= 30 { 1 } else { 2 }));
        node.send_request(Request { group, ..request(id) });
        node.establish(id);
        report_load(&mut node, id, 100.0);
    }
    assert!(pass_periods(&mut node, 6).is_empty(), "none weighs more than the group's work");
}

#[test]
fn where_many_nodes_hold_a_group_its_last_own_connection_stays() {
    // Found with 11 nodes: each moved its one connection of a group, freed nothing and began a copy elsewhere.
    let moved = |node_count: u32| {
        let mut node = Node::new(BalancerSettings { node_count, groups: true, ..settings() }, 2);
        for id in 1..=8 {
            let request = Request { group: Some(GroupId(id)), ..request(id) };
            node.send_request(request);
            node.establish(id);
            report_load(&mut node, id, if id % 2 == 0 { 130.0 } else { 60.0 });
        }
        let at = node.server_of(1).expect("it landed");
        report_delay(&mut node, at, 900.0);
        pass_periods(&mut node, 1).into_iter().filter(|id| id % 2 == 1).count()
    };
    assert!(moved(1) > 0, "alone, a node frees the group's work with it");
    assert_eq!(moved(28), 0);
}

#[test]
fn nodes_that_know_nothing_of_one_another_begin_a_group_on_the_same_server() {
    // Found with 25 nodes: each tore every group anew, and each copy cost its server a mean load.
    let first = |seed: u64, group: u64| {
        let mut policy =
            alderstile::policy::Policy::new(BalancerSettings { groups: true, ..settings() }, seed, ms(0));
        let mut actions = Vec::new();
        policy.handle(
            ms(1),
            Event::EndpointList(EndpointListKind::Full, (1..=50).map(entry).collect()),
            &mut actions,
        );
        let request = Request { group: Some(GroupId(group)), ..request(1) };
        policy.handle(ms(2), Event::Request(request), &mut actions);
        format!("{actions:?}")
    };
    let servers: std::collections::BTreeSet<String> = (1..=40).map(|group| first(1, group)).collect();
    assert!(servers.len() > 15, "groups spread over the servers: {}", servers.len());
    assert!((1..=40).all(|group| first(1, group) == first(2, group)), "alike at every node");
}

#[test]
fn a_group_keeps_to_its_reach_and_is_refused_at_once_beyond_it() {
    // Found with a node to a host: in a jam each node began each group wherever no message was late, and the copies
    // kept the jam alive. The root of 49 servers and two more is nine, alike at all nodes.
    let grouped = |id| Request { group: Some(GroupId(1)), ..request(id) };
    let many = BalancerSettings { groups: true, node_count: 50, ..settings() };
    let mut used = std::collections::BTreeSet::new();
    for seed in 1..=5 {
        let mut node = Node::with_seed(many.clone(), 49, seed);
        for id in 1..=9 {
            node.send_request(grouped(id));
            node.establish(id);
            let server = node.server_of(id).expect("it lands while one of its servers is not late");
            used.insert(server);
            report_delay(&mut node, server, 90.0);
        }
        node.send_request(grouped(10));
        assert!(node.rejected(10).flatten().is_some(), "it is answered at once and told when to come back");
        node.send_request(Request { group: Some(GroupId(2)), ..request(11) });
        assert!(node.server_of(11).is_some(), "another group has servers of its own");
    }
    assert_eq!(used.len(), 9, "they are the same at every node");
}

#[test]
fn where_few_servers_are_late_a_light_connection_leaves_its_group_behind() {
    // Found on small fleets with slow hosts: grouped connections stayed on a late server though all others had room.
    let moved = |others_late: u64| {
        let mut node = Node::new(BalancerSettings { node_count: 8, groups: true, ..settings() }, 20);
        for id in 1..=8 {
            let grouped = Request { group: Some(GroupId(1)), ..request(id) };
            node.open_as(grouped, 1);
            report_load(&mut node, id, 100.0);
        }
        (1..=1 + others_late).for_each(|server| report_delay(&mut node, server, 900.0));
        pass_periods(&mut node, 1).len()
    };
    assert!(moved(0) > 0);
    assert_eq!(moved(9), 0, "none weighs more than the group's work where much is late");
}
