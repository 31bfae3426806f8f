//! Authentication of the cluster's datagrams: a fixed prefix in front, a truncated HMAC-SHA-256 behind.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | the protocol's magic number |
//! | 1 | the protocol's format version |
//! | 1, n | the cluster's name with its length |
//! | ... | the payload |
//! | 16 | the first half of the HMAC-SHA-256 (RFC 2104, RFC 4868) of all before, by a key of the cluster |

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The longest datagram: below what any path carries unfragmented (RFC 9000, section 14).
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The shortest key: half of what HMAC-SHA-256 can use (RFC 2104, section 3).
pub const MIN_KEY_BYTES: usize = 16;
/// The longest name of a cluster.
pub const MAX_CLUSTER_NAME_BYTES: usize = 40;
/// The truncated MAC at the end of each datagram (RFC 4868, section 2.1.1).
pub const MAC_BYTES: usize = 16;

/// Why an [`Authenticator`] can't be made.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AuthenticatorError {
    /// The cluster's name is empty or too long.
    #[error("a cluster name of 1 to {MAX_CLUSTER_NAME_BYTES} bytes is wanted")]
    ClusterNameLength,
    /// There is no key.
    #[error("at least one key is wanted")]
    NoKeys,
    /// A key is too short.
    #[error("keys of at least {MIN_KEY_BYTES} bytes are wanted")]
    KeyTooShort,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// It is of another cluster, or no key in force signed it.
    #[error("not signed with a key of this cluster")]
    Unauthenticated,
    /// It is in no form that this program knows.
    #[error("malformed")]
    Malformed,
    /// It is in a newer format.
    #[error("in a newer format")]
    UnsupportedFormat,
}

/// Signs and verifies the datagrams of one protocol in one cluster.
///
/// The first key signs and each of them is accepted, so that keys can be replaced while the cluster runs.
#[derive(Clone)]
pub struct Authenticator {
    magic: [u8; 2],
    format: u8,
    prefix: Vec<u8>,
    keys: Vec<Hmac<Sha256>>,
}

impl Authenticator {
    /// Datagrams of the protocol `magic` in this format, for the cluster with this name.
    ///
    /// # Errors
    /// The name or a key is out of bounds, or there is no key.
    pub fn new(
        magic: [u8; 2],
        format: u8,
        cluster_name: &str,
        keys: &[Vec<u8>],
    ) -> Result<Self, AuthenticatorError> {
        let length = u8::try_from(cluster_name.len()).map_err(|_| AuthenticatorError::ClusterNameLength)?;
        if length == 0 || cluster_name.len() > MAX_CLUSTER_NAME_BYTES {
            return Err(AuthenticatorError::ClusterNameLength);
        }
        if keys.is_empty() {
            return Err(AuthenticatorError::NoKeys);
        }
        let keyed_mac = |key: &Vec<u8>| match Hmac::new_from_slice(key) {
            Ok(keyed_mac) if key.len() >= MIN_KEY_BYTES => Ok(keyed_mac),
            _ => Err(AuthenticatorError::KeyTooShort),
        };
        let keys = keys.iter().map(keyed_mac).collect::<Result<_, _>>()?;
        let prefix = [&magic[..], &[format, length], cluster_name.as_bytes()].concat();
        Ok(Authenticator { magic, format, prefix, keys })
    }

    /// What each datagram begins with; the payload is appended to it before [`Authenticator::sign`].
    pub fn prefix(&self) -> &[u8] {
        &self.prefix
    }

    /// Appends the MAC of all bytes so far.
    pub fn sign(&self, datagram: &mut Vec<u8>) {
        if let Some(key) = self.keys.first() {
            let mut mac = key.clone();
            mac.update(datagram);
            datagram.extend(&mac.finalize().into_bytes()[..MAC_BYTES]);
        }
    }

    /// Any bytes as a signed payload: what a faulty member that has the key could send.
    pub fn sign_payload(&self, payload: &[u8]) -> Vec<u8> {
        let mut datagram = [&*self.prefix, payload].concat();
        self.sign(&mut datagram);
        datagram
    }

    /// The payload of a datagram. Nothing of it may be used before this has passed.
    ///
    /// # Errors
    /// It is malformed, in a newer format, or not signed with a key in force.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], DecodeError> {
        let Some(([magic @ .., format], _)) = datagram.split_first_chunk::<3>() else {
            return Err(DecodeError::Malformed);
        };
        if *magic != self.magic || *format < self.format {
            return Err(DecodeError::Malformed);
        }
        if *format > self.format {
            return Err(DecodeError::UnsupportedFormat);
        }
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Malformed);
        }
        let rest = datagram.strip_prefix(&*self.prefix).ok_or(DecodeError::Unauthenticated)?;
        let payload_bytes = rest.len().checked_sub(MAC_BYTES).ok_or(DecodeError::Malformed)?;
        let (signed, mac) = datagram.split_at(self.prefix.len() + payload_bytes);
        if !self.keys.iter().any(|key| is_signed_by(key, signed, mac)) {
            return Err(DecodeError::Unauthenticated);
        }
        Ok(&rest[..payload_bytes])
    }
}

fn is_signed_by(key: &Hmac<Sha256>, signed: &[u8], mac: &[u8]) -> bool {
    let mut expected = key.clone();
    expected.update(signed);
    // Takes the same time wherever the two differ, so that a MAC can't be guessed byte by byte.
    expected.verify_truncated_left(mac).is_ok()
}
