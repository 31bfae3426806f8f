//! Idle clients that take all descriptors they can get: what is kept for the node itself, and for those who come.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};

mod support;
use support::*;

/// A client waits this long for its answer.
const PATIENCE: Duration = Duration::from_millis(1_000);

async fn client(address: SocketAddr, id: u64) -> LineConnection {
    let mut client = LineConnection::connect(address).await;
    client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=1000\r\n")).await;
    client
}

/// Clients that are served and stay, until one is turned away.
async fn fill(address: SocketAddr, host: &StubHost) -> Vec<(LineConnection, LineConnection)> {
    let mut open = Vec::new();
    loop {
        let mut next = client(address, open.len() as u64 + 1).await;
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

/// So many that connect and say nothing.
async fn idle(address: SocketAddr, number: usize) -> Vec<LineConnection> {
    let mut idle = Vec::new();
    for _ in 0..number {
        idle.push(LineConnection::connect(address).await);
    }
    idle
}

#[test]
fn who_comes_while_idle_clients_hold_all_there_is_has_an_answer_in_its_time() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) =
            start_ready_node_with(&[&host], |value| value["limits"]["sockets"] = 200.into()).await;
        let open = fill(setup.address, &host).await;
        assert!(open.len() > 60, "{} are served", open.len());
        for round in 0..3 {
            let _idle = idle(setup.address, 300).await;
            let mut late = client(setup.address, 1_000 + round).await;
            let answer = timeout(PATIENCE, late.read_line()).await.expect("an answer in its time");
            assert_eq!(answer.as_deref(), Some("BUSY"));
        }
    });
}

#[test]
fn a_node_that_the_system_allows_few_descriptors_hears_of_discoverys_return_and_serves_again() {
    run(async {
        let (host, other) = (StubHost::new("s-1").await, StubHost::new("s-2").await);
        let discovery = StubDiscovery::new().await;
        let place = discovery.0.local_addr().expect("bound");
        let address = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
        let mut value = node_config(&address.to_string(), &place.to_string());
        value["settings"]["allowed"]["may_tell"] = false.into();
        // More than the system allows.
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
        let mut open = fill(address, &host).await;
        assert!(open.len() > 10, "{} are served", open.len());
        send_chunk(&mut watch, "\n").await;
        // Discovery is down while idle clients come on top.
        drop((watch, discovery));
        let mut crowd = idle(address, 200).await;
        let mut late = client(address, 1_000).await;
        let answer = timeout(PATIENCE, late.read_line()).await.expect("an answer in its time");
        assert_eq!(answer.as_deref(), Some("BUSY"));
        // It is back; the crowd stays.
        let back = StubDiscovery(TcpListener::bind(place).await.expect("its port again"));
        let returned = Instant::now();
        let change = list_line(2, false, &[host.list_entry("draining"), other.list_entry("up")]);
        let _watch =
            timeout(Duration::from_secs(6), back.accept_watch(&[&change])).await.expect("asked in time");
        assert!(returned.elapsed() < Duration::from_secs(6), "{:?}", returned.elapsed());
        crowd.extend(idle(address, 200).await);
        // Some of those served go: there is room for their like again, at the host that is up now.
        open.truncate(open.len() - 4);
        let mut id = 2_000;
        let mut server = loop {
            id += 1;
            let mut next = client(address, id).await;
            tokio::select! {
                server = other.accept() => {
                    crowd.push(next);
                    break server;
                }
                answer = next.read_line() => assert!(answer.is_none_or(|line| line.starts_with("BUSY"))),
                _ = host.accept() => panic!("it drains"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        assert!(server.read_line().await.is_some_and(|line| line.starts_with("OPEN")));
    });
}
