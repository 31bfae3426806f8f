//! Stubs of clients, hosts and discovery on loopback, and a node under test that uses them.
//!
//! Tests wait for expected events without a separate time limit, so that a slow machine causes no failure.
//! Only [`run`] limits the duration of a test, so that a stuck test fails.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use alderstile_node::config::Config;
use alderstile_node::discovery::endpoint_list::server_id;
use alderstile_node::discovery::watch;
use alderstile_node::node::Node;
use alderstile_node::proxy::listener;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

pub mod fleet;
pub mod loaded_node;
pub mod peers;
pub mod processes;
pub mod replicated_config;

/// Returns the configuration file of a node, as the platform writes it.
pub fn node_config(listen: &str, discovery: &str) -> Value {
    let class = |name: &str| {
        json!({"name": name, "aim": 300000, "give_up": 1200000, "group": "all", "semantics": "retryable",
               "stream": true, "window": 5000000, "worth": 2.0})
    };
    json!({
        "name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 200},
        "peers": ["127.0.0.1:7946", "127.0.0.1:7947"],
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "allowed": {"connect_timeout": 250000, "max_attempts": 3, "max_retry_after": 1000000,
                        "may_tell": true, "probes": false, "retry_after": true},
            "balancers": 2, "classes": [class("chat"), class("presence")], "discovery": "subscribe",
            "extra": {"groups": false, "message_aim": [100000.0, 150000.0], "tells_delay": true},
            "load_info": {"columns": [], "via": "silent"}, "my_zone": 0,
            "obligations": {"cold": 8500000, "cold_from": 0.41, "fall_multiple": 4.0, "must_ask_in": 10000000,
                            "overload_for": 1500000},
            "weights": "silent", "zones": ["a", "b"],
        },
    })
}

/// Runs a test on one thread, like the node. Panics after 40 s.
pub fn run<F: Future>(test: F) -> F::Output {
    run_for(Duration::from_secs(40), test)
}

/// Runs a test on one thread, like the node. Panics after the given time.
pub fn run_for<F: Future>(limit: Duration, test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let limited = async { timeout(limit, test).await.expect("the test completes in time") };
    LocalSet::new().block_on(&runtime, limited)
}

/// One end of a connection that sends and receives lines.
pub struct LineConnection(pub BufReader<TcpStream>);

impl LineConnection {
    pub async fn connect(to: SocketAddr) -> Self {
        LineConnection(BufReader::new(TcpStream::connect(to).await.expect("connected")))
    }

    pub async fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).await.expect("sent");
    }

    /// Reads the next line, without its line ending; returns `None` at the end of the connection.
    pub async fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.strip_suffix("\r\n").expect("a line ending").to_owned()),
        }
    }

    /// Reads to the end of the connection, and returns whether it was reset.
    pub async fn is_reset(&mut self) -> bool {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).await.is_err()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.0.get_ref().set_zero_linger().expect("an open connection");
    }
}

/// A stub host. It sends nothing by itself: each test accepts its connections and writes its responses.
pub struct StubHost {
    pub listener: TcpListener,
    pub name: String,
}

impl StubHost {
    pub async fn new(name: &str) -> Self {
        StubHost { listener: TcpListener::bind("127.0.0.1:0").await.expect("a port"), name: name.to_owned() }
    }

    /// Creates a host whose accept queue is full, so that connections to it are not established until
    /// [`StubHost::free_queue`]. The system retransmits their SYN after one second.
    pub async fn with_full_queue(name: &str) -> Self {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let host = StubHost { listener: socket.listen(0).expect("a queue of one"), name: name.to_owned() };
        let filler = TcpStream::connect(host.listener.local_addr().expect("bound")).await.expect("queued");
        // Stays open and occupies the queue until it is accepted by `free_queue`.
        std::mem::forget(filler);
        host
    }

    /// Frees the accept queue of [`StubHost::with_full_queue`], so that connections are established.
    pub async fn free_queue(&self) {
        self.listener.accept().await.expect("the connection that fills the queue");
    }

    /// Returns whether a connection arrives and sends a line within the given time.
    pub async fn receives_line_within(&self, within: Duration) -> bool {
        let sent = async { while self.accept().await.read_line().await.is_none() {} };
        timeout(within, sent).await.is_ok()
    }

    pub async fn accept(&self) -> LineConnection {
        LineConnection(BufReader::new(self.listener.accept().await.expect("a connection").0))
    }

    /// Returns the entry of this host in an endpoint list.
    pub fn list_entry(&self, health: &str) -> Value {
        let dial = self.listener.local_addr().expect("bound").to_string();
        json!({"host": self.name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health,
               "share": 1.0, "born_ms": 0})
    }
}

/// Accepts an attempt at either of two hosts and reads its first line. Returns the connection and the index
/// of the other host.
pub async fn accept_attempt(hosts: &[StubHost; 2]) -> (LineConnection, usize) {
    let (mut server, other) = tokio::select! {
        server = hosts[0].accept() => (server, 1),
        server = hosts[1].accept() => (server, 0),
    };
    server.read_line().await.expect("the first line");
    (server, other)
}

/// Returns a line as discovery sends it on a watch: a complete endpoint list, or only the changed entries.
pub fn list_line(seq: u64, whole: bool, hosts: &[Value]) -> String {
    format!("{}\n", json!({"seq": seq, "whole": whole, "hosts": hosts}))
}

/// A stub of discovery. It sends nothing by itself: each test accepts its calls and writes the answers.
pub struct StubDiscovery(pub TcpListener);

impl StubDiscovery {
    pub async fn new() -> Self {
        StubDiscovery(TcpListener::bind("127.0.0.1:0").await.expect("a port"))
    }

    /// Accepts a call, which is a request for the endpoint list. Returns its request line and the connection,
    /// on which nothing has been answered yet.
    pub async fn accept_call(&self) -> (String, LineConnection) {
        let mut peer = LineConnection(BufReader::new(self.0.accept().await.expect("a connection").0));
        let first = peer.read_line().await.expect("a request");
        while peer.read_line().await.is_some_and(|line| !line.is_empty()) {}
        (first, peer)
    }

    /// Accepts a call and answers it with a watch that begins with the given pieces, each in a separate
    /// chunk.
    pub async fn accept_watch(&self, pieces: &[&str]) -> LineConnection {
        let (_, mut peer) = self.accept_call().await;
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        for piece in pieces {
            send_chunk(&mut peer, piece).await;
        }
        peer
    }

    /// Answers each call with 503 after a delay, as discovery does when it is overloaded.
    pub async fn reject_calls(&self, after: Duration) {
        loop {
            let (_, mut call) = self.accept_call().await;
            spawn_local(async move {
                sleep(after).await;
                let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                call.0.get_mut().write_all(answer).await.unwrap_or_default();
            });
        }
    }
}

/// Answers a call with a complete list.
pub async fn send_complete_list(call: &mut LineConnection, list: &str) {
    call.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())).await;
}

/// Sends a chunk of a response with chunked transfer encoding.
pub async fn send_chunk(peer: &mut LineConnection, text: &str) {
    peer.send(&format!("{:x}\r\n{text}\r\n", text.len())).await;
}

/// A running node, and the stub of its discovery.
pub struct TestNode {
    pub node: Rc<Node>,
    pub address: SocketAddr,
    pub listener_task: JoinHandle<()>,
    pub discovery: StubDiscovery,
}

/// Starts a node whose configuration file is modified by `change`.
pub async fn start_node(change: impl FnOnce(&mut Value)) -> TestNode {
    let discovery = StubDiscovery::new().await;
    let discovery_address = discovery.0.local_addr().expect("bound").to_string();
    let mut value = node_config("127.0.0.1:0", &discovery_address);
    change(&mut value);
    let node = Rc::new(Node::new(Config::from_file_value(value, |_| None).expect("a valid configuration")));
    let listener = listener::bind(node.config().listen).expect("a port");
    let address = listener.local_addr().expect("bound");
    spawn_local(watch::run(node.decisions.clone()));
    spawn_local(node.clone().run(|_| {}));
    let listener_task = spawn_local(listener::run(node.clone(), listener));
    TestNode { node, address, listener_task, discovery }
}

/// Starts a node with the given hosts and waits until it is ready. The watch stays open until the returned
/// connection is dropped.
pub async fn start_ready_node(hosts: &[&StubHost]) -> (TestNode, LineConnection) {
    start_ready_node_with(hosts, |_| {}).await
}

pub async fn start_ready_node_with(
    hosts: &[&StubHost],
    change: impl FnOnce(&mut Value),
) -> (TestNode, LineConnection) {
    let test_node = start_node(change).await;
    let entries: Vec<Value> = hosts.iter().map(|host| host.list_entry("up")).collect();
    let watch = test_node.discovery.accept_watch(&[&list_line(1, true, &entries)]).await;
    test_node.wait_until_ready().await;
    (test_node, watch)
}

impl TestNode {
    pub async fn connect(&self) -> LineConnection {
        LineConnection::connect(self.address).await
    }

    /// Sends a health check as the front does. Returns the answer, or `None` if the node closes the
    /// connection.
    pub async fn ping(&self) -> Option<String> {
        let mut front = self.connect().await;
        front.send("PING\r\n").await;
        front.read_line().await
    }

    pub async fn wait_until_ready(&self) {
        while self.ping().await.is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Connects a client and sends its first line with these parameters besides the class.
    pub async fn send_request(&self, id: u64, parameters: &str) -> LineConnection {
        let mut client = self.connect().await;
        client.send(&format!("OPEN {id:016x} {id:016x} c=chat,{parameters}\r\n")).await;
        client
    }

    /// Waits until the node has received the list entry of a host.
    pub async fn wait_until_listed(&self, host: &str) {
        while self.node.decisions.host(server_id(host)).is_none() {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until a request is in flight.
    pub async fn wait_until_in_flight(&self) {
        while self.node.clients.in_flight_count() == 0 {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        while self.node.clients.in_flight_count() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Establishes a connection to the given host. Returns the client's and the host's end.
    pub async fn establish(&self, id: u64, host: &StubHost) -> (LineConnection, LineConnection) {
        let mut client = self.send_request(id, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("UP 00ff\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
        (client, server)
    }
}

/// Sends health checks to a process until it answers `PONG`; returns how long that took.
pub async fn wait_until_pong(address: SocketAddr) -> Duration {
    let started_at = tokio::time::Instant::now();
    loop {
        if let Ok(front) = TcpStream::connect(address).await {
            let mut front = LineConnection(BufReader::new(front));
            let sent = front.0.get_mut().write_all(b"PING\r\n").await;
            if sent.is_ok() && front.read_line().await.as_deref() == Some("PONG") {
                return started_at.elapsed();
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}
