//! Load estimate: recorded and typical loads.

use crate::support::{Node, connections_by_server, ms, report_load, request, settings};
use alderstile::types::{Outcome, Request};

#[test]
fn invalid_load_does_not_enter_the_record() {
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    report_load(&mut node, 1, 100.0);
    for load in [f64::NAN, f64::INFINITY, -5.0, 1e30] {
        report_load(&mut node, 1, load);
    }
    node.open(2, 2);
    report_load(&mut node, 2, 50.0);
    node.send_request(request(3));
    assert_eq!(node.server_of(3), Some(2));
}

#[test]
fn recorded_load_returns_to_zero_when_all_connections_end() {
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    report_load(&mut node, 1, 0.1 + 0.2);
    report_load(&mut node, 1, 1e6);
    node.end(1, Outcome::Ok);
    node.open(2, 2);
    report_load(&mut node, 2, 1e-9);
    node.send_request(request(3));
    assert_eq!(node.server_of(3), Some(1));
}

#[test]
fn typical_load_is_that_of_the_current_connections() {
    // Guards against a typical load that is too high: heavy connections that migrate report a first
    // load each time, and connections without a report counted with three times their load.
    let mut node = Node::new(settings(), 2);
    for id in 1..=20 {
        node.open(id, 1);
        report_load(&mut node, id, 1_000.0);
        node.end(id, Outcome::Reset);
    }
    node.open(30, 1);
    report_load(&mut node, 30, 10.0);
    node.open(31, 2);
    node.open(32, 2);
    report_load(&mut node, 32, 10.0);
    // Server 2 has one connection with a load of 10 and one without a report. If the latter counted
    // with 1,000, the next connections would all be placed on server 1.
    node.pass(ms(20_000));
    for id in 41..=43 {
        node.send_request(request(id));
        report_load(&mut node, id, 10.0);
    }
    assert_eq!(connections_by_server(&node, 41..44)[&2], 1);
}

#[test]
fn expected_loads_update_the_typical_load() {
    // Guards against a typical load of one, a millionth of a real load, if clients state expected
    // loads and servers report none.
    let mut node = Node::new(settings(), 3);
    let hinted = |id, load| Request { expected_load: Some(load), ..request(id) };
    for (id, load) in [(1, 60_000.0), (2, 60_000.0), (3, 50_000.0)] {
        node.send_request(hinted(id, load));
        node.establish(id);
    }
    node.end(1, Outcome::Ok);
    // This request has no expected load. It is placed on the empty server and counts there with the
    // typical load.
    node.send_request(request(4));
    node.establish(4);
    node.send_request(request(5));
    assert_eq!(node.server_of(5), node.server_of(3));
}
