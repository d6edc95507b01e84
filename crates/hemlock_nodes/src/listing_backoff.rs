//! Delays between listings of an instance that doesn't answer them.
//!
//! Covers an instance that resets every connection: each listing fails at once, and the next one
//! would open another connection without a pause.

use hemlock_types::prelude::DurationMs;

/// Delay after the first unanswered listing. A single lost answer must delay ends only briefly.
const MIN_DELAY: DurationMs = DurationMs::new(10);
/// Upper limit of the delay, which doubles with each unanswered listing.
const MAX_DELAY: DurationMs = DurationMs::new(160);

/// Yields the delay before the next listing.
#[derive(Debug, Default)]
pub struct ListingBackoff {
    unanswered: u32,
}

impl ListingBackoff {
    /// Resets the delay after an answer.
    pub fn reset(&mut self) {
        self.unanswered = 0;
    }

    /// Returns the delay after another unanswered listing.
    pub fn next_delay(&mut self) -> DurationMs {
        let doublings = self.unanswered.min(MAX_DELAY.as_ms().ilog2());
        self.unanswered = self.unanswered.saturating_add(1);
        DurationMs::new(MIN_DELAY.as_ms() << doublings).min(MAX_DELAY)
    }
}
