//! The operators' address: HTTP/1.1, one call a connection.
//!
//! Callers have places of their own, so that neither a crowd of clients nor callers who finish no call keep the next
//! one out.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;
use tracing::{debug, warn};

use alderstile_cluster::replicated_config::MAX_DOCUMENT;

use crate::admin::service::Operators;
use crate::config::CALLERS;
use crate::control::replicated_config::{ConfigReplica, ProposalResult};

/// Who has finished no call after this long goes: a caller waits no longer than 1 s.
const CALL: Duration = Duration::from_secs(2);
/// The longest head of a call; the least that hyper can be given.
const MAX_HEAD: usize = 8 << 10;
/// The longest body of a call: none is of any use.
const MAX_BODY: usize = 4 << 10;
/// What is read of a longer body, so that closing over unread bytes does not destroy the answer.
const DRAIN: usize = 1 << 18;
/// Accepting pauses this long after an error: it does not go away by asking at once.
const PAUSE: Duration = Duration::from_millis(20);

/// Takes callers in until it is dropped.
pub async fn run(operators: Rc<Operators>, listener: TcpListener) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|caller| !caller.is_finished());
                if callers.len() >= CALLERS
                    && let Some(oldest) = callers.pop_front()
                {
                    oldest.abort();
                }
                callers.push_back(spawn_local(call(operators.clone(), stream)));
                // Callers that have said something are answered before the next is taken in.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                warn!("operators' address: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// One call.
async fn call(operators: Rc<Operators>, stream: TcpStream) {
    // A connection that can't be set so is broken and will say so.
    stream.set_nodelay(true).unwrap_or_default();
    let service = service_fn(|request| {
        let operators = operators.clone();
        async move { Ok::<_, Infallible>(answer(&operators, request).await) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.keep_alive(false).max_buf_size(MAX_HEAD).header_read_timeout(None);
    match timeout(CALL, server.serve_connection(TokioIo::new(stream), service)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!("operators' call: {error}"),
        Err(_) => debug!("operators' call: not finished in time"),
    }
}

/// What a path names.
enum Place {
    Ready,
    Counters,
    Members,
    /// Agreed settings, and the version that a proposal is to follow.
    Settings(Option<u64>),
    /// A host's id, and whether it is to be used.
    Host(String, bool),
}

fn place(path: &str) -> Option<Place> {
    match path {
        "/control/ready" => Some(Place::Ready),
        "/control/counters" => Some(Place::Counters),
        "/members" => Some(Place::Members),
        "/settings" => Some(Place::Settings(None)),
        _ => {
            if let Some(version) = path.strip_prefix("/settings/after/") {
                return version.parse().ok().map(|version| Place::Settings(Some(version)));
            }
            let (id, word) = path.strip_prefix("/control/hosts/")?.rsplit_once('/')?;
            let online = match word {
                "online" => true,
                "offline" => false,
                _ => return None,
            };
            // A slash is part of an id only where it is written as %2F.
            let id =
                percent_encoding::percent_decode_str(id).decode_utf8().ok().filter(|_| !id.contains('/'));
            Some(Place::Host(id?.into_owned(), online))
        }
    }
}

async fn answer(operators: &Operators, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let place = place(head.uri.path());
    let most = if matches!(place, Some(Place::Settings(_))) { MAX_DOCUMENT } else { MAX_BODY };
    let Some(body) = short(body, most).await else {
        return say(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
    };
    let Some(place) = place else { return say(StatusCode::NOT_FOUND, "no such path\n") };
    let posts = matches!(place, Place::Host(..) | Place::Settings(Some(_)));
    let wanted = if posts { Method::POST } else { Method::GET };
    if head.method != wanted {
        let mut answer = say(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted\n");
        let allow = if wanted == Method::POST { "POST" } else { "GET" };
        answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        return answer;
    }
    match place {
        Place::Ready if operators.ready() => say(StatusCode::OK, "ready\n"),
        Place::Ready => say(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Place::Counters => say(StatusCode::OK, operators.figures()),
        // Without a cluster there is no such path.
        Place::Members => match operators.cluster().map(|cluster| serde_json::to_string(&cluster.view())) {
            Some(Ok(view)) => say(StatusCode::OK, view),
            Some(Err(error)) => say(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            None => say(StatusCode::NOT_FOUND, "no such path\n"),
        },
        Place::Settings(expect) => match operators.control() {
            None => say(StatusCode::NOT_FOUND, "no such path\n"),
            Some(control) => settings(&control, expect, &body).await,
        },
        Place::Host(host, online) => match operators.maintain(&host, online).await {
            Ok(true) => say(StatusCode::OK, if online { "online\n" } else { "offline\n" }),
            Ok(false) => say(StatusCode::NOT_FOUND, "no such host\n"),
            Err(error) => {
                warn!("operators' call for {host}: {error}");
                say(StatusCode::INTERNAL_SERVER_ERROR, "not done, see the log\n")
            }
        },
    }
}

/// Agreed settings as they are, or a proposal.
async fn settings(control: &ConfigReplica, expect: Option<u64>, body: &[u8]) -> Response<Full<Bytes>> {
    let Some(expect) = expect else {
        return match serde_json::to_string(&control.status()) {
            Ok(text) => say(StatusCode::OK, text),
            Err(error) => say(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        };
    };
    match control.propose(expect, body).await {
        ProposalResult::Committed(version) => say(StatusCode::OK, format!("{version}\n")),
        ProposalResult::Rejected(why) => say(StatusCode::CONFLICT, format!("{why}\n")),
        ProposalResult::Pending => say(StatusCode::ACCEPTED, "no word so far\n"),
    }
}

/// Reads a body that is no longer than this.
async fn short(mut body: Incoming, most: usize) -> Option<Vec<u8>> {
    let (mut length, mut read) = (0, Vec::new());
    while length < DRAIN
        && let Some(Ok(frame)) = body.frame().await
    {
        let data = frame.data_ref().map(Bytes::as_ref).unwrap_or_default();
        length += data.len();
        if length <= most {
            read.extend(data);
        }
    }
    (length <= most).then_some(read)
}

fn say(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}
