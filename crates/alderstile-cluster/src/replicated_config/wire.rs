//! Datagrams of the replicated configuration, format 1: `AC`, the format, the cluster's name, a message and a
//! MAC.
//!
//! A replayed datagram has no effect: terms and versions only increase, rounds and echoed clocks count only
//! once, and documents are identified by digest.

use winnow::Parser;

use super::codec::{decode_message, encode_message};
use super::message::Message;
use crate::authentication::{Authenticator, AuthenticatorError, DecodeError};

const MAGIC: [u8; 2] = *b"AC";
/// The format that this program writes, and the only one that it reads.
const FORMAT: u8 = 1;

/// Encodes and decodes the datagrams of one cluster's replicated configuration.
#[derive(Clone)]
pub struct DatagramCodec(Authenticator);

impl DatagramCodec {
    /// Creates the codec for the cluster with this name. The first key signs; datagrams signed with any of
    /// the keys are accepted.
    ///
    /// # Errors
    /// Returns an error if the name or a key has an invalid length, or if there is no key.
    pub fn new(cluster: &str, keys: &[Vec<u8>]) -> Result<Self, AuthenticatorError> {
        Authenticator::new(MAGIC, FORMAT, cluster, keys).map(DatagramCodec)
    }

    /// Encodes and signs a message.
    pub fn encode(&self, message: &Message) -> Vec<u8> {
        let mut bytes = self.0.prefix().to_vec();
        encode_message(&mut bytes, message);
        self.0.sign(&mut bytes);
        bytes
    }

    /// Signs arbitrary bytes as a payload, as a faulty member with the key could send them.
    pub fn sign_payload(&self, payload: &[u8]) -> Vec<u8> {
        self.0.sign_payload(payload)
    }

    /// Verifies a datagram's MAC and decodes its message.
    ///
    /// # Errors
    /// Returns an error if the datagram is malformed, in a newer format, or not signed with a current key.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, DecodeError> {
        decode_message.parse(self.0.verify(bytes)?).map_err(|_| DecodeError::Malformed)
    }
}
