//! Replication between processes: killed leaders, stopped nodes, partitions, lost disks and upgrades.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use alderstile_node::control::replicated_config::ReplicationStatus;
use serde_json::json;

mod support;
use support::fleet::{Fleet, KillOnDrop};
use support::replicated_config::{CLUSTER_KEY, document, with_attempts};

/// Authentication key of the minority side of a partition.
const OTHER_KEY: &str = "ffeeddccbbaa99887766554433221100";

#[test]
fn a_valid_proposal_becomes_active_at_all_nodes_and_an_invalid_one_is_rejected() {
    let fleet = Fleet::new(81, 6, 3);
    let all = [1, 2, 3, 4, 5, 6];
    fleet.wait_active(&all, 0);
    assert_eq!(fleet.commit(6, &with_attempts(2)), 1);
    fleet.wait_active(&all, 1);
    let status = fleet.status(4).expect("status");
    assert_eq!(status.document["settings"]["allowed"]["max_attempts"], 2);
    for (n, invalid, key) in [
        (5, with_attempts(0), "allowed.max_attempts"),
        (1, json!({"setings": {}}), "unknown field `setings`"),
        (2, document(|document| document["settings"]["my_zone"] = 0.into()), "settings.my_zone"),
        (3, document(|document| document["hosts_out"] = json!([""])), "hosts_out"),
        (4, document(|document| drop(document["settings"]["classes"][0]["name"].take())), "name"),
    ] {
        let (code, output) = fleet.propose(n, &invalid, None);
        assert!(
            code == Some(2) && output.contains(key) && output.contains("proposal.json"),
            "{code:?} {output}"
        );
    }
    let (code, output) = fleet.propose(5, &with_attempts(4), Some(0));
    assert!(code == Some(2) && output.contains("version 1 is agreed, not 0"), "{code:?} {output}");
    assert!(all.iter().all(|n| fleet.status(*n).is_some_and(|status| status.committed_version == 1)));
}

#[test]
fn versions_are_committed_after_the_leader_is_killed_and_it_restarts_with_its_hard_state() {
    let mut fleet = Fleet::new(82, 5, 3);
    assert_eq!(fleet.commit(5, &with_attempts(2)), 1);
    let leader = fleet.leader();
    fleet.kill(leader);
    let others: Vec<u8> = (1..=5).filter(|n| *n != leader).collect();
    assert_eq!(fleet.commit(5, &with_attempts(4)), 2);
    fleet.wait_active(&others, 2);
    fleet.start(leader);
    fleet.wait_active(&[leader], 2);
    assert!(fleet.log(leader).contains("voter hard state restored"), "{}", fleet.log(leader));
    // Without two of the three voters nothing is committed, and the other nodes keep the active version.
    fleet.kill(1);
    fleet.kill(2);
    fleet.wait_until(&[3, 4, 5], "expired leases", |status| {
        status.lease_state == "cut off" && status.active_version == 2
    });
    let (code, output) = fleet.propose(4, &with_attempts(5), None);
    assert!(code == Some(1) && output.contains("no reply from a leader"), "{code:?} {output}");
    fleet.start(1);
    fleet.wait_until(&[3, 4, 5, 1], "valid leases after the restart", |status| {
        status.lease_state == "counts" && status.active_version >= 2
    });
}

#[test]
fn a_stopped_node_activates_the_next_version_once_it_is_resumed() {
    let fleet = Fleet::new(83, 5, 3);
    let all = [1, 2, 3, 4, 5];
    assert_eq!(fleet.commit(4, &with_attempts(2)), 1);
    fleet.wait_active(&all, 1);
    let leader = fleet.leader();
    // The leader, and a node that is not a voter.
    fleet.signal(5, "-STOP");
    fleet.signal(leader, "-STOP");
    assert_eq!(fleet.commit(4, &with_attempts(4)), 2);
    let others: Vec<u8> = (1..=4).filter(|n| *n != leader).collect();
    fleet.wait_active(&others, 2);
    fleet.signal(5, "-CONT");
    fleet.signal(leader, "-CONT");
    fleet.wait_active(&all, 2);
}

#[test]
fn partitioned_sides_never_act_on_two_versions_and_reconverge_after_healing() {
    let fleet = Fleet::new(84, 7, 5);
    assert_eq!(fleet.commit(7, &with_attempts(2)), 1);
    fleet.wait_active(&[1, 2, 3, 4, 5, 6, 7], 1);
    // Each side rejects the other key. Nodes 4, 5 and 7 are the minority.
    for n in [4, 5, 7] {
        fleet.write_cluster_file(n, OTHER_KEY);
        fleet.signal(n, "-HUP");
    }
    fleet.wait_until(&[4, 5, 7], "expired leases", |status| status.lease_state == "cut off");
    assert_eq!(fleet.commit(6, &with_attempts(4)), 2);
    fleet.wait_active(&[1, 2, 3, 6], 2);
    let (code, output) = fleet.propose(7, &with_attempts(5), None);
    assert!(code == Some(1), "{code:?} {output}");
    assert!([4, 5, 7].iter().all(|n| {
        fleet.status(*n).is_some_and(|status| (status.active_version, status.committed_version) == (1, 1))
    }));
    for n in [4, 5, 7] {
        fleet.write_cluster_file(n, CLUSTER_KEY);
        fleet.signal(n, "-HUP");
    }
    fleet.wait_active(&[1, 2, 3, 4, 5, 6, 7], 2);
}

#[test]
fn a_voter_without_its_hard_state_is_a_learner_until_all_other_voters_have_replied() {
    let mut fleet = Fleet::new(85, 4, 3);
    assert_eq!(fleet.commit(4, &with_attempts(2)), 1);
    fleet.wait_active(&[1, 2, 3, 4], 1);
    // Voter 1 does not vote before both other voters have replied.
    fleet.kill(1);
    fleet.kill(2);
    std::fs::remove_file(fleet.store(1)).expect("removed");
    fleet.start(1);
    fleet.wait_until(&[1], "a learner", |status| status.role.as_deref() == Some("learner"));
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(fleet.status(1).and_then(|status| status.role).as_deref(), Some("learner"));
    assert!(fleet.log(1).contains("voter hard state missing"), "{}", fleet.log(1));
    fleet.start(2);
    fleet.wait_active(&[1, 2, 3, 4], 1);
    fleet.wait_until(&[1], "a voter", |status| status.role.as_deref().is_some_and(|role| role != "learner"));
    // A truncated store is renamed, and the state is recovered from the other voters.
    fleet.kill(3);
    let store = std::fs::read(fleet.store(3)).expect("read");
    std::fs::write(fleet.store(3), &store[..store.len() / 3]).expect("written");
    fleet.start(3);
    fleet.wait_active(&[3], 1);
    fleet.wait_until(&[3], "a voter", |status| status.role.as_deref().is_some_and(|role| role != "learner"));
    assert!(fleet.store(3).with_extension("damaged").exists());
    assert_eq!(fleet.commit(4, &with_attempts(4)), 2);
    fleet.wait_active(&[1, 2, 3, 4], 2);
}

#[test]
fn the_successor_of_a_voter_follows_versions_without_a_vote_and_votes_once_its_predecessor_has_exited() {
    let mut fleet = Fleet::new(88, 3, 3);
    assert_eq!(fleet.commit(2, &with_attempts(2)), 1);
    fleet.wait_active(&[1, 2, 3], 1);
    fleet.kill(1);
    // The two processes find each other through a socket in this directory. Its path must be short, as the
    // system limits the length of a socket's path.
    let shared_dir = std::env::temp_dir().join(format!("alderstile-agreed-{}", std::process::id()));
    std::fs::create_dir_all(&shared_dir).expect("a directory");
    let start = |admin: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_alderstile"));
        program
            .arg("serve")
            .arg("--config")
            .arg(fleet.file(1, "json"))
            .arg("--cluster")
            .arg(fleet.file(1, "toml"));
        program.env("TMPDIR", &shared_dir).env("ROUTER_ADMIN_ADDR", admin).env_remove("RUST_LOG");
        KillOnDrop(program.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("started"))
    };
    let status = |admin: &str| {
        let admin = admin.parse().expect("an address");
        alderstile_node::control::replicated_config::client::status(admin).ok()
    };
    let wait_until = |admin: &str, condition: &str, is_met: &dyn Fn(&ReplicationStatus) -> bool| {
        let started_at = Instant::now();
        while !status(admin).is_some_and(|status| is_met(&status)) {
            assert!(started_at.elapsed() < Duration::from_secs(60), "{condition}: {:?}", status(admin));
            std::thread::sleep(Duration::from_millis(30));
        }
    };
    let is_current =
        |status: &ReplicationStatus| status.active_version == 1 && status.lease_state == "counts";
    let (first, second) = (fleet.address(1, 19_004), fleet.address(1, 19_005));
    let mut predecessor = start(&first);
    wait_until(&first, "a voter", &|status| is_current(status) && status.role.is_some());
    let _successor = start(&second);
    wait_until(&second, "without a vote", &|status| is_current(status) && status.role.is_none());
    let pid = predecessor.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("sent").success());
    assert!(predecessor.0.wait().expect("ended").success());
    wait_until(&second, "a voter", &|status| {
        is_current(status) && status.role.as_deref().is_some_and(|role| role != "learner")
    });
    std::fs::remove_dir_all(&shared_dir).expect("removed");
}
