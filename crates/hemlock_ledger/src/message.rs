//! Requests from entries to the ledger, and the replies.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Request of an entry to run a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Id of the submission.
    pub submission: SubmissionId,
    /// Digest of the submission's content.
    pub digest: Digest,
    /// The entry that makes the claim.
    pub entry: Incarnation,
    /// Number of tasks in the submission.
    pub tasks: u16,
    /// Agent incarnations that may start tasks of the submission.
    pub plan: Vec<Incarnation>,
    /// Time left until the submission's deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Reply to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The entry owns the submission under `epoch`.
    Granted {
        /// Fencing epoch for all starts of this submission's tasks.
        epoch: Epoch,
        /// Claims of earlier owners, whose agents must be fenced before any task starts.
        previous: Option<PreviousClaim>,
    },
    /// Another live entry owns the submission; retry later.
    Busy {
        /// The entry that owns the submission.
        owner: Incarnation,
        /// Delay before the retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The submission has ended with this result.
    Ended(EndRecord),
    /// The submission's name was already used with different content. Nothing was run for this
    /// request.
    Conflict,
    /// The submission was cancelled; no task may start.
    Cancelled,
    /// The ledger stores the largest allowed number of submissions. Nothing was recorded.
    Full,
}

/// Earlier claims of a submission that has a new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousClaim {
    /// All agent incarnations that any earlier owner may have used.
    pub plan: Vec<Incarnation>,
}

/// End of a submission, as reported by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Id of the submission.
    pub submission: SubmissionId,
    /// Epoch of the owner's claim. A report is ignored if this is not the latest epoch.
    pub epoch: Epoch,
    /// Result of the submission.
    pub result: SubmissionResult,
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionResult {
    /// Every task has a complete answer.
    Complete {
        /// One answer per task, in task order.
        answers: Vec<Answer>,
    },
    /// Every task has a complete answer, but the answers are too large for the ledger. The agents
    /// store them for the retention time.
    CompleteElsewhere {
        /// The agents that may hold the answers.
        plan: Vec<Incarnation>,
    },
    /// At least one task ran, or may have run, without a complete answer.
    Failed(FailureKind),
    /// No task ran. The claim is released, so the submission can be claimed again.
    NotRun(NotRunReason, NotRunProof),
}

/// Reply to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelReply {
    /// The cancellation was recorded. The owner, if any, is notified.
    Recorded {
        /// The entry that owns the submission, if it is open.
        owner: Option<Incarnation>,
    },
    /// The submission had already ended.
    Ended(EndRecord),
    /// The ledger has no such submission.
    Unknown,
}
