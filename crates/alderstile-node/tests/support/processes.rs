//! Test support: processes of a node, and clients, hosts and discovery that run by themselves.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use alderstile_node::discovery::endpoint_list::server_id;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{LineConnection, StubDiscovery, StubHost, list_line, node_config};

/// Creates an empty directory with a short path, as the system limits the length of the upgrade socket's
/// path.
pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("alderstile-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a directory");
    dir
}

/// The ports of the processes under test: below those that the system assigns to outgoing connections, one of
/// which could take a port between its choice and its use.
const PORTS: std::ops::Range<u32> = 10_000..30_000;
/// The distance of the first ports that two test programs choose, so that they rarely try the same ones.
const PORTS_PER_PROGRAM: u32 = 61;

/// Returns an address of this machine on which nothing listens, another one at each call.
pub async fn free_address() -> SocketAddr {
    static CHOSEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * PORTS_PER_PROGRAM + CHOSEN.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        if let Ok(listener) = TcpListener::bind(format!("127.0.0.1:{port}")).await {
            return listener.local_addr().expect("bound");
        }
    }
}

/// Answers every discovery request with this list; watches receive no updates after it.
pub fn serve_endpoint_list(discovery: StubDiscovery, entries: Vec<Value>) {
    spawn_local(async move {
        let mut open = Vec::new();
        loop {
            open.push(discovery.accept_watch(&[&list_line(1, true, &entries)]).await);
        }
    });
}

/// Establishes every connection, echoes its lines, and counts the requests by id.
pub fn serve_host(host: StubHost, served: Rc<RefCell<BTreeMap<String, u32>>>) {
    spawn_local(async move {
        loop {
            let mut connection = host.accept().await;
            let served = served.clone();
            spawn_local(async move {
                let Some(line) = connection.read_line().await else { return };
                let id = line.split(' ').nth(1).expect("an id").to_owned();
                *served.borrow_mut().entry(id).or_default() += 1;
                let _result = connection.0.get_mut().write_all(b"UP 00ff\r\n").await;
                while let Some(line) = connection.read_line().await {
                    let _result = connection.0.get_mut().write_all(format!("{line}\r\n").as_bytes()).await;
                }
            });
        }
    });
}

/// A process of a node that is about to be started.
struct PreparedProcess {
    command: Command,
    admin: SocketAddr,
}

impl PreparedProcess {
    fn spawn(mut self) -> Process {
        Process { child: self.command.spawn().expect("started"), admin: self.admin }
    }
}

/// A process of a node, killed on drop.
pub struct Process {
    pub child: Child,
    pub admin: SocketAddr,
}

impl Process {
    /// Starts the program under test.
    pub async fn start(value: &Value, dir: &Path) -> Self {
        Process::start_program(Path::new(env!("CARGO_BIN_EXE_alderstile")), value, dir).await
    }

    /// Starts the program under test as a member of a cluster.
    pub async fn start_member(value: &Value, cluster_file: &Path, dir: &Path) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_alderstile"));
        let mut process = Process::prepare(program, value, dir).await;
        process.command.arg("--cluster").arg(cluster_file);
        process.spawn()
    }

    /// Starts the program under test with its usual log, which nobody reads.
    pub async fn start_with_unread_log(value: &Value, dir: &Path) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_alderstile"));
        let mut process = Process::prepare(program, value, dir).await;
        process.command.env("RUST_LOG", "info").stderr(Stdio::piped());
        process.spawn()
    }

    /// Starts a program of any version.
    pub async fn start_program(program: &Path, value: &Value, dir: &Path) -> Self {
        Process::prepare(program, value, dir).await.spawn()
    }

    async fn prepare(program: &Path, value: &Value, dir: &Path) -> PreparedProcess {
        let path = dir.join("config.json");
        std::fs::write(&path, value.to_string()).expect("written");
        let admin = free_address().await;
        let mut command = Command::new(program);
        command
            .args(["serve", "--config"])
            .arg(&path)
            .env("ROUTER_ADMIN_ADDR", admin.to_string())
            .env("TMPDIR", dir)
            .env("RUST_LOG", "warn")
            .stderr(Stdio::null())
            .kill_on_drop(true);
        PreparedProcess { command, admin }
    }

    /// Sends an admin request and returns the response's status and text; `None` if nothing listens.
    pub async fn admin_request(&self, method: &str, path: &str) -> Option<(u16, String)> {
        let mut stream = tokio::net::TcpStream::connect(self.admin).await.ok()?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).await.ok()?;
        let mut text = String::new();
        tokio::io::AsyncReadExt::read_to_string(&mut stream, &mut text).await.ok()?;
        Some((text.get(9..12)?.parse().ok()?, text))
    }

    pub async fn wait_until_ready(&self) {
        while self.admin_request("GET", "/control/ready").await.is_none_or(|(status, _)| status != 200) {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the value of a metric of a running process.
    pub async fn metric(&self, name: &str) -> u64 {
        self.metric_if_running(name).await.expect("metrics")
    }

    /// Returns the value of a metric; `None` if the process has ended.
    pub async fn metric_if_running(&self, name: &str) -> Option<u64> {
        let (_, text) = self.admin_request("GET", "/control/counters").await?;
        let start = format!("router.{name}:");
        text.lines().find_map(|line| line.strip_prefix(&start))?.split('|').next()?.parse().ok()
    }

    pub async fn signal(&self, name: &str) {
        let pid = self.child.id().expect("running").to_string();
        assert!(Command::new("kill").args([name, &pid]).status().await.expect("sent").success());
    }
}

/// A process of a node that is ready, and the watch that it has opened at the stub of its discovery.
pub struct WatchedProcess {
    pub process: Process,
    pub value: Value,
    pub dir: PathBuf,
    pub discovery: StubDiscovery,
    pub watch: LineConnection,
}

impl WatchedProcess {
    /// Starts the process with an endpoint list of version 1.
    pub async fn start(name: &str, entries: &[Value]) -> Self {
        let (dir, discovery) = (temp_dir(name), StubDiscovery::new().await);
        let value = upgradable_config(&discovery).await;
        let process = Process::start(&value, &dir).await;
        let watch = discovery.accept_watch(&[&list_line(1, true, entries)]).await;
        process.wait_until_ready().await;
        WatchedProcess { process, value, dir, discovery, watch }
    }
}

/// Returns the path of the upgrade channel's socket of the node `n1`.
pub fn upgrade_socket(dir: &Path) -> PathBuf {
    dir.join(format!("alderstile-{:016x}.sock", server_id("n1").0))
}

/// Returns the configuration of a node that can be upgraded.
pub async fn upgradable_config(discovery: &StubDiscovery) -> Value {
    let listen = free_address().await.to_string();
    let mut value = node_config(&listen, &discovery.0.local_addr().expect("bound").to_string());
    value["settings"]["allowed"]["may_tell"] = false.into();
    value["settings"]["balancers"] = 1.into();
    value
}

pub fn listen_address(value: &Value) -> SocketAddr {
    value["listen"].as_str().and_then(|text| text.parse().ok()).expect("an address")
}

/// The outcomes that test clients observed.
#[derive(Default)]
pub struct ClientOutcomes {
    pub established: u64,
    pub migrated: u64,
    pub failures: Vec<String>,
}

/// Connects clients one after the other until `stop` is set; each stays until it is migrated or a timeout
/// expires. `series` is the upper half of the request ids, and a higher one lengthens the timeout.
pub fn spawn_clients(
    address: SocketAddr,
    outcomes: Rc<RefCell<ClientOutcomes>>,
    stop: Rc<std::cell::Cell<bool>>,
    series: u64,
) {
    spawn_local(async move {
        for number in 0.. {
            if stop.get() {
                return;
            }
            let id = series << 32 | number;
            let Ok(stream) = tokio::net::TcpStream::connect(address).await else {
                outcomes.borrow_mut().failures.push(format!("{id:x} refused"));
                continue;
            };
            let mut client = LineConnection(tokio::io::BufReader::new(stream));
            let line = format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n");
            if client.0.get_mut().write_all(line.as_bytes()).await.is_err() {
                outcomes.borrow_mut().failures.push(format!("{id:x} reset"));
                continue;
            }
            match client.read_line().await.as_deref() {
                Some("UP 00ff") => outcomes.borrow_mut().established += 1,
                other => outcomes.borrow_mut().failures.push(format!("{id:x} {other:?}")),
            }
            if let Ok(Some(line)) = timeout(Duration::from_millis(20 + 40 * series), client.read_line()).await
            {
                assert_eq!(line, "MOVE");
                outcomes.borrow_mut().migrated += 1;
            }
        }
    });
}
