//! Several real processes with faults between them, and that nothing of a run stays behind.

mod support;

use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::{Folder, left_behind, node, play};

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

fn kept(faults: &str) {
    let report = play(&schedule(faults), node(), &[]).expect("a run");
    assert!(report.passed(), "{:#?}", report.violations);
    // Wide: what is at stake here is that they are served at all.
    assert!(report.requests > 30 && report.served > Some(0.5), "{report:#?}");
}

#[test]
fn killed_paused_and_stopped_nodes_break_no_rule() {
    kept(
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
fn cut_and_late_ways_break_no_rule() {
    kept(
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
fn lists_that_lie_and_hosts_that_fail_break_no_rule() {
    kept(
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
fn a_run_that_is_interrupted_leaves_no_process_behind() {
    let folder = Folder::new();
    let file = folder.0.join("schedule.toml");
    // A process that stands still can't end by itself.
    let paused = "[[faults]]\nat_s = 0.2\nfor_s = 30.0\nkind = \"pause\"\non = [\"n0\"]\n";
    std::fs::write(&file, schedule(paused)).expect("written");
    let mut lab = Command::new(support::lab());
    let lab = lab.arg("run").arg(&file).arg("--out").arg(folder.0.join("out")).arg("--program").arg(node());
    let mut lab = lab.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the lab");
    let named = format!("alderstile-lab-{}-", lab.id());
    let began = Instant::now();
    while left_behind(&named).len() < 4 {
        assert!(began.elapsed() < Duration::from_secs(20), "four nodes run");
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_millis(700));
    let pid = rustix::process::Pid::from_raw(lab.id().cast_signed()).expect("a process");
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("interrupted");
    let status = lab.wait().expect("it ends");
    assert_eq!(status.code(), Some(2), "nothing was checked");
    assert_eq!(left_behind(&named), Vec::<String>::new());
}

#[test]
fn a_program_that_does_not_start_ends_the_run_with_its_name() {
    let error = play(&schedule(""), "/bin/false".into(), &[]).expect_err("no node");
    assert!(error.to_string().contains("ended"), "{error}");
}
