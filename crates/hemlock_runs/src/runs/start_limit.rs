//! Limits of new starts at an instance whose failure domain is evacuated or that is cold.
//!
//! Covers the end of an evacuation: all owners see the same empty instances at the same moment, and
//! each would fill them although they are slow for some time. Only the agent sees the runs of all
//! owners.

use hemlock_dispatch::prelude::{RefusalReason, WITHHOLDS_ALL};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::Runs;

/// Percentage of the capacity that a cold instance withholds at the beginning: it gets at most a
/// quarter.
const COLD_WITHHELD_PERCENT: u64 = 75;
/// Longest time for which an instance is taken to be cold, in milliseconds.
const MAX_COLD_MS: u64 = 600_000;
/// Time after the expected end of a cold phase in which a report of a cold instance still belongs to
/// that phase.
const COLD_PHASE_MARGIN: DurationMs = DurationMs::new(1_000);

/// How long an instance will still be slow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdPhase {
    until: Instant,
    /// The longest rest of the phase that was reported, in milliseconds. Zero if none was.
    whole_ms: u64,
}

impl ColdPhase {
    /// Time that is left, in milliseconds.
    fn left_ms(&self, now: Instant) -> u64 {
        self.until.since(now).as_ms()
    }

    /// Records the time that is left, as reported by the instance. Returns whether a phase begins.
    fn note_left(&mut self, now: Instant, left_ms: u64) -> bool {
        let left_ms = left_ms.min(MAX_COLD_MS);
        let is_over = now > self.until + COLD_PHASE_MARGIN;
        let begins = left_ms > 0 && (is_over || self.whole_ms == 0);
        self.whole_ms = match left_ms {
            0 => 0,
            _ if begins => left_ms,
            _ => self.whole_ms.max(left_ms),
        };
        self.until = now + DurationMs::new(left_ms);
        begins
    }

    /// Percentage of the instance's capacity that gets no new starts.
    fn withheld_percent(&self, now: Instant) -> u64 {
        COLD_WITHHELD_PERCENT * self.left_ms(now) / self.whole_ms.max(1)
    }
}

impl Runs {
    /// The evacuated failure domains, as far as they are known here.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Takes over the evacuated failure domains if their version is higher than that of the known
    /// ones, and refuses the queued starts if the instance's domain is among them. Active runs
    /// continue. Returns whether the version is higher.
    pub fn note_evacuations(&mut self, evacuations: &Evacuations) -> bool {
        let newer = self.evacuations.update(evacuations);
        self.refuse_queue_if_evacuated();
        newer
    }

    /// Whether the failure domain of the instance is evacuated.
    pub fn is_evacuated(&self) -> bool {
        let instance = self.instance.as_ref();
        instance.is_some_and(|instance| self.evacuations.contains(&instance.failure_domain))
    }

    /// Percentage of the instance's capacity that gets no new starts.
    pub fn withheld_percent(&self, now: Instant) -> u32 {
        match self.is_evacuated() {
            true => WITHHOLDS_ALL,
            false => u32::try_from(self.cold.withheld_percent(now)).unwrap_or(WITHHOLDS_ALL),
        }
    }

    pub(super) fn refuse_queue_if_evacuated(&mut self) {
        if self.is_evacuated() {
            self.refuse_queue(RefusalReason::Evacuated);
        }
    }

    /// Records how long the instance will still be slow. The starts that wait when it becomes cold
    /// are refused, because they were ordered on the assumption that it is fast.
    pub(super) fn note_cold_left(&mut self, now: Instant, left_ms: u64) {
        if self.cold.note_left(now, left_ms) {
            self.refuse_queue(RefusalReason::NoRoom);
        }
    }

    /// Whether a start of these needs stays within the part of the capacity that a cold instance
    /// doesn't withhold. An instance without runs accepts one start of any size.
    pub(super) fn admits_while_cold(&self, now: Instant, needs: &Resources) -> bool {
        let withheld_percent = self.withheld_percent(now);
        if withheld_percent == 0 || (self.table.is_empty() && self.queued.is_empty()) {
            return true;
        }
        let capacity = self.instance().map(|instance| instance.capacity);
        let capacity = capacity.unwrap_or_default();
        capacity
            .saturating_sub(&capacity.percent(withheld_percent))
            .saturating_sub(&self.used)
            .saturating_sub(&self.queued_needs)
            .fits(needs)
    }
}
