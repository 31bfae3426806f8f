//! Simulator adapter: runs many instances of the alderstile policy behind the simulator's wire protocol.
//!
//! [`wire`] decodes batches and encodes replies, [`instances`] holds the instances. Neither makes decisions
//! itself.

pub mod instances;
pub mod wire;
