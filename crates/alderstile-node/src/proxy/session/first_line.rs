//! The first line of a connection: answers health checks of the front, and admits or rejects the request of a
//! client.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use tracing::info;

use crate::admin::metrics::RequestOutcome;
use crate::lifecycle::upgrade_channel::ClaimError;
use crate::node::Node;
use crate::proxy::clients::ClaimedId;
use crate::proxy::line_stream::{LineStream, ReadError};
use crate::proxy::memory_budget::Reservation;
use crate::proxy::pending_clients::PendingSlot;
use crate::proxy::protocol::{ClientLine, OpenRequest, parse_client_line};
use crate::proxy::termination_reason::TerminationReason;

use super::max_wait;

/// The timeout for a client's first line. A connection must be answered or closed within 3 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of bytes of a rejected first line, or of an id, that are logged: enough to recognize its purpose,
/// without letting a flood fill the log.
pub(super) const MAX_LOGGED_BYTES: usize = 120;

/// Answers health checks, and returns the first line that is not one, without its line ending.
///
/// # Errors
///
/// Returns why the connection ends without such a line.
pub(super) async fn read(
    node: &Node,
    client: &mut LineStream,
    slot: &PendingSlot,
) -> Result<Box<[u8]>, TerminationReason> {
    tokio::select! {
        biased;
        line = timeout(FIRST_LINE_TIMEOUT, answer_health_checks(node, client)) => {
            line.unwrap_or(Err(TerminationReason::ClientSilent))
        }
        () = async {
            slot.evicted().await;
            // When many clients connect at once, the line may have arrived but not been read: yielding lets
            // the runtime poll for it once more.
            tokio::task::yield_now().await;
        } => Err(TerminationReason::ClientEvicted),
        // The client has requested nothing yet, and the process cannot wait for it.
        () = node.process.pending_cutoff() => Err(TerminationReason::ShuttingDown),
    }
}

async fn answer_health_checks(node: &Node, client: &mut LineStream) -> Result<Box<[u8]>, TerminationReason> {
    let mut checked = false;
    loop {
        client.wait_for_line().await.map_err(|error| match error {
            ReadError::LineTooLong(_) => TerminationReason::ClientLineTooLong,
            ReadError::MemoryExhausted(_) => TerminationReason::NodeOutOfMemory,
            _ if checked => TerminationReason::HealthChecked,
            ReadError::Reset => TerminationReason::ClientReset,
            ReadError::Closed => TerminationReason::ClientClosed,
        })?;
        let line: Box<[u8]> = client.buffer.first_line().unwrap_or_default().into();
        client.buffer.consume_first_line();
        if parse_client_line(&line) != Some(ClientLine::Ping) {
            return Ok(line);
        }
        checked = true;
        if !node.accepts_clients() || client.socket.write_all(b"PONG\r\n").await.is_err() {
            return Err(TerminationReason::HealthChecked);
        }
    }
}

/// A request that the node has admitted.
pub(super) struct AdmittedRequest<'a> {
    pub(super) request: OpenRequest<'a>,
    pub(super) class: u16,
    /// Keeps the id claimed while the request is open.
    _id: ClaimedId,
    /// Keeps the memory of the line reserved.
    _line_memory: Reservation,
}

/// Admits a request. Requests that every host would reject are rejected here, so that they do not count as
/// failures of a host.
///
/// # Errors
///
/// Returns why the request is rejected.
pub(super) async fn admit<'a>(node: &Node, line: &'a [u8]) -> Result<AdmittedRequest<'a>, TerminationReason> {
    let Some(ClientLine::Open(request)) = parse_client_line(line) else {
        return Err(TerminationReason::ClientMalformed);
    };
    let class = node.clients.class_index(request.class).ok_or(TerminationReason::ClientUnknownClass)?;
    // A connection that is resumed goes to the host that it names, whatever the settings.
    if request.previous_host.is_none() && !node.admin.is_config_current() {
        node.clients.update_counters(|counters| counters.count_outcome(class, RequestOutcome::Rejected));
        return Err(TerminationReason::ConfigNotCurrent);
    }
    let Ok(line_memory) = node.clients.reserve_line(line.len()) else {
        return Err(TerminationReason::NodeOutOfMemory);
    };
    match node.clients.claim_request_id(request.id, max_wait(&request)).await {
        Ok(id) => Ok(AdmittedRequest { request, class, _id: id, _line_memory: line_memory }),
        Err(ClaimError::Known) => {
            node.clients.update_counters(|counters| counters.count_outcome(class, RequestOutcome::Failure));
            Err(TerminationReason::ClientDuplicateId)
        }
        Err(ClaimError::Unconfirmed) => {
            node.clients.update_counters(|counters| counters.count_outcome(class, RequestOutcome::Rejected));
            Err(TerminationReason::IdUnconfirmed)
        }
    }
}

pub(super) fn log_rejected(reason: TerminationReason, line: &[u8]) {
    let line = String::from_utf8_lossy(&line[..line.len().min(MAX_LOGGED_BYTES)]);
    info!(code = %reason, ?line, "connection ended");
}

/// Returns the answer to a client whose request is not admitted, with its line ending; `None` if it gets none.
fn answer(reason: TerminationReason) -> Option<&'static [u8]> {
    match reason {
        // The request has not run, and may be sent again.
        TerminationReason::NodeOutOfMemory
        | TerminationReason::IdUnconfirmed
        | TerminationReason::ConfigNotCurrent => Some(b"BUSY\r\n"),
        TerminationReason::ClientLineTooLong
        | TerminationReason::ClientMalformed
        | TerminationReason::ClientUnknownClass
        | TerminationReason::ClientDuplicateId => Some(b"ERR\r\n"),
        _ => None,
    }
}

/// Answers a client whose request is not admitted and closes its connection, at once if its slot is needed.
pub(super) async fn reject(client: LineStream, slot: PendingSlot, reason: TerminationReason) {
    let Some(answer) = answer(reason) else { return };
    tokio::select! {
        () = client.close_after(answer) => {}
        () = slot.evicted() => {}
    }
}
