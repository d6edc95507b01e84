//! Outcomes of requests and tasks.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An endpoint's complete answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body; empty if the endpoint sent none.
    pub content_type: Bytes,
    /// The complete body.
    pub body: Bytes,
}

/// Final outcome of a request or a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint ran it and returned a complete answer.
    Complete(Answer),
    /// It ran or may have run, and there is no complete answer.
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
    /// The deadline passed before a complete answer arrived.
    #[display("deadline")]
    Deadline,
    /// The endpoint's answer was truncated or malformed.
    #[display("broken-answer")]
    BrokenAnswer,
    /// The endpoint's answer was larger than the limit.
    #[display("answer-too-large")]
    AnswerTooLarge,
    /// The endpoint instance or its agent failed while the work may have been running.
    #[display("endpoint-lost")]
    EndpointLost,
    /// The work was cancelled after it had started.
    #[display("cancelled")]
    Cancelled,
    /// The outcome cannot be determined: the process that held it is gone or its record has
    /// expired.
    #[display("unknown")]
    Unknown,
    /// Another task of the same job has no complete answer; a job never returns partial results.
    #[display("task-failed")]
    TaskFailed,
}

/// Why work was refused or withdrawn before it started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The contract's limits on running and queued work are reached.
    #[display("over-limit")]
    OverLimit,
    /// No endpoint currently offers the service.
    #[display("no-endpoint")]
    NoEndpoint,
    /// No endpoint could ever run a task of this size.
    #[display("infeasible")]
    Infeasible,
    /// The work could not have finished before its deadline.
    #[display("deadline")]
    Deadline,
    /// The process is draining before a planned stop.
    #[display("draining")]
    Draining,
    /// The process holds no valid configuration lease.
    #[display("no-lease")]
    NoLease,
    /// The caller cancelled it before it started.
    #[display("cancelled")]
    Cancelled,
    /// The claim could not be recorded in the ledger.
    #[display("no-quorum")]
    NoQuorum,
    /// A gate refused each attempt to start it.
    #[display("refused")]
    Refused,
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
}

/// Proof that work did not and will not run. A connection lost after sending proves nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunProof {
    /// No request to start it was ever handed to a connection.
    NeverSent,
    /// The gate refused to start it, and has recorded that it will not start it later.
    RefusedByGate,
    /// The gate recorded its cancellation before the request to start it arrived.
    Revoked,
}
