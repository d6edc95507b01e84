//! What the ledger remembers of one submission.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::message::{ClaimRequest, SubmissionResult};

/// Longest deadline that the ledger goes by, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Time after the deadline in which the owner may still report the end, in milliseconds.
const OWNER_GRACE_MS: u64 = 1_000;

/// Time left until the submission's deadline, in milliseconds, within the ledger's bound.
pub(crate) fn deadline_ms(request: &ClaimRequest) -> u64 {
    request.deadline_ms.min(MAX_DEADLINE_MS)
}

/// One submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// Digest of its content.
    pub(crate) digest: Digest,
    /// Epoch of the latest claim.
    pub(crate) epoch: Epoch,
    /// Whether a cancellation has been recorded.
    pub(crate) cancelled: bool,
    /// When it is forgotten, in milliseconds of the ledger's time.
    pub(crate) forget_at_ms: u64,
    /// Where it stands.
    pub(crate) state: State,
}

/// Where a submission stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum State {
    /// An entry runs it, or has died while it did.
    Open(Claim),
    /// It has ended for good.
    Ended(SubmissionResult),
    /// Its latest owner has proved that nothing ran; it may be claimed again.
    Released,
}

/// Who may run an open submission, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// The entry.
    pub(crate) owner: Incarnation,
    /// Until when the owner is left alone while it is alive, in milliseconds of the ledger's time.
    pub(crate) busy_until_ms: u64,
    /// Agents that this owner may use.
    pub(crate) plan: Vec<Incarnation>,
    /// Agents that earlier owners could have used, which this owner must fence first.
    pub(crate) fence: Vec<Incarnation>,
}

impl Record {
    /// A record of a submission's first claim.
    pub(crate) fn first(request: &ClaimRequest, claim: Claim, forget_at_ms: u64) -> Self {
        Self {
            digest: request.digest,
            epoch: Epoch::default().next(),
            cancelled: false,
            forget_at_ms,
            state: State::Open(claim),
        }
    }

    /// Bytes of answers held.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Ended(result) => result_bytes(result),
            State::Open(_) | State::Released => 0,
        }
    }
}

impl Claim {
    /// The claim of an entry at `now_ms` that has to fence the given agents first.
    pub(crate) fn new(now_ms: u64, request: &ClaimRequest, fence: Vec<Incarnation>) -> Self {
        Self {
            owner: request.entry,
            busy_until_ms: now_ms + deadline_ms(request) + OWNER_GRACE_MS,
            plan: request.plan.clone(),
            fence,
        }
    }

    /// Every agent that this owner or an earlier one could have used.
    pub(crate) fn all_agents(&self) -> Vec<Incarnation> {
        let mut agents = [self.fence.as_slice(), self.plan.as_slice()].concat();
        agents.sort_unstable();
        agents.dedup();
        agents
    }

    /// Lets the owner use further agents.
    pub(crate) fn widen(&mut self, plan: &[Incarnation]) {
        self.plan.extend_from_slice(plan);
        self.plan.sort_unstable();
        self.plan.dedup();
    }
}

/// Bytes that a result's answers take.
pub(crate) fn result_bytes(result: &SubmissionResult) -> usize {
    match result {
        SubmissionResult::Complete { answers } => answers
            .iter()
            .map(|answer| answer.body.len() + answer.content_type.len())
            .sum(),
        _ => 0,
    }
}
