//! Rolling restart of a fleet, a tenth of the nodes at a time, while discovery is overloaded.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

mod support;
use support::*;

/// The number of nodes in the fleet.
const NODES: usize = 20;
/// Time in which discovery answers one request.
const REQUEST_DURATION: Duration = Duration::from_millis(1_000);
/// Time after which discovery rejects a waiting request.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay between the restarts of two successive tenths.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Answers queued requests in order, one per [`REQUEST_DURATION`]; a watch stays open and receives an empty
/// line every 2 s.
fn serve_slowly(discovery: StubDiscovery, complete_list: String) {
    let queue: Rc<RefCell<VecDeque<(Instant, LineConnection)>>> = Rc::default();
    let requests = queue.clone();
    spawn_local(async move {
        loop {
            // A request that its process had only begun to send when it was stopped is not queued.
            let mut connection = LineConnection(tokio::io::BufReader::new(
                discovery.0.accept().await.expect("a connection").0,
            ));
            let mut prefix = [0; 3];
            let received = connection.0.get_mut().read_exact(&mut prefix);
            if matches!(timeout(QUEUE_TIMEOUT, received).await, Ok(Ok(_))) {
                requests.borrow_mut().push_back((Instant::now(), connection));
            }
        }
    });
    let requests = queue.clone();
    spawn_local(async move {
        loop {
            sleep(Duration::from_millis(20)).await;
            let timed_out =
                requests.borrow().front().is_some_and(|(received, _)| received.elapsed() >= QUEUE_TIMEOUT);
            let rejected = if timed_out { requests.borrow_mut().pop_front() } else { None };
            if let Some((_, mut connection)) = rejected {
                let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                connection.0.get_mut().write_all(answer).await.unwrap_or_default();
            }
        }
    });
    spawn_local(async move {
        loop {
            sleep(REQUEST_DURATION).await;
            let Some((_, mut connection)) = queue.borrow_mut().pop_front() else { continue };
            let complete_list = complete_list.clone();
            spawn_local(async move {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut next = format!("{head}{:x}\r\n{complete_list}\r\n", complete_list.len());
                while connection.0.get_mut().write_all(next.as_bytes()).await.is_ok() {
                    next = "1\r\n\n\r\n".to_owned();
                    sleep(Duration::from_secs(2)).await;
                }
            });
        }
    });
}

fn spawn_node(path: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_alderstile"))
        .args(["serve", "--config"])
        .arg(path)
        .env_remove("ROUTER_ADMIN_ADDR")
        .env("RUST_LOG", "off")
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("started")
}

#[test]
fn ninety_percent_of_restarted_nodes_are_ready_within_ten_seconds_while_discovery_is_overloaded() {
    run(async {
        let host = StubHost::new("s-1").await;
        let complete_list = list_line(1, true, &[host.list_entry("up")]);
        let discovery = StubDiscovery::new().await;
        let discovery_address = discovery.0.local_addr().expect("bound").to_string();
        serve_slowly(discovery, complete_list.clone());
        let mut nodes: Vec<(PathBuf, SocketAddr, Child)> = Vec::new();
        for number in 0..NODES {
            let free = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = free.local_addr().expect("bound");
            let mut value = node_config(&address.to_string(), &discovery_address);
            value["name"] = json!(format!("n{number}"));
            value["seed"] = json!(format!("{number:x}"));
            value["settings"]["allowed"]["may_tell"] = json!(false);
            value["settings"]["balancers"] = json!(NODES);
            // The cached endpoint list, as the node last received it.
            value["known"] = serde_json::from_str(&complete_list).expect("a list");
            let path =
                std::env::temp_dir().join(format!("alderstile-restart-{}-{number}.json", std::process::id()));
            std::fs::write(&path, value.to_string()).expect("written");
            drop(free);
            let child = spawn_node(&path);
            nodes.push((path, address, child));
        }
        for (_, address, _) in &nodes {
            wait_until_pong(*address).await;
        }
        let mut restarts = Vec::new();
        for (number, (path, address, mut child)) in nodes.into_iter().enumerate() {
            restarts.push(spawn_local(async move {
                let batch = u32::try_from(number * 10 / NODES).expect("a batch");
                sleep(BATCH_INTERVAL * batch).await;
                let pid = child.id().expect("running").to_string();
                let sent = Command::new("kill").args(["-TERM", &pid]).status().await.expect("sent");
                assert!(sent.success());
                assert!(child.wait().await.expect("ended").success());
                let _child = spawn_node(&path);
                let duration = wait_until_pong(address).await;
                std::fs::remove_file(path).unwrap_or_default();
                duration
            }));
        }
        let mut durations = Vec::new();
        for restart in restarts {
            durations.push(restart.await.expect("ready"));
        }
        durations.sort_unstable();
        println!("ready after {durations:?}");
        let within = durations.iter().filter(|duration| **duration < Duration::from_secs(10)).count();
        assert!(within >= NODES * 9 / 10, "{within} of {NODES}: {durations:?}");
    });
}
