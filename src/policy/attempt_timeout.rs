//! Attempt timeouts: how long a server may take to answer before another one is tried.

use crate::types::{Micros, Outcome};

use super::Policy;
use super::connection::Connection;
use super::period::PERIOD;
use super::running_mean::RunningMean;

/// Timeout of an attempt in multiples of a typical setup time. The latency objective is the
/// minimum.
const TYPICAL_SETUPS_PER_ATTEMPT: f64 = 4.0;
/// Share of setups that time out above which attempts have no timeout, because the whole fleet is
/// slow.
const MAX_TIMED_OUT_SHARE: f64 = 0.15;
/// Maximum duration with which one setup is included in the typical setup time, in multiples of that
/// time. It prevents a single slow setup from distorting the typical setup time.
const MAX_SETUP_MULTIPLE: f64 = 2.0;
/// Number of attempts in flight that never indicates a slow fleet, whatever the request rate.
const MIN_ATTEMPTS_IN_FLIGHT: f64 = 2.0;

/// Statistics of the connection setups at all servers.
#[derive(Default)]
pub(super) struct SetupStatistics {
    /// Running mean of the setup time, in milliseconds.
    typical_ms: RunningMean,
    /// Running mean of the share of setups that ended by their timeout.
    timed_out_share: RunningMean,
    /// Running mean of the request rate, in requests per second.
    typical_request_rate: RunningMean,
    /// Number of requests in the current period.
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

    /// Returns the difference between a setup time and the typical one, in milliseconds.
    pub(super) fn excess_ms(&self, latency: Micros) -> f64 {
        let took_ms = latency.as_secs_f64() * 1e3;
        took_ms - self.typical_ms.value().unwrap_or(took_ms)
    }

    /// Records an attempt that became a connection.
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

    /// Records an attempt that exceeded its own timeout, as a setup of that duration. Otherwise the
    /// typical setup time would stay low in a slow fleet, and timeouts would add to its load.
    fn on_timeout(&mut self, took: Micros) {
        self.timed_out_share.add(1.0);
        self.update_typical_duration(took);
    }

    /// Returns whether setups are slow at all servers: either more attempts are in flight than
    /// requests arrive within `wait` (Little's law), or many attempts time out.
    fn is_fleet_slow(&self, wait: Micros) -> bool {
        let rate = self.typical_request_rate.value().unwrap_or(0.0);
        let expected_in_flight = MIN_ATTEMPTS_IN_FLIGHT + rate * wait.as_secs_f64();
        f64::from(self.attempts_in_flight) > expected_in_flight
            || self.timed_out_share.value().is_some_and(|share| share > MAX_TIMED_OUT_SHARE)
    }
}

impl Policy {
    /// Returns the timeout of an attempt; `None` if only the client's deadline limits it.
    ///
    /// Without a timeout, a server that accepts requests and never answers would hold each request
    /// until its client's deadline. There is no timeout before the first successful setup, if no
    /// time would remain for another attempt, or if setups are slow at all servers, where a retry
    /// would wait as long again.
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
