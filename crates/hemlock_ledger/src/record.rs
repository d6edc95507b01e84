//! State of one submission in the ledger.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::message::{ClaimRequest, SubmissionResult};

/// Upper limit for the deadline of a submission, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Time after the deadline during which the owner may still report the end, in milliseconds.
const OWNER_GRACE_MS: u64 = 1_000;

/// Time left until the submission's deadline, in milliseconds, capped by the ledger's limit.
pub(crate) fn deadline_ms(request: &ClaimRequest) -> u64 {
    request.deadline_ms.min(MAX_DEADLINE_MS)
}

/// A stored submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// Digest of the submission's content.
    pub(crate) digest: Digest,
    /// Epoch of the latest claim.
    pub(crate) epoch: Epoch,
    /// Whether the submission was cancelled.
    pub(crate) cancelled: bool,
    /// Expiry time, in milliseconds of the ledger's clock.
    pub(crate) forget_at_ms: u64,
    /// State of the submission.
    pub(crate) state: State,
}

/// State of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum State {
    /// Claimed by an entry, which runs it or has failed while doing so.
    Open(Claim),
    /// Ended with a final result.
    Ended(SubmissionResult),
    /// The last owner reported that no task ran. It can be claimed again.
    Released,
}

/// Claim of an entry on an open submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// The entry that made the claim.
    pub(crate) owner: Incarnation,
    /// Time until which no other entry can take over while the owner is live, in milliseconds of
    /// the ledger's clock.
    pub(crate) busy_until_ms: u64,
    /// Agents that the owner may use.
    pub(crate) plan: Vec<Incarnation>,
    /// Agents that earlier owners may have used. The owner must fence them before any task starts.
    pub(crate) fence: Vec<Incarnation>,
}

impl Record {
    /// Creates the record for the first claim of a submission.
    pub(crate) fn first(request: &ClaimRequest, claim: Claim, forget_at_ms: u64) -> Self {
        Self {
            digest: request.digest,
            epoch: Epoch::default().next(),
            cancelled: false,
            forget_at_ms,
            state: State::Open(claim),
        }
    }

    /// Size of the stored answers, in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Ended(result) => result_bytes(result),
            State::Open(_) | State::Released => 0,
        }
    }
}

impl Claim {
    /// Creates a claim at time `now_ms`, with the agents that must be fenced first.
    pub(crate) fn new(now_ms: u64, request: &ClaimRequest, fence: Vec<Incarnation>) -> Self {
        Self {
            owner: request.entry,
            busy_until_ms: now_ms + deadline_ms(request) + OWNER_GRACE_MS,
            plan: request.plan.clone(),
            fence,
        }
    }

    /// All agents that this owner or an earlier one may have used.
    pub(crate) fn all_agents(&self) -> Vec<Incarnation> {
        let mut agents = [self.fence.as_slice(), self.plan.as_slice()].concat();
        agents.sort_unstable();
        agents.dedup();
        agents
    }

    /// Adds agents that the owner may use.
    pub(crate) fn add_agents(&mut self, plan: &[Incarnation]) {
        self.plan.extend_from_slice(plan);
        self.plan.sort_unstable();
        self.plan.dedup();
    }
}

/// Size of the answers in a result, in bytes.
pub(crate) fn result_bytes(result: &SubmissionResult) -> usize {
    match result {
        SubmissionResult::Complete { answers } => answers
            .iter()
            .map(|answer| answer.body.len() + answer.content_type.len())
            .sum(),
        _ => 0,
    }
}
