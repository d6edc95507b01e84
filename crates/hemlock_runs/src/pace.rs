//! The pace of an instance: the usual ratio of the actual to the declared duration of its runs.
//!
//! Load pattern addressed: instances of uneven speed, and instances that become slow or recover
//! during operation. Declared durations are off by up to 40 %, durations are log-normal with sigma
//! 0.4, and 3 % of the tasks may take seven times as long. The pace is therefore a mean of the
//! logarithms of the ratios, from which no single run may differ by more than [`MAX_DEVIATION`].
//!
//! A slow mean gives an accurate figure for a steady instance. A fast mean beside it detects a
//! change of speed within a few runs and replaces the slow one.

/// Number of runs before the pace counts as known.
const MIN_RUNS: u32 = 8;
/// Number of runs over which the slow mean extends. Single ratios have a standard deviation of about
/// 0.45 in the logarithm, so that of the mean is 0.065.
const WINDOW_RUNS: u32 = 24;
/// Weight of the newest run in the fast mean.
const FAST_WEIGHT: f64 = 0.25;
/// Largest difference of a run from the slow mean that counts, as a logarithm. It lets a run that
/// takes seven times as long count as 2.2 times as long.
const MAX_DEVIATION: f64 = 0.8;
/// Difference between the means at which the speed has changed, as a logarithm. This is three
/// standard deviations of the fast mean. A change to twice the duration reaches it in five runs.
const CHANGE_THRESHOLD: f64 = 0.5;
/// Shortest declared duration that is measured, in milliseconds. The delay before an end is noticed
/// would make shorter runs look slow.
const MIN_DECLARED_MS: u64 = 10;

/// Measures the pace of one incarnation of an instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    runs: u32,
    /// Mean logarithm of the ratios over [`WINDOW_RUNS`] runs.
    slow_mean: f64,
    /// Mean logarithm of the ratios over the last few runs.
    fast_mean: f64,
}

impl Pace {
    /// Adds a run with its declared and actual durations.
    pub(crate) fn add(&mut self, declared_ms: u64, actual_ms: u64) {
        if declared_ms < MIN_DECLARED_MS || actual_ms == 0 {
            return;
        }
        let log_ratio = (actual_ms as f64 / declared_ms as f64).ln();
        self.runs = self.runs.saturating_add(1);
        let deviation = (log_ratio - self.slow_mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let log_ratio = self.slow_mean + deviation;
        let slow_weight = 1.0 / f64::from(self.runs.min(WINDOW_RUNS));
        let fast_weight = FAST_WEIGHT.max(slow_weight);
        self.slow_mean += slow_weight * deviation;
        self.fast_mean += fast_weight * (log_ratio - self.fast_mean);
        if (self.fast_mean - self.slow_mean).abs() > CHANGE_THRESHOLD {
            self.slow_mean = self.fast_mean;
            // The mean over the following runs starts with the runs of the fast one.
            self.runs = MIN_RUNS;
        }
    }

    /// The pace in percent; zero while it is unknown.
    pub(crate) fn percent(&self) -> u32 {
        match self.runs {
            0..MIN_RUNS => 0,
            _ => (self.slow_mean.exp() * 100.0).round() as u32,
        }
    }
}
