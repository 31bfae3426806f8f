//! Settings of a policy instance, given at its start and on each change.

use super::time::Micros;

/// Whether a request may be retried after an attempt that may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request is idempotent and can always be retried.
    Idempotent,
    /// The request carries an idempotency key, and the servers of this scope ignore duplicates for
    /// a limited time.
    Deduplicated(DedupScope),
    /// The request must be executed at most once.
    NotIdempotent,
}

/// Set of servers that share their records of duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Objectives and retry rules of one class of requests.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Latency objective of connection setup.
    pub latency_objective: Micros,
    /// Priority relative to other classes.
    pub priority_weight: f64,
    /// Whether requests of the class may be retried.
    pub idempotency: Idempotency,
    /// How long servers ignore duplicates, measured from the forwarding of the first attempt that
    /// may have been executed.
    pub dedup_window: Micros,
    /// Latency objective of a message on an open connection, if there is one.
    pub message_latency_objective: Option<Micros>,
}

/// Meaning of an endpoint's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// The weight has no meaning.
    Ignored,
    /// The weight is approximately proportional to the server's capacity.
    NominalCapacity,
    /// The weight is the server's capacity less its recent load. All nodes receive the same delayed
    /// value.
    LiveLoad,
}

/// One field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Offered load divided by capacity.
    LoadRatio,
    /// Any other field; the policy ignores it.
    Other,
}

/// Limit on a node's retries within any interval of length [`RetryBudget::window`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries allowed regardless of traffic.
    pub min_retries: f64,
    /// Number of additional retries allowed per admitted request.
    pub retry_ratio: f64,
    /// Length of the sliding window.
    pub window: Micros,
}

/// Events counted in one bucket of a retry budget's sliding window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetBucket {
    /// Time of the first event.
    pub first_event: Micros,
    /// Time of the last event.
    pub last_event: Micros,
    /// Number of admitted requests.
    pub admitted: u32,
    /// Number of retries, which are attempts other than the first of a request.
    pub retries: u32,
}

/// Costs that the operators assign to a node's actions, as shares of the value of the service. A
/// cost that the settings omit is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Cost of attempts that cross zones, per request.
    pub cross_zone: f64,
    /// Cost of migrations, per request.
    pub migrations: f64,
    /// Cost of probes, per request.
    pub probe: f64,
    /// Cost of server work without a result, relative to all offered work.
    pub wasted_work: f64,
    /// Cost of new connections, per request.
    pub connection_setup: f64,
    /// Cost of requests that failed after their latency objective, weighted by priority and
    /// relative to all offered requests.
    pub late_failures: f64,
}

/// Quota of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// Quota as a share of the service.
    pub quota_share: f64,
    /// Quota in new requests per second, over all nodes.
    pub quota_per_s: f64,
}

/// Settings of a policy instance.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Number of nodes that share the servers, including this one.
    pub node_count: u32,
    /// Index of this node, starting at 0, if it is known.
    pub node_index: Option<u32>,
    /// Zone of this node.
    pub zone: u16,
    /// Request classes, in the order of their indices.
    pub classes: Vec<ClassSettings>,
    /// Whether the node has to subscribe to the endpoint list. Otherwise changes are pushed to it.
    pub must_subscribe: bool,
    /// Maximum interval between polls of the endpoint list while there is no subscription.
    pub max_poll_interval: Micros,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether rejections may carry a Retry-After time.
    pub retry_after_allowed: bool,
    /// Maximum Retry-After time that clients honour.
    pub max_retry_after: Micros,
    /// Whether servers may be probed.
    pub probes_allowed: bool,
    /// Whether messages may be sent to other nodes.
    pub gossip_allowed: bool,
    /// Meaning of an endpoint's weight.
    pub weight_meaning: WeightMeaning,
    /// Whether servers report their message delays. Otherwise delays are derived from connection
    /// setups.
    pub servers_report_delay: bool,
    /// Whether connections are migrated away from a draining server before it stops.
    pub migrate_from_draining: bool,
    /// Whether the connections of a group share work.
    pub groups: bool,
    /// Shared work of a group on each server with at least one of its connections, in multiples of
    /// a typical connection's load.
    pub group_load: f64,
    /// Fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// Maximum time that a server takes to warm up after its start.
    pub warm_up: Micros,
    /// Minimum share of its capacity that a server has immediately after its start.
    pub warm_up_initial_capacity: f64,
    /// Multiple of its current capacity at which a warming-up server is overloaded and fails.
    pub overload_multiple: f64,
    /// How long a warming-up server withstands that multiple.
    pub overload_window: Micros,
    /// Limit on retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Maximum error of a request's remaining time, in either direction.
    pub deadline_tolerance: Micros,
    /// Whether a removed server may still receive requests, unless it was draining before its
    /// removal.
    pub removal_is_advisory: bool,
    /// Maximum error of a listed start time, in either direction.
    pub start_time_tolerance: Micros,
    /// Time after a drain notice within which forwarding has to stop. The policy stops at once.
    pub drain_grace: Micros,
    /// Costs that the operators assign to a node's actions.
    pub costs: Costs,
    /// Tenants, empty if there are no quotas.
    pub tenants: Vec<TenantSettings>,
    /// CPU time available to the policy, in microseconds per second, if it is limited.
    pub cpu_us_per_s: Option<f64>,
}
