//! Whether an instance is fit for work, judged by how its runs end.
//!
//! Answers the load pattern of a gray failure: an instance that says it is well and fails, stalls
//! or refuses what it is given. Such an instance frees its room fastest, so it would draw ever more
//! work.

use hemlock_types::time::{DurationMs, Instant};

use crate::estimate::MovingAverage;

/// Bad ends in a row that eject an instance.
const EJECT_AFTER: u32 = 3;
/// The first ejection; each later one lasts twice as long.
const EJECTION_MIN_MS: u64 = 1_000;
/// The longest ejection.
const EJECTION_MAX_MS: u64 = 8_000;
/// Good ends in a row after which earlier ejections are forgotten.
const FORGIVE_AFTER: u32 = 20;
/// Weight of the newest run in the average of durations.
const PACE_WEIGHT: f64 = 0.15;
/// Weight of the newest run in the average of response times.
const RESPONSE_WEIGHT: f64 = 0.08;
/// A run that takes more than this against what was expected shows a slow instance by itself.
const SLOW_RUN: f64 = 8.0;
/// An average above this shows a slow instance; below it the difference is smaller than what a wrong
/// guess at the wait would cost.
const SLOW_PACE: f64 = 3.0;

/// Judges one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    bad_in_row: u32,
    good_in_row: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Whether it may have only one run until one has ended well.
    on_probation: bool,
    pace: MovingAverage,
    response: MovingAverage,
    /// How slow the slowest run is that goes on, while it is slow.
    slow_pace: Option<f64>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            bad_in_row: 0,
            good_in_row: 0,
            ejections: 0,
            ejected_until: None,
            on_probation: false,
            pace: MovingAverage::with_weight(PACE_WEIGHT),
            response: MovingAverage::with_weight(RESPONSE_WEIGHT),
            slow_pace: None,
        }
    }
}

impl Health {
    /// Notes a run that ended well, how long it took, and how long after its order its end came,
    /// both against what was expected.
    pub(crate) fn note_good(&mut self, took_share: f64, response_share: f64) {
        self.bad_in_row = 0;
        self.good_in_row += 1;
        self.on_probation = false;
        self.pace.note(took_share);
        self.response.note(response_share);
        if self.good_in_row >= FORGIVE_AFTER {
            self.ejections = 0;
        }
    }

    /// Notes a run that failed, stood still or was refused.
    ///
    /// Returns how long the instance is ejected, if it is by this.
    pub(crate) fn note_bad(&mut self, now: Instant) -> Option<DurationMs> {
        self.good_in_row = 0;
        self.bad_in_row += 1;
        let due = self.bad_in_row >= EJECT_AFTER || self.on_probation;
        if !due || self.is_ejected(now) {
            return None;
        }
        let length_ms = (EJECTION_MIN_MS << self.ejections.min(8)).min(EJECTION_MAX_MS);
        self.ejections += 1;
        self.on_probation = true;
        let length = DurationMs::new(length_ms);
        self.ejected_until = Some(now + length);
        Some(length)
    }

    /// Whether it gets no work now.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it may get one more run beside `running` others.
    pub(crate) fn admits(&self, now: Instant, running: usize) -> bool {
        match self.on_probation {
            _ if self.is_ejected(now) => false,
            true => running == 0,
            false => true,
        }
    }

    /// When the ejection ends, if one is on.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Notes how long the slowest run that goes on has taken against what is expected.
    pub(crate) fn note_slowest(&mut self, pace: f64) {
        self.slow_pace = Some(pace).filter(|pace| *pace > SLOW_RUN);
    }

    /// How long ends have come after the orders against what was expected, queueing included.
    pub(crate) fn response(&self) -> f64 {
        self.response.value_or(1.0)
    }

    /// How long its runs take against what is expected; 1 unless it is slow.
    pub(crate) fn pace(&self) -> f64 {
        let average = self.pace.value_or(1.0);
        let pace = if average > SLOW_PACE { average } else { 1.0 };
        self.slow_pace.map_or(pace, |slow| slow.max(pace))
    }
}
