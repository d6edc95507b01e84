//! Estimate of when a gateway has sent a message, from the time on its clock.

use hemlock_types::time::{DurationMs, Instant};

/// Time for which an offset is remembered at least. Clocks drift apart by some milliseconds in it.
const RETENTION: DurationMs = DurationMs::new(30_000);

/// The least difference between the arrival of a gateway's messages and their times on its clock.
///
/// The clocks have nothing in common, so the fastest message of late tells their difference.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockOffset {
    least_us: i64,
    /// The least one of the time before `since`.
    earlier_us: Option<i64>,
    since: Instant,
}

impl ClockOffset {
    /// Begins with a message that arrives now.
    pub(super) fn new(now: Instant, sent_us: u64) -> Self {
        Self {
            least_us: offset_us(now, sent_us),
            earlier_us: None,
            since: now,
        }
    }

    /// Notes a message that arrives now, and returns when it was sent if it was no faster than the
    /// fastest one.
    pub(super) fn estimate_sent(&mut self, now: Instant, sent_us: u64) -> Instant {
        let offset_us = offset_us(now, sent_us);
        if now >= self.since + RETENTION {
            self.earlier_us = Some(self.least_us);
            self.least_us = offset_us;
            self.since = now;
        }
        self.least_us = self.least_us.min(offset_us);
        let least_us = self
            .earlier_us
            .map_or(self.least_us, |earlier| earlier.min(self.least_us));
        let estimate_us = sent_us.cast_signed().saturating_add(least_us);
        let estimate_us = estimate_us.clamp(0, now.as_micros().cast_signed());
        Instant::from_micros(estimate_us.cast_unsigned())
    }

    /// Whether no message has arrived for so long that the offset may be forgotten.
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        now >= self.since + RETENTION + RETENTION
    }
}

fn offset_us(now: Instant, sent_us: u64) -> i64 {
    now.as_micros()
        .cast_signed()
        .saturating_sub(sent_us.cast_signed())
}
