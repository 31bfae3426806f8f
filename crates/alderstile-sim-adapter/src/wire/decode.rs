//! Decodes the records of a batch.

use alderstile::types::{
    Endpoint, EndpointListKind, EndpointState, Event, GroupId, Micros, Outcome, Request, RequestId, ServerId,
    TimerToken,
};
use winnow::Parser;
use winnow::binary::{le_f32, le_u8, le_u16, le_u32, le_u64, length_take};
use winnow::token::take;

use super::error::{RecordError, WireError};
use super::header::{HEADER_LEN, Header};

/// Request flag: the request states its expected load.
const FLAG_HAS_EXPECTED_LOAD: u16 = 1;
/// Request flag: the request consists of packets of a connection that a server already holds.
const FLAG_MID_FLOW: u16 = 8;

/// One record of a batch.
#[derive(Debug)]
pub struct Record {
    /// The number of the instance that the record is for.
    pub instance: u16,
    /// The content of the record.
    pub body: RecordBody,
}

/// The content of a record.
#[derive(Debug)]
pub enum RecordBody {
    /// The instance starts.
    Start {
        /// The seed of the instance's random numbers.
        seed: u64,
        /// The instance's settings, as lines of `path=value`.
        settings: String,
    },
    /// The instance stops.
    Stop,
    /// An event for the instance's policy.
    Event(Event),
}

/// The result of parsing a record or one of its fields.
type Parsed<T> = Result<T, RecordError>;

/// Iterates over the records of a batch.
pub struct Records<'a> {
    header: Header,
    input: &'a [u8],
    remaining: u32,
    body_len: usize,
}

impl<'a> Records<'a> {
    /// Creates an iterator over the records in `body`, the bytes after the header.
    pub fn new(header: Header, body: &'a [u8]) -> Self {
        Records { header, input: body, remaining: header.records, body_len: body.len() }
    }

    /// Returns the current position, in bytes from the start of the frame.
    fn offset(&self) -> usize {
        HEADER_LEN + self.body_len - self.input.len()
    }

    /// Decodes the next record; returns `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::InvalidRecord`] for a malformed record and [`WireError::TrailingBytes`] for bytes
    /// after the last one.
    pub fn next_record(&mut self) -> Result<Option<Record>, WireError> {
        let (batch, offset) = (self.header.batch, self.offset());
        if self.remaining == 0 {
            let trailing = self.input.len();
            return if trailing == 0 {
                Ok(None)
            } else {
                Err(WireError::TrailingBytes { batch, offset, trailing })
            };
        }
        self.remaining -= 1;
        let parsed = record(&mut self.input);
        parsed.map(Some).map_err(|error| WireError::InvalidRecord { batch, offset, error })
    }
}

fn record(input: &mut &[u8]) -> Parsed<Record> {
    let (code, instance) = (le_u8, le_u16).parse_next(input)?;
    let body = match code {
        1 => RecordBody::Event(Event::Timer(TimerToken(le_u64.parse_next(input)?))),
        2 => RecordBody::Event(endpoint_list(input)?),
        3 => RecordBody::Event(load_signal(input)?),
        4 => RecordBody::Event(Event::ClientDisconnected(RequestId(le_u64.parse_next(input)?))),
        5 => RecordBody::Event(ended(input)?),
        6 => start(input)?,
        7 => RecordBody::Stop,
        8 => RecordBody::Event(probe_completed(input)?),
        9 => RecordBody::Event(request(input)?),
        10 => RecordBody::Event(existing_connection(input)?),
        11 => RecordBody::Event(established(input)?),
        12 => RecordBody::Event(peer_message(input)?),
        _ => return Err(RecordError::UnknownCode),
    };
    Ok(Record { instance, body })
}

fn start(input: &mut &[u8]) -> Parsed<RecordBody> {
    let seed = le_u64.parse_next(input)?;
    let settings: &[u8] = length_take(le_u32).parse_next(input)?;
    let settings = std::str::from_utf8(settings).map_err(|_| RecordError::SettingsNotUtf8)?;
    Ok(RecordBody::Start { seed, settings: settings.to_owned() })
}

/// Parses an IPv4 address and a port into a server id: the port is the low 16 bits, the address those above.
fn server(input: &mut &[u8]) -> Parsed<ServerId> {
    let (address, port): (&[u8], u16) = (take(4usize), le_u16).parse_next(input)?;
    let address = address.iter().fold(0u64, |id, byte| id << 8 | u64::from(*byte));
    Ok(ServerId(address << 16 | u64::from(port)))
}

fn endpoint(input: &mut &[u8]) -> Parsed<Endpoint> {
    let id = server(input)?;
    let (zone, _kind, cell, state, weight, started) =
        (le_u16, le_u16, le_u16, le_u8, le_f32, le_u64).parse_next(input)?;
    let state = match state {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        _ => return Err(RecordError::UnknownServerState),
    };
    let started = (started != 0).then_some(Micros(started));
    Ok(Endpoint { id, zone, cell, state, weight: f64::from(weight), started, joined: None })
}

fn endpoint_list(input: &mut &[u8]) -> Parsed<Event> {
    let (_version, kind, count) = (le_u32, le_u8, le_u32).parse_next(input)?;
    let kind = match kind {
        0 => EndpointListKind::Delta,
        1 => EndpointListKind::Full,
        2 => EndpointListKind::Cached,
        3 => EndpointListKind::Failed,
        _ => return Err(RecordError::UnknownListKind),
    };
    // Grows with the input instead of allocating for the stated count, which may be wrong.
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(endpoint(input)?);
    }
    Ok(Event::EndpointList(kind, endpoints))
}

/// The fields that requests and existing connections have in common; a zero means that the value is absent.
struct RequestFields {
    id: u64,
    group: u64,
    expected_load: u32,
    class: u16,
    remaining: u32,
    key: u64,
    flags: u16,
}

impl From<RequestFields> for Request {
    fn from(fields: RequestFields) -> Self {
        let has_expected_load = fields.flags & FLAG_HAS_EXPECTED_LOAD != 0;
        Request {
            id: RequestId(fields.id),
            class: fields.class,
            group: (fields.group != 0).then_some(GroupId(fields.group)),
            expected_load: has_expected_load.then_some(f64::from(fields.expected_load)),
            time_remaining: Micros(u64::from(fields.remaining)),
            key: (fields.key != 0).then_some(fields.key),
            mid_flow: fields.flags & FLAG_MID_FLOW != 0,
        }
    }
}

fn request(input: &mut &[u8]) -> Parsed<Event> {
    let (id, group, expected_load, class, remaining, key, _tenant, flags) =
        (le_u64, le_u64, le_u32, le_u16, le_u32, le_u64, le_u16, le_u16).parse_next(input)?;
    let fields = RequestFields { id, group, expected_load, class, remaining, key, flags };
    Ok(Event::Request(fields.into()))
}

fn existing_connection(input: &mut &[u8]) -> Parsed<Event> {
    let (id, flags, _tenant, class, key) = (le_u64, le_u16, le_u16, le_u16, le_u64).parse_next(input)?;
    let server = server(input)?;
    let (expected_load, remaining, group) = (le_u32, le_u32, le_u64).parse_next(input)?;
    let fields = RequestFields { id, group, expected_load, class, remaining, key, flags };
    Ok(Event::ExistingConnection(fields.into(), server))
}

fn load_signal(input: &mut &[u8]) -> Parsed<Event> {
    let (id, value, _attempt) = (le_u64, le_f32, le_u16).parse_next(input)?;
    let server = server(input)?;
    match le_u8.parse_next(input)? {
        1 => Ok(Event::LoadReported(RequestId(id), f64::from(value))),
        2 => Ok(Event::DelayReported(server, f64::from(value))),
        _ => Err(RecordError::UnknownLoadSignal),
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
        _ => return Err(RecordError::UnknownOutcome),
    })
}

fn load_report(input: &mut &[u8]) -> Parsed<Vec<f64>> {
    let count = le_u8.parse_next(input)?;
    let mut values = Vec::new();
    for _ in 0..count {
        values.push(f64::from(le_f32.parse_next(input)?));
    }
    Ok(values)
}

fn ended(input: &mut &[u8]) -> Parsed<Event> {
    let (id, _latency, closed, _attempt) = (le_u64, le_u32, le_u8, le_u16).parse_next(input)?;
    let outcome = outcome(input)?;
    let server = server(input)?;
    let report = load_report(input)?;
    Ok(Event::Ended { id: RequestId(id), server, outcome, closed: closed != 0, report })
}

fn probe_completed(input: &mut &[u8]) -> Parsed<Event> {
    let server = server(input)?;
    let outcome = outcome(input)?;
    let _latency: u32 = le_u32.parse_next(input)?;
    let report = load_report(input)?;
    Ok(Event::ProbeCompleted { server, outcome, report })
}

fn established(input: &mut &[u8]) -> Parsed<Event> {
    let (id, _attempt) = (le_u64, le_u16).parse_next(input)?;
    let _server = server(input)?;
    let latency = Micros(u64::from(le_u32.parse_next(input)?));
    Ok(Event::Established { id: RequestId(id), latency })
}

fn peer_message(input: &mut &[u8]) -> Parsed<Event> {
    let from = le_u32.parse_next(input)?;
    let data: &[u8] = length_take(le_u16).parse_next(input)?;
    Ok(Event::PeerMessage(from, data.to_vec()))
}
