//! Each checker finds the violations of its rule, in runs of a node that breaks the rule on purpose.

mod support;

use support::{broken_node, node, run_schedule};

/// Two nodes and two hosts, one of which drains.
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

/// Returns the rules that a node violates with this value of `--break`.
fn rules_violated_by(fault: &str) -> Vec<&'static str> {
    let report = run_schedule(SCHEDULE, broken_node(), &["--break", fault]).expect("a run");
    let mut rules: Vec<&str> = report.violations.iter().map(|violation| violation.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn a_correct_node_violates_no_rule() {
    let report = run_schedule(SCHEDULE, node(), &[]).expect("a run");
    assert!(report.passed(), "{:?}", report.violations);
    assert!(report.requests > 10 && report.served > Some(0.9), "{report:?}");
}

#[test]
fn a_request_without_an_answer_is_found() {
    assert_eq!(rules_violated_by("mute"), ["one answer"]);
}

#[test]
fn a_connection_closed_without_an_answer_is_found() {
    assert_eq!(rules_violated_by("closes"), ["one answer"]);
}

#[test]
fn a_second_answer_is_found() {
    assert_eq!(rules_violated_by("answers-twice"), ["one answer"]);
}

#[test]
fn a_request_executed_twice_is_found() {
    assert!(rules_violated_by("sends-twice").contains(&"no effect twice"));
}

#[test]
fn a_forged_receipt_is_found() {
    assert!(rules_violated_by("forges").contains(&"no effect twice"));
}

#[test]
fn an_attempt_after_the_final_answer_is_found() {
    assert!(rules_violated_by("refuses-and-sends").contains(&"no effect twice"));
}

#[test]
fn a_request_to_a_draining_host_is_found() {
    assert!(rules_violated_by("hears-no-list").contains(&"draining"));
}

#[test]
fn a_connection_cut_off_by_the_node_is_found() {
    assert!(rules_violated_by("cuts-off").contains(&"not cut off"));
}

#[test]
fn a_crash_of_a_process_is_found() {
    assert!(rules_violated_by("crash").contains(&"process"));
}

#[test]
fn a_member_that_reports_a_healthy_member_dead_is_found() {
    let schedule = SCHEDULE.replace("[[faults]]", "[members]\nperiod_ms = 200\n\n[[faults]]");
    let report = run_schedule(&schedule, broken_node(), &["--break", "sees-dead"]).expect("a run");
    assert!(report.violations.iter().any(|violation| violation.rule == "members"), "{report:?}");
    let correct = run_schedule(&schedule, node(), &[]).expect("a run");
    assert!(correct.passed(), "{:?}", correct.violations);
}

#[test]
fn a_healed_fault_excuses_no_later_violation() {
    // The cut keeps all clients from the nodes, so every violation found occurs after the links are healed.
    let cut = "[[faults]]\nat_s = 0.0\nkind = \"cut\"\nfrom = [\"clients\"]\nto = [\"nodes\"]\n";
    let healed = format!("{SCHEDULE}\n{cut}[[faults]]\nat_s = 1.0\nkind = \"heal\"\n");
    let report = run_schedule(&healed, broken_node(), &["--break", "closes"]).expect("a run");
    assert!(report.violations.iter().any(|violation| violation.rule == "one answer"), "{report:?}");
}
