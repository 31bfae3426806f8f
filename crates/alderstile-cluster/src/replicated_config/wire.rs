//! The datagrams of the replicated configuration, format 1: `AC`, the format and the cluster's name, a message, and a MAC.
//!
//! A recorded datagram that is played again changes nothing: terms and versions only rise, rounds and echoed clocks only count once, and
//! documents are named by their digest.

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
    /// The datagrams of the cluster with this name; the first key signs, each of them is accepted.
    ///
    /// # Errors
    /// The name or a key is out of bounds, or there is no key.
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

    /// Any bytes as a signed payload: what a faulty member that has the key could send.
    pub fn sign_payload(&self, payload: &[u8]) -> Vec<u8> {
        self.0.sign_payload(payload)
    }

    /// Decodes a datagram after its MAC has been verified.
    ///
    /// # Errors
    /// It is malformed, in a newer format, or not signed with a key in force.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, DecodeError> {
        decode_message.parse(self.0.verify(bytes)?).map_err(|_| DecodeError::Malformed)
    }
}
