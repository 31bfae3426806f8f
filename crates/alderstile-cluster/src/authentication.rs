//! Authentication of the cluster's datagrams, by a fixed prefix and a truncated HMAC-SHA-256.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | magic number of the protocol |
//! | 1 | format version of the protocol |
//! | 1, n | length of the cluster's name, and the name |
//! | ... | payload |
//! | 16 | first half of the HMAC-SHA-256 (RFC 2104, RFC 4868) of all preceding bytes, by a cluster key |

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The maximum length of a datagram, which every network path carries without fragmentation (RFC 9000,
/// section 14).
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The minimum length of a key: half of the length that HMAC-SHA-256 can use (RFC 2104, section 3).
pub const MIN_KEY_BYTES: usize = 16;
/// The maximum length of a cluster's name.
pub const MAX_CLUSTER_NAME_BYTES: usize = 40;
/// The length of the truncated MAC at the end of each datagram (RFC 4868, section 2.1.1).
pub const MAC_BYTES: usize = 16;

/// The reason why an [`Authenticator`] cannot be created.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AuthenticatorError {
    /// The cluster's name is empty or longer than [`MAX_CLUSTER_NAME_BYTES`].
    #[error("invalid cluster name: expected 1 to {MAX_CLUSTER_NAME_BYTES} bytes")]
    ClusterNameLength,
    /// The list of keys is empty.
    #[error("invalid keys: expected at least 1 key, found none")]
    NoKeys,
    /// A key is shorter than [`MIN_KEY_BYTES`].
    #[error("invalid key: expected at least {MIN_KEY_BYTES} bytes")]
    KeyTooShort,
}

/// The reason why a datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The datagram belongs to another cluster, or no accepted key signed it.
    #[error("datagram not signed with a key of this cluster")]
    Unauthenticated,
    /// The datagram has an unknown magic number, an older format, or an invalid length or payload.
    #[error("malformed datagram")]
    Malformed,
    /// The datagram is in a newer format than this program supports.
    #[error("unsupported datagram format: newer than this program supports")]
    UnsupportedFormat,
}

/// Signs and verifies the datagrams of one protocol in one cluster.
///
/// The first key signs, and every key is accepted, so that a key can be replaced while the cluster is
/// running.
#[derive(Clone)]
pub struct Authenticator {
    magic: [u8; 2],
    format: u8,
    prefix: Vec<u8>,
    keys: Vec<Hmac<Sha256>>,
}

impl Authenticator {
    /// Creates an authenticator for the protocol `magic` in version `format`, in the cluster `cluster_name`.
    ///
    /// # Errors
    /// Returns an error if the length of the name or of a key is out of bounds, or if there is no key.
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

    /// Returns the bytes that every datagram begins with. The caller appends the payload and calls
    /// [`Authenticator::sign`].
    pub fn prefix(&self) -> &[u8] {
        &self.prefix
    }

    /// Appends the MAC of all bytes of `datagram`.
    pub fn sign(&self, datagram: &mut Vec<u8>) {
        if let Some(key) = self.keys.first() {
            let mut mac = key.clone();
            mac.update(datagram);
            datagram.extend(&mac.finalize().into_bytes()[..MAC_BYTES]);
        }
    }

    /// Returns a datagram with an arbitrary payload and a valid MAC. Tests use it to simulate a faulty member
    /// that has the key.
    pub fn sign_payload(&self, payload: &[u8]) -> Vec<u8> {
        let mut datagram = [&*self.prefix, payload].concat();
        self.sign(&mut datagram);
        datagram
    }

    /// Verifies a datagram and returns its payload. Callers must not use any byte of a datagram that has not
    /// been verified.
    ///
    /// # Errors
    /// Returns an error if the datagram is malformed, in a newer format, or not signed by an accepted key.
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
    // The comparison takes constant time, so that an attacker cannot guess a MAC byte by byte.
    expected.verify_truncated_left(mac).is_ok()
}
