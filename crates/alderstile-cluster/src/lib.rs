//! Coordination between the nodes of an alderstile cluster, as state machines without I/O.
//!
//! - [`membership`]: cluster membership by gossip and failure detection (SWIM).
//! - [`replicated_config`]: the configuration that all nodes run with, replicated by Raft.
//! - [`subsetting`]: the hosts that each node uses, and each host's share of the node's traffic.
//! - [`host_assignment`]: applies a node's subset to the endpoint list.
//! - [`authentication`]: the message authentication code (MAC) of the datagrams.
//!
//! Time, messages and randomness are arguments; datagrams to send and events to report are return values. The
//! node provides the I/O adapters, and the lab runs the same state machines in simulated time.
//! `docs/cluster.md` describes the design.

use sha2::{Digest, Sha256};

pub mod authentication;
pub mod host_assignment;
pub mod membership;
pub mod replicated_config;
pub mod subsetting;

/// Returns a hash of a name that is the same on every machine and in every process (64-bit FNV-1a: Fowler,
/// Noll and Vo).
pub fn name_hash(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// Returns the first eight bytes of the SHA-256 of `bytes`, little-endian. Nodes compare digests to find out
/// whether they have the same content.
pub fn content_digest(bytes: &[u8]) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = Sha256::digest(bytes).0;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
