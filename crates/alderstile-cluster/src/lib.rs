//! What several nodes of alderstile settle among themselves.
//!
//! Cores without I/O: time, messages and randomness come as arguments, and what is to be sent or told is returned. The
//! node has the adapters; the lab plays the same cores in simulated time. `docs/cluster.md` has the design.

use sha2::{Digest, Sha256};

pub mod authentication;
pub mod host_assignment;
pub mod membership;
pub mod replicated_config;
pub mod subsetting;

/// A number for a name, the same on every machine and at every start (FNV-1a: Fowler, Noll and Vo).
pub fn hashed(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// The first eight bytes of the SHA-256 of something, as a number: alike at all nodes that have the same.
pub fn digest(bytes: &[u8]) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = Sha256::digest(bytes).0;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
