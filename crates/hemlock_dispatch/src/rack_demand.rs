//! Recent demand of tasks for the racks that they prefer.
//!
//! Load pattern addressed: hot keys, for which more than half of the urgent jobs prefer the same
//! rack for some seconds. Other work then avoids that rack where this costs it nothing.

use std::collections::BTreeMap;

use hemlock_types::time::{DurationMs, Instant};

/// Time constant of the rates. It covers some twenty jobs of a gateway, and hot keys last for
/// seconds.
const TIME_CONSTANT: DurationMs = DurationMs::new(1_000);
/// Demand below which a rack is forgotten, in milli-cores.
const MIN_CPU_MILLI: f64 = 1.0;

/// Exponentially decaying sums of the work that prefers each rack.
#[derive(Clone, Debug)]
pub(crate) struct RackDemand {
    at: Instant,
    /// Decayed work by rack, in milli-cores times milliseconds.
    sums: BTreeMap<String, f64>,
}

impl RackDemand {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            at: now,
            sums: BTreeMap::new(),
        }
    }

    /// Adds work that prefers a rack, in milli-cores times milliseconds.
    pub(crate) fn add(&mut self, now: Instant, rack: &str, work: u64) {
        self.decay(now);
        match self.sums.get_mut(rack) {
            Some(sum) => *sum += work as f64,
            None => {
                self.sums.insert(rack.to_owned(), work as f64);
            }
        }
    }

    /// Applies the decay up to now.
    pub(crate) fn decay(&mut self, now: Instant) {
        let elapsed_ms = now.since(self.at).as_ms() as f64;
        let factor = (-elapsed_ms / TIME_CONSTANT.as_ms() as f64).exp();
        self.sums.values_mut().for_each(|sum| *sum *= factor);
        self.sums.retain(|_, sum| cpu_milli(*sum) >= MIN_CPU_MILLI);
        self.at = now;
    }

    /// The racks with the CPU that the demand for them takes, in milli-cores.
    pub(crate) fn racks(&self) -> impl Iterator<Item = (&str, f64)> {
        self.sums
            .iter()
            .map(|(rack, sum)| (rack.as_str(), cpu_milli(*sum)))
    }
}

fn cpu_milli(sum: f64) -> f64 {
    sum / TIME_CONSTANT.as_ms() as f64
}
