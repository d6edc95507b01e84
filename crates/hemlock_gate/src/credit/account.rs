//! What the book of credits holds of one link.

use std::collections::VecDeque;

use hemlock_types::prelude::*;

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// Round trip assumed before the first measurement, in microseconds.
const FIRST_ROUND_TRIP_MICROS: u64 = 5_000;

/// Longest round trip that a promise waits for, in microseconds.
const MAX_ROUND_TRIP_MICROS: u64 = 25_000;

/// A measured round trip counts one part in this many.
const SMOOTHING: u64 = 4;

/// One link's credits.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// Credits that the entry may believe it holds.
    pub(super) held: u16,
    /// Of these, credits that are being recalled and reserve nothing.
    pub(super) recalling: u16,
    /// Of the reserved ones, credits granted to waiting work that must not be recalled yet.
    pub(super) promised: u16,
    /// Until when.
    pub(super) promised_until: Instant,
    /// Smoothed round trip, in microseconds; zero before the first measurement.
    pub(super) round_trip_micros: u64,
    /// Waiting tasks of the entry.
    pub(super) want: u16,
    /// Whether the link stands in the queue of waiting links.
    pub(super) queued: bool,
    /// No credits are dealt to a silent link.
    pub(super) silent: bool,
    /// Last use or grant, which orders the links for recalls.
    pub(super) used: Instant,
    /// Credits ever granted.
    pub(super) granted: u64,
    /// For each recall under way, the credits granted before it.
    pub(super) recalls: VecDeque<u64>,
}

impl Account {
    pub(super) fn reserved(&self) -> u16 {
        self.held - self.recalling
    }

    /// Reserved credits that may be recalled now.
    pub(super) fn spare(&self) -> u16 {
        self.reserved().saturating_sub(self.promised)
    }

    /// How long an asked-for credit may take to come back as a start, given a margin.
    pub(super) fn promise(&self, margin: DurationMs) -> DurationMs {
        let round_trip_micros = match self.round_trip_micros {
            0 => FIRST_ROUND_TRIP_MICROS,
            micros => micros.min(MAX_ROUND_TRIP_MICROS),
        };
        DurationMs::new(round_trip_micros.div_ceil(MICROS_PER_MS) + margin.as_ms())
    }

    pub(super) fn settle_bounds(&mut self) {
        self.recalling = self.recalling.min(self.held);
        self.promised = self.promised.min(self.reserved());
    }

    /// Takes a measured round trip into account.
    pub(super) fn note_round_trip(&mut self, micros: u64) {
        let smoothed = match self.round_trip_micros {
            0 => micros,
            known => (known * (SMOOTHING - 1) + micros) / SMOOTHING,
        };
        self.round_trip_micros = smoothed.max(1);
    }
}
