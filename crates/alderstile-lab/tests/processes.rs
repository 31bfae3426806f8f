//! Runs on real processes under faults, and their cleanup: no process outlives a run.

mod support;

use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::{TempDir, node, remaining_processes, run_schedule};

fn schedule(faults: &str) -> String {
    format!(
        r#"
title = "several processes"
length_s = 8.0
nodes = {{ count = 4, zones = ["a", "b"] }}
hosts = {{ count = 4 }}

[[clients]]
class = "chat"
semantics = "retryable"
count = 24

[[clients]]
class = "order"
semantics = "fragile"
count = 8
hold_s = 0.7
{faults}"#
    )
}

/// Asserts that a run with these faults violates no rule.
fn assert_no_violation(faults: &str) {
    let report = run_schedule(&schedule(faults), node(), &[]).expect("a run");
    assert!(report.passed(), "{:#?}", report.violations);
    // The limits are generous: this only checks that clients are served at all.
    assert!(report.requests > 30 && report.served > Some(0.5), "{report:#?}");
}

#[test]
fn killed_paused_and_stopped_nodes_violate_no_rule() {
    assert_no_violation(
        r#"
[[faults]]
at_s = 1.0
for_s = 1.5
kind = "kill"
on = ["n0"]
[[faults]]
at_s = 2.0
for_s = 1.0
kind = "pause"
on = ["n1"]
[[faults]]
at_s = 3.0
for_s = 4.0
kind = "stop"
on = ["n2"]
[[faults]]
at_s = 4.0
kind = "replace"
on = ["n3"]
[[faults]]
at_s = 5.0
kind = "reload"
on = ["nodes"]
"#,
    );
}

#[test]
fn cut_and_delayed_links_violate_no_rule() {
    assert_no_violation(
        r#"
[[faults]]
at_s = 1.0
for_s = 1.5
kind = "cut"
from = ["n0"]
to = ["h0", "h1"]
[[faults]]
at_s = 2.0
for_s = 1.5
kind = "cut_one_way"
from = ["n1"]
to = ["hosts"]
[[faults]]
at_s = 3.0
for_s = 2.0
kind = "delay"
ms = 60.0
from = ["zone:b"]
to = ["hosts"]
[[faults]]
at_s = 5.0
for_s = 1.0
kind = "loss"
share = 0.2
"#,
    );
}

#[test]
fn wrong_lists_and_failing_hosts_violate_no_rule() {
    assert_no_violation(
        r#"
[[faults]]
at_s = 1.0
for_s = 2.0
kind = "list_lies"
on = ["n0", "n1"]
hosts = ["h0", "h1"]
[[faults]]
at_s = 1.5
for_s = 2.0
kind = "host_kill"
on = ["h2"]
[[faults]]
at_s = 2.0
for_s = 1.0
kind = "list_refuses"
on = ["n2"]
[[faults]]
at_s = 3.0
for_s = 2.0
kind = "host_drain"
on = ["h3"]
[[faults]]
at_s = 4.0
for_s = 2.0
kind = "host_slow"
ms = 150.0
on = ["h0"]
"#,
    );
}

#[test]
fn an_interrupted_run_leaves_no_process_behind() {
    let dir = TempDir::new();
    let file = dir.0.join("schedule.toml");
    // A suspended process can't exit by itself.
    let paused = "[[faults]]\nat_s = 0.2\nfor_s = 30.0\nkind = \"pause\"\non = [\"n0\"]\n";
    std::fs::write(&file, schedule(paused)).expect("written");
    let mut lab = Command::new(support::lab());
    let lab = lab.arg("run").arg(&file).arg("--out").arg(dir.0.join("out")).arg("--program").arg(node());
    let mut lab = lab.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the lab");
    let dir_name = format!("alderstile-lab-{}-", lab.id());
    let started = Instant::now();
    while remaining_processes(&dir_name).len() < 4 {
        assert!(started.elapsed() < Duration::from_secs(20), "four nodes have started");
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_millis(700));
    let pid = rustix::process::Pid::from_raw(lab.id().cast_signed()).expect("a process");
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("interrupted");
    let status = lab.wait().expect("it ends");
    assert_eq!(status.code(), Some(2), "nothing was checked");
    assert_eq!(remaining_processes(&dir_name), Vec::<String>::new());
}

#[test]
fn a_program_that_does_not_start_ends_the_run_with_an_error() {
    let error = run_schedule(&schedule(""), "/bin/false".into(), &[]).expect_err("no node starts");
    assert!(error.to_string().contains("ended"), "{error}");
}
