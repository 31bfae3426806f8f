//! The datagrams of members, format 1.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `AM` |
//! | 1 | the format |
//! | 1, n | the cluster's name with its length |
//! | 8 | the sender's session |
//! | 8 | the receiver's session as the sender knows it, 0 if it doesn't |
//! | 8 | the sender's number of this datagram, from 1 on |
//! | 1 | its kind, then what that kind holds |
//! | 1, ... | rumors: their number, then each |
//! | 16 | the first half of the HMAC-SHA-256 (RFC 2104, RFC 4868) of all before, by a key of the cluster |
//!
//! Numbers are little-endian. Nothing is believed before the MAC has been checked.

use std::net::{IpAddr, SocketAddr};

use winnow::Parser;
use winnow::binary::{le_u16, le_u64, length_take, u8};
use winnow::combinator::{eof, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;

use crate::authentication::{Authenticator, DecodeError, KeyError, MAC_BYTES, MAX_DATAGRAM_BYTES};

use super::view::{MAX_FACTS, MAX_NAME, MAX_ZONE, Record, Session, State};

const MAGIC: [u8; 2] = *b"AM";
/// What this program writes.
const FORMAT: u8 = 1;

/// Who sent a datagram to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The sender's process.
    pub from: Session,
    /// The receiver's process as the sender knows it.
    pub to: Session,
    /// The sender's number of this datagram.
    pub counter: u64,
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Answer with `Ack`. The sender tells its record.
    Ping {
        /// To be named by the answer.
        nonce: u64,
        /// The sender's own.
        record: Record,
    },
    /// Whom was pinged lives.
    Ack {
        /// Of the ping.
        nonce: u64,
    },
    /// Ping another one for the sender.
    PingFor {
        /// To be named by the answer.
        nonce: u64,
        /// Whom.
        target: Session,
        /// Where.
        address: SocketAddr,
    },
    /// The other one has not answered so far.
    Nack {
        /// Of the call.
        nonce: u64,
    },
    /// A datagram came that was meant for another process, or for none: this one is here.
    Handshake {
        /// The sender's own.
        record: Record,
    },
    /// Tell members whose sessions come after this one.
    Sync {
        /// Whose.
        after: Session,
        /// The sender's own.
        record: Record,
    },
    /// Members by rising sessions.
    Page {
        /// No session comes after the last of these.
        last: bool,
        /// They.
        members: Vec<(State, Record)>,
    },
}

/// What members tell one another of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rumor {
    /// A member's own word.
    Alive(Record),
    /// It did not answer.
    Suspect {
        /// Who.
        session: Session,
        /// Its word that this is about.
        incarnation: u64,
        /// Whom it did not answer.
        by: Session,
    },
    /// It did not say in time that it lives.
    Dead {
        /// Who.
        session: Session,
        /// Its word that this is about.
        incarnation: u64,
    },
    /// It said that it goes.
    Left {
        /// Who.
        session: Session,
        /// Its word.
        incarnation: u64,
    },
}

impl Rumor {
    /// Whom it is about.
    pub fn session(&self) -> Session {
        match self {
            Rumor::Alive(record) => record.session,
            Rumor::Suspect { session, .. } | Rumor::Dead { session, .. } | Rumor::Left { session, .. } => {
                *session
            }
        }
    }
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Who sent it to whom.
    pub header: Header,
    /// What it is about.
    pub body: Body,
    /// What it tells besides.
    pub rumors: Vec<Rumor>,
}

/// Encodes and decodes the datagrams of one cluster's members.
#[derive(Clone)]
pub struct DatagramCodec(Authenticator);

impl DatagramCodec {
    /// The datagrams of the cluster with this name; the first key signs, each of them is accepted.
    ///
    /// # Errors
    /// The name or a key is out of bounds, or there is no key.
    pub fn new(cluster: &str, keys: &[Vec<u8>]) -> Result<Self, KeyError> {
        Authenticator::new(MAGIC, FORMAT, cluster, keys).map(DatagramCodec)
    }

    /// Encodes a datagram with as many of the rumors as fit; returns how many do.
    pub fn encode(&self, header: Header, body: &Body, rumors: &[&Rumor]) -> (Vec<u8>, usize) {
        let mut bytes = self.0.prefix().to_vec();
        for number in [header.from.0, header.to.0, header.counter] {
            put(&mut bytes, number);
        }
        put_body(&mut bytes, body);
        let written = put_rumors(&mut bytes, rumors);
        self.0.sign(&mut bytes);
        (bytes, written)
    }

    /// Any bytes as a signed payload: what a faulty member that has the key could send.
    pub fn sign_payload(&self, payload: &[u8]) -> Vec<u8> {
        self.0.sign_payload(payload)
    }

    /// Room for members on a page, bytes.
    pub fn page_room(&self) -> usize {
        MAX_DATAGRAM_BYTES - self.0.prefix().len() - 3 * 8 - 4 - MAC_BYTES
    }

    /// Decodes a datagram after its MAC has been verified.
    ///
    /// # Errors
    /// It is malformed, in a newer format, or not signed with a key in force.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DecodeError> {
        datagram.parse(self.0.verify(bytes)?).map_err(|_| DecodeError::Malformed)
    }
}

/// The bytes that a member takes on a page.
pub fn on_page(record: &Record) -> usize {
    let mut bytes = Vec::new();
    put_record(&mut bytes, record);
    bytes.len() + 1
}

fn put(bytes: &mut Vec<u8>, number: u64) {
    bytes.extend(number.to_le_bytes());
}

/// Something short with its length: whoever made it has checked that it is short.
fn put_short(bytes: &mut Vec<u8>, short: &[u8]) {
    bytes.push(short.len() as u8);
    bytes.extend(short);
}

fn put_address(bytes: &mut Vec<u8>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => put_short(bytes, &ip.octets()),
        IpAddr::V6(ip) => put_short(bytes, &ip.octets()),
    }
    bytes.extend(address.port().to_le_bytes());
}

fn put_record(bytes: &mut Vec<u8>, record: &Record) {
    put(bytes, record.session.0);
    put(bytes, record.incarnation);
    put_short(bytes, record.name.as_bytes());
    put_short(bytes, record.zone.as_bytes());
    put_address(bytes, record.address);
    put(bytes, record.digest);
    put_short(bytes, &record.facts);
}

fn put_state(bytes: &mut Vec<u8>, state: State) {
    bytes.push(match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Dead => 2,
        State::Left => 3,
    });
}

fn put_body(bytes: &mut Vec<u8>, body: &Body) {
    match body {
        Body::Ping { nonce, record } => {
            bytes.push(1);
            put(bytes, *nonce);
            put_record(bytes, record);
        }
        Body::Ack { nonce } => {
            bytes.push(2);
            put(bytes, *nonce);
        }
        Body::PingFor { nonce, target, address } => {
            bytes.push(3);
            put(bytes, *nonce);
            put(bytes, target.0);
            put_address(bytes, *address);
        }
        Body::Nack { nonce } => {
            bytes.push(4);
            put(bytes, *nonce);
        }
        Body::Handshake { record } => {
            bytes.push(5);
            put_record(bytes, record);
        }
        Body::Sync { after, record } => {
            bytes.push(6);
            put(bytes, after.0);
            put_record(bytes, record);
        }
        Body::Page { last, members } => {
            bytes.extend([7, u8::from(*last), members.len() as u8]);
            for (state, record) in members {
                put_state(bytes, *state);
                put_record(bytes, record);
            }
        }
    }
}

fn put_rumor(bytes: &mut Vec<u8>, rumor: &Rumor) {
    match rumor {
        Rumor::Alive(record) => {
            bytes.push(0);
            put_record(bytes, record);
        }
        Rumor::Suspect { session, incarnation, by } => {
            bytes.push(1);
            [session.0, *incarnation, by.0].into_iter().for_each(|number| put(bytes, number));
        }
        Rumor::Dead { session, incarnation } => {
            bytes.push(2);
            [session.0, *incarnation].into_iter().for_each(|number| put(bytes, number));
        }
        Rumor::Left { session, incarnation } => {
            bytes.push(3);
            [session.0, *incarnation].into_iter().for_each(|number| put(bytes, number));
        }
    }
}

/// Appends as many rumors as fit, behind their number; returns that number.
fn put_rumors(bytes: &mut Vec<u8>, rumors: &[&Rumor]) -> usize {
    let count_at = bytes.len();
    bytes.push(0);
    let mut written = 0;
    for rumor in rumors {
        let before = bytes.len();
        put_rumor(bytes, rumor);
        if bytes.len() + MAC_BYTES > MAX_DATAGRAM_BYTES || written == u8::MAX {
            bytes.truncate(before);
            break;
        }
        written += 1;
    }
    bytes[count_at] = written;
    usize::from(written)
}

type Read<T> = Result<T, ErrMode<ContextError>>;

fn no<T>() -> Read<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

fn session(input: &mut &[u8]) -> Read<Session> {
    le_u64.map(Session).parse_next(input)
}

fn short<'a>(most: usize, input: &mut &'a [u8]) -> Read<&'a [u8]> {
    length_take(u8).verify(|bytes: &&[u8]| bytes.len() <= most).parse_next(input)
}

fn text(most: usize, input: &mut &[u8]) -> Read<Box<str>> {
    let bytes = short(most, input)?;
    std::str::from_utf8(bytes).map(Box::from).or_else(|_| no())
}

fn address(input: &mut &[u8]) -> Read<SocketAddr> {
    let ip = short(16, input)?;
    let port = le_u16.parse_next(input)?;
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Ok((ip, port).into());
    }
    <[u8; 16]>::try_from(ip).map(|ip| (ip, port).into()).or_else(|_| no())
}

fn record(input: &mut &[u8]) -> Read<Record> {
    let session = session(input)?;
    let incarnation = le_u64.parse_next(input)?;
    let (name, zone) = (text(MAX_NAME, input)?, text(MAX_ZONE, input)?);
    let address = address(input)?;
    let digest = le_u64.parse_next(input)?;
    let facts = short(MAX_FACTS, input)?.into();
    let record = Record { session, incarnation, name, zone, address, digest, facts };
    if record.check().is_ok() && session != Session::default() { Ok(record) } else { no() }
}

fn member(input: &mut &[u8]) -> Read<(State, Record)> {
    let state = match u8.parse_next(input)? {
        0 => State::Alive,
        1 => State::Suspect,
        2 => State::Dead,
        3 => State::Left,
        _ => return no(),
    };
    Ok((state, record(input)?))
}

fn body(input: &mut &[u8]) -> Read<Body> {
    Ok(match u8.parse_next(input)? {
        1 => Body::Ping { nonce: le_u64.parse_next(input)?, record: record(input)? },
        2 => Body::Ack { nonce: le_u64.parse_next(input)? },
        3 => {
            let nonce = le_u64.parse_next(input)?;
            Body::PingFor { nonce, target: session(input)?, address: address(input)? }
        }
        4 => Body::Nack { nonce: le_u64.parse_next(input)? },
        5 => Body::Handshake { record: record(input)? },
        6 => Body::Sync { after: session(input)?, record: record(input)? },
        7 => {
            let last = take(1usize).verify(|bytes: &[u8]| bytes[0] <= 1).parse_next(input)?[0] == 1;
            let count = usize::from(u8.parse_next(input)?);
            Body::Page { last, members: repeat(count, member).parse_next(input)? }
        }
        _ => return no(),
    })
}

fn rumor(input: &mut &[u8]) -> Read<Rumor> {
    let kind = u8.parse_next(input)?;
    if kind == 0 {
        return record(input).map(Rumor::Alive);
    }
    let (session, incarnation) = (session(input)?, le_u64.parse_next(input)?);
    Ok(match kind {
        1 => Rumor::Suspect { session, incarnation, by: self::session(input)? },
        2 => Rumor::Dead { session, incarnation },
        3 => Rumor::Left { session, incarnation },
        _ => return no(),
    })
}

fn datagram(input: &mut &[u8]) -> Read<Datagram> {
    let header = Header { from: session(input)?, to: session(input)?, counter: le_u64.parse_next(input)? };
    let body = body(input)?;
    let count = usize::from(u8.parse_next(input)?);
    let rumors = repeat(count, rumor).parse_next(input)?;
    eof.parse_next(input)?;
    Ok(Datagram { header, body, rumors })
}
