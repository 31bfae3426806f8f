//! Upgrade between versions: the messages of the upgrade channel and of the connection handover keep their
//! bytes.
//!
//! The files under `fixtures/upgrade` and `fixtures/handover` were written by version cc53de7, apart from
//! `join_minor_version`, `id_claimed`, `id_ended`, `ended_ids`, `claim_id`,
//! `claim_answer`, `memory`, `leaving`, `hello_with_open_ids` and those that begin with `update`, whose fields and messages
//! are later additions.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use alderstile_node::admin::maintenance_store::MaintenanceState;
use alderstile_node::clock::MachineTime;
use alderstile_node::config::Config;
use alderstile_node::discovery::endpoint_list::{EndpointRecord, Health};
use alderstile_node::lifecycle::connection_handover::{self as handover, HandedOverConnection};
use alderstile_node::lifecycle::state_update::StateUpdate;
use alderstile_node::lifecycle::upgrade_message::UpgradeMessage;
use alderstile_node::node::Node;
use alderstile_node::proxy::request_ids::IdDigest;
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream, UnixDatagram};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

mod support;
use support::processes::*;
use support::*;

/// The digest of the id `00000000000000a1`.
const DIGEST: u64 = 0x2ae2_d933_5f1b_7cbc;

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Reads a message of the upgrade channel from its fixture; checks that it is encoded as the same bytes.
fn message(name: &str) -> UpgradeMessage {
    let line = fixture(&format!("upgrade/{name}.jsonl"));
    let message: UpgradeMessage =
        serde_json::from_slice(&line).unwrap_or_else(|error| panic!("{name}: {error}"));
    let mut encoded = serde_json::to_vec(&message).expect("encoded");
    encoded.push(b'\n');
    assert_eq!(String::from_utf8_lossy(&encoded), String::from_utf8_lossy(&line), "{name}");
    message
}

#[test]
fn upgrade_messages_keep_their_bytes() {
    assert!(matches!(message("join"), UpgradeMessage::Join { version: 1, minor_version: 0 }));
    assert!(matches!(message("join_minor_version"), UpgradeMessage::Join { version: 1, minor_version: 1 }));
    assert!(matches!(message("taken"), UpgradeMessage::AlreadyJoined));
    assert!(matches!(message("held"), UpgradeMessage::DescriptorsInUse(23)));
    assert!(matches!(message("ready"), UpgradeMessage::Ready { number: 3 }));
    assert!(matches!(message("door"), UpgradeMessage::ShareListener { number: 4 }));
    assert!(
        matches!(message("host_out"), UpgradeMessage::HostMaintenance { number: 5, host, state: MaintenanceState::OutOfService } if host == "s-1")
    );
    assert!(matches!(
        message("host_back"),
        UpgradeMessage::HostMaintenance { number: 6, host, state: MaintenanceState::ReturnedAt(1_764_748_800_000_007) } if host == "s-2"
    ));
    assert!(matches!(message("done"), UpgradeMessage::Ack { number: 7 }));
    assert!(matches!(message("id"), UpgradeMessage::RequestId(id) if id == "00000000000000a1"));
    assert!(matches!(message("id_ended"), UpgradeMessage::RequestEnded(IdDigest(DIGEST))));
    assert!(matches!(message("id_claimed"), UpgradeMessage::RequestClaimed(IdDigest(DIGEST))));
    assert!(
        matches!(message("ended_ids"), UpgradeMessage::EndedIds(ids) if ids == [IdDigest(1), IdDigest(u64::MAX)])
    );
    assert!(matches!(message("claim_id"), UpgradeMessage::ClaimRequest { number: 8, id: IdDigest(DIGEST) }));
    assert!(matches!(message("claim_answer"), UpgradeMessage::ClaimAnswer { number: 8, granted: true }));
    assert!(matches!(message("memory"), UpgradeMessage::MemoryInUse(65_536)));
    assert!(matches!(message("leaving"), UpgradeMessage::Leaving { number: 9 }));
    assert!(matches!(message("closed"), UpgradeMessage::StoppedAccepting));
}

#[test]
fn updates_keep_their_bytes() {
    let UpgradeMessage::Update(StateUpdate::Config(update)) = message("update_config") else {
        panic!("no file")
    };
    assert_eq!(update.read_at, MachineTime(123_456_789));
    assert_eq!(update.file, json!({"discovery": "127.0.0.1:7100", "name": "n1"}));
    assert!(matches!(message("update_list_request"), UpgradeMessage::Update(StateUpdate::ListRequest)));
    let UpgradeMessage::Update(StateUpdate::ClusterKeys(read_at)) = message("update_cluster_keys") else {
        panic!("no keys")
    };
    assert_eq!(read_at, MachineTime(123_456_789));
    let UpgradeMessage::Update(StateUpdate::List(update)) = message("update_list") else { panic!("no list") };
    assert_eq!((Some(update.source), update.base_version), ("127.0.0.1:7100".parse().ok(), 41));
    assert_eq!((update.is_partial, update.lease_expires), (true, MachineTime(123_456_789)));
    assert_eq!((update.list.version, update.list.complete), (42, false));
    let health: Vec<Health> = update.list.endpoints.iter().map(|host| host.health).collect();
    assert_eq!(health, [Health::Draining, Health::Removed]);
    assert_eq!(update.list.endpoints[1], EndpointRecord::removed("s-2".to_owned()));
}

#[test]
fn predecessor_state_keeps_its_bytes() {
    let UpgradeMessage::State(state) = message("hello") else { panic!("no state") };
    assert_eq!((state.version, state.name.as_str(), state.descriptors_in_use), (1, "n1", 23));
    assert_eq!(state.config["limits"]["sockets"], 200);
    assert_eq!(state.discovery, "127.0.0.1:7100".parse().ok());
    assert_eq!((state.endpoints.version, state.endpoints.complete), (41, true));
    let health: Vec<Health> = state.endpoints.endpoints.iter().map(|host| host.health).collect();
    assert_eq!(health, [Health::Up, Health::Draining, Health::Removed]);
    let host = &state.endpoints.endpoints[0];
    assert_eq!((host.name.as_str(), host.address), ("s-1", "127.0.0.1:7001".parse().ok()));
    assert_eq!((host.zone.as_str(), host.cell, host.weight), ("a", 3, 1.5));
    assert_eq!(host.started_ms, 1_764_748_800_123);
    let hosts = [
        ("s-1".to_owned(), MaintenanceState::OutOfService),
        ("s-2".to_owned(), MaintenanceState::ReturnedAt(1_764_748_800_000_007)),
    ];
    assert_eq!(state.host_maintenance, BTreeMap::from(hosts));
    assert_eq!(state.request_ids, ["00000000000000a1", "a \u{e9}\u{fffd}"]);
    assert_eq!(state.retry_budget, Some(vec![(11, 22, 33, 4).into(), (55, 66, 77, 8).into()]));
    assert_eq!(state.lease_remaining_us, Some(5_250_000));
    let member = state.member.expect("a member");
    assert_eq!((member.instance, member.incarnation, member.counter), (0x1122_3344_5566_7788, 9, 1234));
    let known = ["127.0.0.1:7946", "[::1]:7947"].map(|address| address.parse().expect("an address"));
    assert_eq!(member.alive_members, known);
}

#[test]
fn predecessor_state_with_open_ids_keeps_its_bytes() {
    let UpgradeMessage::State(state) = message("hello_with_open_ids") else { panic!("no state") };
    assert_eq!(state.request_ids, ["00000000000000a1", "00000000000000a2"]);
    assert_eq!(state.minor_version, 1);
    assert_eq!(state.open_request_ids, [IdDigest(DIGEST)]);
}

#[test]
fn predecessor_state_without_newer_fields_is_read() {
    let UpgradeMessage::State(state) = message("hello_without_options") else { panic!("no state") };
    assert!(state.retry_budget.is_none() && state.lease_remaining_us.is_none() && state.member.is_none());
    assert!(state.open_request_ids.is_empty() && state.minor_version == 0);
    let mut older: Value =
        serde_json::from_slice(&fixture("upgrade/hello_without_options.jsonl")).expect("JSON");
    let keys = older["hello"].as_object_mut().expect("an object");
    for key in ["spent", "lease_left", "member"] {
        assert_eq!(keys.remove(key), Some(Value::Null));
    }
    let read: UpgradeMessage = serde_json::from_value(older).expect("a message of an older version");
    assert!(
        matches!(read, UpgradeMessage::State(state) if state.name == "n1" && state.retry_budget.is_none())
    );
}

/// Sends a datagram with descriptors as the other process does.
fn send_datagram(to: &UnixDatagram, data: &[u8], fds: &[BorrowedFd<'_>]) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(fds)));
    sendmsg(to, &[IoSlice::new(data)], &mut control, SendFlags::NOSIGNAL).expect("sent");
}

/// Receives a datagram and returns its text.
async fn datagram(from: &UnixDatagram) -> String {
    let mut data = vec![0; 64 << 10];
    let length = from.recv(&mut data).await.expect("a datagram");
    String::from_utf8(data[..length].to_vec()).expect("text")
}

/// Opens a connection and returns both of its ends.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (accepted, connected) = tokio::join!(listener.accept(), TcpStream::connect(address));
    (accepted.expect("accepted").0, connected.expect("connected"))
}

/// Sends the datagrams of these fixtures and returns the connections that are received.
async fn received(names: &[&str]) -> Vec<HandedOverConnection> {
    let node = Rc::new(Node::new(
        Config::from_file_value(node_config("127.0.0.1:0", "127.0.0.1:1"), |_| None)
            .expect("a valid configuration"),
    ));
    let (to, from) = UnixDatagram::pair().expect("a pair");
    let connections = Rc::<RefCell<Vec<HandedOverConnection>>>::default();
    let sink = connections.clone();
    let receiving = spawn_local(handover::receive(node, from, move |connection, sockets| {
        assert_eq!(sockets.len(), 2);
        sink.borrow_mut().push(connection);
    }));
    let (client, host) = connection().await;
    for name in names {
        send_datagram(&to, &fixture(&format!("handover/{name}.json")), &[client.as_fd(), host.as_fd()]);
    }
    while connections.borrow().len() < names.len() {
        yield_now().await;
    }
    receiving.abort();
    connections.take()
}

#[test]
fn handed_over_connection_keeps_its_bytes() {
    run(async {
        let names = ["connection", "connection_parted", "connection_without_options"];
        let connections = received(&names).await;
        let full = &connections[0];
        assert_eq!(
            full.first_line,
            "OPEN 00000000000000a1 00000000000000b2 c=chat,d=5000,g=00000000000000c3,h=1200.5"
        );
        assert_eq!((full.host.as_str(), full.attempts, full.setup_ms), ("s-1", 2, 17));
        assert_eq!((full.age_ms, full.ack_number), (86_400_123, Some(12)));
        assert_eq!(
            (full.from_client.as_slice(), full.from_host.as_slice()),
            (&b"M 1\r\nM "[..], &b"A 1\r\nA \xff\x00"[..])
        );
        assert_eq!(full.relay_state.load, Some(3000.5));
        assert_eq!(connections[1].ack_number, Some(13));
        assert_eq!((connections[2].ack_number, connections[2].relay_state.load), (None, None));
        let (to, from) = UnixDatagram::pair().expect("a pair");
        let (client, host) = connection().await;
        for (name, connection) in names.into_iter().zip(connections) {
            handover::send(&to, connection, [&client, &host]).await.expect("sent");
            let encoded = fixture(&format!("handover/{name}.json"));
            assert_eq!(datagram(&from).await, String::from_utf8_lossy(&encoded), "{name}");
        }
    });
}

#[test]
fn handed_over_connection_without_ack_number_is_read() {
    let mut older: Value = serde_json::from_slice(&fixture("handover/connection.json")).expect("JSON");
    let mut older = older["connection"].take();
    assert_eq!(older.as_object_mut().expect("an object").remove("number"), Some(json!(12)));
    let connection: HandedOverConnection =
        serde_json::from_value(older).expect("a message of an older version");
    assert_eq!((connection.ack_number, connection.attempts), (None, 2));
}

#[test]
fn shared_listener_keeps_its_bytes() {
    run(async {
        let (to, from) = UnixDatagram::pair().expect("a pair");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        handover::share_listener(&to, &listener).await.expect("sent");
        assert_eq!(datagram(&from).await.as_bytes(), fixture("handover/door.json"));
        let node = Rc::new(Node::new(
            Config::from_file_value(node_config("127.0.0.1:0", "127.0.0.1:1"), |_| None)
                .expect("a valid configuration"),
        ));
        send_datagram(&to, &fixture("handover/door.json"), &[listener.as_fd()]);
        let receiving = spawn_local(handover::receive(node.clone(), from, |_, _| panic!("no connection")));
        let shared = loop {
            match node.process.take_shared_listener() {
                Some(shared) => break shared,
                None => yield_now().await,
            }
        };
        receiving.abort();
        assert_eq!(shared.local_addr().expect("bound"), listener.local_addr().expect("bound"));
    });
}

/// Stops a process that has a successor, and waits until it has exited.
async fn stop(mut old: Process) {
    sleep(Duration::from_millis(300)).await;
    old.signal("-TERM").await;
    let status = timeout(Duration::from_secs(5), old.child.wait()).await.expect("in time").expect("ended");
    assert!(status.success());
}

#[test]
fn previous_version_is_upgraded_and_downgraded_with_open_connections() {
    let Some(previous) = std::env::var_os("ALDERSTILE_BEFORE").map(PathBuf::from) else {
        return println!("not run: ALDERSTILE_BEFORE does not name a program of the previous version");
    };
    run(async {
        let (dir, discovery) = (temp_dir("versions"), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let mut hosts = Vec::new();
        for name in ["s-1", "s-2", "s-3", "s-4", "s-5"] {
            hosts.push(StubHost::new(name).await);
        }
        serve_endpoint_list(discovery, hosts.iter().map(|host| host.list_entry("up")).collect());
        let served: Vec<Rc<RefCell<BTreeMap<String, u32>>>> = (0..5).map(|_| Rc::default()).collect();
        hosts.into_iter().zip(&served).for_each(|(host, ids)| serve_host(host, ids.clone()));
        let old = Process::start_program(&previous, &value, &dir).await;
        old.wait_until_ready().await;
        for host in ["s-3", "s-4", "s-5"] {
            let path = format!("/control/hosts/{host}/offline");
            assert_eq!(old.admin_request("POST", &path).await.expect("an answer").0, 200);
        }
        // These stay open through both upgrades, each with a partial line.
        let address = listen_address(&value);
        let mut open = Vec::new();
        for id in 0..10 {
            let mut client = LineConnection::connect(address).await;
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
            client.send("M ").await;
            open.push(client);
        }
        let (outcomes, ended) = (Rc::<RefCell<ClientOutcomes>>::default(), Rc::<Cell<bool>>::default());
        for series in 1..=10 {
            spawn_clients(address, outcomes.clone(), ended.clone(), series);
        }
        sleep(Duration::from_millis(300)).await;
        let new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        // A maintenance state set at either process applies at both, and is kept by the successor.
        assert_eq!(new.metric("hosts_down").await, 3);
        assert_eq!(new.admin_request("POST", "/control/hosts/s-3/online").await.expect("an answer").0, 200);
        assert_eq!(old.metric("hosts_down").await, 2);
        assert_eq!(old.admin_request("POST", "/control/hosts/s-4/online").await.expect("an answer").0, 200);
        assert_eq!(new.metric("hosts_down").await, 1);
        stop(old).await;
        // The new process receives datagrams for another 300 ms after the old one has ended, and then removes
        // the socket's path by name. If a further process had bound the path by then, no connections would be
        // handed over to it, and they would be migrated.
        sleep(Duration::from_millis(600)).await;
        let downgraded = Process::start_program(&previous, &value, &dir).await;
        downgraded.wait_until_ready().await;
        assert_eq!(downgraded.metric("hosts_down").await, 1);
        stop(new).await;
        sleep(Duration::from_millis(300)).await;
        ended.set(true);
        sleep(Duration::from_millis(1_000)).await;
        let outcomes = outcomes.take();
        assert_eq!(outcomes.failures, Vec::<String>::new(), "each client was served");
        assert_eq!(outcomes.migrated, 0, "connections were handed over, not migrated");
        assert!(outcomes.established > 50, "{} clients served", outcomes.established);
        for client in &mut open {
            client.send("1\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("M 1"));
        }
        assert_eq!(served[4].borrow().len(), 0, "the host that stayed out of service received no requests");
        let all: BTreeMap<_, _> = served.iter().flat_map(|ids| ids.borrow().clone()).collect();
        assert!(all.values().all(|times| *times == 1), "no request was served twice");
        assert_eq!(
            all.len() as u64,
            outcomes.established + open.len() as u64,
            "each request was served by one host"
        );
    });
}
