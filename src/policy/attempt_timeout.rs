//! Time-out of an attempt: how long a server may take to answer before another one is tried.

use crate::types::{Micros, Outcome};

use super::Policy;
use super::connection::Connection;
use super::period::PERIOD;
use super::running_mean::RunningMean;

/// An attempt may take this many typical set-ups, and the latency objective at least.
const TYPICAL_SETUPS_PER_ATTEMPT: f64 = 4.0;
/// Above this share of set-ups that timed out, attempts have no time-out: what is slow is the fleet.
const MAX_TIMED_OUT_SHARE: f64 = 0.15;
/// No set-up counts for more than this multiple of the typical one, so that a single slow one does not pass
/// for typical.
const MAX_SETUP_MULTIPLE: f64 = 2.0;
/// Attempts that may be in flight whatever the request rate.
const MIN_ATTEMPTS_IN_FLIGHT: f64 = 2.0;

/// Set-ups at all servers.
#[derive(Default)]
pub(super) struct SetupStatistics {
    /// Running mean of what a set-up takes, in milliseconds.
    typical_ms: RunningMean,
    /// Running mean share of set-ups that ran into their time-out.
    timed_out_share: RunningMean,
    /// Running mean of requests a second.
    typical_request_rate: RunningMean,
    /// Requests of the current period so far.
    requests_this_period: u32,
    pub(super) attempts_in_flight: u32,
}

impl SetupStatistics {
    pub(super) fn on_request(&mut self) {
        self.requests_this_period += 1;
    }

    pub(super) fn on_period(&mut self) {
        let requests = std::mem::take(&mut self.requests_this_period);
        self.typical_request_rate.add(f64::from(requests) / PERIOD.as_secs_f64());
    }

    /// What a set-up took above the typical, in milliseconds.
    pub(super) fn excess_ms(&self, latency: Micros) -> f64 {
        let took_ms = latency.as_secs_f64() * 1e3;
        took_ms - self.typical_ms.value().unwrap_or(took_ms)
    }

    /// Takes in an attempt that became a connection.
    pub(super) fn on_success(&mut self, latency: Micros) {
        self.attempts_in_flight -= 1;
        self.update_typical_duration(latency);
        self.timed_out_share.add(0.0);
    }

    fn update_typical_duration(&mut self, took: Micros) {
        let took_ms = took.as_secs_f64() * 1e3;
        let typical_ms = self.typical_ms.value().unwrap_or(took_ms);
        self.typical_ms.add(took_ms.min(MAX_SETUP_MULTIPLE * typical_ms));
    }

    /// Takes in an attempt that ran into its own time-out. It counts as a set-up of that length: in a fleet
    /// that is slow as a whole, time-outs would add to its work.
    fn on_timeout(&mut self, took: Micros) {
        self.timed_out_share.add(1.0);
        self.update_typical_duration(took);
    }

    /// Whether set-ups take long everywhere: more attempts are in flight than requests come in `wait`
    /// (Little's law), or many time out.
    fn is_fleet_slow(&self, wait: Micros) -> bool {
        let rate = self.typical_request_rate.value().unwrap_or(0.0);
        let expected_in_flight = MIN_ATTEMPTS_IN_FLIGHT + rate * wait.as_secs_f64();
        f64::from(self.attempts_in_flight) > expected_in_flight
            || self.timed_out_share.value().is_some_and(|share| share > MAX_TIMED_OUT_SHARE)
    }
}

impl Policy {
    /// How long an attempt may take; no bound but the client's deadline where none is returned.
    ///
    /// A server that takes requests and answers none would otherwise hold a request until its client gives
    /// up. There is no time-out before a set-up has succeeded, where no time would be left for another
    /// attempt, and where set-ups take long everywhere: a retry would wait anew.
    pub(super) fn attempt_timeout(&self, now: Micros, connection: &Connection) -> Option<Micros> {
        let typical = Micros((self.setups.typical_ms.value()? * 1_000.0 * TYPICAL_SETUPS_PER_ATTEMPT) as u64);
        let wait = connection.class_at_arrival.as_ref()?.latency_objective.max(typical);
        if self.setups.is_fleet_slow(wait) {
            return None;
        }
        (now + wait.scale(2.0) <= connection.deadline).then_some(wait)
    }

    pub(super) fn record_timeout(&mut self, now: Micros, connection: &Connection, outcome: Outcome) {
        if outcome == Outcome::Timeout && connection.has_attempt_timeout {
            self.setups.on_timeout(now - connection.sent);
        }
    }
}
