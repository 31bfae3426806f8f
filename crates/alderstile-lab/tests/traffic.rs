//! Emulated runs with hosts and clients: the rules of the checkers, and the strategies compared.

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

const ALL_FAULTS: &str = r#"
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
fn policy_passes_the_checks_under_all_faults_and_runs_are_reproducible() {
    let text = schedule(30, 1_000, 5.0, ALL_FAULTS);
    let (first, report, metrics) = emulate(&text, Strategy::Alderstile, 3);
    assert_eq!(report.violations, [], "{report:?}");
    let share = report.served.expect("served share");
    assert!((0.9..1.0).contains(&share), "share of clients served under faults: {share}");
    let traffic = metrics.traffic.expect("traffic metrics");
    assert!(traffic.mean_imbalance() < 1.6 && traffic.retries > 0 && traffic.migrations > 0, "{traffic:?}");
    let (second, ..) = emulate(&text, Strategy::Alderstile, 3);
    assert!(first == second, "the same schedule and seed give the same history");
    let (other, ..) = emulate(&text, Strategy::Alderstile, 4);
    assert!(first != other);
}

const NODE_RESTARTS: &str = r#"
[[faults]]
at_s = 8.0
for_s = 3.0
kind = "kill"
on = ["share:0.7"]
"#;

#[test]
fn clients_are_served_again_after_most_nodes_restart() {
    // Guards against a metastable overload: clients that migrate away from slow hosts reconnect, and their
    // connection setups keep all hosts slow for good. It was found with 300 nodes; here it lowers the served
    // share to 0.62.
    let (_, report, metrics) = emulate(&schedule(60, 6_000, 30.0, NODE_RESTARTS), Strategy::Alderstile, 1);
    assert_eq!(report.violations, []);
    let share = metrics.traffic.expect("traffic metrics").served_share();
    assert!(share > 0.88, "{share}");
}

const HOST_CRASHES: &str = r#"
[[faults]]
at_s = 8.0
for_s = 4.0
kind = "host_kill"
on = ["h0", "h1", "h2", "h3", "h4", "h5"]
"#;

#[test]
fn least_connections_overloads_cold_hosts_and_the_policy_does_not() {
    let text = schedule(60, 6_000, 30.0, HOST_CRASHES);
    let (_, report, metrics) = emulate(&text, Strategy::LeastConnections, 1);
    assert!(report.violations.iter().any(|violation| violation.rule == "cold hosts"), "{report:?}");
    assert!(metrics.traffic.expect("traffic metrics").cold_load_peak > 1.0);
    let (_, report, metrics) = emulate(&text, Strategy::Alderstile, 1);
    assert_eq!(report.violations, []);
    let traffic = metrics.traffic.expect("traffic metrics");
    assert!(traffic.cold_load_peak < 1.0 && traffic.cold_overloads == 0, "{traffic:?}");
}

#[test]
fn strategies_with_more_information_balance_better() {
    let imbalance = |strategy| {
        let (_, _, metrics) = emulate(&schedule(30, 3_000, 5.0, ""), strategy, 1);
        metrics.traffic.expect("traffic metrics").mean_imbalance()
    };
    let (least, two, random) =
        (imbalance(Strategy::LeastConnections), imbalance(Strategy::TwoChoices), imbalance(Strategy::Random));
    assert!(least < two && two < random, "{least} {two} {random}");
    assert!(
        imbalance(Strategy::RendezvousSubset) > least,
        "a node that uses a subset of the hosts balances worse"
    );
}

#[test]
fn errors_in_host_and_client_settings_name_the_key() {
    let error = |from: &str, to: &str| {
        let text = schedule(30, 10, 5.0, "").replace(from, to);
        assert!(text.contains(to));
        Plan::parse("f", &text, None).expect_err("invalid schedule").to_string()
    };
    for (to, key) in [
        ("cold_from = 0.0", "hosts.cold_from"),
        ("weights = [1.0, nan], cold_from = 0.1", "hosts.weights"),
        ("weights = [], cold_from = 0.1", "hosts.weights"),
        ("cores = -1.0, cold_from = 0.1", "hosts.cores"),
        ("cap = inf, cold_from = 0.1", "hosts.cap"),
        ("list_calls_a_second = 0.0, cold_from = 0.1", "hosts.list_calls_a_second"),
    ] {
        let error = error("cold_from = 0.1", to);
        assert!(error.contains(key) && error.starts_with("f:4:"), "{error}");
    }
    assert!(error("load_us = 8000.0", "load_us = -1.0").contains("clients[0].load_us"));
    assert!(error("zones = [\"a\"", "traffic = [0.0], zones = [\"a\"").contains("nodes.traffic"));
}
