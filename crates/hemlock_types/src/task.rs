//! Tasks as they travel from entry to agent, and as an agent remembers them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation, RequestId, SubmissionId, TaskIndex};
use crate::names::{OperationName, ServiceName};
use crate::outcome::Outcome;

/// One start of one task, as an entry sends it to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Names this start; unique within the entry's incarnation.
    pub request: RequestId,
    /// The submission it belongs to; `None` for an idempotent request without a key.
    pub submission: Option<SubmissionId>,
    /// Which task of the submission.
    pub task: TaskIndex,
    /// Epoch of the claim under which it starts; zero without a submission.
    pub epoch: Epoch,
    /// The agent incarnation that this start is meant for.
    pub agent: Incarnation,
    /// Service to call.
    pub service: ServiceName,
    /// Operation to call.
    pub operation: OperationName,
    /// Time left until its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// W3C trace context header, empty when there is none.
    pub traceparent: Bytes,
    /// Request body, whole.
    pub body: Bytes,
}

/// What an agent knows of a task that it has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskRecord {
    /// It is running.
    Running,
    /// It has ended with this outcome.
    Ended(Outcome),
}
