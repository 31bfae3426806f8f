//! The placement of a request: attempts at the hosts that the policy chooses, until one succeeds or the
//! client receives a final answer.

use std::net::SocketAddr;
use std::time::Duration;

use alderstile::balancer::Verdict;
use alderstile::types::{Micros, Outcome, RequestId, ServerId};
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use super::attempt::{AbortCause, AttemptOutcome};
use super::{EstablishedHost, Session};
use crate::clock::micros;
use crate::proxy::line_stream::{LineStream, ReadError};
use crate::proxy::termination_reason::TerminationReason;

/// The retry interval for resuming a connection at the host that the client names, while that host cannot be
/// reached.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The result of the placement of a request.
pub(super) enum Placement {
    /// A host serves the request.
    Established(EstablishedHost),
    /// The client receives a final answer.
    FinalAnswer {
        /// The reason in the log.
        reason: TerminationReason,
        /// The line to the client, with its line ending.
        line: Vec<u8>,
    },
    /// The client has disconnected.
    ClientDisconnected,
}

impl Placement {
    fn final_answer(reason: TerminationReason, line: &str) -> Self {
        Placement::FinalAnswer { reason, line: format!("{line}\r\n").into_bytes() }
    }

    fn rejected(retry_after: Option<Micros>) -> Self {
        let reason = TerminationReason::Rejected;
        match retry_after {
            None => Placement::final_answer(reason, "BUSY"),
            Some(wait) => Placement::final_answer(reason, &format!("BUSY {}", wait.0.div_ceil(1_000))),
        }
    }

    fn failed() -> Self {
        Placement::final_answer(TerminationReason::Failed, "FAILED")
    }

    fn at_capacity() -> Self {
        Placement::final_answer(TerminationReason::NodeAtCapacity, "BUSY")
    }

    /// Returns the result after a read error of the client. A client that sent a line that is too long, or for
    /// which the node has no memory, is still connected and receives an answer.
    fn after_client_error(error: ReadError) -> Self {
        match error {
            ReadError::LineTooLong(_) => Placement::final_answer(TerminationReason::ClientLineTooLong, "ERR"),
            // Not `BUSY`: the request may have run.
            ReadError::MemoryExhausted(_) => {
                Placement::final_answer(TerminationReason::NodeOutOfMemory, "ERR")
            }
            _ => Placement::ClientDisconnected,
        }
    }
}

impl Session<'_> {
    /// Places the request on a host that the policy chooses.
    pub(super) async fn place(&mut self, client: &mut LineStream, deadline: Instant) -> Placement {
        let node = self.node.clone();
        // The connection to the host needs a descriptor, too. It must leave one for each slot of a pending
        // client: with a single descriptor for all new connections, clients that send nothing would use it
        // one after another, and no other client would be accepted.
        let Some(descriptor) = node.clients.acquire_descriptor(node.clients.pending.capacity()) else {
            return Placement::at_capacity();
        };
        if !node.clients.memory().is_available() {
            return Placement::at_capacity();
        }
        let request = self.connection_request(deadline.saturating_duration_since(Instant::now()));
        let (id, mut verdict) = node.decisions.with_balancer(|balancer, now| balancer.place(now, request));
        loop {
            let (server, attempt_timeout) = match verdict {
                Verdict::Forward(server, attempt_timeout) => (server, attempt_timeout),
                Verdict::Reject(retry_after) => return Placement::rejected(retry_after),
                Verdict::Fail => return Placement::failed(),
            };
            let began = Instant::now();
            let until = attempt_timeout
                .map_or(deadline, |timeout| deadline.min(began + Duration::from_micros(timeout.0)));
            let may_send = |address| node.decisions.may_send(id, server, address);
            match self.attempt_at(client, server, until, may_send).await {
                AttemptOutcome::Established(stream, name) => {
                    self.report_established(id, server, began);
                    let host = EstablishedHost { id, server, name, stream, _descriptor: descriptor };
                    return Placement::Established(host);
                }
                AttemptOutcome::ClientEnded(error) => {
                    node.decisions.with_balancer(|balancer, now| balancer.on_client_disconnected(now, id));
                    return Placement::after_client_error(error);
                }
                AttemptOutcome::Failed(outcome) => {
                    self.log_failed_attempt(server, outcome, began);
                    verdict = node
                        .decisions
                        .with_balancer(|balancer, now| balancer.on_attempt_failed(now, id, server, outcome));
                }
            }
        }
    }

    /// Makes one attempt at a host; fails if the host is no longer listed.
    async fn attempt_at(
        &mut self,
        client: &mut LineStream,
        server: ServerId,
        until: Instant,
        may_send: impl Fn(SocketAddr) -> bool,
    ) -> AttemptOutcome {
        self.attempts += 1;
        match self.node.decisions.host(server) {
            None => AttemptOutcome::Failed(Outcome::ConnectFailed),
            Some(host) => self.attempt(client, &host, until, || may_send(host.address)).await,
        }
    }

    fn report_established(&mut self, id: RequestId, server: ServerId, began: Instant) {
        let latency = began.elapsed();
        self.setup_ms = latency.as_millis();
        let decisions = &self.node.decisions;
        decisions.with_balancer(|balancer, now| balancer.on_established(now, id, micros(latency)));
        decisions.on_request_accepted(server, began);
    }

    fn log_failed_attempt(&self, server: ServerId, outcome: Outcome, began: Instant) {
        let (host, ms) = (self.node.decisions.host_name(server), began.elapsed().as_millis());
        debug!(id = %self.id(), %host, ?outcome, ms, "attempt failed");
    }

    /// Resumes a connection that was open before this node's start, at the host that the client names,
    /// whatever state the endpoint list gives for that host.
    pub(super) async fn resume_at(
        &mut self,
        client: &mut LineStream,
        server: ServerId,
        deadline: Instant,
    ) -> Placement {
        let Some(descriptor) = self.node.clients.acquire_descriptor(1) else {
            return Placement::at_capacity();
        };
        loop {
            match self.attempt_at(client, server, deadline, |_| true).await {
                AttemptOutcome::Established(stream, name) => {
                    let request = self.connection_request(Duration::ZERO);
                    let decisions = &self.node.decisions;
                    let id = decisions
                        .with_balancer(|balancer, now| balancer.adopt_connection(now, request, server));
                    let host = EstablishedHost { id, server, name, stream, _descriptor: descriptor };
                    return Placement::Established(host);
                }
                AttemptOutcome::ClientEnded(error) => return Placement::after_client_error(error),
                AttemptOutcome::Failed(outcome) if outcome.may_have_executed() => return Placement::failed(),
                // A request that has not run may be retried: the host may still be starting.
                AttemptOutcome::Failed(_) => {
                    if let Err(placement) = self.wait_to_retry(client, deadline).await {
                        return placement;
                    }
                }
            }
        }
    }

    /// Waits until a retry is due.
    ///
    /// # Errors
    ///
    /// Returns the result of the placement if the time does not suffice for a retry, or if the wait is
    /// aborted.
    async fn wait_to_retry(&self, client: &mut LineStream, deadline: Instant) -> Result<(), Placement> {
        let next = Instant::now() + RESUME_RETRY_INTERVAL;
        if next >= deadline {
            return Err(Placement::failed());
        }
        match self.run_unless_aborted(client, sleep_until(next)).await {
            Ok(()) => Ok(()),
            Err(AbortCause::Client(error)) => Err(Placement::after_client_error(error)),
            Err(AbortCause::PendingCutoff) => Err(Placement::failed()),
        }
    }
}
