//! Idle clients that occupy all available descriptors: the descriptors reserved for the node itself and for
//! new clients.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};

mod support;
use support::*;

/// How long a client waits for its answer.
const CLIENT_WAIT: Duration = Duration::from_millis(1_000);

/// Connects a client and sends its request, which it abandons after [`CLIENT_WAIT`].
async fn send_request(address: SocketAddr, id: u64) -> LineConnection {
    let mut client = LineConnection::connect(address).await;
    client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=1000\r\n")).await;
    client
}

/// Opens connections that are served and stay, until one is rejected. Returns both sides of each.
async fn fill_with_served_clients(
    address: SocketAddr,
    host: &StubHost,
) -> Vec<(LineConnection, LineConnection)> {
    let mut open = Vec::new();
    loop {
        let mut next = send_request(address, open.len() as u64 + 1).await;
        tokio::select! {
            answer = next.read_line() => {
                assert_eq!(answer.as_deref(), Some("BUSY"));
                return open;
            }
            mut server = host.accept() => {
                server.read_line().await.expect("the first line");
                server.send("UP 00ff\r\n").await;
                assert_eq!(next.read_line().await.as_deref(), Some("UP 00ff"));
                open.push((next, server));
            }
        }
    }
}

/// Opens connections that send nothing.
async fn connect_idle(address: SocketAddr, count: usize) -> Vec<LineConnection> {
    let mut idle_clients = Vec::new();
    for _ in 0..count {
        idle_clients.push(LineConnection::connect(address).await);
    }
    idle_clients
}

#[test]
fn new_client_is_answered_in_time_while_idle_clients_hold_all_descriptors() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) =
            start_ready_node_with(&[&host], |value| value["limits"]["sockets"] = 200.into()).await;
        let open = fill_with_served_clients(test_node.address, &host).await;
        assert!(open.len() > 60, "{} are served", open.len());
        for round in 0..3 {
            let _idle_clients = connect_idle(test_node.address, 300).await;
            let mut new_client = send_request(test_node.address, 1_000 + round).await;
            let answer = timeout(CLIENT_WAIT, new_client.read_line()).await.expect("an answer in time");
            assert_eq!(answer.as_deref(), Some("BUSY"));
        }
    });
}

#[test]
fn node_with_few_descriptors_reconnects_to_discovery_and_serves_again() {
    run(async {
        let (host, other) = (StubHost::new("s-1").await, StubHost::new("s-2").await);
        let discovery = StubDiscovery::new().await;
        let discovery_address = discovery.0.local_addr().expect("bound");
        let address = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
        let mut value = node_config(&address.to_string(), &discovery_address.to_string());
        value["settings"]["allowed"]["may_tell"] = false.into();
        // Exceeds the limit that `ulimit` sets below.
        value["limits"]["sockets"] = json!(100_000);
        let path = std::env::temp_dir().join(format!("alderstile-few-{}.json", std::process::id()));
        std::fs::write(&path, value.to_string()).expect("written");
        let _node = Command::new("sh")
            .args(["-c", "ulimit -n 72; exec \"$0\" serve --config \"$1\""])
            .args([env!("CARGO_BIN_EXE_alderstile").as_ref(), path.as_os_str()])
            .env_remove("ROUTER_ADMIN_ADDR")
            .env("RUST_LOG", "warn")
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("started");
        let mut watch = discovery.accept_watch(&[&list_line(1, true, &[host.list_entry("up")])]).await;
        wait_until_pong(address).await;
        let mut open = fill_with_served_clients(address, &host).await;
        assert!(open.len() > 10, "{} are served", open.len());
        send_chunk(&mut watch, "\n").await;
        // Discovery stops, and further idle clients connect.
        drop((watch, discovery));
        let mut idle_clients = connect_idle(address, 200).await;
        let mut new_client = send_request(address, 1_000).await;
        let answer = timeout(CLIENT_WAIT, new_client.read_line()).await.expect("an answer in time");
        assert_eq!(answer.as_deref(), Some("BUSY"));
        // Discovery restarts while the idle clients stay.
        let restarted_discovery =
            StubDiscovery(TcpListener::bind(discovery_address).await.expect("the same port"));
        let restarted_at = Instant::now();
        let change = list_line(2, false, &[host.list_entry("draining"), other.list_entry("up")]);
        let _watch = timeout(Duration::from_secs(6), restarted_discovery.accept_watch(&[&change]))
            .await
            .expect("a call in time");
        assert!(restarted_at.elapsed() < Duration::from_secs(6), "{:?}", restarted_at.elapsed());
        idle_clients.extend(connect_idle(address, 200).await);
        // Some served clients leave, so that the next ones can be served by the host that is now listed as
        // up.
        open.truncate(open.len() - 4);
        let mut id = 2_000;
        let mut server = loop {
            id += 1;
            let mut next = send_request(address, id).await;
            tokio::select! {
                server = other.accept() => {
                    idle_clients.push(next);
                    break server;
                }
                answer = next.read_line() => assert!(answer.is_none_or(|line| line.starts_with("BUSY"))),
                _ = host.accept() => panic!("the host is draining"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        assert!(server.read_line().await.is_some_and(|line| line.starts_with("OPEN")));
    });
}
