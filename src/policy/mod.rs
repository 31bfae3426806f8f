//! Balancing policy of a node, with one rule per file. Its settings, events and actions are defined
//! in `src/types/`.
//!
//! [`Policy`] performs no input or output and reads no clock. The embedding program passes it
//! events with the current time and performs the returned actions. The same seed and events always
//! produce the same actions.
//!
//! In the common case, a request is placed on the server with the lowest load in this node's own
//! record (`selection.rs`), and once per period each server above this node's mean load sheds its
//! excess (`rebalance.rs`). `docs/design.md` gives the reasons and describes when each exception
//! applies.

mod admission;
mod attempt_timeout;
mod capacity;
mod connection;
mod effective_weight;
mod endpoints;
mod group_placement;
mod load_estimate;
mod log_limit;
mod message_delay;
mod migration;
mod outlier;
mod period;
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
mod typical_load;

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::types::{Action, BalancerSettings, Event, Micros, RequestId, ServerId};

use attempt_timeout::SetupStatistics;
use connection::Connection;
use endpoints::{ListHistory, POLL_TIMER, Subscription};
use log_limit::LogLimit;
use message_delay::high_delay_threshold;
use period::{PERIOD, PERIOD_TIMER};
use probe::RemovalProbes;
use retry_budget::RetryUsage;
use server::{Server, ServerIndex};
use slow_start::ConnectionTurnover;
use typical_load::TypicalLoads;

/// The policy of one node with its complete state.
pub struct Policy {
    settings: BalancerSettings,
    /// The only source of randomness.
    rng: Pcg64Mcg,
    /// Every server that has ever been listed.
    servers: Vec<Server>,
    index_by_id: BTreeMap<ServerId, ServerIndex>,
    /// Requests without a final answer, and connections.
    connections: BTreeMap<RequestId, Connection>,
    subscription: Subscription,
    lists: ListHistory,
    typical_loads: TypicalLoads,
    turnover: ConnectionTurnover,
    setups: SetupStatistics,
    retry_usage: RetryUsage,
    removal_probes: RemovalProbes,
    /// Factor applied to the weight of servers in this node's zone.
    zone_affinity: f64,
    /// Minimum message delay that counts as high.
    high_delay_threshold: Micros,
    log_limit: LogLimit,
}

impl Policy {
    /// Creates the policy of a node that has just started and has no connections.
    pub fn new(settings: BalancerSettings, seed: u64, _now: Micros) -> Self {
        Policy {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            index_by_id: BTreeMap::new(),
            connections: BTreeMap::new(),
            subscription: Subscription::default(),
            lists: ListHistory::default(),
            typical_loads: TypicalLoads::new(&settings),
            turnover: ConnectionTurnover::default(),
            setups: SetupStatistics::default(),
            retry_usage: RetryUsage::default(),
            removal_probes: RemovalProbes::default(),
            zone_affinity: 1.0,
            high_delay_threshold: high_delay_threshold(&settings),
            log_limit: LogLimit::default(),
            settings,
        }
    }

    /// Sets the initial timers. Must be called once, before the first event.
    pub fn start(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(PERIOD.scale(self.rng.random::<f64>()), PERIOD_TIMER));
        if self.settings.must_subscribe {
            self.schedule_first_poll(actions);
        }
    }

    /// Handles one event and appends the resulting actions. Events about unknown or completed
    /// requests and unknown servers are ignored.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(kind, endpoints) => self.on_endpoint_list(now, kind, endpoints, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::ExistingConnection(request, server) => self.on_existing_connection(now, request, server),
            Event::Established { id, latency } => self.on_established(now, id, latency, actions),
            Event::Ended { id, outcome, closed, .. } => self.on_ended(now, id, outcome, closed, actions),
            Event::LoadReported(id, load) => self.on_load_report(id, load),
            Event::DelayReported(server, ms) => self.on_message_delay(now, server, ms),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::Timer(PERIOD_TIMER) => self.on_period(now, actions),
            Event::Timer(POLL_TIMER) => self.on_poll_timer(actions),
            Event::Timer(token) => self.on_probe_timer(now, token, actions),
            Event::ProbeCompleted { server, outcome, report } => {
                self.on_probe_completed(now, server, outcome, &report, actions);
            }
            Event::PeerMessage(_, data) => self.on_gossip(now, &data),
            Event::SettingsChanged(settings) => self.on_settings(now, *settings),
        }
    }

    /// Applies new settings. The load record and earlier decisions stay; the next attempt follows
    /// the new settings.
    fn on_settings(&mut self, now: Micros, settings: BalancerSettings) {
        self.high_delay_threshold = high_delay_threshold(&settings);
        self.typical_loads.resize(&settings);
        if self.settings.retry_budget.is_none() {
            self.retry_usage.mark_unknown_before(now);
        }
        self.settings = settings;
    }
}
