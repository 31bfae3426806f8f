//! All decisions of a node; the words they use are in `src/types/`.
//!
//! The ordinary path: a connection lands on the server lowest in this node's own record, and every second
//! a server that stands above this node's mean for several periods sheds its excess. `docs/design.md` says
//! where that comes from and when each exception acts.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::types::*;

mod record;
mod sums;
mod watch;

use record::{Conn, Stage};
use sums::{LOAD_LIMIT, Ledger, Mean, drop_one, is_load, lot, passed, shared_chance};

/// The design's period: loads are summed and compared this often.
const PERIOD: Micros = Micros::from_millis(1_000);
/// The design's bar: a server this far above the mean sheds.
const BAR: f64 = 1.1;
/// Periods above the bar before a server sheds: a load that swings by itself is back under it by then.
const PERIODS_ABOVE: u32 = 3;
/// The share of a server's connections that one period may move, rounded down: few tell too little.
const MOVE_SHARE: f64 = 0.1;
/// The same where the server's messages are late: those connections lose more by staying.
const REACTIVE_SHARE: f64 = 0.5;
/// From this share of the warm servers on the fleet as a whole is late: what moves finds no room, and late
/// servers move no more than others, whole connections by chance.
const ALL_LATE: f64 = 0.9;
/// The reactive trigger: messages take this share of the shortest message aim, from which on they are told.
const LATE_SHARE: f64 = 1.0 / 3.0;
/// A told delay counts this long; notes come once a second while messages are late.
const DELAY_FRESH: Micros = Micros::from_millis(1_600);
/// The same for a server that holds none of this node's connections.
const DELAY_UNSEEN: Micros = Micros::from_millis(30_000);
/// Below this many connections on a server, in the mean, the own record tells next to nothing of a server.
const FEW: f64 = 1.0;
/// Piled work that was told is to be gone after this long.
const DRAIN: Micros = Micros::from_millis(1_000);
/// What counts of what a server was seen to manage: a late one is brought to that, a cold one is sent by it.
const MARGIN: f64 = 0.7;
/// The lowest believed speed: a server is never written off for good.
const SPEED_FLOOR: f64 = 0.1;
/// Messages that take this long at once, and longer no faster than time passes, wait for a server that stands
/// still: a queue that grows to that between two notes goes on growing so. The second in seconds a second.
const STILL: Micros = Micros::from_millis(2_000);
const STILL_GROWTH: f64 = 1.5;
/// What a period without late messages gives back.
const SPEED_GAIN: f64 = 0.04;
/// The first pause in sending to a server after a failed set-up; it doubles with each further one.
const PAUSE_FIRST: Micros = Micros::from_millis(1_000);
/// The longest pause, as a number of doublings.
const PAUSE_DOUBLINGS: u32 = 4;
/// Nodes that try a server that is down in turn, at most, or it would wait for long.
const TURNS: f64 = 16.0;
/// Failures without a clear while between them that are worth a line.
const PAUSE_TOLD: u32 = 3;
/// After this long without a failure the next pause is the first again.
const PAUSE_FORGOTTEN: Micros = Micros::from_millis(8_000);
/// What a warm server can do beside what it holds: fleets are seldom more than half full.
const SPARE: f64 = 2.0;
/// A connection joins its group while all nodes together would hold no more than this multiple of the mean.
const GROUP_BAR: f64 = 1.25;
/// A group begins on the square root of the servers' number and so many more, alike at all nodes.
const GROUP_SPARE: f64 = 2.0;
/// Further attempts that each first attempt earns: in a storm, retries add no more than this to the load.
const RETRY_EARN: f64 = 0.2;
/// Further attempts that may be saved up.
const RETRY_CAP: f64 = 10.0;
/// Above this running share of attempts that ran into their time-out, no further ones have one.
const UNANSWERED: f64 = 0.15;
/// An attempt may take this many usual set-ups, the set-up aim at least.
const UNUSUAL: f64 = 4.0;
/// Where crossing zones is charged for, a server in the own zone draws so much more than one in another.
const NEAR: f64 = 3.0;
/// The first wait before the list is asked for again; doubled after each failure.
const ASK_AGAIN: Micros = Micros::from_millis(500);
/// So many times at most.
const ASK_DOUBLINGS: u32 = 2;
/// What a period gives back of the load at which a server was full.
const LIMIT_GAIN: f64 = 1.05;
/// The share of a full server's room that is kept for the classes worth most for their load.
const RESERVED: f64 = 0.5;
/// A told load ratio counts this long.
const SEEN_FRESH: Micros = Micros::from_millis(2_000);
/// A server is passed over above this ratio of load to what it can do: a heavy connection still fits below.
const CROWDED: f64 = 0.7;
/// Servers that a request may look at by a probe before it lands.
const LOOKS: u32 = 3;
/// A probe that found a server running counts this long.
const FOUND_FRESH: Micros = Micros::from_millis(8_000);
/// Probes of what is called gone that may be saved up; each request taken earns one.
const PROBE_CAP: f64 = 3.0;
/// The longest wait for a look: a small share of any set-up aim.
const LOOK_WAIT: Micros = Micros::from_millis(50);
/// Where only set-ups tell of delays, each server is to have one this often, by any node.
const SETUP_EVERY: Micros = Micros::from_millis(2_000);
/// Delays above this are no delays: a minute.
const DELAY_LIMIT_MS: f64 = 60_000.0;
/// Log lines in a period, at most: a storm must not drown its own causes.
const LOG_LINES: u32 = 4;

/// Wakes the period.
const TOKEN_PERIOD: TimerToken = TimerToken(0);
/// Wakes the asking for the list.
const TOKEN_ASK: TimerToken = TimerToken(1);
/// Marks the tokens of looks; the rest is the request's number.
const TOKEN_LOOK: u64 = 1 << 63;

/// From which delay on a server's messages are late.
fn late_at(settings: &BalancerSettings) -> Micros {
    let shortest =
        settings.classes.iter().map(|c| c.message_latency_objective.unwrap_or(c.latency_objective)).min();
    shortest.unwrap_or(Micros(0)).scale(LATE_SHARE)
}

/// On how many of so many servers a group may begin, the same at all nodes.
fn reach(servers: usize) -> usize {
    ((servers as f64).sqrt() + GROUP_SPARE) as usize
}

/// What was told of the time that messages take at a server.
#[derive(Clone, Copy)]
struct Delay {
    /// That time.
    span: Micros,
    at: Micros,
    /// It stands still, or did until it works off what has piled up.
    still: bool,
    /// Seconds by which it grew each second, from the note before.
    growth: f64,
    /// It does not count yet.
    doubt: bool,
}

/// What this node holds of one server.
#[derive(Default)]
struct Server {
    entry: Endpoint,
    /// The latest time at which it may have started, none if long ago.
    started: Option<Micros>,
    told_sum: f64,
    untold: BTreeMap<u16, u32>,
    groups: BTreeMap<GroupId, u32>,
    conns: BTreeSet<RequestId>,
    above: u32,
    /// Believed lack of speed beside the others, none unless messages were late.
    slowness: f64,
    delay: Option<Delay>,
    /// When this node last sent it a request.
    sent: Micros,
    /// The own record at which it was seen to be full, let out again a little each period.
    limit: Option<f64>,
    failures: u32,
    /// It could not be reached from here or had no room, until a set-up succeeds.
    shut: bool,
    /// It took no connection while this node had none there.
    fell: bool,
    /// It was told to drain, and not to be ready since.
    drains: bool,
    /// When a probe last found it running, and when one was last sent.
    found: Option<Micros>,
    probed: Micros,
    /// The list that called it gone, by its number: those that one list calls gone are judged together.
    called: u32,
    paused_until: Micros,
    /// While cold: the connections that it may still be sent, from when on they are lost, and parts of one.
    permits: u32,
    kept_until: Micros,
    credit: f64,
    /// The load ratio last probed, and when.
    seen: Option<(f64, Micros)>,
    /// Requests that wait for it.
    lookers: Vec<RequestId>,
}

/// The decisions of one node.
pub struct Policy {
    set: BalancerSettings,
    rng: Pcg64Mcg,
    servers: Vec<Server>,
    by_id: BTreeMap<ServerId, usize>,
    conns: BTreeMap<RequestId, Conn>,
    /// The usual load of a connection, by class and over all, as first told; loads told of those held.
    class_load: Vec<Mean>,
    usual_load: Mean,
    held_load: Vec<(f64, u32)>,
    /// What a set-up usually takes, at all servers.
    usual_setup_ms: Mean,
    /// What warm servers usually held of late, as [`Policy::held`].
    usual_held: Mean,
    /// The share of set-ups that ran into their time-out.
    unanswered: Mean,
    /// Requests taken a second, usually, and in this period so far; attempts that are out.
    usual_taken: Mean,
    taken: u32,
    trying: u32,
    /// Saved further attempts, where no budget is stated, and their count where one is.
    retry_tokens: f64,
    ledger: Ledger,
    ask_failures: u32,
    /// A timer for asking again is set.
    asking: bool,
    /// Lists that came, and those whose word on what is gone has been shown to be wrong.
    lists: u32,
    doubted: BTreeSet<u32>,
    /// Saved probes of what is called gone.
    probe_tokens: f64,
    /// How much more a server in the own zone draws.
    near: f64,
    /// Log lines that this period may still write.
    log_left: u32,
    late_at: Micros,
    /// Seconds that connections have stood in all, and how many of them ended by themselves.
    stood: f64,
    ended: u32,
}

impl Policy {
    /// A node that has just started and holds nothing.
    pub fn new(settings: BalancerSettings, seed: u64, _now: Micros) -> Self {
        let classes = settings.classes.len();
        Policy {
            late_at: late_at(&settings),
            set: settings,
            stood: 0.0,
            ended: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            by_id: BTreeMap::new(),
            conns: BTreeMap::new(),
            class_load: vec![Mean::default(); classes],
            usual_load: Mean::default(),
            held_load: vec![(0.0, 0); classes],
            usual_setup_ms: Mean::default(),
            usual_held: Mean::default(),
            unanswered: Mean::default(),
            usual_taken: Mean::default(),
            taken: 0,
            trying: 0,
            retry_tokens: RETRY_CAP,
            ledger: Ledger::default(),
            ask_failures: 0,
            asking: false,
            lists: 0,
            doubted: BTreeSet::new(),
            probe_tokens: PROBE_CAP,
            near: 1.0,
            log_left: LOG_LINES,
        }
    }

    /// Timers and questions with which a node begins.
    pub fn start(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(PERIOD.scale(self.rng.random::<f64>()), TOKEN_PERIOD));
        if self.set.must_subscribe {
            // Nodes that start together must not ask together: the list is one service for all of them.
            let spread =
                ASK_AGAIN.scale(f64::from(self.set.node_count)).min(self.set.max_poll_interval).scale(0.5);
            actions.push(Action::SetTimer(spread.scale(self.rng.random::<f64>()), TOKEN_ASK));
        }
    }

    /// Takes in one event and adds what is to be done about it. Events that name what is unknown or has
    /// ended are ignored.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList(kind, entries) => self.list(now, kind, entries, out),
            Event::Request(request) => {
                self.retry_tokens = (self.retry_tokens + RETRY_EARN).min(RETRY_CAP);
                self.probe_tokens = (self.probe_tokens + 1.0).min(PROBE_CAP);
                self.count(now, 1, 0);
                self.taken += 1;
                let conn = self.conn(now, request);
                self.attempt(now, conn, out);
            }
            Event::ExistingConnection(request, server) => self.open(now, request, server),
            Event::Established { id, latency } => self.established(now, id, latency, out),
            Event::Ended { id, outcome, closed, .. } => self.ended(now, id, outcome, closed, out),
            Event::LoadReported(id, load) => self.load_told(id, load),
            Event::DelayReported(server, ms) => self.delay_told(now, server, ms, false),
            Event::ClientDisconnected(id) => {
                if let Some(conn) = self.conns.remove(&id) {
                    self.ended += u32::from(matches!(conn.stage, Stage::Open(_)));
                    self.leave(&conn);
                }
            }
            Event::Timer(TOKEN_PERIOD) => self.period(now, out),
            Event::Timer(TOKEN_ASK) => {
                self.asking = false;
                out.push(Action::WatchEndpoints);
            }
            Event::Timer(TimerToken(id)) => self.looked(now, RequestId(id & !TOKEN_LOOK), LOOKS, out),
            Event::ProbeCompleted { server, outcome, report } => {
                self.probed(now, server, outcome, &report, out)
            }
            Event::PeerMessage(_, data) => self.heard(now, &data),
            Event::SettingsChanged(settings) => {
                // The record stays, and so does what was decided; the next attempt goes by the new word.
                self.late_at = late_at(&settings);
                self.class_load.resize(settings.classes.len(), Mean::default());
                self.held_load.resize(settings.classes.len(), (0.0, 0));
                if self.set.retry_budget.is_none() {
                    self.ledger.since = self.ledger.since.max(now);
                }
                self.set = *settings;
            }
        }
    }

    fn count(&mut self, now: Micros, taken: u32, further: u32) {
        if let Some(budget) = self.set.retry_budget {
            self.ledger.add(now, budget.window, taken, further);
        }
    }

    fn log(&mut self, of: Option<ServerId>, line: String, out: &mut Vec<Action>) {
        if self.log_left > 0 {
            self.log_left -= 1;
            out.push(Action::Log(of, line));
        }
    }

    // ---- the server list ----

    fn list(&mut self, now: Micros, kind: EndpointListKind, entries: Vec<Endpoint>, out: &mut Vec<Action>) {
        if kind == EndpointListKind::Failed {
            // A subscription that broke is asked for again, later each time but within the list's own limit.
            // From the list's return until what it has counts as told: half for the wait, half for its queue.
            let wait = ASK_AGAIN.scale(f64::from(1 << self.ask_failures.min(ASK_DOUBLINGS)));
            let wait = wait.scale(0.5 + self.rng.random::<f64>()).min(self.set.max_poll_interval.scale(0.5));
            if self.set.must_subscribe && !self.asking {
                self.asking = true;
                self.ask_failures += 1;
                out.push(Action::SetTimer(wait, TOKEN_ASK));
                self.log(None, format!("list: call failed, asking again in {} ms", wait.0 / 1_000), out);
            }
            return;
        }
        self.ask_failures = 0;
        self.lists += 1;
        if kind != EndpointListKind::Delta {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
            for server in self.servers.iter_mut().filter(|s| !named.contains(&s.entry.id)) {
                if server.entry.state != EndpointState::Gone {
                    (server.entry.state, server.called) = (EndpointState::Gone, self.lists);
                }
            }
        }
        for entry in entries {
            self.listed(now, entry);
        }
        self.doubt(now);
        self.weigh_zones(now);
    }

    fn listed(&mut self, now: Micros, entry: Endpoint) {
        let s = *self.by_id.entry(entry.id).or_insert(self.servers.len());
        if s == self.servers.len() {
            // Somewhere within its turn: with many nodes what was never used would be due at nearly all.
            let sent = now - self.turn().scale(self.rng.random::<f64>());
            let entry = Endpoint { started: None, ..entry };
            self.servers.push(Server { entry, sent, ..Server::default() });
        }
        if self.servers[s].entry.started != entry.started {
            // This node's place in the turns that the nodes take at a cold server.
            let nodes = u64::from(self.set.node_count);
            let place = self.set.node_index.map_or_else(|| self.rng.random(), u64::from);
            let server = &mut self.servers[s];
            server.credit = (place.wrapping_add(entry.id.0) % nodes) as f64 / nodes as f64;
            // Guards against stamps that are off: what is heard of has started by then.
            server.started = entry.started.map(|started| (started + self.set.start_time_tolerance).min(now));
            // A process that starts anew has no history.
            (server.slowness, server.delay, server.limit, server.above) = (0.0, None, None, 0);
            (server.failures, server.shut, server.permits, server.paused_until) = (0, false, 0, Micros(0));
            server.kept_until = Micros(0);
        }
        let server = &mut self.servers[s];
        if entry.state == EndpointState::Gone && server.entry.state != EndpointState::Gone {
            server.called = self.lists;
        }
        server.entry = entry;
        server.drains = entry.state == EndpointState::Draining || (server.drains && !entry.ready());
    }

    /// Whether this is called gone, or left out, where that is advice and no more, and did not drain before.
    fn called_gone(&self, s: usize) -> bool {
        let server = &self.servers[s];
        self.set.removal_is_advisory && server.entry.state == EndpointState::Gone && !server.drains
    }

    /// Whether the list and what is known beside it let new work go there.
    fn up(&self, now: Micros, s: usize) -> bool {
        let doubted = || self.doubted.contains(&self.servers[s].called) || self.runs(now, s);
        self.servers[s].entry.ready() || (self.called_gone(s) && doubted())
    }

    /// Whether something of this node's stands there, or a probe has answered of late.
    fn runs(&self, now: Micros, s: usize) -> bool {
        let server = &self.servers[s];
        !server.conns.is_empty() || server.found.is_some_and(|at| now < at + FOUND_FRESH)
    }

    /// Guards against a list that calls running servers gone: where one of those that it called gone together
    /// runs, that list is wrong about all of them.
    fn doubt(&mut self, now: Micros) {
        let runs = |&s: &usize| self.called_gone(s) && self.runs(now, s);
        let wrong = (0..self.servers.len()).filter(runs).map(|s| self.servers[s].called);
        self.doubted = wrong.collect();
    }

    /// Probes of what is called gone where nothing tells whether it runs: one for each request taken and no
    /// more, those first that were not probed for longest.
    fn probe_gone(&mut self, now: Micros, out: &mut Vec<Action>) {
        let silent = |&s: &usize| self.called_gone(s) && !self.up(now, s);
        let mut silent: Vec<usize> = (0..self.servers.len()).filter(silent).collect();
        silent.sort_by_key(|&s| self.servers[s].probed);
        for s in silent.into_iter().take(self.probe_tokens as usize) {
            self.probe_tokens -= 1.0;
            // It went down or came back in the meantime: its first set-up is tried alone.
            let server = &mut self.servers[s];
            (server.fell, server.probed) = (true, now);
            out.push(Action::Probe(server.entry.id));
        }
    }

    /// A server is due for a set-up by this node this long after its last.
    fn turn(&self) -> Micros {
        SETUP_EVERY.scale(f64::from(self.set.node_count))
    }

    /// How far a server has warmed up, from nothing to one.
    fn warmth(&self, now: Micros, s: usize) -> f64 {
        passed(self.servers[s].started, now, self.set.warm_up)
    }

    /// The same for what this node's record tells of it: the cluster may have given it the server of late.
    fn known(&self, now: Micros, s: usize) -> f64 {
        self.warmth(now, s).min(passed(self.servers[s].entry.joined, now, self.set.warm_up))
    }

    /// What this node may send a cold server in this period: what warm ones of its size take anew, for its
    /// share and the allowed multiple. Parts of a permit add up from a beginning that differs by node, so
    /// that turns are spread; what is not used in time is lost: nodes that saved it could send it at once.
    fn permit(&mut self, now: Micros, s: usize, held: f64) {
        let warmth = self.warmth(now, s);
        if warmth < 1.0 {
            let share =
                self.set.warm_up_initial_capacity + (1.0 - self.set.warm_up_initial_capacity) * warmth;
            let (span, period) = (self.set.overload_window.as_secs_f64(), PERIOD.as_secs_f64());
            // They take what they hold over a connection's life. No server is longer in filling than in
            // warming up, and each can do more than it holds, but a span touches one period more than it has.
            // Where groups are, nodes begin one on the same servers and meet on a cold one: neither counts.
            let (life, cold) = (self.stood / f64::from(self.ended.max(1)), self.set.warm_up.as_secs_f64());
            let spare = SPARE * span / (span + period);
            let (life, spare) = if self.set.groups { (life, 1.0) } else { (life.min(cold), spare) };
            let rate = spare * held * self.size(s) * share * self.set.overload_multiple / life.max(period);
            let kept = self.kept(now);
            let server = &mut self.servers[s];
            // What would be kept by now is there at the first, when most clients of those before come again.
            let first = if server.kept_until == Micros(0) { kept.as_secs_f64() } else { 0.0 };
            server.credit += (rate * (period + first)).min(LOAD_LIMIT);
            if server.credit >= 1.0 || now >= server.kept_until {
                (server.permits, server.kept_until) = (server.credit as u32, now + kept);
                server.credit -= f64::from(server.permits);
            }
        }
    }

    /// How long a permit is kept beyond its period. A group may begin on few servers: if all clients came
    /// again at once, no more than this part of the nodes would have one for any one server. What they have
    /// kept for it is then no more than a span earns, and twice a span's is what it can take (spare).
    fn kept(&self, now: Micros) -> Micros {
        let up = (0..self.servers.len()).filter(|&s| self.up(now, s)).count();
        let elsewhere = 1.0 - (reach(up) as f64 / up.max(1) as f64).min(1.0);
        let meet = 1.0 - elsewhere.powi(self.conns.len().max(1) as i32);
        let kept = self.set.overload_window.scale(1.0 / meet).max(PERIOD) - PERIOD;
        if self.set.groups { kept } else { Micros(0) }
    }

    // ---- the record ----

    /// The load that this node has on a server: told loads, the usual load of its class where none was told,
    /// and the shared work of each group held, which is taken to be a usual connection's.
    fn record(&self, s: usize) -> f64 {
        let server = &self.servers[s];
        let untold = |(&class, &n): (&u16, &u32)| f64::from(n) * self.class_usual(class);
        let untold: f64 = server.untold.iter().map(untold).sum();
        server.told_sum + untold + self.group_share() * server.groups.len() as f64
    }

    /// What a group's shared work on a server is to one node: all of it to one alone, and less the more
    /// nodes hold the group there too.
    fn group_share(&self) -> f64 {
        self.usual() * self.set.group_load * (2.0 / f64::from(self.set.node_count)).min(1.0)
    }

    /// The usual load of a connection; before any was told, each counts as one.
    fn usual(&self) -> f64 {
        let (sum, n) = self.held_load.iter().fold((0.0, 0), |(sum, n), held| (sum + held.0, n + held.1));
        if n > 0 { sum / f64::from(n) } else { self.usual_load.0.unwrap_or(1.0) }
    }

    /// The listed size of a server.
    fn size(&self, s: usize) -> f64 {
        let weight = self.servers[s].entry.weight;
        let told =
            self.set.weight_meaning == WeightMeaning::NominalCapacity && weight > 0.0 && is_load(&weight);
        if told { weight } else { 1.0 }
    }

    /// What a server is believed to be able to do, beside others: its listed size and its believed speed.
    fn power(&self, s: usize) -> f64 {
        self.draw(s) * (1.0 - self.servers[s].slowness)
    }

    /// What a server draws beside others that are as fast: by its listed size, and more in the own zone.
    /// Guards against a way between zones that is slow, cut or charged for.
    fn draw(&self, s: usize) -> f64 {
        self.size(s) * if self.servers[s].entry.zone == self.set.zone { self.near } else { 1.0 }
    }

    /// Only while nothing warms up: what moved is to reach all that can take it. Not where groups share work:
    /// their draw falls alike at all nodes, and a copy of a group for each zone costs more than crossings.
    fn weigh_zones(&mut self, now: Micros) {
        let cold = (0..self.servers.len()).any(|s| self.up(now, s) && self.warmth(now, s) < 1.0);
        self.near = if self.set.prices.cross_zone > 0.0 && !cold && !self.set.groups { NEAR } else { 1.0 };
    }

    /// The usual load of a class.
    fn class_usual(&self, class: u16) -> f64 {
        let held = self.held_load.get(usize::from(class)).filter(|held| held.1 > 0);
        let usual = self.class_load.get(usize::from(class)).and_then(|mean| mean.0);
        held.map_or_else(|| usual.unwrap_or(self.usual()), |held| held.0 / f64::from(held.1))
    }

    fn load_of(&self, conn: &Conn) -> f64 {
        conn.told.unwrap_or_else(|| self.class_usual(conn.request.class))
    }

    /// The ready servers that are warm.
    fn warm(&self, now: Micros) -> Vec<usize> {
        let warm = |&s: &usize| self.up(now, s) && self.known(now, s) >= 1.0;
        (0..self.servers.len()).filter(warm).collect()
    }

    /// The mean load for each unit of power over ready servers that are warm.
    fn mean(&self, now: Micros) -> f64 {
        let (load, power) = (self.warm(now).into_iter())
            .fold((0.0, 0.0), |(load, power), s| (load + self.record(s), power + self.power(s)));
        if power > 0.0 { load / power } else { 0.0 }
    }

    /// The connections, and groups, that this node holds on warm servers for each unit of size.
    fn held(&self, now: Micros) -> f64 {
        let held = |s: usize| (self.servers[s].conns.len() + self.servers[s].groups.len()) as f64;
        let (held, size) = (self.warm(now).into_iter())
            .fold((0.0, 0.0), |(sum, size), s| (sum + held(s), size + self.size(s)));
        if size > 0.0 { held / size } else { 0.0 }
    }

    /// Takes a connection, or one that is to become one, into the sums of its server.
    fn enter(&mut self, conn: &Conn) {
        let Some(s) = conn.stage.server() else { return };
        let server = &mut self.servers[s];
        server.conns.insert(conn.request.id);
        self.trying += u32::from(conn.stage.trying());
        match conn.told {
            Some(load) => {
                server.told_sum += load;
                if let Some(held) = self.held_load.get_mut(usize::from(conn.request.class)) {
                    *held = (held.0 + load, held.1 + 1);
                }
            }
            None => *server.untold.entry(conn.request.class).or_default() += 1,
        }
        if let Some(group) = conn.request.group {
            *server.groups.entry(group).or_insert(0) += 1;
        }
    }

    /// Takes it out again. An empty server's sum is nothing, whatever rounding has left of it.
    fn leave(&mut self, conn: &Conn) {
        let Some(s) = conn.stage.server() else { return };
        let server = &mut self.servers[s];
        server.conns.remove(&conn.request.id);
        self.trying -= u32::from(conn.stage.trying());
        match conn.told {
            Some(load) => {
                server.told_sum = (server.told_sum - load).max(0.0);
                if let Some(held) = self.held_load.get_mut(usize::from(conn.request.class)) {
                    *held = ((held.0 - load).max(0.0), held.1 - 1);
                }
            }
            None => drop_one(&mut server.untold, conn.request.class),
        }
        if server.conns.is_empty() {
            server.told_sum = 0.0;
        }
        if let Some(group) = conn.request.group {
            drop_one(&mut server.groups, group);
        }
    }

    /// Takes a connection's first load, told or hinted, into the usual ones.
    fn learn(&mut self, request: &Request, load: Option<f64>) {
        let Some(load) = load.filter(is_load) else { return };
        self.usual_load.add(load);
        if let Some(mean) = self.class_load.get_mut(request.class as usize) {
            mean.add(load);
        }
    }

    fn load_told(&mut self, id: RequestId, load: f64) {
        let conn = is_load(&load).then(|| self.conns.remove(&id));
        let Some(mut conn) = conn.flatten() else { return };
        if conn.told.is_none() {
            self.learn(&conn.request, Some(load));
        }
        self.leave(&conn);
        conn.told = Some(load);
        self.enter(&conn);
        self.conns.insert(id, conn);
    }

    fn delay_told(&mut self, now: Micros, server: ServerId, ms: f64, doubt: bool) {
        let known = self.by_id.get(&server).filter(|_| (0.0..=DELAY_LIMIT_MS).contains(&ms));
        let Some(&s) = known else { return };
        let span = Micros((ms * 1_000.0) as u64);
        let last = self.servers[s].delay.filter(|last| now < last.at + DELAY_FRESH && now > last.at);
        let grown = |d: Delay| (span.as_secs_f64() - d.span.as_secs_f64()) / (now - d.at).as_secs_f64();
        // Set-ups at odd moments tell nothing of a growth.
        let growth = last.filter(|_| self.set.servers_report_delay).map_or(0.0, grown);
        let before = last.filter(|d| d.span >= self.late_at);
        let still = before.map_or(span >= STILL, |d| d.still && growth < STILL_GROWTH);
        self.servers[s].delay = Some(Delay { span, at: now, still, growth, doubt });
    }

    fn open(&mut self, now: Micros, request: Request, server: ServerId) {
        let Some(&s) = self.by_id.get(&server) else { return };
        let conn = Conn { stage: Stage::Open(s), ..self.conn(now, request) };
        self.enter(&conn);
        self.learn(&request, request.expected_load);
        self.conns.insert(request.id, conn);
    }

    // ---- requests ----

    /// A request as this node takes it: in its group only where groups share work.
    fn conn(&self, now: Micros, request: Request) -> Conn {
        let group = request.group.filter(|_| self.set.groups);
        let class = self.set.classes.get(usize::from(request.class)).cloned();
        Conn { class, ..Conn::new(now, Request { group, ..request }) }
    }

    /// A request's class as it was when that came, and as it is: other settings may have come since, and what
    /// either forbids is not done.
    fn classes<'a>(&'a self, conn: &'a Conn) -> impl Iterator<Item = &'a ClassSettings> {
        conn.class.iter().chain(self.set.classes.get(usize::from(conn.request.class)))
    }

    /// Whether the stated budget allows one more further attempt.
    fn allows(&self, now: Micros, budget: RetryBudget) -> bool {
        let (taken, further) = self.ledger.within(now, budget.window);
        // Settings that name a longer span than before wait until that much is known.
        self.ledger.known(now, budget.window)
            && f64::from(further + 1) <= budget.min_retries + budget.retry_ratio * f64::from(taken)
    }

    /// Sends a request to a server, or answers it at once where that cannot be.
    fn attempt(&mut self, now: Micros, conn: Conn, out: &mut Vec<Action>) {
        let id = conn.request.id;
        let further = !conn.tried.is_empty();
        // What looks expired may not be, where clocks differ; but nothing waits for a look by a doubtful
        // clock.
        let open = now < conn.deadline + self.set.deadline_tolerance;
        let more = open && (conn.tried.len() as u32) < self.set.max_attempts;
        let allowed = !further || self.set.retry_budget.is_none_or(|budget| self.allows(now, budget));
        let Some(s) = (more && allowed).then(|| self.choose(now, &conn)).flatten() else {
            return self.give_up(&conn, out);
        };
        if self.look(now, s, &conn, out) {
            self.conns.insert(id, conn);
            return;
        }
        self.count(now, 0, u32::from(further));
        let timeout = self.attempt_timeout(now, &conn);
        out.push(Action::Forward(id, self.servers[s].entry.id, timeout));
        self.send(now, s, Conn { timed: timeout.is_some(), ..conn });
    }

    /// How long an attempt may take: guards against the server that takes requests and answers none. Nothing
    /// where no time would be left for another, or where all take long: a repeat would wait anew.
    fn attempt_timeout(&self, now: Micros, conn: &Conn) -> Option<Micros> {
        let usual = Micros((self.usual_setup_ms.0? * 1_000.0 * UNUSUAL) as u64);
        let wait = conn.class.as_ref()?.latency_objective.max(usual);
        // Where more is out than the requests of such a wait (Little's law), or much goes unanswered, all
        // take long: clients that come back together, or wait for a slow store, would be sent over and over.
        let much = f64::from(self.trying) > 2.0 + self.usual_taken.0.unwrap_or(0.0) * wait.as_secs_f64();
        if much || self.unanswered.0.is_some_and(|share| share > UNANSWERED) {
            return None;
        }
        (now + wait.scale(2.0) <= conn.deadline).then_some(wait)
    }

    fn send(&mut self, now: Micros, s: usize, mut conn: Conn) {
        conn.stage = Stage::Trying(s);
        conn.sent = now;
        conn.started = self.servers[s].started;
        conn.tried.push(s);
        self.servers[s].sent = now;
        self.servers[s].permits = self.servers[s].permits.saturating_sub(1);
        self.enter(&conn);
        self.conns.insert(conn.request.id, conn);
    }

    /// Whether probes tell the load ratio.
    fn reports(&self) -> bool {
        self.set.probes_allowed && self.set.report_fields.contains(&ReportField::LoadRatio)
    }

    /// Whether a request waits for a probe's load ratio before it lands: the record of one node of many says
    /// next to nothing of what the others hold.
    fn look(&mut self, now: Micros, s: usize, conn: &Conn, out: &mut Vec<Action>) -> bool {
        let known = self.seen(now, s).is_some();
        if !self.reports() || known || conn.looks >= LOOKS || now + LOOK_WAIT.scale(2.0) > conn.deadline {
            return false;
        }
        let server = &mut self.servers[s];
        out.push(Action::Probe(server.entry.id));
        server.lookers.push(conn.request.id);
        out.push(Action::SetTimer(LOOK_WAIT, TimerToken(conn.request.id.0 | TOKEN_LOOK)));
        true
    }

    /// Takes in a load report and lets those that waited for it choose again.
    fn probed(&mut self, now: Micros, id: ServerId, how: Outcome, report: &[f64], out: &mut Vec<Action>) {
        let Some(&s) = self.by_id.get(&id) else { return };
        self.servers[s].found = (how == Outcome::Ok).then_some(now);
        self.doubt(now);
        let ratio = self.set.report_fields.iter().position(|field| *field == ReportField::LoadRatio);
        let ratio = ratio.and_then(|i| report.get(i)).filter(|ratio| is_load(ratio));
        self.servers[s].seen = ratio.map(|ratio| (*ratio, now)).or(self.servers[s].seen);
        // Where nothing is held no note tells that it is over: a report does.
        if self.unseen(now, s) && ratio.is_some_and(|ratio| *ratio <= CROWDED) {
            self.servers[s].delay = None;
        }
        for id in std::mem::take(&mut self.servers[s].lookers) {
            self.looked(now, id, 1, out);
        }
    }

    /// A request that waited goes on, after the looks it has spent; all of them where no answer came in time.
    fn looked(&mut self, now: Micros, id: RequestId, spent: u32, out: &mut Vec<Action>) {
        if self.conns.get(&id).is_some_and(|conn| conn.stage == Stage::Held)
            && let Some(mut conn) = self.conns.remove(&id)
        {
            conn.looks += spent;
            self.attempt(now, conn, out);
        }
    }

    /// The load ratio last told, while it counts.
    fn seen(&self, now: Micros, s: usize) -> Option<f64> {
        self.servers[s].seen.filter(|(_, at)| now < *at + SEEN_FRESH).map(|(ratio, _)| ratio)
    }

    /// The final answer for a request that is given up: at once, so that the client can come again.
    fn give_up(&mut self, conn: &Conn, out: &mut Vec<Action>) {
        use Idempotency::{Deduplicated, Idempotent};
        let anywhere =
            |c: &ClassSettings| matches!(c.idempotency, Idempotent | Deduplicated(DedupScope::All));
        let anywhere = self.classes(conn).next().is_some() && self.classes(conn).all(anywhere);
        if !anywhere && conn.ran.is_some() {
            return out.push(Action::Fail(conn.request.id));
        }
        let class = self.set.classes.get(conn.request.class as usize);
        // Spread out, or those turned away together would come back together.
        let aim = class.map_or(PERIOD, |class| class.latency_objective);
        let wait = aim.min(self.set.max_retry_after).scale(0.5 + 0.5 * self.rng.random::<f64>());
        out.push(Action::Reject(conn.request.id, self.set.retry_after_allowed.then_some(wait)));
    }

    /// Where a connection lands: lowest in the own record, chance among equals, with its group where that has
    /// room. What was tried, is paused or is crowded comes after all others.
    fn choose(&mut self, now: Micros, conn: &Conn) -> Option<usize> {
        let (mean, held, usual, share) = (self.mean(now), self.held(now), self.usual(), self.group_share());
        let nodes = f64::from(self.set.node_count.max(1));
        let ticket = conn.request.group.unwrap_or(GroupId(self.rng.random()));
        // The other nodes are taken to hold their mean there.
        let group_room = mean * (1.0 + (GROUP_BAR - 1.0) * nodes);
        // Nothing lands where messages are late: it would earn nothing there and keep the others late. Where
        // all are late the fleet is full and the request is refused.
        let open = |&s: &usize| self.usable(now, s, conn) && !self.late(now, s) && self.has_room(s, conn);
        let draw = |s: usize| shared_chance(ticket, self.servers[s].entry.id);
        // A copy of a group on one more server costs more than one connection is worth: where those on which
        // it begins are full or late, the request is refused.
        let reached = |&s: &usize| {
            let server = &self.servers[s];
            self.up(now, s) && !(server.shut && now < server.paused_until)
        };
        let mut draws: Vec<u64> = (0..self.servers.len()).filter(reached).map(draw).collect();
        draws.sort_unstable_by(|a, b| b.cmp(a));
        let last = draws.get(reach(draws.len()) - 1).copied().unwrap_or(0);
        let near = |&s: &usize| {
            let holds = |group: GroupId| self.servers[s].groups.contains_key(&group);
            conn.request.group.is_none_or(|group| draw(s) >= last || holds(group))
        };
        let rank = |s: usize| {
            let server = &self.servers[s];
            let holds = conn.request.group.is_some_and(|group| server.groups.contains_key(&group));
            let joins = holds && self.record(s) <= group_room * self.power(s);
            let paused = now < server.paused_until;
            // A group that it doesn't hold yet is work that it would take on.
            let group = if conn.request.group.is_some() && !holds { share } else { 0.0 };
            let crowded = self.seen(now, s).is_some_and(|ratio| ratio > CROWDED);
            let unseen = conn.request.group.is_none() && self.seen(now, s).is_none();
            // A server that warms up counts at the others' mean at first and at its own load at last: in
            // whole connections, as records are, and by chance. A mean that is a part of one would put it
            // behind every server that is empty in this record, and at many nodes that is nearly all.
            let adds = held * (1.0 - self.known(now, s));
            let chance = f64::from(draw(s) as u32) / f64::from(u32::MAX);
            let landing = (self.record(s) + group) / self.power(s) + usual * (adds + chance).floor();
            // Guards against a slow server that no set-up shows because nothing new lands there.
            let doubted = server.delay.is_some_and(|d| d.doubt);
            let due = (doubted || now > server.sent + self.turn()) && !self.set.servers_report_delay;
            let warm = self.warmth(now, s) >= 1.0;
            // Where records tie, a cold server with a permit goes first: it holds what permits let in, while
            // warm ones that are empty here are full of what other nodes moved.
            let due = due && warm && self.record(s) <= BAR * mean * self.power(s);
            let (tried, lot) = (conn.tried.contains(&s), lot(draw(s), self.size(s)));
            ((tried, paused, crowded, !joins, !due, landing, warm, unseen, lot), s)
        };
        let open = (0..self.servers.len()).filter(open).filter(near);
        open.map(rank).reduce(|a, b| if b < a { b } else { a }).map(|(_, s)| s)
    }

    /// Whether a server is below the record at which it was full. Where servers fill up, the last of the room
    /// is kept for the classes that are worth most for their load; none is shut out.
    fn has_room(&self, s: usize, conn: &Conn) -> bool {
        let class = conn.request.class as usize;
        let best = (0..self.class_load.len()).map(|c| self.worth_of_load(c)).fold(0.0, f64::max);
        let claim = if best > 0.0 { self.worth_of_load(class) / best } else { 1.0 };
        let room = 1.0 - RESERVED * (1.0 - claim);
        self.servers[s].limit.is_none_or(|limit| self.record(s) < limit * room)
    }

    /// What a class is worth for its usual load.
    fn worth_of_load(&self, class: usize) -> f64 {
        let load = self.class_load.get(class).and_then(|mean| mean.0).filter(|load| *load > 0.0);
        let worth = self.set.classes.get(class).map_or(0.0, |c| c.priority_weight);
        load.map_or(0.0, |load| worth / load)
    }

    /// Whether the rules let this request go to this server now.
    fn usable(&self, now: Micros, s: usize, conn: &Conn) -> bool {
        let server = &self.servers[s];
        if !self.up(now, s)
            || (server.shut && now < server.paused_until)
            || (server.fell && !server.conns.is_empty())
            || (self.warmth(now, s) < 1.0 && server.permits == 0)
        {
            return false;
        }
        self.repeats(now, s, conn)
    }

    /// Whether what an attempt may have done before lets this request go to this server now.
    fn repeats(&self, now: Micros, s: usize, conn: &Conn) -> bool {
        let Some((first, sent)) = conn.ran else { return true };
        let (first, entry) = (&self.servers[first].entry, &self.servers[s].entry);
        self.classes(conn).all(|class| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Deduplicated(_) if now >= sent + class.dedup_window => false,
            Idempotency::Deduplicated(DedupScope::All) => true,
            Idempotency::Deduplicated(DedupScope::Zone) => first.zone == entry.zone,
            Idempotency::Deduplicated(DedupScope::Cell) => first.cell == entry.cell,
        })
    }

    /// Whether the attempt that is out may still be sent, now that its connection is up. Guards against what
    /// came since it was decided: its server drains, is gone, started anew or drops no repeats any more.
    pub fn may_go(&self, now: Micros, id: RequestId) -> bool {
        let Some(conn) = self.conns.get(&id) else { return false };
        let Stage::Trying(s) = conn.stage else { return false };
        self.up(now, s) && self.servers[s].started == conn.started && self.repeats(now, s, conn)
    }

    fn established(&mut self, now: Micros, id: RequestId, latency: Micros, out: &mut Vec<Action>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Stage::Trying(s) = conn.stage else { return };
        conn.stage = Stage::Open(s);
        self.trying -= 1;
        conn.ran.get_or_insert((s, conn.sent));
        let request = conn.request;
        self.learn(&request, request.expected_load);
        let server = &mut self.servers[s];
        // Guards against a restart that the list tells of late or never: its record is the lowest.
        if std::mem::take(&mut server.fell) {
            (server.started, server.permits) = (Some(now), 0);
        }
        server.shut = false;
        let took = latency.as_secs_f64() * 1e3;
        let usual = self.usual_setup_ms.0.unwrap_or(took);
        // A slow server must not pass for usual, but where all are slow that is the usual soon.
        self.usual_setup_ms.add(took.min(2.0 * usual));
        self.unanswered.add(0.0);
        if !self.set.servers_report_delay {
            self.setup_took(now, s, took - usual, out);
        }
    }

    /// Guards against a slow server that draws new work and keeps its clients because nothing tells that its
    /// messages are late: what a set-up takes above the usual is taken for what a message waits there. One
    /// node's set-ups are few, so the others hear of it.
    fn setup_took(&mut self, now: Micros, s: usize, above: f64, out: &mut Vec<Action>) {
        let (id, waits) = (self.servers[s].entry.id, above.max(0.0));
        // Below a whole aim one may be long by its own work: the next there, due now, has to be long too.
        let bar = self.late_at.as_secs_f64() * 1e3;
        let before = self.servers[s].delay.is_some_and(|d| d.span >= self.late_at);
        let doubt = !before && (bar..bar / LATE_SHARE).contains(&waits);
        self.delay_told(now, id, waits, doubt);
        if self.set.gossip_allowed && self.late(now, s) {
            out.push(Action::Broadcast([id.0.to_le_bytes(), waits.to_le_bytes()].concat()));
        }
    }

    /// Another node saw messages wait long: the server's number and the milliseconds, in 16 bytes.
    fn heard(&mut self, now: Micros, data: &[u8]) {
        let ([id, span], []) = data.as_chunks() else { return };
        self.delay_told(now, ServerId(u64::from_le_bytes(*id)), f64::from_le_bytes(*span), false);
    }

    fn ended(&mut self, now: Micros, id: RequestId, outcome: Outcome, closed: bool, out: &mut Vec<Action>) {
        let Some(mut conn) = self.conns.remove(&id) else { return };
        self.leave(&conn);
        let itself = outcome == Outcome::Ok;
        self.ended += u32::from(itself && matches!(conn.stage, Stage::Open(_)));
        if let Some(s) = conn.stage.server() {
            self.judge(now, s, &conn, outcome, out);
            if outcome == Outcome::Timeout && conn.timed {
                self.unanswered.add(1.0);
                // Guards against a fleet that is slow as a whole, where time-outs would add to its work.
                let took = (now - conn.sent).as_secs_f64() * 1e3;
                self.usual_setup_ms.add(self.usual_setup_ms.0.map_or(took, |usual| took.min(2.0 * usual)));
            }
            if outcome.may_have_run() {
                conn.ran.get_or_insert((s, conn.sent));
            }
        }
        if closed || matches!(conn.stage, Stage::Leaving(_)) {
            return;
        }
        conn.stage = Stage::Held;
        // The client's time is over, whatever was told of it, unless the attempt had a time-out of its own.
        let late = matches!(outcome, Outcome::Timeout | Outcome::NeverSent) && !conn.timed;
        let over = late && self.set.deadline_tolerance > Micros(0);
        // What was not sent, or found no connection, is no load on anyone.
        let saved = self.set.retry_budget.is_none()
            && !matches!(outcome, Outcome::NotForwarded | Outcome::ConnectFailed);
        if over || (saved && self.retry_tokens < 1.0) {
            return self.give_up(&conn, out);
        }
        self.retry_tokens -= if saved { 1.0 } else { 0.0 };
        self.attempt(now, conn, out);
    }

    /// Guards against the server that fails fast, or drops what it takes, keeps a low record and so draws all
    /// new work: each failure doubles a pause, until it has kept clear of them for a while.
    fn judge(&mut self, now: Micros, s: usize, conn: &Conn, outcome: Outcome, out: &mut Vec<Action>) {
        use Outcome::*;
        let harmless = matches!(outcome, Ok | Cancelled | NeverSent | NotForwarded);
        if harmless || matches!(conn.stage, Stage::Leaving(_)) {
            return;
        }
        let holds = |id: &RequestId| self.conns.get(id).is_some_and(|conn| !conn.stage.trying());
        let held = self.servers[s].conns.iter().any(holds);
        let dropped_all = outcome == Outcome::Reset && !held;
        let (server, nodes) = (&mut self.servers[s], f64::from(self.set.node_count));
        server.fell |= outcome == Outcome::ConnectFailed && !held;
        let paused = now < server.paused_until;
        if !paused {
            if now > server.paused_until + PAUSE_FORGOTTEN {
                server.failures = 0;
            }
            let pause = PAUSE_FIRST.scale(f64::from(1 << server.failures.min(PAUSE_DOUBLINGS)));
            server.failures += 1;
            // Nodes that all wait for one that is down try it one after the other.
            let chance: f64 = self.rng.random();
            let turns = if server.fell { nodes.min(TURNS) } else { 0.0 };
            let pause = pause.scale(0.75 + 0.5 * chance).max(PAUSE_FIRST.scale(turns * chance));
            server.paused_until = now + pause;
        }
        // The list tells of lost servers seconds later, of a cut link never.
        server.shut |= dropped_all || matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected);
        let (id, failures) = (server.entry.id, server.failures);
        if !paused && failures == PAUSE_TOLD {
            self.log(Some(id), format!("paused again after {failures} failures, last {outcome:?}"), out);
        }
    }

    // ---- shedding ----

    fn period(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer(PERIOD, TOKEN_PERIOD));
        self.log_left = LOG_LINES;
        self.stood += self.conns.len() as f64 * PERIOD.as_secs_f64();
        self.usual_taken.add(f64::from(std::mem::take(&mut self.taken)) / PERIOD.as_secs_f64());
        let held = self.held(now);
        self.usual_held.add(held);
        // Guards against a release that leaves but a slow server warm, which holds next to nothing: what
        // warm ones held a moment ago is still known of them.
        let shown = self.usual_held.0.map_or(held, |usual| usual.max(held));
        for s in 0..self.servers.len() {
            self.permit(now, s, shown);
            let server = &mut self.servers[s];
            server.slowness = (server.slowness - SPEED_GAIN).max(0.0);
            server.limit = server.limit.map(|limit| limit * LIMIT_GAIN);
            if self.reports() && self.up(now, s) && self.unseen(now, s) {
                out.push(Action::Probe(self.servers[s].entry.id));
            }
        }
        self.doubt(now);
        self.weigh_zones(now);
        if self.set.probes_allowed {
            self.probe_gone(now, out);
        }
        let mean = self.mean(now);
        for s in 0..self.servers.len() {
            let drains =
                self.servers[s].entry.state == EndpointState::Draining && self.set.migrate_from_draining;
            if self.up(now, s) || drains {
                self.shed(now, s, mean, held < FEW, out);
            }
        }
    }

    /// Whether messages at this server are late now.
    fn late(&self, now: Micros, s: usize) -> bool {
        // Where this node holds nothing no note can tell that it is over, and trying costs a client.
        let server = &self.servers[s];
        let fresh = if server.conns.is_empty() { DELAY_UNSEEN } else { DELAY_FRESH };
        server.delay.is_some_and(|d| !d.doubt && d.span >= self.late_at && now < d.at + fresh)
    }

    /// Whether it is only taken for late because nothing has told otherwise.
    fn unseen(&self, now: Micros, s: usize) -> bool {
        let old = |d: Delay| d.still && now >= d.at + DELAY_FRESH;
        self.servers[s].conns.is_empty() && self.servers[s].delay.is_some_and(old) && self.late(now, s)
    }

    /// The reactive trigger. A queue that grows tells how far a server is over what it can do, and its length
    /// what is to be cleared: what is above both is its excess. The server is believed to be as much slower
    /// than the others as its load says, or it would be filled up again.
    fn reactive_excess(&mut self, now: Micros, s: usize, mean: f64) -> f64 {
        let Some(delay) = self.servers[s].delay.filter(|_| self.late(now, s)) else { return 0.0 };
        let record = self.record(s);
        let busy = (1.0 + delay.growth).clamp(0.5, 10.0);
        // A little late is a little over what it can do: only where an aim is missed is it the whole margin.
        let urgency = (delay.span.as_secs_f64() * LATE_SHARE / self.late_at.as_secs_f64()).min(1.0);
        let manages = (1.0 - (1.0 - MARGIN) * urgency) * record / busy;
        if !delay.still {
            self.overloaded(s, manages, mean);
        }
        let piled = delay.span.as_secs_f64() / DRAIN.as_secs_f64();
        (record - manages * (1.0 - piled)).clamp(0.0, record)
    }

    /// It manages that much of this node's load, and has to be believed so for a while.
    fn overloaded(&mut self, s: usize, manages: f64, mean: f64) {
        // An empty one may take one connection, or it would never be let out again.
        let (usual, size) = (self.usual(), self.draw(s));
        let server = &mut self.servers[s];
        server.limit = Some(server.limit.map_or(manages, |limit| limit.min(manages)).max(usual));
        if mean > 0.0 {
            let slowness = (1.0 - manages / (mean * size)).min(1.0 - SPEED_FLOOR);
            server.slowness = server.slowness.max(slowness);
        }
    }

    /// Sheds the excess of a server that has been above the bar for long enough, or is late. One that drains
    /// is to have no connections, whatever their load, when it stops, if the settings ask for that.
    fn shed(&mut self, now: Micros, s: usize, mean: f64, few: bool, out: &mut Vec<Action>) {
        let (draining, held) = (self.servers[s].drains, self.servers[s].conns.len() as f64);
        let reactive = if draining { held } else { self.reactive_excess(now, s, mean) };
        let fair = mean * self.power(s);
        let record = self.record(s);
        let server = &mut self.servers[s];
        server.above = if record > BAR * fair { server.above + 1 } else { 0 };
        let ordinary = if server.above >= PERIODS_ABOVE { record - fair } else { 0.0 };
        let mut excess = reactive.max(ordinary);
        if excess <= 0.0 {
            return;
        }
        let late =
            |of: Vec<usize>| of.iter().filter(|s| self.late(now, **s)).count() as f64 / of.len() as f64;
        let ready = late((0..self.servers.len()).filter(|&s| self.up(now, s)).collect());
        // Guards against a queue of set-ups that grows by what moves: most of that comes back as set-ups.
        let all_late = !draining && late(self.warm(now)) >= ALL_LATE;
        let (share, up) = if all_late { (MOVE_SHARE, self.rng.random()) } else { (REACTIVE_SHARE, 0.99) };
        // What moves begins its group anew elsewhere: the more servers are late, the less room there is.
        let crowding = if reactive > 0.0 { (2.0 * self.set.group_load * ready).min(1.0) } else { 1.0 };
        let mut open: Vec<(f64, RequestId)> = (self.servers[s].conns.iter())
            .filter_map(|id| self.conns.get(id).map(|conn| (id, conn)))
            .filter(|(_, conn)| matches!(conn.stage, Stage::Open(_)))
            .filter_map(|(&id, conn)| Some((if draining { 1.0 } else { self.freed(s, conn, crowding)? }, id)))
            .collect();
        let lightest = open.iter().map(|(load, _)| *load).fold(f64::INFINITY, f64::min);
        // A late server may lose its last connection too; and by chance for less than that where each of many
        // nodes holds one there, or none would begin, and where what stays earns nothing: a way that is slow
        // keeps a steady delay, and half of one connection would ask for no move for as long as that lasts.
        let part = excess.min(REACTIVE_SHARE * lightest);
        let lost = self.servers[s].delay.is_some_and(|d| d.span.scale(LATE_SHARE) >= self.late_at);
        if (few || lost) && reactive > 0.0 && excess < lightest && part > lightest * self.rng.random::<f64>()
        {
            excess = lightest;
        }
        if excess < lightest || (excess == lightest && reactive == 0.0) {
            return;
        }
        let n = open.len() as f64;
        let limit = if reactive > 0.0 { (n * share + up).floor() } else { (n * MOVE_SHARE).floor() };
        for _ in 0..limit as usize {
            // The connection that comes closest to what is still to go, while that brings it closer.
            let gaps: Vec<f64> = open.iter().map(|(load, _)| (load - excess).abs()).collect();
            let lowest = gaps.iter().copied().fold(f64::INFINITY, f64::min);
            let ties: Vec<usize> = (0..gaps.len()).filter(|&i| gaps[i] == lowest).collect();
            let i = ties[self.rng.random_range(0..ties.len())];
            if lowest >= excess.abs() {
                break;
            }
            let (load, id) = open.swap_remove(i);
            excess -= load;
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.stage = Stage::Leaving(s);
                out.push(Action::Migrate(id));
            }
        }
    }

    /// What moving a connection takes off a server; nothing where its group stays and that is less than
    /// beginning it anew elsewhere costs: a usual connection, or the stated part of that. The last own of a
    /// group takes this node's share of the group's work along.
    fn freed(&self, s: usize, conn: &Conn, crowding: f64) -> Option<f64> {
        let (load, usual) = (self.load_of(conn), self.usual());
        let Some(held) = conn.request.group.and_then(|group| self.servers[s].groups.get(&group)) else {
            return Some(load);
        };
        let freed = if *held == 1 { load + self.group_share() } else { load };
        (freed > usual * crowding).then_some(freed)
    }
}
