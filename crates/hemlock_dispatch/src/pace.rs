//! The pace of each instance relative to the other instances of its service.
//!
//! Load pattern addressed: instances of uneven speed, of which some take half and others twice as
//! long as the usual one. Runners report the ratio of actual to declared duration. Declared
//! durations have a common error, so a reported ratio is divided by the mean over the instances.
//!
//! Between instances of even speed, the ratios differ by errors of the measurement only. Such
//! differences must not affect placement. Small differences of speed are ignored as well, because
//! errors of the expected wait are larger than their effect.

/// Standard deviation of the logarithms of the ratios above which the instances have uneven speeds.
/// With smaller differences, tasks would queue at the faster instances while others are idle.
const UNEVEN_DEVIATION: f64 = 0.2;
/// Difference from the mean, as a logarithm, above which a single instance has an unusual speed,
/// although the speeds are even in general. It is six standard deviations of the measurement, and
/// corresponds to 1.5 times the usual duration.
const UNUSUAL_DIFFERENCE: f64 = 0.4;
/// Least number of instances of known ratio for a comparison.
const MIN_INSTANCES: f64 = 2.0;

/// Distribution of the reported ratios over the instances of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Paces {
    count: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl Paces {
    /// Adds the ratio that an instance reports, in percent; zero if it is unknown.
    pub(crate) fn add(&mut self, percent: u32) {
        if percent > 0 {
            let log = f64::from(percent).ln();
            self.count += 1.0;
            self.sum += log;
            self.sum_of_squares += log * log;
        }
    }

    /// The duration of a task at an instance relative to an instance of usual speed, from the ratio
    /// that the instance reports in percent; 1 if it is unknown.
    pub(crate) fn relative(&self, percent: u32) -> f64 {
        if percent == 0 || self.count < MIN_INSTANCES {
            return 1.0;
        }
        let mean = self.sum / self.count;
        let variance = (self.sum_of_squares / self.count - mean * mean).max(0.0);
        let difference = f64::from(percent).ln() - mean;
        let matters = variance.sqrt() > UNEVEN_DEVIATION || difference.abs() > UNUSUAL_DIFFERENCE;
        if matters { difference.exp() } else { 1.0 }
    }
}
