//! Reloads during an upgrade: what one process of the node has taken, the other takes, too.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use alderstile::types::Micros;
use alderstile_node::clock::MachineTime;
use alderstile_node::config::{ClusterConfig, Config};
use alderstile_node::lifecycle::state_sync::StateSync;
use alderstile_node::lifecycle::state_update::{ConfigUpdate, StateUpdate};
use alderstile_node::node::Node;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UdpSocket, UnixStream};
use tokio::time::{sleep, timeout};

mod support;
use support::processes::*;
use support::*;

/// How long a test waits until a call to discovery counts as not made.
const CALL_WAIT: Duration = Duration::from_secs(3);

fn address(discovery: &StubDiscovery) -> SocketAddr {
    discovery.0.local_addr().expect("bound")
}

/// A predecessor that is ready, with its host.
struct Upgrade {
    host: StubHost,
    old: WatchedProcess,
}

impl Upgrade {
    async fn start(name: &str) -> Self {
        let host = StubHost::new("s-1").await;
        let old = WatchedProcess::start(name, &[host.list_entry("up")]).await;
        Upgrade { host, old }
    }

    /// Starts the successor, which is ready after its watch was answered.
    async fn start_ready_successor(&self) -> (Process, LineConnection) {
        let new = Process::start(&self.old.value, &self.old.dir).await;
        let watch =
            self.old.discovery.accept_watch(&[&list_line(1, true, &[self.host.list_entry("up")])]).await;
        new.wait_until_ready().await;
        (new, watch)
    }

    /// Replaces the configuration file and tells a process to reload it.
    async fn reload(&self, process: &Process, value: &Value) {
        std::fs::write(self.old.dir.join("config.json"), value.to_string()).expect("written");
        process.signal("-HUP").await;
    }
}

/// Waits for two calls for the complete list, one of each process. Neither is answered.
async fn accept_call_of_each_process(discovery: &StubDiscovery) -> [LineConnection; 2] {
    let mut calls = Vec::new();
    for process in ["one process", "the other process"] {
        let call = timeout(CALL_WAIT, discovery.accept_call()).await;
        let (request_line, call) = call.unwrap_or_else(|_| panic!("{process} did not call"));
        assert_eq!(request_line, "GET /catalog/members HTTP/1.1");
        calls.push(call);
    }
    calls.try_into().unwrap_or_else(|_| panic!("two calls"))
}

/// Guards against a successor that asks the former address of discovery for good, as its predecessor alone
/// took the reload (issue 64, review/6).
#[test]
fn reload_of_the_predecessor_reaches_a_successor_that_is_not_ready() {
    run(async {
        let upgrade = Upgrade::start("reload-before").await;
        let new = Process::start(&upgrade.old.value, &upgrade.old.dir).await;
        let _unanswered = upgrade.old.discovery.accept_call().await;
        let moved = StubDiscovery::new().await;
        let mut value = upgrade.old.value.clone();
        value["discovery"] = json!(address(&moved).to_string());
        value["settings"]["classes"][1]["name"] = json!("late");
        upgrade.reload(&upgrade.old.process, &value).await;
        for mut call in accept_call_of_each_process(&moved).await {
            send_complete_list(&mut call, &list_line(7, true, &[upgrade.host.list_entry("up")])).await;
        }
        new.wait_until_ready().await;
        // The new class is known to the successor, and the reload is counted where it was taken.
        assert_eq!(new.metric("success.late").await, 0);
        assert_eq!(
            (upgrade.old.process.metric("reconfig_ok").await, new.metric("reconfig_ok").await),
            (1, 0)
        );
    });
}

/// Guards against a reload that reaches only the process that got the signal, once both are ready (issue 64).
#[test]
fn reload_of_either_process_reaches_the_other_after_the_successor_is_ready() {
    run(async {
        let upgrade = Upgrade::start("reload-after").await;
        let (new, _new_watch) = upgrade.start_ready_successor().await;
        let mut value = upgrade.old.value.clone();
        for process in [&new, &upgrade.old.process] {
            let moved = StubDiscovery::new().await;
            value["discovery"] = json!(address(&moved).to_string());
            upgrade.reload(process, &value).await;
            accept_call_of_each_process(&moved).await;
        }
    });
}

fn node(value: &Value) -> Rc<Node> {
    Rc::new(Node::new(Config::from_file_value(value.clone(), |_| None).expect("a valid configuration")))
}

fn update(read_at: u64, value: &Value, discovery: &str) -> StateUpdate {
    let mut file = value.clone();
    file.as_object_mut().expect("an object").remove("known");
    file["discovery"] = json!(discovery);
    StateUpdate::Config(ConfigUpdate { read_at: MachineTime(read_at), file })
}

/// Returns the configuration that is sent next, passing over the endpoint list and its lease.
fn next_config(sync: &StateSync, node: &Node) -> Option<ConfigUpdate> {
    std::iter::from_fn(|| sync.next_update(node)).find_map(|update| match update {
        StateUpdate::Config(update) => Some(update),
        StateUpdate::ClusterKeys(_) | StateUpdate::List(_) | StateUpdate::ListRequest => None,
    })
}

/// Guards against two processes that exchange their configurations when both are reloaded in one moment.
#[test]
fn newer_configuration_wins_at_both_processes() {
    let value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
    let (older, newer) = (update(5, &value, "127.0.0.1:8505"), update(7, &value, "127.0.0.1:8507"));
    for order in [[&older, &newer], [&newer, &older]] {
        let node = node(&value);
        let sync = StateSync::new(&node, Micros(0));
        order.into_iter().for_each(|update| sync.on_update(&node, update.clone()).expect("applied"));
        assert_eq!(node.config().discovery.port(), 8507);
        assert_eq!(node.decisions.discovery_address().port(), 8507);
        assert!(next_config(&sync, &node).is_none(), "what was received is not sent back");
    }
}

/// Guards against a file that one process took and the other rejects: it lacks a key of the file that the
/// other one started with.
#[test]
fn configuration_that_the_other_process_accepted_may_lack_a_key_of_the_own_file() {
    let mut value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
    let accepted = update(5, &value, "127.0.0.1:8505");
    value["settings"]["obligations"]["stop_sending_within"] = json!(500_000);
    let node = node(&value);
    StateSync::new(&node, Micros(0)).on_update(&node, accepted).expect("applied");
    assert_eq!(node.config().discovery.port(), 8505);
}

#[test]
fn configuration_is_sent_once_with_its_last_value() {
    let value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
    let node = node(&value);
    let sync = StateSync::new(&node, Micros(0));
    assert!(next_config(&sync, &node).is_none());
    // Two changes that are received on another channel, before this one has sent anything.
    let other_channel = StateSync::new(&node, Micros(0));
    for (read_at, discovery) in [(5, "127.0.0.1:8505"), (7, "127.0.0.1:8507")] {
        other_channel.on_update(&node, update(read_at, &value, discovery)).expect("applied");
    }
    let sent = next_config(&sync, &node).expect("sent");
    assert_eq!((sent.read_at, &sent.file["discovery"]), (MachineTime(7), &json!("127.0.0.1:8507")));
    assert!(next_config(&sync, &node).is_none());
}

/// Guards against a reload that is lost because the process that took it ends at once.
#[test]
fn reload_right_before_the_stop_of_the_predecessor_reaches_the_successor() {
    run(async {
        let mut upgrade = Upgrade::start("reload-stop").await;
        let (_new, _new_watch) = upgrade.start_ready_successor().await;
        let moved = StubDiscovery::new().await;
        let mut value = upgrade.old.value.clone();
        value["discovery"] = json!(address(&moved).to_string());
        upgrade.reload(&upgrade.old.process, &value).await;
        upgrade.old.process.signal("-TERM").await;
        let ended = timeout(Duration::from_secs(5), upgrade.old.process.child.wait()).await;
        assert!(ended.expect("in time").expect("ended").success());
        // Calls that the ended process made may be queued: its connections are closed.
        sleep(Duration::from_millis(100)).await;
        loop {
            let call = timeout(CALL_WAIT, moved.accept_call()).await;
            let (_, mut call) = call.expect("the successor calls the new address");
            if timeout(Duration::from_millis(100), call.read_line()).await.is_err() {
                break;
            }
        }
    });
}

/// Returns a cluster file with one seed and one key.
fn cluster_file(listen: SocketAddr, seed: SocketAddr, key: &str) -> String {
    format!(
        "name = \"edge\"\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\nkeys = [\"{key}\"]\nperiod_ms = 200\n"
    )
}

/// Guards against a successor that goes on with the keys of its start after its predecessor has reloaded them:
/// the other members reject all that it sends.
#[test]
fn reloaded_keys_of_the_predecessor_are_used_by_the_successor() {
    run(async {
        let (dir, discovery) = (temp_dir("reload-keys"), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let host = StubHost::new("s-1").await;
        serve_endpoint_list(discovery, vec![host.list_entry("up")]);
        let seed = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let (listen, seed_address) = (free_address().await, seed.local_addr().expect("bound"));
        let path = dir.join("cluster.toml");
        let write_key = |key: &str| {
            std::fs::write(&path, cluster_file(listen, seed_address, key)).expect("written");
        };
        let [former_key, new_key] = ["1", "2"].map(|digit| digit.repeat(64));
        write_key(&former_key);
        let mut old = Process::start_member(&value, &path, &dir).await;
        old.wait_until_ready().await;
        let new = Process::start_member(&value, &path, &dir).await;
        new.wait_until_ready().await;
        write_key(&new_key);
        old.signal("-HUP").await;
        sleep(Duration::from_millis(200)).await;
        old.signal("-TERM").await;
        assert!(timeout(Duration::from_secs(5), old.child.wait()).await.expect("in time").is_ok());
        // What the predecessor has sent may still be queued.
        let mut datagram = [0; 2_048];
        while seed.try_recv(&mut datagram).is_ok() {}
        let codec = ClusterConfig::load(&path).expect("a valid file").codec;
        let length =
            timeout(CALL_WAIT, seed.recv(&mut datagram)).await.expect("a datagram").expect("received");
        assert!(codec.decode(&datagram[..length]).is_ok(), "signed with the former key");
    });
}

/// Guards against two processes that make each other read the cluster file again and again.
#[test]
fn keys_are_requested_once_for_each_reload() {
    run(async {
        let node = node(&node_config("127.0.0.1:9000", "127.0.0.1:8500"));
        let sync = StateSync::new(&node, Micros(0));
        let times = &node.reload_times;
        for (read_at, expected) in [(5, true), (5, false), (4, false), (6, true)] {
            sync.on_update(&node, StateUpdate::ClusterKeys(MachineTime(read_at))).expect("applied");
            let requested = timeout(Duration::ZERO, times.keys_requested.notified()).await.is_ok();
            assert_eq!(requested, expected, "read at {read_at}");
            let mut updates = std::iter::from_fn(|| sync.next_update(&node));
            assert!(!updates.any(|update| matches!(update, StateUpdate::ClusterKeys(_))), "not sent back");
        }
        times.cluster_keys.set(MachineTime(7));
        let mut updates = std::iter::from_fn(|| sync.next_update(&node));
        assert!(updates.any(|update| matches!(update, StateUpdate::ClusterKeys(MachineTime(7)))));
    });
}

/// Joins the process in a directory as a successor of a minor version. Returns the channel, from which the
/// first message was read.
async fn join(dir: &Path, minor_version: u32) -> BufReader<UnixStream> {
    let mut stream = BufReader::new(
        UnixStream::connect(upgrade_socket(dir)).await.expect("the socket of the predecessor"),
    );
    let join = json!({"join": {"version": 1, "minor_version": minor_version}});
    stream.get_mut().write_all(format!("{join}\n").as_bytes()).await.expect("sent");
    let mut state = String::new();
    stream.read_line(&mut state).await.expect("the state");
    assert!(state.contains("\"hello\""), "{state}");
    stream
}

/// Returns whether a message with this text arrives within half a second.
async fn receives(stream: &mut BufReader<UnixStream>, text: &str) -> bool {
    let received = async {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(stream.read_line(&mut line).await.expect("a message") > 0, "the channel is closed");
        }
    };
    timeout(Duration::from_millis(500), received).await.is_ok()
}

/// Guards against a message that a process of the version before takes for a broken channel.
#[test]
fn process_of_an_older_version_receives_no_update() {
    run(async {
        let upgrade = Upgrade::start("reload-older").await;
        for (minor_version, expected) in [(0, false), (1, false), (2, true)] {
            let mut successor = join(&upgrade.old.dir, minor_version).await;
            upgrade.reload(&upgrade.old.process, &upgrade.old.value).await;
            assert_eq!(receives(&mut successor, "\"update\"").await, expected, "version {minor_version}");
            drop(successor);
            sleep(Duration::from_millis(50)).await;
        }
    });
}
