//! Straight lines through measured points.

/// A least-squares line through points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Change of y for each unit of x.
    pub(crate) slope: f64,
    /// y at x = 0.
    pub(crate) intercept: f64,
    /// Share of the points' variance that the line explains.
    pub(crate) r_squared: f64,
}

impl Fit {
    /// Fits a line through two or more points of different x.
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
        let spread_x = sum(&|x, _| x * x);
        let spread_y = sum(&|_, y| y * y);
        let together = sum(&|x, y| x * y);
        let slope = if spread_x > 0.0 {
            together / spread_x
        } else {
            0.0
        };
        let explained = slope * together;
        let r_squared = if spread_y > 0.0 {
            explained / spread_y
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
