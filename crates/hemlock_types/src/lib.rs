//! Ids, names, units of time and outcome types shared by all hemlockridge crates.
//!
//! The types do no network or file I/O. Protocol logic takes the current
//! [`Instant`](time::Instant) as an argument instead of reading a clock; the process that runs
//! it reads the time from a [`Clock`](time::Clock).
//!
//! ```
//! use hemlock_types::prelude::*;
//!
//! let start = Instant::ZERO;
//! let later = start + DurationMs::new(250);
//! assert_eq!(later.since(start).as_ms(), 250);
//! ```

pub mod digest;
pub mod ids;
pub mod names;
pub mod outcome;
pub mod role;
pub mod task;
pub mod time;

/// The most commonly used items, for glob imports.
pub mod prelude {
    pub use crate::digest::Digest;
    pub use crate::ids::{
        ConfigVersion, Epoch, Incarnation, RequestId, Revision, SubmissionId, TaskIndex,
    };
    pub use crate::names::{CustomerName, FailureDomainName, OperationName, RackName, ServiceName};
    pub use crate::outcome::{Answer, FailureKind, NotRunProof, NotRunReason, Outcome};
    pub use crate::role::Role;
    pub use crate::task::{TaskRecord, TaskSpec};
    pub use crate::time::{Clock, DurationMs, Instant, ManualClock, SystemClock};
}
