//! Circuit breaker of one instance, over the runs of all owners.
//!
//! Load pattern: gray failures, in which an instance claims to be healthy but fails or stalls what
//! it runs. Each owner by itself loses several tasks before it notices, and again after each
//! ejection, so the loss grows with the number of gateways. The agent sees the runs of all owners
//! and suspends the instance for all of them after the first few failures.

use hemlock_jobs::prelude::{JobId, TaskKey};
use hemlock_types::time::{DurationMs, Instant};

/// Number of jobs in a row of which a run failed that suspend the instance. Runs of the same job
/// count once, because a job that can never succeed fails on every instance.
const FAILED_JOBS_TO_SUSPEND: usize = 3;
/// Duration of the first suspension, in milliseconds. Each one that follows a failed probe lasts
/// twice as long.
const SUSPENSION_MIN_MS: u64 = 1_000;
/// Duration of the longest suspension, in milliseconds.
const SUSPENSION_MAX_MS: u64 = 8_000;

/// Whether the instance is given work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Closed,
    /// The instance gets no work before this time.
    Suspended(Instant),
    /// One run at a time shows whether the instance has recovered; `None` until it is started.
    Probing(Option<TaskKey>),
}

/// Decides whether an instance that fails its runs is given more.
#[derive(Clone, Debug, Default)]
pub(crate) struct Breaker {
    state: State,
    /// The jobs whose runs have failed since the last success.
    failed_jobs: Vec<JobId>,
    /// Number of suspensions since the instance was last found healthy.
    suspensions: u32,
}

impl Breaker {
    /// Records a run that ended successfully.
    pub(crate) fn record_success(&mut self, task: TaskKey) {
        self.failed_jobs.clear();
        if self.state == State::Probing(Some(task)) {
            self.state = State::Closed;
            self.suspensions = 0;
        }
    }

    /// Records a run that failed or stalled, or whose start the instance refused as unhealthy.
    /// Returns whether this suspends the instance.
    pub(crate) fn record_failure(&mut self, now: Instant, task: TaskKey) -> bool {
        if !self.failed_jobs.contains(&task.job) {
            self.failed_jobs.push(task.job);
        }
        let suspends = match self.state {
            State::Closed => self.failed_jobs.len() >= FAILED_JOBS_TO_SUSPEND,
            State::Suspended(_) => false,
            State::Probing(probe) => probe == Some(task),
        };
        if suspends {
            let duration_ms = (SUSPENSION_MIN_MS << self.suspensions.min(8)).min(SUSPENSION_MAX_MS);
            self.state = State::Suspended(now + DurationMs::new(duration_ms));
            self.suspensions += 1;
            self.failed_jobs.clear();
        }
        suspends
    }

    /// Records a run whose end tells nothing about the instance.
    pub(crate) fn record_other_end(&mut self, task: TaskKey) {
        if self.state == State::Probing(Some(task)) {
            self.state = State::Probing(None);
        }
    }

    /// Ends a suspension whose time is over.
    pub(crate) fn advance(&mut self, now: Instant) {
        if matches!(self.state, State::Suspended(until) if now >= until) {
            self.state = State::Probing(None);
        }
    }

    /// Records the start of a run.
    pub(crate) fn note_started(&mut self, task: TaskKey) {
        if self.state == State::Probing(None) {
            self.state = State::Probing(Some(task));
        }
    }

    /// Whether another run may be started.
    pub(crate) fn admits(&self) -> bool {
        matches!(self.state, State::Closed | State::Probing(None))
    }

    /// Whether the instance is taken to be healthy.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }
}
