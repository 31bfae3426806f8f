//! Linear regression by ordinary least squares, with the standard error of the slope.

/// A fitted line: y = `intercept` + `slope` · x.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Change of y per unit of x.
    pub slope: f64,
    /// Standard error of the slope; `None` with two points, since a line fits any two points exactly.
    pub slope_error: Option<f64>,
    /// Standard deviation of the residuals; `None` with two points.
    pub residual_deviation: Option<f64>,
    /// Coefficient of determination: the share of the variance of y that the line explains; `None` if all y
    /// are equal.
    pub r_squared: Option<f64>,
    /// Number of points.
    pub points: usize,
}

impl Fit {
    /// Fits a line to the points; `None` if they have fewer than two distinct x, or a number is not finite.
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
            return None;
        }
        let n = points.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let sum_squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_squares_x <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / sum_squares_x;
        let intercept = mean_y - slope * mean_x;
        let sum_squares_residual: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let sum_squares_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let residual_deviation = (points.len() > 2).then(|| (sum_squares_residual / (n - 2.0)).sqrt());
        Some(Fit {
            intercept,
            slope,
            slope_error: residual_deviation
                .map(|residual_deviation| residual_deviation / sum_squares_x.sqrt()),
            residual_deviation,
            r_squared: (sum_squares_y > 0.0).then(|| 1.0 - sum_squares_residual / sum_squares_y),
            points: points.len(),
        })
    }

    /// Returns the value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
