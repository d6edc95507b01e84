//! Bounds and times of a gate.

use hemlock_types::prelude::*;

/// Default time that starts, fences and outcomes are remembered, in milliseconds.
const RETENTION_MS: u64 = 120_000;

/// Default bound on remembered submissions.
const MAX_SUBMISSIONS: usize = 100_000;

/// Default bound on remembered and running tasks.
const MAX_TASKS: usize = 400_000;

/// Default bound on kept outcomes, in bytes of body.
const MAX_OUTCOME_BYTES: usize = 16 << 20;

/// Default time, beyond a link's round trip, in which a credit that its entry has asked for may
/// not be recalled, in milliseconds.
const PROMISE_MS: u64 = 2;

/// Default bound on cancelled starts that have not arrived, for each entry.
const MAX_REVOKED: usize = 4_096;

/// Bounds and times of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateConfig {
    /// The agent's incarnation; starts meant for another are refused.
    pub agent: Incarnation,
    /// How long starts, fences and outcomes are remembered after their last use.
    pub retention: DurationMs,
    /// Bound on remembered submissions.
    pub max_submissions: usize,
    /// Bound on remembered and running tasks.
    pub max_tasks: usize,
    /// Bound on kept outcomes, in bytes of body.
    pub max_outcome_bytes: usize,
    /// Bound on cancelled starts that have not arrived, for each entry.
    pub max_revoked: usize,
    /// Time, beyond a link's round trip, in which a credit that its entry has asked for may not
    /// be recalled.
    pub promise: DurationMs,
}

impl GateConfig {
    /// The defaults, for the gate of `agent`.
    pub fn new(agent: Incarnation) -> Self {
        Self {
            agent,
            retention: DurationMs::new(RETENTION_MS),
            max_submissions: MAX_SUBMISSIONS,
            max_tasks: MAX_TASKS,
            max_outcome_bytes: MAX_OUTCOME_BYTES,
            max_revoked: MAX_REVOKED,
            promise: DurationMs::new(PROMISE_MS),
        }
    }

    /// Sets how long starts, fences and outcomes are remembered.
    #[must_use]
    pub fn with_retention(mut self, retention: DurationMs) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the bounds on remembered submissions and tasks.
    #[must_use]
    pub fn with_bounds(mut self, max_submissions: usize, max_tasks: usize) -> Self {
        self.max_submissions = max_submissions;
        self.max_tasks = max_tasks;
        self
    }

    /// Sets the bound on kept outcomes, in bytes of body.
    #[must_use]
    pub fn with_max_outcome_bytes(mut self, max_outcome_bytes: usize) -> Self {
        self.max_outcome_bytes = max_outcome_bytes;
        self
    }
}
