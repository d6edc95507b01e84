//! Submission ledger: records which entry may run a submission, and its result.
//!
//! An entry claims a submission before it starts any of its tasks. The claim lists the agent
//! incarnations that may start the tasks, so that a later owner knows which gates it must fence.
//!
//! ```
//! use hemlock_ledger::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! struct AllLive;
//! impl LiveEntries for AllLive {
//!     fn is_live(&self, _: Incarnation) -> bool {
//!         true
//!     }
//! }
//!
//! let mut ledger = Ledger::new(LedgerLimits::default());
//! let request = ClaimRequest {
//!     submission: SubmissionId::derive(&CustomerName::from("sablah"), "hold-17"),
//!     digest: Digest::of_parts(&[b"room 4"]),
//!     entry: Incarnation(1),
//!     tasks: 1,
//!     plan: vec![Incarnation(9)],
//!     deadline_ms: 10_000,
//! };
//! let reply = ledger.claim(0, &request, &AllLive);
//! assert!(matches!(reply, ClaimReply::Granted { epoch: Epoch(1), previous: None }));
//! ```

pub mod ledger;
pub mod limits;
pub mod message;
mod record;
mod records;

/// The most commonly used items.
pub mod prelude {
    pub use crate::ledger::{Ledger, LedgerSnapshot, LiveEntries};
    pub use crate::limits::LedgerLimits;
    pub use crate::message::{
        CancelReply, ClaimReply, ClaimRequest, EndRecord, PreviousClaim, SubmissionResult,
    };
}
