//! All decisions of a node; the words they use are in `src/types/`.
//!
//! The ordinary path: a connection lands on the server lowest in this node's own record, and every second
//! a server that stands above this node's mean for several periods sheds its excess. `docs/design.md` says
//! where that comes from and when each exception acts.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::types::{Action, BalancerSettings, Event, Micros, RequestId, ServerId, TimerToken};

mod admission;
mod attempt_timeout;
mod capacity;
mod connection;
mod effective_weight;
mod endpoints;
mod groups;
mod load_estimate;
mod log_limit;
mod message_delay;
mod outlier;
mod probe;
mod rebalance;
mod retry;
mod retry_budget;
mod running_mean;
mod selection;
mod server;
mod shadow;
mod slow_start;
mod status;

use connection::{Conn, Stage};
use endpoints::{POLL_BACKOFF, POLL_TIMER};
use log_limit::LINES_PER_PERIOD;
use message_delay::late_threshold;
use probe::{MAX_PROBE_ATTEMPTS, MAX_REMOVAL_PROBES, PROBE_TIMER_MARK};
use rebalance::{PERIOD, PERIOD_TIMER};
use retry_budget::{Ledger, MAX_TOKENS, TOKENS_PER_REQUEST};
use running_mean::Mean;
use server::Server;

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
    /// What warm servers usually held of late, as [`Policy::mean_connections`].
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
            late_at: late_threshold(&settings),
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
            retry_tokens: MAX_TOKENS,
            ledger: Ledger::default(),
            ask_failures: 0,
            asking: false,
            lists: 0,
            doubted: BTreeSet::new(),
            probe_tokens: MAX_REMOVAL_PROBES,
            near: 1.0,
            log_left: LINES_PER_PERIOD,
        }
    }

    /// Timers and questions with which a node begins.
    pub fn start(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(PERIOD.scale(self.rng.random::<f64>()), PERIOD_TIMER));
        if self.set.must_subscribe {
            // Nodes that start together must not ask together: the list is one service for all of them.
            let spread =
                POLL_BACKOFF.scale(f64::from(self.set.node_count)).min(self.set.max_poll_interval).scale(0.5);
            actions.push(Action::SetTimer(spread.scale(self.rng.random::<f64>()), POLL_TIMER));
        }
    }

    /// Takes in one event and adds what is to be done about it. Events that name what is unknown or has
    /// ended are ignored.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList(kind, entries) => self.on_endpoint_list(now, kind, entries, out),
            Event::Request(request) => {
                self.retry_tokens = (self.retry_tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
                self.probe_tokens = (self.probe_tokens + 1.0).min(MAX_REMOVAL_PROBES);
                self.count_in_window(now, 1, 0);
                self.taken += 1;
                let conn = self.new_connection(now, request);
                self.attempt(now, conn, out);
            }
            Event::ExistingConnection(request, server) => self.on_existing_connection(now, request, server),
            Event::Established { id, latency } => self.on_established(now, id, latency, out),
            Event::Ended { id, outcome, closed, .. } => self.on_ended(now, id, outcome, closed, out),
            Event::LoadReported(id, load) => self.on_load_report(id, load),
            Event::DelayReported(server, ms) => self.on_message_delay(now, server, ms, false),
            Event::ClientDisconnected(id) => {
                if let Some(conn) = self.conns.remove(&id) {
                    self.ended += u32::from(matches!(conn.stage, Stage::Open(_)));
                    self.remove_from_load(&conn);
                }
            }
            Event::Timer(PERIOD_TIMER) => self.on_period(now, out),
            Event::Timer(POLL_TIMER) => {
                self.asking = false;
                out.push(Action::WatchEndpoints);
            }
            Event::Timer(TimerToken(id)) => {
                self.resume(now, RequestId(id & !PROBE_TIMER_MARK), MAX_PROBE_ATTEMPTS, out)
            }
            Event::ProbeCompleted { server, outcome, report } => {
                self.on_probe_completed(now, server, outcome, &report, out)
            }
            Event::PeerMessage(_, data) => self.on_gossip(now, &data),
            Event::SettingsChanged(settings) => {
                // The record stays, and so does what was decided; the next attempt goes by the new word.
                self.late_at = late_threshold(&settings);
                self.class_load.resize(settings.classes.len(), Mean::default());
                self.held_load.resize(settings.classes.len(), (0.0, 0));
                if self.set.retry_budget.is_none() {
                    self.ledger.since = self.ledger.since.max(now);
                }
                self.set = *settings;
            }
        }
    }
}
