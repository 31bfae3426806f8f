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
pub use faults::{About, Fault, Kind, Planned};
pub use parties::Actor;
pub use plan::Plan;
pub use schema::{Choices, Clients, Hosts, Members, Nodes, Part, Schedule, Semantics, Ways};

/// Processes that one machine is asked to bear.
pub const MOST_PROCESSES: usize = 20;
/// Emulated nodes.
pub const MOST_EMULATED: usize = 10_000;
/// Times that one fault may come again.
const MOST_TIMES: f64 = 100_000.0;
/// The longest run, seconds: a day.
const LONGEST_S: f64 = 86_400.0;
