//! How long a change takes to be active in large fleets, and what it costs in bytes.

use alderstile_cluster::replicated_config::ProposalOutcome;
use rand::RngExt;

mod support;
use support::simulated_cluster::{SimulatedCluster, document_of_size};

/// What a fleet took and cost; bytes are those sent, without the headers of UDP and IP.
#[derive(Debug, Default)]
struct Cost {
    /// Until each change was in force everywhere, seconds.
    took: Vec<f64>,
    /// Bytes a second: the mean over all nodes.
    mean: f64,
    /// Of the busiest voter: its mean, and its busiest four seconds.
    voter: (f64, f64),
    /// Of the busiest other node.
    other: (f64, f64),
    /// Bytes that the busiest node sent in all while the first version went out whole.
    whole: u32,
}

/// Changes one after the other in a fleet, on settings of so many bytes.
fn changes(seed: u64, count: usize, loss: f64, size: usize, changes: u64, pause: f64) -> Cost {
    let mut cluster = SimulatedCluster::new(seed, count, 9, true);
    cluster.loss = loss;
    cluster.run(10.0);
    // The first version goes out whole, later ones as differences.
    cluster.propose(count - 1, 1, 0, &document_of_size(0, size));
    cluster.run(pause);
    let begin = (cluster.now / 1_000_000) as usize;
    let mut cost = Cost::default();
    for version in 2..2 + changes {
        let (began, by) = (cluster.now, cluster.rng.random_range(0..count));
        cluster.propose(by, version, version - 1, &document_of_size(version, size));
        cluster.run(pause);
        assert_eq!(cluster.outcomes.get(&version), Some(&ProposalOutcome::Committed(version)), "seed {seed}");
        let last =
            (0..count).map(|n| cluster.activated_at_us[n].get(&version).copied().unwrap_or(u64::MAX)).max();
        cost.took.push((last.expect("some") - began) as f64 / 1e6);
    }
    assert_eq!(cluster.max_version_overlap_seconds(), 0.0);
    let end = (cluster.now / 1_000_000) as usize;
    cluster.processes.iter_mut().for_each(|process| process.sent_bytes_per_second.resize(end + 1, 0));
    cost.whole = cluster
        .processes
        .iter()
        .map(|process| process.sent_bytes_per_second[10..begin].iter().sum())
        .max()
        .unwrap_or(0);
    let sent: Vec<&[u32]> =
        cluster.processes.iter().map(|process| &process.sent_bytes_per_second[begin..end]).collect();
    let mean = |bytes: &[u32]| bytes.iter().map(|bytes| f64::from(*bytes)).sum::<f64>() / bytes.len() as f64;
    let busiest = |nodes: &[&[u32]]| {
        let four = nodes.iter().flat_map(|bytes| bytes.windows(4)).map(mean).fold(0.0, f64::max);
        (nodes.iter().map(|bytes| mean(bytes)).fold(0.0, f64::max), four)
    };
    cost.mean = sent.iter().map(|bytes| mean(bytes)).sum::<f64>() / sent.len() as f64;
    (cost.voter, cost.other) = (busiest(&sent[..9]), busiest(&sent[9..]));
    cost
}

#[test]
fn a_change_is_active_at_510_nodes_within_four_seconds_and_three_kilobytes_a_second() {
    let cost = changes(1, 510, 0.0, 3_000, 2, 20.0);
    println!("{cost:?}");
    assert!(cost.took.iter().all(|took| *took <= 4.0), "{cost:?}");
    assert!(cost.voter.0 <= 3_000.0 && cost.other.1 <= 3_000.0, "{cost:?}");
}

#[test]
#[ignore = "minutes: the table of docs/replicated-config.md"]
fn measure_fleets() {
    for (count, loss) in
        [(30, 0.0), (100, 0.0), (300, 0.0), (510, 0.0), (510, 0.01), (510, 0.05), (1_000, 0.0)]
    {
        for seed in 1..=3 {
            let mut cost = changes(seed, count, loss, 3_000, 20, 20.0);
            cost.took.sort_by(f64::total_cmp);
            let (median, longest) = (cost.took[10], cost.took[19]);
            let Cost { mean, voter, other, whole, .. } = cost;
            println!(
                "{count} nodes, loss {loss}, seed {seed}: median {median:.2} s, longest {longest:.2} s; bytes a second: \
                 {mean:.0} mean; busiest voter {:.0}, in four seconds {:.0}; busiest other {:.0}, in four seconds \
                 {:.0}; first version {whole} in all",
                voter.0, voter.1, other.0, other.1
            );
        }
    }
}
