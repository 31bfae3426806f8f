//! Load estimate: recorded and typical loads.

use crate::support::{Node, counts, ms, request, settings, told};
use alderstile::types::{Outcome, Request};

#[test]
fn a_load_that_is_no_load_does_not_enter_the_record() {
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    told(&mut node, 1, 100.0);
    for load in [f64::NAN, f64::INFINITY, -5.0, 1e30] {
        told(&mut node, 1, load);
    }
    node.open(2, 2);
    told(&mut node, 2, 50.0);
    node.ask(request(3));
    assert_eq!(node.where_is(3), Some(2));
}

#[test]
fn the_record_returns_to_nothing_when_all_is_over() {
    let mut node = Node::new(settings(), 2);
    node.open(1, 1);
    told(&mut node, 1, 0.1 + 0.2);
    told(&mut node, 1, 1e6);
    node.end(1, Outcome::Ok);
    node.open(2, 2);
    told(&mut node, 2, 1e-9);
    node.ask(request(3));
    assert_eq!(node.where_is(3), Some(1));
}

#[test]
fn the_usual_load_is_that_of_connections_held() {
    // Found with a node to a host: heavy connections move and come again, each time as a first load, and what had
    // told nothing yet weighed three times what it was.
    let mut node = Node::new(settings(), 2);
    for id in 1..=20 {
        node.open(id, 1);
        told(&mut node, id, 1_000.0);
        node.end(id, Outcome::Reset);
    }
    node.open(30, 1);
    told(&mut node, 30, 10.0);
    node.open(31, 2);
    node.open(32, 2);
    told(&mut node, 32, 10.0);
    // Server 2 holds one of 10 and one untold: with 1,000 for that, the next ones would all go to server 1.
    node.pass(ms(20_000));
    for id in 41..=43 {
        node.ask(request(id));
        told(&mut node, id, 10.0);
    }
    assert_eq!(counts(&node, 41..44)[&2], 1);
}

#[test]
fn hints_teach_the_usual_load() {
    // Found by reading: with hints but no told loads the usual load stayed at one, a millionth of a real one.
    let mut node = Node::new(settings(), 3);
    let hinted = |id, load| Request { expected_load: Some(load), ..request(id) };
    for (id, load) in [(1, 60_000.0), (2, 60_000.0), (3, 50_000.0)] {
        node.ask(hinted(id, load));
        node.establish(id);
    }
    node.end(1, Outcome::Ok);
    // This one brings no expected_load: it lands on the empty server and counts as a usual connection there.
    node.ask(request(4));
    node.establish(4);
    node.ask(request(5));
    assert_eq!(node.where_is(5), node.where_is(3));
}
