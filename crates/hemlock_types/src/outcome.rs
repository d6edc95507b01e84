//! What became of a request or a task.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The whole answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the endpoint's answer.
    pub status: u16,
    /// Content type of the body, empty when the endpoint gave none.
    pub content_type: Bytes,
    /// The body, whole.
    pub body: Bytes,
}

/// What became of a request or a task: exactly one of three.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint ran it and its whole answer is here.
    Complete(Answer),
    /// It ran or may have run, and there is no whole answer.
    Failed(FailureKind),
    /// It did not run and will not run.
    NotRun(NotRunReason, NotRunProof),
}

/// Why a task failed. Every kind means that the work ran or may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureKind {
    /// The connection to the agent or endpoint was lost after sending.
    #[display("connection-lost")]
    ConnectionLost,
    /// The deadline passed before a whole answer arrived.
    #[display("deadline")]
    Deadline,
    /// The endpoint's answer was cut short or malformed.
    #[display("broken-answer")]
    BrokenAnswer,
    /// The endpoint's answer was larger than the limit.
    #[display("answer-too-large")]
    AnswerTooLarge,
    /// The endpoint instance or its agent died while the work may have been running.
    #[display("endpoint-lost")]
    EndpointLost,
    /// The work was cancelled after it had started.
    #[display("cancelled")]
    Cancelled,
    /// The outcome can't be known: its holder is gone or its record has expired.
    #[display("unknown")]
    Unknown,
    /// Some other task of the job has no whole answer, and a job is never partial.
    #[display("task-failed")]
    TaskFailed,
}

/// Why work was refused or withdrawn before it started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The contract's running and queued limits are used up.
    #[display("over-limit")]
    OverLimit,
    /// No endpoint offers the service now.
    #[display("no-endpoint")]
    NoEndpoint,
    /// No endpoint could ever run a task of this size.
    #[display("infeasible")]
    Infeasible,
    /// The work could not have finished within its deadline.
    #[display("deadline")]
    Deadline,
    /// The process is draining for a planned stop.
    #[display("draining")]
    Draining,
    /// The process has no valid configuration lease.
    #[display("no-lease")]
    NoLease,
    /// The caller cancelled it before it started.
    #[display("cancelled")]
    Cancelled,
    /// The ledger could not record the claim.
    #[display("no-quorum")]
    NoQuorum,
    /// Every attempt to start it was refused by a gate.
    #[display("refused")]
    Refused,
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
}

/// Evidence that work did not and will not run. Loss of a connection after sending is none.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunProof {
    /// No start of it was ever handed to a connection.
    NeverSent,
    /// The gate refused its start, and has recorded that it will not start it later.
    RefusedByGate,
    /// The gate has fenced it before any start.
    Revoked,
}
