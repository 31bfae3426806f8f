//! Hosts many instances of the alderstile decisions behind the drill wire.
//!
//! [`wire`] reads batches and writes replies, [`settings`] reads what an instance is told at its start, and
//! [`host`] keeps the instances. None of them decides anything.

pub mod host;
pub mod settings;
pub mod wire;
