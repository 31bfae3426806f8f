//! The settings of an instance: what it is told at its start and whenever they change.

use super::time::Micros;

/// Whether a request may be retried after an attempt that may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: retrying does no harm.
    Idempotent,
    /// Has an idempotency key: the servers of this scope drop repeats for a time.
    Deduplicated(DedupScope),
    /// May run at most once.
    NotIdempotent,
}

/// The servers that drop one another's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// The objectives of one class of requests.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The latency objective of connection set-up.
    pub latency_objective: Micros,
    /// The priority weight beside other classes.
    pub priority_weight: f64,
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// How long repeats are dropped, from when the first attempt that may have run was forwarded.
    pub dedup_window: Micros,
    /// The latency objective of a message on an open connection, where stated.
    pub message_latency_objective: Option<Micros>,
}

/// What the weight of a listed endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing.
    Ignored,
    /// Its capacity, approximately.
    NominalCapacity,
    /// Its capacity less its recent load: the same late figure for all nodes.
    LiveLoad,
}

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Offered load divided by capacity.
    LoadRatio,
    /// Any other figure.
    Other,
}

/// The limit of a node's retries within any span of [`RetryBudget::window`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed whatever the traffic.
    pub min_retries: f64,
    /// Retries allowed in addition for each admitted request.
    pub retry_ratio: f64,
    /// The length of the sliding window.
    pub window: Micros,
}

/// What was counted in one bucket of a retry budget's sliding window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetBucket {
    /// The time of its first event.
    pub first_event: Micros,
    /// The time of its last event.
    pub last_event: Micros,
    /// Admitted requests.
    pub admitted: u32,
    /// Retries: attempts beyond requests' first.
    pub retries: u32,
}

/// What the operators charge for a node's work, as shares of the service; zero where none is stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Attempts that cross zones, for each request.
    pub cross_zone: f64,
    /// Migrations, for each request.
    pub migrations: f64,
    /// Probes, for each request.
    pub probe: f64,
    /// Server work that served nothing, for all the work offered.
    pub wasted_work: f64,
    /// New connections, for each request.
    pub connection_setup: f64,
    /// Priority weight that ended unserved after its latency objective, for all that was offered.
    pub late_failures: f64,
}

/// The quota of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// The tenant's quota, as a share of the service.
    pub quota_share: f64,
    /// New requests a second within it, over all nodes.
    pub quota_per_s: f64,
}

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// How many nodes share the servers, this one included.
    pub node_count: u32,
    /// This node's index among them, from 0 on, where stated.
    pub node_index: Option<u32>,
    /// The zone of this node.
    pub zone: u16,
    /// The classes of requests, by index.
    pub classes: Vec<ClassSettings>,
    /// The endpoint list has to be subscribed to; otherwise changes are pushed.
    pub must_subscribe: bool,
    /// The longest interval between polls of the endpoint list while there is no subscription.
    pub max_poll_interval: Micros,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Rejections may carry a Retry-After time.
    pub retry_after_allowed: bool,
    /// The longest Retry-After time that a client honours.
    pub max_retry_after: Micros,
    /// Servers may be probed.
    pub probes_allowed: bool,
    /// Messages may be sent to other nodes.
    pub gossip_allowed: bool,
    /// What the weight of a listed endpoint means.
    pub weight_meaning: WeightMeaning,
    /// Servers report how long messages take; otherwise only connection set-ups show that.
    pub servers_report_delay: bool,
    /// Connections are migrated away from a draining server before it stops.
    pub migrate_from_draining: bool,
    /// Connections of one group share work.
    pub groups: bool,
    /// That work on each server that holds any of a group, in typical connections.
    pub group_load: f64,
    /// The figures of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// The longest time that a started server takes to warm up.
    pub warm_up: Micros,
    /// The least share of its capacity that a started server has at once.
    pub warm_up_initial_capacity: f64,
    /// The multiple of its present capacity at which a warming-up server fails ...
    pub overload_multiple: f64,
    /// ... when it receives that much for this long.
    pub overload_window: Micros,
    /// The limit of retries, where one is stated.
    pub retry_budget: Option<RetryBudget>,
    /// How far a request's remaining time may be off, either way.
    pub deadline_tolerance: Micros,
    /// A server listed as gone, or left out of a full list, may still receive work unless it drained before.
    pub removal_is_advisory: bool,
    /// How far a listed start time may be off, either way.
    pub start_time_tolerance: Micros,
    /// The time after a drain notice within which forwarding has to stop; the decisions stop at once.
    pub drain_grace: Micros,
    /// What the operators charge.
    pub costs: Costs,
    /// The tenants, where quotas are stated.
    pub tenants: Vec<TenantSettings>,
    /// The CPU time that decisions may take, in microseconds a second, where stated.
    pub cpu_us_per_s: Option<f64>,
}
