//! Slow start: how much work a server that has started recently may be sent.
//!
//! A server that warms up falls over when it is sent more than a multiple of its present capacity for long.
//! Each node therefore sends it only what it has tokens for, and all nodes' tokens together stay within that
//! bound.

use crate::types::Micros;

use super::Policy;
use super::group_placement::max_initial_servers;
use super::load_estimate::MAX_LOAD;
use super::period::PERIOD;
use super::running_mean::RunningMean;
use super::server::ServerIndex;

/// What a warm server can do, as a multiple of what it holds: fleets are seldom more than half full.
const FLEET_HEADROOM: f64 = 2.0;

/// Attempts that this node may send to a server that warms up.
#[derive(Default)]
pub(super) struct SlowStartTokens {
    /// Attempts that may still be sent before the tokens expire.
    tokens: u32,
    /// When unused tokens are lost; zero before the first ones.
    expire_at: Micros,
    /// What was earned toward the next token.
    fraction: f64,
}

impl SlowStartTokens {
    /// No tokens yet. `turn`, between 0 and 1, is this node's place among all: nodes that begin at different
    /// fractions do not send their first attempts at one moment.
    pub(super) fn starting_at(turn: f64) -> Self {
        SlowStartTokens { fraction: turn, ..SlowStartTokens::default() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tokens == 0
    }

    pub(super) fn spend_one(&mut self) {
        self.tokens = self.tokens.saturating_sub(1);
    }

    pub(super) fn clear(&mut self) {
        self.tokens = 0;
    }

    /// Adds what one period earns at `rate` tokens a second. Tokens live for `lifetime` beyond the period;
    /// the first ones include what would be kept by then, as most clients reconnect right after a start.
    fn refill(&mut self, now: Micros, rate: f64, lifetime: Micros) {
        let first = if self.expire_at == Micros(0) { lifetime.as_secs_f64() } else { 0.0 };
        self.fraction += (rate * (PERIOD.as_secs_f64() + first)).min(MAX_LOAD);
        if self.fraction >= 1.0 || now >= self.expire_at {
            self.tokens = self.fraction as u32;
            self.expire_at = now + lifetime;
            self.fraction -= f64::from(self.tokens);
        }
    }
}

/// How many connections warm servers hold and for how long connections last.
#[derive(Default)]
pub(super) struct ConnectionTurnover {
    /// Sum of the seconds that connections have been open.
    connection_seconds: f64,
    /// Connections that ended by themselves.
    pub(super) ended: u32,
    /// Running mean of [`Policy::mean_connections`].
    typical_connections: RunningMean,
}

impl ConnectionTurnover {
    fn mean_lifetime_s(&self) -> f64 {
        self.connection_seconds / f64::from(self.ended.max(1))
    }

    /// Takes in one period, with the connections that this node holds in all and those that it holds on warm
    /// servers for each unit of weight.
    fn observe(&mut self, total_connections: usize, mean_connections: f64) {
        self.connection_seconds += total_connections as f64 * PERIOD.as_secs_f64();
        self.typical_connections.add(mean_connections);
    }
}

/// Share of `span` that has passed since `since`, from 0 to 1; 1 if that was long ago.
fn elapsed_fraction(since: Option<Micros>, now: Micros, span: Micros) -> f64 {
    // An empty span gives NaN, and `min` then returns 1.
    since.map_or(1.0, |since| ((now - since).as_secs_f64() / span.as_secs_f64()).min(1.0))
}

impl Policy {
    /// How far a server has warmed up since its start, from 0 to 1.
    pub(super) fn warm_up_fraction(&self, now: Micros, index: ServerIndex) -> f64 {
        elapsed_fraction(self.servers[index].started, now, self.settings.warm_up)
    }

    pub(super) fn is_warm(&self, now: Micros, index: ServerIndex) -> bool {
        self.warm_up_fraction(now, index) >= 1.0
    }

    /// The same, but no more than the share of a warm-up for which this node has had the server: its own
    /// record of a server that the cluster recently assigned to it says little.
    pub(super) fn local_warm_up_fraction(&self, now: Micros, index: ServerIndex) -> f64 {
        let assigned = self.servers[index].endpoint.joined;
        self.warm_up_fraction(now, index).min(elapsed_fraction(assigned, now, self.settings.warm_up))
    }

    /// Gives out the tokens of one period for all servers that warm up. Acts once a period, with the
    /// connections of this node on a warm server, for each unit of weight.
    pub(super) fn refill_slow_start_tokens(&mut self, now: Micros, mean_connections: f64) {
        self.turnover.observe(self.connections.len(), mean_connections);
        // After a release a slow server may be the only warm one, and it holds next to nothing: what warm
        // ones held a moment ago is still known.
        let typical = self.turnover.typical_connections.value();
        let held = typical.map_or(mean_connections, |typical| typical.max(mean_connections));
        let lifetime = self.token_lifetime(now);
        for index in 0..self.servers.len() {
            if !self.is_warm(now, index) {
                let rate = self.token_rate(now, index, held);
                self.servers[index].slow_start.refill(now, rate, lifetime);
            }
        }
    }

    /// Tokens a second for a server that warms up: the connections that a warm server of its weight takes
    /// anew, times the server's present share of capacity and the multiple of it that it stands. `held` is
    /// the connections of this node on a warm server, for each unit of weight.
    fn token_rate(&self, now: Micros, index: ServerIndex, held: f64) -> f64 {
        let period = PERIOD.as_secs_f64();
        let initial = self.settings.warm_up_initial_capacity;
        let capacity_share = initial + (1.0 - initial) * self.warm_up_fraction(now, index);
        // Warm servers take what they hold once in a connection's lifetime.
        let lifetime = self.turnover.mean_lifetime_s();
        let (headroom, lifetime) = if self.settings.groups {
            // Nodes begin a group on the same servers and so meet on one that warms up: no headroom.
            (1.0, lifetime)
        } else {
            // An overload window touches one period more than it has.
            let window = self.settings.overload_window.as_secs_f64();
            let headroom = FLEET_HEADROOM * window / (window + period);
            // No server is longer in filling than in warming up.
            (headroom, lifetime.min(self.settings.warm_up.as_secs_f64()))
        };
        headroom * held * self.weight(index) * capacity_share * self.settings.overload_multiple
            / lifetime.max(period)
    }

    /// How long a token lives beyond its period: nothing, unless groups share work. There a node has few
    /// requests for one server, and if all clients came again at once only a part of the nodes would have one
    /// for it: tokens may be kept for so long that this part spends no more than one overload window earns.
    fn token_lifetime(&self, now: Micros) -> Micros {
        if !self.settings.groups {
            return Micros(0);
        }
        let available = self.available_servers(now).count();
        let share_elsewhere =
            1.0 - (max_initial_servers(available) as f64 / available.max(1) as f64).min(1.0);
        let share_with_request = 1.0 - share_elsewhere.powi(self.connections.len().max(1) as i32);
        self.settings.overload_window.scale(1.0 / share_with_request).max(PERIOD) - PERIOD
    }
}
