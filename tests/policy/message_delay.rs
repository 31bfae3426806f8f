//! Message delay: servers with a high delay and stalled servers, as seen by reports, setups and
//! gossip.

use crate::support::{
    Node, connections_by_server, ms, pass_periods, report_delay, report_load, request, settings,
};
use alderstile::types::{Action, BalancerSettings, Event, Outcome};

#[test]
fn server_with_a_high_delay_receives_no_new_connections() {
    // Guards against an overloaded server that receives all new connections because its recorded
    // load is lowest.
    let mut node = Node::new(settings(), 2);
    node.open(1, 2);
    report_delay(&mut node, 1, 80.0);
    node.send_request(request(2));
    assert_eq!(node.server_of(2), Some(2));
    report_delay(&mut node, 2, 80.0);
    node.send_request(request(3));
    assert!(node.rejected(3).is_some(), "if all servers have a high delay, the fleet is full");
    node.pass(ms(12_100));
    node.send_request(request(4));
    assert!(node.server_of(4).is_some(), "an old report is no longer valid");
}

#[test]
fn server_with_a_high_delay_and_no_connections_is_not_used_at_once() {
    // Guards against sending one client of each node to an overloaded server to find out that it is
    // still overloaded.
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    node.open(2, 2);
    report_delay(&mut node, 1, 80.0);
    node.end(1, Outcome::Ok);
    node.pass(ms(2_000));
    node.send_request(request(3));
    assert_eq!(node.server_of(3), Some(2), "no report can show that the delay has ended");
    node.pass(ms(27_000));
    node.send_request(request(4));
    assert_eq!(node.server_of(4), Some(2), "the delay is still valid after half a minute");
    node.end(4, Outcome::Ok);
    node.pass(ms(1_100));
    node.send_request(request(4_000));
    assert_eq!(node.server_of(4_000), Some(1));
}

/// Servers report no message delays, and nodes may use gossip.
fn without_delay_reports() -> BalancerSettings {
    BalancerSettings { servers_report_delay: false, gossip_allowed: true, ..settings() }
}

/// Returns a node whose setups typically take 10 ms after one of 200 ms at server 1, and the
/// messages that it broadcast.
fn after_slow_setup(settings: BalancerSettings) -> (Node, Vec<Vec<u8>>) {
    let mut node = Node::new(settings, 2);
    for id in 1..=6 {
        node.send_request(request(id));
        node.establish(id);
    }
    for id in 10..=14 {
        node.open(id, 2);
    }
    node.send_request(request(20));
    assert_eq!(node.server_of(20), Some(1));
    node.establish_after(20, ms(200));
    let messages = node.last.iter().filter_map(|action| match action {
        Action::Broadcast(data) => Some(data.clone()),
        _ => None,
    });
    let messages = messages.collect();
    (node, messages)
}

#[test]
fn slow_setup_shows_a_high_delay_if_servers_report_none() {
    // Guards against a server that is nine times slower than the others and receives new clients
    // and keeps its own.
    let (mut node, messages) = after_slow_setup(without_delay_reports());
    assert_eq!(messages.len(), 1);
    node.send_request(request(21));
    assert_eq!(node.server_of(21), Some(2), "no new connections are placed there");
    assert!(!pass_periods(&mut node, 1).is_empty(), "its connections are migrated");
    let (mut node, messages) = after_slow_setup(settings());
    assert!(messages.is_empty(), "if servers report delays, a setup shows none");
    node.send_request(request(21));
    assert_eq!(node.server_of(21), Some(1));
}

#[test]
fn slow_setup_below_the_objective_is_unconfirmed_until_the_next_is_slow() {
    // Guards against single setups that are slow because of their own work, a few in a hundred.
    // Each would exclude its server from new connections and migrate a third of its connections.
    let after_second_setup = |second: u64| {
        let mut node = Node::new(without_delay_reports(), 2);
        (1..=6).for_each(|id| {
            node.send_request(request(id));
            node.establish(id);
        });
        (10..=14).for_each(|id| node.open(id, 2));
        node.send_request(request(20));
        assert_eq!(node.server_of(20), Some(1));
        node.establish_after(20, ms(60));
        assert!(node.last.iter().all(|action| !matches!(action, Action::Broadcast(_))));
        (30..=34).for_each(|id| node.open(id, 1));
        node.send_request(request(21));
        assert_eq!(
            node.server_of(21),
            Some(1),
            "due for a setup at once, although the other server has a slightly lower load"
        );
        node.establish_after(21, ms(second));
        let broadcast = node.last.iter().any(|action| matches!(action, Action::Broadcast(_)));
        node.send_request(request(22));
        (broadcast, node.server_of(22))
    };
    assert_eq!(after_second_setup(60), (true, Some(2)), "two slow setups in a row are valid and broadcast");
    assert!(!after_second_setup(10).0, "the second setup was fast");
}

#[test]
fn setup_as_slow_as_all_others_shows_no_high_delay() {
    // Guards against rejecting all requests of a fleet that is slow as a whole, which would be
    // worse than the delay.
    let mut node = Node::new(without_delay_reports(), 2);
    for id in 1..=40 {
        node.send_request(request(id));
        node.establish_after(id, ms(200));
    }
    node.send_request(request(50));
    assert!(node.server_of(50).is_some());
}

#[test]
fn gossip_of_another_node_is_used_and_invalid_messages_are_ignored() {
    let (_, messages) = after_slow_setup(without_delay_reports());
    let mut node = Node::new(without_delay_reports(), 2);
    (1..=4).for_each(|id| node.open(id, 2));
    let mut unknown_server = messages[0].clone();
    unknown_server[0] ^= 0xff;
    let mut not_a_number = messages[0].clone();
    not_a_number[8..].copy_from_slice(&f64::NAN.to_le_bytes());
    for data in [
        Vec::new(),
        messages[0][..15].to_vec(),
        [messages[0].clone(), vec![0]].concat(),
        unknown_server,
        not_a_number,
    ] {
        node.event(Event::PeerMessage(1, data));
    }
    node.send_request(request(10));
    assert_eq!(node.server_of(10), Some(1));
    node.event(Event::PeerMessage(1, messages[0].clone()));
    node.send_request(request(11));
    assert_eq!(node.server_of(11), Some(2));
}

#[test]
fn each_server_regularly_receives_a_setup_if_servers_report_no_delay() {
    // Guards against an undetected slow server: with few new clients, none was placed there.
    let server_of_second_request = |settings: BalancerSettings| {
        let mut node = Node::new(settings, 2);
        (1..=10).for_each(|id| node.open(id, 2));
        (11..=20).for_each(|id| node.open(id, 1));
        (1..=10).for_each(|id| report_load(&mut node, id, 100.0));
        (11..=20).for_each(|id| report_load(&mut node, id, 104.0));
        node.pass(ms(4_100));
        node.send_request(request(40));
        assert_eq!(node.server_of(40), Some(2));
        node.establish(40);
        report_load(&mut node, 40, 1.0);
        node.send_request(request(41));
        node.server_of(41)
    };
    assert_eq!(
        server_of_second_request(without_delay_reports()),
        Some(1),
        "it is due for a setup, although its load is slightly higher"
    );
    assert_eq!(
        server_of_second_request(settings()),
        Some(2),
        "the load record alone decides if servers report delays"
    );
}

#[test]
fn servers_never_used_are_not_all_due_at_once_with_many_nodes() {
    // Guards against preferring servers that a node has never used: with 100 nodes, these were
    // nearly all warm servers, and replaced servers received no connections.
    let due = |seed: u64| {
        let mut node =
            Node::with_seed(BalancerSettings { node_count: 100, ..without_delay_reports() }, 2, seed);
        (1..=10).for_each(|id| node.open(id, 1 + id % 2));
        (1..=10).for_each(|id| report_load(&mut node, id, if id % 2 == 0 { 100.0 } else { 104.0 }));
        node.send_request(request(20));
        assert_eq!(node.server_of(20), Some(1), "the server with the lower load");
        node.establish(20);
        report_load(&mut node, 20, 1.0);
        node.send_request(request(21));
        node.server_of(21) == Some(2)
    };
    assert_eq!((0..40).filter(|&seed| due(seed)).count(), 0, "the other server is not due yet");
}

#[test]
fn stalled_server_is_not_limited_after_it_resumes() {
    // Guards against treating a stall as an overload: servers that stalled for 2 s were considered
    // slow and full for the rest of the day, and a third of the requests was rejected meanwhile.
    let after = |delays: &[f64]| {
        let mut node = Node::new(settings(), 2);
        for id in 1..=40 {
            node.open(id, 1 + id % 2);
            report_load(&mut node, id, 100.0);
        }
        for &ms in delays {
            report_delay(&mut node, 1, ms);
            pass_periods(&mut node, 1);
        }
        report_delay(&mut node, 2, 500.0);
        node.fill(100, 40);
        connections_by_server(&node, 100..140).get(&1).copied().unwrap_or(0)
    };
    assert!(
        after(&[400.0, 800.0, 700.0, 400.0, 20.0]) < 25,
        "a queue that is worked off indicates an overload"
    );
    assert_eq!(
        after(&[6_300.0, 7_300.0, 1_500.0, 400.0, 20.0]),
        40,
        "a stall indicates nothing about the capacity"
    );
}
