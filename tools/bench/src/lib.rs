//! The parts of the bench that turn recorded figures into pages.

pub mod capacity;
pub mod report;
