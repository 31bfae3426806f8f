//! All nodes of a fleet are restarted, a tenth at a time, while discovery can answer but few calls.

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

const NODES: usize = 20;
/// Discovery works through a call in this long, and turns away one that has waited so long.
const A_CALL: Duration = Duration::from_millis(1_000);
const GIVEN_UP: Duration = Duration::from_millis(2_000);
/// The next tenth is restarted so long after the one before.
const EACH_TENTH: Duration = Duration::from_millis(500);

/// Works through calls in turn, one each [`A_CALL`]; a watch stays open and brings an empty line every 2 s.
fn scarce(discovery: StubDiscovery, whole: String) {
    let queue: Rc<RefCell<VecDeque<(Instant, LineConnection)>>> = Rc::default();
    let calls = queue.clone();
    spawn_local(async move {
        loop {
            // One that a process had begun when it was told to stop is none.
            let mut call =
                LineConnection(tokio::io::BufReader::new(discovery.0.accept().await.expect("a call").0));
            let mut begun = [0; 3];
            let asked = call.0.get_mut().read_exact(&mut begun);
            if matches!(timeout(GIVEN_UP, asked).await, Ok(Ok(_))) {
                calls.borrow_mut().push_back((Instant::now(), call));
            }
        }
    });
    let calls = queue.clone();
    spawn_local(async move {
        loop {
            sleep(Duration::from_millis(20)).await;
            let waited = calls.borrow().front().is_some_and(|(asked, _)| asked.elapsed() >= GIVEN_UP);
            let late = if waited { calls.borrow_mut().pop_front() } else { None };
            if let Some((_, mut call)) = late {
                let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                call.0.get_mut().write_all(answer).await.unwrap_or_default();
            }
        }
    });
    spawn_local(async move {
        loop {
            sleep(A_CALL).await;
            let Some((_, mut call)) = queue.borrow_mut().pop_front() else { continue };
            let whole = whole.clone();
            spawn_local(async move {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut next = format!("{head}{:x}\r\n{whole}\r\n", whole.len());
                while call.0.get_mut().write_all(next.as_bytes()).await.is_ok() {
                    next = "1\r\n\n\r\n".to_owned();
                    sleep(Duration::from_secs(2)).await;
                }
            });
        }
    });
}

fn begin(path: &Path) -> Child {
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
fn nine_in_ten_restarted_processes_are_ready_within_ten_seconds_while_calls_are_scarce() {
    run(async {
        let host = StubHost::new("s-1").await;
        let whole = list_line(1, true, &[host.list_entry("up")]);
        let discovery = StubDiscovery::new().await;
        let place = discovery.0.local_addr().expect("bound").to_string();
        scarce(discovery, whole.clone());
        let mut nodes: Vec<(PathBuf, SocketAddr, Child)> = Vec::new();
        for number in 0..NODES {
            let free = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = free.local_addr().expect("bound");
            let mut value = node_config(&address.to_string(), &place);
            value["name"] = json!(format!("n{number}"));
            value["seed"] = json!(format!("{number:x}"));
            value["settings"]["allowed"]["may_tell"] = json!(false);
            value["settings"]["balancers"] = json!(NODES);
            // As they last had it.
            value["known"] = serde_json::from_str(&whole).expect("a list");
            let path =
                std::env::temp_dir().join(format!("alderstile-restart-{}-{number}.json", std::process::id()));
            std::fs::write(&path, value.to_string()).expect("written");
            drop(free);
            let child = begin(&path);
            nodes.push((path, address, child));
        }
        for (_, address, _) in &nodes {
            wait_until_pong(*address).await;
        }
        let mut restarts = Vec::new();
        for (number, (path, address, mut child)) in nodes.into_iter().enumerate() {
            restarts.push(spawn_local(async move {
                let tenth = u32::try_from(number * 10 / NODES).expect("a tenth");
                sleep(EACH_TENTH * tenth).await;
                let pid = child.id().expect("still there").to_string();
                let sent = Command::new("kill").args(["-TERM", &pid]).status().await.expect("sent");
                assert!(sent.success());
                assert!(child.wait().await.expect("ended").success());
                let _child = begin(&path);
                let took = wait_until_pong(address).await;
                std::fs::remove_file(path).unwrap_or_default();
                took
            }));
        }
        let mut took = Vec::new();
        for restart in restarts {
            took.push(restart.await.expect("ready"));
        }
        took.sort_unstable();
        println!("ready after {took:?}");
        let within = took.iter().filter(|took| **took < Duration::from_secs(10)).count();
        assert!(within >= NODES * 9 / 10, "{within} of {NODES}: {took:?}");
    });
}
