//! Retry budget: how many attempts beyond requests' first ones are allowed, so that retries do not amplify a
//! storm.
//!
//! Where the settings state a budget, retries and admitted requests are counted over a sliding window; else
//! retries spend tokens that admitted requests earn.

use std::collections::VecDeque;

use crate::types::{Micros, Outcome, RetryBudget, RetryBudgetBucket};

use super::Policy;
use super::connection::Connection;

/// Retry tokens that each admitted request earns: in a storm, retries add no more than this share to the
/// load.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Retry tokens that may be saved.
const MAX_TOKENS: f64 = 10.0;
/// Buckets of a window, which bound the memory that it takes.
const BUCKETS_PER_WINDOW: f64 = 50.0;

/// Retries that this node may make, and those that it has made.
pub(super) struct RetryUsage {
    tokens: f64,
    window: SlidingWindow,
}

impl Default for RetryUsage {
    fn default() -> Self {
        RetryUsage { tokens: MAX_TOKENS, window: SlidingWindow::default() }
    }
}

/// Retries and admitted requests of a sliding window, in buckets. A bucket that is partly outside the window
/// counts as outside for requests and as inside for retries: the count is never laxer than the rule.
#[derive(Default)]
struct SlidingWindow {
    buckets: VecDeque<RetryBudgetBucket>,
    /// Nothing is known of the time before; zero where all is known.
    known_since: Micros,
}

/// Events within a window.
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

    /// Whether all of the window is known.
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
    /// A budget that is stated from now on knows nothing of the time before.
    pub(super) fn mark_unknown_before(&mut self, now: Micros) {
        self.window.known_since = self.window.known_since.max(now);
    }

    fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }
}

impl Policy {
    /// Counts a request in all that is bounded by the number of requests.
    pub(super) fn record_admitted_request(&mut self, now: Micros) {
        self.retry_usage.earn();
        self.removal_probes.earn();
        self.add_to_window(now, WindowCount { admitted: 1, retries: 0 });
        self.setups.on_request();
    }

    /// Counts an attempt that is about to be sent, as a retry unless it is the first of its request.
    pub(super) fn record_attempt(&mut self, now: Micros, connection: &Connection) {
        let retries = u32::from(!connection.attempted_servers.is_empty());
        self.add_to_window(now, WindowCount { admitted: 0, retries });
    }

    fn add_to_window(&mut self, now: Micros, event: WindowCount) {
        if let Some(budget) = self.settings.retry_budget {
            self.retry_usage.window.add(now, budget.window, event);
        }
    }

    /// Whether the stated budget allows one more retry; true where none is stated. What is not known counts
    /// as spent.
    pub(super) fn budget_allows_retry(&self, now: Micros) -> bool {
        let Some(RetryBudget { min_retries, retry_ratio, window }) = self.settings.retry_budget else {
            return true;
        };
        let count = self.retry_usage.window.count(now, window);
        let allowed = min_retries + retry_ratio * f64::from(count.admitted);
        self.retry_usage.window.is_known(now, window) && f64::from(count.retries + 1) <= allowed
    }

    /// Whether a retry after this outcome needs a token. Where a budget is stated that bounds retries
    /// instead, and what no server has seen is no load on any.
    fn needs_retry_token(&self, outcome: Outcome) -> bool {
        let unseen = matches!(outcome, Outcome::NotForwarded | Outcome::ConnectFailed);
        self.settings.retry_budget.is_none() && !unseen
    }

    /// Whether a retry after this outcome has the token that it needs.
    pub(super) fn has_retry_token(&self, outcome: Outcome) -> bool {
        !self.needs_retry_token(outcome) || self.retry_usage.tokens >= 1.0
    }

    pub(super) fn spend_retry_token(&mut self, outcome: Outcome) {
        if self.needs_retry_token(outcome) {
            self.retry_usage.tokens -= 1.0;
        }
    }

    /// Stops this process's retries where a budget is stated, and returns what was counted for the process
    /// that takes its place; none where it is not known. Retry tokens are not handed over.
    pub fn hand_over_retry_budget(&mut self, now: Micros) -> Option<Vec<RetryBudgetBucket>> {
        let window = self.settings.retry_budget.map_or(Micros(0), |budget| budget.window);
        let usage = &mut self.retry_usage.window;
        let known = usage.is_known(now, window);
        usage.known_since = Micros(u64::MAX);
        known.then(|| usage.buckets.iter().copied().collect())
    }

    /// Takes over what the process before has counted. Where it reported nothing, or where this process
    /// serves on after one that was to take its place, no retries are made until the window has passed.
    pub fn take_over_retry_budget(&mut self, now: Micros, reported: Option<Vec<RetryBudgetBucket>>) {
        let usage = &mut self.retry_usage.window;
        usage.known_since = if reported.is_some() { Micros(0) } else { now };
        let own = std::mem::take(&mut usage.buckets);
        usage.buckets = reported.into_iter().flatten().chain(own).collect();
    }
}
