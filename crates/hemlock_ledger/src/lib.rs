//! The submission ledger: which entry may run which submission, and how it ended.
//!
//! An entry claims a submission before it starts any of its tasks. The claim names the agent
//! incarnations that may start the tasks, so that a later owner knows which gates to fence.

pub mod message;

/// The items that most callers need.
pub mod prelude {
    pub use crate::message::{
        CancelReply, ClaimReply, ClaimRequest, EndRecord, PreviousClaim, SubmissionResult,
    };
}
