//! The dispatcher, which decides when each task starts and on which instance. It performs no I/O.
//!
//! The dispatcher holds the state that the replicated job store doesn't: which agent runs which
//! task, the free capacity of each instance, and the order in which waiting jobs receive it. A new
//! leader starts with an empty dispatcher and learns from the agents which tasks are running.
//!
//! ```
//! use hemlock_dispatch::prelude::*;
//! use hemlock_jobs::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let settings = DispatchSettings::default();
//! let dispatcher = Dispatcher::new(Instant::ZERO, settings, &JobStore::default());
//! assert_eq!(dispatcher.waiting_tasks(), 0);
//! ```

mod admitted;
mod containment;
pub mod dispatcher;
mod estimate;
mod health;
mod instance;
mod job;
pub mod order;
mod pace;
mod placement;
mod rack_demand;
mod ranking;
mod retry_spread;
pub mod settings;
mod size_refusal;

/// The items that most callers need.
pub mod prelude {
    pub use crate::dispatcher::{
        AdmissionError, ConfinementChange, Dispatcher, ExpiredAgent, JobStage, RejectionCause,
        Withdrawal,
    };
    pub use crate::order::{
        CrashSuspect, EndAction, Inventory, LoadReport, Order, QueueId, REPORTED_ENDS,
        RefusalReason, RunEnd, RunReport, SessionId, StartOrder, StopOrder, URGENCY_LEVELS,
        Urgency, WITHHOLDS_ALL,
    };
    pub use crate::settings::{CapacitySource, DispatchSettings, lease_within, longest_lease};
    pub use crate::size_refusal::RelativeSize;
    pub use hemlock_jobs::prelude::{InstanceId, InstanceReport};
}
