//! Iterative proportional fitting (Deming and Stephan 1940; Sinkhorn and Knopp 1967): a table is scaled, its rows to the nodes'
//! traffic and its columns to the hosts' dues by turns, until both fit. Of all tables that fit it is the one nearest to the one
//! begun with, so nodes stay in their zone as far as the dues allow, and what a newcomer brings moves little.

use super::share_table::Preferences;
use super::{SubsetHost, SubsetNode, SubsettingParams, TrafficShares, bounded_weight};

/// The table fits when no host is further from its due than this part of it.
const TOLERANCE: f64 = 2e-3;
/// Turns at most: a table that can't fit must not keep the node busy.
const MAX_ITERATIONS: usize = 200;
/// What a host in another zone counts at first beside one in the own zone.
const OTHER_ZONE_WEIGHT: f64 = 0.01;

/// The cells of one node's row: a host's place, and the traffic that goes there.
type Row = Vec<(usize, f64)>;

/// Each node's shares of its traffic, from the preferences to begin with.
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

/// The part of all traffic that is due to each host, by its weight.
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
