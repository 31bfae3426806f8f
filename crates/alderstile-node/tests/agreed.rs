//! Agreed settings: real processes with faults between them, what a node does by a version, and a voter's memory on disk.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use alderstile_cluster::replicated_config::{HardState, LogPosition, VersionHeader};
use alderstile_node::config::{ClusterConfig, Config};
use alderstile_node::control::replicated_config::ReplicationStatus;
use alderstile_node::control::replicated_config::document::ConfigDocument;
use alderstile_node::control::replicated_config::store::{StoreError, VoterStore, decode};
use alderstile_node::discovery::endpoint_list::server_id;
use alderstile_node::lifecycle::reload::reload;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

mod support;
use support::replicated_config::*;
use support::*;

const OTHER_KEY: &str = "ffeeddccbbaa99887766554433221100";

fn with_attempts(most: u64) -> Value {
    document(|document| document["settings"]["allowed"]["max_attempts"] = most.into())
}

/// Several nodes' processes on loopback addresses of their own, the first of them voters.
struct Fleet {
    dir: PathBuf,
    net: u8,
    voters: u8,
    running: Vec<Option<Child>>,
}

impl Fleet {
    fn new(net: u8, count: u8, voters: u8) -> Self {
        let dir = folder(&format!("fleet-{net}"));
        let mut fleet = Fleet { dir, net, voters, running: (0..count).map(|_| None).collect() };
        for n in 1..=count {
            let mut file = config(&fleet.at(n, 19_000), "127.0.0.1:1");
            (file["name"], file["admin_addr"]) = (format!("n{n}").into(), fleet.at(n, 19_001).into());
            std::fs::write(fleet.file(n, "json"), file.to_string()).expect("written");
            fleet.key(n, KEY);
            if n <= voters {
                let out = fleet.call(n, &["settings", "init"]);
                assert!(out.status.success(), "{out:?}");
                let again = fleet.call(n, &["settings", "init"]);
                assert_eq!(again.status.code(), Some(2), "it never takes a memory's place");
            }
            fleet.start(n);
        }
        fleet
    }

    fn at(&self, n: u8, port: u16) -> String {
        format!("127.0.{}.{n}:{port}", self.net)
    }

    fn file(&self, n: u8, kind: &str) -> PathBuf {
        self.dir.join(format!("{n}.{kind}"))
    }

    fn store(&self, n: u8) -> PathBuf {
        VoterStore::path(&self.dir, &format!("n{n}"))
    }

    /// Writes a node's cluster's file, with this key.
    fn key(&self, n: u8, key: &str) {
        let voters: Vec<String> = (1..=self.voters).map(|n| format!("\"{}\"", self.at(n, 19_003))).collect();
        let text = format!(
            "name = \"edge\"\nlisten = \"{}\"\nseeds = [\"{}\", \"{}\"]\nkeys = [\"{key}\"]\nperiod_ms = 200\n\
             [control]\nlisten = \"{}\"\nvoters = [{}]\nstate_dir = \"{}\"\nheartbeat_ms = 150\nlease_s = 0.9\n",
            self.at(n, 19_002),
            self.at(1, 19_002),
            self.at(2, 19_002),
            self.at(n, 19_003),
            voters.join(", "),
            self.dir.display()
        );
        std::fs::write(self.file(n, "toml"), text).expect("written");
    }

    fn call(&self, n: u8, args: &[&str]) -> Output {
        let mut program = Command::new(env!("CARGO_BIN_EXE_alderstile"));
        program
            .args(args)
            .arg("--config")
            .arg(self.file(n, "json"))
            .arg("--cluster")
            .arg(self.file(n, "toml"));
        program.output().expect("run")
    }

    fn start(&mut self, n: u8) {
        let log =
            std::fs::File::options().create(true).append(true).open(self.file(n, "log")).expect("a log");
        let mut program = Command::new(env!("CARGO_BIN_EXE_alderstile"));
        program
            .arg("serve")
            .arg("--config")
            .arg(self.file(n, "json"))
            .arg("--cluster")
            .arg(self.file(n, "toml"));
        let child =
            program.env_remove("RUST_LOG").stderr(log).stdout(Stdio::null()).spawn().expect("started");
        self.running[usize::from(n) - 1] = Some(child);
    }

    fn kill(&mut self, n: u8) {
        if let Some(mut child) = self.running[usize::from(n) - 1].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    fn signal(&self, n: u8, signal: &str) {
        let pid = self.running[usize::from(n) - 1].as_ref().expect("up").id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("sent").success());
    }

    fn show(&self, n: u8) -> Option<ReplicationStatus> {
        let out = self.call(n, &["settings", "show"]);
        serde_json::from_slice(&out.stdout).ok()
    }

    /// Proposes a document at a node; what the command said, and how it ended.
    fn propose(&self, n: u8, document: &Value, expect: Option<u64>) -> (Option<i32>, String) {
        let path = self.dir.join("proposal.json");
        std::fs::write(&path, document.to_string()).expect("written");
        let mut args = vec!["settings".to_owned(), "propose".to_owned(), path.display().to_string()];
        if let Some(expect) = expect {
            args.extend(["--expect".to_owned(), expect.to_string()]);
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let out = self.call(n, &args);
        let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.code(), text)
    }

    /// Proposes until it is agreed on: a leader may have to be elected, or the version before to count, first.
    fn agree(&self, n: u8, document: &Value) -> u64 {
        let began = Instant::now();
        loop {
            let (code, said) = self.propose(n, document, None);
            if code == Some(0) {
                return said
                    .trim()
                    .strip_prefix("version ")
                    .and_then(|text| text.parse().ok())
                    .expect("a version");
            }
            assert!(began.elapsed() < Duration::from_secs(60), "{said}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until these nodes are as wanted.
    fn until(&self, nodes: &[u8], what: &str, wanted: impl Fn(&ReplicationStatus) -> bool) {
        let began = Instant::now();
        while !nodes.iter().all(|n| self.show(*n).is_some_and(|shown| wanted(&shown))) {
            let shown: Vec<Option<ReplicationStatus>> = nodes.iter().map(|n| self.show(*n)).collect();
            assert!(began.elapsed() < Duration::from_secs(60), "{what}: {shown:#?}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    fn counts(&self, nodes: &[u8], version: u64) {
        self.until(nodes, &format!("version {version}"), |shown| {
            shown.active_version == version && shown.lease_state == "counts" && shown.rejection.is_none()
        });
    }

    fn leader(&self) -> u8 {
        let began = Instant::now();
        loop {
            let voter = |n: &u8| self.show(*n).is_some_and(|shown| shown.role.as_deref() == Some("leader"));
            if let Some(leader) = (1..=self.voters).find(voter) {
                return leader;
            }
            assert!(began.elapsed() < Duration::from_secs(60), "no leader");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn log(&self, n: u8) -> String {
        std::fs::read_to_string(self.file(n, "log")).unwrap_or_default()
    }
}

/// A process that ends with its owner.
struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.kill().unwrap_or_default();
        let _ = self.0.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.running.iter_mut().flatten() {
            child.kill().unwrap_or_default();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.dir).unwrap_or_default();
        }
    }
}

#[test]
fn a_proposal_at_any_node_counts_at_all_of_them_and_a_faulty_one_at_none() {
    let fleet = Fleet::new(81, 6, 3);
    let all = [1, 2, 3, 4, 5, 6];
    fleet.counts(&all, 0);
    assert_eq!(fleet.agree(6, &with_attempts(2)), 1);
    fleet.counts(&all, 1);
    let shown = fleet.show(4).expect("shown");
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
    assert!(all.iter().all(|n| fleet.show(*n).is_some_and(|shown| shown.committed_version == 1)));
}

#[test]
fn changes_go_on_when_the_leader_is_killed_and_it_comes_back_by_its_memory() {
    let mut fleet = Fleet::new(82, 5, 3);
    assert_eq!(fleet.agree(5, &with_attempts(2)), 1);
    let leader = fleet.leader();
    fleet.kill(leader);
    let rest: Vec<u8> = (1..=5).filter(|n| *n != leader).collect();
    assert_eq!(fleet.agree(5, &with_attempts(4)), 2);
    fleet.counts(&rest, 2);
    fleet.start(leader);
    fleet.counts(&[leader], 2);
    assert!(fleet.log(leader).contains("voter hard state restored"), "{}", fleet.log(leader));
    // Two of three are gone: nothing changes, and the others go on as they are.
    fleet.kill(1);
    fleet.kill(2);
    fleet.until(&[3, 4, 5], "cut off", |shown| shown.lease_state == "cut off" && shown.active_version == 2);
    let (code, said) = fleet.propose(4, &with_attempts(5), None);
    assert!(code == Some(1) && said.contains("no word from a leader"), "{code:?} {said}");
    fleet.start(1);
    fleet.until(&[3, 4, 5, 1], "back", |shown| shown.lease_state == "counts" && shown.active_version >= 2);
}

#[test]
fn a_node_that_stood_still_knows_that_it_was_cut_off_and_hears_of_the_next_version() {
    let fleet = Fleet::new(83, 5, 3);
    let all = [1, 2, 3, 4, 5];
    assert_eq!(fleet.agree(4, &with_attempts(2)), 1);
    fleet.counts(&all, 1);
    let leader = fleet.leader();
    // One that leads, and one that is no voter.
    fleet.signal(5, "-STOP");
    fleet.signal(leader, "-STOP");
    assert_eq!(fleet.agree(4, &with_attempts(4)), 2);
    let rest: Vec<u8> = (1..=4).filter(|n| *n != leader).collect();
    fleet.counts(&rest, 2);
    fleet.signal(5, "-CONT");
    fleet.signal(leader, "-CONT");
    fleet.counts(&all, 2);
}

#[test]
fn two_sides_that_do_not_hear_each_other_never_count_by_two_versions_and_join_again() {
    let fleet = Fleet::new(84, 7, 5);
    assert_eq!(fleet.agree(7, &with_attempts(2)), 1);
    fleet.counts(&[1, 2, 3, 4, 5, 6, 7], 1);
    // With another key each side takes nothing from the other: 4, 5 and 7 are the smaller side.
    for n in [4, 5, 7] {
        fleet.key(n, OTHER_KEY);
        fleet.signal(n, "-HUP");
    }
    fleet.until(&[4, 5, 7], "cut off", |shown| shown.lease_state == "cut off");
    assert_eq!(fleet.agree(6, &with_attempts(4)), 2);
    fleet.counts(&[1, 2, 3, 6], 2);
    let (code, said) = fleet.propose(7, &with_attempts(5), None);
    assert!(code == Some(1), "{code:?} {said}");
    assert!([4, 5, 7].iter().all(|n| {
        fleet.show(*n).is_some_and(|shown| (shown.active_version, shown.committed_version) == (1, 1))
    }));
    for n in [4, 5, 7] {
        fleet.key(n, KEY);
        fleet.signal(n, "-HUP");
    }
    fleet.counts(&[1, 2, 3, 4, 5, 6, 7], 2);
}

#[test]
fn a_voter_whose_memory_is_lost_or_damaged_asks_all_others_and_is_not_believed_before() {
    let mut fleet = Fleet::new(85, 4, 3);
    assert_eq!(fleet.agree(4, &with_attempts(2)), 1);
    fleet.counts(&[1, 2, 3, 4], 1);
    // Without each of the others' word it has no vote.
    fleet.kill(1);
    fleet.kill(2);
    std::fs::remove_file(fleet.store(1)).expect("taken away");
    fleet.start(1);
    fleet.until(&[1], "a learner", |shown| shown.role.as_deref() == Some("learner"));
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(fleet.show(1).and_then(|shown| shown.role).as_deref(), Some("learner"));
    assert!(fleet.log(1).contains("voter hard state missing"), "{}", fleet.log(1));
    fleet.start(2);
    fleet.counts(&[1, 2, 3, 4], 1);
    fleet.until(&[1], "a voter", |shown| shown.role.as_deref().is_some_and(|voter| voter != "learner"));
    // Cut short, it is set aside and asked for again.
    fleet.kill(3);
    let whole = std::fs::read(fleet.store(3)).expect("read");
    std::fs::write(fleet.store(3), &whole[..whole.len() / 3]).expect("written");
    fleet.start(3);
    fleet.counts(&[3], 1);
    fleet.until(&[3], "a voter", |shown| shown.role.as_deref().is_some_and(|voter| voter != "learner"));
    assert!(fleet.store(3).with_extension("damaged").exists());
    assert_eq!(fleet.agree(4, &with_attempts(4)), 2);
    fleet.counts(&[1, 2, 3, 4], 2);
}

#[test]
fn the_process_that_takes_a_voter_over_hears_of_versions_beside_it_and_votes_once_it_has_ended() {
    let mut fleet = Fleet::new(88, 3, 3);
    assert_eq!(fleet.agree(2, &with_attempts(2)), 1);
    fleet.counts(&[1, 2, 3], 1);
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
        Ended(program.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("started"))
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
    let (first, second) = (fleet.at(1, 19_004), fleet.at(1, 19_005));
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

#[test]
fn settings_and_hosts_out_count_at_the_node_and_the_stricter_of_both_while_a_version_waits() {
    run(async {
        let hosts = [Host::new("s-1").await, Host::new("s-2").await];
        let (setup, _watch, control, dir) = alone(86, &[&hosts[0], &hosts[1]]).await;
        let out = |host: &str| {
            setup
                .node
                .decisions
                .decide(|balancer, _| balancer.maintenance().is_in_maintenance(server_id(host)))
        };
        let most = || setup.node.config().settings.max_attempts;
        let both = document(|document| {
            document["settings"]["allowed"]["max_attempts"] = 2.into();
            document["hosts_out"] = json!(["s-1"]);
        });
        assert_eq!(agreed(&control, &both).await, 1);
        // Agreed and not in force yet: fewer attempts and a host out count at once.
        assert_eq!((control.status().active_version, most(), out("s-1")), (0, 2, true));
        in_force(&control, 1).await;
        assert_eq!((most(), out("s-1"), out("s-2")), (2, true, false));
        assert!(setup.node.admin.metrics_text().contains("router.hosts_down:1|g"));
        let wider = document(|document| {
            document["settings"]["allowed"]["max_attempts"] = 5.into();
            document["settings"]["obligations"]["fall_multiple"] = 3.0.into();
            document["hosts_out"] = json!(["s-2"]);
        });
        assert_eq!(agreed(&control, &wider).await, 2);
        assert_eq!(control.status().active_version, 1);
        assert_eq!((most(), out("s-1"), out("s-2")), (2, true, true), "both are out until it counts");
        in_force(&control, 2).await;
        assert_eq!((most(), out("s-1"), out("s-2")), (5, false, true));
        // The file at SIGHUP can't undo what is agreed; its other keys count.
        let path = dir.join("file.json");
        let mut file = setup.node.config().told.clone();
        file["settings"]["allowed"]["max_attempts"] = 1.into();
        file["discovery"] = "127.0.0.1:9".into();
        std::fs::write(&path, file.to_string()).expect("written");
        reload(&setup.node, Some(&path), |_| None);
        assert_eq!((most(), setup.node.config().discovery.port()), (5, 9));
        let figures = setup.node.admin.metrics_text();
        assert!(figures.contains("router.agreed_version:2|g"), "{figures}");
        assert!(setup.node.admin.is_ready());
        std::fs::remove_dir_all(&dir).expect("taken away");
    });
}

#[test]
fn a_host_out_by_hand_at_a_node_stays_out_when_the_agreed_word_ends() {
    run(async {
        let host = Host::new("s-1").await;
        let (setup, _watch, control, dir) = alone(87, &[&host]).await;
        let out = || {
            setup
                .node
                .decisions
                .decide(|balancer, _| balancer.maintenance().is_in_maintenance(server_id("s-1")))
        };
        agreed(&control, &document(|document| document["hosts_out"] = json!(["s-1"]))).await;
        in_force(&control, 1).await;
        setup.node.admin.apply_maintenance(
            "s-1",
            alderstile_node::admin::maintenance_store::MaintenanceState::OutOfService,
        );
        agreed(&control, &document(|_| {})).await;
        in_force(&control, 2).await;
        assert!(out(), "by hand");
        std::fs::remove_dir_all(&dir).expect("taken away");
    });
}

#[test]
fn without_the_table_there_is_no_such_path_and_no_figure() {
    run(async {
        let setup = start(|_| {}).await;
        assert!(setup.node.admin.replicated_config().is_none());
        assert!(!setup.node.admin.metrics_text().contains("agreed"));
    });
}

#[test]
fn a_faulty_table_is_turned_down_with_its_key() {
    let fine = format!(
        "name = \"edge\"\nlisten = \"127.0.0.1:7946\"\nkeys = [\"{KEY}\"]\n[control]\nlisten = \"127.0.0.1:7950\"\n\
         voters = [\"127.0.0.2:7950\", \"127.0.0.3:7950\"]\n"
    );
    let config = ClusterConfig::parse("c.toml", &fine).expect("fine").control.expect("a table");
    assert_eq!((config.settings.me, config.settings.lease.0), (None, 2_500_000));
    for (from, to, key) in [
        ("127.0.0.1:7950", "127.0.0.1:0", "control.listen"),
        ("127.0.0.1:7950", "127.0.0.2:7950", "control.state_dir"),
        ("voters = [\"127.0.0.2:7950\", \"127.0.0.3:7950\"]", "voters = []", "control.voters"),
        ("127.0.0.3:7950", "127.0.0.2:7950", "control.voters[1]"),
        ("127.0.0.3:7950", "0.0.0.0:7950", "control.voters[1]"),
        ("voters", "heartbeat_ms = 1\nvoters", "control.heartbeat_ms"),
        ("voters", "lease_s = 2.4\nvoters", "control.lease_s"),
        ("voters", "lease_s = nan\nvoters", "control.lease_s"),
        ("voters", "drift = 0.2\nvoters", "control.drift"),
        ("voters", "fanout = 1\nvoters", "control.fanout"),
        ("voters", "cut_off = \"stop\"\nvoters", "unknown variant `stop`"),
        ("voters", "what = 1\nvoters", "unknown field `what`"),
    ] {
        let error = ClusterConfig::parse("c.toml", &fine.replacen(from, to, 1)).err().map(|e| e.to_string());
        assert!(error.as_ref().is_some_and(|error| error.contains(key)), "{to}: {error:?}");
    }
}

fn memory(version: u64, document: &[u8]) -> HardState {
    let position = LogPosition { term: 4, version };
    let entry = VersionHeader {
        position,
        digest: alderstile_cluster::digest(document),
        length: document.len() as u32,
    };
    HardState { term: 5, vote: Some(2), entry }
}

/// What a store holds. Processes that other tests start at this moment hold its lock until they have become themselves.
fn open(path: &Path) -> Option<(HardState, Vec<u8>)> {
    let began = Instant::now();
    loop {
        match VoterStore::open(path, 7) {
            Err(StoreError::Locked) if began.elapsed() < Duration::from_secs(20) => {}
            opened => return opened.expect("opened").1,
        }
    }
}

#[test]
fn a_memory_is_read_as_it_was_saved_and_belongs_to_one_process_and_one_list_of_voters() {
    let dir = folder("store");
    let path = VoterStore::path(&dir, "n/1");
    assert_eq!(open(&path), None);
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    assert!(matches!(VoterStore::open(&path, 7), Err(StoreError::Locked)));
    for version in 1..20 {
        store.save(&memory(version, &[b'a'; 9_000]), &[b'a'; 9_000]).expect("saved");
    }
    drop(store);
    assert_eq!(open(&path), Some((memory(19, &[b'a'; 9_000]), vec![b'a'; 9_000])));
    let other = loop {
        match VoterStore::open(&path, 8) {
            Err(StoreError::Locked) => {}
            opened => break opened.err(),
        }
    };
    assert!(matches!(other, Some(StoreError::VoterListMismatch(_))), "{other:?}");
    std::fs::remove_dir_all(&dir).expect("taken away");
}

#[test]
fn a_store_that_is_cut_short_or_damaged_at_any_byte_is_not_believed() {
    let dir = folder("damage");
    let path = VoterStore::path(&dir, "n1");
    let document = b"a document";
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&memory(3, document), document).expect("saved");
    drop(store);
    let whole = std::fs::read(&path).expect("read");
    assert_eq!(open(&path), Some((memory(3, document), document.to_vec())));
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x40;
        for bytes in [&flipped[..], &whole[..at]] {
            std::fs::write(&path, bytes).expect("written");
            assert_eq!(open(&path), None, "{at}");
            assert!(!path.exists() && path.with_extension("damaged").exists(), "it is set aside");
        }
    }
    std::fs::remove_dir_all(&dir).expect("taken away");
}

#[test]
fn a_memory_that_can_t_be_put_on_disk_is_said_to_be_so_and_the_one_before_stays() {
    let dir = folder("full");
    let path = VoterStore::path(&dir, "n1");
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&memory(1, b"one"), b"one").expect("saved");
    // Nothing can be written beside it.
    std::fs::create_dir(path.with_extension("voter-new")).expect("a folder in its place");
    assert!(matches!(store.save(&memory(2, b"two"), b"two"), Err(StoreError::Io { .. })));
    drop(store);
    assert_eq!(open(&path), Some((memory(1, b"one"), b"one".to_vec())));
    std::fs::remove_dir_all(&dir).expect("taken away");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(46), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_are_taken_for_a_memory_and_no_text_for_a_document(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        text in "[{}a-z\":,0-9\\[\\] ]{0,60}",
    ) {
        prop_assert_eq!(decode(&bytes), None);
        let file = Config::of_file(config("127.0.0.1:9000", "127.0.0.1:8500"), |_| None).expect("fine");
        for document in [ConfigDocument::parse(&bytes), ConfigDocument::parse(text.as_bytes())].into_iter().flatten() {
            prop_assert!(document.validate(&file).is_err());
        }
    }
}
