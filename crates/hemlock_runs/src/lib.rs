//! The runs at one instance, as the agent beside it keeps them: a pure core, and the border to the
//! instance's own interface.
//!
//! The agent is the instance's only caller. It keeps the instance's capacity, renews the leases of
//! what runs, and tells the leader of every end. It acts only within a session with the leader, and
//! only for a bounded time after the leader last confirmed it.
//!
//! ```
//! use hemlock_runs::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let runs = Runs::new(RunsSettings::default(), 1, Instant::ZERO);
//! assert!(runs.may_renew(Instant::ZERO));
//! ```

pub mod driver;
mod entry;
pub mod runs;

/// The items that most callers need.
pub mod prelude {
    pub use crate::driver::{
        InstanceDriver, ListCall, ListFault, ListedEnd, ListedRun, Listing, StartCall, StartResult,
        StopCall, StopResult,
    };
    pub use crate::entry::Owner;
    pub use crate::runs::{
        Beat, Claim, DriverCall, InstanceChange, RefusedStart, RunOutcome, Runs, RunsSettings,
    };
}
