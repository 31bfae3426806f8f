//! Slow start: limits the work that is sent to recently started servers.
//!
//! A warming-up server is overloaded if it receives more than a certain multiple of its current
//! capacity for too long. Each node therefore needs a token for each attempt at such a server,
//! and the tokens of all nodes together stay within that limit.

use crate::types::Micros;

use super::Policy;
use super::group_placement::max_initial_servers;
use super::load_estimate::MAX_LOAD;
use super::period::PERIOD;
use super::running_mean::RunningMean;
use super::server::ServerIndex;

/// Assumed capacity of a warm server in multiples of its current load, because fleets are seldom
/// more than half utilized.
const FLEET_HEADROOM: f64 = 2.0;

/// Attempts that this node may send to a warming-up server.
#[derive(Default)]
pub(super) struct SlowStartTokens {
    /// Number of attempts that may be sent before the tokens expire.
    tokens: u32,
    /// Time at which unused tokens expire; zero before the first tokens.
    expire_at: Micros,
    /// Part of the next token that has been earned so far.
    fraction: f64,
}

impl SlowStartTokens {
    /// Creates a state without tokens. `fraction`, from 0 to 1, is the part of the next token that
    /// counts as earned. It differs between nodes, so that they do not send their first attempts at
    /// the same time.
    pub(super) fn with_fraction(fraction: f64) -> Self {
        SlowStartTokens { fraction, ..SlowStartTokens::default() }
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

    /// Earns the tokens of one period at `rate` tokens per second. The earned tokens replace the
    /// unused ones as soon as there is a complete one or the unused ones have expired. They expire
    /// `lifetime` after the period. The first refill includes the tokens of that lifetime, because
    /// most clients reconnect right after the server's start.
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

/// Number of connections on warm servers and duration of connections.
#[derive(Default)]
pub(super) struct ConnectionTurnover {
    /// Sum of the time that all connections have been open, in seconds.
    connection_seconds: f64,
    /// Number of open connections that were completed or whose client disconnected. Failed and
    /// migrated connections are not included.
    pub(super) ended: u32,
    /// Running mean of [`Policy::mean_connections`].
    typical_connections: RunningMean,
}

impl ConnectionTurnover {
    fn mean_lifetime_s(&self) -> f64 {
        self.connection_seconds / f64::from(self.ended.max(1))
    }

    /// Records one period. `total_connections` is the number of all connections of this node, and
    /// `mean_connections` is the result of [`Policy::mean_connections`].
    fn observe(&mut self, total_connections: usize, mean_connections: f64) {
        self.connection_seconds += total_connections as f64 * PERIOD.as_secs_f64();
        self.typical_connections.add(mean_connections);
    }
}

/// Returns the share of `span` that has passed since `since`, from 0 to 1; 1 if `since` is `None`,
/// meaning long ago.
fn elapsed_fraction(since: Option<Micros>, now: Micros, span: Micros) -> f64 {
    // An empty span gives NaN, and `min` then returns 1.
    since.map_or(1.0, |since| ((now - since).as_secs_f64() / span.as_secs_f64()).min(1.0))
}

impl Policy {
    /// Returns the progress of a server's warm-up since its start, from 0 to 1.
    pub(super) fn warm_up_fraction(&self, now: Micros, index: ServerIndex) -> f64 {
        elapsed_fraction(self.servers[index].started, now, self.settings.warm_up)
    }

    pub(super) fn is_warm(&self, now: Micros, index: ServerIndex) -> bool {
        self.warm_up_fraction(now, index) >= 1.0
    }

    /// Returns the progress of a server's warm-up, limited by the time since the server joined this
    /// node's subset. This node's record of a server that joined recently says little about its
    /// load.
    pub(super) fn local_warm_up_fraction(&self, now: Micros, index: ServerIndex) -> f64 {
        let joined = self.servers[index].endpoint.joined;
        self.warm_up_fraction(now, index).min(elapsed_fraction(joined, now, self.settings.warm_up))
    }

    /// Refills the tokens for all warming-up servers. Runs once per period. `mean_connections` is
    /// the result of [`Policy::mean_connections`].
    pub(super) fn refill_slow_start_tokens(&mut self, now: Micros, mean_connections: f64) {
        self.turnover.observe(self.connections.len(), mean_connections);
        // After a release, the only warm server may be a slow one with almost no connections. The
        // running mean still reflects the connections that warm servers had before.
        let typical = self.turnover.typical_connections.value();
        let connections_per_server =
            typical.map_or(mean_connections, |typical| typical.max(mean_connections));
        let lifetime = self.token_lifetime(now);
        for index in 0..self.servers.len() {
            if !self.is_warm(now, index) {
                let rate = self.token_rate(now, index, connections_per_server);
                self.servers[index].slow_start.refill(now, rate, lifetime);
            }
        }
    }

    /// Returns the rate of tokens for a warming-up server, in tokens per second. This is the rate
    /// at which a warm server of the same weight receives new connections, multiplied by the share
    /// of its capacity that the warming-up server has now and by the multiple of that capacity that
    /// it withstands. `connections_per_server` is the number of this node's connections and groups
    /// on a warm server per unit of weight.
    fn token_rate(&self, now: Micros, index: ServerIndex, connections_per_server: f64) -> f64 {
        let period = PERIOD.as_secs_f64();
        let initial = self.settings.warm_up_initial_capacity;
        let capacity_share = initial + (1.0 - initial) * self.warm_up_fraction(now, index);
        // Within the mean lifetime of a connection, a warm server receives as many new connections
        // as it has open ones.
        let lifetime = self.turnover.mean_lifetime_s();
        let (headroom, lifetime) = if self.settings.groups {
            // Without headroom, because all nodes start a group on the same servers and therefore
            // use the same warming-up server.
            (1.0, lifetime)
        } else {
            // A window that does not start with a period also overlaps the tokens of one more period.
            let window = self.settings.overload_window.as_secs_f64();
            let headroom = FLEET_HEADROOM * window / (window + period);
            // Even if connections last longer than the warm-up, the server must have received its
            // share of connections by the end of the warm-up.
            (headroom, lifetime.min(self.settings.warm_up.as_secs_f64()))
        };
        headroom
            * connections_per_server
            * self.weight(index)
            * capacity_share
            * self.settings.overload_multiple
            / lifetime.max(period)
    }

    /// Returns how long a token is valid beyond its period. This is zero unless the connections of
    /// a group share work.
    ///
    /// With groups, a node has few requests for any one server. Even if all clients reconnected at
    /// once, only a part of the nodes would have a request for it. Tokens therefore stay valid for
    /// the overload window divided by this part: all tokens that this part of the nodes can spend at
    /// once are no more than all nodes earn in one overload window.
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
