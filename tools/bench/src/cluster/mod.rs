//! Starts the programs under test as separate processes, with relays and stand-in endpoints.

pub(crate) mod fleet;
pub(crate) mod layout;
pub(crate) mod metrics;
pub(crate) mod process;
pub(crate) mod relay;
pub(crate) mod running;
pub(crate) mod usage;
