//! The admin HTTP server: HTTP/1.1, one call a connection.
//!
//! Callers have descriptors of their own, and the oldest open call makes way for a new one: neither a crowd of clients
//! nor callers that never finish their call keep the next one out.

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
use tokio::time::timeout;
use tracing::{debug, warn};

use alderstile_cluster::replicated_config::MAX_DOCUMENT;

use crate::admin::service::AdminService;
use crate::config::MAX_ADMIN_CONNECTIONS;
use crate::control::replicated_config::{ConfigReplica, ProposalResult};

/// A call that is not finished by then is dropped: callers wait no longer than 1 s for their answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest head of a call, bytes; the least that hyper can be given.
const MAX_HEAD: usize = 8 << 10;
/// The longest body of a call that needs none, bytes.
const MAX_BODY: usize = 4 << 10;
/// What is read of a longer body, bytes: closing over unread bytes would destroy the answer.
const MAX_BODY_READ: usize = 1 << 18;
/// Pause after a failed accept: out of descriptors, it would fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts calls until it is dropped.
pub async fn run(admin: Rc<AdminService>, listener: TcpListener) {
    let mut calls: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                make_room(&mut calls);
                calls.push_back(spawn_local(serve_call(admin.clone(), stream)));
                // Callers that have said something are answered before the next is accepted.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                warn!(%error, "admin call not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Drops the oldest call where the limit is reached.
fn make_room(calls: &mut VecDeque<JoinHandle<()>>) {
    calls.retain(|call| !call.is_finished());
    if calls.len() >= MAX_ADMIN_CONNECTIONS
        && let Some(oldest) = calls.pop_front()
    {
        oldest.abort();
    }
}

async fn serve_call(admin: Rc<AdminService>, stream: TcpStream) {
    // A connection that can't be set so is broken and will say so.
    stream.set_nodelay(true).unwrap_or_default();
    let service = service_fn(|request| {
        let admin = admin.clone();
        async move { Ok::<_, Infallible>(handle(&admin, request).await) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.keep_alive(false).max_buf_size(MAX_HEAD).header_read_timeout(None);
    match timeout(CALL_TIMEOUT, server.serve_connection(TokioIo::new(stream), service)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "admin call failed"),
        Err(_) => debug!("admin call timed out"),
    }
}

/// What a path names.
enum Route {
    Ready,
    Metrics,
    Members,
    /// The replicated configuration in force.
    ReplicatedConfig,
    /// A proposal of a configuration that follows this version.
    Proposal(u64),
    /// Taking a host out of service, or putting it back.
    HostMaintenance {
        host: String,
        online: bool,
    },
}

impl Route {
    /// The paths are those of the operators' tools.
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
        // A slash is part of a host's name only where it is written as %2F.
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
            _ => MAX_BODY,
        }
    }
}

async fn handle(admin: &AdminService, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let route = Route::parse(head.uri.path());
    let max_body = route.as_ref().map_or(MAX_BODY, Route::max_body);
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
        Route::HostMaintenance { host, online } => maintain(admin, &host, online).await,
    }
}

fn ready(admin: &AdminService) -> Response<Full<Bytes>> {
    if admin.is_ready() {
        respond(StatusCode::OK, "ready\n")
    } else {
        respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Without a cluster there is no such path.
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

async fn maintain(admin: &AdminService, host: &str, online: bool) -> Response<Full<Bytes>> {
    match admin.set_host_online(host, online).await {
        Ok(true) => respond(StatusCode::OK, if online { "online\n" } else { "offline\n" }),
        Ok(false) => respond(StatusCode::NOT_FOUND, "no such host\n"),
        Err(error) => {
            warn!(%host, %error, "maintenance file not written");
            respond(StatusCode::INTERNAL_SERVER_ERROR, "not done, see the log\n")
        }
    }
}

/// Reads a body; none where it is longer than this.
async fn read_body(mut body: Incoming, max: usize) -> Option<Vec<u8>> {
    let (mut length, mut read) = (0, Vec::new());
    while length < MAX_BODY_READ
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
