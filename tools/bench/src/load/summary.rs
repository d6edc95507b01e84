//! Means and percentiles.

/// A sorted sample.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    sorted: Vec<f64>,
}

impl Sample {
    /// Sorts the values.
    pub(crate) fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self { sorted: values }
    }

    /// How many values it has.
    pub(crate) fn len(&self) -> usize {
        self.sorted.len()
    }

    /// The mean, or zero of nothing.
    pub(crate) fn mean(&self) -> f64 {
        match self.sorted.len() {
            0 => 0.0,
            count => self.sorted.iter().sum::<f64>() / count as f64,
        }
    }

    /// The value below which `share` of the sample lies, or zero of nothing.
    pub(crate) fn quantile(&self, share: f64) -> f64 {
        let last = self.sorted.len().saturating_sub(1);
        let index = (share * last as f64).round() as usize;
        self.sorted.get(index).copied().unwrap_or(0.0)
    }

    /// The largest value, or zero of nothing.
    pub(crate) fn max(&self) -> f64 {
        self.sorted.last().copied().unwrap_or(0.0)
    }
}

/// `value` rounded to three decimals, for figures.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
