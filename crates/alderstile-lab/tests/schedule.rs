//! Schedules that can't be played are refused with file, line and key, and run nothing.

mod support;

use std::process::Command;

use alderstile_lab::schedule::{Party, Plan};
use support::Folder;

const HEAD: &str =
    "title = \"t\"\nlength_s = 10.0\n[nodes]\ncount = 4\nzones = [\"a\", \"b\"]\n[hosts]\ncount = 2\n";

fn refused(text: &str) -> String {
    Plan::parse("f.toml", text, None).expect_err("refused").to_string()
}

fn with_fault(fault: &str) -> String {
    format!("{HEAD}[[faults]]\nat_s = 1.0\n{fault}\n")
}

#[test]
fn a_faulty_schedule_is_refused_with_line_and_key() {
    // The first of a fault's lines is line 9.
    for (fault, line, key, what) in [
        ("kind = \"explode\"", 10, "\"explode\"", "unknown variant"),
        ("kind = \"kill\"", 8, "faults[0].on", "hits nobody"),
        ("kind = \"kill\"\non = [\"n4\"]", 11, "faults[0].on", "n0 to n3"),
        ("kind = \"kill\"\non = [\"zone:c\"]", 11, "faults[0].on", "no such zone"),
        ("kind = \"kill\"\non = [\"share:1.5\"]", 11, "faults[0].on", "from 0 to 1"),
        ("kind = \"kill\"\non = [\"h0\"]", 11, "faults[0].on", "about nodes"),
        ("kind = \"pause\"\non = [\"n0\"]", 8, "faults[0].for_s", "needs it"),
        ("kind = \"pause\"\non = [\"n0\"]\nfor_s = -1.0", 12, "faults[0].for_s", "above 0"),
        ("kind = \"loss\"", 8, "faults[0].share", "needs it"),
        ("kind = \"loss\"\nshare = 2.0", 11, "faults[0].share", "from 0 to 1"),
        ("kind = \"cut\"\nshare = 0.5", 11, "faults[0].share", "not for cut"),
        ("kind = \"cut\"\non = [\"n0\"]", 11, "faults[0].on", "from and to"),
        ("kind = \"delay\"\nms = 1e9", 11, "faults[0].ms", "600000"),
        ("kind = \"list_lies\"\non = [\"n0\"]", 8, "faults[0].hosts", "needs them"),
        ("kind = \"kill\"\non = [\"n0\"]\nwhen = 3", 12, "when", "unknown field"),
        ("kind = \"kill\"\non = [\"n0\"]\nfor_s = nan", 12, "faults[0].for_s", "above 0"),
        (
            "kind = \"kill\"\non = [\"n0\"]\nfor_s = 3.0\nevery_s = 2.0",
            13,
            "faults[0].every_s",
            "at least for_s",
        ),
        ("kind = \"kill\"\non = [\"n0\"]\nevery_s = 1e-9", 12, "faults[0].every_s", "times in the run"),
        ("kind = \"kill\"\non = [\"n0\"]\n[members]\nperiod_ms = 1", 13, "members.period_ms", "60000"),
        ("kind = \"kill\"\non = [\"n0\"]\n[members]\nclock_rate = 0.7", 13, "members.clock_rate", "0.5"),
    ] {
        let error = refused(&with_fault(fault));
        let (place, rest) = error.split_once(": ").expect("a place");
        assert_eq!(place, format!("f.toml:{line}"), "{fault}: {error}");
        assert!(rest.contains(key) && rest.contains(what), "{fault}: {error}");
    }
    assert!(
        refused("title = \"t\"\nlength_s = 0.0\nnodes = { count = 1 }").starts_with("f.toml:2: length_s")
    );
    assert!(
        refused("title = \"t\"\nlength_s = 1.0\n[nodes]\ncount = 0").starts_with("f.toml:4: nodes.count")
    );
    assert!(refused("title = 3").starts_with("f.toml:1: "));
    assert!(refused("").contains("title"));
}

#[test]
fn faults_that_contradict_each_other_are_refused() {
    let text = with_fault(
        "for_s = 3.0\nkind = \"kill\"\non = [\"n0\"]\n[[faults]]\nat_s = 2.0\nfor_s = 1.0\nkind = \"pause\"\non = [\"nodes\"]",
    );
    let error = refused(&text);
    assert!(error.contains("faults[1].on") && error.contains("n0 is already under kill"), "{error}");
    let text = text.replace("at_s = 2.0", "at_s = 5.0");
    Plan::parse("f.toml", &text, None).expect("one after the other");
}

#[test]
fn what_is_drawn_hangs_on_the_seed_alone() {
    let text = with_fault("kind = \"kill\"\non = [\"share:0.5\"]");
    let hit = |seed| Plan::parse("f.toml", &text, Some(seed)).expect("fine").faults[0].on.clone();
    assert_eq!(hit(1), hit(1));
    assert_eq!(hit(1).len(), 2);
    assert!((2..20).any(|seed| hit(seed) != hit(1)), "other seeds hit others");
}

#[test]
fn a_zone_names_those_that_a_fault_is_about() {
    let text = with_fault("kind = \"host_refuse\"\non = [\"zone:b\"]");
    let plan = Plan::parse("f.toml", &text, None).expect("fine");
    assert_eq!(plan.faults[0].on.iter().collect::<Vec<_>>(), [&Party::Host(1)]);
}

#[test]
fn the_command_says_so_with_2_and_runs_nothing() {
    let folder = Folder::new();
    let file = folder.0.join("bad.toml");
    std::fs::write(&file, with_fault("kind = \"pause\"\non = [\"n0\"]")).expect("written");
    let out = folder.0.join("out");
    let run =
        Command::new(support::lab()).arg("run").arg(&file).arg("--out").arg(&out).output().expect("the lab");
    assert_eq!(run.status.code(), Some(2));
    let said = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(said.contains("bad.toml:8: faults[0].for_s: pause needs it"), "{said}");
    assert!(!out.exists(), "nothing was begun");
}

#[test]
fn a_history_that_was_cut_short_is_not_checked() {
    let folder = Folder::new();
    let file = folder.0.join("history.jsonl");
    let run = "{\"t\":0.0,\"e\":\"run\",\"title\":\"t\",\"seed\":1,\"on\":\"processes\",\"length_s\":1.0,\"nodes\":1,\
               \"hosts\":1,\"classes\":{},\"grace_s\":0.5,\"period_s\":0.0}\n";
    for (text, what) in [
        ("", "history.jsonl:1: no run"),
        (run, "history.jsonl:1: cut short"),
        (&format!("{run}{{\"t\":1.0,\"e\":\"en"), "history.jsonl:2: "),
        (&format!("{run}{{\"t\":1.0,\"e\":\"unheard_of\"}}\n"), "history.jsonl:2: "),
    ] {
        std::fs::write(&file, text).expect("written");
        let check = Command::new(support::lab()).arg("check").arg(&file).output().expect("the lab");
        assert_eq!(check.status.code(), Some(2), "{text}");
        let said = String::from_utf8_lossy(&check.stderr).into_owned();
        assert!(said.contains(what), "{said}");
    }
    std::fs::write(&file, format!("{run}{{\"t\":1.0,\"e\":\"end\"}}\n")).expect("written");
    let check = Command::new(support::lab()).arg("check").arg(&file).output().expect("the lab");
    assert_eq!(check.status.code(), Some(0));
}
