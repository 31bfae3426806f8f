//! Nodes and hosts to share out.

use alderstile::types::ServerId;
use alderstile_cluster::subsetting::{SubsetHost, SubsetNode};

/// Nodes in three zones, with the traffic that is told of each number.
pub fn nodes_with_traffic(count: usize, traffic: impl Fn(usize) -> f64) -> Vec<SubsetNode> {
    let node =
        |n: usize| SubsetNode { name: format!("edge-{n}").into(), zone: (n % 3) as u16, traffic: traffic(n) };
    (0..count).map(node).collect()
}

/// Weights 1 to 4, three zones, failure groups of five.
pub fn hosts(count: usize) -> Vec<SubsetHost> {
    let host = |h: usize| SubsetHost {
        id: ServerId(h as u64 * 0x1_0001 + 77),
        weight: 1.0 + (h * 7 % 4) as f64,
        zone: (h % 3) as u16,
        failure_group: (h / 5) as u16,
    };
    (0..count).map(host).collect()
}
