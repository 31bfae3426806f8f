//! Iterative proportional fitting (Deming and Stephan 1940; Sinkhorn and Knopp 1967): scales the rows of a
//! table to the nodes' traffic and its columns to the hosts' target loads, alternately, until both match.
//!
//! Of all tables that match, the result is the closest to the initial one, measured by relative entropy.
//! Traffic therefore stays in its zone as far as the target loads allow, and a new node or host moves little
//! of it.

use super::share_table::Preferences;
use super::{SubsetHost, SubsetNode, SubsettingParams, TrafficShares, bounded_weight};

/// The table matches when the relative deviation of every host from its target load is below this.
const TOLERANCE: f64 = 2e-3;
/// The maximum number of iterations: a table that cannot match must not keep the node busy.
const MAX_ITERATIONS: usize = 200;
/// The initial weight of a host in another zone relative to one in the node's own zone.
const OTHER_ZONE_WEIGHT: f64 = 0.01;

/// One node's row: host indices and the traffic sent to each.
type Row = Vec<(usize, f64)>;

/// Returns each node's traffic shares, fitted from its initial preferences.
pub(super) fn fitted_shares(
    params: SubsettingParams,
    nodes: &[&SubsetNode],
    hosts: &[SubsetHost],
    preferences: &[Preferences],
) -> Vec<TrafficShares> {
    let traffic: Vec<f64> = nodes.iter().map(|node| bounded_weight(node.traffic)).collect();
    let target_loads = host_target_loads(hosts, traffic.iter().sum());
    let mut rows = initial_rows(params, nodes, hosts, preferences);
    for _ in 0..MAX_ITERATIONS {
        scale_rows(&mut rows, &traffic);
        let received = column_sums(&rows, hosts.len());
        if max_deviation(&received, &target_loads) < TOLERANCE {
            break;
        }
        scale_columns(&mut rows, &received, &target_loads);
    }
    rows.into_iter().map(|row| normalized(row, hosts)).collect()
}

/// Returns the traffic that each host should receive, in proportion to its weight.
fn host_target_loads(hosts: &[SubsetHost], total_traffic: f64) -> Vec<f64> {
    let total_weight: f64 = hosts.iter().map(|host| bounded_weight(host.weight)).sum();
    hosts.iter().map(|host| bounded_weight(host.weight) / total_weight * total_traffic).collect()
}

fn initial_rows(
    params: SubsettingParams,
    nodes: &[&SubsetNode],
    hosts: &[SubsetHost],
    preferences: &[Preferences],
) -> Vec<Row> {
    let initial_weight = |node: &SubsetNode, host: &SubsetHost| {
        let is_other_zone = params.prefer_own_zone && host.zone != node.zone;
        bounded_weight(host.weight) * if is_other_zone { OTHER_ZONE_WEIGHT } else { 1.0 }
    };
    let row = |(node, preferences): (&&SubsetNode, &Preferences)| {
        let cell =
            |(&host, preference): (&usize, &f64)| (host, preference * initial_weight(node, &hosts[host]));
        preferences.iter().map(cell).collect()
    };
    nodes.iter().zip(preferences).map(row).collect()
}

fn scale_rows(rows: &mut [Row], traffic: &[f64]) {
    for (row, traffic) in rows.iter_mut().zip(traffic) {
        let sum = row_sum(row);
        row.iter_mut().for_each(|(_, cell)| *cell *= traffic / sum);
    }
}

fn scale_columns(rows: &mut [Row], received: &[f64], target_loads: &[f64]) {
    rows.iter_mut().flatten().for_each(|(host, cell)| *cell *= target_loads[*host] / received[*host]);
}

fn column_sums(rows: &[Row], hosts: usize) -> Vec<f64> {
    let mut sums = vec![0.0; hosts];
    rows.iter().flatten().for_each(|(host, cell)| sums[*host] += cell);
    sums
}

fn max_deviation(received: &[f64], target_loads: &[f64]) -> f64 {
    received
        .iter()
        .zip(target_loads)
        .map(|(received, target)| (received / target - 1.0).abs())
        .fold(0.0, f64::max)
}

fn normalized(row: Row, hosts: &[SubsetHost]) -> TrafficShares {
    let sum = row_sum(&row);
    row.into_iter().map(|(host, cell)| (hosts[host].id, cell / sum)).collect()
}

fn row_sum(row: &Row) -> f64 {
    row.iter().map(|(_, cell)| cell).sum()
}
