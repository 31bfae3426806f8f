//! Subsetting: nodes that each use a subset of the hosts, as processes and in simulated time.

mod support;

use alderstile_lab::emulated::{StrategySpec, run};
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

fn schedule(features: &str) -> String {
    format!(
        "title = \"choices\"\nlength_s = 13.0\nnodes = {{ count = 6, zones = [\"a\", \"b\"] }}\n\
         hosts = {{ count = 6 }}\nmembers = {{ period_ms = 200, suspicion = 2.0 }}\n\
         choices = {{ on = [{features}], size = 2, users = 2, hold_s = 2.0 }}\n\
         [[clients]]\nclass = \"chat\"\nsemantics = \"retryable\"\ncount = 60\n\
         [[clients]]\nclass = \"order\"\nsemantics = \"fragile\"\ncount = 10\nhold_s = 1.0\n{FAULTS}"
    )
}

#[test]
fn node_processes_with_host_subsets_pass_the_checks() {
    let report = run_schedule(&schedule("\"subsets\""), node(), &[]).expect("run succeeds");
    assert_eq!(report.violations, [], "{report:?}");
    assert!(report.served.is_some_and(|share| share > 0.85), "{report:?}");
}

#[test]
fn emulated_nodes_with_host_subsets_use_fewer_hosts_and_serve_as_many_clients() {
    let measure = |features: &str, strategy: &str| {
        let plan = Plan::parse("test", &schedule(features), None).expect("valid schedule");
        let strategy: StrategySpec = strategy.parse().expect("valid strategy");
        let metrics = run(&plan, &strategy, &History::discard()).expect("run succeeds");
        let traffic = metrics.traffic.expect("traffic metrics");
        (traffic.hosts_used.0 / traffic.hosts_used.1 as f64, traffic.served_share())
    };
    let (all_hosts_used, all_hosts_served) = measure("", "module");
    let (subset_used, subset_served) = measure("\"subsets\"", "module");
    assert!(all_hosts_used > 4.0 && subset_used < 3.0, "{all_hosts_used} {subset_used}");
    assert!(subset_served > all_hosts_served - 0.05, "{all_hosts_served} {subset_served}");
    assert_eq!(
        measure("", "module+subsets"),
        (subset_used, subset_served),
        "a feature has the same effect in the strategy as in the schedule"
    );
}

#[test]
fn errors_in_subsetting_settings_name_the_key() {
    let error = |to: &str| {
        let text = schedule("").replace("size = 2", to);
        Plan::parse("f", &text, None).expect_err("invalid schedule").to_string()
    };
    assert!(error("size = 0").contains("choices.size"));
    assert!(error("size = 2, sizes = 3").contains("sizes"));
    assert!(Plan::parse("f", &schedule("\"nothing\""), None).is_err());
    assert!(
        "random+subsets".parse::<StrategySpec>().is_err()
            && "module+nothing".parse::<StrategySpec>().is_err()
    );
}
