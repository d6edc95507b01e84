//! Commands of the replicated log. Every keeper applies them in the same order.

use std::net::SocketAddr;

use hemlock_contract::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The leader's clock in milliseconds since the cluster's first leader. All keepers expire
    /// records by this time instead of their own clocks.
    pub at_ms: u64,
    /// Operations to apply, in order. A configuration change is the only item of its command,
    /// because its log index becomes the configuration version.
    pub items: Vec<CommandItem>,
}

/// One operation of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandItem {
    /// Creates a contract or replaces it with a newer revision.
    Contract(Contract),
    /// Adds a planned stop.
    Stop(PlannedStop),
    /// Removes a planned stop.
    LiftStop(StopId),
    /// Records the wire address of a keeper that the settings files may not list.
    KeeperAddress {
        /// The keeper's id.
        id: u64,
        /// Its wire address.
        address: SocketAddr,
    },
    /// Records an entry before the leader grants it a configuration lease.
    EntryJoined(Incarnation),
    /// Removes an entry that no longer holds a configuration lease.
    EntryGone(Incarnation),
    /// Claims a submission for an entry.
    Claim(ClaimRequest),
    /// Records the result of a submission.
    End(EndRecord),
    /// Cancels a submission.
    Cancel(SubmissionId),
}

impl CommandItem {
    /// Estimates the encoded size of the item in bytes.
    pub fn size_bytes(&self) -> usize {
        let payload = match self {
            Self::Claim(claim) => claim.plan.len() * INCARNATION_BYTES,
            Self::End(end) => end_bytes(&end.result),
            _ => 0,
        };
        payload + ITEM_BYTES
    }
}

/// Maximum size of an encoded incarnation in bytes.
const INCARNATION_BYTES: usize = 10;
/// Maximum size of an item in bytes, without its lists and bodies.
const ITEM_BYTES: usize = 128;
/// Maximum size of an answer in bytes, without its body and content type.
const ANSWER_BYTES: usize = 64;

fn end_bytes(result: &SubmissionResult) -> usize {
    match result {
        SubmissionResult::Complete { answers } => answers
            .iter()
            .map(|answer| answer.body.len() + answer.content_type.len() + ANSWER_BYTES)
            .sum(),
        SubmissionResult::CompleteElsewhere { plan } => plan.len() * INCARNATION_BYTES,
        SubmissionResult::Failed(_) | SubmissionResult::NotRun(..) => 0,
    }
}

/// Result of applying an item, returned to its proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Result of a contract change.
    Contract(ContractVerdict),
    /// Result of adding a planned stop.
    Stop(StopVerdict),
    /// Result of removing a planned stop.
    Lift(LiftVerdict),
    /// Reply to a claim.
    Claim(ClaimReply),
    /// Reply to a cancellation.
    Cancel(CancelReply),
    /// The item was applied and has no result.
    Done,
}
