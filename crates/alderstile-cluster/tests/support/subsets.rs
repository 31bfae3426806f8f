//! Nodes and hosts for tests of subsetting.

use alderstile::types::ServerId;
use alderstile_cluster::subsetting::{SubsetHost, SubsetNode};

/// Returns nodes in three zones, with the traffic that `traffic` returns for each number.
pub fn nodes_with_traffic(count: usize, traffic: impl Fn(usize) -> f64) -> Vec<SubsetNode> {
    let node =
        |n: usize| SubsetNode { name: format!("edge-{n}").into(), zone: (n % 3) as u16, traffic: traffic(n) };
    (0..count).map(node).collect()
}

/// Returns hosts with weights from 1 to 4, in three zones and failure groups of five.
pub fn hosts(count: usize) -> Vec<SubsetHost> {
    let host = |h: usize| SubsetHost {
        id: ServerId(h as u64 * 0x1_0001 + 77),
        weight: 1.0 + (h * 7 % 4) as f64,
        zone: (h % 3) as u16,
        failure_group: (h / 5) as u16,
    };
    (0..count).map(host).collect()
}
