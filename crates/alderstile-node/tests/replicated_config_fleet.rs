//! Replication between real processes: leaders killed, nodes stopped, sides that don't hear each other, lost disks, upgrades.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use alderstile_node::control::replicated_config::ReplicationStatus;
use serde_json::json;

mod support;
use support::fleet::{Fleet, KillOnDrop};
use support::replicated_config::{KEY, document, with_attempts};

/// Of the side that the others don't hear.
const OTHER_KEY: &str = "ffeeddccbbaa99887766554433221100";

#[test]
fn a_proposal_at_any_node_becomes_active_at_all_and_a_faulty_one_at_none() {
    let fleet = Fleet::new(81, 6, 3);
    let all = [1, 2, 3, 4, 5, 6];
    fleet.wait_active(&all, 0);
    assert_eq!(fleet.commit(6, &with_attempts(2)), 1);
    fleet.wait_active(&all, 1);
    let shown = fleet.status(4).expect("shown");
    assert_eq!(shown.document["settings"]["allowed"]["max_attempts"], 2);
    for (n, bad, key) in [
        (5, with_attempts(0), "allowed.max_attempts"),
        (1, json!({"setings": {}}), "unknown field `setings`"),
        (2, document(|document| document["settings"]["my_zone"] = 0.into()), "settings.my_zone"),
        (3, document(|document| document["hosts_out"] = json!([""])), "hosts_out"),
        (4, document(|document| drop(document["settings"]["classes"][0]["name"].take())), "name"),
    ] {
        let (code, said) = fleet.propose(n, &bad, None);
        assert!(code == Some(2) && said.contains(key) && said.contains("proposal.json"), "{code:?} {said}");
    }
    let (code, said) = fleet.propose(5, &with_attempts(4), Some(0));
    assert!(code == Some(2) && said.contains("version 1 is agreed, not 0"), "{code:?} {said}");
    assert!(all.iter().all(|n| fleet.status(*n).is_some_and(|shown| shown.committed_version == 1)));
}

#[test]
fn versions_are_committed_after_the_leader_is_killed_and_it_returns_with_its_hard_state() {
    let mut fleet = Fleet::new(82, 5, 3);
    assert_eq!(fleet.commit(5, &with_attempts(2)), 1);
    let leader = fleet.leader();
    fleet.kill(leader);
    let rest: Vec<u8> = (1..=5).filter(|n| *n != leader).collect();
    assert_eq!(fleet.commit(5, &with_attempts(4)), 2);
    fleet.wait_active(&rest, 2);
    fleet.start(leader);
    fleet.wait_active(&[leader], 2);
    assert!(fleet.log(leader).contains("voter hard state restored"), "{}", fleet.log(leader));
    // Two of three are gone: nothing changes, and the others go on as they are.
    fleet.kill(1);
    fleet.kill(2);
    fleet.wait_until(&[3, 4, 5], "cut off", |shown| {
        shown.lease_state == "cut off" && shown.active_version == 2
    });
    let (code, said) = fleet.propose(4, &with_attempts(5), None);
    assert!(code == Some(1) && said.contains("no word from a leader"), "{code:?} {said}");
    fleet.start(1);
    fleet.wait_until(&[3, 4, 5, 1], "back", |shown| {
        shown.lease_state == "counts" && shown.active_version >= 2
    });
}

#[test]
fn a_stopped_node_follows_the_next_version_once_it_is_continued() {
    let fleet = Fleet::new(83, 5, 3);
    let all = [1, 2, 3, 4, 5];
    assert_eq!(fleet.commit(4, &with_attempts(2)), 1);
    fleet.wait_active(&all, 1);
    let leader = fleet.leader();
    // One that leads, and one that is no voter.
    fleet.signal(5, "-STOP");
    fleet.signal(leader, "-STOP");
    assert_eq!(fleet.commit(4, &with_attempts(4)), 2);
    let rest: Vec<u8> = (1..=4).filter(|n| *n != leader).collect();
    fleet.wait_active(&rest, 2);
    fleet.signal(5, "-CONT");
    fleet.signal(leader, "-CONT");
    fleet.wait_active(&all, 2);
}

#[test]
fn partitioned_sides_never_act_on_two_versions_and_join_again() {
    let fleet = Fleet::new(84, 7, 5);
    assert_eq!(fleet.commit(7, &with_attempts(2)), 1);
    fleet.wait_active(&[1, 2, 3, 4, 5, 6, 7], 1);
    // With another key each side takes nothing from the other: 4, 5 and 7 are the smaller side.
    for n in [4, 5, 7] {
        fleet.write_cluster_file(n, OTHER_KEY);
        fleet.signal(n, "-HUP");
    }
    fleet.wait_until(&[4, 5, 7], "cut off", |shown| shown.lease_state == "cut off");
    assert_eq!(fleet.commit(6, &with_attempts(4)), 2);
    fleet.wait_active(&[1, 2, 3, 6], 2);
    let (code, said) = fleet.propose(7, &with_attempts(5), None);
    assert!(code == Some(1), "{code:?} {said}");
    assert!([4, 5, 7].iter().all(|n| {
        fleet.status(*n).is_some_and(|shown| (shown.active_version, shown.committed_version) == (1, 1))
    }));
    for n in [4, 5, 7] {
        fleet.write_cluster_file(n, KEY);
        fleet.signal(n, "-HUP");
    }
    fleet.wait_active(&[1, 2, 3, 4, 5, 6, 7], 2);
}

#[test]
fn a_voter_without_its_hard_state_asks_all_others_and_has_no_vote_before() {
    let mut fleet = Fleet::new(85, 4, 3);
    assert_eq!(fleet.commit(4, &with_attempts(2)), 1);
    fleet.wait_active(&[1, 2, 3, 4], 1);
    // Without each of the others' word it has no vote.
    fleet.kill(1);
    fleet.kill(2);
    std::fs::remove_file(fleet.store(1)).expect("taken away");
    fleet.start(1);
    fleet.wait_until(&[1], "a learner", |shown| shown.role.as_deref() == Some("learner"));
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(fleet.status(1).and_then(|shown| shown.role).as_deref(), Some("learner"));
    assert!(fleet.log(1).contains("voter hard state missing"), "{}", fleet.log(1));
    fleet.start(2);
    fleet.wait_active(&[1, 2, 3, 4], 1);
    fleet.wait_until(&[1], "a voter", |shown| shown.role.as_deref().is_some_and(|voter| voter != "learner"));
    // Cut short, it is set aside and asked for again.
    fleet.kill(3);
    let whole = std::fs::read(fleet.store(3)).expect("read");
    std::fs::write(fleet.store(3), &whole[..whole.len() / 3]).expect("written");
    fleet.start(3);
    fleet.wait_active(&[3], 1);
    fleet.wait_until(&[3], "a voter", |shown| shown.role.as_deref().is_some_and(|voter| voter != "learner"));
    assert!(fleet.store(3).with_extension("damaged").exists());
    assert_eq!(fleet.commit(4, &with_attempts(4)), 2);
    fleet.wait_active(&[1, 2, 3, 4], 2);
}

#[test]
fn the_successor_of_a_voter_follows_versions_beside_it_and_votes_once_it_has_ended() {
    let mut fleet = Fleet::new(88, 3, 3);
    assert_eq!(fleet.commit(2, &with_attempts(2)), 1);
    fleet.wait_active(&[1, 2, 3], 1);
    fleet.kill(1);
    // The two find each other by a folder; its path has to be short.
    let shared = std::env::temp_dir().join(format!("alderstile-agreed-{}", std::process::id()));
    std::fs::create_dir_all(&shared).expect("a folder");
    let begin = |admin: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_alderstile"));
        program
            .arg("serve")
            .arg("--config")
            .arg(fleet.file(1, "json"))
            .arg("--cluster")
            .arg(fleet.file(1, "toml"));
        program.env("TMPDIR", &shared).env("ROUTER_ADMIN_ADDR", admin).env_remove("RUST_LOG");
        KillOnDrop(program.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("started"))
    };
    let show = |admin: &str| {
        let admin = admin.parse().expect("an address");
        alderstile_node::control::replicated_config::client::status(admin).ok()
    };
    let until = |admin: &str, what: &str, wanted: &dyn Fn(&ReplicationStatus) -> bool| {
        let began = Instant::now();
        while !show(admin).is_some_and(|shown| wanted(&shown)) {
            assert!(began.elapsed() < Duration::from_secs(60), "{what}: {:?}", show(admin));
            std::thread::sleep(Duration::from_millis(30));
        }
    };
    let counts = |shown: &ReplicationStatus| shown.active_version == 1 && shown.lease_state == "counts";
    let (first, second) = (fleet.address(1, 19_004), fleet.address(1, 19_005));
    let mut old = begin(&first);
    until(&first, "a voter", &|shown| counts(shown) && shown.role.is_some());
    let _new = begin(&second);
    until(&second, "without a vote", &|shown| counts(shown) && shown.role.is_none());
    let pid = old.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("sent").success());
    assert!(old.0.wait().expect("ended").success());
    until(&second, "a voter", &|shown| {
        counts(shown) && shown.role.as_deref().is_some_and(|voter| voter != "learner")
    });
    std::fs::remove_dir_all(&shared).expect("taken away");
}
