//! The leader's dispatcher: which task runs where and when, as a pure core without I/O.
//!
//! The dispatcher holds what the replicated record doesn't: which agent runs which task, what each
//! instance has left, and in which order waiting jobs get it. A new leader begins with an empty
//! one, and learns from the agents what runs.
//!
//! ```
//! use hemlock_dispatch::prelude::*;
//! use hemlock_jobs::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let dispatcher = Dispatcher::new(Instant::ZERO, DispatchSettings::default(), &JobBook::default());
//! assert_eq!(dispatcher.waiting_tasks(), 0);
//! ```

pub mod dispatcher;
mod estimate;
mod health;
mod instance;
mod job;
pub mod order;
mod placement;
mod ranking;
pub mod settings;

/// The items that most callers need.
pub mod prelude {
    pub use crate::dispatcher::{AdmitRefusal, Dispatcher, JobStage, Withdrawal};
    pub use crate::order::{
        EndVerdict, Inventory, Order, RefusalReason, Room, RunEnd, RunReport, SessionId,
        StartOrder, StopOrder, URGENCY_LEVELS, Urgency,
    };
    pub use crate::settings::{CapacityView, DispatchSettings, longest_lease};
    pub use hemlock_jobs::prelude::{InstanceId, InstanceReport};
}
