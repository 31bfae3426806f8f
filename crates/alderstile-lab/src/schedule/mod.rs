//! Schedules: what a run consists of and which faults come when, as a TOML file.
//!
//! The format is described in `docs/lab.md`. A file is checked whole before anything runs; an error names the line
//! and the key.

mod errors;
mod faults;
mod parse;
mod parties;
mod plan;
mod schema;

pub use errors::{PartyError, ScheduleError};
pub use faults::{Fault, FaultKind, FaultTarget, PlannedFault};
pub use parties::Party;
pub use plan::Plan;
pub use schema::{
    ClientClass, Feature, Hosts, Idempotency, LinkDefaults, Members, Nodes, Schedule, Subsetting,
};

/// Processes that one machine is asked to bear.
pub const MAX_PROCESSES: usize = 20;
/// Emulated nodes.
pub const MAX_EMULATED_NODES: usize = 10_000;
/// Times that one fault may come again.
const MAX_REPETITIONS: f64 = 100_000.0;
/// The longest run, seconds: a day.
const MAX_RUN_S: f64 = 86_400.0;
