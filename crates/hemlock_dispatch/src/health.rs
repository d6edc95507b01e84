//! Passive health checks of an instance, based on the outcomes of its runs.
//!
//! The checks handle gray failures, in which an instance claims to be healthy but fails, stalls or
//! refuses its runs. Such an instance frees its capacity fastest, so it would attract ever more
//! work.

use hemlock_types::time::{DurationMs, Instant};

use crate::estimate::MovingAverage;

/// Number of consecutive failures that eject an instance.
const EJECT_AFTER: u32 = 3;
/// Duration of the first ejection, in milliseconds. Each later one lasts twice as long.
const EJECTION_MIN_MS: u64 = 1_000;
/// Duration of the longest ejection, in milliseconds.
const EJECTION_MAX_MS: u64 = 8_000;
/// Number of consecutive successes that reset the ejection duration.
const EJECTION_RESET_AFTER: u32 = 20;
/// Weight of the newest run in the average slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Weight of the newest run in the average response ratio.
const RESPONSE_RATIO_WEIGHT: f64 = 0.08;
/// Ratio of elapsed to expected duration above which a single unfinished run marks the instance as
/// slow.
const SLOW_RUN_THRESHOLD: f64 = 8.0;
/// Average ratio of actual to expected duration above which an instance counts as slow. Smaller
/// differences matter less than errors of the expected wait.
const SLOW_AVERAGE_THRESHOLD: f64 = 3.0;

/// Health of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    consecutive_failures: u32,
    consecutive_successes: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Limits the instance to one run at a time after an ejection, until a run succeeds.
    on_probation: bool,
    /// Average ratio of actual to expected duration.
    slowdown: MovingAverage,
    /// Average ratio of the time from order to end to the expected duration.
    response_ratio: MovingAverage,
    /// Ratio of elapsed to expected duration of the slowest unfinished run, if above
    /// [`SLOW_RUN_THRESHOLD`].
    slow_running: Option<f64>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            consecutive_successes: 0,
            ejections: 0,
            ejected_until: None,
            on_probation: false,
            slowdown: MovingAverage::with_weight(SLOWDOWN_WEIGHT),
            response_ratio: MovingAverage::with_weight(RESPONSE_RATIO_WEIGHT),
            slow_running: None,
        }
    }
}

impl Health {
    /// Records a successful run.
    ///
    /// `duration_ratio` is the run's duration and `latest_response_ratio` the time from its order
    /// to its end, both divided by the expected duration.
    pub(crate) fn record_success(&mut self, duration_ratio: f64, latest_response_ratio: f64) {
        self.consecutive_failures = 0;
        self.consecutive_successes += 1;
        self.on_probation = false;
        self.slowdown.add(duration_ratio);
        self.response_ratio.add(latest_response_ratio);
        if self.consecutive_successes >= EJECTION_RESET_AFTER {
            self.ejections = 0;
        }
    }

    /// Records a run that failed, stalled or was refused.
    ///
    /// Returns the duration of the ejection if this failure ejects the instance.
    pub(crate) fn record_failure(&mut self, now: Instant) -> Option<DurationMs> {
        self.consecutive_successes = 0;
        self.consecutive_failures += 1;
        let should_eject = self.consecutive_failures >= EJECT_AFTER || self.on_probation;
        if !should_eject || self.is_ejected(now) {
            return None;
        }
        let duration_ms = (EJECTION_MIN_MS << self.ejections.min(8)).min(EJECTION_MAX_MS);
        self.ejections += 1;
        self.on_probation = true;
        let duration = DurationMs::new(duration_ms);
        self.ejected_until = Some(now + duration);
        Some(duration)
    }

    /// Whether the instance is ejected and receives no work.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the instance may receive another run beside `running` others.
    pub(crate) fn admits(&self, now: Instant, running: usize) -> bool {
        match self.on_probation {
            _ if self.is_ejected(now) => false,
            true => running == 0,
            false => true,
        }
    }

    /// End of the latest ejection, which may have passed.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Records the ratio of elapsed to expected duration of the slowest unfinished run.
    pub(crate) fn note_slowest_running(&mut self, slowdown: f64) {
        self.slow_running = Some(slowdown).filter(|slowdown| *slowdown > SLOW_RUN_THRESHOLD);
    }

    /// Average ratio of the time from order to end, queueing included, to the expected duration.
    pub(crate) fn response_ratio(&self) -> f64 {
        self.response_ratio.value_or(1.0)
    }

    /// Ratio of actual to expected duration of runs at the instance; 1 unless it counts as slow.
    pub(crate) fn slowdown(&self) -> f64 {
        let average = self.slowdown.value_or(1.0);
        let slowdown = if average > SLOW_AVERAGE_THRESHOLD {
            average
        } else {
            1.0
        };
        self.slow_running
            .map_or(slowdown, |slow| slow.max(slowdown))
    }
}
