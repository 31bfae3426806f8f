//! The facade hands on what the policy decides, and keeps its timers and numbers.

use alderstile::facade::{Answer, Ask, Facade};
use alderstile::interface::*;

mod support;
use support::{entry, ms, settings};

const START: Micros = ms_const(1_000_000);

const fn ms_const(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn ask() -> Ask {
    Ask { class: 0, group: None, key: None, hint: None, remaining: ms(1_200) }
}

fn facade(settings: Settings, servers: u64) -> Facade {
    let mut facade = Facade::new(settings, 7, START);
    facade.report_list(START, ListKind::Full, (1..=servers).map(entry).collect());
    facade
}

fn tried(answer: Answer) -> ServerId {
    match answer {
        Answer::Try(server, _) => server,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_is_tried_at_one_server_after_the_other_and_then_answered() {
    let mut facade = facade(settings(), 3);
    let (id, mut answer) = facade.pick(START, ask());
    let mut servers = Vec::new();
    for _ in 0..3 {
        let server = tried(answer);
        assert!(!servers.contains(&server));
        servers.push(server);
        answer = facade.report_failed(START, id, server, Outcome::Error);
    }
    assert!(matches!(answer, Answer::Refuse(Some(_))), "{answer:?}");
}

#[test]
fn requests_have_numbers_of_their_own_and_count_where_they_are() {
    let mut facade = facade(settings(), 2);
    let (first, answer) = facade.pick(START, ask());
    let one = tried(answer);
    facade.report_up(START, first, ms(10));
    let (second, answer) = facade.pick(START, ask());
    assert_ne!(first, second);
    assert_ne!(tried(answer), one, "the other one is lower");
    facade.report_left(START, second);
    facade.report_ended(START, first, one, Outcome::Ok);
    let adopted = facade.adopt(START, ask(), one);
    assert!(adopted != first && adopted != second);
    assert_ne!(tried(facade.pick(START, ask()).1), one);
}

#[test]
fn with_no_server_a_request_is_refused_at_once() {
    let mut facade = facade(settings(), 0);
    assert!(matches!(facade.pick(START, ask()).1, Answer::Refuse(_)));
}

#[test]
fn timers_come_due_in_their_turn() {
    let mut facade = Facade::new(Settings { must_ask: true, ..settings() }, 7, START);
    assert!(!facade.tick(START).watch, "nothing is due at the start");
    let (mut now, mut watched) = (START, 0);
    for _ in 0..20 {
        let due = facade.next_due().expect("a timer is always set");
        assert!(due > now, "what was due is done");
        now = due;
        watched += u32::from(facade.tick(now).watch);
    }
    assert_eq!(watched, 1, "watched once, and not again while that holds");
    facade.report_list(now, ListKind::Failed, Vec::new());
    while !facade.tick(now).watch {
        now = facade.next_due().expect("a timer");
        assert!(now < START + ms(60_000), "asked again soon");
    }
}

#[test]
fn what_is_to_be_done_at_once_is_due_at_once() {
    let mut facade = facade(Settings { may_tell: true, ..settings() }, 2);
    for _ in 0..6 {
        let (id, _) = facade.pick(START, ask());
        facade.report_up(START, id, ms(10));
    }
    let (id, _) = facade.pick(START, ask());
    facade.report_up(START, id, ms(400));
    assert_eq!(facade.next_due(), Some(Micros(0)));
    let chores = facade.tick(START);
    assert_eq!(chores.tell.len(), 1, "sockets tell no delay, so the slow set-up is told");
    assert!(facade.tick(START).tell.is_empty());
    assert!(facade.next_due() > Some(START));
    // Another node that hears of it sends nothing there.
    let mut other = self::facade(settings(), 2);
    other.report_peer(START, 1, chores.tell[0].clone());
    let first = tried(other.pick(START, ask()).1);
    assert_eq!(tried(other.pick(START, ask()).1), first);
}

#[test]
fn clients_of_a_server_above_the_mean_are_named_for_a_move() {
    let mut facade = facade(settings(), 2);
    let mut ids = Vec::new();
    for _ in 0..30 {
        ids.push(facade.adopt(START, ask(), ServerId(1)));
    }
    ids.iter().for_each(|&id| facade.report_load(START, id, 100.0));
    let mut moves = Vec::new();
    let mut now = START;
    while now < START + ms(6_000) {
        moves.extend(facade.tick(now).moves);
        now = facade.next_due().expect("a timer");
    }
    assert!(!moves.is_empty() && moves.iter().all(|id| ids.contains(id)));
}
