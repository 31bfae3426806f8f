//! Outlier detection: ejected and excluded servers, and their return.

use crate::support::{Node, ms, report_delay, request, settings};
use alderstile::types::Outcome;

#[test]
fn server_that_fails_fast_does_not_receive_all_new_connections() {
    let mut node = Node::new(settings(), 4);
    for id in 1..=8 {
        node.open(id, 1 + id % 3);
    }
    // Server 4 has the lowest load, and fails.
    node.send_request(request(20));
    assert_eq!(node.server_of(20), Some(4));
    node.end(20, Outcome::Error);
    assert_ne!(node.server_of(20), Some(4), "the retry goes to another server");
    node.send_request(request(21));
    assert_ne!(node.server_of(21), Some(4), "new connections avoid it for a while");
    node.pass(ms(1_300));
    node.send_request(request(22));
    assert_eq!(node.server_of(22), Some(4), "then it receives an attempt again");
    node.end(22, Outcome::Error);
    node.pass(ms(1_300));
    node.send_request(request(23));
    assert_ne!(node.server_of(23), Some(4), "the next ejection is longer");
}

#[test]
fn failures_at_all_servers_do_not_reject_requests() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=3 {
        node.send_request(request(id));
    }
    for id in 1..=3 {
        node.end(id, Outcome::Error);
    }
    node.send_request(request(10));
    assert!(node.server_of(10).is_some());
}

#[test]
fn server_that_rejects_is_excluded_even_if_it_is_the_only_one() {
    // Guards against sending most attempts to servers that are at their capacity limit.
    let mut node = Node::new(settings(), 1);
    node.send_request(request(1));
    node.end(1, Outcome::Rejected);
    assert!(node.rejected(1).is_some());
    node.send_request(request(2));
    assert!(node.rejected(2).is_some());
    node.pass(ms(1_300));
    node.send_request(request(3));
    assert_eq!(node.server_of(3), Some(1));
}

#[test]
fn lost_server_is_excluded_even_if_the_others_have_a_high_delay() {
    // Guards against thousands of attempts at lost servers while the remaining ones have a high
    // delay.
    let mut node = Node::new(settings(), 3);
    node.open(1, 1);
    node.open(2, 2);
    node.open(3, 1);
    node.open(4, 2);
    node.end(1, Outcome::Reset);
    node.end(2, Outcome::Reset);
    report_delay(&mut node, 3, 80.0);
    let mut attempts = 0;
    for id in 10..40 {
        node.send_request(request(id));
        while node.server_of(id).is_some() {
            attempts += 1;
            node.end(id, Outcome::ConnectFailed);
        }
    }
    assert_eq!(attempts, 2, "one attempt at each lost server");
}

#[test]
fn partitioned_node_uses_the_servers_that_it_can_reach() {
    // Guards against a node in a partitioned zone, which loses all connections to other zones and
    // sends every new one to the unreachable servers there, because their load record is lowest.
    let mut node = Node::new(settings(), 5);
    for id in 1..=20 {
        node.open(id, 1 + id % 5);
    }
    for id in (1..=20).filter(|id| id % 5 != 4) {
        node.end(id, Outcome::Reset);
    }
    let mut placed = 0;
    for id in 100..160 {
        node.send_request(request(id));
        if node.server_of(id) == Some(5) {
            node.establish(id);
            placed += 1;
        } else {
            node.end(id, Outcome::Timeout);
            node.disconnect_client(id);
        }
    }
    assert!(placed >= 50, "{placed} of 60 reached the only reachable server");
}

#[test]
fn server_that_refused_a_connection_gets_one_attempt_and_then_warms_up() {
    // Guards against an overload after a restart that the endpoint list shows 3 s late: the
    // restarted host had the lowest load record, two nodes sent it ten connections each within 0.2
    // s, and it failed.
    let mut node = Node::new(settings(), 3);
    node.fill(1, 30);
    let lost: Vec<u64> = (1..=30).filter(|&id| node.server_of(id) == Some(2)).collect();
    lost.iter().for_each(|&id| node.end(id, Outcome::Reset));
    node.pass(ms(1_500));
    node.send_request(request(100));
    assert_eq!(node.server_of(100), Some(2), "the lowest load record, and its ejection has expired");
    node.end(100, Outcome::ConnectFailed);
    node.pass(ms(4_000));
    node.fill(101, 5);
    let attempts = (101..106).filter(|&id| node.server_of(id) == Some(2)).count();
    assert_eq!(attempts, 1, "one attempt first, whose success starts a warm-up");
    let mut placed: Vec<u64> = Vec::new();
    for second in 0..10 {
        node.pass(ms(1_000));
        node.fill(200 + second * 20, 20);
        let there = (200 + second * 20..220 + second * 20).filter(|&id| node.server_of(id) == Some(2));
        placed.push(there.count() as u64);
    }
    assert!(placed[0] <= 3 && placed.iter().sum::<u64>() > 10, "few at first, then more: {placed:?}");
}
