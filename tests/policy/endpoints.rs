//! Endpoint list: which servers receive new connections, polling, and wrong lists.

use crate::support::{Node, connections_by_server, entry, ms, pass_periods, request, settings};
use alderstile::types::{
    Action, BalancerSettings, Endpoint, EndpointListKind, EndpointState, Event, Micros, Outcome, ServerId,
    WeightMeaning,
};

#[test]
fn invalid_weights_and_duplicate_entries_of_a_list_have_no_effect() {
    let mut node =
        Node::new(BalancerSettings { weight_meaning: WeightMeaning::NominalCapacity, ..settings() }, 0);
    let mut endpoints: Vec<Endpoint> = (1..=4).chain(1..=4).map(entry).collect();
    for (endpoint, weight) in endpoints.iter_mut().zip([f64::NAN, f64::INFINITY, -1.0, 0.0].repeat(2)) {
        endpoint.weight = weight;
    }
    node.list(EndpointListKind::Full, endpoints);
    node.fill(1, 8);
    assert!(connections_by_server(&node, 1..9).values().all(|&n| n == 2), "all have a weight of one");
    node.list(EndpointListKind::Full, (1..=20_000).map(entry).collect());
    node.list(EndpointListKind::Full, vec![entry(2)]);
    node.send_request(request(9));
    assert_eq!(node.server_of(9), Some(2));
}

#[test]
fn draining_or_missing_server_receives_no_new_connections() {
    let mut node = Node::new(settings(), 3);
    node.list(EndpointListKind::Delta, vec![Endpoint { state: EndpointState::Draining, ..entry(1) }]);
    node.list(
        EndpointListKind::Full,
        vec![Endpoint { state: EndpointState::Draining, ..entry(1) }, entry(2)],
    );
    node.fill(1, 12);
    assert_eq!(connections_by_server(&node, 1..13).keys().copied().collect::<Vec<_>>(), [2]);
}

#[test]
fn empty_list_rejects_requests_and_list_of_one_server_serves_them() {
    let mut node = Node::new(settings(), 3);
    node.list(EndpointListKind::Full, Vec::new());
    node.send_request(request(1));
    assert!(node.rejected(1).is_some());
    node.list(EndpointListKind::Full, vec![entry(2)]);
    node.send_request(request(2));
    assert_eq!(node.server_of(2), Some(2));
}

#[test]
fn nodes_that_start_together_spread_their_first_polls() {
    // Guards against an overload of the discovery service: with 23 nodes, half of the first calls
    // were rejected within half a second.
    let subscribing = BalancerSettings { node_count: 24, must_subscribe: true, ..settings() };
    let first_poll =
        |seed| Node::with_seed(subscribing.clone(), 1, seed).timers.iter().map(|(at, _)| *at).max();
    let start = ms(1_000_000);
    let delays: Vec<Micros> = (0..24).filter_map(first_poll).map(|at| at - start).collect();
    assert!(delays.iter().all(|&at| at <= ms(5_000)), "well within the maximum poll interval of ten seconds");
    let early = delays.iter().filter(|&&at| at < ms(1_100)).count();
    assert!(early < 12, "{early} of 24 in the first second");
}

#[test]
fn failed_subscription_is_polled_again_with_backoff() {
    let mut subscribing = settings();
    subscribing.must_subscribe = true;
    let mut node = Node::new(subscribing, 2);
    let mut waits = Vec::new();
    for _ in 0..6 {
        node.timers.clear();
        node.list(EndpointListKind::Failed, Vec::new());
        let (at, _) = node.timers[0];
        waits.push(at - node.now);
        node.list(EndpointListKind::Failed, Vec::new());
        assert_eq!(node.timers.len(), 1, "one call at a time");
        node.pass(at - node.now);
        assert!(node.last.contains(&Action::WatchEndpoints));
    }
    assert!(waits[5] > waits[0]);
    assert!(waits.iter().all(|&wait| wait <= ms(5_000)), "well within the maximum poll interval");
    node.send_request(request(1));
    assert!(node.server_of(1).is_some(), "the previous list stays in effect");
}

#[test]
fn removed_server_is_used_while_there_is_evidence_that_it_runs() {
    let advisory = BalancerSettings { removal_is_advisory: true, probes_allowed: true, ..settings() };
    let removed = |id| Endpoint { state: EndpointState::Removed, ..entry(id) };
    let draining = |id| Endpoint { state: EndpointState::Draining, ..entry(id) };
    let mut node = Node::new(advisory.clone(), 3);
    node.open(1, 1);
    (1..=3).for_each(|id| node.list(EndpointListKind::Delta, vec![removed(id)]));
    node.send_request(request(10));
    assert_eq!(
        node.server_of(10),
        Some(1),
        "a connection is open there, so it is running; the state of the others is unknown"
    );
    node.end(1, Outcome::Reset);
    node.end(10, Outcome::Error);
    node.pass(ms(2_000));
    node.send_request(request(11));
    assert!(node.rejected(11).is_some(), "there is no evidence that any server is running");
    // One probe per admitted request, and each of the three servers in turn.
    (20..22).for_each(|id| node.send_request(request(id)));
    let mut probed = Vec::new();
    for _ in 0..32 {
        node.last.clear();
        node.pass(ms(100));
        probed
            .extend(node.last.iter().filter_map(|a| if let Action::Probe(s) = a { Some(s.0) } else { None }));
    }
    probed.sort_unstable();
    assert_eq!(probed, [1, 2, 3], "each is probed once");
    node.event(Event::ProbeCompleted { server: ServerId(2), outcome: Outcome::Ok, report: Vec::new() });
    node.send_request(request(12));
    node.send_request(request(13));
    assert_eq!(node.server_of(12), Some(2), "the server that answered receives an attempt");
    assert!(
        node.rejected(13).is_some(),
        "only one attempt at first, because all nodes may have the same evidence"
    );
    // A removal after draining is final. Without advisory removals, every removal is final.
    let mut node = Node::new(advisory.clone(), 1);
    node.open(1, 1);
    node.list(EndpointListKind::Delta, vec![draining(1)]);
    node.list(EndpointListKind::Delta, vec![removed(1)]);
    node.send_request(request(2));
    assert!(node.rejected(2).is_some());
    node.list(EndpointListKind::Full, Vec::new());
    node.send_request(request(3));
    assert!(node.rejected(3).is_some());
    node.list(EndpointListKind::Delta, vec![entry(1)]);
    node.send_request(request(4));
    assert_eq!(node.server_of(4), Some(1), "ready again");
    let mut node = Node::new(BalancerSettings { removal_is_advisory: false, ..advisory }, 1);
    node.open(1, 1);
    node.list(EndpointListKind::Delta, vec![removed(1)]);
    node.send_request(request(2));
    assert!(node.rejected(2).is_some());
}

#[test]
fn list_that_removed_a_running_server_is_wrong_about_all_servers_it_removed() {
    // Guards against probes of every server that a wrong list removed. Each of 150 nodes probed
    // each of 35 running servers once per second, which cost 0.09 to 0.22 of the service's value,
    // although connections were open at some of them.
    let advisory =
        BalancerSettings { removal_is_advisory: true, probes_allowed: true, node_count: 100, ..settings() };
    let removed = |id| Endpoint { state: EndpointState::Removed, ..entry(id) };
    let mut node = Node::new(advisory, 20);
    node.open(1, 1);
    node.list(EndpointListKind::Delta, vec![removed(20)]);
    node.list(EndpointListKind::Delta, (1..=15).map(removed).collect());
    let probes = |node: &mut Node, n: u64| -> usize {
        let probe = |a: &&Action| matches!(a, Action::Probe(_));
        (0..n * 10)
            .map(|_| {
                node.last.clear();
                node.pass(ms(100));
                node.last.iter().filter(probe).count()
            })
            .sum()
    };
    assert!(probes(&mut node, 20) <= 3, "only the server that another list removed, with saved probes");
    node.fill(2, 18);
    let used = connections_by_server(&node, 1..20);
    assert_eq!(used.len(), 19, "one is running, so all servers removed with it are used as before");
    assert!(!used.contains_key(&20), "and no other");
    // No connection of this node remains there: one probe per admitted request, and one answer
    // counts for all servers.
    (1..=19).for_each(|id| node.end(id, Outcome::Ok));
    assert!(probes(&mut node, 10) <= 3);
    node.event(Event::ProbeCompleted { server: ServerId(4), outcome: Outcome::Ok, report: Vec::new() });
    assert_eq!(probes(&mut node, 5), 0);
    for id in 30..50 {
        node.send_request(request(id));
    }
    assert!(connections_by_server(&node, 30..50).len() > 5, "more than the servers that are still listed");
}

#[test]
fn cordoned_server_keeps_its_connections_and_receives_no_new_ones() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=12 {
        node.open(id, 1 + id % 3);
    }
    node.list(EndpointListKind::Delta, vec![Endpoint { state: EndpointState::Cordoned, ..entry(1) }]);
    for id in 13..=40 {
        node.send_request(request(id));
        assert_ne!(node.server_of(id), Some(1), "no new connections");
        node.establish(id);
    }
    // Neither a load far below the mean of the other servers nor one far above it migrates
    // connections of the cordoned server.
    let migrated = pass_periods(&mut node, 8);
    assert!(migrated.iter().all(|id| *id > 12 || id % 3 != 0), "{migrated:?}");
    assert_eq!(connections_by_server(&node, 1..13)[&1], 4);
}
