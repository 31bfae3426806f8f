//! Histories: the events of a run as a file of JSON lines, which is the only input of the checkers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::schedule::{FaultKind, Idempotency, Party, PlannedFault};

/// One line of a history: an event and its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Seconds from the start of the run.
    pub t: f64,
    /// Event.
    #[serde(flatten)]
    pub event: Event,
}

/// Events of a run.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "e", rename_all = "snake_case")]
pub enum Event {
    /// The run starts: the first record of a history.
    Run {
        /// Title of the schedule.
        title: String,
        /// Seed of the run.
        seed: u64,
        /// `processes` or `emulated`.
        on: String,
        /// How long clients send requests, in seconds.
        length_s: f64,
        /// Number of nodes.
        nodes: usize,
        /// Number of hosts.
        hosts: usize,
        /// Classes of clients, and whether their requests may be executed more than once.
        classes: BTreeMap<String, Idempotency>,
        /// How long after a notification a draining host may still receive new requests, in seconds.
        grace_s: f64,
        /// Protocol period of the membership, in seconds; 0 if the nodes do not form a cluster.
        period_s: f64,
    },
    /// The run ended: the last record; a history without it is incomplete.
    End {},
    /// A fault begins or ends.
    Fault {
        /// Kind of the fault.
        kind: FaultKind,
        /// Whether it begins.
        begins: bool,
        /// Targets.
        on: Vec<Party>,
        /// Sending parties of a link fault.
        from: Vec<Party>,
        /// Receiving parties of a link fault.
        to: Vec<Party>,
    },
    /// A process of a node changed state.
    Process {
        /// Node.
        node: usize,
        /// The change.
        #[serde(rename = "what")]
        change: ProcessChange,
        /// Exit status, if the process ended.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "how")]
        status: Option<String>,
    },
    /// A client sends a request; recorded before the last byte is sent.
    Open {
        /// Request id.
        id: String,
        /// Client.
        client: usize,
        /// Class.
        class: String,
        /// Node.
        node: usize,
        /// How long the client waits for its answer, in seconds.
        wait_s: f64,
    },
    /// A client failed to connect to a node.
    #[serde(rename = "unreached")]
    ConnectFailed {
        /// Client.
        client: usize,
        /// Node.
        node: usize,
    },
    /// A client received an answer.
    Answer {
        /// Request id.
        id: String,
        /// `up`, `busy`, `failed` or `err`; any other line as it was received.
        what: String,
        /// Receipt of the host, for `up`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        receipt: Option<String>,
    },
    /// A client stopped waiting for its answer.
    GaveUp {
        /// Request id.
        id: String,
    },
    /// The connection of a request ended at its client.
    Closed {
        /// Request id.
        id: String,
        /// `bye`, `move`, `end`, `reset`, `left` or `silent`.
        how: String,
    },
    /// Half-second sample of one client that wants to be served.
    #[serde(rename = "beat")]
    ServedSample {
        /// Client.
        client: usize,
        /// Whether it was served.
        ok: bool,
    },
    /// Half-second sample of all clients; replaces one sample per client in emulated runs.
    #[serde(rename = "served")]
    ServedTotal {
        /// Clients that are served.
        #[serde(rename = "ok")]
        served: usize,
        /// Clients that want to be served.
        #[serde(rename = "of")]
        wanting: usize,
    },
    /// An emulated host crashed from overload during its warm-up, or runs again.
    #[serde(rename = "host")]
    HostState {
        /// Host.
        host: usize,
        /// Whether it crashed; otherwise it runs again.
        #[serde(rename = "fell")]
        failed: bool,
    },
    /// A host received a request: the request may have an effect from now on.
    #[serde(rename = "ran")]
    Executed {
        /// Host.
        host: usize,
        /// Request id.
        id: String,
        /// Receipt that the host returns for it.
        receipt: String,
    },
    /// Discovery sent a node the state of a host.
    #[serde(rename = "told")]
    HostUpdate {
        /// Node.
        node: usize,
        /// Host.
        host: usize,
        /// `up`, `draining` or `removed`.
        health: String,
    },
    /// The state that a member reports for another member changed.
    #[serde(rename = "view")]
    MemberView {
        /// Node.
        node: usize,
        /// Number of the observed node.
        #[serde(rename = "of")]
        observed: usize,
        /// `alive`, `suspect`, `dead` or `left`; `unknown` before the first report.
        state: String,
    },
}

impl Event {
    /// Returns the event for the beginning or the end of a fault.
    pub fn fault(fault: &PlannedFault, begins: bool) -> Self {
        let sorted = |set: &BTreeSet<Party>| set.iter().copied().collect();
        let (on, from, to) = (sorted(&fault.on), sorted(&fault.from), sorted(&fault.to));
        Event::Fault { kind: fault.kind, begins, on, from, to }
    }
}

/// State changes of a process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ProcessChange {
    /// The process was started.
    Started,
    /// It accepts clients.
    Ready,
    /// It was requested to stop.
    Stopping,
    /// It was killed by the lab.
    Killed,
    /// It exited.
    Ended,
    /// It was suspended.
    Paused,
    /// It was resumed.
    Resumed,
    /// A second process of the same node was started to replace it.
    #[serde(rename = "beside")]
    ReplacementStarted,
    /// It was requested to reload its settings.
    Reloaded,
}

/// Writer of a history.
pub struct History {
    started: Instant,
    /// None if events are discarded.
    file: Option<RefCell<BufWriter<File>>>,
    first_error: RefCell<Option<io::Error>>,
}

impl History {
    /// Creates a history file; the clock of the run starts now.
    ///
    /// # Errors
    ///
    /// If the file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Some(RefCell::new(BufWriter::new(File::create(path)?)));
        Ok(History { started: Instant::now(), file, first_error: RefCell::default() })
    }

    /// Creates a history that discards all events, for runs of which only the totals are used.
    pub fn discard() -> Self {
        History { started: Instant::now(), file: None, first_error: RefCell::default() }
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Records an event that happens now.
    pub fn add(&self, event: Event) {
        self.add_at(self.now(), event);
    }

    /// Records an event that happened at `t` seconds from the start of the run.
    pub fn add_at(&self, t: f64, event: Event) {
        let Some(file) = &self.file else { return };
        // Times are recorded in microseconds: further digits are noise.
        let record = Record { t: (t * 1e6).round() / 1e6, event };
        let mut file = file.borrow_mut();
        let result = serde_json::to_writer(&mut *file, &record).map_err(io::Error::from);
        if let Err(error) = result.and_then(|()| file.write_all(b"\n")) {
            // Keep the first error: a full disk must not look like a run without events.
            self.first_error.borrow_mut().get_or_insert(error);
        }
    }

    /// Records the end of the run and flushes the file.
    ///
    /// # Errors
    ///
    /// The first failure to write a record.
    pub fn finish(&self) -> io::Result<()> {
        self.add(Event::End {});
        self.flush()
    }

    /// Flushes the file.
    ///
    /// # Errors
    ///
    /// The first failure to write a record.
    pub fn flush(&self) -> io::Result<()> {
        self.file.as_ref().map_or(Ok(()), |file| file.borrow_mut().flush())?;
        self.first_error.borrow_mut().take().map_or(Ok(()), Err)
    }
}

/// Errors of reading a history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// A line is not a valid record.
    #[error("{0}:{1}: {2}")]
    Record(String, usize, serde_json::Error),
    /// The first record is not the start of a run.
    #[error("{0}:1: the first record is not a run")]
    NoRun(String),
    /// The last record is missing.
    #[error("{0}:{1}: incomplete history: the last record is not the end of the run")]
    Incomplete(String, usize),
}

/// Reads a complete history.
///
/// # Errors
///
/// If the file can't be read, a line is not a valid record, or the first or the last record is missing.
pub fn read(path: &Path) -> Result<Vec<Record>, HistoryError> {
    let file = path.display().to_string();
    let opened = File::open(path).map_err(|error| HistoryError::File(file.clone(), error))?;
    let mut records: Vec<Record> = Vec::new();
    for (i, line) in BufReader::new(opened).lines().enumerate() {
        let line = line.map_err(|error| HistoryError::File(file.clone(), error))?;
        let record = serde_json::from_str(&line).map_err(|e| HistoryError::Record(file.clone(), i + 1, e))?;
        records.push(record);
    }
    if !matches!(records.first(), Some(Record { event: Event::Run { .. }, .. })) {
        return Err(HistoryError::NoRun(file));
    }
    match records.last() {
        Some(Record { event: Event::End {}, .. }) => Ok(records),
        _ => Err(HistoryError::Incomplete(file, records.len())),
    }
}
