//! The admin server: what it answers however it is called, the metrics, and hosts taken out of service.

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

/// A node with its operators' address.
struct Operated {
    setup: Setup,
    admin: SocketAddr,
    _watch: LineConnection,
}

async fn operated(hosts: &[&StubHost], change: impl FnOnce(&mut serde_json::Value)) -> Operated {
    let (setup, watch) = start_ready_node_with(hosts, |value| {
        value["admin_addr"] = "127.0.0.1:0".into();
        change(value);
    })
    .await;
    let listener = listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let admin = listener.local_addr().expect("bound");
    spawn_local(server::run(setup.node.admin.clone(), listener));
    Operated { setup, admin, _watch: watch }
}

impl Operated {
    /// What comes back for these bytes: the status, and all of the answer.
    async fn say(&self, bytes: &[u8]) -> (u16, String) {
        let mut stream = TcpStream::connect(self.admin).await.expect("connected");
        stream.write_all(bytes).await.expect("sent");
        let mut answer = Vec::new();
        // A head that is too large is answered before all of it was read, and what is unread may reset.
        let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await.expect("in time");
        let answer = String::from_utf8(answer).expect("text");
        (answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0), answer)
    }

    async fn call(&self, method: &str, path: &str) -> (u16, String) {
        self.say(format!("{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n").as_bytes()).await
    }

    async fn figure(&self, name: &str) -> u64 {
        let (status, text) = self.call("GET", "/control/counters").await;
        assert_eq!(status, 200);
        let start = format!("router.{name}:");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&start))
            .unwrap_or_else(|| panic!("{name} in {text}"));
        line.split('|').next().and_then(|value| value.parse().ok()).expect("a number")
    }

    async fn figures(&self, names: &[&str]) -> Vec<u64> {
        let mut values = Vec::new();
        for name in names {
            values.push(self.figure(name).await);
        }
        values
    }
}

fn dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("admin-{name}"));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

#[test]
fn calls_are_answered_by_their_method_and_path() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = operated(&[&host], |_| {}).await;
        let (status, text) = node.call("GET", "/control/ready").await;
        assert_eq!(status, 200);
        assert!(text.to_lowercase().contains("connection: close"), "{text}");
        let (status, text) = node.call("POST", "/control/ready").await;
        assert!(status == 405 && text.to_lowercase().contains("allow: get"), "{text}");
        let (status, text) = node.call("GET", "/control/hosts/s-1/offline").await;
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
            assert_eq!(node.call("POST", path).await.0, 404, "{path}");
        }
        assert_eq!(node.call("POST", "/control/hosts/s%2D1/offline").await.0, 200, "the same id, escaped");
        let body = "x".repeat(9 << 10);
        let call = format!(
            "POST /control/hosts/s-1/online HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        assert_eq!(node.say(call.as_bytes()).await.0, 413);
        assert!(
            node.setup
                .node
                .decisions
                .with_balancer(|balancer, _| balancer.maintenance().is_in_maintenance(server_id("s-1"))),
            "nothing done"
        );
        let call = format!("GET /control/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(64 << 10));
        let (status, text) = node.say(call.as_bytes()).await;
        assert!(status == 431 || text.is_empty(), "{text}");
        assert_eq!(node.say(b"\x00\xff\xfe nonsense\r\n\r\n").await.0, 400);
        let two = b"GET /control/ready HTTP/1.1\r\n\r\nGET /control/ready HTTP/1.1\r\n\r\n";
        assert_eq!(node.say(two).await.1.matches("HTTP/1.1").count(), 1, "one call a connection");
    });
}

#[test]
fn not_ready_is_said_so() {
    run(async {
        let setup = start_node(|value| value["admin_addr"] = "127.0.0.1:0".into()).await;
        let listener = listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let admin = listener.local_addr().expect("bound");
        spawn_local(server::run(setup.node.admin.clone(), listener));
        let mut caller = LineConnection::connect(admin).await;
        caller.send("GET /control/ready HTTP/1.1\r\n\r\n").await;
        assert_eq!(caller.read_line().await.as_deref(), Some("HTTP/1.1 503 Service Unavailable"));
    });
}

#[test]
fn a_call_in_pieces_is_one_call_and_a_cut_one_is_none() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = operated(&[&host], |_| {}).await;
        let call = b"POST /control/hosts/s-1/offline HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n";
        for cut in 0..call.len() {
            let mut stream = TcpStream::connect(node.admin).await.expect("connected");
            stream.write_all(&call[..cut]).await.expect("sent");
            drop(stream);
        }
        let out = || {
            node.setup
                .node
                .decisions
                .with_balancer(|balancer, _| balancer.maintenance().is_in_maintenance(server_id("s-1")))
        };
        assert_eq!(node.call("GET", "/control/ready").await.0, 200);
        assert!(!out(), "half a call changes nothing");
        let mut stream = TcpStream::connect(node.admin).await.expect("connected");
        stream.set_nodelay(true).expect("set");
        for byte in call {
            stream.write_all(&[*byte]).await.expect("sent");
            tokio::task::yield_now().await;
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(out());
    });
}

#[test]
fn neither_silent_callers_nor_a_crowd_of_clients_keep_a_caller_out() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = operated(&[&host], |value| value["limits"]["sockets"] = 60.into()).await;
        let mut crowd = Vec::new();
        for _ in 0..100 {
            crowd.push(TcpStream::connect(node.setup.address).await.expect("connected"));
        }
        let mut silent = Vec::new();
        for _ in 0..3 * MAX_ADMIN_CONNECTIONS {
            let mut caller = TcpStream::connect(node.admin).await.expect("connected");
            caller.write_all(b"GET /con").await.expect("sent");
            silent.push(caller);
            assert_eq!(
                timeout(Duration::from_secs(1), node.call("GET", "/control/ready")).await.expect("in time").0,
                200
            );
        }
        // The last of them had a place until now, and loses it for saying nothing.
        let mut last = silent.pop().expect("one");
        let mut rest = Vec::new();
        let ended = timeout(Duration::from_secs(4), last.read_to_end(&mut rest)).await.expect("shown out");
        assert!(rest.is_empty(), "{ended:?}");
    });
}

#[test]
fn each_outcome_is_counted_once() {
    run(async {
        let host = StubHost::new("s-1").await;
        let node = operated(&[&host], |_| {}).await;
        let names = ["success.chat", "busy.chat", "failure.chat", "backend_calls", "inflight"];
        assert_eq!(node.figures(&names).await, [0, 0, 0, 0, 0]);
        assert_eq!(node.figures(&["success.presence", "busy.presence", "failure.presence"]).await, [0, 0, 0]);
        assert_eq!(
            node.figures(&["hosts_listed", "hosts_down", "reconfig_ok", "reconfig_failed"]).await,
            [1, 0, 0, 0]
        );
        let (client, server) = node.setup.establish(1, &host).await;
        assert_eq!(node.figures(&names).await, [1, 0, 0, 1, 1]);
        // An id that is open.
        let mut twin = node.setup.send_request(1, "d=20000").await;
        assert_eq!(twin.read_line().await.as_deref(), Some("ERR"));
        assert_eq!(node.figures(&names).await, [1, 0, 1, 1, 1]);
        drop(client);
        while node.figure("inflight").await > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        drop(server);
        // Abandoned: it had an attempt, and no outcome.
        let client = node.setup.send_request(2, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        assert_eq!(node.figures(&names).await, [1, 0, 1, 2, 1]);
        drop(client);
        assert_eq!(server.read_line().await, None);
        while node.figure("inflight").await > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        // A line that is none, and a class that nobody has, are of no class.
        for line in ["HELO\r\n", "OPEN 5 5 c=other,d=100\r\n"] {
            let mut client = node.setup.connect().await;
            client.send(line).await;
            assert_eq!(client.read_line().await.as_deref(), Some("ERR"));
        }
        assert_eq!(node.figures(&names).await, [1, 0, 1, 2, 0]);
        // Turned away by the only host: three attempts at most, and the host is avoided.
        let mut client = node.setup.send_request(3, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("BUSY\r\n").await;
        assert!(client.read_line().await.is_some_and(|line| line.starts_with("BUSY")));
        assert_eq!(node.figures(&names).await, [1, 1, 1, 3, 0]);
        assert_eq!(node.figure("hosts_down").await, 1);
    });
}

#[test]
fn a_host_out_by_hand_gets_nothing_until_it_is_back_whatever_the_list_says() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let mut open = Vec::new();
        let mut node = operated(&[&hosts[0], &hosts[1]], |_| {}).await;
        assert!(node.setup.node.config().state_dir.is_none(), "nothing is kept where no folder is named");
        for _ in 0..2 {
            assert_eq!(node.call("POST", "/control/hosts/s-1/offline").await.0, 200);
        }
        assert_eq!(node.figures(&["hosts_listed", "hosts_down"]).await, [2, 1]);
        for (seq, health) in [(2, "removed"), (3, "up"), (4, "up")] {
            send_chunk(&mut node._watch, &list_line(seq, false, &[hosts[0].list_entry(health)])).await;
            let wanted = if health == "removed" { 1 } else { 2 };
            while node.figure("hosts_listed").await != wanted {
                sleep(Duration::from_millis(1)).await;
            }
            open.push(node.setup.establish(seq, &hosts[1]).await);
        }
        assert_eq!(node.call("POST", "/control/hosts/s-1/online").await.0, 200);
        assert_eq!(node.figure("hosts_down").await, 0);
    });
}

#[test]
fn the_next_process_finds_the_hosts_that_are_out_and_trusts_no_damaged_file() {
    let (dir, now) = (dir("kept"), alderstile::types::Micros(7_000_000_000));
    let mut kept = MaintenanceStore::default();
    kept.set("s-1", MaintenanceState::OutOfService, now);
    kept.set("s-2", MaintenanceState::ReturnedAt(now.0), now);
    kept.save(&dir, "n/1").expect("saved");
    let read: Vec<_> =
        MaintenanceStore::load(&dir, "n/1").hosts().map(|(host, stand)| (host.to_owned(), stand)).collect();
    assert_eq!(
        read,
        [
            ("s-1".to_owned(), MaintenanceState::OutOfService),
            ("s-2".to_owned(), MaintenanceState::ReturnedAt(now.0))
        ]
    );
    assert_eq!(MaintenanceStore::load(&dir, "n1").hosts().count(), 0, "another node's");
    let path = dir.join("alderstile-n%2F1.hosts.json");
    let text = std::fs::read(&path).expect("there");
    for damaged in
        [&text[..text.len() / 2], b"", b"[]", b"{\"version\":9,\"hosts\":{\"s-1\":\"out\"}}", b"\xff\x00"]
    {
        std::fs::write(&path, damaged).expect("written");
        assert_eq!(MaintenanceStore::load(&dir, "n/1").hosts().count(), 0);
        assert!(!path.exists(), "set aside");
        assert_eq!(std::fs::read(dir.join("alderstile-n%2F1.hosts.damaged")).expect("there"), damaged);
    }
    // And a node starts with what was left.
    kept.save(&dir, "n1").expect("saved");
    run(async {
        let mut value = node_config("127.0.0.1:0", "127.0.0.1:1");
        value["admin_addr"] = "127.0.0.1:0".into();
        value["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": [StubHost::new("s-1").await.list_entry("up")]});
        let mut config = alderstile_node::config::Config::parse(value).expect("fine");
        config.state_dir = Some(dir);
        let node = Rc::new(alderstile_node::node::Node::new(config));
        assert!(node.admin.metrics_text().contains("router.hosts_down:1|g"));
        assert!(node.admin.set_host_online("s-1", true).await.expect("kept"));
        assert!(node.admin.metrics_text().contains("router.hosts_down:0|g"));
    });
}
