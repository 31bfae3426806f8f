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

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use winnow::Parser;
use winnow::binary::{le_u16, le_u64, length_take, u8};
use winnow::combinator::{eof, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;

use super::view::{MAX_FACTS, MAX_NAME, MAX_ZONE, Record, Session, State};

/// The longest datagram: below what any path carries whole (RFC 9000, section 14).
pub const MAX_DATAGRAM: usize = 1_200;
/// The shortest key, bytes: half of what HMAC-SHA-256 can use (RFC 2104, section 3).
pub const MIN_KEY: usize = 16;
/// The longest name of a cluster, bytes.
pub const MAX_CLUSTER: usize = 40;

const MAGIC: &[u8] = b"AM";
/// What this program writes.
const FORMAT: u8 = 1;
const MAC: usize = 16;

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

/// Why a datagram is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Not of this cluster, or with no key in force.
    Foreign,
    /// Not in a form that this program knows.
    Damaged,
    /// In a newer form.
    Newer,
}

/// The cluster's name and its keys: the first one signs, each of them is believed.
#[derive(Clone)]
pub struct Seal {
    head: Vec<u8>,
    keys: Vec<Hmac<Sha256>>,
}

impl Seal {
    /// None where the name or a key is too short or too long, or there is no key.
    pub fn new(cluster: &str, keys: &[Vec<u8>]) -> Option<Self> {
        let length = u8::try_from(cluster.len()).ok().filter(|n| *n > 0 && usize::from(*n) <= MAX_CLUSTER)?;
        if keys.is_empty() || keys.iter().any(|key| key.len() < MIN_KEY) {
            return None;
        }
        let head = [MAGIC, &[FORMAT, length], cluster.as_bytes()].concat();
        let keys = keys.iter().map(|key| Hmac::new_from_slice(key).ok()).collect::<Option<_>>()?;
        Some(Seal { head, keys })
    }

    fn mac(key: &Hmac<Sha256>, bytes: &[u8]) -> [u8; MAC] {
        let mut mac = key.clone();
        mac.update(bytes);
        let mut half = [0; MAC];
        half.copy_from_slice(&mac.finalize().into_bytes()[..MAC]);
        half
    }

    /// Writes a datagram with as many of the rumors as fit; returns how many do.
    pub fn write(&self, header: Header, body: &Body, rumors: &[&Rumor]) -> (Vec<u8>, usize) {
        let mut bytes = self.head.clone();
        for number in [header.from.0, header.to.0, header.counter] {
            put(&mut bytes, number);
        }
        put_body(&mut bytes, body);
        let at = bytes.len();
        bytes.push(0);
        let mut written = 0;
        for rumor in rumors {
            let before = bytes.len();
            put_rumor(&mut bytes, rumor);
            if bytes.len() + MAC > MAX_DATAGRAM || written == usize::from(u8::MAX) {
                bytes.truncate(before);
                break;
            }
            written += 1;
        }
        bytes[at] = written as u8;
        if let Some(key) = self.keys.first() {
            let mac = Self::mac(key, &bytes);
            bytes.extend(mac);
        }
        (bytes, written)
    }

    /// Any bytes as the inside of a datagram, with head and MAC: what a broken member could send.
    pub fn sealed(&self, inside: &[u8]) -> Vec<u8> {
        let mut bytes = [&*self.head, inside].concat();
        if let Some(key) = self.keys.first() {
            let mac = Self::mac(key, &bytes);
            bytes.extend(mac);
        }
        bytes
    }

    /// Room for members on a page, bytes.
    pub fn page_room(&self) -> usize {
        MAX_DATAGRAM - self.head.len() - 3 * 8 - 4 - MAC
    }

    /// Reads a datagram; what is wrong with it otherwise.
    pub fn read(&self, bytes: &[u8]) -> Result<Datagram, Unread> {
        match bytes {
            [b'A', b'M', format, ..] if *format > FORMAT => return Err(Unread::Newer),
            [b'A', b'M', FORMAT, ..] if bytes.len() <= MAX_DATAGRAM => {}
            _ => return Err(Unread::Damaged),
        }
        let rest = bytes.strip_prefix(&*self.head).ok_or(Unread::Foreign)?;
        let Some(signed) = bytes.len().checked_sub(MAC).filter(|_| rest.len() >= MAC) else {
            return Err(Unread::Damaged);
        };
        let (signed, mac) = bytes.split_at(signed);
        let known = |key: &Hmac<Sha256>| {
            let mut check = key.clone();
            check.update(signed);
            // Takes the same time wherever they differ.
            check.verify_truncated_left(mac).is_ok()
        };
        if !self.keys.iter().any(known) {
            return Err(Unread::Foreign);
        }
        datagram.parse(&signed[self.head.len()..]).map_err(|_| Unread::Damaged)
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
