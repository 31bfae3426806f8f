//! Membership of the nodes under faults, in emulated runs and on processes.

mod support;

use std::thread;

use alderstile_lab::check::Report;
use alderstile_lab::emulated::Strategy;
use support::{node, run_schedule};

const FAULTS: &str = r#"
[[faults]]
at_s = 3.0
kind = "kill"
on = ["n4"]
[[faults]]
at_s = 6.0
for_s = 0.3
kind = "pause"
on = ["n1"]
[[faults]]
at_s = 7.0
for_s = 3.0
kind = "cut"
from = ["n0", "n2"]
to = ["n1", "n3", "n4", "n5"]
[[faults]]
at_s = 8.0
for_s = 4.0
kind = "duplicate"
share = 0.3
from = ["nodes"]
to = ["nodes"]
[[faults]]
at_s = 8.0
for_s = 4.0
kind = "damage"
share = 0.1
from = ["nodes"]
to = ["nodes"]
[[faults]]
at_s = 11.0
for_s = 1.0
kind = "stop"
on = ["n5"]
"#;

fn schedule(nodes: usize, length: f64, faults: &str) -> String {
    format!(
        "title = \"members\"\nlength_s = {length:?}\nnodes = {{ count = {nodes}, zones = [\"a\", \"b\"] }}\n\
         hosts = {{ count = 2 }}\n[members]\nperiod_ms = 200\n[ways]\ndelay_ms = 0.5\njitter_ms = 1.0\n\
         [[clients]]\nclass = \"chat\"\nsemantics = \"retryable\"\ncount = 8\n{faults}"
    )
}

/// Emulates a schedule; returns the bytes of its history and its report.
fn emulate(schedule: &str, seed: u64) -> (Vec<u8>, Report) {
    let (history, report, _) = support::emulate(schedule, Strategy::Alderstile, seed);
    (history, report)
}

#[test]
fn the_same_schedule_and_seed_give_a_byte_identical_history() {
    let text = schedule(40, 30.0, FAULTS);
    let runs: Vec<_> = (0..4)
        .map(|_| {
            thread::spawn({
                let text = text.clone();
                move || emulate(&text, 7).0
            })
        })
        .collect();
    let first = emulate(&text, 7).0;
    for run in runs {
        assert!(run.join().expect("a run") == first);
    }
    assert!(emulate(&text, 8).0 != first, "another seed gives another history");
}

#[test]
fn emulated_members_detect_deaths_splits_and_returns_in_time() {
    for seed in 1..=20 {
        let (_, report) = emulate(&schedule(40, 30.0, FAULTS), seed);
        assert!(report.passed(), "seed {seed}: {:?}", report.violations);
        let membership = report.membership.expect("a membership report");
        assert_eq!(membership.detection_delays_s.len(), 1, "seed {seed}: all members detect the killed node");
    }
}

#[test]
fn emulated_members_without_initial_knowledge_find_each_other() {
    let unknown = schedule(40, 30.0, "").replace("period_ms = 200", "period_ms = 200\nknow_all = false");
    let (history, report) = emulate(&unknown, 3);
    assert!(report.passed(), "{:?}", report.violations);
    let text = String::from_utf8(history).expect("text");
    assert_eq!(
        text.matches("\"state\":\"alive\"").count(),
        40 * 39,
        "each member reports each other member alive"
    );
}

#[test]
fn different_clock_rates_cause_no_false_positive() {
    let rates = schedule(30, 60.0, "").replace("period_ms = 200", "period_ms = 200\nclock_rate = 0.2");
    let (_, report) = emulate(&rates, 5);
    assert!(
        report.passed() && report.membership.expect("a membership report").false_positives == 0,
        "{:?}",
        report.violations
    );
}

#[test]
fn processes_track_each_other_through_a_kill_a_pause_a_split_and_a_planned_stop() {
    let report = run_schedule(&schedule(6, 16.0, FAULTS), node(), &[]).expect("a run");
    assert!(report.passed(), "{:#?}", report.violations);
    assert!(report.served > Some(0.5), "{report:?}");
    assert_eq!(
        report.membership.expect("a membership report").detection_delays_s.len(),
        1,
        "all members detect the killed node"
    );
}

#[test]
fn a_replacement_process_is_the_same_member() {
    let faults = "[[faults]]\nat_s = 2.0\nkind = \"replace\"\non = [\"n1\"]\n\
                  [[faults]]\nat_s = 5.0\nkind = \"replace\"\non = [\"n1\"]\n";
    let report = run_schedule(&schedule(3, 9.0, faults), node(), &[]).expect("a run");
    assert!(report.passed(), "{:#?}", report.violations);
    let membership = report.membership.expect("a membership report");
    assert_eq!(
        (membership.false_positives, membership.detection_delays_s.len()),
        (0, 0),
        "no member reported it dead: {membership:?}"
    );
}
