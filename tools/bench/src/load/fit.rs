//! Linear regression through measured points.

/// A least-squares line through points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Change of y per unit of x.
    pub(crate) slope: f64,
    /// Value of y at x = 0.
    pub(crate) intercept: f64,
    /// Share of the variance of y that the line explains.
    pub(crate) r_squared: f64,
}

impl Fit {
    /// Fits a line through two or more points with different values of x.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: &dyn Fn(f64, f64) -> f64| -> f64 {
            points
                .iter()
                .map(|(x, y)| term(x - mean_x, y - mean_y))
                .sum()
        };
        let sum_xx = sum(&|x, _| x * x);
        let sum_yy = sum(&|_, y| y * y);
        let sum_xy = sum(&|x, y| x * y);
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let explained = slope * sum_xy;
        let r_squared = if sum_yy > 0.0 {
            explained / sum_yy
        } else {
            1.0
        };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared,
        }
    }
}
