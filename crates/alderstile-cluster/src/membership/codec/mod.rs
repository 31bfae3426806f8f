//! The codec of the membership datagrams, format 1.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `AM` |
//! | 1 | format |
//! | 1, n | length of the cluster's name, and the name |
//! | 8 | the sender's instance |
//! | 8 | the receiver's instance, or 0 if the sender does not know it |
//! | 8 | sequence number of the datagram, starting at 1 |
//! | 1, ... | kind of message, and the fields of that kind |
//! | 1, ... | number of updates, and the updates |
//! | 16 | MAC of all preceding bytes ([`crate::authentication`]) |
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
/// The size of a sync page without its members: kind of message, whether it is the last page, number of
/// members, number of updates.
const PAGE_OVERHEAD_BYTES: usize = 4;

/// Encodes and decodes the membership datagrams of one cluster.
#[derive(Clone)]
pub struct DatagramCodec(Authenticator);

impl DatagramCodec {
    /// Creates the codec of the cluster with this name. The first key signs; every key is accepted.
    ///
    /// # Errors
    /// Returns an error if the length of the name or of a key is out of bounds, or if there is no key.
    pub fn new(cluster_name: &str, keys: &[Vec<u8>]) -> Result<Self, AuthenticatorError> {
        Authenticator::new(MAGIC, FORMAT, cluster_name, keys).map(DatagramCodec)
    }

    /// Encodes a datagram with as many of the updates as fit, and returns it with the number of updates.
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

    /// Verifies the MAC of a datagram and decodes it.
    ///
    /// # Errors
    /// Returns an error if the datagram is malformed, in a newer format, or not signed by an accepted key.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DecodeError> {
        decode::datagram.parse(self.0.verify(bytes)?).map_err(|_| DecodeError::Malformed)
    }

    /// Returns a datagram with an arbitrary payload and a valid MAC. Tests use it to simulate a faulty member
    /// that has the key.
    pub fn sign_payload(&self, payload: &[u8]) -> Vec<u8> {
        self.0.sign_payload(payload)
    }

    /// Returns the number of bytes available to members on a sync page.
    pub fn page_capacity(&self) -> usize {
        MAX_DATAGRAM_BYTES - self.0.prefix().len() - HEADER_BYTES - PAGE_OVERHEAD_BYTES - MAC_BYTES
    }
}
