//! What entries ask of the ledger, and its answers.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry asks to run a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The submission.
    pub submission: SubmissionId,
    /// Digest of its content.
    pub digest: Digest,
    /// The entry that asks.
    pub entry: Incarnation,
    /// Number of tasks.
    pub tasks: u16,
    /// Agent incarnations that may start any of its tasks.
    pub plan: Vec<Incarnation>,
    /// Time left until its deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// The ledger's answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The entry owns the submission under `epoch`.
    Granted {
        /// Epoch that every start must carry.
        epoch: Epoch,
        /// Earlier owner whose agents must be fenced before anything starts.
        previous: Option<PreviousClaim>,
    },
    /// Another entry that is alive runs it; ask again later.
    Busy {
        /// The owner.
        owner: Incarnation,
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
    /// It has ended; this is its answer.
    Ended(EndRecord),
    /// The same submission name was used with other content. Nothing ran for this call.
    Conflict,
    /// It was cancelled; nothing may start.
    Cancelled,
    /// The ledger is at its bound of open submissions. Nothing was recorded.
    Full,
}

/// An earlier claim of a submission that a later owner takes over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousClaim {
    /// Every agent incarnation that any earlier owner could have used.
    pub plan: Vec<Incarnation>,
}

/// How a submission ended, as its owner reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// The submission.
    pub submission: SubmissionId,
    /// The owner's epoch; a report of a lower epoch than the ledger's is ignored.
    pub epoch: Epoch,
    /// The result.
    pub result: SubmissionResult,
}

/// The result of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionResult {
    /// Every task has a whole answer, in task order.
    Complete {
        /// One answer a task.
        answers: Vec<Answer>,
    },
    /// Every task has a whole answer, but they are too large for the ledger; the agents hold
    /// them for the retention time.
    CompleteElsewhere {
        /// The agents that hold the answers.
        plan: Vec<Incarnation>,
    },
    /// Some task ran or may have run without a whole answer.
    Failed(FailureKind),
    /// No task ran. The claim is released: a resubmission may run it.
    NotRun(NotRunReason, NotRunProof),
}

/// The ledger's answer to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelReply {
    /// The ledger has recorded it; the owner, if any, is told.
    Recorded {
        /// The entry that runs the submission.
        owner: Option<Incarnation>,
    },
    /// It had ended before.
    Ended(EndRecord),
    /// The ledger holds no such submission.
    Unknown,
}
