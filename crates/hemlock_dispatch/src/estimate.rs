//! Moving averages and the accuracy of estimated durations.

/// Largest factor by which a declared duration may exceed the true one.
pub(crate) const MAX_OVERESTIMATE_FACTOR: u64 = 2;

/// Default weight of the newest sample in a moving average.
const DEFAULT_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average that starts at its first sample.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    value: Option<f64>,
    weight: f64,
}

impl Default for MovingAverage {
    fn default() -> Self {
        Self::with_weight(DEFAULT_WEIGHT)
    }
}

impl MovingAverage {
    /// Creates an average in which the newest sample has the given weight.
    pub(crate) fn with_weight(weight: f64) -> Self {
        Self {
            value: None,
            weight,
        }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64) {
        self.value = Some(match self.value {
            Some(value) => value + self.weight * (sample - value),
            None => sample,
        });
    }

    /// The average, or `default` before the first sample.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}
