//! The admin HTTP server: HTTP/1.1, one request per connection.
//!
//! Its connections have reserved descriptors, and at their limit the oldest connection is closed for a new
//! one: neither many clients nor admin requests that are never completed can block the next admin request.

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
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, warn};

use alderstile_cluster::replicated_config::MAX_DOCUMENT;

use crate::admin::service::AdminService;
use crate::config::MAX_ADMIN_CONNECTIONS;
use crate::control::replicated_config::{ConfigReplica, ProposalResult};

/// Timeout of a request, after which its connection is closed; callers wait no longer than 1 s for a
/// response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a request head, in bytes; the minimum that hyper accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum length of the body of a request that needs none, in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;
/// How much of a longer body is read, in bytes: closing a socket with unread bytes resets it, and the
/// response is lost.
const MAX_READ_BYTES: usize = 1 << 18;
/// Delay after a failed accept: without free descriptors the next one would fail at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a connection is protected from being closed for a new one. A usual caller sends its request with
/// its connection or directly after it. A caller behind a thousand connections that send nothing is still
/// answered within a second.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(2);
/// Interval at which it is checked whether a connection can be accepted.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// An accepted connection.
struct Connection {
    accepted_at: Instant,
    task: JoinHandle<()>,
}

/// Accepts and serves connections until the future is dropped.
pub async fn run(admin: Rc<AdminService>, listener: TcpListener) {
    let mut connections: VecDeque<Connection> = VecDeque::new();
    loop {
        make_room(&mut connections).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = spawn_local(serve_connection(admin.clone(), stream));
                connections.push_back(Connection { accepted_at: Instant::now(), task });
                // Requests that have already arrived are answered before the next connection is accepted.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                warn!(%error, "admin connection not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until fewer connections than the limit are open. Closes the oldest one for that after
/// [`MIN_CONNECTION_TIME`].
async fn make_room(connections: &mut VecDeque<Connection>) {
    loop {
        connections.retain(|connection| !connection.task.is_finished());
        match connections.front() {
            Some(oldest) if connections.len() >= MAX_ADMIN_CONNECTIONS => {
                if oldest.accepted_at.elapsed() >= MIN_CONNECTION_TIME {
                    oldest.task.abort();
                    connections.pop_front();
                    return;
                }
            }
            _ => return,
        }
        sleep(ROOM_CHECK_INTERVAL).await;
    }
}

async fn serve_connection(admin: Rc<AdminService>, stream: TcpStream) {
    // A connection on which the option can't be set is broken and fails later.
    stream.set_nodelay(true).unwrap_or_default();
    let service = service_fn(|request| {
        let admin = admin.clone();
        async move { Ok::<_, Infallible>(handle(&admin, request).await) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).header_read_timeout(None);
    match timeout(REQUEST_TIMEOUT, server.serve_connection(TokioIo::new(stream), service)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "admin connection failed"),
        Err(_) => debug!("admin connection timed out"),
    }
}

/// The resource that a path names.
enum Route {
    Ready,
    Metrics,
    Members,
    /// The active version of the replicated configuration.
    ReplicatedConfig,
    /// A proposal of the configuration that follows this version.
    Proposal(u64),
    /// Takes a host out of service or returns it.
    HostMaintenance {
        host: String,
        online: bool,
    },
}

impl Route {
    /// Parses a path; operators' tools depend on the paths.
    fn parse(path: &str) -> Option<Self> {
        match path {
            "/control/ready" => Some(Route::Ready),
            "/control/counters" => Some(Route::Metrics),
            "/members" => Some(Route::Members),
            "/settings" => Some(Route::ReplicatedConfig),
            _ => match path.strip_prefix("/settings/after/") {
                Some(version) => version.parse().ok().map(Route::Proposal),
                None => Route::parse_host(path.strip_prefix("/control/hosts/")?),
            },
        }
    }

    fn parse_host(path: &str) -> Option<Self> {
        let (host, state) = path.rsplit_once('/')?;
        let online = match state {
            "online" => true,
            "offline" => false,
            _ => return None,
        };
        // Names with a slash are rejected, whether or not it is escaped as %2F.
        let host = percent_encoding::percent_decode_str(host).decode_utf8().ok()?;
        (!host.contains('/')).then(|| Route::HostMaintenance { host: host.into_owned(), online })
    }

    fn method(&self) -> Method {
        match self {
            Route::HostMaintenance { .. } | Route::Proposal(_) => Method::POST,
            Route::Ready | Route::Metrics | Route::Members | Route::ReplicatedConfig => Method::GET,
        }
    }

    fn max_body(&self) -> usize {
        match self {
            Route::ReplicatedConfig | Route::Proposal(_) => MAX_DOCUMENT,
            _ => MAX_BODY_BYTES,
        }
    }
}

async fn handle(admin: &AdminService, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let route = Route::parse(head.uri.path());
    let max_body = route.as_ref().map_or(MAX_BODY_BYTES, Route::max_body);
    let Some(body) = read_body(body, max_body).await else {
        return respond(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
    };
    let Some(route) = route else { return not_found() };
    if head.method != route.method() {
        return method_not_allowed(&route.method());
    }
    match route {
        Route::Ready => ready(admin),
        Route::Metrics => respond(StatusCode::OK, admin.metrics_text()),
        Route::Members => members(admin),
        Route::ReplicatedConfig => match admin.replicated_config() {
            Some(replica) => json(&replica.status()),
            None => not_found(),
        },
        Route::Proposal(previous_version) => match admin.replicated_config() {
            Some(replica) => propose(&replica, previous_version, &body).await,
            None => not_found(),
        },
        Route::HostMaintenance { host, online } => set_host_online(admin, &host, online).await,
    }
}

fn ready(admin: &AdminService) -> Response<Full<Bytes>> {
    if admin.is_ready() {
        respond(StatusCode::OK, "ready\n")
    } else {
        respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Returns the members; without a cluster the path does not exist.
fn members(admin: &AdminService) -> Response<Full<Bytes>> {
    match admin.membership() {
        Some(membership) => json(&membership.status()),
        None => not_found(),
    }
}

async fn propose(replica: &ConfigReplica, previous_version: u64, document: &[u8]) -> Response<Full<Bytes>> {
    match replica.propose(previous_version, document).await {
        ProposalResult::Committed(version) => respond(StatusCode::OK, format!("{version}\n")),
        ProposalResult::Rejected(reason) => respond(StatusCode::CONFLICT, format!("{reason}\n")),
        ProposalResult::Pending => respond(StatusCode::ACCEPTED, "no word so far\n"),
    }
}

async fn set_host_online(admin: &AdminService, host: &str, online: bool) -> Response<Full<Bytes>> {
    match admin.set_host_online(host, online).await {
        Ok(true) => respond(StatusCode::OK, if online { "online\n" } else { "offline\n" }),
        Ok(false) => respond(StatusCode::NOT_FOUND, "no such host\n"),
        Err(error) => {
            warn!(%host, %error, "maintenance file not written");
            respond(StatusCode::INTERNAL_SERVER_ERROR, "not done, see the log\n")
        }
    }
}

/// Reads a body; returns `None` if it is longer than `max` bytes.
async fn read_body(mut body: Incoming, max: usize) -> Option<Vec<u8>> {
    let (mut length, mut read) = (0, Vec::new());
    while length < MAX_READ_BYTES
        && let Some(Ok(frame)) = body.frame().await
    {
        let data = frame.data_ref().map(Bytes::as_ref).unwrap_or_default();
        length += data.len();
        if length <= max {
            read.extend(data);
        }
    }
    (length <= max).then_some(read)
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_string(value) {
        Ok(text) => respond(StatusCode::OK, text),
        Err(error) => respond(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn not_found() -> Response<Full<Bytes>> {
    respond(StatusCode::NOT_FOUND, "no such path\n")
}

fn method_not_allowed(allowed: &Method) -> Response<Full<Bytes>> {
    let mut response = respond(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted\n");
    let allow = if *allowed == Method::POST { "POST" } else { "GET" };
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
    response
}

fn respond(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}
