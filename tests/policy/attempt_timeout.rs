//! Attempt timeouts: when an attempt has one.

use crate::support::{Node, ms, request, settings};
use alderstile::types::{Action, Outcome, Request};

#[test]
fn attempt_without_known_setup_time_lasts_until_the_deadline() {
    // Guards against retries that join the end of a slow server's queue repeatedly.
    let mut node = Node::new(settings(), 4);
    node.send_request(request(1));
    assert!(node.last.iter().any(|action| matches!(action, Action::Forward(_, _, None))));
}

#[test]
fn attempt_without_answer_leaves_time_for_another() {
    // Guards against servers that accept requests and never answer, which would use up the client's
    // deadline.
    let timeout = |node: &Node| {
        node.last.iter().find_map(|action| match action {
            Action::Forward(_, _, timeout) => Some(*timeout),
            _ => None,
        })
    };
    let mut node = Node::new(settings(), 3);
    node.send_request(request(1));
    assert_eq!(timeout(&node), Some(None), "the typical setup time is not known yet");
    node.establish(1);
    node.send_request(request(2));
    assert_eq!(
        timeout(&node),
        Some(Some(ms(300))),
        "the latency objective, because four typical setups take less"
    );
    let silent = node.server_of(2);
    node.pass(ms(300));
    node.end(2, Outcome::Timeout);
    assert!(node.server_of(2).is_some() && node.server_of(2) != silent, "retried at another server");
    node.establish(2);
    node.send_request(Request { time_remaining: ms(500), ..request(3) });
    assert_eq!(timeout(&node), Some(None), "no time would remain for another attempt");
    node.establish(3);
    // Guards against repeated attempts for clients that reconnect together after a zone is
    // partitioned.
    (10..20).for_each(|id| node.send_request(request(id)));
    node.send_request(request(20));
    assert_eq!(timeout(&node), Some(None), "too many attempts are in flight, so all setups are slow");
}

#[test]
fn attempts_have_no_timeout_if_many_time_out() {
    // Guards against retries in a fleet whose session store is slow: attempts that time out join
    // the end of its queue again.
    let mut node = Node::new(settings(), 8);
    node.fill(1, 30);
    let mut timed_out = 0;
    for id in 100..140 {
        node.send_request(request(id));
        while let Some(Action::Forward(_, _, Some(_))) = node.last.last() {
            timed_out += 1;
            node.pass(ms(300));
            node.end(id, Outcome::Timeout);
        }
        // An attempt without a timeout is established after 800 ms.
        node.pass(ms(800));
        node.establish_after(id, ms(800));
    }
    assert!((1..=10).contains(&timed_out), "{timed_out} of 40 attempts timed out");
}

#[test]
fn timeout_follows_the_typical_setup_time_of_a_slow_fleet() {
    let mut node = Node::new(settings(), 2);
    for id in 1..40 {
        node.send_request(Request { time_remaining: ms(6_000), ..request(id) });
        node.establish_after(id, ms(200));
    }
    node.send_request(Request { time_remaining: ms(6_000), ..request(40) });
    let has_expected_timeout = |action: &Action| matches!(action, Action::Forward(_, _, Some(t)) if (700_000..900_000).contains(&t.0));
    assert!(node.last.iter().any(has_expected_timeout), "four typical setups: {:?}", node.last);
}
