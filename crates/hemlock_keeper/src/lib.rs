//! The keeper role: stores the cluster's durable state in a replicated log, as its leader or a
//! follower, and serves the operators' HTTP API.
//!
//! ```no_run
//! use hemlock_keeper::prelude::*;
//! use hemlock_settings::prelude::*;
//!
//! let settings: KeeperSettings = load("keeper.yaml".as_ref())?;
//! let keeper = Keeper::start(settings)?;
//! println!("operator API on {}", keeper.http_address());
//! keeper.stop()?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod command;
pub mod core;
pub mod error;
mod shell;
pub mod state;

pub use shell::{Keeper, KeeperHandle};

/// The items that most callers need.
pub mod prelude {
    pub use crate::core::KeeperCore;
    pub use crate::core::event::{KeeperAction, KeeperEvent, OperatorCall, ReplyToken};
    pub use crate::error::KeeperError;
    pub use crate::state::KeeperState;
    pub use crate::{Keeper, KeeperHandle};
}
