//! Ways of choosing beside each other: the same emulated schedule at the same seeds, on all cores.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use thiserror::Error;

use crate::emulated::{self, Choice, EmulatedError, Sums};
use crate::history::History;
use crate::schedule::{Plan, ScheduleError};

/// Student's t, two-sided 95%, from one degree of freedom on; beyond the table the normal's is near enough.
const T95: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];

/// Why nothing was compared.
#[derive(Debug, Error)]
pub enum CompareError {
    /// A schedule can't be played.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// It can't be emulated.
    #[error(transparent)]
    Emulated(#[from] EmulatedError),
    /// There are no choices in it.
    #[error("{0}: no hosts or no clients: nothing is chosen there")]
    NoChoices(String),
}

/// A mean and half the width of its 95% confidence interval; none from a single value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// The mean.
    pub mean: f64,
    /// So much to either side.
    pub half: Option<f64>,
}

impl Figure {
    /// Of these values.
    pub fn of(values: &[f64]) -> Self {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n;
        let half = (values.len() > 1).then(|| {
            let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1.0);
            T95.get(values.len() - 2).copied().unwrap_or(1.96) * (variance / n).sqrt()
        });
        Figure { mean, half }
    }
}

/// What one way of choosing came to.
#[derive(Clone, Debug)]
pub struct Row {
    /// The way, and the parts on.
    pub way: Choice,
    /// One outcome for each seed.
    pub sums: Vec<Sums>,
}

impl Row {
    /// A figure of each outcome's traffic.
    pub fn figures(&self, of: impl Fn(&emulated::Traffic) -> f64) -> Vec<f64> {
        self.sums.iter().filter_map(|sums| sums.traffic.as_ref()).map(of).collect()
    }

    /// How much more of what was wanted was served than by another way, seed by seed.
    pub fn gain(&self, other: &Row) -> Figure {
        let share = |row: &Row| row.figures(emulated::Traffic::share);
        let gains: Vec<f64> = share(self).iter().zip(share(other)).map(|(a, b)| a - b).collect();
        Figure::of(&gains)
    }
}

/// Plays a schedule by each way and at each of so many seeds, from the file's own on.
///
/// # Errors
///
/// If the schedule can't be read or emulated, or has no hosts or no clients.
pub fn compare(file: &Path, ways: &[Choice], seeds: u64) -> Result<(Plan, Vec<Row>), CompareError> {
    let first = Plan::load(file, None)?;
    let plans = (0..seeds).map(|i| Plan::load(file, Some(first.seed.wrapping_add(i))));
    let plans: Vec<Plan> = plans.collect::<Result<_, _>>()?;
    let jobs: Vec<(usize, &Choice)> =
        ways.iter().flat_map(|way| (0..plans.len()).map(move |plan| (plan, way))).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let work = || {
        while let Some(&(plan, way)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            let sums = emulated::run(&plans[plan], way, &History::discard());
            // A thread that panics takes the whole comparison with it.
            done.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((way, plan, sums));
        }
    };
    thread::scope(|scope| {
        let cores = thread::available_parallelism().map_or(1, usize::from).min(jobs.len());
        (0..cores).for_each(|_| drop(scope.spawn(work)));
    });
    let mut done = done.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    done.sort_by(|(a, m, _), (b, n, _)| (a, m).cmp(&(b, n)));
    let mut rows: Vec<Row> = ways.iter().map(|way| Row { way: way.clone(), sums: Vec::new() }).collect();
    for (way, _, sums) in done {
        let sums = sums?;
        if sums.traffic.is_none() {
            return Err(CompareError::NoChoices(file.display().to_string()));
        }
        rows.iter_mut().filter(|row| row.way == *way).for_each(|row| row.sums.push(sums.clone()));
    }
    Ok((first, rows))
}
