//! Retry budget: limits the attempts other than the first of a request, so that retries do not
//! amplify an overload.
//!
//! If the settings include a budget, retries and admitted requests are counted in a sliding window.
//! Otherwise, retries spend tokens that admitted requests earn.

use std::collections::VecDeque;

use crate::types::{Micros, Outcome, RetryBudget, RetryBudgetBucket};

use super::Policy;
use super::connection::Connection;

/// Retry tokens per admitted request. In an overload, retries add at most this share to the load.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Maximum number of saved retry tokens.
const MAX_TOKENS: f64 = 10.0;
/// Number of buckets per window, which bounds the memory used.
const BUCKETS_PER_WINDOW: f64 = 50.0;

/// Retries made by this node and available to it.
pub(super) struct RetryUsage {
    tokens: f64,
    window: SlidingWindow,
}

impl Default for RetryUsage {
    fn default() -> Self {
        RetryUsage { tokens: MAX_TOKENS, window: SlidingWindow::default() }
    }
}

/// Counts retries and admitted requests of a sliding window in buckets. A bucket that is partly
/// outside the window is excluded from the admitted requests and included in the retries, so that
/// the count never allows more than the budget.
#[derive(Default)]
struct SlidingWindow {
    buckets: VecDeque<RetryBudgetBucket>,
    /// Time before which events are unknown; zero if all events are known.
    known_since: Micros,
}

/// Number of events within a window.
#[derive(Clone, Copy, Default)]
struct WindowCount {
    admitted: u32,
    retries: u32,
}

impl SlidingWindow {
    fn add(&mut self, now: Micros, window: Micros, event: WindowCount) {
        self.drop_outside(now, window);
        let bucket_span = window.scale(1.0 / BUCKETS_PER_WINDOW);
        match self.buckets.back_mut().filter(|bucket| now < bucket.first_event + bucket_span) {
            Some(bucket) => {
                bucket.last_event = now;
                bucket.admitted += event.admitted;
                bucket.retries += event.retries;
            }
            None => self.buckets.push_back(RetryBudgetBucket {
                first_event: now,
                last_event: now,
                admitted: event.admitted,
                retries: event.retries,
            }),
        }
    }

    fn drop_outside(&mut self, now: Micros, window: Micros) {
        while let Some(bucket) = self.buckets.front().filter(|bucket| bucket.last_event + window < now) {
            self.known_since = self.known_since.max(bucket.last_event);
            self.buckets.pop_front();
        }
    }

    /// Returns whether all events of the window are known.
    fn is_known(&self, now: Micros, window: Micros) -> bool {
        self.known_since == Micros(0) || self.known_since + window < now
    }

    fn count(&self, now: Micros, window: Micros) -> WindowCount {
        let inside = self.buckets.iter().filter(|bucket| bucket.last_event + window >= now);
        inside.fold(WindowCount::default(), |count, bucket| WindowCount {
            admitted: count.admitted + bucket.admitted * u32::from(bucket.first_event + window > now),
            retries: count.retries + bucket.retries,
        })
    }
}

impl RetryUsage {
    /// Marks the events before `now` as unknown, for a budget that starts to apply now.
    pub(super) fn mark_unknown_before(&mut self, now: Micros) {
        self.window.known_since = self.window.known_since.max(now);
    }

    fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }
}

impl Policy {
    /// Records an admitted request in all limits that depend on the number of requests.
    pub(super) fn record_admitted_request(&mut self, now: Micros) {
        self.retry_usage.earn();
        self.removal_probes.earn();
        self.add_to_window(now, WindowCount { admitted: 1, retries: 0 });
        self.setups.on_request();
    }

    /// Records an attempt that is about to be sent. It counts as a retry unless it is the first
    /// attempt of its request.
    pub(super) fn record_attempt(&mut self, now: Micros, connection: &Connection) {
        let retries = u32::from(!connection.attempted_servers.is_empty());
        self.add_to_window(now, WindowCount { admitted: 0, retries });
    }

    fn add_to_window(&mut self, now: Micros, event: WindowCount) {
        if let Some(budget) = self.settings.retry_budget {
            self.retry_usage.window.add(now, budget.window, event);
        }
    }

    /// Returns whether the budget allows another retry; always true without a budget. Unknown
    /// events count as used retries.
    pub(super) fn budget_allows_retry(&self, now: Micros) -> bool {
        let Some(RetryBudget { min_retries, retry_ratio, window }) = self.settings.retry_budget else {
            return true;
        };
        let count = self.retry_usage.window.count(now, window);
        let allowed = min_retries + retry_ratio * f64::from(count.admitted);
        self.retry_usage.window.is_known(now, window) && f64::from(count.retries + 1) <= allowed
    }

    /// Returns whether a retry after this outcome needs a token. With a budget, no tokens are
    /// needed. An attempt that reached no server caused no load, so its retry is free.
    fn needs_retry_token(&self, outcome: Outcome) -> bool {
        let reached_no_server = matches!(outcome, Outcome::NotForwarded | Outcome::ConnectFailed);
        self.settings.retry_budget.is_none() && !reached_no_server
    }

    /// Returns whether a token is available if a retry after this outcome needs one.
    pub(super) fn has_retry_token(&self, outcome: Outcome) -> bool {
        !self.needs_retry_token(outcome) || self.retry_usage.tokens >= 1.0
    }

    pub(super) fn spend_retry_token(&mut self, outcome: Outcome) {
        if self.needs_retry_token(outcome) {
            self.retry_usage.tokens -= 1.0;
        }
    }

    /// Stops retries in this process if there is a budget, and returns the window's buckets for the
    /// process that takes over. Returns `None` if the window is not completely known. Retry tokens
    /// are not transferred.
    pub fn hand_over_retry_budget(&mut self, now: Micros) -> Option<Vec<RetryBudgetBucket>> {
        let window = self.settings.retry_budget.map_or(Micros(0), |budget| budget.window);
        let usage = &mut self.retry_usage.window;
        let known = usage.is_known(now, window);
        usage.known_since = Micros(u64::MAX);
        known.then(|| usage.buckets.iter().copied().collect())
    }

    /// Takes over the buckets counted by the previous process. If it reported none, or if this
    /// process continues because its successor failed, retries are suspended until a complete
    /// window has passed.
    pub fn take_over_retry_budget(&mut self, now: Micros, reported: Option<Vec<RetryBudgetBucket>>) {
        let usage = &mut self.retry_usage.window;
        usage.known_since = if reported.is_some() { Micros(0) } else { now };
        let own = std::mem::take(&mut usage.buckets);
        usage.buckets = reported.into_iter().flatten().chain(own).collect();
    }
}
