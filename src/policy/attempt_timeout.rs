//! Time-out of an attempt.

use crate::types::Micros;

use super::Policy;
use super::connection::Connection;
use super::running_mean::Mean;

/// Above this running share of attempts that ran into their time-out, no further ones have one.
const MAX_TIMED_OUT_SHARE: f64 = 0.15;

/// An attempt may take this many usual set-ups, the set-up aim at least.
const TYPICAL_SETUPS_PER_ATTEMPT: f64 = 4.0;

/// Set-ups at all servers.
#[derive(Default)]
pub(super) struct SetupStatistics {
    /// Running mean of what a set-up takes, in milliseconds.
    pub(super) typical_ms: Mean,
    /// Running mean share of set-ups that ran into their time-out.
    pub(super) timed_out_share: Mean,
    /// Running mean of requests a second.
    pub(super) typical_request_rate: Mean,
    /// Requests of the current period so far.
    pub(super) requests_this_period: u32,
    pub(super) attempts_in_flight: u32,
}

impl Policy {
    /// How long an attempt may take: guards against the server that takes requests and answers none. Nothing
    /// where no time would be left for another, or where all take long: a repeat would wait anew.
    pub(super) fn attempt_timeout(&self, now: Micros, connection: &Connection) -> Option<Micros> {
        let usual = Micros((self.setups.typical_ms.0? * 1_000.0 * TYPICAL_SETUPS_PER_ATTEMPT) as u64);
        let wait = connection.class_at_arrival.as_ref()?.latency_objective.max(usual);
        // Where more is out than the requests of such a wait (Little's law), or much goes unanswered, all
        // take long: clients that come back together, or wait for a slow store, would be sent over and over.
        let much = f64::from(self.setups.attempts_in_flight)
            > 2.0 + self.setups.typical_request_rate.0.unwrap_or(0.0) * wait.as_secs_f64();
        if much || self.setups.timed_out_share.0.is_some_and(|share| share > MAX_TIMED_OUT_SHARE) {
            return None;
        }
        (now + wait.scale(2.0) <= connection.deadline).then_some(wait)
    }
}
