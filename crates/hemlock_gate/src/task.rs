//! Tasks that the gate has started, and the state chart of a task.

use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

use crate::event::LinkId;

/// Source of the state chart.
const CHART: &str = include_str!("../charts/task.yaml");

/// State of a started task; see `charts/task.yaml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// The endpoint is running it.
    Running,
    /// Its entry cancelled it after it had started; the endpoint still runs it.
    Withdrawn,
    /// It has ended and its outcome is kept.
    Ended,
    /// It has ended and its outcome was dropped to stay within the size limit.
    Forgotten,
    /// The endpoint provably never received it; it may be started again.
    Released,
    /// The retention time of its submission has passed.
    Expired,
}

impl TaskPhase {
    /// Returns whether the task occupies a slot of the endpoint.
    pub(crate) fn holds_slot(self) -> bool {
        matches!(self, Self::Running | Self::Withdrawn)
    }
}

impl Label for TaskPhase {
    const ALL: &'static [Self] = &[
        Self::Running,
        Self::Withdrawn,
        Self::Ended,
        Self::Forgotten,
        Self::Released,
        Self::Expired,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Withdrawn => "withdrawn",
            Self::Ended => "ended",
            Self::Forgotten => "forgotten",
            Self::Released => "released",
            Self::Expired => "expired",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Events of a started task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskEvent {
    /// The entry cancels it.
    Cancel,
    /// The run has ended; the endpoint ran the task or may have run it.
    End,
    /// The run has ended; the endpoint provably never received the task.
    Release,
    /// The limit on the size of kept answers is exceeded and this outcome is the oldest.
    Forget,
    /// The retention time of its submission has passed.
    Expire,
}

impl Label for TaskEvent {
    const ALL: &'static [Self] = &[
        Self::Cancel,
        Self::End,
        Self::Release,
        Self::Forget,
        Self::Expire,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Cancel => "cancel",
            Self::End => "end",
            Self::Release => "release",
            Self::Forget => "forget",
            Self::Expire => "expire",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Parses the state chart of a task.
///
/// # Errors
/// Returns an error if the chart is invalid.
pub(crate) fn task_chart() -> Result<Chart<TaskPhase, TaskEvent>, ChartError> {
    Chart::parse(CHART)
}

/// A request to start a task that waits for the task's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Waiter {
    /// Link on which the request arrived.
    pub(crate) link: LinkId,
    /// Id of the request.
    pub(crate) request: RequestId,
}

/// Record of a task that the gate has started.
#[derive(Debug)]
pub(crate) struct Task {
    /// Submission and position of the task in it; `None` for an idempotent request without a key,
    /// which may run any number of times.
    pub(crate) id: Option<(SubmissionId, TaskIndex)>,
    /// State of the task.
    pub(crate) phase: TaskPhase,
    /// Outcome of the task, while it is kept.
    pub(crate) outcome: Option<Outcome>,
    /// The request that started the task.
    pub(crate) first: Waiter,
    /// Repeated requests to start the same task, which wait for its outcome.
    pub(crate) repeats: Vec<Waiter>,
}

impl Task {
    /// Returns the state of the task as reported to an entry that fences its submission.
    pub(crate) fn record(&self) -> TaskRecord {
        match (&self.outcome, self.phase.holds_slot()) {
            (_, true) => TaskRecord::Running,
            (Some(outcome), false) => TaskRecord::Ended(outcome.clone()),
            (None, false) => TaskRecord::Ended(Outcome::Failed(FailureKind::Unknown)),
        }
    }

    /// Returns the size of the kept answer, in bytes.
    pub(crate) fn outcome_bytes(&self) -> usize {
        match &self.outcome {
            Some(Outcome::Complete(answer)) => answer.body.len() + answer.content_type.len(),
            _ => 0,
        }
    }
}
