//! Upgrade: a second process takes the node over while clients connect and leave.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use alderstile_node::admin::maintenance_store::MaintenanceStore;
use alderstile_node::config::NodeIdentity;
use alderstile_node::lifecycle::upgrade;
use alderstile_node::proxy::clients::MAX_CONCURRENT_HANDOVERS;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixDatagram, UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

mod support;
use support::processes::*;
use support::*;

/// A process of a node that is ready, with one host that serves each request and echoes its lines.
struct ServedNode {
    process: Process,
    value: Value,
    dir: PathBuf,
}

impl ServedNode {
    async fn start(name: &str) -> Self {
        let (dir, discovery) = (temp_dir(name), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let host = StubHost::new("s-1").await;
        serve_endpoint_list(discovery, vec![host.list_entry("up")]);
        serve_host(host, Rc::default());
        let process = Process::start(&value, &dir).await;
        process.wait_until_ready().await;
        ServedNode { process, value, dir }
    }
}

/// Connects a client and checks that its request is served.
async fn connect_served(address: SocketAddr, id: usize) -> LineConnection {
    let mut client = LineConnection::connect(address).await;
    client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
    assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
    client
}

#[test]
fn upgrade_refuses_no_client_and_both_processes_act_as_one_node() {
    run(async {
        let (dir, discovery) = (temp_dir("one"), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await, StubHost::new("s-3").await];
        serve_endpoint_list(discovery, hosts.iter().map(|host| host.list_entry("up")).collect());
        let served: Vec<Rc<RefCell<BTreeMap<String, u32>>>> = (0..3).map(|_| Rc::default()).collect();
        hosts.into_iter().zip(&served).for_each(|(host, ids)| serve_host(host, ids.clone()));
        let mut old = Process::start(&value, &dir).await;
        old.wait_until_ready().await;
        assert_eq!(old.admin_request("POST", "/control/hosts/s-1/offline").await.expect("an answer").0, 200);
        let served_before_maintenance = served[0].borrow().len();
        let (outcomes, stop) = (Rc::<RefCell<ClientOutcomes>>::default(), Rc::default());
        let address = listen_address(&value);
        for series in 1..=20 {
            spawn_clients(address, outcomes.clone(), Rc::clone(&stop), series);
        }
        sleep(Duration::from_millis(300)).await;
        let new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        // A maintenance state set at either process applies at both.
        assert_eq!(new.metric("hosts_down").await, 1);
        assert_eq!(new.admin_request("POST", "/control/hosts/s-2/offline").await.expect("an answer").0, 200);
        assert_eq!(old.metric("hosts_down").await, 2);
        assert_eq!(old.admin_request("POST", "/control/hosts/s-2/online").await.expect("an answer").0, 200);
        assert_eq!(new.metric("hosts_down").await, 1);
        // Both accept from one listen queue, which outlives the old process. If each had its own, connections
        // still in the old one would be reset when its process ends.
        let port = format!(":{:04X}", address.port());
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets");
        let listens = |line: &&str| {
            line.split_whitespace().nth(3) == Some("0A")
                && line.split_whitespace().nth(1).is_some_and(|local| local.ends_with(&port))
        };
        assert_eq!(sockets.lines().filter(listens).count(), 1);
        // Both processes accept clients.
        while new.metric("success.chat").await < 20 {
            sleep(Duration::from_millis(5)).await;
        }
        old.signal("-TERM").await;
        let mut counted_by_old = 0;
        while let Some(count) = old.metric_if_running("success.chat").await {
            counted_by_old = count;
            sleep(Duration::from_millis(5)).await;
        }
        let status =
            timeout(Duration::from_secs(5), old.child.wait()).await.expect("ended in time").expect("ended");
        assert!(status.success());
        sleep(Duration::from_millis(200)).await;
        stop.set(true);
        sleep(Duration::from_millis(1_000)).await;
        let outcomes = outcomes.take();
        assert_eq!(outcomes.failures, Vec::<String>::new(), "each client was served");
        assert_eq!(outcomes.migrated, 0, "connections were handed over, not migrated");
        assert_eq!(
            served[0].borrow().len(),
            served_before_maintenance,
            "neither process used the host in maintenance"
        );
        let all: BTreeMap<_, _> = served.iter().flat_map(|ids| ids.borrow().clone()).collect();
        assert!(all.values().all(|times| *times == 1), "no request was served twice");
        assert_eq!(all.len() as u64, outcomes.established, "each request was served by one host");
        assert_eq!(
            counted_by_old + new.metric("success.chat").await,
            outcomes.established,
            "each request was counted by one process"
        );
        // A third process can take over from the second one.
        let third = Process::start(&value, &dir).await;
        third.wait_until_ready().await;
        assert_eq!(third.metric("hosts_down").await, 1);
    });
}

#[test]
fn connections_are_handed_over_with_partial_lines_and_pending_attempts() {
    run(async {
        let (dir, discovery) = (temp_dir("pass"), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let host = StubHost::new("s-1").await;
        serve_endpoint_list(discovery, vec![host.list_entry("up")]);
        let mut old = Process::start(&value, &dir).await;
        old.wait_until_ready().await;
        let address = listen_address(&value);
        let mut pairs = Vec::new();
        for id in 1..=30 {
            let mut client = LineConnection::connect(address).await;
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            let mut server = host.accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 00ff\r\nA 1\r\nA ").await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
            assert_eq!(client.read_line().await.as_deref(), Some("A 1"));
            client.send("M 1\r\nM ").await;
            assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
            pairs.push((client, server));
        }
        // A client whose attempt is pending during the handover.
        let mut late = LineConnection::connect(address).await;
        late.send("OPEN 99 99 c=chat,d=1500\r\n").await;
        let mut late_server = host.accept().await;
        late_server.read_line().await.expect("the first line");
        let new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        old.signal("-TERM").await;
        while new.metric("inflight").await < 30 {
            sleep(Duration::from_millis(5)).await;
        }
        // The pending attempt is the old process's only remaining work.
        sleep(Duration::from_millis(200)).await;
        late_server.send("UP 00aa\r\n").await;
        assert_eq!(late.read_line().await.as_deref(), Some("UP 00aa"));
        let status =
            timeout(Duration::from_secs(5), old.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        for (client, server) in &mut pairs {
            client.send("2\r\n").await;
            assert_eq!(server.read_line().await.as_deref(), Some("M 2"));
            server.send("2\r\nLOAD 3000\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("A 2"));
            assert_eq!(client.read_line().await.as_deref(), Some("LOAD 3000"));
        }
        late.send("M 1\r\n").await;
        assert_eq!(late_server.read_line().await.as_deref(), Some("M 1"));
        assert_eq!(
            (new.metric("inflight").await, new.metric("success.chat").await),
            (31, 0),
            "counted by the process that established it"
        );
        // The ids of open requests are still known, so a duplicate is rejected.
        let mut duplicate = LineConnection::connect(address).await;
        duplicate.send("OPEN 99 99 c=chat,d=1500\r\n").await;
        assert_eq!(duplicate.read_line().await.as_deref(), Some("ERR"));
        let (mut client, mut server) = pairs.pop().expect("a pair");
        server.send("BYE\r\n").await;
        drop(server);
        assert_eq!(client.read_line().await.as_deref(), Some("BYE"));
        assert_eq!(client.read_line().await, None);
        // The balancer knows the connections: they are migrated when their host is taken out of service.
        assert_eq!(new.admin_request("POST", "/control/hosts/s-1/offline").await.expect("an answer").0, 200);
        for (client, _) in &mut pairs {
            assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        }
    });
}

/// Sends requests that are served and end at once.
async fn end_requests(address: SocketAddr, ids: std::ops::Range<usize>) {
    for id in ids {
        drop(connect_served(address, id).await);
    }
}

/// Guards against a client that is served under the id of a connection that was handed over (issue 61).
#[test]
fn id_of_a_handed_over_connection_is_rejected_after_many_requests() {
    run(async {
        let ServedNode { process: mut old, value, dir } = ServedNode::start("ids").await;
        let address = listen_address(&value);
        let mut owner = LineConnection::connect(address).await;
        owner.send("OPEN 99 99 c=chat,d=5000\r\n").await;
        assert_eq!(owner.read_line().await.as_deref(), Some("UP 00ff"));
        let new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        old.signal("-TERM").await;
        assert!(old.child.wait().await.expect("ended").success());
        end_requests(address, 1_000..2_200).await;
        let mut foreign = LineConnection::connect(address).await;
        foreign.send("OPEN 99 99 c=chat,d=5000\r\n").await;
        assert_eq!(foreign.read_line().await.as_deref(), Some("ERR"));
        owner.send("M 1\r\n").await;
        assert_eq!(owner.read_line().await.as_deref(), Some("M 1"));
    });
}

/// Guards against a client that is served under the id of a connection that is open at the other process of
/// the node (issue 61).
#[test]
fn id_of_a_connection_open_at_either_process_is_rejected_after_many_requests() {
    run(async {
        let ServedNode { process: old, value, dir } = ServedNode::start("either").await;
        let address = listen_address(&value);
        let mut owners = Vec::new();
        let mut connect_owners = async || {
            for _ in 0..10 {
                owners.push(connect_served(address, owners.len() + 1).await);
            }
        };
        connect_owners().await;
        let new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        connect_owners().await;
        let mut next_id = 1_000;
        while old.metric("success.chat").await < 1_200 || new.metric("success.chat").await < 1_200 {
            end_requests(address, next_id..next_id + 100).await;
            next_id += 100;
        }
        // Which process accepts a client is random.
        for id in (1..=owners.len()).cycle().take(100) {
            let mut foreign = LineConnection::connect(address).await;
            foreign.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            assert_eq!(foreign.read_line().await.as_deref(), Some("ERR"), "{id}");
        }
        for owner in &mut owners {
            owner.send("M 1\r\n").await;
            assert_eq!(owner.read_line().await.as_deref(), Some("M 1"));
        }
    });
}

#[test]
fn successor_that_is_stopped_first_migrates_its_clients_and_the_predecessor_continues() {
    run(async {
        let ServedNode { process: old, value, dir } = ServedNode::start("first").await;
        let mut new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        let address = listen_address(&value);
        let mut clients = Vec::new();
        while new.metric("success.chat").await < 5 {
            clients.push(connect_served(address, clients.len()).await);
        }
        let before = old.metric("inflight").await;
        new.signal("-TERM").await;
        for number in 0..20 {
            let mut health_check = LineConnection::connect(address).await;
            health_check.send("PING\r\n").await;
            assert_eq!(
                health_check.read_line().await.as_deref(),
                Some("PONG"),
                "the node still serves, at attempt {number}"
            );
        }
        let status =
            timeout(Duration::from_secs(5), new.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        let mut migrated = 0;
        for client in &mut clients {
            migrated += u64::from(timeout(Duration::from_millis(20), client.read_line()).await.is_ok());
        }
        assert_eq!(migrated, clients.len() as u64 - before, "the stopped process migrated its clients");
        assert_eq!(old.metric("inflight").await, before);
    });
}

#[test]
fn successor_that_is_not_ready_can_be_stopped_while_the_predecessor_serves() {
    run(async {
        let (dir, discovery) = (temp_dir("waits"), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let host = StubHost::new("s-1").await;
        // Discovery answers only the first request.
        let watch = async { discovery.accept_watch(&[&list_line(1, true, &[host.list_entry("up")])]).await };
        let old = Process::start(&value, &dir).await;
        let _watch = watch.await;
        old.wait_until_ready().await;
        let mut new = Process::start(&value, &dir).await;
        let _unanswered = discovery.accept_call().await;
        assert_eq!(new.admin_request("GET", "/control/ready").await.expect("an answer").0, 503);
        assert_eq!(old.admin_request("GET", "/control/ready").await.expect("an answer").0, 200);
        new.signal("-TERM").await;
        let status =
            timeout(Duration::from_secs(5), new.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        serve_host(host, Rc::default());
        let address = listen_address(&value);
        let mut client = LineConnection::connect(address).await;
        client.send("OPEN 1 1 c=chat,d=5000\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
    });
}

#[test]
fn killed_successor_and_rejected_third_process_do_not_disturb_the_node() {
    run(async {
        let ServedNode { process: mut old, value, dir } = ServedNode::start("dies").await;
        let mut new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        let mut third = Process::start(&value, &dir).await;
        let status =
            timeout(Duration::from_secs(5), third.child.wait()).await.expect("in time").expect("ended");
        assert!(!status.success(), "a third process exits while two are running");
        new.child.kill().await.expect("killed");
        let address = listen_address(&value);
        for id in 0..20 {
            drop(connect_served(address, id).await);
        }
        // Another process can take over afterwards. Request ids are known to both, whichever admits the
        // request.
        let new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        for id in 100..110 {
            let line = format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n");
            let mut client = LineConnection::connect(address).await;
            client.send(&line).await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
            // Leaves time for the process that admitted the request to send its id to the other process.
            sleep(Duration::from_millis(50)).await;
            let mut duplicate = LineConnection::connect(address).await;
            duplicate.send(&line).await;
            assert_eq!(duplicate.read_line().await.as_deref(), Some("ERR"));
        }
        old.signal("-TERM").await;
        let status =
            timeout(Duration::from_secs(5), old.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        // A process with another node name in the same directory belongs to another node.
        let mut other = value.clone();
        other["name"] = "n2".into();
        other["listen"] = free_address().await.to_string().into();
        let other = Process::start(&other, &dir).await;
        other.wait_until_ready().await;
        new.wait_until_ready().await;
    });
}

/// Joins the process in a directory as a successor of a minor version that reports that it is ready. Returns the
/// upgrade channel, and the socket on which connections are received.
async fn join_as_ready_successor(dir: &Path, minor_version: u32) -> (BufReader<UnixStream>, UnixDatagram) {
    let path = upgrade_socket(dir);
    let stream = UnixStream::connect(&path);
    let mut stream = BufReader::new(stream.await.expect("the socket of the predecessor"));
    let handover_socket = UnixDatagram::bind(path.with_extension("pass")).expect("bound");
    let join = json!({"join": {"version": 1, "minor_version": minor_version}});
    let messages = format!("{join}\n{}\n", json!({"ready": {"number": 7}}));
    stream.get_mut().write_all(messages.as_bytes()).await.expect("sent");
    let mut line = String::new();
    while !line.contains("\"done\"") {
        line.clear();
        stream.read_line(&mut line).await.expect("a message");
    }
    (stream, handover_socket)
}

/// Guards against messages of all connections in memory at once (issue 61), and against a successor that
/// receives and does not acknowledge.
#[test]
fn few_connections_are_handed_over_at_a_time_and_the_rest_migrated_if_none_is_acknowledged() {
    const CLIENTS: usize = 60;
    run(async {
        let ServedNode { process: old, value, dir } = ServedNode::start("few").await;
        let mut clients = Vec::new();
        for id in 0..CLIENTS {
            clients.push(connect_served(listen_address(&value), id).await);
        }
        let (_stream, handover_socket) = join_as_ready_successor(&dir, 0).await;
        old.signal("-TERM").await;
        let mut received = 0;
        let receive = async {
            let mut data = vec![0; 64 << 10];
            loop {
                handover_socket.recv(&mut data).await.expect("a connection");
                received += 1;
            }
        };
        assert!(timeout(Duration::from_millis(300), receive).await.is_err());
        assert_eq!(received, MAX_CONCURRENT_HANDOVERS);
        let mut migrated = 0;
        for client in &mut clients {
            let line = timeout(Duration::from_millis(1_000), client.read_line()).await;
            migrated += usize::from(line.is_ok_and(|line| line.as_deref() == Some("MOVE")));
            if migrated + received == CLIENTS {
                break;
            }
        }
        assert_eq!(migrated, CLIENTS - received);
    });
}

/// Guards against a predecessor that ends while its successor's question is on its way: the client whose id it
/// concerns is refused (issue 64).
#[test]
fn predecessor_answers_the_questions_that_were_asked_before_the_successor_knew_of_its_end() {
    run(async {
        let ServedNode { process: mut old, dir, .. } = ServedNode::start("asked").await;
        let (mut stream, _handover_socket) = join_as_ready_successor(&dir, 2).await;
        old.signal("-TERM").await;
        let mut line = String::new();
        while !line.contains("\"leaving\"") {
            line.clear();
            assert!(stream.read_line(&mut line).await.expect("a message") > 0, "ended without a word");
        }
        let leaving: Value = serde_json::from_str(&line).expect("JSON");
        let question = json!({"claim_id": {"number": 3, "id": 77}});
        let ack = json!({"done": {"number": leaving["leaving"]["number"]}});
        stream.get_mut().write_all(format!("{question}\n{ack}\n").as_bytes()).await.expect("sent");
        while !line.contains("\"claim_answer\"") {
            line.clear();
            assert!(stream.read_line(&mut line).await.expect("a message") > 0, "ended without an answer");
        }
        assert_eq!(
            serde_json::from_str::<Value>(&line).expect("JSON"),
            json!({"claim_answer": {"number": 3, "granted": true}})
        );
        let ended = timeout(Duration::from_secs(5), old.child.wait()).await;
        assert!(ended.expect("in time").expect("ended").success());
    });
}

#[test]
fn clients_are_migrated_if_the_successor_dies_before_receiving_their_connections() {
    // The kernel closes descriptors that lie unread in the socket of a process that ends. The predecessor
    // therefore keeps both sockets until the successor has acknowledged the connection.
    run(async {
        let ServedNode { process: old, value, dir } = ServedNode::start("unread").await;
        let mut clients = Vec::new();
        for id in 0..5 {
            clients.push(connect_served(listen_address(&value), id).await);
        }
        let (stream, handover_socket) = join_as_ready_successor(&dir, 0).await;
        old.signal("-TERM").await;
        handover_socket.readable().await.expect("handed over");
        drop((handover_socket, stream));
        for client in &mut clients {
            assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
            assert_eq!(client.read_line().await, None);
        }
    });
}

/// Guards against a maintenance file that lacks a host: both processes write it, and each may write it before it
/// has heard of the other's host (issue 64).
#[test]
fn hosts_that_are_taken_out_at_both_processes_at_once_are_all_stored() {
    const ROUNDS: usize = 20;
    run(async {
        let (dir, discovery) = (temp_dir("stored"), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let host = StubHost::new("s-1").await;
        let entry = |name: String| {
            let mut entry = host.list_entry("up");
            entry["host"] = name.into();
            entry
        };
        let name = |process: &str, round| format!("{process}-{round}");
        let names = (0..ROUNDS).flat_map(|round| [name("old", round), name("new", round)]);
        serve_endpoint_list(discovery, names.map(entry).collect());
        let old = Process::start(&value, &dir).await;
        old.wait_until_ready().await;
        let new = Process::start(&value, &dir).await;
        new.wait_until_ready().await;
        for round in 0..ROUNDS {
            let [path_old, path_new] =
                ["old", "new"].map(|process| format!("/control/hosts/{}/offline", name(process, round)));
            let (at_old, at_new) =
                tokio::join!(old.admin_request("POST", &path_old), new.admin_request("POST", &path_new));
            assert_eq!([at_old, at_new].map(|answer| answer.expect("an answer").0), [200, 200]);
            let stored = MaintenanceStore::load(&dir, "n1").hosts().count();
            assert_eq!(stored, 2 * (round + 1), "round {round}");
        }
    });
}

#[test]
fn process_starts_alone_if_no_valid_predecessor_answers() {
    run(async {
        let dir = temp_dir("none");
        let identity = NodeIdentity { name: "n1".to_owned(), dir: dir.clone() };
        assert!(
            upgrade::join(&identity).await.expect("a start without a predecessor").is_none(),
            "no socket"
        );
        let path = upgrade_socket(&dir);
        drop(UnixListener::bind(&path).expect("bound"));
        assert!(
            upgrade::join(&identity).await.expect("a start without a predecessor").is_none(),
            "a stale socket"
        );
        let messages: [&[u8]; 6] = [
            b"",
            b"{\"hello\":{\"version\":1",
            b"no line of the protocol's\n",
            b"\xff\xfe\n",
            b"{\"done\":{\"number\":1}}\n",
            b"{\"hello\":{\"version\":9,\"name\":\"n1\",\"config\":null,\"discovery\":null,\"list\":{\"seq\":1,\"whole\":true,\"hosts\":[]},\
              \"hosts\":{},\"ids\":[],\"held\":3}}\n",
        ];
        for message in messages {
            std::fs::remove_file(&path).expect("the previous socket");
            let listener = UnixListener::bind(&path).expect("bound");
            let serving = spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a process");
                // Sends byte by byte, and then nothing more.
                for byte in message {
                    stream.write_all(&[*byte]).await.expect("sent");
                    tokio::task::yield_now().await;
                }
                std::future::pending::<()>().await;
            });
            let joined = timeout(Duration::from_secs(3), upgrade::join(&identity)).await.expect("in time");
            assert!(
                joined.expect("a start without a predecessor").is_none(),
                "{}",
                String::from_utf8_lossy(message)
            );
            serving.abort();
        }
    });
}
