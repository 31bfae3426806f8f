//! Groups: where a group starts, and which connections join and leave it.

use crate::support::{Node, entry, ms, pass_periods, report_delay, report_load, request, settings};
use alderstile::types::{BalancerSettings, EndpointListKind, Event, GroupId, Request};

#[test]
fn connection_joins_its_group_while_the_server_has_capacity() {
    // Guards against spreading a group: each server with one of its connections repeats the group's
    // work.
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
    assert_eq!(node.server_of(42), first, "although that server now has a higher load than the others");
    report_load(&mut node, 42, 2_000.0);
    node.send_request(grouped(43));
    assert_ne!(node.server_of(43), first, "not where the load would be far above the mean");
}

#[test]
fn shedding_does_not_separate_light_connections_from_their_group() {
    let mut with_groups = settings();
    with_groups.groups = true;
    let mut node = Node::new(with_groups, 2);
    for id in 1..=40 {
        let group = Some(GroupId(if id <= 30 { 1 } else { 2 }));
        node.send_request(Request { group, ..request(id) });
        node.establish(id);
        report_load(&mut node, id, 100.0);
    }
    assert!(pass_periods(&mut node, 6).is_empty(), "no connection has a higher load than the group's work");
}

#[test]
fn last_connection_of_a_group_stays_if_many_nodes_hold_the_group() {
    // Guards against migrations without effect: with 11 nodes, each migrated its one connection of
    // a group, which freed no load and started a copy of the group elsewhere.
    let migrated = |node_count: u32| {
        let mut node = Node::new(BalancerSettings { node_count, groups: true, ..settings() }, 2);
        for id in 1..=8 {
            let request = Request { group: Some(GroupId(id)), ..request(id) };
            node.send_request(request);
            node.establish(id);
            report_load(&mut node, id, if id % 2 == 0 { 130.0 } else { 60.0 });
        }
        let server = node.server_of(1).expect("it is placed");
        report_delay(&mut node, server, 900.0);
        pass_periods(&mut node, 1).into_iter().filter(|id| id % 2 == 1).count()
    };
    assert!(migrated(1) > 0, "a single node also frees the group's work");
    assert_eq!(migrated(28), 0);
}

#[test]
fn nodes_start_a_group_on_the_same_server_without_communication() {
    // Guards against spreading groups: with 25 nodes, each started every group on another server,
    // and each copy of a group added about the mean load of a server.
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
    assert!((1..=40).all(|group| first(1, group) == first(2, group)), "the same server at every node");
}

#[test]
fn group_stays_on_its_servers_and_is_rejected_at_once_beyond_them() {
    // Guards against an overload that sustains itself: each node started each group wherever the
    // message delay was low, and the copies kept the delay high. A group starts on at most nine of
    // 49 servers (their square root plus two), the same ones at all nodes.
    let grouped = |id| Request { group: Some(GroupId(1)), ..request(id) };
    let many = BalancerSettings { groups: true, node_count: 50, ..settings() };
    let mut used = std::collections::BTreeSet::new();
    for seed in 1..=5 {
        let mut node = Node::with_seed(many.clone(), 49, seed);
        for id in 1..=9 {
            node.send_request(grouped(id));
            node.establish(id);
            let server = node.server_of(id).expect("it is placed while one of its servers has no high delay");
            used.insert(server);
            report_delay(&mut node, server, 90.0);
        }
        node.send_request(grouped(10));
        assert!(node.rejected(10).flatten().is_some(), "it is answered at once with a Retry-After time");
        node.send_request(Request { group: Some(GroupId(2)), ..request(11) });
        assert!(node.server_of(11).is_some(), "another group has other servers");
    }
    assert_eq!(used.len(), 9, "the same servers at every node");
}

#[test]
fn light_connection_leaves_its_group_if_few_servers_have_a_high_delay() {
    // Guards against grouped connections that stay on a server with a high delay although all
    // others have free capacity.
    let migrated = |other_slow_servers: u64| {
        let mut node = Node::new(BalancerSettings { node_count: 8, groups: true, ..settings() }, 20);
        for id in 1..=8 {
            let grouped = Request { group: Some(GroupId(1)), ..request(id) };
            node.open_as(grouped, 1);
            report_load(&mut node, id, 100.0);
        }
        (1..=1 + other_slow_servers).for_each(|server| report_delay(&mut node, server, 900.0));
        pass_periods(&mut node, 1).len()
    };
    assert!(migrated(0) > 0);
    assert_eq!(
        migrated(9),
        0,
        "no connection has a higher load than the group's work if many servers have a high delay"
    );
}
