//! What the router asks its shell to do.

use std::net::SocketAddr;

use derive_more::Display;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;

use crate::event::{CallId, ClaimAttempt};

/// A caller's mistake; nothing ran for the call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallerFault {
    /// The contract doesn't cover the service, or there is no contract.
    #[display("service-not-covered")]
    ServiceNotCovered,
    /// The operation is non-idempotent and the call carries no key.
    #[display("idempotency-key-required")]
    KeyRequired,
    /// A job has no task, or more than allowed.
    #[display("task-count")]
    TaskCount,
    /// The submission's name was used with other content.
    #[display("submission-conflict")]
    Conflict,
    /// No such submission is known.
    #[display("unknown-submission")]
    UnknownSubmission,
}

/// The answer to a caller's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Every task has a whole answer, in task order.
    Complete(Vec<Answer>),
    /// Some task ran or may have run without a whole answer.
    Failed(FailureKind),
    /// Nothing ran and nothing will.
    NotRun(NotRunReason, NotRunProof),
    /// The caller's mistake.
    Rejected(CallerFault),
    /// The work is taken and goes on.
    Running,
    /// Every task has a whole answer, which a resubmission with the same content fetches.
    CompleteElsewhere,
    /// A cancellation is recorded.
    CancelRecorded,
}

/// What happened, for counters and spans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Work was taken.
    Admitted {
        /// Number of tasks.
        tasks: u16,
    },
    /// Work was refused or withdrawn before it ran.
    Refused(NotRunReason),
    /// A task ended with a whole answer.
    TaskDone {
        /// The customer.
        customer: CustomerName,
        /// Trace context of the caller.
        traceparent: bytes::Bytes,
        /// From admission until it ended, in microseconds.
        response_us: u64,
        /// From admission until its last start, in microseconds.
        queued_us: u64,
        /// Time that the endpoint took, in microseconds.
        service_us: u64,
    },
    /// A claim was answered after this time, in microseconds.
    ClaimDone {
        /// Trace context of the caller.
        traceparent: bytes::Bytes,
        /// From the question to the answer, in microseconds.
        claim_us: u64,
    },
    /// A task waits again after a start that did not run.
    Requeued,
    /// A request was sent again after a failure.
    Retried,
    /// A second copy of a request was sent.
    Hedged,
    /// An endpoint was ejected for a while.
    Ejected(Incarnation),
    /// An ejected endpoint is back.
    Reinstated(Incarnation),
    /// A message served no purpose.
    Wasted(WasteCause),
    /// A submission was taken over from an earlier owner.
    Adopted,
}

/// Why a message served no purpose.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum WasteCause {
    /// A gate refused a start.
    #[display("declined")]
    Declined,
    /// The answer to a start that nobody waits for any more.
    #[display("late-answer")]
    LateAnswer,
    /// The slower copy of a hedged request.
    #[display("unused-hedge")]
    UnusedHedge,
    /// A start that ended without an answer.
    #[display("lost-start")]
    LostStart,
    /// A question for slots that was withdrawn unserved.
    #[display("unused-want")]
    UnusedWant,
    /// A cancellation of a start that had already settled.
    #[display("useless-cancel")]
    UselessCancel,
}

/// One thing for the shell to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a call; the only answer that it gets.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        result: CallResult,
        /// When the caller should come back, in milliseconds, where that helps.
        retry_after_ms: Option<u64>,
    },
    /// Open a connection to an agent, and keep it open.
    Connect {
        /// The agent.
        agent: Incarnation,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Close the connection to an agent.
    Disconnect(Incarnation),
    /// Send a start.
    Start {
        /// The agent.
        agent: Incarnation,
        /// The start.
        spec: TaskSpec,
    },
    /// Tell an agent how many slots the entry waits for there.
    Want {
        /// The agent.
        agent: Incarnation,
        /// Total number of slots waited for.
        count: u16,
    },
    /// Give recalled slots back.
    Return {
        /// The agent.
        agent: Incarnation,
        /// The question that this answers.
        ticket: u64,
        /// How many slots.
        slots: u16,
    },
    /// Withdraw starts.
    Cancel {
        /// The agent.
        agent: Incarnation,
        /// The starts.
        requests: Vec<RequestId>,
    },
    /// Fence a submission at an agent.
    Fence {
        /// The agent.
        agent: Incarnation,
        /// The submission.
        submission: SubmissionId,
        /// The fencing epoch.
        epoch: Epoch,
    },
    /// Claim a submission.
    Claim {
        /// Names the claim in its answer.
        attempt: ClaimAttempt,
        /// The claim.
        claim: ClaimRequest,
    },
    /// Report a submission's end.
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
    /// Report to the leading keeper soon: demand has changed much.
    SyncSoon,
    /// Count what happened.
    Observe(Observation),
}

/// Where the router puts its actions, in order.
pub type Actions = Vec<Action>;
