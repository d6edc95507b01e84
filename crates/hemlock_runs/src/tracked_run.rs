//! State that the agent keeps for one run, or for one start in its queue.

use hemlock_dispatch::prelude::{QueueId, RunEnd, StartOrder, Urgency};
use hemlock_jobs::prelude::{Resources, RunNumber, TaskKey};
use hemlock_types::ids::Incarnation;
use hemlock_types::time::{DurationMs, Instant};
use serde::{Deserialize, Serialize};

/// Divisor of a run's expected duration that gives the expected rest of a run that is overdue.
const OVERDUE_DIVISOR: u64 = 8;

/// The process that ordered a run and receives its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Owner {
    /// The leading coordinator, for jobs that are recorded durably.
    Leader,
    /// A gateway process, for best-effort jobs. A restarted gateway is another owner.
    Gateway(Incarnation),
}

/// State of a tracked run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start call has been sent and is not yet answered.
    Starting,
    /// The run is known to be running since this time at the latest.
    Running(Instant),
    /// A stop of the run was decided, and its end is not yet confirmed.
    Stopping {
        /// Whether the run is known to have started.
        started: bool,
        /// Time at which the instance accepted the stop.
        accepted: Option<Instant>,
        /// Time at which the stop was decided.
        since: Instant,
        /// Whether the run is stopped because it ran longer than its stall limit.
        stalled: bool,
    },
}

/// A run that may exist at the instance. It counts against the instance's capacity until the
/// instance is known not to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TrackedRun {
    /// `None` until an owner claims the run, if an earlier process of this agent started it.
    pub(crate) owner: Option<Owner>,
    pub(crate) run: RunNumber,
    /// Whether the leader's confirmations have not been interrupted since this process ordered the
    /// run, so that no leader can have taken it for lost.
    pub(crate) is_certain: bool,
    /// The queue of the job; `None` if an earlier process of this agent started the run.
    pub(crate) queue: Option<QueueId>,
    /// Resources that the run occupies; `None` until the run is claimed, as for the owner.
    pub(crate) needs: Option<Resources>,
    /// Expected duration in milliseconds; zero if unknown.
    pub(crate) expected_ms: u64,
    /// Duration after which the run counts as stalled, in milliseconds; zero disables the check.
    pub(crate) stall_after_ms: u64,
    /// Time at which the run was first known to be running.
    pub(crate) started_at: Option<Instant>,
    /// How the run ends if its start call stays unanswered; `None` unless the instance was lost
    /// meanwhile. The call may still reach the next incarnation, so the run isn't over before it.
    pub(crate) end_if_unanswered: Option<RunEnd>,
    pub(crate) phase: Phase,
}

impl TrackedRun {
    /// Time since the run was first known to be running, in milliseconds; zero if it never was.
    pub(crate) fn elapsed_ms(&self, now: Instant) -> u64 {
        self.started_at
            .map_or(0, |started| now.since(started).as_ms())
    }

    /// Whether the run was first known to be running after a call was made at `asked_at`. A failure
    /// of that call doesn't tell that the run is over.
    pub(crate) fn began_after(&self, asked_at: Instant) -> bool {
        let is_known_to_run = matches!(
            self.phase,
            Phase::Running(_) | Phase::Stopping { started: true, .. }
        );
        is_known_to_run && self.started_at.is_some_and(|started| started > asked_at)
    }

    /// Expected time until the run ends, in milliseconds. A run that takes longer than expected
    /// goes on for a fraction of its expected duration.
    pub(crate) fn left_ms(&self, now: Instant) -> u64 {
        let overdue_ms = self.expected_ms / OVERDUE_DIVISOR;
        self.expected_ms
            .saturating_sub(self.elapsed_ms(now))
            .max(overdue_ms)
    }
}

/// A start that waits until the instance has free capacity for it.
#[derive(Clone, Debug)]
pub(crate) struct QueuedStart {
    pub(crate) owner: Owner,
    pub(crate) order: StartOrder,
    pub(crate) position: QueuePosition,
    /// The due time that was ordered; that of the position is later if the start was postponed.
    pub(crate) ordered_due: Instant,
}

/// Position of a start in the queue; the smallest is started first.
///
/// The due time is absolute. If starts were compared by the time that was left when they were
/// ordered, a steady stream of newer ones would keep passing those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) class: u8,
    pub(crate) priority: u32,
    pub(crate) due: Instant,
    pub(crate) task: TaskKey,
}

impl QueuePosition {
    /// The position of a start that was ordered now.
    pub(crate) fn new(now: Instant, urgency: &Urgency, task: TaskKey) -> Self {
        Self {
            class: urgency.class,
            priority: urgency.priority,
            due: now + DurationMs::new(urgency.due_in_ms),
            task,
        }
    }
}
