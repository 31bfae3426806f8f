//! The endpoint list during an upgrade: what one process of the node has heard, the other acts on, too.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use alderstile::types::Micros;
use alderstile_node::clock::MachineTime;
use alderstile_node::config::Config;
use alderstile_node::discovery::endpoint_list::{EndpointList, EndpointRecord, Health};
use alderstile_node::discovery::list_update::{ListComparison, ListUpdate};
use alderstile_node::lifecycle::list_sync::ListSync;
use alderstile_node::lifecycle::state_update::StateUpdate;
use alderstile_node::lifecycle::upgrade_message::UpgradeMessage;
use alderstile_node::node::Node;
use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

mod support;
use support::processes::*;
use support::*;

const DISCOVERY: &str = "127.0.0.1:8500";
/// How long a drain may take from one process to the other.
const SHARE_TIME: Duration = Duration::from_millis(300);
/// The number of clients that show which hosts are in use.
const CLIENTS: u32 = 20;

// ---- what is sent and applied ----

fn discovery() -> SocketAddr {
    DISCOVERY.parse().expect("an address")
}

fn endpoint(number: usize, health: Health) -> EndpointRecord {
    let port = u16::try_from(1_000 + number % 60_000).expect("a port");
    EndpointRecord {
        address: Some(SocketAddr::from(([127, 0, 0, 1], port))),
        zone: "a".to_owned(),
        health,
        weight: 1.0,
        ..EndpointRecord::removed(format!("host-{number}"))
    }
}

fn delta(version: u64, endpoints: Vec<EndpointRecord>) -> EndpointList {
    EndpointList { version, complete: false, endpoints }
}

fn complete(version: u64, endpoints: Vec<EndpointRecord>) -> EndpointList {
    EndpointList { version, complete: true, endpoints }
}

/// One process of a node, without I/O.
struct Side {
    node: Node,
    sync: ListSync,
}

impl Side {
    /// Returns two processes that have the same list, version 40 with three hosts.
    fn pair() -> [Side; 2] {
        [(); 2].map(|()| {
            let config = Config::from_file_value(node_config("127.0.0.1:9000", DISCOVERY), |_| None);
            let node = Node::new(config.expect("a valid configuration"));
            node.decisions.apply_list(&complete(40, (0..3).map(|host| endpoint(host, Health::Up)).collect()));
            let sync = ListSync::new(&node.decisions, Micros(0));
            Side { node, sync }
        })
    }

    fn sent(&mut self) -> Vec<ListUpdate> {
        std::iter::from_fn(|| self.sync.next_update(&self.node.decisions)).collect()
    }

    fn receive(&mut self, updates: Vec<ListUpdate>) {
        for update in updates {
            self.sync.on_update(&self.node.decisions, update).expect("short enough");
        }
    }

    /// Returns the health of a host, `None` if it is not listed.
    fn health(&self, host: usize) -> Option<Health> {
        let list = self.node.decisions.complete_list();
        let name = format!("host-{host}");
        list.endpoints.into_iter().find(|endpoint| endpoint.name == name).map(|endpoint| endpoint.health)
    }
}

/// Sends what each process lacks to the other one, and requests what is missing then.
fn exchange([first, second]: &mut [Side; 2]) {
    let (of_first, of_second) = (first.sent(), second.sent());
    first.receive(of_second);
    second.receive(of_first);
    if first.sync.take_request(&first.node.decisions) {
        second.sync.on_request();
    }
    if second.sync.take_request(&second.node.decisions) {
        first.sync.on_request();
    }
}

#[test]
fn drain_removal_and_new_host_reach_the_other_process_and_are_not_sent_back() {
    let mut sides = Side::pair();
    exchange(&mut sides);
    let changes = vec![
        endpoint(0, Health::Draining),
        EndpointRecord::removed("host-1".to_owned()),
        endpoint(9, Health::Up),
    ];
    sides[0].node.decisions.apply_list(&delta(41, changes));
    let sent = sides[0].sent();
    assert_eq!((sent.len(), sent[0].list.endpoints.len(), sent[0].base_version), (1, 3, 40));
    sides[1].receive(sent);
    let health = [0, 1, 2, 9].map(|host| sides[1].health(host));
    assert_eq!(health, [Some(Health::Draining), None, Some(Health::Up), Some(Health::Up)]);
    assert_eq!(sides[1].node.decisions.known_list_version(), Some(41));
    assert!(sides[1].sent().iter().all(|update| update.list.endpoints.is_empty()), "not sent back");
    // A host that a complete list leaves out is sent as removed.
    sides[0].node.decisions.apply_list(&complete(42, vec![endpoint(0, Health::Draining)]));
    exchange(&mut sides);
    assert_eq!([2, 9].map(|host| sides[1].health(host)), [None, None]);
}

/// Guards against a process whose newer list is replaced by the other's older one.
#[test]
fn newer_list_wins_whichever_process_hears_first() {
    for newer in [0, 1] {
        let mut sides = Side::pair();
        let older = 1 - newer;
        sides[newer].node.decisions.apply_list(&delta(41, vec![endpoint(0, Health::Draining)]));
        sides[newer].node.decisions.apply_list(&delta(42, vec![endpoint(1, Health::Draining)]));
        sides[older].node.decisions.apply_list(&delta(41, vec![endpoint(0, Health::Draining)]));
        exchange(&mut sides);
        exchange(&mut sides);
        for side in &sides {
            assert_eq!([0, 1].map(|host| side.health(host)), [Some(Health::Draining); 2]);
            assert_eq!(side.node.decisions.known_list_version(), Some(42));
        }
    }
}

/// Guards against messages that exceed the channel's limits, and against a list that is applied in part.
#[test]
fn large_list_is_sent_in_parts_and_applied_whole() {
    const HOSTS: usize = 100_000;
    /// The largest size of a message on the channel, in bytes.
    const MESSAGE_BYTES: usize = 1 << 20;
    let mut sides = Side::pair();
    let hosts = (0..HOSTS).map(|host| endpoint(host, Health::Draining)).collect();
    sides[0].node.decisions.apply_list(&complete(41, hosts));
    let mut sent = sides[0].sent();
    let parts = sent.len();
    assert!(parts > 10, "{parts} parts");
    for part in &sent {
        let message = UpgradeMessage::Update(StateUpdate::List(part.clone()));
        let bytes = serde_json::to_vec(&message).expect("encoded").len();
        assert!(bytes < MESSAGE_BYTES, "{bytes} bytes");
    }
    let last = sent.split_off(parts - 1);
    sides[1].receive(sent);
    assert_eq!(sides[1].health(0), Some(Health::Up), "a part alone changes nothing");
    sides[1].receive(last);
    assert_eq!(sides[1].node.decisions.complete_list().endpoints.len(), HOSTS);
    assert_eq!(sides[1].health(0), Some(Health::Draining));
}

#[test]
fn update_is_compared_by_its_source_and_version() {
    let update = |version, base_version, complete| ListUpdate {
        source: discovery(),
        base_version,
        list: EndpointList { version, complete, endpoints: Vec::new() },
        is_partial: false,
        lease_expires: MachineTime(0),
    };
    let known = Some(40);
    for (update, known, expected) in [
        (update(41, 40, false), known, ListComparison::Newer),
        (update(41, 39, false), known, ListComparison::Unrelated),
        (update(43, 42, false), known, ListComparison::Unrelated),
        (update(43, 0, true), known, ListComparison::Newer),
        (update(40, 40, false), known, ListComparison::Same),
        (update(39, 38, false), known, ListComparison::Older),
        (update(39, 0, true), known, ListComparison::Older),
        (update(41, 40, false), None, ListComparison::Unrelated),
        (update(41, 0, true), None, ListComparison::Newer),
    ] {
        assert_eq!(update.compare(discovery(), known), expected, "{update:?} after {known:?}");
        let elsewhere = "127.0.0.1:8509".parse().expect("an address");
        assert_eq!(update.compare(elsewhere, known), ListComparison::Unrelated);
    }
}

/// Guards against a lease on a list that the process does not have, and against one that is lost although the
/// other process still hears of every change.
#[test]
fn lease_of_the_other_process_counts_for_the_same_list_only() {
    let mut sides = Side::pair();
    exchange(&mut sides);
    sides[1].node.decisions.inherit_lease(Micros(0));
    assert!(sides[1].node.decisions.lease_remaining() <= Micros::from_millis(6_000));
    sides[0].node.decisions.renew_lease();
    exchange(&mut sides);
    let remaining = sides[1].node.decisions.lease_remaining();
    assert!(remaining > Micros::from_millis(5_000), "{remaining:?}");
    // The other process has a list from elsewhere: its lease says nothing about this one's.
    let mut sides = Side::pair();
    sides[1].node.decisions.inherit_lease(Micros(0));
    sides[0].node.decisions.set_discovery_address("127.0.0.1:8509".parse().expect("an address"));
    sides[0].node.decisions.apply_list(&complete(90, Vec::new()));
    sides[0].node.decisions.renew_lease();
    exchange(&mut sides);
    assert_eq!(sides[1].node.decisions.lease_remaining(), Micros(0));
    assert_eq!(sides[1].health(0), Some(Health::Up));
}

/// Guards against an update that was passed over while the two processes used different addresses of discovery,
/// and whose changes are never sent again.
#[test]
fn complete_list_is_sent_after_the_other_process_changed_its_configuration() {
    let mut sides = Side::pair();
    let elsewhere = "127.0.0.1:8509".parse().expect("an address");
    sides[1].node.decisions.set_discovery_address(elsewhere);
    sides[0].node.decisions.apply_list(&delta(41, vec![endpoint(0, Health::Draining)]));
    exchange(&mut sides);
    assert_eq!(sides[1].health(0), Some(Health::Up));
    sides[1].node.decisions.set_discovery_address(discovery());
    sides[0].sync.on_request();
    exchange(&mut sides);
    assert_eq!(sides[1].health(0), Some(Health::Draining));
}

/// Guards against versions of a discovery that has begun to count again: a later list may have a lower version.
#[test]
fn nothing_is_sent_after_discovery_renumbered_its_list() {
    let mut sides = Side::pair();
    exchange(&mut sides);
    sides[0].node.decisions.apply_list(&complete(7, Vec::new()));
    assert!(sides[0].sent().is_empty());
    // The same number as the other process's list, whose content differs.
    sides[0].node.decisions.apply_list(&delta(40, vec![endpoint(0, Health::Draining)]));
    sides[0].node.decisions.renew_lease();
    assert!(sides[0].sent().is_empty());
}

// ---- two processes ----

/// A host of the tests with two processes.
struct ListedHost {
    name: &'static str,
    up: Value,
    draining: Value,
    served: Rc<RefCell<BTreeMap<String, u32>>>,
}

impl ListedHost {
    async fn start(name: &'static str) -> Self {
        let host = StubHost::new(name).await;
        let (up, draining) = (host.list_entry("up"), host.list_entry("draining"));
        let served = Rc::default();
        serve_host(host, Rc::clone(&served));
        ListedHost { name, up, draining, served }
    }

    /// Returns the number of requests that were sent to the host.
    fn requests(&self) -> u32 {
        self.served.borrow().values().sum()
    }
}

/// A predecessor that is ready and watches discovery, with two hosts.
struct Upgrade {
    hosts: [ListedHost; 2],
    old: WatchedProcess,
}

impl Upgrade {
    async fn start(name: &str) -> Self {
        let hosts = [ListedHost::start("s-1").await, ListedHost::start("s-2").await];
        let old = WatchedProcess::start(name, &hosts.each_ref().map(|host| host.up.clone())).await;
        Upgrade { hosts, old }
    }

    /// Starts a successor and waits until it is ready, although discovery turns all calls away from now on.
    async fn start_successor_without_watch(&mut self) -> Process {
        let crowded = std::mem::replace(&mut self.old.discovery, StubDiscovery::new().await);
        spawn_local(async move { crowded.reject_calls(Duration::ZERO).await });
        let new = Process::start(&self.old.value, &self.old.dir).await;
        new.wait_until_ready().await;
        new
    }

    /// Announces on a watch that the first host drains.
    async fn drain_first_host(watch: &mut LineConnection, hosts: &[ListedHost; 2]) {
        send_chunk(watch, &list_line(2, false, &[hosts[0].draining.clone()])).await;
        sleep(SHARE_TIME).await;
    }

    /// Stops the predecessor and waits for its end.
    async fn stop_old(&mut self) {
        self.old.process.signal("-TERM").await;
        let ended = timeout(Duration::from_secs(5), self.old.process.child.wait()).await;
        assert!(ended.expect("in time").expect("ended").success());
    }

    /// Asserts that all new clients are served by the second host.
    async fn assert_first_host_unused(&self) {
        let before = self.hosts.each_ref().map(|host| host.requests());
        for id in 0..CLIENTS {
            let mut client = LineConnection::connect(listen_address(&self.old.value)).await;
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=1000\r\n")).await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
        }
        let after = self.hosts.each_ref().map(|host| host.requests());
        assert_eq!(after, [before[0], before[1] + CLIENTS], "requests to {}", self.hosts[0].name);
    }
}

/// Guards against a successor that sends new requests to a host whose drain only its predecessor has heard of
/// (issue 64, review/9).
#[test]
fn drain_that_the_predecessor_heard_of_is_kept_by_the_successor() {
    run(async {
        let mut upgrade = Upgrade::start("list-old").await;
        let _new = upgrade.start_successor_without_watch().await;
        Upgrade::drain_first_host(&mut upgrade.old.watch, &upgrade.hosts).await;
        upgrade.stop_old().await;
        upgrade.assert_first_host_unused().await;
    });
}

/// Guards against a drain that reaches the predecessor while its connections are handed over, and ends with it.
#[test]
fn drain_during_the_shutdown_of_the_predecessor_is_kept_by_the_successor() {
    run(async {
        let mut upgrade = Upgrade::start("list-stop").await;
        // A connection without a request keeps the predecessor from ending.
        let _silent = LineConnection::connect(listen_address(&upgrade.old.value)).await;
        sleep(Duration::from_millis(50)).await;
        let _new = upgrade.start_successor_without_watch().await;
        upgrade.old.process.signal("-TERM").await;
        sleep(Duration::from_millis(100)).await;
        Upgrade::drain_first_host(&mut upgrade.old.watch, &upgrade.hosts).await;
        assert!(
            upgrade.old.process.child.try_wait().expect("a status").is_none(),
            "the predecessor has ended"
        );
        upgrade.stop_old().await;
        upgrade.assert_first_host_unused().await;
    });
}

/// Guards against a predecessor that sends new requests to a host whose drain only its successor has heard of.
#[test]
fn drain_that_the_successor_heard_of_is_kept_by_the_predecessor() {
    run(async {
        let upgrade = Upgrade::start("list-new").await;
        let mut new = Process::start(&upgrade.old.value, &upgrade.old.dir).await;
        let mut new_watch = upgrade.old.discovery.accept_watch(&["\n"]).await;
        new.wait_until_ready().await;
        Upgrade::drain_first_host(&mut new_watch, &upgrade.hosts).await;
        new.child.kill().await.expect("killed");
        upgrade.assert_first_host_unused().await;
    });
}

/// Guards against a large change of the list that exceeds the channel's queue and ends the upgrade.
#[test]
fn large_change_of_the_list_reaches_the_successor() {
    const HOSTS: usize = 20_000;
    run(async {
        let mut upgrade = Upgrade::start("list-large").await;
        let new = upgrade.start_successor_without_watch().await;
        let far = |host| {
            let mut entry = upgrade.hosts[0].draining.clone();
            entry["host"] = format!("far-{host}").into();
            entry
        };
        let mut entries: Vec<Value> = (0..HOSTS).map(far).collect();
        entries.extend([upgrade.hosts[0].draining.clone(), upgrade.hosts[1].up.clone()]);
        send_chunk(&mut upgrade.old.watch, &list_line(2, true, &entries)).await;
        while new.metric("hosts_listed").await < HOSTS as u64 {
            sleep(Duration::from_millis(20)).await;
        }
        // The channel is still open: the predecessor hands its work over.
        upgrade.stop_old().await;
        upgrade.assert_first_host_unused().await;
    });
}
