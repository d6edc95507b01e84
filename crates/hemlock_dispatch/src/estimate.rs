//! Learnt durations.

/// Factor by which a declared duration may be too long.
pub(crate) const ESTIMATE_MAY_BE_HIGH_BY: u64 = 2;

/// Weight of the newest figure in a moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// A moving average that begins with its first figure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    value: Option<f64>,
    weight: f64,
}

impl Default for MovingAverage {
    fn default() -> Self {
        Self::with_weight(NEWEST_WEIGHT)
    }
}

impl MovingAverage {
    /// An average in which the newest figure has the given weight.
    pub(crate) fn with_weight(weight: f64) -> Self {
        Self {
            value: None,
            weight,
        }
    }

    /// Takes in a figure.
    pub(crate) fn note(&mut self, figure: f64) {
        self.value = Some(match self.value {
            Some(value) => value + self.weight * (figure - value),
            None => figure,
        });
    }

    /// The average, or `default` before the first figure.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}
