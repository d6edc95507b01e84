//! Actions that the router asks the entry's event loop to perform.

use std::net::SocketAddr;

use derive_more::Display;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;

use crate::event::{CallId, ClaimAttempt};

/// An error in a caller's request; nothing ran for the call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallerFault {
    /// The contract doesn't cover the service, or there is no contract.
    #[display("service-not-covered")]
    ServiceNotCovered,
    /// The operation is non-idempotent and the call carries no idempotency key.
    #[display("idempotency-key-required")]
    KeyRequired,
    /// A job has no tasks, or more than [`MAX_TASKS`](crate::work::MAX_TASKS).
    #[display("task-count")]
    TaskCount,
    /// The submission was made before with other content.
    #[display("submission-conflict")]
    Conflict,
    /// No such submission is known.
    #[display("unknown-submission")]
    UnknownSubmission,
}

/// The answer to a caller's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Every task completed; holds the answers in task order.
    Complete(Vec<Answer>),
    /// At least one task ran, or may have run, without a complete answer.
    Failed(FailureKind),
    /// No task ran and none will.
    NotRun(NotRunReason, NotRunProof),
    /// The request is invalid.
    Rejected(CallerFault),
    /// The work is admitted and in progress.
    Running,
    /// Every task completed, but only the agents hold the answers; resubmitting the same content
    /// fetches them.
    CompleteElsewhere,
    /// The cancellation is recorded.
    CancelRecorded,
}

/// An occurrence to report in metrics and trace spans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Work was admitted.
    Admitted {
        /// Number of tasks.
        tasks: u16,
    },
    /// Work was refused or withdrawn before it ran.
    Refused(NotRunReason),
    /// A task completed.
    TaskDone {
        /// The customer.
        customer: CustomerName,
        /// Trace context of the caller.
        traceparent: bytes::Bytes,
        /// From admission until the task ended, in microseconds.
        response_us: u64,
        /// From admission until the start that completed was sent, in microseconds.
        queued_us: u64,
        /// Service time at the endpoint, in microseconds.
        service_us: u64,
    },
    /// The ledger granted a claim.
    ClaimDone {
        /// Trace context of the caller.
        traceparent: bytes::Bytes,
        /// From sending the claim to its answer, in microseconds.
        claim_us: u64,
    },
    /// A task was queued again after an unsuccessful start.
    Requeued,
    /// A failed request is retried.
    Retried,
    /// A hedge, a second copy of a slow request, was sent.
    Hedged,
    /// An endpoint was temporarily ejected as an outlier.
    Ejected(Incarnation),
    /// An ejected endpoint passed its probation.
    Reinstated(Incarnation),
    /// A message turned out to be unnecessary.
    Wasted(WasteCause),
    /// A submission was taken over from an earlier owner.
    Adopted,
}

/// Why a message was unnecessary.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum WasteCause {
    /// An agent's gate refused a start.
    #[display("declined")]
    Declined,
    /// An answer to a start that is no longer awaited.
    #[display("late-answer")]
    LateAnswer,
    /// The copy of a hedged request that was not needed.
    #[display("unused-hedge")]
    UnusedHedge,
    /// A start that may have been received but got no answer.
    #[display("lost-start")]
    LostStart,
    /// A request for slots that was withdrawn before the agent granted any.
    #[display("unused-want")]
    UnusedWant,
    /// A cancellation of a start whose outcome was already known.
    #[display("useless-cancel")]
    UselessCancel,
}

/// One action for the entry's event loop to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a call. Each call is answered exactly once.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        result: CallResult,
        /// Delay after which the caller should retry, in milliseconds; `None` when a retry would
        /// not help.
        retry_after_ms: Option<u64>,
    },
    /// Connect to an agent, and reconnect whenever the connection is lost.
    Connect {
        /// The agent.
        agent: Incarnation,
        /// Its network address.
        address: SocketAddr,
    },
    /// Close the connection to an agent.
    Disconnect(Incarnation),
    /// Ask an agent to start a task.
    Start {
        /// The agent.
        agent: Incarnation,
        /// The task to start.
        spec: TaskSpec,
    },
    /// Tell an agent how many slots the entry wants from it.
    Want {
        /// The agent.
        agent: Incarnation,
        /// Total number of slots wanted; zero withdraws an earlier request.
        count: u16,
    },
    /// Return slots that an agent recalled.
    Return {
        /// The agent.
        agent: Incarnation,
        /// Identifies the recall that this answers.
        ticket: u64,
        /// Number of slots.
        slots: u16,
    },
    /// Cancel starts.
    Cancel {
        /// The agent.
        agent: Incarnation,
        /// The starts.
        requests: Vec<RequestId>,
    },
    /// Fence a submission at an agent: it must start no task of it under an earlier epoch.
    Fence {
        /// The agent.
        agent: Incarnation,
        /// The submission.
        submission: SubmissionId,
        /// The fencing epoch.
        epoch: Epoch,
    },
    /// Claim a submission in the ledger.
    Claim {
        /// Identifies the claim in its answer.
        attempt: ClaimAttempt,
        /// The claim.
        claim: ClaimRequest,
    },
    /// Record the end of a submission in the ledger.
    End(EndRecord),
    /// Look a submission up in the ledger.
    Lookup {
        /// The call that the answer is for.
        call: CallId,
        /// The submission.
        submission: SubmissionId,
    },
    /// Record a cancellation in the ledger.
    RecordCancel {
        /// The call that the answer is for.
        call: CallId,
        /// The submission.
        submission: SubmissionId,
    },
    /// Send the next report to the leading keeper early: demand has grown considerably.
    SyncSoon,
    /// Report an occurrence in metrics and traces.
    Observe(Observation),
}

/// Actions in the order in which they have to be performed.
pub type Actions = Vec<Action>;
