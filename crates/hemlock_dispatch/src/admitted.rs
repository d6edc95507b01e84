//! Rates of the admitted work by urgency level.
//!
//! During a burst of urgent work, less urgent work waits not only for what is queued ahead of it
//! but also for the urgent work that arrives meanwhile. Queues alone then promise waits that are
//! far too short.

use hemlock_types::time::{DurationMs, Instant};

use crate::order::URGENCY_LEVELS;

/// Time constant of the rates. It covers several jobs of a small dispatcher, and bursts last for
/// seconds.
const TIME_CONSTANT: DurationMs = DurationMs::new(500);

/// Exponentially decaying sums of the admitted work of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmittedWork {
    at: Instant,
    /// Decayed work by level, in milli-cores times milliseconds.
    sums: [f64; URGENCY_LEVELS],
}

impl AdmittedWork {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            at: now,
            sums: [0.0; URGENCY_LEVELS],
        }
    }

    fn decay(&self, now: Instant) -> f64 {
        let elapsed_ms = now.since(self.at).as_ms() as f64;
        (-elapsed_ms / TIME_CONSTANT.as_ms() as f64).exp()
    }

    /// Adds admitted work, in milli-cores times milliseconds.
    pub(crate) fn add(&mut self, now: Instant, level: usize, work: u64) {
        let decay = self.decay(now);
        self.sums.iter_mut().for_each(|sum| *sum *= decay);
        self.sums[level] += work as f64;
        self.at = now;
    }

    /// CPU that the work of all levels more urgent than `level` takes, in milli-cores.
    pub(crate) fn more_urgent_cpu_milli(&self, now: Instant, level: usize) -> f64 {
        let more_urgent: f64 = self.sums.iter().take(level).sum();
        more_urgent * self.decay(now) / TIME_CONSTANT.as_ms() as f64
    }
}
