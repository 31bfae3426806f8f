//! The watch that receives the endpoint list from discovery over HTTP.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use alderstile::types::EndpointListKind;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};
use tracing::{info, warn};

use super::endpoint_list::EndpointList;
use super::json_framer::JsonFramer;
use crate::decisions::{Decisions, WatchEnd};

/// The timeout of a call, until its watch is open or its complete list has been received.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The timeout of the TCP connection of a call. It exceeds one second, after which the system retransmits the
/// SYN. It must also show that discovery is unreachable before the lease on the list expires: the longest
/// wait between two calls plus twice this timeout is less than 6 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_250);
/// How long a watch may bring no complete line before it counts as dead, whatever the state of its TCP
/// connection.
///
/// Discovery sends an empty line every 2 s. A change that a silent watch misses counts as notified 6 s after
/// the silence began, which may be right after the last line. After this timeout and the wait before the next
/// call (at most 0.75 s after a first failure, spread over the nodes) 2.25 s remain for the call. With a
/// shorter timeout, one line that is slightly late would make all nodes call at once.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The size limit of a list, in bytes: far above any real list, it bounds the memory that a wrong answer can
/// take.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Why a watch or a call ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error("call timed out")]
    AnswerTimeout,
    #[error("no complete line received for {} s", SILENCE_TIMEOUT.as_secs())]
    Silent,
    #[error("discovery unreachable: {0}")]
    Unreachable(io::Error),
    #[error("connecting to discovery failed: {0}")]
    ConnectFailed(io::Error),
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("invalid HTTP request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("unexpected HTTP status: expected 200 OK, found {0}")]
    Status(StatusCode),
    #[error("invalid endpoint list: {0}")]
    MalformedList(#[from] serde_json::Error),
    #[error("no complete endpoint list within {MAX_LIST_BYTES} bytes")]
    LineTooLong,
    #[error("closed by discovery")]
    Ended,
}

impl WatchError {
    /// Distinguishes an unreachable discovery, which extends the lease, from any other connect error, which
    /// does not.
    fn from_connect_error(error: io::Error) -> Self {
        use io::ErrorKind::{
            ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
        };
        match error.kind() {
            ConnectionRefused | ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut => {
                WatchError::Unreachable(error)
            }
            _ => WatchError::ConnectFailed(error),
        }
    }
}

/// Watches discovery whenever the policy requests it, and reports each watch that ends. When discovery's
/// address changes, the open watch or call is dropped at once, and a new one is started at the new address.
pub async fn run(decisions: Rc<Decisions>) {
    loop {
        tokio::select! {
            () = decisions.list_requested.notified() => {}
            () = decisions.discovery_address_changed.notified() => {}
        }
        let (started, error) = watch_until_failure(&decisions).await;
        let discovery_unreachable = matches!(error, WatchError::Unreachable(_));
        decisions.on_watch_ended(WatchEnd { started, discovery_unreachable });
        discard_request(&decisions).await;
        warn!(%error, "watch of the endpoint list ended");
        decisions.report_list(EndpointListKind::Failed, Vec::new());
    }
}

/// Watches until a watch or call at the current address of discovery fails. Returns when it started and why
/// it failed.
async fn watch_until_failure(decisions: &Decisions) -> (Instant, WatchError) {
    loop {
        let started = Instant::now();
        tokio::select! {
            // Polled first: if the address changes at the same time, no line of the former one is applied.
            biased;
            () = decisions.discovery_address_changed.notified() => {}
            ended = watch(decisions) => return (started, ended.err().unwrap_or(WatchError::Ended)),
        }
    }
}

/// Discards a request made while the watch was open, so that nodes that lose their watches together do not
/// all call again at once.
async fn discard_request(decisions: &Decisions) {
    tokio::select! {
        biased;
        () = decisions.list_requested.notified() => {}
        () = std::future::ready(()) => {}
    }
}

/// Watches from the known version. Without one, fetches the complete list first, since a watch may start with
/// a delta.
async fn watch(decisions: &Decisions) -> Result<(), WatchError> {
    let known = match decisions.known_list_version() {
        Some(known) => known,
        None => {
            let list = fetch_complete_list(decisions).await?;
            apply_list(decisions, &list, Some(0));
            decisions.renew_lease();
            decisions.known_list_version().unwrap_or(list.version)
        }
    };
    let path = format!("/catalog/members?stream=1&index={known}");
    let (response, _connection) = call(decisions, &path, Instant::now() + CALL_TIMEOUT).await?;
    follow(decisions, known, response).await
}

async fn fetch_complete_list(decisions: &Decisions) -> Result<EndpointList, WatchError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let (response, _connection) = call(decisions, "/catalog/members", deadline).await?;
    let body = timeout_at(deadline, Limited::new(response.into_body(), MAX_LIST_BYTES).collect()).await;
    let body = body.map_err(|_| WatchError::AnswerTimeout)?.map_err(|_| WatchError::LineTooLong)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Aborts the task of a connection when it is dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Calls discovery on a new connection, which is closed when the returned guard is dropped.
async fn call(
    decisions: &Decisions,
    path: &str,
    deadline: Instant,
) -> Result<(Response<Incoming>, AbortOnDrop), WatchError> {
    let stream = connect(decisions, deadline).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move { connection.await.unwrap_or_default() });
    let guard = AbortOnDrop(task.abort_handle());
    let host = decisions.discovery_address().to_string();
    let request = Request::get(path).header("Host", host).body(Empty::<Bytes>::new())?;
    let response = timeout_at(deadline, sender.send_request(request)).await;
    let response = response.map_err(|_| WatchError::AnswerTimeout)??;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    Ok((response, guard))
}

async fn connect(decisions: &Decisions, deadline: Instant) -> Result<TcpStream, WatchError> {
    let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(deadline, TcpStream::connect(decisions.discovery_address())).await;
    let stream = connected
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(WatchError::from_connect_error)?;
    // The option fails only on a broken connection, which its first use reports.
    stream.set_nodelay(true).unwrap_or_default();
    Ok(stream)
}

/// Applies the lines of a watch that was opened from a version, until it ends.
async fn follow(
    decisions: &Decisions,
    opened_from: u64,
    mut response: Response<Incoming>,
) -> Result<(), WatchError> {
    // A line may be split over several HTTP chunks, and a chunk may contain several lines.
    let mut framer = JsonFramer::default();
    let (mut opened_from, mut last_line_at) = (Some(opened_from), Instant::now());
    loop {
        // Only a complete line resets the timeout, so that a watch that brings only parts of a line is not
        // kept for ever.
        let frame = timeout_at(last_line_at + SILENCE_TIMEOUT, response.frame()).await;
        let Some(frame) = frame.map_err(|_| WatchError::Silent)? else { return Ok(()) };
        let Ok(data) = frame?.into_data() else { continue };
        for piece in data.split_inclusive(|byte| *byte == b'\n') {
            let line = framer.push(piece);
            if framer.buffered() > MAX_LIST_BYTES {
                return Err(WatchError::LineTooLong);
            }
            let Some(line) = line else { continue };
            on_line(decisions, &line, opened_from)?;
            decisions.renew_lease();
            (opened_from, last_line_at) = (None, Instant::now());
        }
    }
}

/// Applies a line of a watch. `opened_from` is the version from which the watch was opened if this is its first
/// line, and `None` for the others.
fn on_line(decisions: &Decisions, line: &[u8], opened_from: Option<u64>) -> Result<(), WatchError> {
    if line.is_empty() {
        if opened_from.is_some() {
            report_unchanged(decisions);
        }
        return Ok(());
    }
    apply_list(decisions, &serde_json::from_slice(line)?, opened_from);
    Ok(())
}

/// Applies a list that a call brought, unless the known one is newer. `opened_from` is the version from which the
/// call was made if this is its first answer, 0 if it was made without one.
fn apply_list(decisions: &Decisions, list: &EndpointList, opened_from: Option<u64>) {
    let is_older = decisions.known_list_version().is_some_and(|known| list.version < known);
    // The other process may have sent a newer list since the call began. Any other complete list with a lower
    // version is of a discovery that counts its versions anew.
    let is_overtaken = is_older && opened_from.is_some_and(|from| list.version >= from);
    if is_overtaken {
        report_unchanged(decisions);
    } else if list.complete || !is_older {
        // A delta older than the known version would undo later changes.
        apply(decisions, list);
    }
}

/// Reports that a call succeeded and brought nothing newer than the known list.
fn report_unchanged(decisions: &Decisions) {
    decisions.report_list(EndpointListKind::Delta, Vec::new());
}

fn apply(decisions: &Decisions, list: &EndpointList) {
    let (version, complete, endpoints) = (list.version, list.complete, list.endpoints.len());
    info!(version, complete, endpoints, "endpoint list received");
    decisions.apply_list(list);
}
