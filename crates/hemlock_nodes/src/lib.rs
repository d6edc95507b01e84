//! The processes that carry durable jobs: the *coordinator* on a keeper's machine, the *gateway*
//! that callers reach, and the *runner* beside each instance.
//!
//! Each is one thread around the pure cores of `hemlock_quorum`, `hemlock_jobs`,
//! `hemlock_dispatch` and `hemlock_runs`; a coordinator has a second one for its disk. What speaks
//! to callers, operators and instances is given to them from outside.
//!
//! ```
//! use hemlock_nodes::prelude::*;
//!
//! let address = "127.0.0.1:7720".parse().unwrap();
//! assert_eq!(keeper_address(keeper_id(address)), address);
//! ```

pub mod address;
pub mod connect_timeouts;
mod connector;
pub mod coordinator;
pub mod gateway;
pub mod hedge;
pub mod message;
pub mod runner;
pub mod task_set;

/// The items that most callers need.
pub mod prelude {
    pub use crate::address::{keeper_address, keeper_id};
    pub use crate::coordinator::{
        ConfigureAnswer, Coordinator, CoordinatorError, CoordinatorHandle, CoordinatorSettings,
        ReadAnswer,
    };
    pub use crate::gateway::{Gateway, GatewaySettings};
    pub use crate::message::{CallerAction, CallerAnswer, CallerRequest, JobState, Rejection};
    pub use crate::runner::{Runner, RunnerSettings};
    pub use hemlock_quorum::prelude::KeeperId;
}
