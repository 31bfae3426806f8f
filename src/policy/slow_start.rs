//! Slow start: what a server that has just started may be sent.

use crate::types::Micros;

use super::Policy;
use super::groups::group_reach;
use super::load_estimate::MAX_LOAD;
use super::rebalance::PERIOD;
use super::running_mean::Mean;

/// What a warm server can do beside what it holds: fleets are seldom more than half full.
const FLEET_HEADROOM: f64 = 2.0;

/// How much of a span has passed since then, from nothing to one; all of it since long ago.
pub(super) fn elapsed_fraction(since: Option<Micros>, now: Micros, span: Micros) -> f64 {
    // No number, where nothing is divided by nothing, loses against one.
    since.map_or(1.0, |since| ((now - since).as_secs_f64() / span.as_secs_f64()).min(1.0))
}

/// Attempts that this node may send to a server that warms up.
#[derive(Default)]
pub(super) struct SlowStartTokens {
    /// Attempts that may still be sent before the tokens expire.
    pub(super) tokens: u32,
    /// When unused tokens are lost; zero before the first ones.
    pub(super) expire_at: Micros,
    /// What was earned toward the next token.
    pub(super) fraction: f64,
}

/// How many connections warm servers hold and for how long connections stand.
#[derive(Default)]
pub(super) struct ConnectionTurnover {
    /// Sum of the seconds that connections have stood.
    pub(super) connection_seconds: f64,
    /// Connections that ended by themselves.
    pub(super) ended: u32,
    /// Running mean of [`Policy::mean_connections`].
    pub(super) typical_connections: Mean,
}

impl SlowStartTokens {
    /// No tokens yet. `turn`, between 0 and 1, is this node's place among all: nodes that begin at different
    /// fractions do not send their first attempts at one moment.
    pub(super) fn starting_at(turn: f64) -> Self {
        SlowStartTokens { fraction: turn, ..SlowStartTokens::default() }
    }

    pub(super) fn spend_one(&mut self) {
        self.tokens = self.tokens.saturating_sub(1);
    }

    pub(super) fn clear(&mut self) {
        self.tokens = 0;
    }
}

impl Policy {
    /// How far a server has warmed up, from nothing to one.
    pub(super) fn warm_up_fraction(&self, now: Micros, index: usize) -> f64 {
        elapsed_fraction(self.servers[index].started, now, self.settings.warm_up)
    }

    /// The same for what this node's record tells of it: the cluster may have given it the server of late.
    pub(super) fn warm_up_fraction_here(&self, now: Micros, index: usize) -> f64 {
        self.warm_up_fraction(now, index).min(elapsed_fraction(
            self.servers[index].endpoint.joined,
            now,
            self.settings.warm_up,
        ))
    }

    /// What this node may send a cold server in this period: what warm ones of its size take anew, for its
    /// share and the allowed multiple. Parts of a permit add up from a beginning that differs by node, so
    /// that turns are spread; what is not used in time is lost: nodes that saved it could send it at once.
    pub(super) fn refill_slow_start_tokens(&mut self, now: Micros, index: usize, held: f64) {
        let warmth = self.warm_up_fraction(now, index);
        if warmth < 1.0 {
            let share = self.settings.warm_up_initial_capacity
                + (1.0 - self.settings.warm_up_initial_capacity) * warmth;
            let (span, period) = (self.settings.overload_window.as_secs_f64(), PERIOD.as_secs_f64());
            // They take what they hold over a connection's life. No server is longer in filling than in
            // warming up, and each can do more than it holds, but a span touches one period more than it has.
            // Where groups are, nodes begin one on the same servers and meet on a cold one: neither counts.
            let (life, cold) = (
                self.turnover.connection_seconds / f64::from(self.turnover.ended.max(1)),
                self.settings.warm_up.as_secs_f64(),
            );
            let spare = FLEET_HEADROOM * span / (span + period);
            let (life, spare) = if self.settings.groups { (life, 1.0) } else { (life.min(cold), spare) };
            let rate = spare * held * self.weight(index) * share * self.settings.overload_multiple
                / life.max(period);
            let kept = self.token_lifetime(now);
            let server = &mut self.servers[index];
            // What would be kept by now is there at the first, when most clients of those before come again.
            let first = if server.slow_start.expire_at == Micros(0) { kept.as_secs_f64() } else { 0.0 };
            server.slow_start.fraction += (rate * (period + first)).min(MAX_LOAD);
            if server.slow_start.fraction >= 1.0 || now >= server.slow_start.expire_at {
                (server.slow_start.tokens, server.slow_start.expire_at) =
                    (server.slow_start.fraction as u32, now + kept);
                server.slow_start.fraction -= f64::from(server.slow_start.tokens);
            }
        }
    }

    /// How long a permit is kept beyond its period. A group may begin on few servers: if all clients came
    /// again at once, no more than this part of the nodes would have one for any one server. What they have
    /// kept for it is then no more than a span earns, and twice a span's is what it can take (spare).
    fn token_lifetime(&self, now: Micros) -> Micros {
        let up = (0..self.servers.len()).filter(|&index| self.is_available(now, index)).count();
        let elsewhere = 1.0 - (group_reach(up) as f64 / up.max(1) as f64).min(1.0);
        let meet = 1.0 - elsewhere.powi(self.connections.len().max(1) as i32);
        let kept = self.settings.overload_window.scale(1.0 / meet).max(PERIOD) - PERIOD;
        if self.settings.groups { kept } else { Micros(0) }
    }
}
