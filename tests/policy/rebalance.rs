//! Rebalancing: which connections migrate from overloaded, late and draining servers.

use crate::support::{Node, connections_by_server, entry, pass_periods, report_delay, report_load, settings};
use alderstile::types::{BalancerSettings, Endpoint, EndpointListKind, EndpointState};

#[test]
fn a_server_above_the_overload_threshold_for_several_periods_sheds_its_excess() {
    let mut node = Node::new(settings(), 2);
    for id in 1..=40 {
        node.open(id, 1 + id % 2);
        report_load(&mut node, id, if id % 2 == 0 { 130.0 } else { 100.0 });
    }
    assert!(pass_periods(&mut node, 2).is_empty(), "not before the third period above the bar");
    let moved = pass_periods(&mut node, 2);
    // Server 1 holds 2600, the other 2000: an excess of 300 is shed by two of 130 each (a tenth of 20).
    assert_eq!(moved.len(), 2);
    assert!(moved.iter().all(|id| id % 2 == 0));
}

#[test]
fn an_excess_below_the_lightest_connection_moves_nothing() {
    let mut node = Node::new(settings(), 2);
    for id in 1..=21 {
        node.open(id, if id <= 11 { 1 } else { 2 });
        report_load(&mut node, id, 100.0);
    }
    assert!(pass_periods(&mut node, 6).is_empty());
}

#[test]
fn a_node_that_holds_few_connections_moves_none_by_its_record() {
    // Found on quiet days with two or three own connections a server: moves cost and told nothing.
    let mut node = Node::new(settings(), 2);
    for (id, server, load) in [(1, 1, 500.0), (2, 1, 300.0), (3, 2, 100.0), (4, 2, 50.0)] {
        node.open(id, server);
        report_load(&mut node, id, load);
    }
    assert!(pass_periods(&mut node, 6).is_empty());
}

#[test]
fn late_messages_start_the_reactive_shed_without_waiting() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=30 {
        node.open(id, 1 + id % 3);
        report_load(&mut node, id, 100.0);
    }
    report_delay(&mut node, 1, 500.0);
    let moved = pass_periods(&mut node, 1);
    assert!(!moved.is_empty());
    assert!(moved.iter().all(|id| id % 3 == 0), "only from the late server");
    assert!(moved.len() <= 5, "half of its ten connections at most");
}

#[test]
fn where_all_servers_are_late_few_connections_migrate() {
    // Found in the lab, with 300 nodes of which 70% restarted: all servers were late from the set-ups of those who came
    // back, and what was moved off them came back as set-ups and kept them late for good.
    let moved = |late_servers: u64| {
        let mut node = Node::new(settings(), 3);
        for id in 1..=30 {
            node.open(id, 1 + id % 3);
            report_load(&mut node, id, 100.0);
        }
        (1..=late_servers).for_each(|server| report_delay(&mut node, server, 500.0));
        pass_periods(&mut node, 1).len()
    };
    assert!((6..=10).contains(&moved(2)), "half of what two late ones hold: {}", moved(2));
    assert!((1..=3).contains(&moved(3)), "a tenth of what all hold: {}", moved(3));
}

#[test]
fn a_late_server_may_lose_its_last_connection() {
    // Found on a day with slow servers: single connections stayed on them for ten seconds.
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    report_load(&mut node, 1, 100.0);
    report_delay(&mut node, 1, 2_000.0);
    assert_eq!(pass_periods(&mut node, 1), [1]);
}

#[test]
fn the_only_connections_of_many_nodes_at_a_late_server_migrate_by_chance() {
    // Found with 100 nodes: each held one connection there, an excess of a part of it moved none, and the server
    // stayed late to the end of the day.
    let moved = |seed: u64| {
        let mut node = Node::with_seed(BalancerSettings { node_count: 100, ..settings() }, 4, seed);
        node.open(1, 1);
        node.open(2, 2);
        (1..=2).for_each(|id| report_load(&mut node, id, 100.0));
        report_delay(&mut node, 1, 100.0);
        let moved = pass_periods(&mut node, 1);
        assert!(!moved.contains(&2), "none of a server that is not late");
        moved.len()
    };
    let all: usize = (0..200).map(moved).sum();
    assert!((40..=120).contains(&all), "{all} of 200: 70% of what it managed, less what is piled up, stays");
}

#[test]
fn clients_of_a_draining_server_are_migrated_before_it_stops() {
    // Asked for by the operators: connections last long, and those that are left break when their server stops.
    let mut node = Node::new(BalancerSettings { migrate_from_draining: true, ..settings() }, 2);
    (1..=8).for_each(|id| node.open(id, 1));
    // An idle connection would break as well.
    (1..=4).for_each(|id| report_load(&mut node, id, 0.0));
    node.list(EndpointListKind::Delta, vec![Endpoint { state: EndpointState::Draining, ..entry(1) }]);
    assert_eq!(pass_periods(&mut node, 1).len(), 4, "half of them at once, not all");
    assert_eq!(pass_periods(&mut node, 3).len(), 4, "and all soon");
    assert_eq!(connections_by_server(&node, 1..9).get(&1), None);
}

#[test]
fn a_server_that_is_a_little_late_sheds_a_little() {
    // Found on an incident with 37 nodes and 256 hosts (i6c81b1): at 20 ms of an aim of 50 a third of all connections
    // left a host within a second, 100 to 230 moves a second over the fleet on a calm day.
    let shed = |ms: f64| {
        let mut node = Node::new(settings(), 2);
        for id in 1..=40 {
            node.open(id, 1 + id % 2);
            report_load(&mut node, id, 100.0);
        }
        report_delay(&mut node, 1, ms);
        pass_periods(&mut node, 1).len()
    };
    assert_eq!(shed(35.0), 3, "a tenth of twenty, and what has piled up");
    assert_eq!(shed(100.0), 7, "at the whole aim three tenths");
}

#[test]
fn the_last_connection_at_a_steadily_late_server_migrates_however_many_are_held() {
    // Found on days on which some nodes reach some servers late: a delay that stands asks for a part of what is held, and
    // the last connection at each of half of the servers stayed for all of 24 s and earned nothing.
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    (2..=12).for_each(|id| node.open(id, 2));
    (1..=12).for_each(|id| report_load(&mut node, id, 100.0));
    let mut moved = Vec::new();
    for _ in 0..20 {
        report_delay(&mut node, 1, 60.0);
        moved.extend(pass_periods(&mut node, 1));
    }
    assert!(!moved.contains(&1), "a little late: what stays earns nearly all");
    for _ in 0..20 {
        report_delay(&mut node, 1, 150.0);
        moved.extend(pass_periods(&mut node, 1));
    }
    assert!(moved.contains(&1), "more than a whole aim: what stays earns nothing");
}
