//! Subsetting: hosts' loads, traffic moved by changes, differing views, widening, and invalid input.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};
use alderstile_cluster::subsetting::{
    HostUse, NodeSubset, SubsetHost, SubsetNode, SubsettingParams, TrafficShares, preference_order,
    share_table,
};
use proptest::prelude::*;

use support::subsets::{hosts, nodes_with_traffic};

fn nodes(count: usize) -> Vec<SubsetNode> {
    nodes_with_traffic(count, |_| 1.0)
}

/// Returns the load of each host from all nodes together.
fn host_loads(nodes: &[SubsetNode], table: &[TrafficShares]) -> BTreeMap<ServerId, f64> {
    let mut host_loads = BTreeMap::new();
    for (node, shares) in nodes.iter().zip(table) {
        shares.iter().for_each(|(id, share)| *host_loads.entry(*id).or_insert(0.0) += share * node.traffic);
    }
    host_loads
}

/// Returns the maximum load of a host relative to its target load.
fn max_relative_load(nodes: &[SubsetNode], hosts: &[SubsetHost], table: &[TrafficShares]) -> f64 {
    let (weights, total_traffic): (f64, f64) =
        (hosts.iter().map(|host| host.weight).sum(), nodes.iter().map(|node| node.traffic).sum());
    let host_loads = host_loads(nodes, table);
    let relative_load = |host: &SubsetHost| {
        host_loads.get(&host.id).copied().unwrap_or(0.0) * weights / (host.weight * total_traffic)
    };
    hosts.iter().map(relative_load).fold(0.0, f64::max)
}

/// Returns the traffic moved between two tables by nodes that are in both, where 1 is the traffic of one
/// node.
fn moved_traffic(before: (&[SubsetNode], &[TrafficShares]), after: (&[SubsetNode], &[TrafficShares])) -> f64 {
    let after: BTreeMap<&str, &TrafficShares> = after.0.iter().map(|node| &*node.name).zip(after.1).collect();
    let share_of = |shares: &TrafficShares, id: &ServerId| shares.get(id).copied().unwrap_or(0.0);
    let mut moved_traffic = 0.0;
    for (node, old) in before.0.iter().zip(before.1) {
        let Some(new) = after.get(&*node.name) else { continue };
        let ids: BTreeSet<&ServerId> = old.keys().chain(new.keys()).collect();
        moved_traffic += ids.iter().map(|id| (share_of(old, id) - share_of(new, id)).max(0.0)).sum::<f64>();
    }
    moved_traffic
}

/// Returns the minimum traffic that other nodes must move when the node with this row joins: the load by
/// which the node alone exceeds the target loads of its hosts must go elsewhere. No method that gives all
/// hosts their target loads before and after the change moves less.
fn min_moved_traffic(row: &TrafficShares, hosts: &[SubsetHost]) -> f64 {
    let weights: f64 = hosts.iter().map(|host| host.weight).sum();
    let excess =
        |host: &SubsetHost| (row.get(&host.id).copied().unwrap_or(0.0) - host.weight / weights).max(0.0);
    hosts.iter().map(excess).sum()
}

#[test]
fn every_host_receives_its_target_load_and_a_new_node_or_host_moves_little_traffic() {
    // The requirements are: no host above 1.05 times its target load, at most 1.5 times the minimum traffic
    // moved, and every node using its minimum number of hosts.
    let params = SubsettingParams::default();
    let mut worst = (0.0f64, 0.0f64, 0.0f64);
    for n in [1, 2, 3, 7, 15, 30, 100, 300] {
        for h in [6, 12, 30, 60, 90] {
            let (nodes, hosts) = (nodes(n + 1), hosts(h + 1));
            let base = share_table(params, &nodes[..n], &hosts[..h]);
            let more_nodes = share_table(params, &nodes, &hosts[..h]);
            let more_hosts = share_table(params, &nodes[..n], &hosts);
            let max_load = max_relative_load(&nodes[..n], &hosts[..h], &base);
            assert!(
                base.iter()
                    .all(|row| (row.values().sum::<f64>() - 1.0).abs() < 1e-9 && row.len() >= h.min(20))
            );
            // Adding a node or host and removing it again move the same traffic. A host that joins must
            // receive its target load, which is the minimum that has to move.
            let (least, moved) = (
                min_moved_traffic(&more_nodes[n], &hosts[..h]),
                moved_traffic((&nodes[..n], &base), (&nodes, &more_nodes)),
            );
            let moved_by_node = if least > 0.05 { moved / least } else { moved };
            let weights: f64 = hosts.iter().map(|host| host.weight).sum();
            let least = n as f64 * hosts[h].weight / weights;
            let moved_by_host = moved_traffic((&nodes[..n], &base), (&nodes[..n], &more_hosts)) / least;
            worst = (worst.0.max(max_load), worst.1.max(moved_by_node), worst.2.max(moved_by_host));
            assert!(
                max_load < 1.05 && moved_by_node < 1.5 && moved_by_host < 1.5,
                "{n} nodes, {h} hosts: load {max_load}, moved by a node {moved_by_node}, by a host {moved_by_host}"
            );
        }
    }
    println!(
        "relative to the target, load {:.4}; to the minimum, moved by a node {:.2}, by a host {:.2}",
        worst.0, worst.1, worst.2
    );
}

#[test]
fn every_host_has_a_node_when_half_the_nodes_are_missing() {
    let (params, nodes, hosts) = (SubsettingParams::default(), nodes(300), hosts(90));
    for (case, remaining_nodes) in [
        ("every other node", nodes.iter().step_by(2).cloned().collect::<Vec<_>>()),
        ("without one zone", nodes.iter().filter(|node| node.zone != 1).cloned().collect()),
        ("three nodes", nodes[40..43].to_vec()),
    ] {
        let table = share_table(params, &remaining_nodes, &hosts);
        assert!(max_relative_load(&remaining_nodes, &hosts, &table) < 1.05, "{case}");
        assert!(hosts.iter().all(|host| table.iter().any(|row| row.contains_key(&host.id))), "{case}");
    }
}

#[test]
fn host_loads_are_even_when_nodes_report_unequal_traffic() {
    let (mut nodes, hosts) = (nodes(60), hosts(30));
    nodes.iter_mut().step_by(6).for_each(|node| node.traffic = 5.0);
    let table = share_table(SubsettingParams::default(), &nodes, &hosts);
    assert!(max_relative_load(&nodes, &hosts, &table) < 1.02);
    // If no node reports its traffic, the loads deviate at random, by a bounded amount.
    let uniform: Vec<SubsetNode> =
        nodes.iter().map(|node| SubsetNode { traffic: 1.0, ..node.clone() }).collect();
    assert!(
        max_relative_load(&nodes, &hosts, &share_table(SubsettingParams::default(), &uniform, &hosts)) < 1.25
    );
}

#[test]
fn host_loads_stay_within_a_bound_when_node_views_differ() {
    // In each node's view, a different tenth of the nodes and a different tenth of the hosts are missing.
    let (nodes, hosts) = (nodes(120), hosts(60));
    let mut rows = Vec::new();
    for (n, node) in nodes.iter().enumerate() {
        let is_missing = |i: usize, salt: usize| (i * 7919 + n * 104_729 + salt).is_multiple_of(10);
        let known_nodes: Vec<SubsetNode> = nodes
            .iter()
            .enumerate()
            .filter(|(i, _)| *i == n || !is_missing(*i, 1))
            .map(|(_, node)| node.clone())
            .collect();
        let known_hosts: Vec<SubsetHost> =
            hosts.iter().enumerate().filter(|(i, _)| !is_missing(*i, 5)).map(|(_, h)| *h).collect();
        let index = known_nodes.iter().position(|other| other.name == node.name).expect("the node itself");
        rows.push(share_table(SubsettingParams::default(), &known_nodes, &known_hosts).swap_remove(index));
    }
    let max_load = max_relative_load(&nodes, &hosts, &rows);
    println!("views that lack a tenth of the nodes and hosts: maximum relative load {max_load:.3}");
    assert!(max_load < 1.25, "{max_load}");
}

#[test]
fn a_zone_with_enough_hosts_serves_its_own_nodes() {
    let params = SubsettingParams { prefer_own_zone: true, ..SubsettingParams::default() };
    let own_zone_share = |nodes: &[SubsetNode], hosts: &[SubsetHost]| {
        let zone: BTreeMap<ServerId, u16> = hosts.iter().map(|host| (host.id, host.zone)).collect();
        let table = share_table(params, nodes, hosts);
        assert!(max_relative_load(nodes, hosts, &table) < 1.05);
        let local_share = |(node, row): (&SubsetNode, &TrafficShares)| {
            row.iter().filter(|(id, _)| zone[id] == node.zone).map(|(_, share)| share).sum::<f64>()
        };
        nodes.iter().zip(&table).map(local_share).sum::<f64>() / nodes.len() as f64
    };
    let uniform: Vec<SubsetHost> =
        hosts(90).into_iter().map(|host| SubsetHost { weight: 1.0, ..host }).collect();
    assert!(own_zone_share(&nodes(90), &uniform) > 0.9);
    // Zone 0 lacks half of its hosts. The remaining ones serve nodes of their own zone, the rest of the
    // traffic goes to other zones, and all hosts have their target loads.
    let fewer_hosts: Vec<SubsetHost> =
        uniform.iter().filter(|host| host.zone != 0 || host.id.0 % 2 == 0).copied().collect();
    let share = own_zone_share(&nodes(90), &fewer_hosts);
    assert!((0.7..0.95).contains(&share), "{share}");
}

#[test]
fn a_subset_is_spread_over_failure_groups() {
    // With three groups of thirty hosts and subsets of six, the quota of a group is about four. A group has
    // at most five hosts of a subset, and no subset is in a single group.
    let hosts: Vec<SubsetHost> = hosts(90)
        .into_iter()
        .enumerate()
        .map(|(i, host)| SubsetHost { failure_group: i as u16 / 30, ..host })
        .collect();
    let params = SubsettingParams { hosts_per_node: 6, ..SubsettingParams::default() };
    let failure_group: BTreeMap<ServerId, u16> =
        hosts.iter().map(|host| (host.id, host.failure_group)).collect();
    for node in nodes(200) {
        let mut counts = [0; 3];
        preference_order(params, &node, &hosts)
            .iter()
            .take(6)
            .for_each(|id| counts[usize::from(failure_group[id])] += 1);
        assert!(
            counts.iter().all(|count| *count <= 5) && counts.iter().filter(|count| **count > 0).count() > 1,
            "{counts:?}"
        );
    }
}

fn seconds(s: f64) -> Micros {
    Micros((s * 1e6) as u64)
}

#[test]
fn a_subset_is_widened_while_hosts_are_unreachable_and_narrowed_gradually() {
    let (nodes, hosts) = (nodes(30), hosts(60));
    let params = SubsettingParams { hosts_per_node: 8, ..SubsettingParams::default() };
    let mut subset = NodeSubset::new(params, nodes[4].clone(), seconds(30.0));
    subset.update(&nodes, &hosts);
    let used = |uses: &BTreeMap<ServerId, HostUse>| -> BTreeSet<ServerId> {
        uses.iter()
            .filter(|(_, host_use)| matches!(host_use, HostUse::Assigned(_)))
            .map(|(id, _)| *id)
            .collect()
    };
    let own_hosts = used(&subset.host_uses(seconds(1.0), &BTreeSet::new(), &BTreeSet::new()));
    assert!((8..20).contains(&own_hosts.len()), "{}", own_hosts.len());
    // Three hosts are unreachable: the others of the subset take their load.
    let three: BTreeSet<ServerId> = own_hosts.iter().take(3).copied().collect();
    assert_eq!(used(&subset.host_uses(seconds(1.5), &three, &BTreeSet::new())), own_hosts);
    // A host that is warming up receives its share and no more, even if others are unreachable.
    let warming_up: BTreeSet<ServerId> =
        hosts.iter().map(|host| host.id).filter(|id| !own_hosts.contains(id)).take(9).collect();
    // All hosts of the subset are unreachable: the same number of other hosts takes their shares.
    let uses = subset.host_uses(seconds(2.0), &own_hosts, &warming_up);
    let added: BTreeSet<ServerId> = used(&uses).difference(&own_hosts).copied().collect();
    assert_eq!(added.len(), own_hosts.len());
    assert!(added.is_disjoint(&warming_up));
    let added_share: f64 =
        added.iter().map(|id| if let HostUse::Assigned(share) = uses[id] { share } else { 0.0 }).sum();
    assert!((added_share - 1.0).abs() < 1e-9, "{added_share}");
    // The hosts are reachable again: the subset stays for the retention time and then shrinks gradually.
    let sizes: Vec<usize> = (3..60)
        .map(|s| used(&subset.host_uses(seconds(f64::from(s)), &BTreeSet::new(), &BTreeSet::new())).len())
        .collect();
    assert_eq!(sizes[..13], [2 * own_hosts.len(); 13]);
    assert_eq!(*sizes.last().expect("sizes"), own_hosts.len());
    assert!(sizes.windows(2).all(|pair| pair[0] - pair[1] <= added.len() / 2), "{sizes:?}");
    // No host is reachable: the subset stays in use, because there are no alternatives in the list.
    let all: BTreeSet<ServerId> = hosts.iter().map(|host| host.id).collect();
    assert!(used(&subset.host_uses(seconds(70.0), &all, &warming_up)).is_superset(&own_hosts));
}

proptest! {
    #[test]
    fn shares_sum_to_one_for_any_input(
        weights in prop::collection::vec(prop_oneof![any::<f64>(), Just(0.0), Just(f64::NAN), Just(1e300), 0.5..4.0], 0..40),
        traffic in prop::collection::vec(prop_oneof![any::<f64>(), 0.5..4.0], 0..40),
        hosts_per_node in prop_oneof![Just(0usize), 1usize..50, Just(usize::MAX)],
        nodes_per_host in prop_oneof![Just(0usize), 1usize..9, Just(usize::MAX)],
        prefer_own_zone: bool,
    ) {
        let params = SubsettingParams { hosts_per_node, nodes_per_host, prefer_own_zone };
        let hosts: Vec<SubsetHost> = weights.iter().enumerate().map(|(i, weight)| {
            SubsetHost { id: ServerId(i as u64 / 2), weight: *weight, zone: i as u16 % 3, failure_group: u16::MAX }
        }).collect();
        let nodes: Vec<SubsetNode> = traffic.iter().enumerate().map(|(i, traffic)| {
            SubsetNode { name: format!("{}", i / 2).into(), zone: i as u16 % 4, traffic: *traffic }
        }).collect();
        for row in share_table(params, &nodes, &hosts) {
            let sum: f64 = row.values().sum();
            prop_assert!(row.values().all(|share| (0.0..=1.0 + 1e-9).contains(share)), "{row:?}");
            prop_assert!(if hosts.is_empty() { row.is_empty() } else { (sum - 1.0).abs() < 1e-6 }, "{row:?}");
        }
    }

    #[test]
    fn shares_do_not_depend_on_the_order_of_nodes_and_hosts(seed in 0usize..1_000) {
        let (nodes, hosts) = (nodes(12), hosts(40));
        let (mut other_nodes, mut other_hosts) = (nodes.clone(), hosts.clone());
        other_nodes.rotate_left(seed % 12);
        other_hosts.rotate_left(seed % 40);
        let params = SubsettingParams { hosts_per_node: 5, ..SubsettingParams::default() };
        let mut rotated = share_table(params, &other_nodes, &other_hosts);
        rotated.rotate_right(seed % 12);
        prop_assert_eq!(share_table(params, &nodes, &hosts), rotated);
    }
}
