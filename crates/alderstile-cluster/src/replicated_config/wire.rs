//! The datagrams of agreed versions, format 1.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `AC` |
//! | 1 | the format |
//! | 1, n | the cluster's name with its length |
//! | 1, ... | the kind, then what that kind holds |
//! | 16 | the first half of the HMAC-SHA-256 (RFC 2104, RFC 4868) of all before, by a key of the cluster |
//!
//! Numbers are little-endian. Nothing is believed before the MAC has been checked. A recorded datagram that is played again changes
//! nothing: terms and versions only rise, rounds and echoed clocks only count once, and documents are named by their digest.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use winnow::Parser;

use super::codec::{decode_message, encode_message};
use super::message::Message;
use crate::authentication::{DecodeError, MAX_CLUSTER_NAME_BYTES, MAX_DATAGRAM_BYTES, MIN_KEY_BYTES};

const MAGIC: &[u8] = b"AC";
/// What this program writes.
const FORMAT: u8 = 1;
const MAC: usize = 16;

/// The cluster's name and its keys: the first one signs, each of them is believed.
#[derive(Clone)]
pub struct Seal {
    head: Vec<u8>,
    keys: Vec<Hmac<Sha256>>,
}

impl Seal {
    /// None where the name or a key is too short or too long, or there is no key.
    pub fn new(cluster: &str, keys: &[Vec<u8>]) -> Option<Self> {
        let length = u8::try_from(cluster.len())
            .ok()
            .filter(|n| *n > 0 && usize::from(*n) <= MAX_CLUSTER_NAME_BYTES)?;
        if keys.is_empty() || keys.iter().any(|key| key.len() < MIN_KEY_BYTES) {
            return None;
        }
        let head = [MAGIC, &[FORMAT, length], cluster.as_bytes()].concat();
        let keys = keys.iter().map(|key| Hmac::new_from_slice(key).ok()).collect::<Option<_>>()?;
        Some(Seal { head, keys })
    }

    /// Writes a datagram.
    pub fn write(&self, message: &Message) -> Vec<u8> {
        let mut bytes = self.head.clone();
        encode_message(&mut bytes, message);
        self.closed(bytes)
    }

    /// Any bytes as the inside of a datagram, with head and MAC: what a broken member could send.
    pub fn sealed(&self, inside: &[u8]) -> Vec<u8> {
        self.closed([&*self.head, inside].concat())
    }

    fn closed(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(key) = self.keys.first() {
            let mut mac = key.clone();
            mac.update(&bytes);
            bytes.extend(&mac.finalize().into_bytes()[..MAC]);
        }
        bytes
    }

    /// Reads a datagram; what is wrong with it otherwise.
    pub fn read(&self, bytes: &[u8]) -> Result<Message, DecodeError> {
        match bytes {
            [b'A', b'C', format, ..] if *format > FORMAT => return Err(DecodeError::UnsupportedFormat),
            [b'A', b'C', FORMAT, ..] if bytes.len() <= MAX_DATAGRAM_BYTES => {}
            _ => return Err(DecodeError::Malformed),
        }
        let inside = bytes.strip_prefix(&*self.head).ok_or(DecodeError::Unauthenticated)?;
        let Some(length) = inside.len().checked_sub(MAC) else { return Err(DecodeError::Malformed) };
        let (signed, mac) = bytes.split_at(self.head.len() + length);
        let known = |key: &Hmac<Sha256>| {
            let mut check = key.clone();
            check.update(signed);
            check.verify_truncated_left(mac).is_ok()
        };
        if !self.keys.iter().any(known) {
            return Err(DecodeError::Unauthenticated);
        }
        decode_message.parse(&inside[..length]).map_err(|_| DecodeError::Malformed)
    }
}
