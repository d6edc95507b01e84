//! The endpoint directory: who offers which service, and where.
//!
//! Endpoints announce themselves; there is no list of them. The directory is soft state of the
//! leading keeper, rebuilt from announcements after an election.

pub mod message;

/// The items that most callers need.
pub mod prelude {
    pub use crate::message::{Announcement, DirectoryUpdate, EndpointState};
}
