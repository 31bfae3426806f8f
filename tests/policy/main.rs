//! The decisions by scenario, one rule a file: the ordinary path, and each failure that was found.

mod admission;
mod attempt_timeout;
mod effective_weight;
mod endpoints;
mod groups;
mod load_estimate;
mod message_delay;
mod outlier;
mod probe;
mod rebalance;
mod retry;
mod retry_budget;
mod selection;
mod slow_start;
#[path = "../support/mod.rs"]
mod support;
