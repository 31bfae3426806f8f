//! Straight lines through measured points, and how sure their slopes are (ordinary least squares).

/// y = `at_zero` + `slope` x.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// y at x = 0.
    pub at_zero: f64,
    /// y for each x more.
    pub slope: f64,
    /// Standard error of the slope; none with two points, through which every line goes.
    pub error: Option<f64>,
    /// Standard deviation of the points about the line; none with two points.
    pub about: Option<f64>,
    /// The part of the points' variance that the line explains; none where all y are alike.
    pub explained: Option<f64>,
    /// How many points.
    pub points: usize,
}

impl Fit {
    /// The line nearest to these points; none where fewer than two x differ, or a number is not finite.
    pub fn line(points: &[(f64, f64)]) -> Option<Self> {
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
            return None;
        }
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let over_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || over_x <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / over_x;
        let at_zero = mean_y - slope * mean_x;
        let rest: f64 = points.iter().map(|(x, y)| (y - at_zero - slope * x).powi(2)).sum();
        let over_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let about = (points.len() > 2).then(|| (rest / (n - 2.0)).sqrt());
        Some(Fit {
            at_zero,
            slope,
            error: about.map(|about| about / over_x.sqrt()),
            about,
            explained: (over_y > 0.0).then(|| 1.0 - rest / over_y),
            points: points.len(),
        })
    }

    /// y at an x.
    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}
