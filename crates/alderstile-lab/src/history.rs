//! What happened in a run, as one file of JSON records: the only thing that checkers read.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::schedule::{FaultKind, Idempotency, Party, PlannedFault};

/// A line: when, in seconds from the start, and what.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Seconds from the start of the run.
    pub t: f64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What may happen.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "e", rename_all = "snake_case")]
pub enum Event {
    /// The first record.
    Run {
        /// The schedule's title.
        title: String,
        /// Its seed.
        seed: u64,
        /// `processes` or `emulated`.
        on: String,
        /// How long clients come, seconds.
        length_s: f64,
        /// Nodes.
        nodes: usize,
        /// Hosts.
        hosts: usize,
        /// Classes and what they allow.
        classes: BTreeMap<String, Idempotency>,
        /// How long after a notice something new may still reach a draining host, seconds.
        grace_s: f64,
        /// The members' protocol period, seconds; 0 where no members know of each other.
        period_s: f64,
    },
    /// The last line: a file without it was cut short.
    End {},
    /// A fault begins or ends.
    Fault {
        /// Its kind.
        kind: FaultKind,
        /// Whether it begins.
        begins: bool,
        /// Whom it hits.
        on: Vec<Party>,
        /// From whom.
        from: Vec<Party>,
        /// To whom.
        to: Vec<Party>,
    },
    /// A process of a node.
    Process {
        /// The node.
        node: usize,
        /// What became of it.
        #[serde(rename = "what")]
        change: ProcessChange,
        /// How it ended, where it ended.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "how")]
        status: Option<String>,
    },
    /// A request's last byte is on its way.
    Open {
        /// Its id.
        id: String,
        /// The client.
        client: usize,
        /// The class.
        class: String,
        /// The node.
        node: usize,
        /// How long its client waits, seconds.
        wait_s: f64,
    },
    /// A client could not reach a node.
    #[serde(rename = "unreached")]
    ConnectFailed {
        /// The client.
        client: usize,
        /// The node.
        node: usize,
    },
    /// A client has an answer.
    Answer {
        /// The request.
        id: String,
        /// `up`, `busy`, `failed`, `err`, or the record.
        what: String,
        /// What the host gave, of `up`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        receipt: Option<String>,
    },
    /// A client gave up waiting for its answer.
    GaveUp {
        /// The request.
        id: String,
    },
    /// A request's connection has ended at the client.
    Closed {
        /// The request.
        id: String,
        /// `bye`, `move`, `end`, `reset`, `left`.
        how: String,
    },
    /// Every half second a client that wants to be served has or hasn't been.
    #[serde(rename = "beat")]
    ServedSample {
        /// The client.
        client: usize,
        /// Whether it was.
        ok: bool,
    },
    /// Every half second, of all clients that want to be served, those that are: in place of many beats.
    #[serde(rename = "served")]
    ServedTotal {
        /// Those that are.
        #[serde(rename = "ok")]
        served: usize,
        /// Of so many.
        #[serde(rename = "of")]
        wanting: usize,
    },
    /// An emulated host was pushed over while cold, or runs again.
    #[serde(rename = "host")]
    HostState {
        /// The host.
        host: usize,
        /// It fell.
        #[serde(rename = "fell")]
        failed: bool,
    },
    /// A host took a request's line in: it may have an effect from now on.
    #[serde(rename = "ran")]
    Executed {
        /// The host.
        host: usize,
        /// The request.
        id: String,
        /// What the host gives for it.
        receipt: String,
    },
    /// A node has been told of a host.
    #[serde(rename = "told")]
    HostUpdate {
        /// The node.
        node: usize,
        /// The host.
        host: usize,
        /// `up`, `draining` or `removed`.
        health: String,
    },
    /// A process of a member says how it sees another.
    #[serde(rename = "view")]
    MemberView {
        /// The node.
        node: usize,
        /// The other node's name.
        of: usize,
        /// `alive`, `suspect`, `dead`, `left`; `unknown` before it heard of it.
        state: String,
    },
}

impl Event {
    /// A fault begins or ends.
    pub fn fault(fault: &PlannedFault, begins: bool) -> Self {
        let list = |set: &BTreeSet<Party>| set.iter().copied().collect();
        let (on, from, to) = (list(&fault.on), list(&fault.from), list(&fault.to));
        Event::Fault { kind: fault.kind, begins, on, from, to }
    }
}

/// What becomes of a process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ProcessChange {
    /// It was started.
    Started,
    /// It answers the front.
    Ready,
    /// It was told to stop.
    Stopping,
    /// It was killed by the lab.
    Killed,
    /// It has ended.
    Ended,
    /// It stands still.
    Paused,
    /// It goes on.
    Resumed,
    /// A second one of the same node was started beside it.
    #[serde(rename = "beside")]
    ReplacementStarted,
    /// It was told to read its settings again.
    Reloaded,
}

/// Where events go.
pub struct History {
    began: Instant,
    /// None where nobody reads it.
    file: Option<RefCell<BufWriter<File>>>,
    failed: RefCell<Option<io::Error>>,
}

impl History {
    /// A new file; its clock begins now.
    ///
    /// # Errors
    ///
    /// If the file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Some(RefCell::new(BufWriter::new(File::create(path)?)));
        Ok(History { began: Instant::now(), file, failed: RefCell::default() })
    }

    /// A history that nobody reads: for runs of which only sums are wanted.
    pub fn unread() -> Self {
        History { began: Instant::now(), file: None, failed: RefCell::default() }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes what happens now.
    pub fn add(&self, event: Event) {
        self.add_at(self.now(), event);
    }

    /// Writes what happened at a time of the run.
    pub fn add_at(&self, t: f64, event: Event) {
        let Some(file) = &self.file else { return };
        // Microseconds: more digits are noise.
        let line = Record { t: (t * 1e6).round() / 1e6, event };
        let mut file = file.borrow_mut();
        let done = serde_json::to_writer(&mut *file, &line).map_err(io::Error::from);
        if let Err(error) = done.and_then(|()| file.write_all(b"\n")) {
            // A disk that is full must not pass for a run in which nothing happened.
            self.failed.borrow_mut().get_or_insert(error);
        }
    }

    /// Writes the last line; says whether all was written.
    ///
    /// # Errors
    ///
    /// The first failure to write a record.
    pub fn finish(&self) -> io::Result<()> {
        self.add(Event::End {});
        self.written()
    }

    /// Says whether all was written.
    ///
    /// # Errors
    ///
    /// The first failure to write a record.
    pub fn written(&self) -> io::Result<()> {
        self.file.as_ref().map_or(Ok(()), |file| file.borrow_mut().flush())?;
        self.failed.borrow_mut().take().map_or(Ok(()), Err)
    }
}

/// Why a history can't be checked.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// A line is none.
    #[error("{0}:{1}: {2}")]
    Record(String, usize, serde_json::Error),
    /// Nothing tells what run it is.
    #[error("{0}:1: no run stands in the first line")]
    NoRun(String),
    /// The last line is missing.
    #[error("{0}:{1}: cut short: the last line is not the run's end")]
    CutShort(String, usize),
}

/// Reads a complete history.
///
/// # Errors
///
/// If the file can't be read, a line of it is no event, or the first or the last line is missing.
pub fn read(path: &Path) -> Result<Vec<Record>, HistoryError> {
    let file = path.display().to_string();
    let open = File::open(path).map_err(|error| HistoryError::File(file.clone(), error))?;
    let mut records: Vec<Record> = Vec::new();
    for (i, line) in BufReader::new(open).lines().enumerate() {
        let line = line.map_err(|error| HistoryError::File(file.clone(), error))?;
        let line = serde_json::from_str(&line).map_err(|e| HistoryError::Record(file.clone(), i + 1, e))?;
        records.push(line);
    }
    if !matches!(records.first(), Some(Record { event: Event::Run { .. }, .. })) {
        return Err(HistoryError::NoRun(file));
    }
    match records.last() {
        Some(Record { event: Event::End {}, .. }) => Ok(records),
        _ => Err(HistoryError::CutShort(file, records.len())),
    }
}
