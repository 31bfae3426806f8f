//! alderstile decides where long-lived connections go and when they move.
//!
//! The library does no input or output of its own: [`policy::Policy`] is handed one event at a time
//! with the time at which it happened, and answers with actions. [`interface`] holds the words that
//! both sides use.

pub mod interface;
pub mod policy;
