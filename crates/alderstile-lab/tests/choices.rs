//! What nodes share out among themselves, as processes and in simulated time.

mod support;

use alderstile_lab::emulated::{Choice, run};
use alderstile_lab::history::History;
use alderstile_lab::schedule::Plan;
use support::{node, run_schedule};

const FAULTS: &str = r#"
[[faults]]
at_s = 3.0
kind = "kill"
on = ["n5"]
[[faults]]
at_s = 4.0
for_s = 2.0
kind = "host_kill"
on = ["h1"]
[[faults]]
at_s = 6.0
for_s = 3.0
kind = "cut"
from = ["n0", "n2"]
to = ["n1", "n3", "n4"]
[[faults]]
at_s = 6.5
for_s = 2.0
kind = "cut"
from = ["n1"]
to = ["h2", "h3", "h4", "h5"]
[[faults]]
at_s = 9.0
for_s = 2.0
kind = "loss"
share = 0.3
from = ["nodes"]
to = ["nodes"]
"#;

fn schedule(on: &str) -> String {
    format!(
        "title = \"choices\"\nlength_s = 13.0\nnodes = {{ count = 6, zones = [\"a\", \"b\"] }}\n\
         hosts = {{ count = 6 }}\nmembers = {{ period_ms = 200, suspicion = 2.0 }}\n\
         choices = {{ on = [{on}], size = 2, users = 2, hold_s = 2.0 }}\n\
         [[clients]]\nclass = \"chat\"\nsemantics = \"retryable\"\ncount = 60\n\
         [[clients]]\nclass = \"order\"\nsemantics = \"fragile\"\ncount = 10\nhold_s = 1.0\n{FAULTS}"
    )
}

#[test]
fn processes_that_use_a_part_of_the_hosts_keep_the_rules() {
    let report = run_schedule(&schedule("\"subsets\""), node(), &[]).expect("a run");
    assert_eq!(report.violations, [], "{report:?}");
    assert!(report.served.is_some_and(|share| share > 0.85), "{report:?}");
}

#[test]
fn emulated_nodes_use_a_part_of_the_hosts_and_serve_as_many() {
    let used = |on: &str, choice: &str| {
        let plan = Plan::parse("test", &schedule(on), None).expect("a fine schedule");
        let choice: Choice = choice.parse().expect("a choice");
        let sums = run(&plan, &choice, &History::discard()).expect("a run");
        let traffic = sums.traffic.expect("clients");
        (traffic.used.0 / traffic.used.1 as f64, traffic.share())
    };
    let (all, with_all) = used("", "module");
    let (part, with_part) = used("\"subsets\"", "module");
    assert!(all > 4.0 && part < 3.0, "{all} {part}");
    assert!(with_part > with_all - 0.05, "{with_all} {with_part}");
    assert_eq!(used("", "module+subsets"), (part, with_part), "named in the file or beside it");
}

#[test]
fn faulty_choices_are_named() {
    let bad = |to: &str| {
        let text = schedule("").replace("size = 2", to);
        Plan::parse("f", &text, None).expect_err("a fault").to_string()
    };
    assert!(bad("size = 0").contains("choices.size"));
    assert!(bad("size = 2, sizes = 3").contains("sizes"));
    assert!(Plan::parse("f", &schedule("\"nothing\""), None).is_err());
    assert!("random+subsets".parse::<Choice>().is_err() && "module+nothing".parse::<Choice>().is_err());
}
