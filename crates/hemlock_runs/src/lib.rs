//! The agent's record of the runs at one instance: pure state transitions, and the interface to the
//! instance.
//!
//! The agent is the only process that calls the instance. It admits runs within the instance's
//! capacity, renews their lease, and reports the end of each run to the owner that ordered it, the
//! leader or a gateway. It acts for an owner only within a session with it, and only for a limited
//! time after the owner was last heard from.
//!
//! ```
//! use hemlock_runs::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let runs = Runs::new(RunsSettings::default(), 1, Instant::ZERO);
//! assert!(runs.may_renew(Instant::ZERO));
//! ```

mod breaker;
pub mod driver;
mod pace;
pub mod runs;
pub mod shares;
mod tracked_run;

/// The types that most users of the crate need.
pub mod prelude {
    pub use crate::driver::{
        InstanceDriver, ListCall, ListError, ListedEnd, ListedRun, Listing, StartCall, StartResult,
        StopCall, StopResult,
    };
    pub use crate::runs::{
        Claim, Confirmation, DriverCall, FenceAction, Heartbeat, HeartbeatOutcome, InstanceChange,
        OwnershipChange, RefusedStart, RunOutcome, Runs, RunsSettings,
    };
    pub use crate::shares::Shares;
    pub use crate::tracked_run::Owner;
}
