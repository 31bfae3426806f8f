//! Hosts many instances of the alderstile decisions behind the drill wire.
//!
//! [`wire`] reads batches and writes replies, [`host`] keeps the instances. Neither decides anything.

pub mod host;
pub mod wire;
