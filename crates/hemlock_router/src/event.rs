//! What the router is told.

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_directory::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;

/// Names one caller's open call to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Names one claim; an answer that comes late never counts for a later claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimAttempt(pub u64);

/// One task of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRequest {
    /// Operation to call.
    pub operation: OperationName,
    /// Request body, whole.
    pub body: Bytes,
    /// Cores that the caller declares; zero when it declares none.
    pub cores: u32,
    /// Memory that the caller declares, in megabytes; zero when it declares none.
    pub memory_mb: u64,
}

/// What a caller asks for: one request or one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submit {
    /// The caller's call, answered exactly once.
    pub call: CallId,
    /// Whose contract it runs under.
    pub customer: CustomerName,
    /// Service to call.
    pub service: ServiceName,
    /// The submission and the digest of its content; `None` for a request without a key.
    pub submission: Option<(SubmissionId, Digest)>,
    /// The tasks, 1 to [`MAX_TASKS`](crate::work::MAX_TASKS).
    pub tasks: Vec<TaskRequest>,
    /// Deadline that the caller asks for, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// W3C trace context header, empty when there is none.
    pub traceparent: Bytes,
    /// The caller doesn't wait: it is answered as soon as the work is taken.
    pub detached: bool,
}

/// News from the leading keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncNews {
    /// When the entry sent the report that this answers; leases count from then.
    pub sent: Instant,
    /// Configuration lease in milliseconds.
    pub lease_ms: u64,
    /// Configuration news.
    pub config: ConfigUpdate,
    /// Directory news.
    pub directory: DirectoryUpdate,
    /// Every share of the entry.
    pub shares: Vec<Share>,
    /// Number of the deal that the shares belong to.
    pub shares_seq: u64,
    /// Submissions of this entry that were cancelled elsewhere.
    pub cancelled: Vec<SubmissionId>,
}

/// How a call to an agent was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It never reached a connection.
    NeverSent,
    /// The connection ended after sending: the agent may have received it.
    AfterSending,
}

/// Everything that can happen to the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller asks for work.
    Submit(Box<Submit>),
    /// A caller asks how a submission stands.
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
    Synced(Box<SyncNews>),
    /// The ledger answered a claim; `None` when no keeper could be asked or the answer was lost.
    ClaimAnswered {
        /// The submission.
        submission: SubmissionId,
        /// The claim that this answers.
        attempt: ClaimAttempt,
        /// The answer.
        reply: Option<ClaimReply>,
    },
    /// The ledger answered a lookup; the outer `None` when no keeper could be asked.
    LookupAnswered {
        /// The call that the lookup was for.
        call: CallId,
        /// The answer: the inner `None` when the ledger holds no such submission.
        reply: Option<Option<ClaimReply>>,
    },
    /// The ledger answered a cancellation; `None` when no keeper could be asked.
    CancelRecorded {
        /// The call that the cancellation was for.
        call: CallId,
        /// The answer.
        reply: Option<CancelReply>,
    },
    /// A connection to an agent stands.
    LinkUp(Incarnation),
    /// The connection to an agent ended.
    LinkDown(Incarnation),
    /// An agent granted slots.
    Granted {
        /// The agent.
        agent: Incarnation,
        /// How many.
        slots: u16,
    },
    /// An agent asks for unused slots back.
    Recall {
        /// The agent.
        agent: Incarnation,
        /// How many at most.
        slots: u16,
        /// Names the question in the answer.
        ticket: u64,
    },
    /// An agent takes no new work from now on.
    Leaving(Incarnation),
    /// An agent answered a heartbeat.
    Pong {
        /// The agent.
        agent: Incarnation,
        /// Whether it takes no new work.
        draining: bool,
    },
    /// An agent did not answer a heartbeat in time.
    PingMissed(Incarnation),
    /// A start has settled.
    Settled {
        /// The agent.
        agent: Incarnation,
        /// The start.
        request: RequestId,
        /// What became of it.
        outcome: Outcome,
        /// Time that the endpoint took, in microseconds.
        service_us: u64,
        /// Slots granted with the answer.
        granted: u16,
    },
    /// A start got no answer.
    StartLost {
        /// The agent.
        agent: Incarnation,
        /// The start.
        request: RequestId,
        /// How it was lost.
        loss: Loss,
    },
    /// An agent answered a cancellation.
    Cancelled {
        /// The agent.
        agent: Incarnation,
        /// What became of the withdrawn starts; `None` while one runs on.
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
        /// Every task of it that the agent knows.
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
    /// The entry begins a planned stop: it admits nothing more.
    Drain,
    /// Time has passed.
    Tick,
}
