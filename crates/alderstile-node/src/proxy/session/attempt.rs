//! One attempt at a host: connects, sends the request and reads the response.

use std::io;
use std::rc::Rc;

use alderstile::types::Outcome;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::Session;
use crate::discovery::endpoint_table::HostAddress;
use crate::proxy::line_stream::{self, LineStream, ReadError};
use crate::proxy::protocol::{HostLine, parse_host_line};

/// The outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The named host serves the request.
    Established(LineStream, Rc<str>),
    /// The attempt failed.
    Failed(Outcome),
    /// The client disconnected, or sent a line that is too long.
    ClientEnded(ReadError),
}

/// Why a step of an attempt is aborted.
#[derive(Debug, Error)]
pub(super) enum AbortCause {
    /// The client disconnected, or sent a line that is too long.
    #[error("client connection ended: {0}")]
    Client(#[from] ReadError),
    /// The shutdown timeout is about to expire, and clients that still wait are answered.
    #[error("shutdown timeout about to expire")]
    PendingCutoff,
}

/// Why an attempt did not establish a connection.
#[derive(Debug, Error)]
enum AttemptError {
    #[error(transparent)]
    Aborted(#[from] AbortCause),
    #[error("attempt failed: {0:?}")]
    Failed(Outcome),
}

impl AttemptError {
    /// Returns the outcome of the attempt; `on_cutoff` is that of an attempt which the shutdown ends.
    fn outcome(self, on_cutoff: Outcome) -> AttemptOutcome {
        match self {
            AttemptError::Failed(outcome) => AttemptOutcome::Failed(outcome),
            AttemptError::Aborted(AbortCause::Client(error)) => AttemptOutcome::ClientEnded(error),
            AttemptError::Aborted(AbortCause::PendingCutoff) => AttemptOutcome::Failed(on_cutoff),
        }
    }
}

impl Session<'_> {
    /// Runs a step of an attempt, and aborts it when the client's connection ends or the shutdown timeout is
    /// about to expire. The client is polled first, so that its end takes precedence over a step that
    /// completes at the same time.
    pub(super) async fn run_unless_aborted<T>(
        &self,
        client: &mut LineStream,
        step: impl Future<Output = T>,
    ) -> Result<T, AbortCause> {
        tokio::pin!(step);
        loop {
            tokio::select! {
                biased;
                more = client.wait_for_bytes() => more?,
                () = self.node.process.pending_cutoff() => return Err(AbortCause::PendingCutoff),
                done = &mut step => return Ok(done),
            }
        }
    }

    /// Makes one attempt. `may_send` returns whether the request may still be sent.
    pub(super) async fn attempt(
        &self,
        client: &mut LineStream,
        host: &HostAddress,
        until: Instant,
        may_send: impl Fn() -> bool,
    ) -> AttemptOutcome {
        let mut stream = match self.connect_and_send(client, host, until, may_send).await {
            Ok(stream) => stream,
            Err(error) => return error.outcome(Outcome::NotForwarded),
        };
        self.node.clients.update_counters(|counters| counters.attempts_sent += 1);
        match self.read_response(client, &mut stream, until).await {
            Ok(()) => AttemptOutcome::Established(stream, host.name.clone()),
            Err(error) => error.outcome(Outcome::Timeout),
        }
    }

    async fn connect_and_send(
        &self,
        client: &mut LineStream,
        host: &HostAddress,
        until: Instant,
        may_send: impl Fn() -> bool,
    ) -> Result<LineStream, AttemptError> {
        if !may_send() {
            // Opens no connection for a request that may not be sent.
            return Err(AttemptError::Failed(Outcome::NotForwarded));
        }
        let stream = self.connect(client, host, until).await?;
        self.send_request(client, &stream, until, may_send).await?;
        Ok(stream)
    }

    async fn connect(
        &self,
        client: &mut LineStream,
        host: &HostAddress,
        until: Instant,
    ) -> Result<LineStream, AttemptError> {
        let connect_until = until.min(Instant::now() + self.node.config().connect_timeout);
        let connected = timeout_at(connect_until, TcpStream::connect(host.address));
        match self.run_unless_aborted(client, connected).await? {
            Ok(Ok(socket)) => Ok(LineStream::new(socket, self.node.clients.memory())),
            // Nothing was sent, and the error does not concern the host.
            Ok(Err(error)) if line_stream::is_local_shortage(&error) => {
                Err(AttemptError::Failed(Outcome::NotForwarded))
            }
            _ => Err(AttemptError::Failed(Outcome::ConnectFailed)),
        }
    }

    async fn send_request(
        &self,
        client: &mut LineStream,
        host: &LineStream,
        until: Instant,
        may_send: impl Fn() -> bool,
    ) -> Result<(), AttemptError> {
        let mut line = Vec::new();
        let mut written = 0;
        while written == 0 || written < line.len() {
            if written == 0 {
                // While the connection was being established, the client's wait may have expired, or an
                // endpoint list or an operator may have closed the host to new requests. Both are checked
                // again directly before the first byte; that the client is still connected was checked in
                // this step already.
                let remaining_ms = until.saturating_duration_since(Instant::now()).as_millis();
                if remaining_ms == 0 || !may_send() {
                    return Err(AttemptError::Failed(Outcome::NotForwarded));
                }
                line =
                    self.request.forwarded_line(self.line, u64::try_from(remaining_ms).unwrap_or(u64::MAX));
            }
            match host.socket.try_write(&line[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let writable = timeout_at(until, host.socket.writable());
                    if !matches!(self.run_unless_aborted(client, writable).await?, Ok(Ok(()))) {
                        return Err(AttemptError::Failed(Outcome::ConnectFailed));
                    }
                }
                // The request cannot have run before its last byte is sent.
                Err(_) => return Err(AttemptError::Failed(Outcome::ConnectFailed)),
            }
        }
        Ok(())
    }

    async fn read_response(
        &self,
        client: &mut LineStream,
        host: &mut LineStream,
        until: Instant,
    ) -> Result<(), AttemptError> {
        let line = timeout_at(until, host.wait_for_line());
        let outcome = match self.run_unless_aborted(client, line).await? {
            Err(_) => Outcome::Timeout,
            Ok(Err(ReadError::LineTooLong(_) | ReadError::MemoryExhausted(_))) => Outcome::Error,
            Ok(Err(_)) => Outcome::Reset,
            Ok(Ok(())) => match parse_host_line(host.buffer.first_line().unwrap_or_default()) {
                HostLine::Up => return Ok(()),
                HostLine::Busy => Outcome::Rejected,
                HostLine::Move => Outcome::Cancelled,
                _ => Outcome::Error,
            },
        };
        Err(AttemptError::Failed(outcome))
    }
}
