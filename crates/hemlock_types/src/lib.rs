//! Ids, units, time and outcomes that every hemlockridge crate shares.
//!
//! The crate knows no I/O: a core takes an [`Instant`](time::Instant) as an argument, and a
//! [`Clock`](time::Clock) supplies it at the edge of a process.
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

/// The items that most callers need.
pub mod prelude {
    pub use crate::digest::Digest;
    pub use crate::ids::{
        Epoch, Incarnation, RequestId, Revision, SubmissionId, TaskIndex, Version,
    };
    pub use crate::names::{CustomerName, DomainName, OperationName, RackName, ServiceName};
    pub use crate::outcome::{Answer, FailureKind, NotRunProof, NotRunReason, Outcome};
    pub use crate::role::Role;
    pub use crate::task::{TaskRecord, TaskSpec};
    pub use crate::time::{Clock, DurationMs, Instant, ManualClock, SystemClock};
}
