//! The programs under test as separate processes, and what stands around them.

pub(crate) mod fleet;
pub(crate) mod layout;
pub(crate) mod metrics;
pub(crate) mod process;
pub(crate) mod relay;
pub(crate) mod running;
pub(crate) mod usage;
