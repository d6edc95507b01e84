//! Admitted work: one request or one job, with its tasks.

use bytes::Bytes;
use hemlock_types::prelude::*;

use crate::arena::Key;
use crate::contracts::ContractKey;
use crate::estimate::OperationKey;
use crate::event::CallId;
use crate::fleet::EndpointKey;
use crate::flight::FlightKey;
use crate::queue::{LevelIndex, ServiceKey};
use crate::submission::Submission;

/// Most tasks of one job.
pub const MAX_TASKS: usize = 240;

/// Names admitted work.
pub type WorkKey = Key<Work>;

/// Names one task of admitted work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TaskRef {
    /// The work.
    pub work: WorkKey,
    /// The task within it.
    pub task: TaskIndex,
}

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It is not queued yet: its submission is being claimed or collected.
    Held,
    /// It waits in the queue.
    Queued,
    /// A start of it is out.
    Started,
    /// A fenced agent says that it runs there, under an earlier epoch.
    RunningElsewhere,
    /// It has ended.
    Ended(Outcome),
}

impl TaskState {
    /// Whether no start of this entry has been sent, so that it counts as queued.
    pub fn is_waiting(&self) -> bool {
        matches!(self, Self::Held | Self::Queued | Self::RunningElsewhere)
    }
}

/// One task of admitted work.
#[derive(Clone, Debug)]
pub struct Task {
    /// Operation to call.
    pub operation: OperationName,
    /// Its learnt times.
    pub operation_key: OperationKey,
    /// Request body.
    pub body: Bytes,
    /// Declared cores.
    pub cores: u32,
    /// Declared memory in megabytes.
    pub memory_mb: u64,
    /// Where it stands.
    pub state: TaskState,
    /// Its start that is out.
    pub flight: Option<FlightKey>,
    /// A second copy that is out.
    pub hedge: Option<FlightKey>,
    /// The endpoint of its latest start; a retry goes elsewhere.
    pub last_endpoint: Option<EndpointKey>,
    /// Starts that a gate refused.
    pub refusals: u8,
    /// A start of it may have run.
    pub may_have_run: bool,
}

/// A caller that waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The call.
    pub call: CallId,
    /// When it is answered at the latest.
    pub deadline: Instant,
}

/// One admitted request or job.
#[derive(Debug)]
pub struct Work {
    /// Callers that wait; none when the caller is detached or gone.
    pub waiters: Vec<Waiter>,
    /// The contract that it runs under.
    pub contract: ContractKey,
    /// The service that it calls.
    pub service: ServiceKey,
    /// Its level in the queue.
    pub level: LevelIndex,
    /// Its submission; `None` for an idempotent request without a key.
    pub submission: Option<Submission>,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that have not ended.
    pub open_tasks: u16,
    /// When it was admitted.
    pub admitted: Instant,
    /// When it is given up.
    pub deadline: Instant,
    /// Trace context of the caller.
    pub traceparent: Bytes,
    /// Starts of a job by rack; empty for a single request.
    pub racks: Vec<u16>,
}

impl Work {
    /// Whether its tasks may be sent more than once.
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

    /// One task to change.
    pub fn task_mut(&mut self, index: TaskIndex) -> &mut Task {
        &mut self.tasks[usize::from(index.0)]
    }

    /// Indices of its tasks.
    pub fn indices(&self) -> impl Iterator<Item = TaskIndex> + use<> {
        (0..self.tasks.len()).map(|index| TaskIndex(index as u16))
    }
}
