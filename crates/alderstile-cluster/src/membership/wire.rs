//! The datagrams of members, format 1.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `AM` |
//! | 1 | the format |
//! | 1, n | the cluster's name with its length |
//! | 8 | the sender's instance |
//! | 8 | the receiver's instance as the sender knows it, 0 if it doesn't |
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

use super::view::{
    InstanceId, MAX_METADATA_BYTES, MAX_NAME_BYTES, MAX_ZONE_BYTES, MemberRecord, MemberState,
};

const MAGIC: [u8; 2] = *b"AM";
/// What this program writes.
const FORMAT: u8 = 1;

/// Who sent a datagram to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramHeader {
    /// The sender's process.
    pub sender: InstanceId,
    /// The receiver's process as the sender knows it.
    pub receiver: InstanceId,
    /// The sender's number of this datagram.
    pub sequence: u64,
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Answer with `Ack`. The sender tells its record.
    Ping {
        /// To be named by the answer.
        nonce: u64,
        /// The sender's own.
        record: MemberRecord,
    },
    /// Whom was pinged lives.
    Ack {
        /// Of the ping.
        nonce: u64,
    },
    /// Ping another one for the sender.
    PingRequest {
        /// To be named by the answer.
        nonce: u64,
        /// Whom.
        target: InstanceId,
        /// Where.
        address: SocketAddr,
    },
    /// The other one has not answered so far.
    Nack {
        /// Of the call.
        nonce: u64,
    },
    /// A datagram came that was meant for another process, or for none: this one is here.
    Identify {
        /// The sender's own.
        record: MemberRecord,
    },
    /// Tell members whose instances come after this one.
    SyncRequest {
        /// Whose.
        after: InstanceId,
        /// The sender's own.
        record: MemberRecord,
    },
    /// Membership by rising instances.
    SyncPage {
        /// No instance comes after the last of these.
        last: bool,
        /// They.
        members: Vec<(MemberState, MemberRecord)>,
    },
}

/// What members tell one another of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// A member's own word.
    Alive(MemberRecord),
    /// It did not answer.
    Suspect {
        /// Who.
        instance: InstanceId,
        /// Its word that this is about.
        incarnation: u64,
        /// Whom it did not answer.
        reporter: InstanceId,
    },
    /// It did not say in time that it lives.
    Dead {
        /// Who.
        instance: InstanceId,
        /// Its word that this is about.
        incarnation: u64,
    },
    /// It said that it goes.
    Left {
        /// Who.
        instance: InstanceId,
        /// Its word.
        incarnation: u64,
    },
}

impl MemberUpdate {
    /// Whom it is about.
    pub fn instance(&self) -> InstanceId {
        match self {
            MemberUpdate::Alive(record) => record.instance,
            MemberUpdate::Suspect { instance, .. }
            | MemberUpdate::Dead { instance, .. }
            | MemberUpdate::Left { instance, .. } => *instance,
        }
    }
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Who sent it to whom.
    pub header: DatagramHeader,
    /// What it is about.
    pub body: Message,
    /// What it tells besides.
    pub rumors: Vec<MemberUpdate>,
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
    pub fn encode(
        &self,
        header: DatagramHeader,
        body: &Message,
        rumors: &[&MemberUpdate],
    ) -> (Vec<u8>, usize) {
        let mut bytes = self.0.prefix().to_vec();
        for number in [header.sender.0, header.receiver.0, header.sequence] {
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
pub fn on_page(record: &MemberRecord) -> usize {
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

fn put_record(bytes: &mut Vec<u8>, record: &MemberRecord) {
    put(bytes, record.instance.0);
    put(bytes, record.incarnation);
    put_short(bytes, record.name.as_bytes());
    put_short(bytes, record.zone.as_bytes());
    put_address(bytes, record.address);
    put(bytes, record.config_digest);
    put_short(bytes, &record.metadata);
}

fn put_state(bytes: &mut Vec<u8>, state: MemberState) {
    bytes.push(match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    });
}

fn put_body(bytes: &mut Vec<u8>, body: &Message) {
    match body {
        Message::Ping { nonce, record } => {
            bytes.push(1);
            put(bytes, *nonce);
            put_record(bytes, record);
        }
        Message::Ack { nonce } => {
            bytes.push(2);
            put(bytes, *nonce);
        }
        Message::PingRequest { nonce, target, address } => {
            bytes.push(3);
            put(bytes, *nonce);
            put(bytes, target.0);
            put_address(bytes, *address);
        }
        Message::Nack { nonce } => {
            bytes.push(4);
            put(bytes, *nonce);
        }
        Message::Identify { record } => {
            bytes.push(5);
            put_record(bytes, record);
        }
        Message::SyncRequest { after, record } => {
            bytes.push(6);
            put(bytes, after.0);
            put_record(bytes, record);
        }
        Message::SyncPage { last, members } => {
            bytes.extend([7, u8::from(*last), members.len() as u8]);
            for (state, record) in members {
                put_state(bytes, *state);
                put_record(bytes, record);
            }
        }
    }
}

fn put_rumor(bytes: &mut Vec<u8>, rumor: &MemberUpdate) {
    match rumor {
        MemberUpdate::Alive(record) => {
            bytes.push(0);
            put_record(bytes, record);
        }
        MemberUpdate::Suspect { instance, incarnation, reporter: by } => {
            bytes.push(1);
            [instance.0, *incarnation, by.0].into_iter().for_each(|number| put(bytes, number));
        }
        MemberUpdate::Dead { instance, incarnation } => {
            bytes.push(2);
            [instance.0, *incarnation].into_iter().for_each(|number| put(bytes, number));
        }
        MemberUpdate::Left { instance, incarnation } => {
            bytes.push(3);
            [instance.0, *incarnation].into_iter().for_each(|number| put(bytes, number));
        }
    }
}

/// Appends as many rumors as fit, behind their number; returns that number.
fn put_rumors(bytes: &mut Vec<u8>, rumors: &[&MemberUpdate]) -> usize {
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

fn instance(input: &mut &[u8]) -> Read<InstanceId> {
    le_u64.map(InstanceId).parse_next(input)
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

fn record(input: &mut &[u8]) -> Read<MemberRecord> {
    let instance = instance(input)?;
    let incarnation = le_u64.parse_next(input)?;
    let (name, zone) = (text(MAX_NAME_BYTES, input)?, text(MAX_ZONE_BYTES, input)?);
    let address = address(input)?;
    let config_digest = le_u64.parse_next(input)?;
    let metadata = short(MAX_METADATA_BYTES, input)?.into();
    let record = MemberRecord { instance, incarnation, name, zone, address, config_digest, metadata };
    if record.validate().is_ok() && instance != InstanceId::default() { Ok(record) } else { no() }
}

fn member(input: &mut &[u8]) -> Read<(MemberState, MemberRecord)> {
    let state = match u8.parse_next(input)? {
        0 => MemberState::Alive,
        1 => MemberState::Suspect,
        2 => MemberState::Dead,
        3 => MemberState::Left,
        _ => return no(),
    };
    Ok((state, record(input)?))
}

fn body(input: &mut &[u8]) -> Read<Message> {
    Ok(match u8.parse_next(input)? {
        1 => Message::Ping { nonce: le_u64.parse_next(input)?, record: record(input)? },
        2 => Message::Ack { nonce: le_u64.parse_next(input)? },
        3 => {
            let nonce = le_u64.parse_next(input)?;
            Message::PingRequest { nonce, target: instance(input)?, address: address(input)? }
        }
        4 => Message::Nack { nonce: le_u64.parse_next(input)? },
        5 => Message::Identify { record: record(input)? },
        6 => Message::SyncRequest { after: instance(input)?, record: record(input)? },
        7 => {
            let last = take(1usize).verify(|bytes: &[u8]| bytes[0] <= 1).parse_next(input)?[0] == 1;
            let count = usize::from(u8.parse_next(input)?);
            Message::SyncPage { last, members: repeat(count, member).parse_next(input)? }
        }
        _ => return no(),
    })
}

fn rumor(input: &mut &[u8]) -> Read<MemberUpdate> {
    let kind = u8.parse_next(input)?;
    if kind == 0 {
        return record(input).map(MemberUpdate::Alive);
    }
    let (instance, incarnation) = (instance(input)?, le_u64.parse_next(input)?);
    Ok(match kind {
        1 => MemberUpdate::Suspect { instance, incarnation, reporter: self::instance(input)? },
        2 => MemberUpdate::Dead { instance, incarnation },
        3 => MemberUpdate::Left { instance, incarnation },
        _ => return no(),
    })
}

fn datagram(input: &mut &[u8]) -> Read<Datagram> {
    let header = DatagramHeader {
        sender: instance(input)?,
        receiver: instance(input)?,
        sequence: le_u64.parse_next(input)?,
    };
    let body = body(input)?;
    let count = usize::from(u8.parse_next(input)?);
    let rumors = repeat(count, rumor).parse_next(input)?;
    eof.parse_next(input)?;
    Ok(Datagram { header, body, rumors })
}
