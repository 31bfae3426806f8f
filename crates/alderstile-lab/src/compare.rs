//! Comparison of load-balancing strategies: the same emulated schedule is run with each strategy and the same
//! seeds, in parallel on all cores.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use thiserror::Error;

use crate::emulated::{self, EmulationError, RunMetrics, StrategySpec};
use crate::history::History;
use crate::schedule::{Plan, ScheduleError};

/// Quantiles of Student's t distribution for a two-sided 95% interval, from one degree of freedom on. Beyond
/// the table the quantile of the normal distribution is close enough.
const STUDENT_T_95: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];

/// Errors of a comparison.
#[derive(Debug, Error)]
pub enum CompareError {
    /// The schedule is invalid.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// The schedule can't be emulated.
    #[error(transparent)]
    Emulated(#[from] EmulationError),
    /// The schedule has no hosts or no clients, so that no load is balanced.
    #[error("{0}: nothing to compare: expected a schedule with hosts and clients")]
    NoTraffic(String),
}

/// A mean and its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean of the values.
    pub mean: f64,
    /// Half the width of the 95% confidence interval; `None` for a single value.
    pub half_width: Option<f64>,
}

impl Estimate {
    /// Estimates the mean of the values.
    pub fn from_values(values: &[f64]) -> Self {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n;
        let half_width = (values.len() > 1).then(|| {
            let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1.0);
            STUDENT_T_95.get(values.len() - 2).copied().unwrap_or(1.96) * (variance / n).sqrt()
        });
        Estimate { mean, half_width }
    }
}

/// Results of one load-balancing strategy.
#[derive(Clone, Debug)]
pub struct StrategyResults {
    /// The strategy and the additional features that are enabled.
    pub strategy: StrategySpec,
    /// Metrics of one run per seed.
    pub runs: Vec<RunMetrics>,
}

impl StrategyResults {
    /// Returns a traffic metric of each run.
    pub fn traffic_values(&self, metric: impl Fn(&emulated::TrafficMetrics) -> f64) -> Vec<f64> {
        self.runs.iter().filter_map(|metrics| metrics.traffic.as_ref()).map(metric).collect()
    }

    /// Estimates by how much the served share exceeds that of another strategy, from pairs of runs with the
    /// same seed.
    pub fn served_share_gain(&self, other: &StrategyResults) -> Estimate {
        let served_share =
            |result: &StrategyResults| result.traffic_values(emulated::TrafficMetrics::served_share);
        let gains: Vec<f64> =
            served_share(self).iter().zip(served_share(other)).map(|(a, b)| a - b).collect();
        Estimate::from_values(&gains)
    }
}

/// Runs a schedule with each strategy and `seeds` consecutive seeds, starting at the schedule's own seed.
///
/// # Errors
///
/// If the schedule can't be read or emulated, or has no hosts or no clients.
pub fn compare(
    file: &Path,
    strategies: &[StrategySpec],
    seeds: u64,
) -> Result<(Plan, Vec<StrategyResults>), CompareError> {
    let base_plan = Plan::load(file, None)?;
    let plans = (0..seeds).map(|i| Plan::load(file, Some(base_plan.seed.wrapping_add(i))));
    let plans: Vec<Plan> = plans.collect::<Result<_, _>>()?;
    let jobs: Vec<(usize, &StrategySpec)> =
        strategies.iter().flat_map(|strategy| (0..plans.len()).map(move |plan| (plan, strategy))).collect();
    let (next, finished) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let worker = || {
        while let Some(&(plan, strategy)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            let metrics = emulated::run(&plans[plan], strategy, &History::discard());
            // A poisoned lock is harmless: a panic of one worker fails the whole comparison when the scope
            // joins it.
            finished.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((strategy, plan, metrics));
        }
    };
    thread::scope(|scope| {
        let cores = thread::available_parallelism().map_or(1, usize::from).min(jobs.len());
        (0..cores).for_each(|_| drop(scope.spawn(worker)));
    });
    let mut finished = finished.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    finished.sort_by(|(a, m, _), (b, n, _)| (a, m).cmp(&(b, n)));
    let mut results: Vec<StrategyResults> = strategies
        .iter()
        .map(|strategy| StrategyResults { strategy: strategy.clone(), runs: Vec::new() })
        .collect();
    for (strategy, _, metrics) in finished {
        let metrics = metrics?;
        if metrics.traffic.is_none() {
            return Err(CompareError::NoTraffic(file.display().to_string()));
        }
        results
            .iter_mut()
            .filter(|result| result.strategy == *strategy)
            .for_each(|result| result.runs.push(metrics.clone()));
    }
    Ok((base_plan, results))
}
