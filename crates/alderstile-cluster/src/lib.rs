//! What several nodes of alderstile agree on among themselves: state machines without I/O.
//!
//! - [`membership`]: who is in the cluster, by gossip and failure detection.
//! - [`replicated_config`]: the configuration that all nodes run with, by Raft.
//! - [`subsetting`]: which hosts each node uses, and for which share of its traffic.
//! - [`host_assignment`]: a subset laid over the endpoint list.
//! - [`authentication`]: the MAC of the datagrams.
//!
//! Time, messages and randomness come as arguments, and what is to be sent or reported is returned. The node has the
//! adapters; the lab plays the same state machines in simulated time. `docs/cluster.md` has the design.

use sha2::{Digest, Sha256};

pub mod authentication;
pub mod host_assignment;
pub mod membership;
pub mod replicated_config;
pub mod subsetting;

/// A hash of a name, the same on every machine and at every start (FNV-1a: Fowler, Noll and Vo).
pub fn name_hash(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// The first eight bytes of the SHA-256 of some content: nodes with the same digest have the same content.
pub fn content_digest(bytes: &[u8]) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = Sha256::digest(bytes).0;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
