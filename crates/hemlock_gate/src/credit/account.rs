//! Credit account of one link.

use std::collections::VecDeque;

use hemlock_types::prelude::*;

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// Round trip assumed before the first measurement, in microseconds.
const INITIAL_ROUND_TRIP_MICROS: u64 = 5_000;

/// Upper bound on the round trip that recall protection allows for, in microseconds.
const MAX_ROUND_TRIP_MICROS: u64 = 25_000;

/// Divisor of the moving average: a new round trip has a weight of one over this number.
const SMOOTHING_DIVISOR: u64 = 4;

/// Credit balance and demand of one link.
#[derive(Debug, Default)]
pub(super) struct CreditAccount {
    /// Upper bound on the credits that the entry holds, including those under recall.
    pub(super) held: u16,
    /// Number of held credits that are under recall and no longer reserve a slot.
    pub(super) recalling: u16,
    /// Number of reserved credits that were granted to waiting tasks and must not be recalled
    /// before `protected_until`.
    pub(super) protected: u16,
    /// End of the recall protection.
    pub(super) protected_until: Instant,
    /// Moving average of the round trip, in microseconds; zero before the first measurement.
    pub(super) round_trip_micros: u64,
    /// Number of the entry's tasks that wait for a slot.
    pub(super) waiting_tasks: u16,
    /// `true` if the link is in the queue of waiting links.
    pub(super) queued: bool,
    /// `true` if the link does not answer heartbeats; such a link is granted no credits.
    pub(super) unresponsive: bool,
    /// Time of the latest grant or use; credits of the least recently used link are recalled
    /// first.
    pub(super) last_used: Instant,
    /// Number of credits granted since the link opened.
    pub(super) total_granted: u64,
    /// Value of `total_granted` at the time of each unanswered recall, oldest first.
    pub(super) granted_at_recall: VecDeque<u64>,
}

impl CreditAccount {
    /// Number of slots that the link's credits reserve.
    pub(super) fn reserved(&self) -> u16 {
        self.held - self.recalling
    }

    /// Number of reserved credits that may be recalled now.
    pub(super) fn recallable(&self) -> u16 {
        self.reserved().saturating_sub(self.protected)
    }

    /// Time that a start may take to arrive after its credit was granted: a round trip and
    /// `margin`.
    pub(super) fn protection(&self, margin: DurationMs) -> DurationMs {
        let round_trip_micros = match self.round_trip_micros {
            0 => INITIAL_ROUND_TRIP_MICROS,
            micros => micros.min(MAX_ROUND_TRIP_MICROS),
        };
        DurationMs::new(round_trip_micros.div_ceil(MICROS_PER_MS) + margin.as_ms())
    }

    /// Restores `recalling <= held` and `protected <= reserved` after a change.
    pub(super) fn clamp_counts(&mut self) {
        self.recalling = self.recalling.min(self.held);
        self.protected = self.protected.min(self.reserved());
    }

    /// Adds a measured round trip to the moving average.
    pub(super) fn record_round_trip(&mut self, micros: u64) {
        let smoothed = match self.round_trip_micros {
            0 => micros,
            average => (average * (SMOOTHING_DIVISOR - 1) + micros) / SMOOTHING_DIVISOR,
        };
        self.round_trip_micros = smoothed.max(1);
    }
}
