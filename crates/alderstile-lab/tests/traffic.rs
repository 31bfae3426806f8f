//! Hosts, clients and decisions in simulated time.

use alderstile_lab::emulated::Strategy;
use alderstile_lab::schedule::Plan;

mod support;
use support::emulate;

fn schedule(nodes: usize, clients: usize, setup_ms: f64, faults: &str) -> String {
    format!(
        "title = \"fleet\"\nlength_s = 30.0\nnodes = {{ count = {nodes}, zones = [\"a\", \"b\", \"c\"] }}\n\
         hosts = {{ count = {}, setup_ms = {setup_ms:?}, cold_from = 0.1, cold_s = 30.0, fall_multiple = 1.5 }}\n\
         ways = {{ delay_ms = 1.0, jitter_ms = 1.0 }}\n\
         [[clients]]\nclass = \"chat\"\nsemantics = \"retryable\"\ncount = {clients}\nhold_s = 40.0\nrest_s = 4.0\nload_us = 8000.0\n\
         [[clients]]\nclass = \"order\"\nsemantics = \"fragile\"\ncount = 50\nhold_s = 1.0\n{faults}",
        nodes * 3 / 10,
    )
}

const ALL: &str = r#"
[[faults]]
at_s = 4.0
for_s = 2.0
kind = "kill"
on = ["share:0.3"]
[[faults]]
at_s = 7.0
for_s = 1.0
kind = "pause"
on = ["n1", "n2"]
[[faults]]
at_s = 8.0
for_s = 1.0
kind = "stop"
on = ["n4", "n5"]
[[faults]]
at_s = 10.0
for_s = 2.0
kind = "cut"
from = ["zone:b"]
to = ["h0", "h1", "h2"]
[[faults]]
at_s = 13.0
for_s = 2.0
kind = "host_kill"
on = ["h3"]
[[faults]]
at_s = 14.0
for_s = 2.0
kind = "host_drain"
on = ["h4"]
[[faults]]
at_s = 17.0
for_s = 6.0
kind = "host_silent"
on = ["h5"]
[[faults]]
at_s = 17.0
for_s = 2.0
kind = "list_lies"
on = ["zone:a"]
hosts = ["h6", "h7"]
[[faults]]
at_s = 20.0
for_s = 3.0
kind = "list_refuses"
on = ["nodes"]
[[faults]]
at_s = 21.0
for_s = 1.0
kind = "cut_one_way"
from = ["nodes"]
to = ["clients"]
"#;

#[test]
fn the_decisions_keep_the_rules_under_all_faults_and_a_run_is_the_same_each_time() {
    let text = schedule(30, 1_000, 5.0, ALL);
    let (first, report, sums) = emulate(&text, Strategy::Alderstile, 3);
    assert_eq!(report.violations, [], "{report:?}");
    let share = report.served.expect("clients");
    assert!((0.9..1.0).contains(&share), "faults cost something, and not much: {share}");
    let traffic = sums.traffic.expect("clients");
    assert!(traffic.mean_imbalance() < 1.6 && traffic.retries > 0 && traffic.migrations > 0, "{traffic:?}");
    let (second, ..) = emulate(&text, Strategy::Alderstile, 3);
    assert!(first == second, "the same inputs give the same history");
    let (other, ..) = emulate(&text, Strategy::Alderstile, 4);
    assert!(first != other);
}

const RESTARTS: &str = r#"
[[faults]]
at_s = 8.0
for_s = 3.0
kind = "kill"
on = ["share:0.7"]
"#;

#[test]
fn a_fleet_whose_nodes_restart_is_served_again() {
    // Found with 300 nodes: moves off late hosts came back as set-ups, which kept all hosts late for good (0.62 of what was wanted here).
    let (_, report, sums) = emulate(&schedule(60, 6_000, 30.0, RESTARTS), Strategy::Alderstile, 1);
    assert_eq!(report.violations, []);
    let share = sums.traffic.expect("clients").served_share();
    assert!(share > 0.88, "{share}");
}

const HOSTS_DIE: &str = r#"
[[faults]]
at_s = 8.0
for_s = 4.0
kind = "host_kill"
on = ["h0", "h1", "h2", "h3", "h4", "h5"]
"#;

#[test]
fn a_way_that_knows_no_cold_budget_pushes_hosts_over_and_the_decisions_do_not() {
    let text = schedule(60, 6_000, 30.0, HOSTS_DIE);
    let (_, report, sums) = emulate(&text, Strategy::LeastConnections, 1);
    assert!(report.violations.iter().any(|breach| breach.rule == "cold hosts"), "{report:?}");
    assert!(sums.traffic.expect("clients").cold_load_peak > 1.0);
    let (_, report, sums) = emulate(&text, Strategy::Alderstile, 1);
    assert_eq!(report.violations, []);
    let traffic = sums.traffic.expect("clients");
    assert!(traffic.cold_load_peak < 1.0 && traffic.cold_overloads == 0, "{traffic:?}");
}

#[test]
fn ways_that_know_more_spread_better() {
    let busiest = |way| {
        let (_, _, sums) = emulate(&schedule(30, 3_000, 5.0, ""), way, 1);
        sums.traffic.expect("clients").mean_imbalance()
    };
    let (least, two, random) =
        (busiest(Strategy::LeastConnections), busiest(Strategy::TwoChoices), busiest(Strategy::Random));
    assert!(least < two && two < random, "{least} {two} {random}");
    assert!(busiest(Strategy::RendezvousSubset) > least, "a node that uses a part of the hosts knows less");
}

#[test]
fn faulty_hosts_and_traffic_are_named() {
    let bad = |from: &str, to: &str| {
        let text = schedule(30, 10, 5.0, "").replace(from, to);
        assert!(text.contains(to));
        Plan::parse("f", &text, None).expect_err("a fault").to_string()
    };
    for (to, key) in [
        ("cold_from = 0.0", "hosts.cold_from"),
        ("weights = [1.0, nan], cold_from = 0.1", "hosts.weights"),
        ("weights = [], cold_from = 0.1", "hosts.weights"),
        ("cores = -1.0, cold_from = 0.1", "hosts.cores"),
        ("cap = inf, cold_from = 0.1", "hosts.cap"),
        ("list_calls_a_second = 0.0, cold_from = 0.1", "hosts.list_calls_a_second"),
    ] {
        let error = bad("cold_from = 0.1", to);
        assert!(error.contains(key) && error.starts_with("f:4:"), "{error}");
    }
    assert!(bad("load_us = 8000.0", "load_us = -1.0").contains("clients[0].load_us"));
    assert!(bad("zones = [\"a\"", "traffic = [0.0], zones = [\"a\"").contains("nodes.traffic"));
}
