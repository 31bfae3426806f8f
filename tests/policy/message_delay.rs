//! Message delay: late and stalled servers, by reports, by set-ups and by gossip.

use crate::support::{
    Node, connections_by_server, ms, pass_periods, report_delay, report_load, request, settings,
};
use alderstile::types::{Action, BalancerSettings, Event, Outcome};

#[test]
fn nothing_lands_where_messages_are_late() {
    // Found on a day of jams: the late server had the lowest record and drew all new work.
    let mut node = Node::new(settings(), 2);
    node.open(1, 2);
    report_delay(&mut node, 1, 80.0);
    node.send_request(request(2));
    assert_eq!(node.server_of(2), Some(2));
    report_delay(&mut node, 2, 80.0);
    node.send_request(request(3));
    assert!(node.rejected(3).is_some(), "where all are late the fleet is full");
    node.pass(ms(12_100));
    node.send_request(request(4));
    assert!(node.server_of(4).is_some(), "an old note no longer counts");
}

#[test]
fn a_late_server_that_holds_nothing_is_not_tried_at_once() {
    // Found on an incident: eleven nodes each spent a client on finding a jam again.
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    node.open(2, 2);
    report_delay(&mut node, 1, 80.0);
    node.end(1, Outcome::Ok);
    node.pass(ms(2_000));
    node.send_request(request(3));
    assert_eq!(node.server_of(3), Some(2), "no note can tell that it is over");
    node.pass(ms(27_000));
    node.send_request(request(4));
    assert_eq!(node.server_of(4), Some(2), "nor is the end of half a minute of trouble near");
    node.end(4, Outcome::Ok);
    node.pass(ms(1_100));
    node.send_request(request(4_000));
    assert_eq!(node.server_of(4_000), Some(1));
}

/// Sockets tell no delay of messages; nodes may talk.
fn without_delay_reports() -> BalancerSettings {
    BalancerSettings { servers_report_delay: false, gossip_allowed: true, ..settings() }
}

/// Two nodes whose set-ups usually take 10 ms; the first has just seen one of 200 ms at server 1.
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
    let told = node.last.iter().filter_map(|action| match action {
        Action::Broadcast(data) => Some(data.clone()),
        _ => None,
    });
    let told = told.collect();
    (node, told)
}

#[test]
fn where_no_delay_is_reported_a_slow_set_up_shows_it() {
    // Found on the first slow days on sockets: a host nine times slower drew new clients and kept those it had.
    let (mut node, told) = after_slow_setup(without_delay_reports());
    assert_eq!(told.len(), 1);
    node.send_request(request(21));
    assert_eq!(node.server_of(21), Some(2), "nothing new lands there");
    assert!(!pass_periods(&mut node, 1).is_empty(), "and those it holds are moved");
    let (mut node, told) = after_slow_setup(settings());
    assert!(told.is_empty(), "where delays are told a set-up tells nothing");
    node.send_request(request(21));
    assert_eq!(node.server_of(21), Some(1));
}

#[test]
fn one_long_set_up_below_an_objective_is_unconfirmed_until_the_next_there_is_long_too() {
    // Found on days of restarts on sockets: of a hundred set-ups a few are long by their own work, and each took its
    // server out of the landing and moved a third of what it held.
    let doubted = |second: u64| {
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
        assert_eq!(node.server_of(21), Some(1), "its turn at once, though the other is a little lower");
        node.establish_after(21, ms(second));
        let told = node.last.iter().any(|action| matches!(action, Action::Broadcast(_)));
        node.send_request(request(22));
        (told, node.server_of(22))
    };
    assert_eq!(doubted(60), (true, Some(2)), "two in a row are believed, and told");
    assert!(!doubted(10).0, "the next was quick");
}

#[test]
fn a_set_up_as_slow_as_all_others_shows_nothing() {
    // Guards against a fleet that is slow as a whole: refusing everyone would be worse than being late.
    let mut node = Node::new(without_delay_reports(), 2);
    for id in 1..=40 {
        node.send_request(request(id));
        node.establish_after(id, ms(200));
    }
    node.send_request(request(50));
    assert!(node.server_of(50).is_some());
}

#[test]
fn gossip_of_another_node_counts_and_rubbish_does_not() {
    let (_, told) = after_slow_setup(without_delay_reports());
    let mut node = Node::new(without_delay_reports(), 2);
    (1..=4).for_each(|id| node.open(id, 2));
    let mut unknown = told[0].clone();
    unknown[0] ^= 0xff;
    let mut absurd = told[0].clone();
    absurd[8..].copy_from_slice(&f64::NAN.to_le_bytes());
    for data in [Vec::new(), told[0][..15].to_vec(), [told[0].clone(), vec![0]].concat(), unknown, absurd] {
        node.event(Event::PeerMessage(1, data));
    }
    node.send_request(request(10));
    assert_eq!(node.server_of(10), Some(1));
    node.event(Event::PeerMessage(1, told[0].clone()));
    node.send_request(request(11));
    assert_eq!(node.server_of(11), Some(2));
}

#[test]
fn where_no_delay_is_reported_each_server_has_a_set_up_now_and_then() {
    // Found on a slow day on sockets with few new clients: none landed on the slow host, so nothing told of it.
    let second = |settings: BalancerSettings| {
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
        second(without_delay_reports()),
        Some(1),
        "the other one's turn, though it is a little heavier"
    );
    assert_eq!(second(settings()), Some(2), "the record alone decides where delays are told");
}

#[test]
fn at_many_nodes_servers_never_used_are_not_all_due() {
    // Found with 100 nodes: what a node had sent nothing to since its start was due, which was nearly everything
    // that was warm, and the servers that replaced others got nothing.
    let due = |seed: u64| {
        let mut node =
            Node::with_seed(BalancerSettings { node_count: 100, ..without_delay_reports() }, 2, seed);
        (1..=10).for_each(|id| node.open(id, 1 + id % 2));
        (1..=10).for_each(|id| report_load(&mut node, id, if id % 2 == 0 { 100.0 } else { 104.0 }));
        node.send_request(request(20));
        assert_eq!(node.server_of(20), Some(1), "the lower record");
        node.establish(20);
        report_load(&mut node, 20, 1.0);
        node.send_request(request(21));
        node.server_of(21) == Some(2)
    };
    assert_eq!((0..40).filter(|&seed| due(seed)).count(), 0, "the other one's turn has not come");
}

#[test]
fn a_stalled_server_is_as_good_as_before_when_it_goes_on() {
    // Found on berg-shared and nam-profiles (shared fate): servers that stood still for 2 s were believed slow and
    // full for the rest of the day, and a third of the requests was refused beside them.
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
    assert!(after(&[400.0, 800.0, 700.0, 400.0, 20.0]) < 25, "a queue that is worked off was an overload");
    assert_eq!(
        after(&[6_300.0, 7_300.0, 1_500.0, 400.0, 20.0]),
        40,
        "it stood still, and nothing was learnt"
    );
}
