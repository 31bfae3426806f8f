//! The balancer on sockets: takes clients in, places them by the alderstile decisions, and relays their lines.
//!
//! One folder for each concern, one file for each job. [`node`] is what all tasks share, everything runs on one
//! thread, and nothing here decides where a client goes: that is the library's.

pub mod admin;
pub mod clock;
pub mod commands;
pub mod config;
pub mod control;
pub mod decisions;
pub mod discovery;
pub mod lifecycle;
pub mod node;
pub mod proxy;
pub mod state_file;
