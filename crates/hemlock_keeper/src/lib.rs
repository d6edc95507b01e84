//! The keeper: the role that holds the durable state, leads or follows the replicated log, and
//! answers operators.
//!
//! ```no_run
//! use hemlock_keeper::prelude::*;
//! use hemlock_settings::prelude::*;
//!
//! let settings: KeeperSettings = load("keeper.yaml".as_ref())?;
//! let keeper = Keeper::start(settings)?;
//! println!("operators reach {}", keeper.http_address());
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
