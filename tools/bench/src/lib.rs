//! Renders recorded figures of the bench as pages.

pub mod capacity;
pub mod report;
