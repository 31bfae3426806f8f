//! Each checker is seen to find what it is for, in nodes that break one rule on purpose.

mod support;

use support::{broken, node, play};

/// Two nodes, two hosts, and a host that drains.
const SCHEDULE: &str = r#"
title = "a node that breaks a rule"
length_s = 5.0
nodes = { count = 2 }
hosts = { count = 2 }

[[clients]]
class = "chat"
semantics = "retryable"
count = 6
hold_s = 2.0

[[clients]]
class = "order"
semantics = "fragile"
count = 4
hold_s = 0.5
wait_ms = 1000

[[faults]]
at_s = 0.5
for_s = 4.0
kind = "host_drain"
on = ["h1"]
"#;

/// The rules that a broken node breaks.
fn broken_by(what: &str) -> Vec<&'static str> {
    let report = play(SCHEDULE, broken(), &["--break", what]).expect("a run");
    let mut rules: Vec<&str> = report.violations.iter().map(|breach| breach.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn a_node_that_keeps_them_breaks_none() {
    let report = play(SCHEDULE, node(), &[]).expect("a run");
    assert!(report.passed(), "{:?}", report.violations);
    assert!(report.requests > 10 && report.served > Some(0.9), "{report:?}");
}

#[test]
fn a_request_that_is_never_answered_is_found() {
    assert_eq!(broken_by("mute"), ["one answer"]);
}

#[test]
fn a_request_that_is_closed_without_an_answer_is_found() {
    assert_eq!(broken_by("closes"), ["one answer"]);
}

#[test]
fn a_second_answer_is_found() {
    assert_eq!(broken_by("answers-twice"), ["one answer"]);
}

#[test]
fn an_effect_that_comes_twice_is_found() {
    assert!(broken_by("sends-twice").contains(&"no effect twice"));
}

#[test]
fn a_receipt_that_no_host_gave_is_found() {
    assert!(broken_by("forges").contains(&"no effect twice"));
}

#[test]
fn an_attempt_after_the_final_answer_is_found() {
    assert!(broken_by("refuses-and-sends").contains(&"no effect twice"));
}

#[test]
fn what_goes_to_a_draining_host_is_found() {
    assert!(broken_by("hears-no-list").contains(&"draining"));
}

#[test]
fn a_connection_that_is_cut_off_is_found() {
    assert!(broken_by("cuts-off").contains(&"not cut off"));
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    assert!(broken_by("crash").contains(&"process"));
}

#[test]
fn a_member_that_holds_a_healthy_one_dead_is_found() {
    let schedule = SCHEDULE.replace("[[faults]]", "[members]\nperiod_ms = 200\n\n[[faults]]");
    let report = play(&schedule, broken(), &["--break", "sees-dead"]).expect("a run");
    assert!(report.violations.iter().any(|breach| breach.rule == "members"), "{report:?}");
    let kept = play(&schedule, node(), &[]).expect("a run");
    assert!(kept.passed(), "{:?}", kept.violations);
}

#[test]
fn what_was_healed_excuses_nothing_after_it() {
    // Nobody reaches a node before the ways are whole again, so that all that is found comes after it.
    let cut = "[[faults]]\nat_s = 0.0\nkind = \"cut\"\nfrom = [\"clients\"]\nto = [\"nodes\"]\n";
    let healed = format!("{SCHEDULE}\n{cut}[[faults]]\nat_s = 1.0\nkind = \"heal\"\n");
    let report = play(&healed, broken(), &["--break", "closes"]).expect("a run");
    assert!(report.violations.iter().any(|breach| breach.rule == "one answer"), "{report:?}");
}
