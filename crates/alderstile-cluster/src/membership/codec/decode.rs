//! Decodes the payload of a datagram.

use std::net::SocketAddr;

use winnow::Parser;
use winnow::binary::{le_u16, le_u64, length_take, u8};
use winnow::combinator::{eof, repeat};
use winnow::error::{ContextError, ErrMode};

use crate::membership::datagram::{Datagram, DatagramHeader, MemberUpdate, Message};
use crate::membership::peer::MemberState;
use crate::membership::record::{
    InstanceId, MAX_METADATA_BYTES, MAX_NAME_BYTES, MAX_ZONE_BYTES, MemberRecord,
};

type Parsed<T> = Result<T, ErrMode<ContextError>>;

pub fn datagram(input: &mut &[u8]) -> Parsed<Datagram> {
    let sender = instance(input)?;
    let receiver = instance(input)?;
    let sequence = le_u64.parse_next(input)?;
    let message = message(input)?;
    let update_count = usize::from(u8.parse_next(input)?);
    let updates = repeat(update_count, update).parse_next(input)?;
    eof.parse_next(input)?;
    Ok(Datagram { header: DatagramHeader { sender, receiver, sequence }, message, updates })
}

fn message(input: &mut &[u8]) -> Parsed<Message> {
    Ok(match u8.parse_next(input)? {
        1 => Message::Ping { nonce: le_u64.parse_next(input)?, record: record(input)? },
        2 => Message::Ack { nonce: le_u64.parse_next(input)? },
        3 => Message::PingRequest {
            nonce: le_u64.parse_next(input)?,
            target: instance(input)?,
            address: address(input)?,
        },
        4 => Message::Nack { nonce: le_u64.parse_next(input)? },
        5 => Message::Identify { record: record(input)? },
        6 => Message::SyncRequest { after: instance(input)?, record: record(input)? },
        7 => {
            let is_last = boolean(input)?;
            let member_count = usize::from(u8.parse_next(input)?);
            Message::SyncPage { is_last, members: repeat(member_count, page_entry).parse_next(input)? }
        }
        _ => return malformed(),
    })
}

fn update(input: &mut &[u8]) -> Parsed<MemberUpdate> {
    let kind = u8.parse_next(input)?;
    if kind == 0 {
        return record(input).map(MemberUpdate::Alive);
    }
    let subject = instance(input)?;
    let incarnation = le_u64.parse_next(input)?;
    Ok(match kind {
        1 => MemberUpdate::Suspect { instance: subject, incarnation, reporter: instance(input)? },
        2 => MemberUpdate::Dead { instance: subject, incarnation },
        3 => MemberUpdate::Left { instance: subject, incarnation },
        _ => return malformed(),
    })
}

fn page_entry(input: &mut &[u8]) -> Parsed<(MemberState, MemberRecord)> {
    let state = match u8.parse_next(input)? {
        0 => MemberState::Alive,
        1 => MemberState::Suspect,
        2 => MemberState::Dead,
        3 => MemberState::Left,
        _ => return malformed(),
    };
    Ok((state, record(input)?))
}

fn record(input: &mut &[u8]) -> Parsed<MemberRecord> {
    let record = MemberRecord {
        instance: instance(input)?,
        incarnation: le_u64.parse_next(input)?,
        name: text(MAX_NAME_BYTES, input)?,
        zone: text(MAX_ZONE_BYTES, input)?,
        address: address(input)?,
        config_digest: le_u64.parse_next(input)?,
        metadata: length_prefixed(MAX_METADATA_BYTES, input)?.into(),
    };
    let is_valid = record.validate().is_ok() && record.instance != InstanceId::default();
    if is_valid { Ok(record) } else { malformed() }
}

fn instance(input: &mut &[u8]) -> Parsed<InstanceId> {
    le_u64.map(InstanceId).parse_next(input)
}

fn address(input: &mut &[u8]) -> Parsed<SocketAddr> {
    let ip = length_prefixed(16, input)?;
    let port = le_u16.parse_next(input)?;
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Ok((ip, port).into());
    }
    <[u8; 16]>::try_from(ip).map(|ip| (ip, port).into()).or_else(|_| malformed())
}

fn text(max_bytes: usize, input: &mut &[u8]) -> Parsed<Box<str>> {
    let bytes = length_prefixed(max_bytes, input)?;
    std::str::from_utf8(bytes).map(Box::from).or_else(|_| malformed())
}

/// Decodes bytes that follow their length.
fn length_prefixed<'a>(max_bytes: usize, input: &mut &'a [u8]) -> Parsed<&'a [u8]> {
    length_take(u8).verify(|bytes: &&[u8]| bytes.len() <= max_bytes).parse_next(input)
}

fn boolean(input: &mut &[u8]) -> Parsed<bool> {
    u8.verify(|byte: &u8| *byte <= 1).map(|byte| byte == 1).parse_next(input)
}

fn malformed<T>() -> Parsed<T> {
    Err(ErrMode::Cut(ContextError::new()))
}
