//! The processes that run jobs: the *coordinator* on a keeper's machine, the *gateway* that callers
//! connect to, and the *runner* beside each instance.
//!
//! Each process is a single-threaded event loop around the I/O-free state machines of
//! `hemlock_quorum`, `hemlock_jobs`, `hemlock_dispatch` and `hemlock_runs`; a coordinator has a
//! second thread for its disk. The embedding program provides the protocols for callers, operators
//! and instances.
//!
//! ```
//! use hemlock_nodes::prelude::*;
//!
//! let address = "127.0.0.1:7720".parse().unwrap();
//! assert_eq!(keeper_address(keeper_id(address)), address);
//! ```

pub mod address;
mod confinement;
pub mod connect_timeouts;
mod connector;
pub mod coordinator;
mod evacuations;
pub mod gateway;
pub mod hedge;
pub mod listing_backoff;
pub mod load_reports;
pub mod message;
pub mod operator;
mod run_log;
pub mod runner;
pub mod subset;
pub mod task_set;
pub mod update_queue;

/// The most commonly used items.
pub mod prelude {
    pub use crate::address::{keeper_address, keeper_id};
    pub use crate::coordinator::{
        ConfigureAnswer, Coordinator, CoordinatorError, CoordinatorHandle, CoordinatorSettings,
        ReadAnswer,
    };
    pub use crate::gateway::engine::EngineSettings;
    pub use crate::gateway::{Caller, Gateway, GatewaySettings};
    pub use crate::message::{
        CallerAction, CallerAnswer, CallerRequest, EvacuationAnswer, EvacuationChange, JobState,
        Rejection,
    };
    pub use crate::operator::{OperatorClient, OperatorError};
    pub use crate::runner::{Runner, RunnerError, RunnerSettings};
    pub use hemlock_quorum::prelude::KeeperId;
}
