//! One run in the agent's table.

use hemlock_jobs::prelude::{Resources, RunNumber};
use hemlock_types::time::Instant;

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start has been sent.
    Starting,
    /// The instance runs it since then at the latest.
    Running(Instant),
    /// It is being stopped.
    Stopping {
        /// Whether it is known to have begun.
        began: bool,
        /// When the instance accepted the stop.
        accepted: Option<Instant>,
    },
}

/// One run. It takes room until the instance is known not to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) run: RunNumber,
    pub(crate) needs: Resources,
    pub(crate) phase: Phase,
}
