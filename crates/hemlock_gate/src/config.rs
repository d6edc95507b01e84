//! Limits and durations of a gate.

use hemlock_types::prelude::*;

/// Default time for which starts, fences and outcomes are kept, in milliseconds.
const RETENTION_MS: u64 = 120_000;

/// Default limit on recorded submissions.
const MAX_SUBMISSIONS: usize = 100_000;

/// Default limit on recorded tasks, including running ones.
const MAX_TASKS: usize = 400_000;

/// Default limit on the total size of kept answers, in bytes.
const MAX_OUTCOME_BYTES: usize = 16 << 20;

/// Default time, beyond a link's round trip, for which a requested credit is protected from recall,
/// in milliseconds.
const RECALL_PROTECTION_MS: u64 = 2;

/// Default limit, for each entry, on starts that were cancelled before they arrived.
const MAX_REVOKED: usize = 4_096;

/// Limits and durations of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateConfig {
    /// The agent's incarnation; starts addressed to another incarnation are refused.
    pub agent: Incarnation,
    /// Time for which starts, fences and outcomes are kept after the last use of their submission.
    pub retention: DurationMs,
    /// Limit on recorded submissions.
    pub max_submissions: usize,
    /// Limit on recorded tasks, including running ones.
    pub max_tasks: usize,
    /// Limit on the total size of kept answers, in bytes; the oldest are dropped beyond it.
    pub max_outcome_bytes: usize,
    /// Limit, for each entry, on starts that were cancelled before they arrived.
    pub max_revoked: usize,
    /// Time, beyond a link's round trip, for which a credit granted to a waiting task is protected
    /// from recall, so that the entry can use it.
    pub recall_protection: DurationMs,
}

impl GateConfig {
    /// Returns the default configuration for the gate of `agent`.
    pub fn new(agent: Incarnation) -> Self {
        Self {
            agent,
            retention: DurationMs::new(RETENTION_MS),
            max_submissions: MAX_SUBMISSIONS,
            max_tasks: MAX_TASKS,
            max_outcome_bytes: MAX_OUTCOME_BYTES,
            max_revoked: MAX_REVOKED,
            recall_protection: DurationMs::new(RECALL_PROTECTION_MS),
        }
    }

    /// Sets the time for which starts, fences and outcomes are kept.
    #[must_use]
    pub fn with_retention(mut self, retention: DurationMs) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the limits on recorded submissions and tasks.
    #[must_use]
    pub fn with_limits(mut self, max_submissions: usize, max_tasks: usize) -> Self {
        self.max_submissions = max_submissions;
        self.max_tasks = max_tasks;
        self
    }

    /// Sets the limit on the total size of kept answers, in bytes.
    #[must_use]
    pub fn with_max_outcome_bytes(mut self, max_outcome_bytes: usize) -> Self {
        self.max_outcome_bytes = max_outcome_bytes;
        self
    }
}
