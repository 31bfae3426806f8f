//! The types in which a host program and the decisions speak: settings, events and actions.
//!
//! Nothing here decides anything, and nothing here knows how they travel.

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
