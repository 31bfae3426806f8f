//! The simulator's adapter: runs many instances of the alderstile decisions behind the simulator's wire.
//!
//! [`wire`] reads batches and writes replies, [`instances`] keeps the instances. Neither decides anything.

pub mod instances;
pub mod wire;
