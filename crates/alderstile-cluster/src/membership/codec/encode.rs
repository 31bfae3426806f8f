//! Encodes the payload of a datagram.

use std::net::{IpAddr, SocketAddr};

use crate::authentication::{MAC_BYTES, MAX_DATAGRAM_BYTES};
use crate::membership::datagram::{DatagramHeader, MemberUpdate, Message};
use crate::membership::peer::MemberState;
use crate::membership::record::MemberRecord;

/// Returns the encoded size of a member on a sync page.
pub fn page_entry_bytes(record: &MemberRecord) -> usize {
    let mut bytes = Vec::new();
    put_page_entry(&mut bytes, MemberState::Alive, record);
    bytes.len()
}

pub fn put_header(bytes: &mut Vec<u8>, header: DatagramHeader) {
    put_u64s(bytes, &[header.sender.0, header.receiver.0, header.sequence]);
}

pub fn put_message(bytes: &mut Vec<u8>, message: &Message) {
    match message {
        Message::Ping { nonce, record } => {
            bytes.push(1);
            put_u64s(bytes, &[*nonce]);
            put_record(bytes, record);
        }
        Message::Ack { nonce } => {
            bytes.push(2);
            put_u64s(bytes, &[*nonce]);
        }
        Message::PingRequest { nonce, target, address } => {
            bytes.push(3);
            put_u64s(bytes, &[*nonce, target.0]);
            put_address(bytes, *address);
        }
        Message::Nack { nonce } => {
            bytes.push(4);
            put_u64s(bytes, &[*nonce]);
        }
        Message::Identify { record } => {
            bytes.push(5);
            put_record(bytes, record);
        }
        Message::SyncRequest { after, record } => {
            bytes.push(6);
            put_u64s(bytes, &[after.0]);
            put_record(bytes, record);
        }
        Message::SyncPage { is_last, members } => {
            bytes.extend([7, u8::from(*is_last), members.len() as u8]);
            members.iter().for_each(|(state, record)| put_page_entry(bytes, *state, record));
        }
    }
}

/// Appends the number of updates that fit and those updates, and returns the number.
pub fn put_updates(bytes: &mut Vec<u8>, updates: &[&MemberUpdate]) -> usize {
    let count_index = bytes.len();
    bytes.push(0);
    let mut written = 0;
    for update in updates {
        let start = bytes.len();
        put_update(bytes, update);
        if bytes.len() + MAC_BYTES > MAX_DATAGRAM_BYTES || written == u8::MAX {
            bytes.truncate(start);
            break;
        }
        written += 1;
    }
    bytes[count_index] = written;
    usize::from(written)
}

fn put_update(bytes: &mut Vec<u8>, update: &MemberUpdate) {
    match update {
        MemberUpdate::Alive(record) => {
            bytes.push(0);
            put_record(bytes, record);
        }
        MemberUpdate::Suspect { instance, incarnation, reporter } => {
            bytes.push(1);
            put_u64s(bytes, &[instance.0, *incarnation, reporter.0]);
        }
        MemberUpdate::Dead { instance, incarnation } => {
            bytes.push(2);
            put_u64s(bytes, &[instance.0, *incarnation]);
        }
        MemberUpdate::Left { instance, incarnation } => {
            bytes.push(3);
            put_u64s(bytes, &[instance.0, *incarnation]);
        }
    }
}

fn put_page_entry(bytes: &mut Vec<u8>, state: MemberState, record: &MemberRecord) {
    bytes.push(match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    });
    put_record(bytes, record);
}

fn put_record(bytes: &mut Vec<u8>, record: &MemberRecord) {
    put_u64s(bytes, &[record.instance.0, record.incarnation]);
    put_length_prefixed(bytes, record.name.as_bytes());
    put_length_prefixed(bytes, record.zone.as_bytes());
    put_address(bytes, record.address);
    put_u64s(bytes, &[record.config_digest]);
    put_length_prefixed(bytes, &record.metadata);
}

fn put_address(bytes: &mut Vec<u8>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => put_length_prefixed(bytes, &ip.octets()),
        IpAddr::V6(ip) => put_length_prefixed(bytes, &ip.octets()),
    }
    bytes.extend(address.port().to_le_bytes());
}

/// Appends bytes after their length. The length fits into one byte, because records are validated when
/// created.
fn put_length_prefixed(bytes: &mut Vec<u8>, value: &[u8]) {
    bytes.push(value.len() as u8);
    bytes.extend(value);
}

fn put_u64s(bytes: &mut Vec<u8>, numbers: &[u64]) {
    numbers.iter().for_each(|number| bytes.extend(number.to_le_bytes()));
}
