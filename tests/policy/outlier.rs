//! Outlier detection: ejected and barred servers, and their return.

use crate::support::{Node, ms, report_delay, request, settings};
use alderstile::types::Outcome;

#[test]
fn a_server_that_fails_fast_does_not_draw_all_new_work() {
    let mut node = Node::new(settings(), 4);
    for id in 1..=8 {
        node.open(id, 1 + id % 3);
    }
    // Server 4 is lowest, and fails.
    node.send_request(request(20));
    assert_eq!(node.server_of(20), Some(4));
    node.end(20, Outcome::Error);
    assert_ne!(node.server_of(20), Some(4), "the next try goes to another server");
    node.send_request(request(21));
    assert_ne!(node.server_of(21), Some(4), "and new work stays away for a while");
    node.pass(ms(1_300));
    node.send_request(request(22));
    assert_eq!(node.server_of(22), Some(4), "then it is tried again");
    node.end(22, Outcome::Error);
    node.pass(ms(1_300));
    node.send_request(request(23));
    assert_ne!(node.server_of(23), Some(4), "the next pause is longer");
}

#[test]
fn failures_at_all_servers_reject_nobody() {
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
fn a_server_that_rejects_is_barred_even_where_no_other_is_left() {
    // Found on an incident: servers at their cap were sent most attempts.
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
fn a_lost_server_is_barred_even_where_those_left_are_late() {
    // Found on the third sofia-chat incident: thousands of attempts at lost servers while the rest were late.
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
    assert_eq!(attempts, 2, "one at each");
}

#[test]
fn a_node_cut_off_from_most_servers_uses_those_that_it_can_reach() {
    // Found on the fourth sofia-chat incident: a zone was cut off, its node lost all connections but those to its
    // own zone's servers, and sent every new one to the emptied, unreachable ones.
    let mut node = Node::new(settings(), 5);
    for id in 1..=20 {
        node.open(id, 1 + id % 5);
    }
    for id in (1..=20).filter(|id| id % 5 != 4) {
        node.end(id, Outcome::Reset);
    }
    let mut landed = 0;
    for id in 100..160 {
        node.send_request(request(id));
        if node.server_of(id) == Some(5) {
            node.establish(id);
            landed += 1;
        } else {
            node.end(id, Outcome::Timeout);
            node.client_gone(id);
        }
    }
    assert!(landed >= 50, "{landed} of 60 found the only server in reach");
}

#[test]
fn a_server_that_took_no_connection_gets_one_attempt_and_warms_up_when_it_takes_one() {
    // Found on nam-profiles (hunted day h240284, mass restart): the list told of the restarts 3 s later, the record of
    // a host that came back was the lowest, and two nodes sent it ten connections each within 0.2 s: it fell over.
    let mut node = Node::new(settings(), 3);
    node.fill(1, 30);
    let lost: Vec<u64> = (1..=30).filter(|&id| node.server_of(id) == Some(2)).collect();
    lost.iter().for_each(|&id| node.end(id, Outcome::Reset));
    node.pass(ms(1_500));
    node.send_request(request(100));
    assert_eq!(node.server_of(100), Some(2), "the lowest record, and its pause is over");
    node.end(100, Outcome::ConnectFailed);
    node.pass(ms(4_000));
    node.fill(101, 5);
    let trials = (101..106).filter(|&id| node.server_of(id) == Some(2)).count();
    assert_eq!(trials, 1, "one first, and what it takes makes it a cold one");
    let mut at: Vec<u64> = Vec::new();
    for second in 0..10 {
        node.pass(ms(1_000));
        node.fill(200 + second * 20, 20);
        let there = (200 + second * 20..220 + second * 20).filter(|&id| node.server_of(id) == Some(2));
        at.push(there.count() as u64);
    }
    assert!(at[0] <= 3 && at.iter().sum::<u64>() > 10, "a little, then more: {at:?}");
}
