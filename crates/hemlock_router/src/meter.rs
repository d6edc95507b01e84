//! Throughput of a service's queue while it is backlogged.

use hemlock_types::prelude::*;

/// Minimum length of one measurement window, in milliseconds.
const WINDOW_MS: u64 = 250;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Measures starts per second over windows in which the queue never became empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartRateMeter {
    window_start: Instant,
    starts: u64,
    queue_emptied: bool,
    rate: Option<u64>,
}

impl StartRateMeter {
    /// Records one start; `queue_emptied` when nothing waits after it.
    pub fn note_start(&mut self, now: Instant, queue_emptied: bool) {
        self.close_window(now);
        self.starts += 1;
        self.queue_emptied |= queue_emptied;
    }

    fn close_window(&mut self, now: Instant) {
        let elapsed = now.since(self.window_start).as_ms();
        if elapsed < WINDOW_MS {
            return;
        }
        let rate = self.starts * MS_PER_S / elapsed;
        self.rate = match (self.queue_emptied, self.rate) {
            (true, _) => None,
            (false, None) => Some(rate),
            (false, Some(previous)) => Some((previous + rate) / 2),
        };
        self.window_start = now;
        self.starts = 0;
        self.queue_emptied = false;
    }

    /// Starts per second; `None` unless the queue was backlogged during the whole last window.
    pub fn rate(&self) -> Option<u64> {
        self.rate.filter(|rate| *rate > 0)
    }
}
