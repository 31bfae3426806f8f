//! Schedules: TOML files that define the participants of a run and when faults are injected.
//!
//! `docs/lab.md` describes the format. A file is validated completely before anything runs; an error names
//! the line and the key.

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

/// Maximum number of nodes in a run on processes, which all run on one machine.
pub const MAX_PROCESSES: usize = 20;
/// Maximum number of emulated nodes, and of hosts.
pub const MAX_EMULATED_NODES: usize = 10_000;
/// Maximum number of occurrences of a repeated fault.
const MAX_REPETITIONS: f64 = 100_000.0;
/// Maximum length of a run, in seconds: one day.
const MAX_RUN_S: f64 = 86_400.0;
