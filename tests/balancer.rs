//! The balancer passes on the policy's decisions and manages its timers and request ids.

use alderstile::balancer::{Balancer, ConnectionRequest, Verdict};
use alderstile::types::*;

mod support;
use support::{entry, ms, settings};

const START: Micros = const_ms(1_000_000);

const fn const_ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn connection_request() -> ConnectionRequest {
    ConnectionRequest { class: 0, group: None, key: None, expected_load: None, time_remaining: ms(1_200) }
}

fn balancer(settings: BalancerSettings, servers: u64) -> Balancer {
    let mut balancer = Balancer::new(settings, 7, START);
    balancer.on_endpoint_list(START, EndpointListKind::Full, (1..=servers).map(entry).collect());
    balancer
}

fn forwarded_to(verdict: Verdict) -> ServerId {
    match verdict {
        Verdict::Forward(server, _) => server,
        other => panic!("{other:?}"),
    }
}

#[test]
fn request_is_attempted_at_several_servers_and_then_answered() {
    let mut balancer = balancer(settings(), 3);
    let (id, mut verdict) = balancer.place(START, connection_request());
    let mut servers = Vec::new();
    for _ in 0..3 {
        let server = forwarded_to(verdict);
        assert!(!servers.contains(&server));
        servers.push(server);
        verdict = balancer.on_attempt_failed(START, id, server, Outcome::Error);
    }
    assert!(matches!(verdict, Verdict::Reject(Some(_))), "{verdict:?}");
}

#[test]
fn requests_have_unique_ids_and_count_at_their_servers() {
    let mut balancer = balancer(settings(), 2);
    let (first, verdict) = balancer.place(START, connection_request());
    let first_server = forwarded_to(verdict);
    balancer.on_established(START, first, ms(10));
    let (second, verdict) = balancer.place(START, connection_request());
    assert_ne!(first, second);
    assert_ne!(forwarded_to(verdict), first_server, "the other server has the lower load");
    balancer.on_client_disconnected(START, second);
    balancer.on_connection_ended(START, first, first_server, Outcome::Ok);
    let adopted = balancer.adopt_connection(START, connection_request(), first_server);
    assert!(adopted != first && adopted != second);
    assert_ne!(forwarded_to(balancer.place(START, connection_request()).1), first_server);
}

#[test]
fn request_without_any_server_is_rejected_at_once() {
    let mut balancer = balancer(settings(), 0);
    assert!(matches!(balancer.place(START, connection_request()).1, Verdict::Reject(_)));
}

#[test]
fn timers_expire_in_order() {
    let mut balancer = Balancer::new(BalancerSettings { must_subscribe: true, ..settings() }, 7, START);
    assert!(!balancer.handle_timeout(START).watch_endpoints, "nothing is due at the start");
    let (mut now, mut subscriptions) = (START, 0);
    for _ in 0..20 {
        let due = balancer.poll_timeout().expect("a timer is always set");
        assert!(due > now, "no expired timer remains set");
        now = due;
        subscriptions += u32::from(balancer.handle_timeout(now).watch_endpoints);
    }
    assert_eq!(subscriptions, 1, "one subscription while it stays open");
    balancer.on_endpoint_list(now, EndpointListKind::Failed, Vec::new());
    while !balancer.handle_timeout(now).watch_endpoints {
        now = balancer.poll_timeout().expect("a timer");
        assert!(now < START + ms(60_000), "subscribes again soon");
    }
}

#[test]
fn pending_work_is_due_at_once() {
    let gossip_settings =
        BalancerSettings { gossip_allowed: true, servers_report_delay: false, ..settings() };
    let mut balancer = balancer(gossip_settings.clone(), 2);
    for _ in 0..6 {
        let (id, _) = balancer.place(START, connection_request());
        balancer.on_established(START, id, ms(10));
    }
    let (id, _) = balancer.place(START, connection_request());
    balancer.on_established(START, id, ms(400));
    assert_eq!(balancer.poll_timeout(), Some(Micros(0)));
    let pending = balancer.handle_timeout(START);
    assert_eq!(pending.broadcasts.len(), 1, "servers report no delay, so the slow setup is broadcast");
    assert!(balancer.handle_timeout(START).broadcasts.is_empty());
    assert!(balancer.poll_timeout() > Some(START));
    // Another node that receives the message places no connection there.
    let mut other = self::balancer(gossip_settings, 2);
    other.on_peer_message(START, 1, pending.broadcasts[0].clone());
    let first = forwarded_to(other.place(START, connection_request()).1);
    assert_eq!(forwarded_to(other.place(START, connection_request()).1), first);
}

#[test]
fn clients_of_a_server_above_the_mean_load_are_migrated() {
    let mut balancer = balancer(settings(), 2);
    let mut ids = Vec::new();
    for _ in 0..30 {
        ids.push(balancer.adopt_connection(START, connection_request(), ServerId(1)));
    }
    ids.iter().for_each(|&id| balancer.on_load_report(START, id, ServerId(1), 100.0));
    let mut migrations = Vec::new();
    let mut now = START;
    while now < START + ms(6_000) {
        migrations.extend(balancer.handle_timeout(now).migrations);
        now = balancer.poll_timeout().expect("a timer");
    }
    assert!(!migrations.is_empty() && migrations.iter().all(|id| ids.contains(id)));
}

#[test]
fn delay_reports_in_the_form_of_loads_are_classified() {
    let mut balancer = balancer(settings(), 2);
    let ids =
        [1, 1, 2, 2].map(|server| balancer.adopt_connection(START, connection_request(), ServerId(server)));
    for (i, id) in ids.into_iter().enumerate() {
        balancer.on_load_report(START, id, ServerId(1 + i as u64 / 2), 50_000.0);
    }
    // One value that is certainly a load, and an ambiguous one without a second, which becomes a
    // load when it expires.
    balancer.on_load_report(START, ids[0], ServerId(1), 40_000.0);
    balancer.on_load_report(START, ids[3], ServerId(2), 90.0);
    let mut now = START;
    while now < START + ms(1_500) {
        balancer.handle_timeout(now);
        now = balancer.poll_timeout().expect("a timer");
    }
    assert_eq!(
        forwarded_to(balancer.place(now, connection_request()).1),
        ServerId(2),
        "the server with the lower load"
    );
    for second in 2..4 {
        balancer.on_load_report(START + ms(1_000 * second), ids[2], ServerId(2), 200.0);
    }
    let (_, verdict) = balancer.place(START + ms(3_000), connection_request());
    assert_eq!(forwarded_to(verdict), ServerId(1), "no connection is placed where the message delay is high");
}

#[test]
fn server_after_maintenance_gets_a_connection_within_five_seconds_and_keeps_its_slow_start_budget() {
    // A small node: six servers with ten connections each, and one request per 300 ms.
    for seed in 0..50 {
        let mut balancer = Balancer::new(settings(), seed, START);
        let (mut now, servers) = (START, 6);
        balancer.on_endpoint_list(now, EndpointListKind::Full, (1..=servers).map(entry).collect());
        for _ in 0..60 {
            let (id, verdict) = balancer.place(now, connection_request());
            forwarded_to(verdict);
            balancer.on_established(now, id, ms(10));
        }
        let host = ServerId(1);
        balancer.begin_maintenance(now, host);
        assert_eq!(balancer.unavailable_server_count(now), 1);
        let mut placed_at = Vec::new();
        for step in 0..30 {
            now = now + ms(300);
            for id in balancer.handle_timeout(now).migrations {
                balancer.on_connection_ended(now, id, host, Outcome::Cancelled);
            }
            if step == 13 {
                balancer.end_maintenance(now, host, now);
                assert_eq!(balancer.unavailable_server_count(now), 0);
            }
            let (id, verdict) = balancer.place(now, connection_request());
            balancer.on_established(now, id, ms(10));
            if forwarded_to(verdict) == host {
                placed_at.push(step);
            }
        }
        assert!(placed_at.first().is_some_and(|first| *first > 13), "seed {seed}: {placed_at:?}");
        // A quarter of the rate of ten connections, times the overload multiple of three, over two
        // seconds.
        let max_in_window = placed_at
            .iter()
            .map(|from| placed_at.iter().filter(|at| (*from..from + 7).contains(*at)).count())
            .max();
        assert!(max_in_window <= Some(14), "seed {seed}: {placed_at:?}");
    }
}

#[test]
fn new_settings_keep_the_load_record_and_apply_to_the_next_attempt() {
    let mut balancer = balancer(settings(), 3);
    let (first_id, verdict) = balancer.place(START, connection_request());
    let first_server = forwarded_to(verdict);
    balancer.on_established(START, first_id, ms(10));
    let (id, verdict) = balancer.place(START, connection_request());
    let second_server = forwarded_to(verdict);
    let mut fewer_attempts = BalancerSettings { max_attempts: 1, ..settings() };
    fewer_attempts.classes.push(support::class(Idempotency::NotIdempotent));
    balancer.apply_settings(START, fewer_attempts, None);
    let verdict = balancer.on_attempt_failed(START, id, second_server, Outcome::Rejected);
    assert!(matches!(verdict, Verdict::Reject(Some(_))), "no second attempt: {verdict:?}");
    let (_, verdict) = balancer.place(START, ConnectionRequest { class: 1, ..connection_request() });
    assert!(
        forwarded_to(verdict) != first_server,
        "its connections are still recorded, and the new class is served"
    );
    // With a stricter class, a request that may have been executed is not retried.
    let (id, verdict) = balancer.place(START, connection_request());
    let third_server = forwarded_to(verdict);
    let mut strict = settings();
    strict.classes =
        vec![support::class(Idempotency::NotIdempotent), support::class(Idempotency::NotIdempotent)];
    balancer.apply_settings(START, strict, None);
    assert_eq!(balancer.on_attempt_failed(START, id, third_server, Outcome::Reset), Verdict::Fail);
}

#[test]
fn cold_servers_receive_the_former_load_of_warm_ones_if_the_only_warm_one_is_nearly_empty() {
    let mut balancer = balancer(settings(), 5);
    let mut now = START;
    let mut connections = Vec::new();
    for _ in 0..50 {
        let (id, verdict) = balancer.place(now, connection_request());
        connections.push((id, forwarded_to(verdict)));
        balancer.on_established(now, id, ms(10));
    }
    for _ in 0..20 {
        now = now + ms(1_000);
        balancer.handle_timeout(now);
    }
    // A release replaces four servers, and the remaining one is empty after its clients
    // disconnected.
    let cold = |id| Endpoint { started: Some(now), ..entry(id) };
    balancer.on_endpoint_list(
        now,
        EndpointListKind::Full,
        std::iter::once(entry(1)).chain((6..10).map(cold)).collect(),
    );
    for (id, server) in connections {
        balancer.on_connection_ended(now, id, server, Outcome::Cancelled);
    }
    let (id, verdict) = balancer.place(now, connection_request());
    balancer.on_attempt_failed(now, id, forwarded_to(verdict), Outcome::Rejected);
    now = now + ms(1_000);
    balancer.handle_timeout(now);
    let served = (0..8)
        .filter(|_| matches!(balancer.place(now, connection_request()).1, Verdict::Forward(server, _) if server.0 > 5));
    let served = served.count();
    assert!(served >= 4, "{served} of 8: the initial share of ten connections at each of four servers");
}

#[test]
fn two_processes_of_a_node_share_one_retry_budget() {
    let budget = RetryBudget { min_retries: 2.0, retry_ratio: 0.0, window: ms(10_000) };
    let budget_settings = BalancerSettings { retry_budget: Some(budget), max_attempts: 6, ..settings() };
    let mut now = START;
    let start = || balancer(budget_settings.clone(), 4);
    let is_retried = |balancer: &mut Balancer, now| {
        let (id, verdict) = balancer.place(now, connection_request());
        matches!(
            balancer.on_attempt_failed(now, id, forwarded_to(verdict), Outcome::Error),
            Verdict::Forward(..)
        )
    };
    let (mut predecessor, mut successor) = (start(), start());
    assert!(is_retried(&mut predecessor, now), "the first of two retries");
    now = now + ms(4_000);
    let window = predecessor.hand_over_retry_budget(now);
    successor.take_over_retry_budget(now, window, ms(500));
    assert!(!is_retried(&mut predecessor, now), "the other process now has the budget");
    assert!(is_retried(&mut successor, now), "the second of two retries");
    assert!(!is_retried(&mut successor, now), "an upgrade does not double the budget");
    now = now + ms(6_500);
    assert!(is_retried(&mut successor, now), "the first retry is outside the window");
    assert!(!is_retried(&mut successor, now));
    // The successor has ended, and its retries are unknown; so are those of a process of an older version.
    predecessor.take_over_retry_budget(now, None, ms(0));
    let mut third = start();
    third.take_over_retry_budget(now, None, ms(500));
    assert!(!is_retried(&mut predecessor, now) && !is_retried(&mut third, now));
    let window = third.hand_over_retry_budget(now);
    assert_eq!(window, None, "an unknown window is not handed over");
    now = now + ms(10_100);
    assert!(is_retried(&mut predecessor, now));
}
