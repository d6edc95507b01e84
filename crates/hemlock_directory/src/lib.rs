//! Endpoint directory: records the endpoints of each service and their addresses.
//!
//! Endpoints announce themselves; there is no configured list. The directory is soft state of the
//! leading keeper: after an election it is rebuilt from announcements.
//!
//! ```
//! use hemlock_directory::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let directory = Directory::new(3, DurationMs::new(4_000));
//! assert_eq!(directory.update_since((3, 0)), DirectoryUpdate::Current);
//! ```

pub mod directory;
pub mod message;

/// The most commonly used items.
pub mod prelude {
    pub use crate::directory::{AnnounceOutcome, Directory};
    pub use crate::message::{Announcement, DirectoryUpdate, EndpointState};
}
