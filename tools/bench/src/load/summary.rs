//! Mean and quantiles of measured values.

/// A sorted sample.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    sorted: Vec<f64>,
}

impl Sample {
    /// Creates a sample of the values, in any order.
    pub(crate) fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self { sorted: values }
    }

    /// Returns the number of values.
    pub(crate) fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Returns the mean, or zero if the sample is empty.
    pub(crate) fn mean(&self) -> f64 {
        match self.sorted.len() {
            0 => 0.0,
            count => self.sorted.iter().sum::<f64>() / count as f64,
        }
    }

    /// Returns the quantile at `share` (0 to 1), or zero if the sample is empty.
    pub(crate) fn quantile(&self, share: f64) -> f64 {
        let last = self.sorted.len().saturating_sub(1);
        let index = (share * last as f64).round() as usize;
        self.sorted.get(index).copied().unwrap_or(0.0)
    }

    /// Returns the largest value, or zero if the sample is empty.
    pub(crate) fn max(&self) -> f64 {
        self.sorted.last().copied().unwrap_or(0.0)
    }
}

/// Rounds a value to three decimals, for the figures.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
