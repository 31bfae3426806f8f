//! Invalid schedules are rejected with file, line and key before anything runs; so are incomplete histories.

mod support;

use std::process::Command;

use alderstile_lab::schedule::{Party, Plan};
use support::TempDir;

const HEAD: &str =
    "title = \"t\"\nlength_s = 10.0\n[nodes]\ncount = 4\nzones = [\"a\", \"b\"]\n[hosts]\ncount = 2\n";

fn rejected(text: &str) -> String {
    Plan::parse("f.toml", text, None).expect_err("the schedule is invalid").to_string()
}

fn with_fault(fault: &str) -> String {
    format!("{HEAD}[[faults]]\nat_s = 1.0\n{fault}\n")
}

#[test]
fn an_invalid_schedule_is_rejected_with_line_and_key() {
    // HEAD has 7 lines: the table header of the fault is line 8, its `at_s` line 9.
    for (fault, line, key, what) in [
        ("kind = \"explode\"", 10, "\"explode\"", "unknown variant"),
        ("kind = \"kill\"", 8, "faults[0].on", "has no target"),
        ("kind = \"kill\"\non = [\"n4\"]", 11, "faults[0].on", "n0 to n3"),
        ("kind = \"kill\"\non = [\"zone:c\"]", 11, "faults[0].on", "unknown zone"),
        ("kind = \"kill\"\non = [\"share:1.5\"]", 11, "faults[0].on", "from 0 to 1"),
        ("kind = \"kill\"\non = [\"h0\"]", 11, "faults[0].on", "acts on nodes"),
        ("kind = \"pause\"\non = [\"n0\"]", 8, "faults[0].for_s", "required for pause"),
        ("kind = \"pause\"\non = [\"n0\"]\nfor_s = -1.0", 12, "faults[0].for_s", "above 0"),
        ("kind = \"loss\"", 8, "faults[0].share", "required for loss"),
        ("kind = \"loss\"\nshare = 2.0", 11, "faults[0].share", "from 0 to 1"),
        ("kind = \"cut\"\nshare = 0.5", 11, "faults[0].share", "not allowed for cut"),
        ("kind = \"cut\"\non = [\"n0\"]", 11, "faults[0].on", "from and to"),
        ("kind = \"delay\"\nms = 1e9", 11, "faults[0].ms", "600000"),
        ("kind = \"list_lies\"\non = [\"n0\"]", 8, "faults[0].hosts", "required for list_lies"),
        ("kind = \"kill\"\non = [\"n0\"]\nwhen = 3", 12, "when", "unknown field"),
        ("kind = \"kill\"\non = [\"n0\"]\nfor_s = nan", 12, "faults[0].for_s", "above 0"),
        (
            "kind = \"kill\"\non = [\"n0\"]\nfor_s = 3.0\nevery_s = 2.0",
            13,
            "faults[0].every_s",
            "at least for_s",
        ),
        ("kind = \"kill\"\non = [\"n0\"]\nevery_s = 1e-9", 12, "faults[0].every_s", "occurrences in the run"),
        ("kind = \"kill\"\non = [\"n0\"]\n[members]\nperiod_ms = 1", 13, "members.period_ms", "60000"),
        ("kind = \"kill\"\non = [\"n0\"]\n[members]\nclock_rate = 0.7", 13, "members.clock_rate", "0.5"),
    ] {
        let error = rejected(&with_fault(fault));
        let (place, rest) = error.split_once(": ").expect("a place");
        assert_eq!(place, format!("f.toml:{line}"), "{fault}: {error}");
        assert!(rest.contains(key) && rest.contains(what), "{fault}: {error}");
    }
    assert!(
        rejected("title = \"t\"\nlength_s = 0.0\nnodes = { count = 1 }").starts_with("f.toml:2: length_s")
    );
    assert!(
        rejected("title = \"t\"\nlength_s = 1.0\n[nodes]\ncount = 0").starts_with("f.toml:4: nodes.count")
    );
    assert!(rejected("title = 3").starts_with("f.toml:1: "));
    assert!(rejected("").contains("title"));
}

#[test]
fn overlapping_faults_of_one_party_are_rejected() {
    let text = with_fault(
        "for_s = 3.0\nkind = \"kill\"\non = [\"n0\"]\n[[faults]]\nat_s = 2.0\nfor_s = 1.0\nkind = \"pause\"\non = [\"nodes\"]",
    );
    let error = rejected(&text);
    assert!(error.contains("faults[1].on") && error.contains("n0 is still affected by kill"), "{error}");
    let text = text.replace("at_s = 2.0", "at_s = 5.0");
    Plan::parse("f.toml", &text, None).expect("faults that do not overlap");
}

#[test]
fn random_choices_depend_only_on_the_seed() {
    let text = with_fault("kind = \"kill\"\non = [\"share:0.5\"]");
    let targets =
        |seed| Plan::parse("f.toml", &text, Some(seed)).expect("a valid schedule").faults[0].on.clone();
    assert_eq!(targets(1), targets(1));
    assert_eq!(targets(1).len(), 2);
    assert!((2..20).any(|seed| targets(seed) != targets(1)), "other seeds draw other targets");
}

#[test]
fn a_zone_selects_only_the_parties_that_the_fault_acts_on() {
    let text = with_fault("kind = \"host_refuse\"\non = [\"zone:b\"]");
    let plan = Plan::parse("f.toml", &text, None).expect("a valid schedule");
    assert_eq!(plan.faults[0].on.iter().collect::<Vec<_>>(), [&Party::Host(1)]);
}

#[test]
fn the_run_command_exits_with_2_on_an_invalid_schedule_and_runs_nothing() {
    let dir = TempDir::new();
    let file = dir.0.join("bad.toml");
    std::fs::write(&file, with_fault("kind = \"pause\"\non = [\"n0\"]")).expect("written");
    let out = dir.0.join("out");
    let run =
        Command::new(support::lab()).arg("run").arg(&file).arg("--out").arg(&out).output().expect("the lab");
    assert_eq!(run.status.code(), Some(2));
    let output = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(output.contains("bad.toml:8: faults[0].for_s: required for pause"), "{output}");
    assert!(!out.exists(), "the run was not started");
}

#[test]
fn an_incomplete_history_is_not_checked() {
    let dir = TempDir::new();
    let file = dir.0.join("history.jsonl");
    let run = "{\"t\":0.0,\"e\":\"run\",\"title\":\"t\",\"seed\":1,\"on\":\"processes\",\"length_s\":1.0,\"nodes\":1,\
               \"hosts\":1,\"classes\":{},\"grace_s\":0.5,\"period_s\":0.0}\n";
    for (text, what) in [
        ("", "history.jsonl:1: the first record is not a run"),
        (run, "history.jsonl:1: incomplete history"),
        (&format!("{run}{{\"t\":1.0,\"e\":\"en"), "history.jsonl:2: "),
        (&format!("{run}{{\"t\":1.0,\"e\":\"unheard_of\"}}\n"), "history.jsonl:2: "),
    ] {
        std::fs::write(&file, text).expect("written");
        let check = Command::new(support::lab()).arg("check").arg(&file).output().expect("the lab");
        assert_eq!(check.status.code(), Some(2), "{text}");
        let output = String::from_utf8_lossy(&check.stderr).into_owned();
        assert!(output.contains(what), "{output}");
    }
    std::fs::write(&file, format!("{run}{{\"t\":1.0,\"e\":\"end\"}}\n")).expect("written");
    let check = Command::new(support::lab()).arg("check").arg(&file).output().expect("the lab");
    assert_eq!(check.status.code(), Some(0));
}
