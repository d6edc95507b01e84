//! The messages between the system's own processes.
//!
//! Each file holds what one role is asked, and its answers. They travel as whole frames on a
//! link; see the crate documentation.

pub mod agent;
pub mod entry;
pub mod keeper;
