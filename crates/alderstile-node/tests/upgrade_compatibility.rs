//! Replacing a process of another version: the upgrade's stream and handed-over connections keep their bytes.
//!
//! The files under `fixtures/upgrade` and `fixtures/handover` were written by version cc53de7.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use alderstile_node::admin::maintenance_store::MaintenanceState;
use alderstile_node::config::Config;
use alderstile_node::discovery::endpoint_list::Health;
use alderstile_node::lifecycle::connection_handover::{self as handover, HandedOverConnection};
use alderstile_node::lifecycle::upgrade_channel::UpgradeMessage;
use alderstile_node::node::Node;
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream, UnixDatagram};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

mod support;
use support::processes::*;
use support::*;

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// A message of the upgrade's stream, read from its fixture; written again it is the same bytes.
fn message(name: &str) -> UpgradeMessage {
    let line = fixture(&format!("upgrade/{name}.jsonl"));
    let message: UpgradeMessage =
        serde_json::from_slice(&line).unwrap_or_else(|error| panic!("{name}: {error}"));
    let mut written = serde_json::to_vec(&message).expect("written");
    written.push(b'\n');
    assert_eq!(String::from_utf8_lossy(&written), String::from_utf8_lossy(&line), "{name}");
    message
}

#[test]
fn the_messages_of_the_upgrades_stream_keep_their_bytes() {
    assert!(matches!(message("join"), UpgradeMessage::Join { version: 1 }));
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
    assert!(matches!(message("closed"), UpgradeMessage::StoppedAccepting));
}

#[test]
fn the_predecessors_handshake_keeps_its_bytes() {
    let UpgradeMessage::State(hello) = message("hello") else { panic!("no handshake") };
    assert_eq!((hello.version, hello.name.as_str(), hello.descriptors_in_use), (1, "n1", 23));
    assert_eq!(hello.config["limits"]["sockets"], 200);
    assert_eq!(hello.discovery, "127.0.0.1:7100".parse().ok());
    assert_eq!((hello.endpoints.version, hello.endpoints.complete), (41, true));
    let health: Vec<Health> = hello.endpoints.endpoints.iter().map(|host| host.health).collect();
    assert_eq!(health, [Health::Up, Health::Draining, Health::Removed]);
    let host = &hello.endpoints.endpoints[0];
    assert_eq!((host.name.as_str(), host.address), ("s-1", "127.0.0.1:7001".parse().ok()));
    assert_eq!((host.zone.as_str(), host.cell, host.weight), ("a", 3, 1.5));
    assert_eq!(host.started_ms, 1_764_748_800_123);
    let hosts = [
        ("s-1".to_owned(), MaintenanceState::OutOfService),
        ("s-2".to_owned(), MaintenanceState::ReturnedAt(1_764_748_800_000_007)),
    ];
    assert_eq!(hello.host_maintenance, BTreeMap::from(hosts));
    assert_eq!(hello.request_ids, ["00000000000000a1", "a \u{e9}\u{fffd}"]);
    assert_eq!(hello.retry_budget, Some(vec![(11, 22, 33, 4).into(), (55, 66, 77, 8).into()]));
    assert_eq!(hello.lease_remaining_us, Some(5_250_000));
    let member = hello.member.expect("a member");
    assert_eq!((member.instance, member.incarnation, member.counter), (0x1122_3344_5566_7788, 9, 1234));
    let known = ["127.0.0.1:7946", "[::1]:7947"].map(|address| address.parse().expect("an address"));
    assert_eq!(member.alive_members, known);
}

#[test]
fn a_handshake_without_what_older_versions_do_not_send_is_read() {
    let UpgradeMessage::State(hello) = message("hello_without_options") else { panic!("no handshake") };
    assert!(hello.retry_budget.is_none() && hello.lease_remaining_us.is_none() && hello.member.is_none());
    let mut older: Value =
        serde_json::from_slice(&fixture("upgrade/hello_without_options.jsonl")).expect("JSON");
    let keys = older["hello"].as_object_mut().expect("an object");
    for key in ["spent", "lease_left", "member"] {
        assert_eq!(keys.remove(key), Some(Value::Null));
    }
    let read: UpgradeMessage = serde_json::from_value(older).expect("an older version's");
    assert!(
        matches!(read, UpgradeMessage::State(hello) if hello.name == "n1" && hello.retry_budget.is_none())
    );
}

/// Sends these bytes and descriptors as the other process does.
fn send_datagram(to: &UnixDatagram, data: &[u8], fds: &[BorrowedFd<'_>]) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(fds)));
    sendmsg(to, &[IoSlice::new(data)], &mut control, SendFlags::NOSIGNAL).expect("sent");
}

/// A datagram's bytes.
async fn datagram(from: &UnixDatagram) -> String {
    let mut data = vec![0; 64 << 10];
    let length = from.recv(&mut data).await.expect("a datagram");
    String::from_utf8(data[..length].to_vec()).expect("text")
}

/// A connection, both ends of it.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (accepted, connected) = tokio::join!(listener.accept(), TcpStream::connect(address));
    (accepted.expect("accepted").0, connected.expect("connected"))
}

/// What the code makes of handed-over connections, given their datagrams.
async fn received(names: &[&str]) -> Vec<HandedOverConnection> {
    let node = Rc::new(Node::new(
        Config::from_file_value(config("127.0.0.1:0", "127.0.0.1:1"), |_| None)
            .expect("a fine configuration"),
    ));
    let (to, from) = UnixDatagram::pair().expect("a pair");
    let connections = Rc::<RefCell<Vec<HandedOverConnection>>>::default();
    let seen = connections.clone();
    let receiving = spawn_local(handover::receive(node, from, move |passed, sockets| {
        assert_eq!(sockets.len(), 2);
        seen.borrow_mut().push(passed);
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
fn a_handed_over_connection_keeps_its_bytes() {
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
        for (name, passed) in names.into_iter().zip(connections) {
            handover::send(&to, passed, [&client, &host]).await.expect("sent");
            let written = fixture(&format!("handover/{name}.json"));
            assert_eq!(datagram(&from).await, String::from_utf8_lossy(&written), "{name}");
        }
    });
}

#[test]
fn a_handed_over_connection_of_an_older_version_has_no_number() {
    let mut older: Value = serde_json::from_slice(&fixture("handover/connection.json")).expect("JSON");
    let mut older = older["connection"].take();
    assert_eq!(older.as_object_mut().expect("an object").remove("number"), Some(json!(12)));
    let passed: HandedOverConnection = serde_json::from_value(older).expect("an older version's");
    assert_eq!((passed.ack_number, passed.attempts), (None, 2));
}

#[test]
fn the_shared_listener_keeps_its_bytes() {
    run(async {
        let (to, from) = UnixDatagram::pair().expect("a pair");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        handover::share_listener(&to, &listener).await.expect("sent");
        assert_eq!(datagram(&from).await.as_bytes(), fixture("handover/door.json"));
        let node = Rc::new(Node::new(
            Config::from_file_value(config("127.0.0.1:0", "127.0.0.1:1"), |_| None)
                .expect("a fine configuration"),
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

/// Tells a process that has been replaced to stop, and waits until it has ended.
async fn stop(mut old: Process) {
    sleep(Duration::from_millis(300)).await;
    old.signal("-TERM").await;
    let status = timeout(Duration::from_secs(5), old.child.wait()).await.expect("in time").expect("ended");
    assert!(status.success());
}

#[test]
fn a_process_of_the_version_before_is_replaced_and_replaces_with_clients_open() {
    let Some(before) = std::env::var_os("ALDERSTILE_BEFORE").map(PathBuf::from) else {
        return println!("not run: ALDERSTILE_BEFORE names no program of the version before");
    };
    run(async {
        let (dir, discovery) = (folder("versions"), Discovery::new().await);
        let value = replaceable(&discovery).await;
        let mut hosts = Vec::new();
        for name in ["s-1", "s-2", "s-3", "s-4", "s-5"] {
            hosts.push(Host::new(name).await);
        }
        serve_list(discovery, hosts.iter().map(|host| host.entry("up")).collect());
        let served: Vec<Rc<RefCell<BTreeMap<String, u32>>>> = (0..5).map(|_| Rc::default()).collect();
        hosts.into_iter().zip(&served).for_each(|(host, seen)| serve_host(host, seen.clone()));
        let old = Process::start_program(&before, &value, &dir).await;
        old.until_ready().await;
        for host in ["s-3", "s-4", "s-5"] {
            let path = format!("/control/hosts/{host}/offline");
            assert_eq!(old.call("POST", &path).await.expect("an answer").0, 200);
        }
        // Some stay open through both replacements, with a line under way.
        let address = listens_at(&value);
        let mut open = Vec::new();
        for id in 0..10 {
            let mut client = Peer::connect(address).await;
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
            client.send("M ").await;
            open.push(client);
        }
        let (seen, ended) = (Rc::<RefCell<Seen>>::default(), Rc::<Cell<bool>>::default());
        for lane in 1..=10 {
            clients(address, seen.clone(), ended.clone(), lane);
        }
        sleep(Duration::from_millis(300)).await;
        let new = Process::start(&value, &dir).await;
        new.until_ready().await;
        // What operators said is known to both, whichever is told, and stays known.
        assert_eq!(new.figure("hosts_down").await, 3);
        assert_eq!(new.call("POST", "/control/hosts/s-3/online").await.expect("an answer").0, 200);
        assert_eq!(old.figure("hosts_down").await, 2);
        assert_eq!(old.call("POST", "/control/hosts/s-4/online").await.expect("an answer").0, 200);
        assert_eq!(new.figure("hosts_down").await, 1);
        stop(old).await;
        // The new one takes what the old one sent last for 300 ms, and then removes the socket's path by its
        // name: a further process that has bound it meanwhile is passed no connections, and they are moved.
        sleep(Duration::from_millis(600)).await;
        let back = Process::start_program(&before, &value, &dir).await;
        back.until_ready().await;
        assert_eq!(back.figure("hosts_down").await, 1);
        stop(new).await;
        sleep(Duration::from_millis(300)).await;
        ended.set(true);
        sleep(Duration::from_millis(1_000)).await;
        let seen = seen.take();
        assert_eq!(seen.other, Vec::<String>::new(), "each client was brought up");
        assert_eq!(seen.moved, 0, "connections were passed on");
        assert!(seen.up > 50, "{} came up", seen.up);
        for client in &mut open {
            client.send("1\r\n").await;
            assert_eq!(client.line().await.as_deref(), Some("M 1"));
        }
        assert_eq!(served[4].borrow().len(), 0, "the host that stayed out got nothing");
        let all: BTreeMap<_, _> = served.iter().flat_map(|seen| seen.borrow().clone()).collect();
        assert!(all.values().all(|times| *times == 1), "none was served twice");
        assert_eq!(all.len() as u64, seen.up + open.len() as u64, "each client came up at one host");
    });
}
