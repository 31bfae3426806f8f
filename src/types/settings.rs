//! The settings of an instance: what it is told at its start and whenever they change.

use super::time::Micros;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Repeating it does no harm.
    Retryable,
    /// The servers of one group drop repeats of it for a time.
    Dedup(DedupGroup),
    /// It may run once only.
    Fragile,
}

/// The servers that drop one another's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What a class of requests asks for.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// A set-up within this time has its full worth.
    pub aim: Micros,
    /// What serving it is worth, beside other classes.
    pub worth: f64,
    /// Whether it may be repeated.
    pub semantics: Semantics,
    /// How long repeats are dropped, from the sending of the first attempt that may have run.
    pub dedup_window: Micros,
    /// The time within which a message on an open connection is wanted, where stated.
    pub message_aim: Option<Micros>,
}

/// What the weight of a listed server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    None,
    /// Its size, to a fair degree.
    Size,
    /// Its size lowered by what it holds, some time ago: the same late figure for all nodes.
    Live,
}

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Load asked over what the server can do.
    LoadRatio,
    /// Any other figure.
    Other,
}

/// How many attempts beyond requests' first ones a node may make (MORE, "Budget for attempts").
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendBudget {
    /// So many whatever the traffic.
    pub free: f64,
    /// So many more for each request taken.
    pub ratio: f64,
    /// Both count over any span of this length.
    pub over: Micros,
}

/// What was counted in a part of such a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// When its first event was.
    pub from: Micros,
    /// When its last event was.
    pub to: Micros,
    /// Requests taken.
    pub taken: u32,
    /// Attempts beyond requests' first.
    pub further: u32,
}

/// What the operators charge for what a node does, in shares of the service; nothing where none is stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Attempts that cross zones, for each first try.
    pub cross_zone: f64,
    /// Moves, for each first try.
    pub moves: f64,
    /// Probes, for each first try.
    pub probe: f64,
    /// Work that served nothing, for all the work offered.
    pub waste: f64,
    /// New connections, for each first try.
    pub handshake: f64,
    /// Worth that ended unserved after its aim, for all the worth offered.
    pub late_fail: f64,
}

/// One who shares the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// The part of the service that is this tenant's.
    pub share: f64,
    /// New requests a second within it, at all nodes together.
    pub quota_per_s: f64,
}

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many nodes share the servers, this one included.
    pub balancers: u32,
    /// This node's number among them, from 0 on, where it is told.
    pub index: Option<u32>,
    /// The zone of this node.
    pub zone: u16,
    /// The classes of requests, by their number.
    pub classes: Vec<ClassSettings>,
    /// The server list must be asked for; otherwise changes are pushed.
    pub must_ask: bool,
    /// Without a subscription the list must be asked for at least this often.
    pub must_ask_in: Micros,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Final refusals may carry a time after which to come back.
    pub retry_after: bool,
    /// The longest such time that a client honours.
    pub max_retry_after: Micros,
    /// Servers may be probed.
    pub probes: bool,
    /// Peers may be sent messages.
    pub may_tell: bool,
    /// What the weight of a listed server means.
    pub weights: Weights,
    /// Servers tell how long messages take; otherwise only set-ups show that.
    pub tells_delay: bool,
    /// Clients of a draining server are to be moved before it stops.
    pub empty_draining: bool,
    /// Connections of one group share work.
    pub groups: bool,
    /// That work on each server that holds any of a group, in usual connections.
    pub group_load: f64,
    /// The figures of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// A started server is warm after this at most.
    pub cold: Micros,
    /// A started server has at least this share of its capacity.
    pub cold_from: f64,
    /// A cold server that is sent this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub overload_for: Micros,
    /// The limit of further attempts, where one is stated.
    pub resends: Option<ResendBudget>,
    /// How far the time left on a request may be off, either way.
    pub deadline_drift: Micros,
    /// Only draining binds: a server listed as gone, or left out, that did not drain may still be sent to.
    pub gone_is_advice: bool,
    /// How far a listed start may be off, either way.
    pub stamp_doubt: Micros,
    /// Sending must stop this long after a drain was told of at the latest; the decisions stop at once.
    pub drain_grace: Micros,
    /// What is charged.
    pub prices: Prices,
    /// Those who share the service, where shares are stated.
    pub tenants: Vec<TenantSettings>,
    /// The CPU that decisions may take, in microseconds a second, where stated.
    pub cpu_us_per_s: Option<f64>,
}
