//! The server list: read from discovery's answers, watched for changes.

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

use crate::decisions::Decisions;
use crate::discovery::endpoint_list::{List, Pieces};

/// How long a call may take: until a watch begins, or a whole list has come.
const ANSWER: Duration = Duration::from_secs(4);
/// How long its connection may take: it is knocked for again after a second. One that never comes up says that discovery
/// can't be reached, and has to say so before the lease on the list has run out: the longest wait between two calls and
/// this twice are under 6 s.
const CONNECT: Duration = Duration::from_millis(1_250);
/// An empty line comes every 2 s: after this long without a whole one the watch is dead, whatever TCP says. What it misses
/// counts as told 6 s after it fell silent, which may be right after its last line. With the wait before the next call
/// (0.75 s at most after a first failure, spread over the nodes) a call may take 2.25 s to be in time. Shorter, and one line
/// that is late by a little would have all nodes call at once.
const SILENCE: Duration = Duration::from_secs(3);
/// The longest list that is read: far above any real one, and a bound on what a wrong answer can cost.
const MAX_LIST: usize = 16 << 20;

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error("no answer in time")]
    NoAnswer,
    #[error("silent for {} s", SILENCE.as_secs())]
    Silent,
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    #[error("no socket: {0}")]
    NoSocket(std::io::Error),
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("line that is no list: {0}")]
    NoList(#[from] serde_json::Error),
    #[error("line without end")]
    Overlong,
    #[error("ended")]
    Ended,
}

/// Watches whenever the decisions ask for it, and tells them when a watch has ended. Where discovery has moved, the
/// watch or call that is out is dropped at once and the new address asked.
pub async fn run(decisions: Rc<Decisions>) {
    // The version held, where it is one of the discovery that is asked.
    let mut seq = Some(decisions.whole_list().seq);
    loop {
        tokio::select! {
            () = decisions.ask_list.notified() => {}
            () = decisions.discovery_moved.notified() => seq = None,
        }
        let (ended, began) = loop {
            let began = Instant::now();
            tokio::select! {
                // Where it has moved in the same moment, nothing is asked with the other one's version.
                biased;
                () = decisions.discovery_moved.notified() => seq = None,
                ended = watch(&decisions, &mut seq) => break (ended.err().unwrap_or(WatchError::Ended), began),
            }
        };
        decisions.unheard(began, matches!(ended, WatchError::Unreachable(_)));
        // What was asked for while the watch stood: nodes that lose theirs together must not ask again at once.
        tokio::select! {
            biased;
            () = decisions.ask_list.notified() => {}
            () = std::future::ready(()) => {}
        }
        warn!("watch of the server list: {ended}");
        decisions.list(EndpointListKind::Failed, Vec::new());
    }
}

/// The task of a connection ends with the watch.
struct Abort(AbortHandle);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Watches from the version held; where there is none, asks for the whole list first, since a watch may begin with
/// no more than what has changed.
async fn watch(decisions: &Decisions, seq: &mut Option<u64>) -> Result<(), WatchError> {
    let held = match *seq {
        Some(held) => held,
        None => {
            let deadline = Instant::now() + ANSWER;
            let (answer, _abort) = call(decisions, "/catalog/members", deadline).await?;
            let body = timeout_at(deadline, Limited::new(answer.into_body(), MAX_LIST).collect()).await;
            let body = body.map_err(|_| WatchError::NoAnswer)?.map_err(|_| WatchError::Overlong)?.to_bytes();
            let list: List = serde_json::from_slice(&body)?;
            take_in(decisions, &list);
            decisions.heard();
            *seq.insert(list.seq)
        }
    };
    let path = format!("/catalog/members?stream=1&index={held}");
    let (answer, _abort) = call(decisions, &path, Instant::now() + ANSWER).await?;
    follow(decisions, seq.insert(held), answer).await
}

/// Whether it is the other side that is not there, or this side that has no socket to reach it by.
fn no_connection(error: std::io::Error) -> WatchError {
    use std::io::ErrorKind::{
        ConnectionRefused, ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut,
    };
    match error.kind() {
        ConnectionRefused | ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut => {
            WatchError::Unreachable(error)
        }
        _ => WatchError::NoSocket(error),
    }
}

/// Asks discovery; the call has its own connection, which ends with the guard.
async fn call(
    decisions: &Decisions,
    path: &str,
    deadline: Instant,
) -> Result<(Response<Incoming>, Abort), WatchError> {
    let connect_until = deadline.min(Instant::now() + CONNECT);
    let stream = timeout_at(connect_until, TcpStream::connect(decisions.discovery())).await;
    let stream =
        stream.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())).map_err(no_connection)?;
    // One that can't be set so is broken and will say so.
    stream.set_nodelay(true).unwrap_or_default();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move { connection.await.unwrap_or_default() });
    let abort = Abort(task.abort_handle());
    let request =
        Request::get(path).header("Host", decisions.discovery().to_string()).body(Empty::<Bytes>::new());
    let Ok(request) = request else { return Err(WatchError::Ended) };
    let answer = timeout_at(deadline, sender.send_request(request)).await;
    let answer = answer.map_err(|_| WatchError::NoAnswer)??;
    if answer.status() != StatusCode::OK {
        return Err(WatchError::Status(answer.status()));
    }
    Ok((answer, abort))
}

/// Takes in one line after the other until the watch ends.
async fn follow(
    decisions: &Decisions,
    seq: &mut u64,
    mut answer: Response<Incoming>,
) -> Result<(), WatchError> {
    // Lines and chunks need not end together.
    let mut pieces = Pieces::default();
    let (mut first, mut heard) = (true, Instant::now());
    loop {
        // Guards against a watch that brings parts of a line for ever: only what is whole is a sign of life.
        let frame = timeout_at(heard + SILENCE, answer.frame()).await.map_err(|_| WatchError::Silent)?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame?.into_data() else { continue };
        for piece in data.split_inclusive(|byte| *byte == b'\n') {
            let whole = pieces.add(piece);
            if pieces.held() > MAX_LIST {
                return Err(WatchError::Overlong);
            }
            let Some(list) = whole else { continue };
            if !list.is_empty() {
                let list: List = serde_json::from_slice(&list)?;
                // Changes from before the version held would undo later ones.
                if list.whole || list.seq >= *seq {
                    *seq = list.seq;
                    take_in(decisions, &list);
                }
            } else if first {
                // Nothing has changed since the version held: the call has succeeded all the same.
                decisions.list(EndpointListKind::Delta, Vec::new());
            }
            decisions.heard();
            (first, heard) = (false, Instant::now());
        }
    }
}

fn take_in(decisions: &Decisions, list: &List) {
    info!("server list {}: {} lines{}", list.seq, list.hosts.len(), if list.whole { ", whole" } else { "" });
    decisions.learn(list);
}
