//! Admitted work: one request or one job, with its tasks.

use bytes::Bytes;
use hemlock_types::prelude::*;

use crate::arena::Key;
use crate::contracts::ContractKey;
use crate::estimate::OperationKey;
use crate::event::CallId;
use crate::fleet::EndpointKey;
use crate::queue::{LevelIndex, ServiceKey};
use crate::start_table::StartKey;
use crate::submission::Submission;

/// Maximum number of tasks in one job.
pub const MAX_TASKS: usize = 240;

/// Identifies admitted work.
pub type WorkKey = Key<Work>;

/// Identifies one task of admitted work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TaskRef {
    /// The work.
    pub work: WorkKey,
    /// The task within it.
    pub task: TaskIndex,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It is not queued yet: its submission is being claimed, or earlier outcomes are collected.
    Held,
    /// It waits in the queue.
    Queued,
    /// A start of it was sent and its outcome is awaited.
    Started,
    /// A fenced agent reports that it runs there under an earlier epoch.
    RunningElsewhere,
    /// It has ended.
    Ended(Outcome),
}

impl TaskState {
    /// Whether it counts as queued: this entry has sent no start of it.
    pub fn is_waiting(&self) -> bool {
        matches!(self, Self::Held | Self::Queued | Self::RunningElsewhere)
    }
}

/// One task of admitted work.
#[derive(Clone, Debug)]
pub struct Task {
    /// Operation to call.
    pub operation: OperationName,
    /// Key of its service time estimate.
    pub operation_key: OperationKey,
    /// Request body.
    pub body: Bytes,
    /// Number of cores that it needs; zero when none are declared.
    pub cores: u32,
    /// Memory that it needs, in megabytes; zero when none is declared.
    pub memory_mb: u64,
    /// Its state.
    pub state: TaskState,
    /// Its start that is in flight.
    pub start: Option<StartKey>,
    /// Its hedge, a second copy that is in flight.
    pub hedge: Option<StartKey>,
    /// The endpoint of its latest start, which a retry avoids.
    pub last_endpoint: Option<EndpointKey>,
    /// Number of its starts that gates refused.
    pub refusals: u8,
    /// Number of its starts that ended with the loss of their endpoint or of the connection to it.
    pub losses: u8,
    /// Set when a start of it ran or may have run.
    pub may_have_run: bool,
}

/// A caller that waits for the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The call.
    pub call: CallId,
    /// Latest time at which it is answered.
    pub deadline: Instant,
}

/// One admitted request or job.
#[derive(Debug)]
pub struct Work {
    /// Callers that wait for the result; empty when the caller is detached or was answered at its
    /// own deadline.
    pub waiters: Vec<Waiter>,
    /// The contract that it runs under.
    pub contract: ContractKey,
    /// The service that it calls.
    pub service: ServiceKey,
    /// Its priority level in the queue.
    pub level: LevelIndex,
    /// Its submission; `None` for an idempotent request without an idempotency key.
    pub submission: Option<Submission>,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks that have not ended.
    pub open_tasks: u16,
    /// When it was admitted.
    pub admitted: Instant,
    /// When the router gives it up.
    pub deadline: Instant,
    /// Trace context of the caller.
    pub traceparent: Bytes,
    /// Number of starts on each rack, for spreading a job; empty for a single request.
    pub starts_by_rack: Vec<u16>,
}

impl Work {
    /// Whether its tasks may be sent to more than one endpoint: only those of idempotent requests
    /// without a key.
    pub fn may_resend(&self) -> bool {
        self.submission.is_none()
    }

    /// Whether it is a job of several tasks.
    pub fn is_job(&self) -> bool {
        self.tasks.len() > 1
    }

    /// One task.
    pub fn task(&self, index: TaskIndex) -> &Task {
        &self.tasks[usize::from(index.0)]
    }

    /// Mutable access to one task.
    pub fn task_mut(&mut self, index: TaskIndex) -> &mut Task {
        &mut self.tasks[usize::from(index.0)]
    }

    /// Indices of its tasks.
    pub fn indices(&self) -> impl Iterator<Item = TaskIndex> + use<> {
        (0..self.tasks.len()).map(|index| TaskIndex(index as u16))
    }
}
