//! Commit, activation and distribution of versions under partitions, pauses and lost disks.

use alderstile_cluster::replicated_config::{
    LeaseState, MAX_DOCUMENT, ProposalOutcome, ReplicatedConfig, Role,
};
use std::collections::BTreeMap;

mod support;
use support::simulated_cluster::{SimulatedCluster, document_of_size};

#[test]
fn a_committed_version_becomes_active_at_all_nodes_after_the_activation_delay_and_not_before() {
    let mut cluster = SimulatedCluster::new(1, 12, 3, true);
    cluster.run(6.0);
    assert!(cluster.leader().is_some());
    assert!((0..12).all(|n| cluster.core(n).is_some_and(|core| {
        core.lease_state(cluster.local_time(n)) == LeaseState::Valid
            && (core.active_version(), core.active_document()) == (0, &[][..])
    })));
    let started_at = cluster.now;
    cluster.propose(11, 5, 0, &document_of_size(1, 2_000));
    cluster.run(1.0);
    assert_eq!(cluster.outcomes.get(&5), Some(&ProposalOutcome::Committed(1)));
    assert!(
        cluster.activated_at_us.iter().all(BTreeMap::is_empty),
        "no node activates the version before the activation delay has elapsed"
    );
    cluster.run(3.0);
    for n in 0..12 {
        let elapsed = (cluster.activated_at_us[n][&1] - started_at) as f64 / 1e6;
        assert!((2.5..4.0).contains(&elapsed), "node {n}: {elapsed} s");
        let core = cluster.core(n).expect("running");
        assert_eq!((core.active_version(), core.active_document()), (1, &document_of_size(1, 2_000)[..]));
    }
    assert_eq!(cluster.max_version_overlap_seconds(), 0.0);
}

#[test]
fn invalid_conflicting_and_early_proposals_are_rejected_with_the_reason() {
    let mut cluster = SimulatedCluster::new(2, 5, 3, false);
    cluster.run(6.0);
    let outcome =
        |cluster: &mut SimulatedCluster, proposer: usize, expected_version: u64, document: &[u8]| {
            let nonce = cluster.outcomes.len() as u64 + 100;
            cluster.propose(proposer, nonce, expected_version, document);
            cluster.run(1.5);
            cluster.outcomes.get(&nonce).cloned()
        };
    let assert_rejected = |outcome: Option<ProposalOutcome>, expected_reason: &str| {
        assert!(
            matches!(&outcome, Some(ProposalOutcome::Rejected(reason)) if reason.contains(expected_reason)),
            "expected a rejection with {expected_reason:?}, found {outcome:?}"
        );
    };
    assert_rejected(outcome(&mut cluster, 4, 0, b"!"), "the key !");
    assert_rejected(outcome(&mut cluster, 4, 0, b""), "0 bytes");
    assert_rejected(outcome(&mut cluster, 4, 0, &vec![b'a'; MAX_DOCUMENT + 1]), "32769 bytes");
    assert_rejected(outcome(&mut cluster, 4, 3, b"a"), "version 0 is agreed, not 3");
    assert_eq!(outcome(&mut cluster, 4, 0, b"a"), Some(ProposalOutcome::Committed(1)));
    assert_rejected(outcome(&mut cluster, 3, 1, b"b"), "counts in");
    cluster.run(3.0);
    assert_rejected(outcome(&mut cluster, 3, 0, b"b"), "version 1 is agreed, not 0");
    assert_eq!(
        outcome(&mut cluster, 3, 0, b"a"),
        Some(ProposalOutcome::Committed(1)),
        "proposing a committed document again returns its version"
    );
    assert_eq!(outcome(&mut cluster, 3, 1, b"b"), Some(ProposalOutcome::Committed(2)));
    cluster.run(4.0);
    // Of two concurrent proposals exactly one is committed.
    cluster.propose(3, 1, 2, b"c");
    cluster.propose(4, 2, 2, b"d");
    cluster.run(1.5);
    let committed =
        [1, 2].iter().filter(|n| cluster.outcomes.get(n) == Some(&ProposalOutcome::Committed(3))).count();
    assert_eq!(committed, 1, "{:?}", cluster.outcomes);
}

#[test]
fn in_a_partition_the_majority_commits_and_the_minority_keeps_its_version_until_it_heals() {
    let mut cluster = SimulatedCluster::new(3, 40, 9, true);
    cluster.run(6.0);
    cluster.propose(20, 1, 0, b"one");
    cluster.run(5.0);
    cluster.partitioned = true;
    cluster.run(12.0);
    // Region 0 has five of the nine voters, a majority.
    cluster.propose(20, 2, 1, b"two");
    cluster.propose(21, 3, 1, b"three");
    cluster.run(8.0);
    assert_eq!(cluster.outcomes.get(&2), Some(&ProposalOutcome::Committed(2)));
    assert_eq!(cluster.outcomes.get(&3), None, "the minority commits nothing");
    for n in 0..40 {
        let core = cluster.core(n).expect("running");
        let (version, lease_state) =
            if n % 2 == 0 { (2, LeaseState::Valid) } else { (1, LeaseState::Expired) };
        assert_eq!(
            (core.active_version(), core.lease_state(cluster.local_time(n))),
            (version, lease_state),
            "node {n}"
        );
    }
    cluster.partitioned = false;
    let healed_at = cluster.now;
    cluster.run(8.0);
    for n in 0..40 {
        let core = cluster.core(n).expect("running");
        assert_eq!(
            (core.active_version(), core.lease_state(cluster.local_time(n))),
            (2, LeaseState::Valid),
            "node {n}"
        );
    }
    let last_activation =
        (1..40).step_by(2).map(|n| cluster.activated_at_us[n][&2]).max().expect("at least one node");
    assert!(last_activation - healed_at < 6_000_000, "{} us", last_activation - healed_at);
    assert_eq!(cluster.max_version_overlap_seconds(), 0.0);
}

#[test]
fn without_a_majority_nothing_is_committed_and_all_nodes_keep_their_version() {
    let mut cluster = SimulatedCluster::new(4, 12, 3, true);
    cluster.run(6.0);
    cluster.propose(5, 1, 0, b"one");
    cluster.run(5.0);
    cluster.kill(0);
    cluster.kill(1);
    cluster.run(5.0);
    cluster.propose(5, 2, 1, b"two");
    cluster.run(20.0);
    assert_eq!(cluster.outcomes.get(&2), None);
    assert!((2..12).all(|n| {
        cluster.core(n).is_some_and(|core| (core.active_version(), core.active_document()) == (1, b"one"))
    }));
    cluster.start(0);
    cluster.run(8.0);
    assert_eq!(
        cluster.outcomes.get(&2),
        Some(&ProposalOutcome::Committed(2)),
        "the proposal was still retransmitted"
    );
}

#[test]
fn a_node_that_starts_late_activates_the_current_version_within_1_5_seconds() {
    let mut cluster = SimulatedCluster::new(5, 30, 3, true);
    cluster.run(6.0);
    cluster.kill(29);
    cluster.propose(5, 1, 0, &document_of_size(9, 6_000));
    cluster.run(10.0);
    cluster.start(29);
    let started_at = cluster.now;
    cluster.run(2.0);
    let elapsed = cluster.activated_at_us[29][&1] - started_at;
    assert!(elapsed < 1_500_000, "{elapsed} us");
}

#[test]
fn a_leader_resumed_after_a_pause_renews_no_lease_on_the_old_version() {
    let mut cluster = SimulatedCluster::new(6, 12, 3, true);
    cluster.run(6.0);
    let leader = cluster.leader().expect("elected leader");
    cluster.pause(leader);
    cluster.run(8.0);
    cluster.propose(7, 1, 0, b"one");
    cluster.run(5.0);
    assert_eq!(cluster.outcomes.get(&1), Some(&ProposalOutcome::Committed(1)));
    cluster.resume(leader);
    cluster.run(4.0);
    assert!((0..12).all(|n| cluster.core(n).is_some_and(|core| core.active_version() == 1)));
    assert_eq!(cluster.max_version_overlap_seconds(), 0.0);
}

#[test]
fn a_voter_with_a_lost_disk_recovers_from_the_other_voters_and_one_with_a_failing_disk_stops_voting() {
    let mut cluster = SimulatedCluster::new(7, 8, 3, true);
    cluster.run(6.0);
    cluster.propose(5, 1, 0, b"one");
    cluster.run(5.0);
    cluster.kill(0);
    cluster.processes[0].disk = None;
    cluster.start(0);
    cluster.run(3.0);
    let hard_state = cluster.core(0).and_then(|core| core.hard_state().copied()).expect("recovered");
    assert_eq!(hard_state.entry.position.version, 1);
    cluster.processes[1].disk_fails = true;
    cluster.run(2.0);
    cluster.propose(5, 2, 1, b"two");
    cluster.run(8.0);
    assert_eq!(
        cluster.core(1).map(ReplicatedConfig::role),
        Some(Some(Role::Learner)),
        "a voter sends nothing that depends on a state it has not persisted"
    );
    let outcome = cluster.outcomes.get(&2);
    assert!(outcome.is_none_or(|outcome| *outcome == ProposalOutcome::Committed(2)), "{outcome:?}");
    cluster.propose(5, 3, 1, b"two");
    cluster.run(8.0);
    assert_eq!(
        cluster.outcomes.get(&3),
        Some(&ProposalOutcome::Committed(2)),
        "two of three voters still commit"
    );
    assert_eq!(cluster.max_version_overlap_seconds(), 0.0);
}
