//! Encoding of the members' datagrams, format 1.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `AM` |
//! | 1 | the format |
//! | 1, n | the cluster's name with its length |
//! | 8 | the sender's instance |
//! | 8 | the receiver's instance as the sender knows it, 0 if it doesn't |
//! | 8 | the sender's number of this datagram, from 1 on |
//! | 1 | the kind of message, then what that kind holds |
//! | 1, ... | updates: their number, then each |
//! | 16 | the MAC of all before ([`crate::authentication`]) |
//!
//! Numbers are little-endian. Nothing is parsed before the MAC has been verified.

mod decode;
mod encode;

use winnow::Parser;

use super::datagram::{Datagram, DatagramHeader, MemberUpdate, Message};
use crate::authentication::{Authenticator, AuthenticatorError, DecodeError, MAC_BYTES, MAX_DATAGRAM_BYTES};

pub(super) use encode::page_entry_bytes;

const MAGIC: [u8; 2] = *b"AM";
const FORMAT: u8 = 1;
/// Sender, receiver and sequence number.
const HEADER_BYTES: usize = 3 * 8;
/// The bytes of a sync page beside its members: the message's kind, whether it is the last, how many, how many updates.
const PAGE_OVERHEAD_BYTES: usize = 4;

/// Encodes and decodes the datagrams of one cluster's members.
#[derive(Clone)]
pub struct DatagramCodec(Authenticator);

impl DatagramCodec {
    /// The datagrams of the cluster with this name; the first key signs, each of them is accepted.
    ///
    /// # Errors
    /// The name or a key is out of bounds, or there is no key.
    pub fn new(cluster: &str, keys: &[Vec<u8>]) -> Result<Self, AuthenticatorError> {
        Authenticator::new(MAGIC, FORMAT, cluster, keys).map(DatagramCodec)
    }

    /// Encodes a datagram with as many of the updates as fit; returns how many do.
    pub fn encode(
        &self,
        header: DatagramHeader,
        message: &Message,
        updates: &[&MemberUpdate],
    ) -> (Vec<u8>, usize) {
        let mut bytes = self.0.prefix().to_vec();
        encode::put_header(&mut bytes, header);
        encode::put_message(&mut bytes, message);
        let written = encode::put_updates(&mut bytes, updates);
        self.0.sign(&mut bytes);
        (bytes, written)
    }

    /// Decodes a datagram after its MAC has been verified.
    ///
    /// # Errors
    /// It is malformed, in a newer format, or not signed with a key in force.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DecodeError> {
        decode::datagram.parse(self.0.verify(bytes)?).map_err(|_| DecodeError::Malformed)
    }

    /// Any bytes as a signed payload: what a faulty member that has the key could send.
    pub fn sign_payload(&self, payload: &[u8]) -> Vec<u8> {
        self.0.sign_payload(payload)
    }

    /// The bytes that members may take on a sync page.
    pub fn page_capacity(&self) -> usize {
        MAX_DATAGRAM_BYTES - self.0.prefix().len() - HEADER_BYTES - PAGE_OVERHEAD_BYTES - MAC_BYTES
    }
}
