//! Retry budget: how many retries are made.

use crate::support::{Node, ms, request, settings};
use alderstile::types::{BalancerSettings, Event, Outcome, RetryBudget};

#[test]
fn retries_stay_within_the_budget_in_any_window() {
    // Guards against exceeding the budget in an overload: 7 retries in 10 s, although 35 requests
    // allowed 6.
    let budget = RetryBudget { min_retries: 2.0, retry_ratio: 0.1, window: ms(1_000) };
    let mut node = Node::new(BalancerSettings { retry_budget: Some(budget), ..settings() }, 4);
    // The checker in `support` counts all attempts independently. Each failed attempt asks for a retry, many
    // of them at the same time.
    let mut retries = 0;
    for id in 1..=400 {
        node.send_request(request(id));
        node.end(id, Outcome::Error);
        retries += u64::from(node.server_of(id).is_some());
        if id % 25 == 0 {
            node.pass(ms(97));
        }
    }
    assert!(
        (20..=45).contains(&retries),
        "{retries} retries: the budget is neither unused nor exceeded within 1.5 s"
    );
    node.pass(ms(1_100));
    node.send_request(request(500));
    node.end(500, Outcome::Error);
    assert!(node.server_of(500).is_some(), "a window later, free retries are available again");
}

#[test]
fn new_or_longer_budget_waits_until_its_window_is_known() {
    let budget = |window_ms| Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.0, window: ms(window_ms) });
    let mut node = Node::new(BalancerSettings { retry_budget: budget(1_000), ..settings() }, 4);
    let is_retried = |node: &mut Node, id| {
        node.send_request(request(id));
        node.end(id, Outcome::Error);
        node.server_of(id).is_some()
    };
    assert!(is_retried(&mut node, 1));
    node.pass(ms(1_500));
    assert!(is_retried(&mut node, 2));
    node.settings.retry_budget = budget(4_000);
    node.event(Event::SettingsChanged(Box::new(node.settings.clone())));
    node.pass(ms(2_000));
    assert!(!is_retried(&mut node, 3), "the second retry was 2 s ago, and the first is no longer counted");
    node.pass(ms(4_500));
    assert!(is_retried(&mut node, 4));
}

#[test]
fn attempt_that_could_not_connect_needs_no_retry_token() {
    // Guards against rejecting clients while other zones have free capacity: after a zone is
    // partitioned, half of the attempts cannot connect and would use up the saved tokens.
    let mut node = Node::new(settings(), 40);
    for id in 1..=15 {
        node.send_request(request(id));
        node.end(id, Outcome::ConnectFailed);
        assert!(
            node.server_of(id).is_some(),
            "request {id}: the attempt caused no load, so another server receives one"
        );
    }
    let mut node = Node::new(settings(), 40);
    let mut not_retried = 0;
    for id in 1..=15 {
        node.send_request(request(id));
        node.end(id, Outcome::Error);
        not_retried += u32::from(node.server_of(id).is_none());
    }
    assert!(not_retried > 0, "attempts that may have caused load are counted");
}
