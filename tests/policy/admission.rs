//! Admission: load limits, capacity reserved by class, and the answer to a request that is given up.

use crate::support::{Node, class, counts, late, ms, periods, request, settings, told};
use alderstile::types::{ClassSettings, Idempotency, Outcome, Request};

#[test]
fn a_server_that_was_full_is_not_filled_to_the_same_record_again() {
    // Found on the first sofia-chat incident: a drained jam was filled up again at once.
    let mut node = Node::new(settings(), 2);
    for id in 1..=20 {
        node.open(id, 1 + id % 2);
        told(&mut node, id, 100.0);
    }
    late(&mut node, 1, 100.0);
    periods(&mut node, 1);
    node.pass(ms(1_700));
    node.fill(100, 40);
    let after = counts(&node, 1..141)[&1];
    assert!(after <= 8, "seven tenths of the ten that it held, let out a little: {after}");
}

#[test]
fn given_up_is_answered_at_once_with_a_time_to_come_back() {
    let mut node = Node::new(settings(), 0);
    node.ask(request(1));
    assert!(node.refused(1).flatten().is_some());
    let mut quiet = settings();
    quiet.retry_after_allowed = false;
    let mut node = Node::new(quiet, 0);
    node.ask(request(1));
    assert_eq!(node.refused(1), Some(None));
}

#[test]
fn the_last_room_is_kept_for_the_class_worth_most_for_its_load() {
    // Found on overloaded days: heavy connections of little worth took the room of many light ones.
    let mut two = settings();
    two.classes = vec![
        ClassSettings { priority_weight: 5.0, ..class(Idempotency::Idempotent) },
        ClassSettings { priority_weight: 1.0, ..class(Idempotency::Idempotent) },
    ];
    let mut node = Node::new(two, 1);
    let heavy = |id| Request { class: 1, ..request(id) };
    for id in 1..=20 {
        node.ask(if id <= 10 { request(id) } else { heavy(id) });
        node.establish(id);
        told(&mut node, id, if id <= 10 { 10.0 } else { 100.0 });
    }
    late(&mut node, 1, 60.0);
    node.pass(ms(1_100));
    // Late messages showed the server full; once they are over there is some room again.
    let weight = |node: &Node| -> u64 {
        (1..=20).filter(|&id| node.is_held(id)).map(|id| if id <= 10 { 10 } else { 100 }).sum()
    };
    for id in 11..=20 {
        if weight(&node) > 600 {
            node.end(id, Outcome::Ok);
        }
    }
    assert!((500..=600).contains(&weight(&node)), "about half of the load at which it was full");
    node.pass(ms(1_000));
    node.ask(heavy(30));
    assert!(node.refused(30).is_some(), "not for heavy work of little worth");
    node.ask(request(31));
    assert_eq!(node.where_is(31), Some(1), "but for light work of much worth");
    (11..=20).for_each(|id| node.end(id, Outcome::Ok));
    node.ask(heavy(32));
    assert_eq!(node.where_is(32), Some(1), "which leaves the other class its own part");
}
