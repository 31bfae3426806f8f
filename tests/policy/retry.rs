//! Retries: when another attempt may follow, and where it may go.

use crate::support::{Node, class, entry, ms, request, settings};
use alderstile::types::{
    Action, BalancerSettings, DedupScope, Endpoint, EndpointListKind, EndpointState, Event, Idempotency,
    Outcome, ReportField, Request, RequestId,
};

#[test]
fn setups_that_fail_at_all_servers_are_not_retried_without_limit() {
    // Guards against a retry storm while setups fail at all servers.
    let mut node = Node::new(settings(), 6);
    let mut sends = 0;
    for id in 1..=60 {
        node.send_request(request(id));
        while node.server_of(id).is_some() {
            sends += 1;
            node.end(id, Outcome::Error);
        }
        assert!(node.rejected(id).flatten().is_some(), "rejected at once with a Retry-After time");
    }
    assert!(sends <= 60 + 10 + 12, "{sends} attempts: one each, ten saved tokens and a fifth more");
}

#[test]
fn non_idempotent_request_that_may_have_been_executed_fails_without_retry() {
    let mut non_idempotent = settings();
    non_idempotent.classes = vec![class(Idempotency::NotIdempotent)];
    let mut node = Node::new(non_idempotent, 3);
    node.send_request(request(1));
    node.end(1, Outcome::Timeout);
    assert_eq!(node.last.last(), Some(&Action::Fail(RequestId(1))));
    node.send_request(request(2));
    node.end(2, Outcome::ConnectFailed);
    assert!(node.server_of(2).is_some(), "a request that was never executed is retried");
}

#[test]
fn deduplicated_request_stays_in_its_cell_and_window() {
    let mut dedup = settings();
    dedup.classes = vec![class(Idempotency::Deduplicated(DedupScope::Cell))];
    let mut node = Node::new(dedup, 6);
    node.send_request(request(1));
    let first = node.server_of(1);
    node.end(1, Outcome::Error);
    let second = node.server_of(1);
    assert_eq!(first.map(|id| id % 3), second.map(|id| id % 3));
    node.pass(ms(1_100));
    node.end(1, Outcome::Error);
    assert_eq!(node.last.last(), Some(&Action::Fail(RequestId(1))), "the window has expired");
}

#[test]
fn request_that_looks_expired_is_attempted_if_clocks_differ() {
    let mut node = Node::new(BalancerSettings { deadline_tolerance: ms(3_200), ..settings() }, 2);
    node.send_request(Request { time_remaining: ms(0), ..request(1) });
    assert!(node.server_of(1).is_some());
    let mut node = Node::new(settings(), 2);
    node.send_request(Request { time_remaining: ms(0), ..request(1) });
    assert!(node.rejected(1).is_some(), "expired if clocks agree");
    // Guards against waiting for a probe in the clock tolerance: 12 of 998 requests waited until
    // their deadline had passed.
    let probes =
        BalancerSettings { probes_allowed: true, report_fields: vec![ReportField::LoadRatio], ..settings() };
    let mut node = Node::new(BalancerSettings { deadline_tolerance: ms(3_200), ..probes }, 2);
    node.send_request(Request { time_remaining: ms(60), ..request(1) });
    assert!(node.server_of(1).is_some(), "no wait beyond the stated deadline");
    node.end(1, Outcome::Timeout);
    assert!(node.rejected(1).is_some(), "the attempt's timeout shows that the client's deadline has passed");
}

/// Returns a node with an attempt in flight, and the attempt's server.
fn with_attempt_in_flight(settings: BalancerSettings, servers: u64) -> (Node, u64) {
    let mut node = Node::new(settings, servers);
    node.send_request(request(1));
    let server = node.server_of(1).expect("an attempt");
    (node, server)
}

#[test]
fn attempt_is_sent_only_if_its_decision_is_still_valid() {
    // An event between the decision and the first byte, as a connection may take long to establish.
    let may_send_after = |change: fn(&mut Endpoint)| {
        let (mut node, server) = with_attempt_in_flight(settings(), 2);
        assert!(node.policy.may_still_send(node.now, RequestId(1)));
        let mut changed = entry(server);
        change(&mut changed);
        node.list(EndpointListKind::Delta, vec![changed]);
        node.policy.may_still_send(node.now, RequestId(1))
    };
    assert!(may_send_after(|_| {}));
    assert!(!may_send_after(|entry| entry.state = EndpointState::Draining));
    assert!(!may_send_after(|entry| entry.state = EndpointState::Removed));
    assert!(!may_send_after(|entry| entry.started = Some(ms(1))), "it has restarted and is not warm");
    assert!(!may_send_after_disconnect(), "the client has disconnected");
    let advisory = BalancerSettings { removal_is_advisory: true, ..settings() };
    let (mut node, server) = with_attempt_in_flight(advisory, 2);
    node.list(EndpointListKind::Delta, vec![Endpoint { state: EndpointState::Removed, ..entry(server) }]);
    assert!(node.policy.may_still_send(node.now, RequestId(1)), "the removal is advisory");
}

fn may_send_after_disconnect() -> bool {
    let (mut node, _) = with_attempt_in_flight(settings(), 2);
    node.event(Event::ClientDisconnected(RequestId(1)));
    node.policy.may_still_send(node.now, RequestId(1))
}

#[test]
fn retry_is_sent_only_within_the_deduplication_window() {
    let dedup =
        BalancerSettings { classes: vec![class(Idempotency::Deduplicated(DedupScope::All))], ..settings() };
    let (mut node, server) = with_attempt_in_flight(dedup, 2);
    node.pass(ms(100));
    node.end(1, Outcome::Reset);
    let other = node.server_of(1).expect("another attempt");
    assert_ne!(other, server);
    assert!(node.policy.may_still_send(node.now, RequestId(1)));
    // The window ends 1 s after the first attempt was sent.
    node.pass(ms(800));
    assert!(node.policy.may_still_send(node.now, RequestId(1)));
    node.pass(ms(200));
    assert!(!node.policy.may_still_send(node.now, RequestId(1)));
}

/// Guards against a rejection that tells a client to come again when the servers have forgotten its first attempt,
/// which may have been executed: it is executed twice (issue 64, review/7).
#[test]
fn request_that_may_have_been_executed_is_rejected_only_if_a_repeat_fits_into_the_deduplication_window() {
    // The window is 1 s, and a client comes again after at most 0.3 s. Its repeat may be sent until its own
    // time is over.
    for (ended_after, time_remaining, rejected) in
        [(100, 500, true), (100, 700, false), (250, 400, true), (550, 200, false), (990, 10, false)]
    {
        let class = class(Idempotency::Deduplicated(DedupScope::All));
        let dedup = BalancerSettings { classes: vec![class], max_attempts: 1, ..settings() };
        let mut node = Node::new(dedup, 2);
        node.send_request(Request { time_remaining: ms(time_remaining), ..request(1) });
        node.pass(ms(ended_after));
        node.end(1, Outcome::Timeout);
        let answer = node.last.last();
        assert_eq!(node.rejected(1).is_some(), rejected, "{ended_after} {time_remaining} {answer:?}");
        assert_eq!(answer == Some(&Action::Fail(RequestId(1))), !rejected);
    }
    // A request that was never executed is rejected at any time.
    let class = class(Idempotency::Deduplicated(DedupScope::All));
    let mut node = Node::new(BalancerSettings { classes: vec![class], max_attempts: 1, ..settings() }, 2);
    node.send_request(request(1));
    node.pass(ms(2_000));
    node.end(1, Outcome::ConnectFailed);
    assert!(node.rejected(1).is_some());
}

#[test]
fn attempt_not_forwarded_ejects_no_server_needs_no_token_and_goes_to_another_server() {
    let (mut node, server) = with_attempt_in_flight(settings(), 2);
    node.end(1, Outcome::NotForwarded);
    assert!(node.server_of(1).is_some_and(|other| other != server));
    assert!(node.policy.unreachable_servers().is_empty());
    assert_eq!(node.policy.avoided_server_count(node.now), 0);
    // Many in a row: each still finds the other server.
    for id in 2..40 {
        node.send_request(request(id));
        let first = node.server_of(id).expect("an attempt");
        node.end(id, Outcome::NotForwarded);
        assert!(node.server_of(id).is_some_and(|other| other != first), "request {id}");
    }
    // The number of attempts is limited by the settings.
    let (mut node, _) = with_attempt_in_flight(settings(), 9);
    for _ in 0..3 {
        assert!(node.server_of(1).is_some());
        node.end(1, Outcome::NotForwarded);
    }
    assert_eq!(node.server_of(1), None);
}

#[test]
fn changed_settings_do_not_relax_the_rules_for_earlier_requests() {
    // The class changes while the request is in flight: a retry has to be allowed by the old and
    // the new settings.
    for (before, after) in [
        (Idempotency::NotIdempotent, Idempotency::Idempotent),
        (Idempotency::Idempotent, Idempotency::NotIdempotent),
    ] {
        let (mut node, _) =
            with_attempt_in_flight(BalancerSettings { classes: vec![class(before)], ..settings() }, 2);
        node.event(Event::SettingsChanged(Box::new(BalancerSettings {
            classes: vec![class(after)],
            ..settings()
        })));
        assert!(node.policy.may_still_send(node.now, RequestId(1)), "no attempt has been executed yet");
        node.last.clear();
        node.end(1, Outcome::Reset);
        assert!(
            matches!(node.last[..], [Action::Fail(RequestId(1))]),
            "{before:?}, {after:?}: {:?}",
            node.last
        );
    }
}
