//! Time until a change is active in large fleets, and its cost in bytes.

use alderstile_cluster::replicated_config::ProposalOutcome;
use rand::RngExt;

mod support;
use support::simulated_cluster::{SimulatedCluster, document_of_size};

/// Activation times and traffic of a fleet. Bytes are those sent, without UDP and IP headers.
#[derive(Debug, Default)]
struct Cost {
    /// Time until each change was active at all nodes, seconds.
    activation_s: Vec<f64>,
    /// Mean over all nodes, bytes per second.
    mean_rate: f64,
    /// Busiest voter, bytes per second: its mean and its peak over four seconds.
    voter_rate: (f64, f64),
    /// Busiest node that is not a voter, bytes per second: its mean and its peak over four seconds.
    other_rate: (f64, f64),
    /// Total bytes that the busiest node sent while the first version was distributed in full.
    first_version_bytes: u32,
}

/// Commits `changes` versions in succession in a fleet of `count` nodes, each a document of `size` bytes and
/// `pause` seconds after the previous one, and measures their cost.
fn measure_changes(seed: u64, count: usize, loss: f64, size: usize, changes: u64, pause: f64) -> Cost {
    let mut cluster = SimulatedCluster::new(seed, count, 9, true);
    cluster.loss = loss;
    cluster.run(10.0);
    // The first version is sent in full, later ones as deltas.
    cluster.propose(count - 1, 1, 0, &document_of_size(0, size));
    cluster.run(pause);
    let start_second = (cluster.now / 1_000_000) as usize;
    let mut cost = Cost::default();
    for version in 2..2 + changes {
        let (proposed_at, proposer) = (cluster.now, cluster.rng.random_range(0..count));
        cluster.propose(proposer, version, version - 1, &document_of_size(version, size));
        cluster.run(pause);
        assert_eq!(cluster.outcomes.get(&version), Some(&ProposalOutcome::Committed(version)), "seed {seed}");
        let last_activation =
            (0..count).map(|n| cluster.activated_at_us[n].get(&version).copied().unwrap_or(u64::MAX)).max();
        cost.activation_s.push((last_activation.expect("at least one node") - proposed_at) as f64 / 1e6);
    }
    assert_eq!(cluster.max_version_overlap_seconds(), 0.0);
    let end_second = (cluster.now / 1_000_000) as usize;
    cluster.processes.iter_mut().for_each(|process| process.sent_bytes_per_second.resize(end_second + 1, 0));
    cost.first_version_bytes = cluster
        .processes
        .iter()
        .map(|process| process.sent_bytes_per_second[10..start_second].iter().sum())
        .max()
        .unwrap_or(0);
    let sent: Vec<&[u32]> = cluster
        .processes
        .iter()
        .map(|process| &process.sent_bytes_per_second[start_second..end_second])
        .collect();
    let mean = |bytes: &[u32]| bytes.iter().map(|bytes| f64::from(*bytes)).sum::<f64>() / bytes.len() as f64;
    let busiest = |nodes: &[&[u32]]| {
        let peak = nodes.iter().flat_map(|bytes| bytes.windows(4)).map(mean).fold(0.0, f64::max);
        (nodes.iter().map(|bytes| mean(bytes)).fold(0.0, f64::max), peak)
    };
    cost.mean_rate = sent.iter().map(|bytes| mean(bytes)).sum::<f64>() / sent.len() as f64;
    (cost.voter_rate, cost.other_rate) = (busiest(&sent[..9]), busiest(&sent[9..]));
    cost
}

#[test]
fn a_change_is_active_at_510_nodes_within_four_seconds_at_three_kilobytes_per_second() {
    let cost = measure_changes(1, 510, 0.0, 3_000, 2, 20.0);
    println!("{cost:?}");
    assert!(cost.activation_s.iter().all(|elapsed| *elapsed <= 4.0), "{cost:?}");
    assert!(cost.voter_rate.0 <= 3_000.0 && cost.other_rate.1 <= 3_000.0, "{cost:?}");
}

#[test]
#[ignore = "takes minutes; produces the table in docs/replicated-config.md"]
fn measure_fleets() {
    for (count, loss) in
        [(30, 0.0), (100, 0.0), (300, 0.0), (510, 0.0), (510, 0.01), (510, 0.05), (1_000, 0.0)]
    {
        for seed in 1..=3 {
            let mut cost = measure_changes(seed, count, loss, 3_000, 20, 20.0);
            cost.activation_s.sort_by(f64::total_cmp);
            let (median, longest) = (cost.activation_s[10], cost.activation_s[19]);
            let Cost { mean_rate, voter_rate, other_rate, first_version_bytes, .. } = cost;
            println!(
                "{count} nodes, loss {loss}, seed {seed}: median {median:.2} s, longest {longest:.2} s; bytes per second: \
                 mean {mean_rate:.0}; busiest voter {:.0}, peak over four seconds {:.0}; busiest other node {:.0}, peak \
                 over four seconds {:.0}; first version {first_version_bytes} bytes in total",
                voter_rate.0, voter_rate.1, other_rate.0, other_rate.1
            );
        }
    }
}
