//! The admin server: responses to valid and malformed requests, metrics, and host maintenance.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use alderstile_node::admin::maintenance_store::{MaintenanceState, MaintenanceStore};
use alderstile_node::admin::server;
use alderstile_node::config::MAX_ADMIN_CONNECTIONS;
use alderstile_node::discovery::endpoint_list::server_id;
use alderstile_node::proxy::listener;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

mod support;
use support::*;

/// A node with a running admin server.
struct NodeWithAdmin {
    test_node: TestNode,
    admin: SocketAddr,
    watch: LineConnection,
}

async fn start_with_admin(
    hosts: &[&StubHost],
    edit_config: impl FnOnce(&mut serde_json::Value),
) -> NodeWithAdmin {
    let (test_node, watch) = start_ready_node_with(hosts, |value| {
        value["admin_addr"] = "127.0.0.1:0".into();
        edit_config(value);
    })
    .await;
    let listener = listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let admin = listener.local_addr().expect("bound");
    spawn_local(server::run(test_node.node.admin.clone(), listener));
    NodeWithAdmin { test_node, admin, watch }
}

impl NodeWithAdmin {
    /// Sends bytes to the admin server. Returns the response's status and full text.
    async fn send(&self, bytes: &[u8]) -> (u16, String) {
        let mut stream = TcpStream::connect(self.admin).await.expect("connected");
        stream.write_all(bytes).await.expect("sent");
        let mut answer = Vec::new();
        // A head that is too large is answered before all of it was read; the unread bytes may reset the
        // connection.
        let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await.expect("in time");
        let answer = String::from_utf8(answer).expect("text");
        (answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0), answer)
    }

    async fn request(&self, method: &str, path: &str) -> (u16, String) {
        self.send(format!("{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n").as_bytes()).await
    }

    async fn metric(&self, name: &str) -> u64 {
        let (status, text) = self.request("GET", "/control/counters").await;
        assert_eq!(status, 200);
        let start = format!("router.{name}:");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&start))
            .unwrap_or_else(|| panic!("{name} in {text}"));
        line.split('|').next().and_then(|value| value.parse().ok()).expect("a number")
    }

    async fn metrics(&self, names: &[&str]) -> Vec<u64> {
        let mut values = Vec::new();
        for name in names {
            values.push(self.metric(name).await);
        }
        values
    }
}

fn temp_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("admin-{name}"));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a directory");
    dir
}

#[test]
fn requests_are_routed_by_method_and_path() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = start_with_admin(&[&host], |_| {}).await;
        let (status, text) = node.request("GET", "/control/ready").await;
        assert_eq!(status, 200);
        assert!(text.to_lowercase().contains("connection: close"), "{text}");
        let (status, text) = node.request("POST", "/control/ready").await;
        assert!(status == 405 && text.to_lowercase().contains("allow: get"), "{text}");
        let (status, text) = node.request("GET", "/control/hosts/s-1/offline").await;
        assert!(status == 405 && text.to_lowercase().contains("allow: post"), "{text}");
        let long = format!("/control/hosts/{}/offline", "x".repeat(4096));
        for path in [
            "/",
            "/control",
            "/control/hosts//offline",
            "/control/hosts/s-2/offline",
            "/control/hosts/s-2/online",
            "/control/hosts/s-1/sideways",
            "/control/hosts/s-1%2Foffline",
            "/control/hosts/%2F/offline",
            "/control/hosts/%ff%fe/offline",
            "/control/hosts/s-1/x/offline",
            &long,
        ] {
            assert_eq!(node.request("POST", path).await.0, 404, "{path}");
        }
        assert_eq!(
            node.request("POST", "/control/hosts/s%2D1/offline").await.0,
            200,
            "the same host name, escaped"
        );
        let body = "x".repeat(9 << 10);
        let request = format!(
            "POST /control/hosts/s-1/online HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        assert_eq!(node.send(request.as_bytes()).await.0, 413);
        assert!(
            node.test_node
                .node
                .decisions
                .with_balancer(|balancer, _| balancer.maintenance().is_in_maintenance(server_id("s-1"))),
            "a rejected request changes nothing"
        );
        let request = format!("GET /control/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(64 << 10));
        let (status, text) = node.send(request.as_bytes()).await;
        assert!(status == 431 || text.is_empty(), "{text}");
        assert_eq!(node.send(b"\x00\xff\xfe nonsense\r\n\r\n").await.0, 400);
        let two = b"GET /control/ready HTTP/1.1\r\n\r\nGET /control/ready HTTP/1.1\r\n\r\n";
        assert_eq!(node.send(two).await.1.matches("HTTP/1.1").count(), 1, "one request per connection");
    });
}

#[test]
fn node_that_is_not_ready_responds_503() {
    run(async {
        let test_node = start_node(|value| value["admin_addr"] = "127.0.0.1:0".into()).await;
        let listener = listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let admin = listener.local_addr().expect("bound");
        spawn_local(server::run(test_node.node.admin.clone(), listener));
        let mut connection = LineConnection::connect(admin).await;
        connection.send("GET /control/ready HTTP/1.1\r\n\r\n").await;
        assert_eq!(connection.read_line().await.as_deref(), Some("HTTP/1.1 503 Service Unavailable"));
    });
}

#[test]
fn request_in_pieces_is_processed_once_and_truncated_request_is_ignored() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = start_with_admin(&[&host], |_| {}).await;
        let request = b"POST /control/hosts/s-1/offline HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n";
        for cut in 0..request.len() {
            let mut stream = TcpStream::connect(node.admin).await.expect("connected");
            stream.write_all(&request[..cut]).await.expect("sent");
            drop(stream);
        }
        let is_in_maintenance = || {
            node.test_node
                .node
                .decisions
                .with_balancer(|balancer, _| balancer.maintenance().is_in_maintenance(server_id("s-1")))
        };
        assert_eq!(node.request("GET", "/control/ready").await.0, 200);
        assert!(!is_in_maintenance(), "an incomplete request changes nothing");
        let mut stream = TcpStream::connect(node.admin).await.expect("connected");
        stream.set_nodelay(true).expect("set");
        for byte in request {
            stream.write_all(&[*byte]).await.expect("sent");
            tokio::task::yield_now().await;
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(is_in_maintenance());
    });
}

#[test]
fn admin_requests_are_answered_despite_silent_connections_and_many_clients() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = start_with_admin(&[&host], |value| value["limits"]["sockets"] = 60.into()).await;
        let mut clients = Vec::new();
        for _ in 0..100 {
            clients.push(TcpStream::connect(node.test_node.address).await.expect("connected"));
        }
        let mut silent = Vec::new();
        for _ in 0..3 * MAX_ADMIN_CONNECTIONS {
            let mut connection = TcpStream::connect(node.admin).await.expect("connected");
            connection.write_all(b"GET /con").await.expect("sent");
            silent.push(connection);
            assert_eq!(
                timeout(Duration::from_secs(1), node.request("GET", "/control/ready"))
                    .await
                    .expect("in time")
                    .0,
                200
            );
        }
        // The last silent connection has not been evicted; it is closed when its request timeout expires.
        let mut last = silent.pop().expect("a silent connection");
        let mut rest = Vec::new();
        let ended = timeout(Duration::from_secs(4), last.read_to_end(&mut rest)).await.expect("closed");
        assert!(rest.is_empty(), "{ended:?}");
    });
}

#[test]
fn each_outcome_is_counted_once() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = start_with_admin(&[&host], |_| {}).await;
        let names = ["success.chat", "busy.chat", "failure.chat", "backend_calls", "inflight"];
        assert_eq!(node.metrics(&names).await, [0, 0, 0, 0, 0]);
        assert_eq!(node.metrics(&["success.presence", "busy.presence", "failure.presence"]).await, [0, 0, 0]);
        assert_eq!(
            node.metrics(&["hosts_listed", "hosts_down", "reconfig_ok", "reconfig_failed"]).await,
            [1, 0, 0, 0]
        );
        let (client, server) = node.test_node.establish(1, &host).await;
        assert_eq!(node.metrics(&names).await, [1, 0, 0, 1, 1]);
        // The id of an open request is rejected.
        let mut duplicate = node.test_node.send_request(1, "d=20000").await;
        assert_eq!(duplicate.read_line().await.as_deref(), Some("ERR"));
        assert_eq!(node.metrics(&names).await, [1, 0, 1, 1, 1]);
        drop(client);
        while node.metric("inflight").await > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        drop(server);
        // A request that its client abandons counts as an attempt, but has no outcome.
        let client = node.test_node.send_request(2, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        assert_eq!(node.metrics(&names).await, [1, 0, 1, 2, 1]);
        drop(client);
        assert_eq!(server.read_line().await, None);
        while node.metric("inflight").await > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        // A malformed line and an unknown class are counted for no class.
        for line in ["HELO\r\n", "OPEN 5 5 c=other,d=100\r\n"] {
            let mut client = node.test_node.connect().await;
            client.send(line).await;
            assert_eq!(client.read_line().await.as_deref(), Some("ERR"));
        }
        assert_eq!(node.metrics(&names).await, [1, 0, 1, 2, 0]);
        // The only host rejects the request: it ends as rejected within three attempts, and the host is
        // avoided.
        let mut client = node.test_node.send_request(3, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("BUSY\r\n").await;
        assert!(client.read_line().await.is_some_and(|line| line.starts_with("BUSY")));
        assert_eq!(node.metrics(&names).await, [1, 1, 1, 3, 0]);
        assert_eq!(node.metric("hosts_down").await, 1);
    });
}

#[test]
fn host_in_maintenance_receives_no_requests_whatever_the_endpoint_list_contains() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let mut open = Vec::new();
        let mut node = start_with_admin(&[&hosts[0], &hosts[1]], |_| {}).await;
        assert!(
            node.test_node.node.config().state_dir.is_none(),
            "nothing is stored without a state directory"
        );
        for _ in 0..2 {
            assert_eq!(node.request("POST", "/control/hosts/s-1/offline").await.0, 200);
        }
        assert_eq!(node.metrics(&["hosts_listed", "hosts_down"]).await, [2, 1]);
        for (seq, health) in [(2, "removed"), (3, "up"), (4, "up")] {
            send_chunk(&mut node.watch, &list_line(seq, false, &[hosts[0].list_entry(health)])).await;
            let listed = if health == "removed" { 1 } else { 2 };
            while node.metric("hosts_listed").await != listed {
                sleep(Duration::from_millis(1)).await;
            }
            open.push(node.test_node.establish(seq, &hosts[1]).await);
        }
        assert_eq!(node.request("POST", "/control/hosts/s-1/online").await.0, 200);
        assert_eq!(node.metric("hosts_down").await, 0);
    });
}

#[test]
fn next_process_loads_the_maintenance_file_and_rejects_a_damaged_one() {
    let (dir, now) = (temp_dir("maintenance"), alderstile::types::Micros(7_000_000_000));
    let mut store = MaintenanceStore::default();
    store.set("s-1", MaintenanceState::OutOfService, now);
    store.set("s-2", MaintenanceState::ReturnedAt(now.0), now);
    store.save(&dir, "n/1").expect("saved");
    let hosts: Vec<_> =
        MaintenanceStore::load(&dir, "n/1").hosts().map(|(host, state)| (host.to_owned(), state)).collect();
    assert_eq!(
        hosts,
        [
            ("s-1".to_owned(), MaintenanceState::OutOfService),
            ("s-2".to_owned(), MaintenanceState::ReturnedAt(now.0))
        ]
    );
    assert_eq!(MaintenanceStore::load(&dir, "n1").hosts().count(), 0, "the file belongs to another node");
    let path = dir.join("alderstile-n%2F1.hosts.json");
    let text = std::fs::read(&path).expect("the saved file");
    for damaged in
        [&text[..text.len() / 2], b"", b"[]", b"{\"version\":9,\"hosts\":{\"s-1\":\"out\"}}", b"\xff\x00"]
    {
        std::fs::write(&path, damaged).expect("written");
        assert_eq!(MaintenanceStore::load(&dir, "n/1").hosts().count(), 0);
        assert!(!path.exists(), "renamed");
        assert_eq!(
            std::fs::read(dir.join("alderstile-n%2F1.hosts.damaged")).expect("the renamed file"),
            damaged
        );
    }
    // A node applies the stored states when it starts.
    store.save(&dir, "n1").expect("saved");
    run(async {
        let mut value = node_config("127.0.0.1:0", "127.0.0.1:1");
        value["admin_addr"] = "127.0.0.1:0".into();
        value["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": [StubHost::new("s-1").await.list_entry("up")]});
        let mut config = alderstile_node::config::Config::parse(value).expect("a valid configuration");
        config.state_dir = Some(dir);
        let node = Rc::new(alderstile_node::node::Node::new(config));
        assert!(node.admin.metrics_text().contains("router.hosts_down:1|g"));
        assert!(node.admin.set_host_online("s-1", true).await.expect("saved"));
        assert!(node.admin.metrics_text().contains("router.hosts_down:0|g"));
    });
}
