//! The commands that every keeper applies in the same order.

use std::net::SocketAddr;

use hemlock_contract::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The leader's time, in milliseconds since the cluster's first leader. Keepers decide by it
    /// what has expired.
    pub at_ms: u64,
    /// What to do, in order. A change of the configuration stands alone, because its place in the
    /// log is its version.
    pub items: Vec<CommandItem>,
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandItem {
    /// Sets a contract's new state.
    Contract(Contract),
    /// Announces a planned stop.
    Stop(PlannedStop),
    /// Lifts a planned stop.
    LiftStop(StopId),
    /// Tells the wire address of a keeper that the settings may not list.
    KeeperAddress {
        /// The keeper's id.
        id: u64,
        /// Its wire address.
        address: SocketAddr,
    },
    /// An entry is about to hold a configuration lease.
    EntryJoined(Incarnation),
    /// An entry holds no configuration lease any more.
    EntryGone(Incarnation),
    /// Claims a submission.
    Claim(ClaimRequest),
    /// Ends a submission.
    End(EndRecord),
    /// Cancels a submission.
    Cancel(SubmissionId),
}

impl CommandItem {
    /// Roughly the bytes that the item takes in the log.
    pub fn size_bytes(&self) -> usize {
        let payload = match self {
            Self::Claim(claim) => claim.plan.len() * INCARNATION_BYTES,
            Self::End(end) => end_bytes(&end.result),
            _ => 0,
        };
        payload + ITEM_BYTES
    }
}

/// Bytes that an encoded incarnation takes at most.
const INCARNATION_BYTES: usize = 10;
/// Bytes that an item takes besides its lists and bodies, at most.
const ITEM_BYTES: usize = 128;
/// Bytes that an answer takes besides its body, at most.
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

/// What an item's application says to whoever proposed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Verdict on a contract.
    Contract(ContractVerdict),
    /// Verdict on a planned stop.
    Stop(StopVerdict),
    /// Verdict on lifting a planned stop.
    Lift(LiftVerdict),
    /// Answer to a claim.
    Claim(ClaimReply),
    /// Answer to a cancellation.
    Cancel(CancelReply),
    /// Nothing to say.
    Done,
}
