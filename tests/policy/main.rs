//! Scenario tests of the policy, one rule per file: the common case and each known failure.

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
