//! Forwards complete lines between a client and its host until one side ends or the client migrates.

use std::io;
use std::time::Duration;

use alderstile::types::{RequestId, ServerId};
use serde::{Deserialize, Serialize};
use tokio::io::Interest;
use tokio::time::Instant;
use tracing::debug;

use super::line_stream::{LineStream, ReadError};
use super::migration::MigrationSignal;
use super::protocol::{HostLine, parse_host_line};
use super::termination_reason::TerminationReason;
use crate::decisions::{Decisions, sleep_until};

/// How long a client's lines may stay without any answer before it migrates: keep-alive does not notice silence. Also for a
/// host that stops right after an answer: that shows only with the client's next line, up to 2 s later, and 7 s after the
/// last answer the client counts as lost.
const HOST_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long the last lines may take to reach the client: it must be told of the end within a second.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client may receive nothing while lines wait for it.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How the connections of both sides are closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseMode {
    /// In an orderly way, after this last line to the client.
    Orderly(&'static [u8]),
    /// With a reset.
    Reset,
    /// Not at all: the successor continues with both.
    HandOver(RelayState),
}

/// The end of a relay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayEnd {
    /// Why it ended.
    pub reason: TerminationReason,
    /// How to close both connections.
    pub close: CloseMode,
}

impl RelayEnd {
    fn orderly(reason: TerminationReason) -> Self {
        RelayEnd { reason, close: CloseMode::Orderly(b"") }
    }

    fn reset(reason: TerminationReason) -> Self {
        RelayEnd { reason, close: CloseMode::Reset }
    }
}

/// What was observed of the forwarded lines, for the process that continues with the connection. The names on the wire are
/// those of the first version of the hand-over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayState {
    /// For how many milliseconds a line of the client has had no answer.
    #[serde(rename = "silent_ms")]
    unanswered_ms: Option<u64>,
    /// If the host's last line was a final_line one: whether that was `BYE`, and not `MOVE`.
    #[serde(rename = "bye")]
    ended_with_bye: Option<bool>,
    /// The last load report.
    pub load: Option<f64>,
}

/// A request, and the host that serves it.
#[derive(Clone, Copy, Debug)]
pub struct ServedRequest {
    /// The request's number.
    pub request: RequestId,
    /// The host's number.
    pub host: ServerId,
}

/// Observes the lines that are forwarded.
struct Monitor<'a> {
    decisions: &'a Decisions,
    served: ServedRequest,
    /// Since when a line of the client has had no answer.
    unanswered_since: Option<Instant>,
    /// The host's last line, if it was a final_line one.
    final_line: Option<HostLine>,
    /// The last load report.
    load: Option<f64>,
}

impl Monitor<'_> {
    fn state(&self) -> RelayState {
        let millis = |since: Instant| u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        RelayState {
            unanswered_ms: self.unanswered_since.map(millis),
            ended_with_bye: self.final_line.map(|line| line == HostLine::Bye),
            load: self.load,
        }
    }

    fn restore(&mut self, state: RelayState) {
        let now = Instant::now();
        let since = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        self.unanswered_since = state.unanswered_ms.map(since);
        self.final_line = state.ended_with_bye.map(|bye| if bye { HostLine::Bye } else { HostLine::Move });
        self.load = state.load;
    }

    fn on_client_lines(&mut self, lines: &[u8]) {
        if !lines.is_empty() {
            self.unanswered_since.get_or_insert_with(Instant::now);
        }
    }

    fn on_host_lines(&mut self, lines: &[u8]) {
        for line in lines.split_inclusive(|byte| *byte == b'\n') {
            self.on_host_line(line.strip_suffix(b"\r\n").unwrap_or(line));
        }
    }

    fn on_host_line(&mut self, line: &[u8]) {
        self.final_line = None;
        match parse_host_line(line) {
            HostLine::Load(load) => {
                self.load = Some(load);
                let ServedRequest { request, host } = self.served;
                debug!(number = request.0, load, "load report received");
                self.decisions
                    .with_balancer(|balancer, now| balancer.on_load_report(now, request, host, load));
            }
            final_line @ (HostLine::Bye | HostLine::Move) => self.final_line = Some(final_line),
            HostLine::Up => {}
            _ => self.unanswered_since = None,
        }
    }
}

/// Writes complete lines of one side to the other, as many as it receives now.
fn forward(from: &mut LineStream, to: &LineStream) -> io::Result<()> {
    while !from.buffer.complete_lines().is_empty() {
        match to.socket.try_write(from.buffer.complete_lines()) {
            Ok(count) => from.buffer.consume(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Writes all complete lines of the host to the client; returns whether it received them in time.
async fn flush_to_client(host: &mut LineStream, client: &LineStream) -> bool {
    let _late = tokio::time::timeout(LAST_LINES_TIMEOUT, async {
        while forward(host, client).is_ok() && !host.buffer.complete_lines().is_empty() {
            if client.socket.writable().await.is_err() {
                break;
            }
        }
    })
    .await;
    host.buffer.complete_lines().is_empty()
}

/// Tells the client to migrate, between two lines: `MOVE` must not come inside one that it has not received completely.
pub async fn migrate_client(
    host: &mut LineStream,
    client: &LineStream,
    reason: TerminationReason,
) -> RelayEnd {
    if flush_to_client(host, client).await {
        RelayEnd { reason, close: CloseMode::Orderly(b"MOVE\r\n") }
    } else {
        RelayEnd::reset(TerminationReason::ClientStalled)
    }
}

/// Waits until a side can be read or written; for ever where neither is wanted.
async fn wait_until_ready(side: &LineStream, read: bool, write: bool) {
    let interest = match (read, write) {
        (true, true) => Interest::READABLE | Interest::WRITABLE,
        (true, false) => Interest::READABLE,
        (false, true) => Interest::WRITABLE,
        (false, false) => return std::future::pending().await,
    };
    // A broken connection is ready too, and reports that when it is read.
    drop(side.socket.ready(interest).await);
}

/// A client and its host while lines are forwarded between them.
pub struct Relay<'a> {
    client: &'a mut LineStream,
    host: &'a mut LineStream,
    migration: &'a MigrationSignal,
    monitor: Monitor<'a>,
    /// Since when the client has received nothing while lines wait for it.
    client_stalled_since: Option<Instant>,
}

impl<'a> Relay<'a> {
    /// A relay between a client and the host that serves its request. `state` is what the predecessor observed of a
    /// connection that it handed over.
    pub fn new(
        decisions: &'a Decisions,
        served: ServedRequest,
        client: &'a mut LineStream,
        host: &'a mut LineStream,
        migration: &'a MigrationSignal,
        state: Option<RelayState>,
    ) -> Self {
        let mut monitor = Monitor { decisions, served, unanswered_since: None, final_line: None, load: None };
        match state {
            // The predecessor has observed the lines in the buffers.
            Some(state) => monitor.restore(state),
            None => {
                monitor.on_host_lines(host.buffer.complete_lines());
                monitor.on_client_lines(client.buffer.complete_lines());
            }
        }
        Relay { client, host, migration, monitor, client_stalled_since: None }
    }

    /// Forwards lines until one side ends, or the client migrates.
    pub async fn run(mut self) -> RelayEnd {
        loop {
            let buffered_before = self.host.buffer.buffered();
            let from_client = self.client.read_available(|lines| self.monitor.on_client_lines(lines));
            let from_host = self.host.read_available(|lines| self.monitor.on_host_lines(lines));
            let to_host = forward(self.client, self.host);
            let to_client = forward(self.host, self.client);
            self.update_client_stall(buffered_before);
            if let Err(error) = from_host {
                return self.on_host_read_error(error).await;
            }
            if let Err(error) = from_client {
                return Self::client_read_error_end(error);
            }
            if to_host.is_err() {
                return RelayEnd::reset(TerminationReason::HostReset);
            }
            if to_client.is_err() {
                return RelayEnd::reset(TerminationReason::ClientReset);
            }
            // Also after bytes came: waiting lets the other tasks run, or one flood would take the core.
            if let Some(end) = self.wait().await {
                return end;
            }
        }
    }

    fn update_client_stall(&mut self, buffered_before: usize) {
        let buffer = &self.host.buffer;
        if buffer.complete_lines().is_empty() || buffer.buffered() < buffered_before {
            self.client_stalled_since = None;
        } else {
            self.client_stalled_since.get_or_insert_with(Instant::now);
        }
    }

    async fn on_host_read_error(self, error: ReadError) -> RelayEnd {
        if matches!(error, ReadError::LineTooLong(_)) {
            return RelayEnd::orderly(TerminationReason::HostLineTooLong);
        }
        flush_to_client(self.host, self.client).await;
        match (self.monitor.final_line, error) {
            (Some(HostLine::Bye), _) => RelayEnd::orderly(TerminationReason::Completed),
            (Some(HostLine::Move), _) => RelayEnd::orderly(TerminationReason::HostMigrated),
            (_, ReadError::Closed) => RelayEnd::orderly(TerminationReason::HostClosed),
            _ => RelayEnd::reset(TerminationReason::HostReset),
        }
    }

    fn client_read_error_end(error: ReadError) -> RelayEnd {
        match error {
            ReadError::LineTooLong(_) => RelayEnd::orderly(TerminationReason::ClientLineTooLong),
            ReadError::Reset => RelayEnd::reset(TerminationReason::ClientReset),
            ReadError::Closed => RelayEnd::orderly(TerminationReason::ClientClosed),
        }
    }

    /// Waits until there is something to do; returns the end if the relay ends meanwhile.
    async fn wait(&mut self) -> Option<RelayEnd> {
        let lines_for_client = !self.host.buffer.complete_lines().is_empty();
        let lines_for_host = !self.client.buffer.complete_lines().is_empty();
        let silent_at = self.monitor.unanswered_since.map(|since| since + HOST_SILENCE_TIMEOUT);
        let stalled_at = self.client_stalled_since.map(|since| since + CLIENT_STALL_TIMEOUT);
        tokio::select! {
            () = wait_until_ready(self.client, self.client.buffer.can_read(), lines_for_client) => None,
            () = wait_until_ready(self.host, self.host.buffer.can_read(), lines_for_host) => None,
            () = self.migration.requested() => Some(self.migrate().await),
            () = sleep_until([silent_at, stalled_at].into_iter().flatten().min()) => {
                let passed = |at: Option<Instant>| at.is_some_and(|at| at <= Instant::now());
                if passed(silent_at) {
                    return Some(migrate_client(self.host, self.client, TerminationReason::HostSilent).await);
                }
                passed(stalled_at).then(|| RelayEnd::reset(TerminationReason::ClientStalled))
            }
        }
    }

    async fn migrate(&mut self) -> RelayEnd {
        match self.migration.reason() {
            reason @ TerminationReason::HandedOver => {
                RelayEnd { reason, close: CloseMode::HandOver(self.monitor.state()) }
            }
            reason => migrate_client(self.host, self.client, reason).await,
        }
    }
}
