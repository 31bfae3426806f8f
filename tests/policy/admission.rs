//! Admission control: load limits, capacity reserved by class, and the answer to a request that gets
//! no further attempt.

use crate::support::{
    Node, class, connections_by_server, ms, pass_periods, report_delay, report_load, request, settings,
};
use alderstile::types::{ClassSettings, Idempotency, Outcome, Request};

#[test]
fn server_that_reached_its_capacity_is_not_filled_to_the_same_load_again() {
    // Guards against refilling an overloaded server at once: its load record is low after it has
    // shed its excess.
    let mut node = Node::new(settings(), 2);
    for id in 1..=20 {
        node.open(id, 1 + id % 2);
        report_load(&mut node, id, 100.0);
    }
    report_delay(&mut node, 1, 100.0);
    pass_periods(&mut node, 1);
    node.pass(ms(1_700));
    node.fill(100, 40);
    let after = connections_by_server(&node, 1..141)[&1];
    assert!(after <= 8, "at most 0.7 of its ten connections, plus the growth of the limit: {after}");
}

#[test]
fn request_without_available_server_is_rejected_at_once_with_retry_after_if_allowed() {
    let mut node = Node::new(settings(), 0);
    node.send_request(request(1));
    assert!(node.rejected(1).flatten().is_some());
    let mut without_retry_after = settings();
    without_retry_after.retry_after_allowed = false;
    let mut node = Node::new(without_retry_after, 0);
    node.send_request(request(1));
    assert_eq!(node.rejected(1), Some(None));
}

#[test]
fn part_of_the_capacity_is_reserved_for_the_class_with_the_highest_priority_per_load() {
    // Guards against heavy connections of low priority using the capacity of many light ones in an
    // overload.
    let mut two_classes = settings();
    two_classes.classes = vec![
        ClassSettings { priority_weight: 5.0, ..class(Idempotency::Idempotent) },
        ClassSettings { priority_weight: 1.0, ..class(Idempotency::Idempotent) },
    ];
    let mut node = Node::new(two_classes, 1);
    let heavy = |id| Request { class: 1, ..request(id) };
    for id in 1..=20 {
        node.send_request(if id <= 10 { request(id) } else { heavy(id) });
        node.establish(id);
        report_load(&mut node, id, if id <= 10 { 10.0 } else { 100.0 });
    }
    report_delay(&mut node, 1, 60.0);
    node.pass(ms(1_100));
    // The high delay limits the server; ending some of its connections frees capacity.
    let load = |node: &Node| -> u64 {
        (1..=20).filter(|&id| node.has_request(id)).map(|id| if id <= 10 { 10 } else { 100 }).sum()
    };
    for id in 11..=20 {
        if load(&node) > 600 {
            node.end(id, Outcome::Ok);
        }
    }
    assert!((500..=600).contains(&load(&node)), "about half of the load at which the server was full");
    node.pass(ms(1_000));
    node.send_request(heavy(30));
    assert!(node.rejected(30).is_some(), "heavy connections of low priority are rejected");
    node.send_request(request(31));
    assert_eq!(node.server_of(31), Some(1), "light connections of high priority are accepted");
    (11..=20).for_each(|id| node.end(id, Outcome::Ok));
    node.send_request(heavy(32));
    assert_eq!(node.server_of(32), Some(1), "the other class may use its own part of the capacity");
}
