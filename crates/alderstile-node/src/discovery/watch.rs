//! Watching discovery for the endpoint list, over HTTP.

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

/// How long a call may take until a watch begins or a complete list has come.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the connection of a call may take: the system retries it after one second. A connection that never comes up
/// shows that discovery can't be reached, and must do so before the lease on the list expires: the longest wait between two
/// calls and twice this are under 6 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_250);
/// An empty line comes every 2 s: after this long without a complete one the watch is dead, whatever TCP says. What it
/// misses counts as notified 6 s after it fell silent, which may be right after its last line; with the wait before the next
/// call (0.75 s at most after a first failure, spread over the nodes) a call may take 2.25 s to be in time. If this were
/// shorter, one line that is slightly late would make all nodes call at once.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest list that is read: far above any real one, and a bound on what a wrong answer can cost.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error("no answer in time")]
    AnswerTimeout,
    #[error("silent for {} s", SILENCE_TIMEOUT.as_secs())]
    Silent,
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    #[error("connect failed: {0}")]
    ConnectFailed(io::Error),
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("line that is no list: {0}")]
    MalformedList(#[from] serde_json::Error),
    #[error("line without end")]
    LineTooLong,
    #[error("ended")]
    Ended,
}

impl WatchError {
    /// Tells an unreachable discovery, which extends the lease, from any other connect error, which does not.
    fn of_connect(error: io::Error) -> Self {
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

/// Watches discovery whenever the policy asks for it, and reports each watch that ends. When discovery has moved, the open
/// watch or call is dropped at once and the new address is asked.
pub async fn run(decisions: Rc<Decisions>) {
    // The version that this node has, if it is one of the discovery that is asked.
    let mut version = Some(decisions.complete_list().version);
    loop {
        tokio::select! {
            () = decisions.list_requested.notified() => {}
            () = decisions.discovery_address_changed.notified() => version = None,
        }
        let (started, error) = watch_until_failure(&decisions, &mut version).await;
        let discovery_unreachable = matches!(error, WatchError::Unreachable(_));
        decisions.on_watch_ended(WatchEnd { started, discovery_unreachable });
        discard_request(&decisions).await;
        warn!(%error, "watch of the endpoint list ended");
        decisions.report_list(EndpointListKind::Failed, Vec::new());
    }
}

/// Watches until a watch or call fails at an address that is still discovery's; returns when it started and why it failed.
async fn watch_until_failure(decisions: &Decisions, version: &mut Option<u64>) -> (Instant, WatchError) {
    loop {
        let started = Instant::now();
        tokio::select! {
            // If discovery moves in the same moment, the new address is never asked with the old one's version.
            biased;
            () = decisions.discovery_address_changed.notified() => *version = None,
            ended = watch(decisions, version) => return (started, ended.err().unwrap_or(WatchError::Ended)),
        }
    }
}

/// Discards a request made while the watch was open: nodes that lose their watches together must not all call again at once.
async fn discard_request(decisions: &Decisions) {
    tokio::select! {
        biased;
        () = decisions.list_requested.notified() => {}
        () = std::future::ready(()) => {}
    }
}

/// Watches from the version that this node has. Without one it gets the complete list first, since a watch may begin with
/// no more than what has changed.
async fn watch(decisions: &Decisions, version: &mut Option<u64>) -> Result<(), WatchError> {
    let known = match *version {
        Some(known) => known,
        None => {
            let list = fetch_complete_list(decisions).await?;
            apply(decisions, &list);
            decisions.renew_lease();
            *version.insert(list.version)
        }
    };
    let path = format!("/catalog/members?stream=1&index={known}");
    let (response, _connection) = call(decisions, &path, Instant::now() + CALL_TIMEOUT).await?;
    follow(decisions, version.insert(known), response).await
}

async fn fetch_complete_list(decisions: &Decisions) -> Result<EndpointList, WatchError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let (response, _connection) = call(decisions, "/catalog/members", deadline).await?;
    let body = timeout_at(deadline, Limited::new(response.into_body(), MAX_LIST_BYTES).collect()).await;
    let body = body.map_err(|_| WatchError::AnswerTimeout)?.map_err(|_| WatchError::LineTooLong)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Ends the task of a connection when it is dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Calls discovery on a connection of its own, which ends with the guard returned.
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
    let stream =
        connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(WatchError::of_connect)?;
    // A connection that can't be set so is broken, and its first use reports that.
    stream.set_nodelay(true).unwrap_or_default();
    Ok(stream)
}

/// Applies one line of the watch after the other until the watch ends.
async fn follow(
    decisions: &Decisions,
    version: &mut u64,
    mut response: Response<Incoming>,
) -> Result<(), WatchError> {
    // Lines and HTTP chunks need not end together.
    let mut framer = JsonFramer::default();
    let (mut first_line, mut last_line_at) = (true, Instant::now());
    loop {
        // A watch that brings parts of a line for ever must end: only a complete line is a sign of life.
        let frame = timeout_at(last_line_at + SILENCE_TIMEOUT, response.frame()).await;
        let Some(frame) = frame.map_err(|_| WatchError::Silent)? else { return Ok(()) };
        let Ok(data) = frame?.into_data() else { continue };
        for piece in data.split_inclusive(|byte| *byte == b'\n') {
            let line = framer.push(piece);
            if framer.buffered() > MAX_LIST_BYTES {
                return Err(WatchError::LineTooLong);
            }
            let Some(line) = line else { continue };
            on_line(decisions, version, &line, first_line)?;
            decisions.renew_lease();
            (first_line, last_line_at) = (false, Instant::now());
        }
    }
}

fn on_line(
    decisions: &Decisions,
    version: &mut u64,
    line: &[u8],
    first_line: bool,
) -> Result<(), WatchError> {
    if !line.is_empty() {
        let list: EndpointList = serde_json::from_slice(line)?;
        // Changes from before the known version would undo later ones.
        if list.complete || list.version >= *version {
            *version = list.version;
            apply(decisions, &list);
        }
    } else if first_line {
        // Nothing has changed since the known version, and the call has succeeded all the same.
        decisions.report_list(EndpointListKind::Delta, Vec::new());
    }
    Ok(())
}

fn apply(decisions: &Decisions, list: &EndpointList) {
    let (version, complete, endpoints) = (list.version, list.complete, list.endpoints.len());
    info!(version, complete, endpoints, "endpoint list received");
    decisions.apply_list(list);
}
