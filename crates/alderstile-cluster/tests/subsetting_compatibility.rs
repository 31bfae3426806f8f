//! Compatibility of subsetting: shares and assigned hosts match the fixtures recorded with commit cc53de7, to
//! nine digits.

mod support;

use std::collections::BTreeSet;
use std::path::PathBuf;

use alderstile::types::{Endpoint, EndpointListKind, EndpointState, Micros, ServerId};
use alderstile_cluster::host_assignment::{
    HostAssignment, HostAssignmentConfig, traffic_from_metadata, traffic_level,
};
use alderstile_cluster::subsetting::{
    HostUse, NodeSubset, SubsetCounts, SubsetHost, SubsetNode, SubsettingParams, preference_order,
    share_table,
};

use support::subsets::{hosts, nodes_with_traffic};

fn fixture(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/subsetting").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn nodes(count: usize) -> Vec<SubsetNode> {
    nodes_with_traffic(count, |n| 0.5 + (n * 5 % 7) as f64)
}

fn counts(subset: SubsetCounts) -> (usize, usize) {
    (subset.in_use, subset.added)
}

fn digest(text: &str) -> String {
    format!("{:016x}", alderstile_cluster::content_digest(text.as_bytes()))
}

#[test]
fn shares_and_preference_orders_are_as_recorded() {
    let mut lines = String::new();
    for (nodes_count, hosts_count) in [(1, 6), (3, 30), (20, 30), (60, 90), (7, 1)] {
        for (hosts_per_node, nodes_per_host, prefer_own_zone) in
            [(20, 4, false), (6, 2, true), (0, 0, false), (8, 3, true)]
        {
            let params = SubsettingParams { hosts_per_node, nodes_per_host, prefer_own_zone };
            let (nodes, hosts) = (nodes(nodes_count), hosts(hosts_count));
            let mut shares = String::new();
            for (row, node) in share_table(params, &nodes, &hosts).iter().zip(&nodes) {
                row.iter().for_each(|(id, share)| shares += &format!("{} {share:.9} ", id.0));
                shares += &format!(
                    "{:?}\n",
                    preference_order(params, node, &hosts).iter().map(|id| id.0).collect::<Vec<_>>()
                );
            }
            lines += &format!(
                "{nodes_count} {hosts_count} {hosts_per_node} {nodes_per_host} {prefer_own_zone} {}\n",
                digest(&shares)
            );
        }
    }
    assert_eq!(lines, fixture("shares.txt"));
}

#[test]
fn a_subset_is_widened_and_narrowed_as_recorded() {
    let (nodes, hosts) = (nodes(30), hosts(60));
    let params = SubsettingParams { hosts_per_node: 8, ..SubsettingParams::default() };
    let mut subset = NodeSubset::new(params, nodes[4].clone(), Micros::from_millis(30_000));
    subset.update(&nodes, &hosts);
    let warming_up: BTreeSet<ServerId> = hosts.iter().take(5).map(|host| host.id).collect();
    let mut unreachable = BTreeSet::new();
    let mut lines = String::new();
    for second in 0..80u64 {
        match second {
            10 => unreachable = hosts.iter().step_by(2).map(|host| host.id).collect(),
            12 => unreachable = hosts.iter().map(|host| host.id).collect(),
            14 => unreachable.clear(),
            _ => {}
        }
        let uses = subset.host_uses(Micros::from_millis(second * 1_000), &unreachable, &warming_up);
        let text: Vec<String> = uses
            .iter()
            .map(|(id, host_use)| match host_use {
                HostUse::Assigned(share) => format!("{} {share:.9}", id.0),
                HostUse::Cordoned => format!("{} -", id.0),
            })
            .collect();
        lines += &format!("{second} {:?} {}\n", counts(subset.counts()), digest(&text.join(" ")));
    }
    assert_eq!(lines, fixture("widening.txt"));
}

#[test]
fn assigned_hosts_are_as_recorded() {
    let config = HostAssignmentConfig {
        subsetting: Some(SubsettingParams { hosts_per_node: 6, nodes_per_host: 2, prefer_own_zone: true }),
        added_host_retention: Micros::from_millis(20_000),
        warm_up: Micros::from_millis(5_000),
    };
    let mut nodes = nodes(12);
    let local_node = nodes.swap_remove(3);
    let mut assigned = HostAssignment::new(config, local_node, true);
    let endpoint = |host: &SubsetHost| Endpoint {
        id: host.id,
        zone: host.zone,
        cell: host.failure_group,
        weight: host.weight,
        state: EndpointState::Ready,
        ..Endpoint::default()
    };
    let listed: Vec<Endpoint> = hosts(30).iter().map(endpoint).collect();
    let mut lines = String::new();
    let summary = |endpoints: Vec<Endpoint>| {
        let line = |endpoint: &Endpoint| {
            let state = match endpoint.state {
                EndpointState::Ready => 0,
                EndpointState::Draining => 1,
                EndpointState::Removed => 2,
                EndpointState::Cordoned => 3,
            };
            let joined = endpoint.joined.map(|at| at.0);
            format!("{} {state} {:.9} {joined:?}", endpoint.id.0, endpoint.weight)
        };
        let text: Vec<String> = endpoints.iter().map(line).collect();
        format!("{} {}", endpoints.len(), digest(&text.join("\n")))
    };
    for second in 0..60u64 {
        let now = Micros::from_millis(second * 1_000);
        match second {
            1 => {
                lines += &format!(
                    "full {}\n",
                    summary(assigned.apply_list(EndpointListKind::Full, listed.clone()))
                )
            }
            5 => {
                nodes.iter_mut().step_by(2).for_each(|node| node.traffic = 0.0);
                assigned.set_nodes(nodes.clone());
            }
            9 => {
                let removed = Endpoint { state: EndpointState::Removed, ..listed[4] };
                let warming_up = Endpoint { started: Some(now), ..listed[7] };
                let changes = vec![removed, warming_up];
                lines +=
                    &format!("change {}\n", summary(assigned.apply_list(EndpointListKind::Delta, changes)));
            }
            20 => assigned.set_nodes(nodes[..5].to_vec()),
            _ => {}
        }
        let unreachable: BTreeSet<ServerId> = if (30..33).contains(&second) {
            listed.iter().step_by(2).map(|e| e.id).collect()
        } else {
            BTreeSet::new()
        };
        let report = assigned.traffic_report(now, (second * second) as usize);
        let has_no_ready_host = assigned.has_no_ready_host();
        let changed = summary(assigned.refresh(now, &unreachable));
        lines += &format!(
            "{second} {report:?} {has_no_ready_host} {:?} {changed}\n",
            assigned.counts().map(counts)
        );
    }
    assert_eq!(lines, fixture("assignment.txt"));
}

#[test]
fn traffic_levels_are_as_recorded() {
    let counts = [0, 1, 2, 3, 10, 99, 1_000, 65_535, 1_999_999];
    let levels: Vec<u8> = counts.map(traffic_level).to_vec();
    let lines: String = levels
        .iter()
        .map(|&level| format!("{level} {:.9}\n", traffic_from_metadata(Some(&[level]))))
        .collect();
    assert_eq!(lines, fixture("levels.txt"));
    assert!(traffic_from_metadata(None) == 0.0 && traffic_from_metadata(Some(&[1, 2])) == 0.0);
}
