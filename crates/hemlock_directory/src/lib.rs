//! The endpoint directory: who offers which service, and where.
//!
//! Endpoints announce themselves; there is no list of them. The directory is soft state of the
//! leading keeper, rebuilt from announcements after an election.
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

/// The items that most callers need.
pub mod prelude {
    pub use crate::directory::{AnnounceOutcome, Directory};
    pub use crate::message::{Announcement, DirectoryUpdate, EndpointState};
}
