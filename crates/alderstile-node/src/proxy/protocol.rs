//! Parsers of the lines that clients, the front and hosts send. Does no I/O.
//!
//! The variants of [`ClientLine`] and [`HostLine`] are named after the words of the protocol.

use std::ops::Range;

use winnow::Parser;
use winnow::ascii::dec_uint;
use winnow::combinator::{eof, opt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{rest, take_while};

/// The maximum wait that a client may request, in milliseconds: 32 bits, 49 days. A line with a longer one is
/// malformed.
const MAX_WAIT_MS: u64 = u32::MAX as u64;

type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// The first line on a connection from a client or the front.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientLine<'a> {
    /// A health check of the front, which asks whether this node can serve clients.
    Ping,
    /// A client requests a connection to a host.
    Open(OpenRequest<'a>),
}

/// A client's request for a connection to a host: the line `OPEN id key name=value,...`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenRequest<'a> {
    /// The id of the request; each connection must use a new one.
    pub id: &'a [u8],
    /// The key of the flow, which only the host uses.
    pub flow_key: &'a [u8],
    /// The name of the request's class; `c` on the wire.
    pub class: &'a [u8],
    /// How long the client waits, in milliseconds; `d` on the wire.
    pub wait_ms: u64,
    /// The id of the client or of its group; `g` on the wire.
    pub group: Option<&'a [u8]>,
    /// The host to which the connection was open before this node's start; `at` on the wire.
    pub previous_host: Option<&'a [u8]>,
    /// The client's estimate of its load, in microseconds of work per second; `h` on the wire.
    pub expected_load: Option<f64>,
    /// The range of the value of `wait_ms` in the line.
    wait_range: Range<usize>,
}

impl OpenRequest<'_> {
    /// Returns the line that is forwarded to a host: `line` with the time that the node will wait, in
    /// milliseconds, as `d`.
    pub fn forwarded_line(&self, line: &[u8], wait_ms: u64) -> Vec<u8> {
        let mut forwarded = Vec::with_capacity(line.len() + 2);
        forwarded.extend_from_slice(&line[..self.wait_range.start]);
        forwarded.extend_from_slice(wait_ms.to_string().as_bytes());
        forwarded.extend_from_slice(&line[self.wait_range.end..]);
        forwarded.extend_from_slice(b"\r\n");
        forwarded
    }
}

/// Returns whether a token of a request has a character, and only those that a token may have.
fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().all(u8::is_ascii_graphic)
}

/// Splits a parameter into its name and its value, which may be empty.
fn parse_parameter(parameter: &[u8]) -> Option<(&[u8], &[u8])> {
    let separator = parameter.iter().position(|byte| *byte == b'=')?;
    (separator > 0).then(|| (&parameter[..separator], &parameter[separator + 1..]))
}

/// Parses a request without allocating, since a line may have more than a thousand parameters.
fn parse_open_request(line: &[u8]) -> Option<OpenRequest<'_>> {
    let mut tokens = line.strip_prefix(b"OPEN ")?.splitn(3, |byte| *byte == b' ');
    let (id, flow_key, parameters) = (tokens.next()?, tokens.next()?, tokens.next()?);
    if ![id, flow_key, parameters].into_iter().all(is_token) {
        return None;
    }
    let mut request = OpenRequest { id, flow_key, ..OpenRequest::default() };
    let (mut class, mut wait) = (None, None);
    for parameter in parameters.split(|byte| *byte == b',') {
        let (name, value) = parse_parameter(parameter)?;
        match name {
            b"c" => class = Some(value),
            b"d" => wait = Some(value),
            b"g" => request.group = Some(value),
            b"at" => request.previous_host = Some(value),
            b"h" => request.expected_load = parse_number(value),
            _ => {}
        }
    }
    request.class = class?;
    let wait = wait?;
    request.wait_ms = parse_wait_ms(wait)?;
    request.wait_range = subslice_range(line, wait);
    Some(request)
}

fn parse_wait_ms(value: &[u8]) -> Option<u64> {
    let mut number = terminated(dec_uint::<_, u64, ContextError>, eof).verify(|ms| *ms <= MAX_WAIT_MS);
    number.parse(value).ok()
}

/// Returns the range of a part of a line within that line.
fn subslice_range(line: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - line.as_ptr() as usize;
    start..start + part.len()
}

fn parse_number(bytes: &[u8]) -> Option<f64> {
    std::str::from_utf8(bytes).ok()?.parse().ok()
}

/// Parses the first line of a client's connection, without its line ending; returns `None` if it is
/// malformed.
pub fn parse_client_line(line: &[u8]) -> Option<ClientLine<'_>> {
    match line {
        b"PING" => Some(ClientLine::Ping),
        _ => parse_open_request(line).map(ClientLine::Open),
    }
}

/// A line from a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostLine {
    /// The connection is established.
    Up,
    /// The request was served to its end.
    Bye,
    /// The client is to migrate.
    Move,
    /// The request failed; it may have run.
    Err,
    /// The request was rejected; it has not run.
    Busy,
    /// A load report: the current load of the connection, in microseconds of work per second.
    Load(f64),
    /// Any other line, which is a message to the client.
    Other,
}

/// Parses a line from a host, without its line ending.
pub fn parse_host_line(line: &[u8]) -> HostLine {
    let mut input = line;
    let parsed: Parsed<(&[u8], Option<&[u8]>)> =
        (take_while(1.., |byte: u8| byte.is_ascii_uppercase()), opt(preceded(b' ', rest)))
            .parse_next(&mut input);
    match parsed {
        Ok((b"UP", Some(receipt))) if !receipt.is_empty() => HostLine::Up,
        Ok((b"BYE", None)) if input.is_empty() => HostLine::Bye,
        Ok((b"MOVE", None)) if input.is_empty() => HostLine::Move,
        Ok((b"ERR", _)) => HostLine::Err,
        Ok((b"BUSY", _)) => HostLine::Busy,
        Ok((b"LOAD", Some(load))) => parse_number(load).map_or(HostLine::Other, HostLine::Load),
        _ => HostLine::Other,
    }
}
