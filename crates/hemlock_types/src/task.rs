//! Requests to start a task, which an entry sends to an agent, and an agent's records of tasks.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation, RequestId, SubmissionId, TaskIndex};
use crate::names::{OperationName, ServiceName};
use crate::outcome::Outcome;

/// Request to start a task, sent by an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Id of this request, unique within the entry's incarnation.
    pub request: RequestId,
    /// The submission that the task belongs to; `None` for an idempotent request without a key.
    pub submission: Option<SubmissionId>,
    /// Position of the task within the submission.
    pub task: TaskIndex,
    /// Epoch of the claim under which the task starts; zero without a submission.
    pub epoch: Epoch,
    /// Incarnation of the agent that this request is meant for.
    pub agent: Incarnation,
    /// Service to call on the endpoint.
    pub service: ServiceName,
    /// Operation of the service to call.
    pub operation: OperationName,
    /// Time left until the task's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Value of the W3C `traceparent` header; empty if there is none.
    pub traceparent: Bytes,
    /// Complete request body.
    pub body: Bytes,
}

/// State of a task that an agent has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskRecord {
    /// The task is running.
    Running,
    /// The task has ended with this outcome.
    Ended(Outcome),
}
