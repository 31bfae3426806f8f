//! Selection: the server on which a connection is placed, in the common case and among ties.

use crate::support::{Node, connections_by_server, entry, ms, report_load, request, settings};
use alderstile::types::{BalancerSettings, Endpoint, EndpointListKind, Event, WeightMeaning};

#[test]
fn selection_takes_the_lowest_recorded_load() {
    let mut node = Node::new(settings(), 4);
    node.fill(1, 8);
    assert!(
        connections_by_server(&node, 1..9).values().all(|&n| n == 2),
        "eight equal connections on four servers"
    );
    for id in 1..9 {
        let load = if node.server_of(id) == Some(3) { 10.0 } else { 100.0 };
        report_load(&mut node, id, load);
    }
    node.send_request(request(9));
    assert_eq!(node.server_of(9), Some(3));
}

#[test]
fn ties_are_broken_at_random() {
    let actions_for_one_request = |seed| {
        let mut policy = alderstile::policy::Policy::new(settings(), seed, ms(0));
        let mut actions = Vec::new();
        policy.handle(
            ms(1),
            Event::EndpointList(EndpointListKind::Full, (1..=4).map(entry).collect()),
            &mut actions,
        );
        policy.handle(ms(2), Event::Request(request(1)), &mut actions);
        format!("{actions:?}")
    };
    let distinct: std::collections::BTreeSet<String> = (0..40).map(actions_for_one_request).collect();
    assert_eq!(distinct.len(), 4, "each of four equal servers is selected with some seed");
}

#[test]
fn ties_are_broken_at_random_in_proportion_to_weight() {
    let mut selections = [0; 2];
    for seed in 0..400 {
        let mut node = Node::with_seed(
            BalancerSettings { weight_meaning: WeightMeaning::NominalCapacity, ..settings() },
            0,
            seed,
        );
        let endpoints = [(1, 3.0), (2, 1.0)].map(|(id, weight)| Endpoint { weight, ..entry(id) });
        node.list(EndpointListKind::Full, endpoints.to_vec());
        node.send_request(request(1));
        selections[node.server_of(1).map_or(1, |server| server as usize - 1)] += 1;
    }
    assert!(
        (270..330).contains(&selections[0]),
        "three times the weight, selected three out of four times: {selections:?}"
    );
}
