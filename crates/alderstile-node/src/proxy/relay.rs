//! The relay, which forwards complete lines between a client and its host until one side ends or the client
//! migrates.

use std::io;
use std::time::Duration;

use alderstile::types::{RequestId, ServerId};
use serde::{Deserialize, Serialize};
use tokio::io::Interest;
use tokio::task::yield_now;
use tokio::time::Instant;
use tracing::debug;

use super::line_stream::{LineStream, ReadError, ReadProgress};
use super::migration::MigrationSignal;
use super::protocol::{HostLine, parse_host_line};
use super::termination_reason::TerminationReason;
use crate::decisions::{Decisions, sleep_until};

/// How long a client's lines may stay unanswered before the client is migrated. TCP keep-alive does not
/// detect a silent host. The client counts as lost 7 s after the last answer. The timeout is short enough for
/// a host that stops right after an answer, which shows only when the client's next line, sent up to 2 s
/// later, is not answered.
const HOST_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The timeout for writing the last lines to the client, which must be notified of the end within a second.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client may read nothing while lines are buffered for it.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How many times in a row a relay may read bytes before it yields to other tasks. Waiting for readiness does
/// not yield while both sides are always ready. Two reads are those of a usual line: one receives it, the next
/// one finds nothing.
const MAX_READS_WITHOUT_YIELD: u32 = 2;

/// How the connections to both sides are closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseMode {
    /// With a regular close, after the given last line to the client.
    Orderly(&'static [u8]),
    /// With a reset.
    Reset,
    /// Not closed: the successor continues with both.
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

/// The state of a relay, for the process that continues with the connection. The names on the wire are those
/// of the first version of the connection handover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayState {
    /// How long a line of the client has been unanswered, in milliseconds; `None` if all are answered.
    #[serde(rename = "silent_ms")]
    unanswered_ms: Option<u64>,
    /// Whether the host's last line was `BYE` rather than `MOVE`; `None` if it was neither.
    #[serde(rename = "bye")]
    ended_with_bye: Option<bool>,
    /// The load of the last load report.
    pub load: Option<f64>,
}

/// A request, and the host that serves it.
#[derive(Clone, Copy, Debug)]
pub struct ServedRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The id of the host.
    pub host: ServerId,
}

/// Tracks the forwarded lines, and passes load reports to the policy.
struct Monitor<'a> {
    decisions: &'a Decisions,
    served: ServedRequest,
    /// When the first unanswered line of the client was received.
    unanswered_since: Option<Instant>,
    /// The host's last line, if it was `BYE` or `MOVE`.
    final_line: Option<HostLine>,
    /// The load of the last load report.
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

/// Writes the complete lines of one side to the other, as many as its socket accepts without blocking.
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

/// Writes all complete lines of the host to the client; returns whether that succeeded within the timeout.
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

/// Ends a relay with `MOVE` to the client after all complete lines, since `MOVE` must not be sent inside a
/// line. A client that does not receive the lines in time is reset instead.
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

/// Waits until a side is readable or writable, as requested; never completes if neither is requested.
async fn wait_until_ready(side: &LineStream, read: bool, write: bool) {
    let interest = match (read, write) {
        (true, true) => Interest::READABLE | Interest::WRITABLE,
        (true, false) => Interest::READABLE,
        (false, true) => Interest::WRITABLE,
        (false, false) => return std::future::pending().await,
    };
    // A broken connection is ready, too, and the next read reports its error.
    drop(side.socket.ready(interest).await);
}

/// The relay between a client and its host.
pub struct Relay<'a> {
    client: &'a mut LineStream,
    host: &'a mut LineStream,
    migration: &'a MigrationSignal,
    monitor: Monitor<'a>,
    /// The time since which the client has read nothing, although lines are buffered for it.
    client_stalled_since: Option<Instant>,
    /// The number of reads in a row that received bytes, since the last yield.
    reads_without_yield: u32,
}

impl<'a> Relay<'a> {
    /// Creates a relay between a client and the host that serves its request. `state` is the predecessor's
    /// state of a connection that it handed over, and `None` for a new connection.
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
            // The predecessor has already processed the lines in the buffers.
            Some(state) => monitor.restore(state),
            None => {
                monitor.on_host_lines(host.buffer.complete_lines());
                monitor.on_client_lines(client.buffer.complete_lines());
            }
        }
        Relay { client, host, migration, monitor, client_stalled_since: None, reads_without_yield: 0 }
    }

    /// Forwards lines until one side ends or the client migrates.
    pub async fn run(mut self) -> RelayEnd {
        loop {
            let buffered_before = self.host.buffer.buffered();
            let from_client = self.client.read_available(|lines| self.monitor.on_client_lines(lines));
            let from_host = self.host.read_available(|lines| self.monitor.on_host_lines(lines));
            let to_host = forward(self.client, self.host);
            let to_client = forward(self.host, self.client);
            self.update_client_stall(buffered_before);
            if let Err(error) = from_host {
                return self.end_on_host_error(error).await;
            }
            if let Err(error) = from_client {
                return self.end_on_client_error(error).await;
            }
            if to_host.is_err() {
                return RelayEnd::reset(TerminationReason::HostReset);
            }
            if to_client.is_err() {
                return RelayEnd::reset(TerminationReason::ClientReset);
            }
            let received = [from_client, from_host].contains(&Ok(ReadProgress::Received));
            self.yield_if_due(received).await;
            if let Some(end) = self.wait().await {
                return end;
            }
        }
    }

    /// Yields to other tasks if a side sends without pause, so that it does not occupy the processor.
    async fn yield_if_due(&mut self, received: bool) {
        self.reads_without_yield = if received { self.reads_without_yield + 1 } else { 0 };
        if self.reads_without_yield >= MAX_READS_WITHOUT_YIELD {
            self.reads_without_yield = 0;
            yield_now().await;
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

    async fn end_on_host_error(self, error: ReadError) -> RelayEnd {
        match error {
            ReadError::LineTooLong(_) => return RelayEnd::orderly(TerminationReason::HostLineTooLong),
            ReadError::MemoryExhausted(_) => return self.end_out_of_memory().await,
            ReadError::Closed | ReadError::Reset => {}
        }
        flush_to_client(self.host, self.client).await;
        match (self.monitor.final_line, error) {
            (Some(HostLine::Bye), _) => RelayEnd::orderly(TerminationReason::Completed),
            (Some(HostLine::Move), _) => RelayEnd::orderly(TerminationReason::HostMigrated),
            (_, ReadError::Closed) => RelayEnd::orderly(TerminationReason::HostClosed),
            _ => RelayEnd::reset(TerminationReason::HostReset),
        }
    }

    /// Migrates the client, as the node has no memory for a long line of either side.
    async fn end_out_of_memory(self) -> RelayEnd {
        migrate_client(self.host, self.client, TerminationReason::NodeOutOfMemory).await
    }

    async fn end_on_client_error(self, error: ReadError) -> RelayEnd {
        match error {
            ReadError::MemoryExhausted(_) => self.end_out_of_memory().await,
            ReadError::LineTooLong(_) => RelayEnd::orderly(TerminationReason::ClientLineTooLong),
            ReadError::Reset => RelayEnd::reset(TerminationReason::ClientReset),
            ReadError::Closed => RelayEnd::orderly(TerminationReason::ClientClosed),
        }
    }

    /// Waits until a side is ready; returns the end of the relay if the client is to migrate or a timeout
    /// expires.
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
