//! Retry budget: how many attempts beyond the first are allowed.

use std::collections::VecDeque;

use crate::types::{Micros, RetryBudget, RetryBudgetBucket};

use super::Policy;

/// Further attempts that each first attempt earns: in a storm, retries add no more than this to the load.
pub(super) const TOKENS_PER_REQUEST: f64 = 0.2;

/// Further attempts that may be saved up.
pub(super) const MAX_TOKENS: f64 = 10.0;

/// Parts of the span over which further attempts are counted: no more than this is held of it.
const BUCKETS_PER_WINDOW: f64 = 50.0;

/// Further attempts and requests of the stated span, in parts. What is partly out of the span counts as out
/// for requests and as in for attempts, so the count is never laxer than the rule.
#[derive(Default)]
pub(super) struct SlidingWindow {
    pub(super) parts: VecDeque<RetryBudgetBucket>,
    /// Nothing before is known: the start, or what was dropped.
    pub(super) since: Micros,
}

impl SlidingWindow {
    pub(super) fn add(&mut self, now: Micros, over: Micros, taken: u32, further: u32) {
        while let Some(part) = self.parts.front().filter(|part| part.last_event + over < now) {
            self.since = self.since.max(part.last_event);
            self.parts.pop_front();
        }
        match self
            .parts
            .back_mut()
            .filter(|part| now < part.first_event + over.scale(1.0 / BUCKETS_PER_WINDOW))
        {
            Some(p) => (p.last_event, p.admitted, p.retries) = (now, p.admitted + taken, p.retries + further),
            None => self.parts.push_back(RetryBudgetBucket {
                first_event: now,
                last_event: now,
                admitted: taken,
                retries: further,
            }),
        }
    }

    pub(super) fn known(&self, now: Micros, over: Micros) -> bool {
        self.since == Micros(0) || self.since + over < now
    }

    /// Requests taken and further attempts within the span.
    pub(super) fn within(&self, now: Micros, over: Micros) -> (u32, u32) {
        let within = self.parts.iter().filter(|part| part.last_event + over >= now);
        within.fold((0, 0), |(taken, further), part| {
            (taken + part.admitted * u32::from(part.first_event + over > now), further + part.retries)
        })
    }
}

/// Retries that this node may make, and those that it has made.
pub(super) struct RetryUsage {
    pub(super) tokens: f64,
    pub(super) window: SlidingWindow,
}

impl Default for RetryUsage {
    fn default() -> Self {
        RetryUsage { tokens: MAX_TOKENS, window: SlidingWindow::default() }
    }
}

impl Policy {
    pub(super) fn count_in_window(&mut self, now: Micros, taken: u32, further: u32) {
        if let Some(budget) = self.settings.retry_budget {
            self.retry_usage.window.add(now, budget.window, taken, further);
        }
    }

    /// Whether the stated budget allows one more further attempt.
    pub(super) fn budget_allows(&self, now: Micros, budget: RetryBudget) -> bool {
        let (taken, further) = self.retry_usage.window.within(now, budget.window);
        // Settings that name a longer span than before wait until that much is known.
        self.retry_usage.window.known(now, budget.window)
            && f64::from(further + 1) <= budget.min_retries + budget.retry_ratio * f64::from(taken)
    }

    /// What was counted of further attempts, for the process that takes this one's place, or nothing where
    /// that is not
    /// known. This one makes none from now on.
    pub fn hand_over_retry_budget(&mut self, now: Micros) -> Option<Vec<RetryBudgetBucket>> {
        let over = self.settings.retry_budget.map_or(Micros(0), |budget| budget.window);
        let known = self.retry_usage.window.known(now, over);
        self.retry_usage.window.since = Micros(u64::MAX);
        known.then(|| self.retry_usage.window.parts.iter().copied().collect())
    }

    /// Takes over what the process before has counted. Where it told nothing, or this process serves on after
    /// one that
    /// was to take its place, no further attempts are made until the span has passed.
    pub fn take_over_retry_budget(&mut self, now: Micros, told: Option<Vec<RetryBudgetBucket>>) {
        self.retry_usage.window.since = if told.is_some() { Micros(0) } else { now };
        let own = std::mem::take(&mut self.retry_usage.window.parts);
        self.retry_usage.window.parts = told.into_iter().flatten().chain(own).collect();
    }
}
