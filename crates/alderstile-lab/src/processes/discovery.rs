//! The stand-in for discovery: one list, sent to each node in the node's own words and under its own faults.

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

/// An empty line comes this often while nothing changes.
const EMPTY: Duration = Duration::from_secs(2);

/// A host as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// `up`, `draining` or `removed`.
    pub health: &'static str,
    /// Its zone's name.
    pub zone: String,
    /// When it last started, Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// What faults do to one node's list.
#[derive(Clone, Debug, Default)]
pub struct ListFaults {
    /// Changes come that much later.
    pub extra_delay: Duration,
    /// Hosts that are left out.
    pub omitted: Vec<usize>,
    /// Running hosts that are called draining.
    pub marked_draining: Vec<usize>,
    /// Calls are turned away.
    pub refuses: bool,
}

/// The list and its listeners.
pub struct Discovery {
    entries: RefCell<Vec<HostEntry>>,
    faults: RefCell<Vec<ListFaults>>,
    changed: watch::Sender<()>,
    seq: Cell<u64>,
    after: Duration,
    history: Rc<History>,
    dial: Box<dyn Fn(usize, usize) -> SocketAddr>,
}

impl Discovery {
    /// A list that nodes hear of `after` a change; `dial` gives the address at which a node reaches a host.
    pub fn new(
        entries: Vec<HostEntry>,
        nodes: usize,
        after: Duration,
        history: Rc<History>,
        dial: impl Fn(usize, usize) -> SocketAddr + 'static,
    ) -> Rc<Self> {
        Rc::new(Discovery {
            entries: RefCell::new(entries),
            faults: RefCell::new(vec![ListFaults::default(); nodes]),
            changed: watch::Sender::new(()),
            seq: Cell::new(1),
            after,
            history,
            dial: Box::new(dial),
        })
    }

    /// The list says so of a host from now on.
    pub fn set(&self, host: usize, health: &'static str, born: bool) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(host) {
            entry.health = health;
            if born {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                entry.started_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
            }
        }
        self.seq.set(self.seq.get() + 1);
        self.changed.send_replace(());
    }

    /// Changes what faults do to a node's list.
    pub fn set_faults(&self, node: usize, change: impl FnOnce(&mut ListFaults)) {
        if let Some(faults) = self.faults.borrow_mut().get_mut(node) {
            change(faults);
        }
        self.seq.set(self.seq.get() + 1);
        self.changed.send_replace(());
    }

    /// Answers one node's calls at an address, until it is dropped.
    pub async fn answer(self: Rc<Self>, node: usize, at: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(at).await?;
        loop {
            let (stream, _) = listener.accept().await?;
            let discovery = self.clone();
            // A caller that goes away ends its call.
            spawn_local(async move { discovery.call(node, BufReader::new(stream)).await });
        }
    }

    fn faults(&self, node: usize) -> ListFaults {
        self.faults.borrow().get(node).cloned().unwrap_or_default()
    }

    /// The list in a node's words: a host's number and what is said of it.
    fn view(&self, node: usize) -> Vec<(usize, HostEntry)> {
        let faults = self.faults(node);
        let entries = self.entries.borrow();
        let listed = entries.iter().cloned().enumerate().filter(|(host, _)| !faults.omitted.contains(host));
        listed
            .map(|(host, entry)| {
                let lied = faults.marked_draining.contains(&host) && entry.health == "up";
                let health = if lied { "draining" } else { entry.health };
                (host, HostEntry { health, ..entry })
            })
            .collect()
    }

    fn object(&self, node: usize, whole: bool, entries: &[(usize, HostEntry)]) -> Value {
        let hosts: Vec<Value> = entries
            .iter()
            .map(|(host, entry)| {
                json!({"host": format!("h{host}"), "dial": (self.dial)(node, *host), "site": entry.zone,
                       "class": "stand-in", "block": 0, "health": entry.health, "share": 1.0,
                       "born_ms": entry.started_ms})
            })
            .collect();
        json!({"seq": self.seq.get(), "whole": whole, "hosts": hosts})
    }

    async fn call(&self, node: usize, mut stream: BufReader<TcpStream>) -> io::Result<()> {
        let mut first = String::new();
        stream.read_line(&mut first).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 2 {
            line.clear();
        }
        if self.faults(node).refuses {
            return stream.get_mut().write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
        }
        let mut sent = self.view(node);
        let text = format!("{}\n", self.object(node, true, &sent));
        if !first.contains("stream=1") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            return stream.get_mut().write_all(format!("{head}{text}").as_bytes()).await;
        }
        let mut changed = self.changed.subscribe();
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        chunk(&mut stream, &text).await?;
        self.tell(node, &sent);
        loop {
            // A new list is sent a while after it came to be.
            if timeout(EMPTY, changed.changed()).await.is_err() {
                chunk(&mut stream, "\n").await?;
                continue;
            }
            let due = Instant::now() + self.after + self.faults(node).extra_delay;
            while due > Instant::now() {
                sleep((due - Instant::now()).min(EMPTY)).await;
                if due > Instant::now() {
                    chunk(&mut stream, "\n").await?;
                }
            }
            changed.mark_unchanged();
            if self.faults(node).refuses {
                return Ok(());
            }
            let now = self.view(node);
            let left_out = sent.iter().any(|(host, _)| !now.iter().any(|(other, _)| other == host));
            let news: Vec<(usize, HostEntry)> =
                now.iter().filter(|entry| left_out || !sent.contains(entry)).cloned().collect();
            if left_out || !news.is_empty() {
                chunk(&mut stream, &format!("{}\n", self.object(node, left_out, &news))).await?;
                self.tell(node, &news);
            }
            sent = now;
        }
    }

    fn tell(&self, node: usize, entries: &[(usize, HostEntry)]) {
        for (host, entry) in entries {
            self.history.add(Event::HostUpdate { node, host: *host, health: entry.health.to_owned() });
        }
    }
}

async fn chunk(stream: &mut BufReader<TcpStream>, text: &str) -> io::Result<()> {
    stream.get_mut().write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
