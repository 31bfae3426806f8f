//! The words in which a host program and the decisions speak: settings, events and actions.
//!
//! Nothing here decides anything, and nothing here knows how the words travel.

use std::fmt;
use std::ops::{Add, Sub};

/// A point in time or a span of it, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Micros(ms * 1_000)
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span scaled by `factor`, which must not be negative.
    pub fn scale(self, factor: f64) -> Self {
        Micros((self.0 as f64 * factor) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

/// Saturates at zero: a span that would be negative is none.
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// A request, and the connection that it becomes. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server. A process that restarts keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// As an address and a port: 32 bits and 16 bits of the number.
impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |shift: u32| self.0 >> shift & 0xff;
        write!(f, "{}.{}.{}.{}:{}", part(40), part(32), part(24), part(16), self.0 & 0xffff)
    }
}

/// A group of connections that share work on each server that holds any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

/// What the host program may choose for a timer; it comes back with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

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

/// What a server list says of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It may be sent new work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It serves on: what this node holds there stays, and new work goes elsewhere. No list says so, the cluster does.
    Aside,
    /// It is no more.
    #[default]
    Gone,
}

/// A line of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: ServerState,
    /// Its weight; [`Settings::weights`] tells the meaning.
    pub weight: f64,
    /// When it last started; none if long ago.
    pub started: Option<Micros>,
    /// When the cluster gave it to this node, whose record of it says little until a while after; none if long ago.
    pub joined: Option<Micros>,
}

impl ServerEntry {
    /// Whether it may be sent new work.
    pub fn ready(&self) -> bool {
        self.state == ServerState::Ready
    }
}

/// Which list has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// All lines; a server that is missing is gone.
    Full,
    /// All lines as last held before this start; they may be stale.
    Cached,
    /// A call failed or the subscription broke; the list held goes on.
    Failed,
}

/// How an attempt or a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn, or the client left.
    Cancelled,
    /// Never sent.
    Moot,
    /// The node itself did not send it: what it was decided by was no longer so when the connection was up.
    Unsent,
}

impl Outcome {
    /// Whether the attempt may have had an effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Unsent)
    }
}

/// What a client asks for.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: u16,
    /// Its group, where connections share work.
    pub group: Option<GroupId>,
    /// Its expected load in microseconds of work a second.
    pub hint: Option<f64>,
    /// The time after which the client gives up this try.
    pub remaining: Micros,
    /// What it is about; the same for all tries of one client.
    pub key: Option<u64>,
    /// Packets of a connection that some server already holds.
    pub mid_flow: bool,
}

/// What has happened. Everything in one call happened at the call's time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list.
    List(ListKind, Vec<ServerEntry>),
    /// A client's request: owed one final answer.
    Request(Request),
    /// A connection that was open already when this node started.
    Open(Request, ServerId),
    /// An attempt became a connection.
    Established {
        /// The request.
        id: RequestId,
        /// Time since the attempt was sent.
        latency: Micros,
    },
    /// An attempt ended, or the connection that it had become.
    Ended {
        /// The request.
        id: RequestId,
        /// The server it was sent to.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// The request has its final answer; otherwise it is still owed.
        closed: bool,
        /// The server's load report, if one came along.
        report: Vec<f64>,
    },
    /// The load of a connection now, in microseconds of work a second.
    LoadTold(RequestId, f64),
    /// Milliseconds that a message takes at a server now.
    DelayTold(ServerId, f64),
    /// The client has left; nothing is owed.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(TimerToken),
    /// A probe's result.
    Probed {
        /// The server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Its load report, if one came along.
        report: Vec<f64>,
    },
    /// A message of another node.
    Peer(u32, Vec<u8>),
    /// Other settings from now on. A class keeps its number; there are as many as before at least.
    Settings(Box<Settings>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt; no time-out means until the client gives up.
    Send(RequestId, ServerId, Option<Micros>),
    /// Final answer: declined, a further try does no harm; perhaps not before the time named.
    Refuse(RequestId, Option<Micros>),
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// End a connection politely; its client comes again.
    Move(RequestId),
    /// Wake me after this time with this token.
    SetTimer(Micros, TimerToken),
    /// Subscribe to the server list.
    Watch,
    /// Probe a server.
    Probe(ServerId),
    /// Send a message to all other nodes.
    TellAll(Vec<u8>),
    /// A line for people, and the server that it is about.
    Log(Option<ServerId>, String),
}
