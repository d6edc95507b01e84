//! How fast a service's queue moves while it is backlogged.

use hemlock_types::prelude::*;

/// Length of one measurement, in milliseconds.
const WINDOW_MS: u64 = 250;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Measures starts per second over windows in which something always waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    since: Instant,
    starts: u64,
    idle: bool,
    rate: Option<u64>,
}

impl Meter {
    /// Notes one start; `idle` when nothing waits behind it.
    pub fn note_start(&mut self, now: Instant, idle: bool) {
        self.roll(now);
        self.starts += 1;
        self.idle |= idle;
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.since(self.since).as_ms();
        if elapsed < WINDOW_MS {
            return;
        }
        let rate = self.starts * MS_PER_S / elapsed;
        self.rate = match (self.idle, self.rate) {
            (true, _) => None,
            (false, None) => Some(rate),
            (false, Some(before)) => Some((before + rate) / 2),
        };
        self.since = now;
        self.starts = 0;
        self.idle = false;
    }

    /// Starts per second, when the queue was backlogged through the last window.
    pub fn rate(&self) -> Option<u64> {
        self.rate.filter(|rate| *rate > 0)
    }
}
