//! The frames of the drill wire: little-endian, unpadded, a header and then records.

use alderstile::types::*;
use bytes::{BufMut, BytesMut};
use thiserror::Error;
use winnow::Parser;
use winnow::binary::{le_f32, le_u8, le_u16, le_u32, le_u64, length_take};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::token::take;

/// The length of a batch's header.
pub const HEADER_LEN: usize = 20;
/// The length of a reply's header.
pub const REPLY_HEADER_LEN: usize = 12;
/// The longest batch taken: far above any real one, and a bound on what a wrong length can cost.
pub const MAX_FRAME: u32 = 1 << 30;

/// What can be wrong with a frame.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The header states a length that no frame has.
    #[error("batch {batch}, offset 12: a frame length of {len} bytes is out of range")]
    BadLength {
        /// The batch.
        batch: u32,
        /// The stated length.
        len: u32,
    },
    /// A record is cut off, unknown or out of range.
    #[error("batch {batch}, offset {offset}: {what}")]
    BadRecord {
        /// The batch.
        batch: u32,
        /// Where the record begins, counted from the start of the frame.
        offset: usize,
        /// What is wrong.
        what: String,
    },
    /// Bytes are left after the stated number of records.
    #[error("batch {batch}, offset {offset}: {left} bytes left after the last record")]
    LeftOver {
        /// The batch.
        batch: u32,
        /// Where they begin.
        offset: usize,
        /// How many.
        left: usize,
    },
}

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its number.
    pub batch: u32,
    /// The clock.
    pub now: Micros,
    /// The length of the whole frame.
    pub len: u32,
    /// How many records follow.
    pub records: u32,
}

impl Header {
    /// Reads a header.
    pub fn parse(bytes: &[u8; HEADER_LEN]) -> Result<Self, WireError> {
        let mut input = bytes.as_slice();
        let parsed: Parsed<_> = (le_u32, le_u64, le_u32, le_u32).parse_next(&mut input);
        let (batch, now, len, records) = parsed.unwrap_or_default();
        if (len as usize) < HEADER_LEN || len > MAX_FRAME {
            return Err(WireError::BadLength { batch, len });
        }
        Ok(Header { batch, now: Micros(now), len, records })
    }

    /// The number of bytes after the header.
    pub fn body_len(&self) -> u64 {
        u64::from(self.len).saturating_sub(HEADER_LEN as u64)
    }
}

/// One record of a batch: the instance that it is for, and what happened.
#[derive(Debug)]
pub struct Record {
    /// The instance.
    pub instance: u16,
    /// What happened.
    pub body: Body,
}

/// What a record holds.
#[derive(Debug)]
pub enum Body {
    /// An instance starts, with this seed and these settings.
    Launch(u64, String),
    /// An instance is no more.
    PowerOff,
    /// Anything that the decisions take in.
    Event(Event),
}

type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// Reads the records of a batch, one by one.
pub struct Records<'a> {
    header: Header,
    input: &'a [u8],
    left: u32,
    body_len: usize,
}

impl<'a> Records<'a> {
    /// Begins with the bytes after the header.
    pub fn new(header: Header, body: &'a [u8]) -> Self {
        Records { header, input: body, left: header.records, body_len: body.len() }
    }

    fn offset(&self) -> usize {
        HEADER_LEN + self.body_len - self.input.len()
    }

    /// The next record; none after the last.
    pub fn next_record(&mut self) -> Result<Option<Record>, WireError> {
        let (batch, offset) = (self.header.batch, self.offset());
        if self.left == 0 {
            let left = self.input.len();
            return if left == 0 { Ok(None) } else { Err(WireError::LeftOver { batch, offset, left }) };
        }
        self.left -= 1;
        match record(&mut self.input) {
            Ok(record) => Ok(Some(record)),
            Err(error) => {
                let inner = error.into_inner().unwrap_or_default();
                let what = match inner.context().next() {
                    Some(StrContext::Label(what)) => (*what).to_owned(),
                    Some(context) => context.to_string(),
                    None => "the frame ends inside a record".to_owned(),
                };
                Err(WireError::BadRecord { batch, offset, what })
            }
        }
    }
}

fn refuse<T>(what: &'static str) -> Parsed<T> {
    let mut error = ContextError::new();
    error.push(StrContext::Label(what));
    Err(ErrMode::Cut(error))
}

fn record(input: &mut &[u8]) -> Parsed<Record> {
    let (code, instance) = (le_u8, le_u16).parse_next(input)?;
    let body = match code {
        1 => Body::Event(Event::Timer(TimerToken(le_u64.parse_next(input)?))),
        2 => Body::Event(list(input)?),
        3 => Body::Event(note(input)?),
        4 => Body::Event(Event::ClientDisconnected(RequestId(le_u64.parse_next(input)?))),
        5 => Body::Event(done(input)?),
        6 => launch(input)?,
        7 => Body::PowerOff,
        8 => Body::Event(echo(input)?),
        9 => Body::Event(req(input)?),
        10 => Body::Event(resumed(input)?),
        11 => Body::Event(established(input)?),
        12 => Body::Event(memo(input)?),
        _ => return refuse("unknown record code"),
    };
    Ok(Record { instance, body })
}

fn launch(input: &mut &[u8]) -> Parsed<Body> {
    let seed = le_u64.parse_next(input)?;
    let options = length_take(le_u32).parse_next(input)?;
    match std::str::from_utf8(options) {
        Ok(text) => Ok(Body::Launch(seed, text.to_owned())),
        Err(_) => refuse("settings that are not UTF-8"),
    }
}

/// Four bytes of address and a port, kept as one number in that order.
fn server(input: &mut &[u8]) -> Parsed<ServerId> {
    let (a, port): (&[u8], u16) = (take(4usize), le_u16).parse_next(input)?;
    let address = a.iter().fold(0u64, |id, byte| id << 8 | u64::from(*byte));
    Ok(ServerId(address << 16 | u64::from(port)))
}

fn entry(input: &mut &[u8]) -> Parsed<Endpoint> {
    let id = server(input)?;
    let (zone, _kind, cell, state, weight, started) =
        (le_u16, le_u16, le_u16, le_u8, le_f32, le_u64).parse_next(input)?;
    let state = match state {
        0 => EndpointState::Gone,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        _ => return refuse("unknown server state"),
    };
    let started = (started != 0).then_some(Micros(started));
    Ok(Endpoint { id, zone, cell, state, weight: f64::from(weight), started, joined: None })
}

fn list(input: &mut &[u8]) -> Parsed<Event> {
    let (_version, kind, count) = (le_u32, le_u8, le_u32).parse_next(input)?;
    let kind = match kind {
        0 => EndpointListKind::Delta,
        1 => EndpointListKind::Full,
        2 => EndpointListKind::Cached,
        3 => EndpointListKind::Failed,
        _ => return refuse("unknown list kind"),
    };
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(entry(input)?);
    }
    Ok(Event::EndpointList(kind, entries))
}

/// The common end of requests and connections: an absent value is zero.
#[allow(clippy::too_many_arguments, reason = "the fields of one record")]
fn request(
    id: u64,
    group: u64,
    expected_load: u32,
    class: u16,
    remaining: u32,
    key: u64,
    flags: u16,
) -> Request {
    Request {
        id: RequestId(id),
        class,
        group: (group != 0).then_some(GroupId(group)),
        expected_load: (flags & 1 != 0).then_some(f64::from(expected_load)),
        remaining: Micros(u64::from(remaining)),
        key: (key != 0).then_some(key),
        mid_flow: flags & 8 != 0,
    }
}

fn req(input: &mut &[u8]) -> Parsed<Event> {
    let (id, group, hint, class, remaining, key, _tenant, flags) =
        (le_u64, le_u64, le_u32, le_u16, le_u32, le_u64, le_u16, le_u16).parse_next(input)?;
    Ok(Event::Request(request(id, group, hint, class, remaining, key, flags)))
}

fn resumed(input: &mut &[u8]) -> Parsed<Event> {
    let (id, flags, _tenant, class, key) = (le_u64, le_u16, le_u16, le_u16, le_u64).parse_next(input)?;
    let server = server(input)?;
    let (hint, remaining, group) = (le_u32, le_u32, le_u64).parse_next(input)?;
    Ok(Event::ExistingConnection(request(id, group, hint, class, remaining, key, flags), server))
}

fn note(input: &mut &[u8]) -> Parsed<Event> {
    let (id, value, _attempt) = (le_u64, le_f32, le_u16).parse_next(input)?;
    let server = server(input)?;
    match le_u8.parse_next(input)? {
        1 => Ok(Event::LoadReported(RequestId(id), f64::from(value))),
        2 => Ok(Event::DelayReported(server, f64::from(value))),
        _ => refuse("unknown note"),
    }
}

fn outcome(input: &mut &[u8]) -> Parsed<Outcome> {
    Ok(match le_u8.parse_next(input)? {
        0 => Outcome::Ok,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NeverSent,
        _ => return refuse("unknown outcome"),
    })
}

fn report(input: &mut &[u8]) -> Parsed<Vec<f64>> {
    let count = le_u8.parse_next(input)?;
    let mut values = Vec::new();
    for _ in 0..count {
        values.push(f64::from(le_f32.parse_next(input)?));
    }
    Ok(values)
}

fn done(input: &mut &[u8]) -> Parsed<Event> {
    let (id, _latency, closed, _attempt) = (le_u64, le_u32, le_u8, le_u16).parse_next(input)?;
    let outcome = outcome(input)?;
    let server = server(input)?;
    let report = report(input)?;
    Ok(Event::Ended { id: RequestId(id), server, outcome, closed: closed != 0, report })
}

fn echo(input: &mut &[u8]) -> Parsed<Event> {
    let server = server(input)?;
    let outcome = outcome(input)?;
    let _latency = le_u32.parse_next(input)?;
    let report = report(input)?;
    Ok(Event::ProbeCompleted { server, outcome, report })
}

fn established(input: &mut &[u8]) -> Parsed<Event> {
    let (id, _attempt) = (le_u64, le_u16).parse_next(input)?;
    let _server = server(input)?;
    let latency = Micros(u64::from(le_u32.parse_next(input)?));
    Ok(Event::Established { id: RequestId(id), latency })
}

fn memo(input: &mut &[u8]) -> Parsed<Event> {
    let from = le_u32.parse_next(input)?;
    let data: &[u8] = length_take(le_u16).parse_next(input)?;
    Ok(Event::PeerMessage(from, data.to_vec()))
}

/// Builds the reply to one batch.
#[derive(Default)]
pub struct Reply {
    bytes: BytesMut,
    records: u32,
}

impl Reply {
    /// Begins the reply to a batch.
    pub fn begin(&mut self, batch: u32) {
        self.bytes.clear();
        self.bytes.put_u32_le(batch);
        self.bytes.put_u64_le(0);
        self.records = 0;
    }

    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        self.records += 1;
        match action {
            Action::Forward(id, server, time_out) => {
                self.id(13, instance, id.0);
                self.server(*server);
                self.bytes.put_u32_le(time_out.map_or(0, clamp));
            }
            Action::Reject(id, wait) => {
                self.id(3, instance, id.0);
                self.bytes.put_u32_le(wait.map_or(0, clamp));
            }
            Action::Fail(id) => self.id(7, instance, id.0),
            Action::Migrate(id) => self.id(2, instance, id.0),
            Action::SetTimer(after, token) => {
                self.code(12, instance);
                self.bytes.put_u32_le(clamp(*after));
                self.bytes.put_u64_le(token.0);
            }
            Action::WatchEndpoints => {
                self.code(4, instance);
                self.bytes.put_u8(1);
            }
            Action::Probe(server) => {
                self.code(11, instance);
                self.server(*server);
            }
            Action::Broadcast(data) => {
                self.code(8, instance);
                self.bytes.put_u32_le(u32::MAX);
                self.text(data);
            }
            Action::Log(server, line) => {
                let about = server.map_or_else(String::new, |server| format!("server {server}: "));
                self.code(10, instance);
                self.text(format!("{about}{line}").as_bytes());
            }
        }
    }

    /// The finished frame.
    pub fn finish(&mut self) -> &[u8] {
        let len = u32::try_from(self.bytes.len()).unwrap_or(u32::MAX);
        self.bytes[4..8].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&len.to_le_bytes());
        &self.bytes
    }

    fn code(&mut self, code: u8, instance: u16) {
        self.bytes.put_u8(code);
        self.bytes.put_u16_le(instance);
    }

    fn id(&mut self, code: u8, instance: u16, id: u64) {
        self.code(code, instance);
        self.bytes.put_u64_le(id);
    }

    fn server(&mut self, server: ServerId) {
        let address = u32::try_from(server.0 >> 16 & 0xffff_ffff).unwrap_or_default();
        self.bytes.put_u32(address);
        self.bytes.put_u16_le((server.0 & 0xffff) as u16);
    }

    /// A counted run of bytes; what does not fit the count is cut off.
    fn text(&mut self, data: &[u8]) {
        let len = u16::try_from(data.len()).unwrap_or(u16::MAX);
        self.bytes.put_u16_le(len);
        self.bytes.put_slice(&data[..usize::from(len)]);
    }
}

/// A span in the wire's 32 bits.
fn clamp(span: Micros) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}
