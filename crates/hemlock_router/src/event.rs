//! Input events of the router.

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_directory::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;

/// Identifies one open call from a caller to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Identifies one claim, so that a late answer is never taken for the answer to a newer claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimAttempt(pub u64);

/// One task of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRequest {
    /// Operation to call.
    pub operation: OperationName,
    /// Complete request body.
    pub body: Bytes,
    /// Cores that the caller declares; zero when it declares none.
    pub cores: u32,
    /// Memory that the caller declares, in megabytes; zero when it declares none.
    pub memory_mb: u64,
}

/// A caller's request to run work: a single request or a job of several tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submit {
    /// The caller's call, which is answered exactly once.
    pub call: CallId,
    /// Customer whose contract it runs under.
    pub customer: CustomerName,
    /// Service to call.
    pub service: ServiceName,
    /// The submission and the digest of its content; `None` for a request without an idempotency
    /// key.
    pub submission: Option<(SubmissionId, Digest)>,
    /// The tasks, 1 to [`MAX_TASKS`](crate::work::MAX_TASKS).
    pub tasks: Vec<TaskRequest>,
    /// Deadline that the caller asks for, in milliseconds from now.
    pub deadline_ms: Option<u64>,
    /// W3C trace context header, empty when there is none.
    pub traceparent: Bytes,
    /// The caller doesn't wait for the result: it is answered as soon as the work is admitted.
    pub detached: bool,
}

/// The leading keeper's answer to a report of this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncUpdate {
    /// When the entry sent the report that this answers; leases count from then.
    pub sent: Instant,
    /// Configuration lease in milliseconds.
    pub lease_ms: u64,
    /// Changes to the configuration.
    pub config: ConfigUpdate,
    /// Changes to the directory of endpoints.
    pub directory: DirectoryUpdate,
    /// The entry's shares of all contracts' limits.
    pub shares: Vec<Share>,
    /// Sequence number of the allocation that the shares belong to.
    pub shares_seq: u64,
    /// Submissions of this entry that were cancelled through another entry.
    pub cancelled: Vec<SubmissionId>,
}

/// How far a start got before its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// It was never sent, so the agent can't have received it.
    NeverSent,
    /// The connection ended after it was sent: the agent may have received it.
    AfterSending,
}

/// An input event of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller submits work.
    Submit(Box<Submit>),
    /// A caller asks for the state of a submission.
    Query {
        /// The caller's call.
        call: CallId,
        /// The submission.
        submission: SubmissionId,
    },
    /// A caller cancels a submission.
    CancelSubmission {
        /// The caller's call.
        call: CallId,
        /// The submission.
        submission: SubmissionId,
    },
    /// The leading keeper answered a report.
    Synced(Box<SyncUpdate>),
    /// The ledger answered a claim, or the claim failed.
    ClaimAnswered {
        /// The submission.
        submission: SubmissionId,
        /// The claim that this answers.
        attempt: ClaimAttempt,
        /// The answer; `None` when no keeper could be asked or the answer was lost.
        reply: Option<ClaimReply>,
    },
    /// The ledger answered a lookup, or the lookup failed.
    LookupAnswered {
        /// The call that the lookup was for.
        call: CallId,
        /// The answer. The outer `None` means that no keeper could be asked, the inner `None` that
        /// the ledger holds no such submission.
        reply: Option<Option<ClaimReply>>,
    },
    /// The ledger answered a request to record a cancellation, or that request failed.
    CancelRecorded {
        /// The call that the cancellation was for.
        call: CallId,
        /// The answer; `None` when no keeper could be asked.
        reply: Option<CancelReply>,
    },
    /// A connection to an agent was established.
    LinkUp(Incarnation),
    /// The connection to an agent ended.
    LinkDown(Incarnation),
    /// An agent granted slots.
    Granted {
        /// The agent.
        agent: Incarnation,
        /// Number of slots granted.
        slots: u16,
    },
    /// An agent recalls unused slots.
    Recall {
        /// The agent.
        agent: Incarnation,
        /// Maximum number of slots recalled.
        slots: u16,
        /// Identifies the recall in the answer.
        ticket: u64,
    },
    /// An agent announced that it accepts no new work from now on.
    Leaving(Incarnation),
    /// An agent answered a heartbeat.
    Pong {
        /// The agent.
        agent: Incarnation,
        /// `true` when it accepts no new work.
        draining: bool,
    },
    /// An agent did not answer a heartbeat in time.
    PingMissed(Incarnation),
    /// An agent reported the outcome of a start.
    Settled {
        /// The agent.
        agent: Incarnation,
        /// The start.
        request: RequestId,
        /// Its outcome.
        outcome: Outcome,
        /// Service time at the endpoint, in microseconds.
        service_us: u64,
        /// Slots granted with the answer.
        granted: u16,
    },
    /// A start failed to be sent or got no answer.
    StartLost {
        /// The agent.
        agent: Incarnation,
        /// The start.
        request: RequestId,
        /// How far it got.
        loss: LossKind,
    },
    /// An agent answered a cancellation.
    Cancelled {
        /// The agent.
        agent: Incarnation,
        /// Outcomes of the cancelled starts; `None` for one that is still running.
        outcomes: Vec<(RequestId, Option<Outcome>)>,
    },
    /// An agent answered a fence.
    Fenced {
        /// The agent.
        agent: Incarnation,
        /// The submission.
        submission: SubmissionId,
        /// The fencing epoch.
        epoch: Epoch,
        /// Every task of the submission that the agent has a record of.
        tasks: Vec<(TaskIndex, TaskRecord)>,
    },
    /// A fence got no answer.
    FenceLost {
        /// The agent.
        agent: Incarnation,
        /// The submission.
        submission: SubmissionId,
        /// The fencing epoch.
        epoch: Epoch,
    },
    /// The entry begins a planned stop and admits no more work.
    Drain,
    /// Time has passed: due timers run.
    Tick,
}
