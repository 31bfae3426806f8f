//! Probes: requests that wait for a load report, and probes of stalled servers.

use crate::support::{Node, ms, probed_servers, report_delay, request, settings};
use alderstile::types::{Action, BalancerSettings, Event, Outcome, ReportField, Request, ServerId};

fn with_probes() -> BalancerSettings {
    let report_fields = vec![ReportField::Other, ReportField::LoadRatio];
    BalancerSettings { node_count: 28, probes_allowed: true, report_fields, ..settings() }
}

fn report_load_ratio(node: &mut Node, server: u64, ratio: f64) {
    let report = vec![f64::NAN, ratio];
    node.event(Event::ProbeCompleted { server: ServerId(server), outcome: Outcome::Ok, report });
}

#[test]
fn request_waits_for_a_probe_and_avoids_highly_loaded_servers() {
    // Guards against uninformed choices: with 82 nodes, each had almost no connections on any
    // server, and highly loaded servers received as many new ones as others.
    let mut node = Node::new(with_probes(), 20);
    node.send_request(request(1));
    let [first] = probed_servers(&node)[..] else { panic!("one probe: {:?}", node.last) };
    assert_eq!(node.server_of(1), None, "it waits for the answer");
    report_load_ratio(&mut node, first, 0.95);
    let [second] = probed_servers(&node)[..] else { panic!("another probe: {:?}", node.last) };
    assert_ne!(first, second);
    report_load_ratio(&mut node, second, 0.3);
    assert_eq!(node.server_of(1), Some(second));
}

#[test]
fn probe_waits_are_few_and_short_and_ignore_invalid_reports() {
    let mut node = Node::new(with_probes(), 20);
    node.send_request(request(1));
    let mut probes = 0;
    while let [server] = probed_servers(&node)[..] {
        probes += 1;
        report_load_ratio(&mut node, server, 2.0);
    }
    assert_eq!(probes, 3);
    assert!(node.server_of(1).is_some(), "after that, it is placed without a report");
    node.establish(1);
    node.send_request(request(2));
    node.pass(ms(60));
    assert!(node.server_of(2).is_some(), "without an answer, it is placed soon");
    node.establish(2);
    node.send_request(request(3));
    if let [server] = probed_servers(&node)[..] {
        report_load_ratio(&mut node, server, f64::NAN);
        node.event(Event::ProbeCompleted {
            server: ServerId(server),
            outcome: Outcome::Timeout,
            report: Vec::new(),
        });
    }
    node.pass(ms(60));
    assert!(node.server_of(3).is_some(), "an invalid ratio has no effect");
    node.establish(3);
    node.send_request(Request { time_remaining: ms(60), ..request(4) });
    assert!(node.server_of(4).is_some(), "no probe if little time remains");
}

#[test]
fn unanswered_probe_does_not_block_later_probes() {
    let mut node = Node::new(with_probes(), 1);
    for id in 1..=3 {
        node.send_request(request(id));
        assert_eq!(probed_servers(&node), [1], "each request probes again");
        node.pass(ms(60));
        assert_eq!(node.server_of(id), Some(1));
        node.establish(id);
    }
}

#[test]
fn stalled_server_without_connections_of_this_node_is_probed_until_it_resumes() {
    let probing =
        BalancerSettings { probes_allowed: true, report_fields: vec![ReportField::LoadRatio], ..settings() };
    let mut node = Node::new(probing, 2);
    let mut is_probed_and_resumes = |peak_ms: f64| {
        report_delay(&mut node, 1, peak_ms);
        node.pass(ms(1_700));
        let mut probes = 0;
        for _ in 0..20 {
            node.last.clear();
            node.pass(ms(100));
            probes += node.last.iter().filter(|a| **a == Action::Probe(ServerId(1))).count();
        }
        let report = vec![0.3];
        node.event(Event::ProbeCompleted { server: ServerId(1), outcome: Outcome::Ok, report });
        node.policy.avoided_server_count(node.now) == 0 && probes > 0
    };
    assert!(
        is_probed_and_resumes(6_300.0),
        "probed, and used again as soon as a report shows that it has resumed"
    );
    assert!(!is_probed_and_resumes(300.0), "an observed overload is valid for longer than a report");
}
