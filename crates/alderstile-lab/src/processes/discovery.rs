//! Stub discovery: one list of hosts, sent to each node with the node's proxy addresses and list faults.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::history::{Event, History};

/// Interval of empty lines that keep a stream alive while nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// A host in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// `up`, `draining` or `removed`.
    pub health: &'static str,
    /// Name of its zone.
    pub zone: String,
    /// When the host last started, in Unix milliseconds; 0 for a long time ago.
    pub started_ms: u64,
}

/// Faults of the list that one node receives.
#[derive(Clone, Debug, Default)]
pub struct ListFaults {
    /// Additional delay of changes.
    pub extra_delay: Duration,
    /// Hosts that are omitted.
    pub omitted: Vec<usize>,
    /// Running hosts that are listed as draining.
    pub marked_draining: Vec<usize>,
    /// Whether requests are rejected.
    pub refuses: bool,
}

/// The list of hosts, and the state shared by the listeners of all nodes.
pub struct Discovery {
    entries: RefCell<Vec<HostEntry>>,
    faults: RefCell<Vec<ListFaults>>,
    changed: watch::Sender<()>,
    seq: Cell<u64>,
    notify_delay: Duration,
    history: Rc<History>,
    dial: Box<dyn Fn(usize, usize) -> SocketAddr>,
}

impl Discovery {
    /// Returns a list whose changes are sent after `notify_delay`; `dial` returns the address at
    /// which a node reaches a host.
    pub fn new(
        entries: Vec<HostEntry>,
        nodes: usize,
        notify_delay: Duration,
        history: Rc<History>,
        dial: impl Fn(usize, usize) -> SocketAddr + 'static,
    ) -> Rc<Self> {
        Rc::new(Discovery {
            entries: RefCell::new(entries),
            faults: RefCell::new(vec![ListFaults::default(); nodes]),
            changed: watch::Sender::new(()),
            seq: Cell::new(1),
            notify_delay,
            history,
            dial: Box::new(dial),
        })
    }

    /// Changes the state of a host; `started` sets its start time to now.
    pub fn set(&self, host: usize, health: &'static str, started: bool) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(host) {
            entry.health = health;
            if started {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                entry.started_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
            }
        }
        self.seq.set(self.seq.get() + 1);
        self.changed.send_replace(());
    }

    /// Changes the faults of the list that a node receives.
    pub fn set_faults(&self, node: usize, change: impl FnOnce(&mut ListFaults)) {
        if let Some(faults) = self.faults.borrow_mut().get_mut(node) {
            change(faults);
        }
        self.seq.set(self.seq.get() + 1);
        self.changed.send_replace(());
    }

    /// Serves one node at an address, until the future is dropped.
    pub async fn serve(self: Rc<Self>, node: usize, listen: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        loop {
            let (stream, _) = listener.accept().await?;
            let discovery = self.clone();
            // An error of the connection only ends this request.
            spawn_local(async move { discovery.respond(node, BufReader::new(stream)).await });
        }
    }

    fn faults(&self, node: usize) -> ListFaults {
        self.faults.borrow().get(node).cloned().unwrap_or_default()
    }

    /// Returns the list that a node receives under its faults: numbers and entries of hosts.
    fn list_for(&self, node: usize) -> Vec<(usize, HostEntry)> {
        let faults = self.faults(node);
        let entries = self.entries.borrow();
        let listed = entries.iter().cloned().enumerate().filter(|(host, _)| !faults.omitted.contains(host));
        listed
            .map(|(host, entry)| {
                let marked_draining = faults.marked_draining.contains(&host) && entry.health == "up";
                let health = if marked_draining { "draining" } else { entry.health };
                (host, HostEntry { health, ..entry })
            })
            .collect()
    }

    /// Returns a message with hosts; `full` tells the full list from changes.
    fn message(&self, node: usize, full: bool, entries: &[(usize, HostEntry)]) -> Value {
        let hosts: Vec<Value> = entries
            .iter()
            .map(|(host, entry)| {
                json!({"host": format!("h{host}"), "dial": (self.dial)(node, *host), "site": entry.zone,
                       "class": "stand-in", "block": 0, "health": entry.health, "share": 1.0,
                       "born_ms": entry.started_ms})
            })
            .collect();
        json!({"seq": self.seq.get(), "whole": full, "hosts": hosts})
    }

    /// Answers one request with the list; follows with its changes if the request asks for a stream.
    async fn respond(&self, node: usize, mut stream: BufReader<TcpStream>) -> io::Result<()> {
        let mut request_line = String::new();
        stream.read_line(&mut request_line).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 2 {
            line.clear();
        }
        if self.faults(node).refuses {
            return stream.get_mut().write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
        }
        let mut sent = self.list_for(node);
        let text = format!("{}\n", self.message(node, true, &sent));
        if !request_line.contains("stream=1") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            return stream.get_mut().write_all(format!("{head}{text}").as_bytes()).await;
        }
        let mut changed = self.changed.subscribe();
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        write_chunk(&mut stream, &text).await?;
        self.record_update(node, &sent);
        loop {
            // Empty lines keep the stream alive, both between changes and during the delay of a change.
            if timeout(KEEP_ALIVE_INTERVAL, changed.changed()).await.is_err() {
                write_chunk(&mut stream, "\n").await?;
                continue;
            }
            let due = Instant::now() + self.notify_delay + self.faults(node).extra_delay;
            while due > Instant::now() {
                sleep((due - Instant::now()).min(KEEP_ALIVE_INTERVAL)).await;
                if due > Instant::now() {
                    write_chunk(&mut stream, "\n").await?;
                }
            }
            changed.mark_unchanged();
            if self.faults(node).refuses {
                return Ok(());
            }
            let now = self.list_for(node);
            // A list of changes can't remove a host: if one is missing, the full list is sent.
            let missing = sent.iter().any(|(host, _)| !now.iter().any(|(other, _)| other == host));
            let changes: Vec<(usize, HostEntry)> =
                now.iter().filter(|entry| missing || !sent.contains(entry)).cloned().collect();
            if missing || !changes.is_empty() {
                write_chunk(&mut stream, &format!("{}\n", self.message(node, missing, &changes))).await?;
                self.record_update(node, &changes);
            }
            sent = now;
        }
    }

    /// Records the states that were sent to a node.
    fn record_update(&self, node: usize, entries: &[(usize, HostEntry)]) {
        for (host, entry) in entries {
            self.history.add(Event::HostUpdate { node, host: *host, health: entry.health.to_owned() });
        }
    }
}

/// Writes a chunk of a chunked HTTP response.
async fn write_chunk(stream: &mut BufReader<TcpStream>, text: &str) -> io::Result<()> {
    stream.get_mut().write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
