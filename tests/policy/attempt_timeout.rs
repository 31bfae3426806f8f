//! Attempt time-outs: when an attempt has one.

use crate::support::{Node, ms, request, settings};
use alderstile::types::{Action, Outcome, Request};

#[test]
fn an_attempt_may_take_all_the_time_that_its_client_gives() {
    // Found at size and on days with a slow session store: every repeat went to the back of its queue.
    let mut node = Node::new(settings(), 4);
    node.send_request(request(1));
    assert!(node.last.iter().any(|action| matches!(action, Action::Forward(_, _, None))));
}

#[test]
fn an_attempt_that_finds_no_answer_leaves_time_for_another() {
    // Found on days on which servers take requests and answer none: each cost its client all of its time.
    let time_out = |node: &Node| {
        node.last.iter().find_map(|action| match action {
            Action::Forward(_, _, time_out) => Some(*time_out),
            _ => None,
        })
    };
    let mut node = Node::new(settings(), 3);
    node.send_request(request(1));
    assert_eq!(time_out(&node), Some(None), "what a set-up usually takes is not known yet");
    node.establish(1);
    node.send_request(request(2));
    assert_eq!(time_out(&node), Some(Some(ms(300))), "the set-up aim, as four usual ones take less");
    let silent = node.server_of(2);
    node.pass(ms(300));
    node.end(2, Outcome::Timeout);
    assert!(node.server_of(2).is_some() && node.server_of(2) != silent, "tried on another");
    node.establish(2);
    node.send_request(Request { time_remaining: ms(500), ..request(3) });
    assert_eq!(time_out(&node), Some(None), "no time would be left for another");
    node.establish(3);
    // Found on drawn days on which a zone is cut off: clients that came back together were sent again and again.
    (10..20).for_each(|id| node.send_request(request(id)));
    node.send_request(request(20));
    assert_eq!(time_out(&node), Some(None), "so much is out that all take long");
}

#[test]
fn where_many_attempts_time_out_they_get_no_time_out() {
    // Found at bogota-central, whose store of sessions is slow on one day: attempts that were given up went to the end of its queue.
    let mut node = Node::new(settings(), 8);
    node.fill(1, 30);
    let mut given_up = 0;
    for id in 100..140 {
        node.send_request(request(id));
        while let Some(Action::Forward(_, _, Some(_))) = node.last.last() {
            given_up += 1;
            node.pass(ms(300));
            node.end(id, Outcome::Timeout);
        }
        // What has its time comes up in the end.
        node.pass(ms(800));
        node.establish_after(id, ms(800));
    }
    assert!((1..=10).contains(&given_up), "{given_up} of 40 were given up");
}

#[test]
fn a_fleet_that_is_slow_as_a_whole_is_given_its_time() {
    let mut node = Node::new(settings(), 2);
    for id in 1..40 {
        node.send_request(Request { time_remaining: ms(6_000), ..request(id) });
        node.establish_after(id, ms(200));
    }
    node.send_request(Request { time_remaining: ms(6_000), ..request(40) });
    let sent = |action: &Action| matches!(action, Action::Forward(_, _, Some(t)) if (700_000..900_000).contains(&t.0));
    assert!(node.last.iter().any(sent), "four usual set-ups: {:?}", node.last);
}
