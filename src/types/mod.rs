//! Types exchanged between the embedding program and the policy: settings, events and actions.
//!
//! This module contains no decisions and no serialization.

mod action;
mod endpoint;
mod event;
mod id;
mod request;
mod settings;
mod time;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointListKind, EndpointState};
pub use event::Event;
pub use id::{GroupId, RequestId, ServerId, TimerToken};
pub use request::{Outcome, Request};
pub use settings::{
    BalancerSettings, ClassSettings, Costs, DedupScope, Idempotency, ReportField, RetryBudget,
    RetryBudgetBucket, TenantSettings, WeightMeaning,
};
pub use time::Micros;
