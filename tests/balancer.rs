//! The balancer hands on what the policy decides, and keeps its timers and numbers.

use alderstile::balancer::{Balancer, ConnectionRequest, Verdict};
use alderstile::types::*;

mod support;
use support::{entry, ms, settings};

const START: Micros = ms_const(1_000_000);

const fn ms_const(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn ask() -> ConnectionRequest {
    ConnectionRequest { class: 0, group: None, key: None, expected_load: None, time_remaining: ms(1_200) }
}

fn balancer(settings: BalancerSettings, servers: u64) -> Balancer {
    let mut balancer = Balancer::new(settings, 7, START);
    balancer.on_endpoint_list(START, EndpointListKind::Full, (1..=servers).map(entry).collect());
    balancer
}

fn tried(answer: Verdict) -> ServerId {
    match answer {
        Verdict::Forward(server, _) => server,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_is_tried_at_one_server_after_the_other_and_then_answered() {
    let mut balancer = balancer(settings(), 3);
    let (id, mut answer) = balancer.place(START, ask());
    let mut servers = Vec::new();
    for _ in 0..3 {
        let server = tried(answer);
        assert!(!servers.contains(&server));
        servers.push(server);
        answer = balancer.on_attempt_failed(START, id, server, Outcome::Error);
    }
    assert!(matches!(answer, Verdict::Reject(Some(_))), "{answer:?}");
}

#[test]
fn requests_have_numbers_of_their_own_and_count_where_they_are() {
    let mut balancer = balancer(settings(), 2);
    let (first, answer) = balancer.place(START, ask());
    let one = tried(answer);
    balancer.on_established(START, first, ms(10));
    let (second, answer) = balancer.place(START, ask());
    assert_ne!(first, second);
    assert_ne!(tried(answer), one, "the other one is lower");
    balancer.on_client_disconnected(START, second);
    balancer.on_connection_ended(START, first, one, Outcome::Ok);
    let adopted = balancer.adopt_connection(START, ask(), one);
    assert!(adopted != first && adopted != second);
    assert_ne!(tried(balancer.place(START, ask()).1), one);
}

#[test]
fn with_no_server_a_request_is_refused_at_once() {
    let mut balancer = balancer(settings(), 0);
    assert!(matches!(balancer.place(START, ask()).1, Verdict::Reject(_)));
}

#[test]
fn timers_come_due_in_their_turn() {
    let mut balancer = Balancer::new(BalancerSettings { must_subscribe: true, ..settings() }, 7, START);
    assert!(!balancer.handle_timeout(START).watch_endpoints, "nothing is due at the start");
    let (mut now, mut watched) = (START, 0);
    for _ in 0..20 {
        let due = balancer.poll_timeout().expect("a timer is always set");
        assert!(due > now, "what was due is done");
        now = due;
        watched += u32::from(balancer.handle_timeout(now).watch_endpoints);
    }
    assert_eq!(watched, 1, "watched once, and not again while that holds");
    balancer.on_endpoint_list(now, EndpointListKind::Failed, Vec::new());
    while !balancer.handle_timeout(now).watch_endpoints {
        now = balancer.poll_timeout().expect("a timer");
        assert!(now < START + ms(60_000), "asked again soon");
    }
}

#[test]
fn what_is_to_be_done_at_once_is_due_at_once() {
    let set = BalancerSettings { gossip_allowed: true, servers_report_delay: false, ..settings() };
    let mut balancer = balancer(set.clone(), 2);
    for _ in 0..6 {
        let (id, _) = balancer.place(START, ask());
        balancer.on_established(START, id, ms(10));
    }
    let (id, _) = balancer.place(START, ask());
    balancer.on_established(START, id, ms(400));
    assert_eq!(balancer.poll_timeout(), Some(Micros(0)));
    let pending = balancer.handle_timeout(START);
    assert_eq!(pending.broadcasts.len(), 1, "servers tell no delay, so the slow set-up is told");
    assert!(balancer.handle_timeout(START).broadcasts.is_empty());
    assert!(balancer.poll_timeout() > Some(START));
    // Another node that hears of it sends nothing there.
    let mut other = self::balancer(set, 2);
    other.on_peer_message(START, 1, pending.broadcasts[0].clone());
    let first = tried(other.place(START, ask()).1);
    assert_eq!(tried(other.place(START, ask()).1), first);
}

#[test]
fn clients_of_a_server_above_the_mean_are_named_for_a_move() {
    let mut balancer = balancer(settings(), 2);
    let mut ids = Vec::new();
    for _ in 0..30 {
        ids.push(balancer.adopt_connection(START, ask(), ServerId(1)));
    }
    ids.iter().for_each(|&id| balancer.on_load_report(START, id, ServerId(1), 100.0));
    let mut moves = Vec::new();
    let mut now = START;
    while now < START + ms(6_000) {
        moves.extend(balancer.handle_timeout(now).migrations);
        now = balancer.poll_timeout().expect("a timer");
    }
    assert!(!moves.is_empty() && moves.iter().all(|id| ids.contains(id)));
}

#[test]
fn notes_of_late_messages_come_as_figures_of_a_load() {
    let mut balancer = balancer(settings(), 2);
    let ids = [1, 1, 2, 2].map(|server| balancer.adopt_connection(START, ask(), ServerId(server)));
    for (i, id) in ids.into_iter().enumerate() {
        balancer.on_load_report(START, id, ServerId(1 + i as u64 / 2), 50_000.0);
    }
    // A load for certain, and one that nothing follows: it is settled when that is due.
    balancer.on_load_report(START, ids[0], ServerId(1), 40_000.0);
    balancer.on_load_report(START, ids[3], ServerId(2), 90.0);
    let mut now = START;
    while now < START + ms(1_500) {
        balancer.handle_timeout(now);
        now = balancer.poll_timeout().expect("a timer");
    }
    assert_eq!(tried(balancer.place(now, ask()).1), ServerId(2), "the lower one");
    for second in 2..4 {
        balancer.on_load_report(START + ms(1_000 * second), ids[2], ServerId(2), 200.0);
    }
    let (_, answer) = balancer.place(START + ms(3_000), ask());
    assert_eq!(tried(answer), ServerId(1), "nothing lands where messages are late");
}

#[test]
fn a_host_that_is_back_gets_its_first_connection_within_five_seconds_and_its_budget() {
    // A small node: six hosts with ten connections each, and one request in 300 ms.
    for seed in 0..50 {
        let mut balancer = Balancer::new(settings(), seed, START);
        let (mut now, servers) = (START, 6);
        balancer.on_endpoint_list(now, EndpointListKind::Full, (1..=servers).map(entry).collect());
        for _ in 0..60 {
            let (id, answer) = balancer.place(now, ask());
            tried(answer);
            balancer.on_established(now, id, ms(10));
        }
        let host = ServerId(1);
        balancer.begin_maintenance(now, host);
        assert_eq!(balancer.unavailable_server_count(now), 1);
        let mut got = Vec::new();
        for step in 0..30 {
            now = now + ms(300);
            for id in balancer.handle_timeout(now).migrations {
                balancer.on_connection_ended(now, id, host, Outcome::Cancelled);
            }
            if step == 13 {
                balancer.end_maintenance(now, host, now);
                assert_eq!(balancer.unavailable_server_count(now), 0);
            }
            let (id, answer) = balancer.place(now, ask());
            balancer.on_established(now, id, ms(10));
            if tried(answer) == host {
                got.push(step);
            }
        }
        assert!(got.first().is_some_and(|first| *first > 13), "seed {seed}: {got:?}");
        // A quarter of what ten connections and three times that allow, over a span of two seconds.
        let most =
            got.iter().map(|from| got.iter().filter(|at| (*from..from + 7).contains(*at)).count()).max();
        assert!(most <= Some(14), "seed {seed}: {got:?}");
    }
}

#[test]
fn new_settings_keep_the_record_and_count_for_the_next_attempt() {
    let mut balancer = balancer(settings(), 3);
    let (held, answer) = balancer.place(START, ask());
    let one = tried(answer);
    balancer.on_established(START, held, ms(10));
    let (id, answer) = balancer.place(START, ask());
    let two = tried(answer);
    let mut fewer = BalancerSettings { max_attempts: 1, ..settings() };
    fewer.classes.push(support::class(Idempotency::NotIdempotent));
    balancer.apply_settings(START, fewer, None);
    let answer = balancer.on_attempt_failed(START, id, two, Outcome::Rejected);
    assert!(matches!(answer, Verdict::Reject(Some(_))), "no second attempt: {answer:?}");
    let (_, answer) = balancer.place(START, ConnectionRequest { class: 1, ..ask() });
    assert!(tried(answer) != one, "what it holds is still known, and the new class is served");
    // A stricter effect: what may have run once runs no more.
    let (id, answer) = balancer.place(START, ask());
    let three = tried(answer);
    let mut strict = settings();
    strict.classes =
        vec![support::class(Idempotency::NotIdempotent), support::class(Idempotency::NotIdempotent)];
    balancer.apply_settings(START, strict, None);
    assert_eq!(balancer.on_attempt_failed(START, id, three, Outcome::Reset), Verdict::Fail);
}

#[test]
fn cold_hosts_take_what_warm_ones_held_a_moment_ago_where_the_only_warm_one_is_nearly_empty() {
    let mut balancer = balancer(settings(), 5);
    let mut now = START;
    let mut held = Vec::new();
    for _ in 0..50 {
        let (id, answer) = balancer.place(now, ask());
        held.push((id, tried(answer)));
        balancer.on_established(now, id, ms(10));
    }
    for _ in 0..20 {
        now = now + ms(1_000);
        balancer.handle_timeout(now);
    }
    // A release: four hosts are replaced, and the one that stays is full and empty.
    let cold = |id| Endpoint { started: Some(now), ..entry(id) };
    balancer.on_endpoint_list(
        now,
        EndpointListKind::Full,
        std::iter::once(entry(1)).chain((6..10).map(cold)).collect(),
    );
    for (id, server) in held {
        balancer.on_connection_ended(now, id, server, Outcome::Cancelled);
    }
    let (id, answer) = balancer.place(now, ask());
    balancer.on_attempt_failed(now, id, tried(answer), Outcome::Rejected);
    now = now + ms(1_000);
    balancer.handle_timeout(now);
    let served = (0..8)
        .filter(|_| matches!(balancer.place(now, ask()).1, Verdict::Forward(server, _) if server.0 > 5));
    let served = served.count();
    assert!(served >= 4, "{served} of 8: a start's share of ten connections at each of four hosts");
}

#[test]
fn two_processes_of_a_node_have_one_budget_of_further_attempts() {
    let budget = RetryBudget { min_retries: 2.0, retry_ratio: 0.0, window: ms(10_000) };
    let set = BalancerSettings { retry_budget: Some(budget), max_attempts: 6, ..settings() };
    let mut now = START;
    let start = || balancer(set.clone(), 4);
    let again = |balancer: &mut Balancer, now| {
        let (id, answer) = balancer.place(now, ask());
        matches!(balancer.on_attempt_failed(now, id, tried(answer), Outcome::Error), Verdict::Forward(..))
    };
    let (mut before, mut after) = (start(), start());
    assert!(again(&mut before, now), "one of two");
    now = now + ms(4_000);
    let told = before.hand_over_retry_budget(now);
    after.take_over_retry_budget(now, told, ms(500));
    assert!(!again(&mut before, now), "from here on it is the other's");
    assert!(again(&mut after, now), "the second of two");
    assert!(!again(&mut after, now), "an upgrade doesn't double it");
    now = now + ms(6_500);
    assert!(again(&mut after, now), "the first one's attempt is out of the span");
    assert!(!again(&mut after, now));
    // The one that was to take over has ended, and what it spent is not known; nor what an older version did.
    before.take_over_retry_budget(now, None, ms(0));
    let mut third = start();
    third.take_over_retry_budget(now, None, ms(500));
    assert!(!again(&mut before, now) && !again(&mut third, now));
    let told = third.hand_over_retry_budget(now);
    assert_eq!(told, None, "what is not known is not told");
    now = now + ms(10_100);
    assert!(again(&mut before, now));
}
