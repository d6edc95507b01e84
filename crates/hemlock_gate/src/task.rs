//! A task that the gate has started, and the chart of its life.

use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

use crate::event::LinkId;

/// The chart's file.
const CHART: &str = include_str!("../charts/task.yaml");

/// Where a started task is in its life; see `charts/task.yaml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// The endpoint has it.
    Running,
    /// Cancelled while it ran; it runs on.
    Withdrawn,
    /// Its outcome is kept.
    Ended,
    /// Its outcome is no longer kept.
    Forgotten,
    /// It provably did not start.
    Released,
    /// Its retention time has passed.
    Expired,
}

impl TaskPhase {
    /// Whether the task holds a slot.
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

/// What happens to a started task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskEvent {
    /// Its entry cancels it.
    Cancel,
    /// It ran or may have run, and has ended.
    End,
    /// The endpoint never received it.
    Release,
    /// The bound on kept outcomes is reached.
    Forget,
    /// Its retention time has passed.
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

/// Reads the chart of a task's life.
///
/// # Errors
/// Any fault of the chart's file.
pub(crate) fn task_chart() -> Result<Chart<TaskPhase, TaskEvent>, ChartError> {
    Chart::parse(CHART)
}

/// A start that waits for a task's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Waiter {
    /// The link that the start came by.
    pub(crate) link: LinkId,
    /// The start.
    pub(crate) request: RequestId,
}

/// A task that the gate has started.
#[derive(Debug)]
pub(crate) struct Task {
    /// The submission and the task's place in it; `None` on the fast path.
    pub(crate) name: Option<(SubmissionId, TaskIndex)>,
    /// Where it is in its life.
    pub(crate) phase: TaskPhase,
    /// Its outcome, while it is kept.
    pub(crate) outcome: Option<Outcome>,
    /// The start that started it.
    pub(crate) first: Waiter,
    /// Later starts of the same task, which wait for its outcome.
    pub(crate) others: Vec<Waiter>,
}

impl Task {
    /// What the gate tells of the task to whoever fences its submission.
    pub(crate) fn record(&self) -> TaskRecord {
        match (&self.outcome, self.phase.holds_slot()) {
            (_, true) => TaskRecord::Running,
            (Some(outcome), false) => TaskRecord::Ended(outcome.clone()),
            (None, false) => TaskRecord::Ended(Outcome::Failed(FailureKind::Unknown)),
        }
    }

    /// Bytes of the kept outcome.
    pub(crate) fn outcome_bytes(&self) -> usize {
        match &self.outcome {
            Some(Outcome::Complete(answer)) => answer.body.len() + answer.content_type.len(),
            _ => 0,
        }
    }
}
