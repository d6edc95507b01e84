//! One run in the agent's table.

use hemlock_dispatch::prelude::{StartOrder, Urgency};
use hemlock_jobs::prelude::{Resources, RunNumber, TaskKey};
use hemlock_types::ids::Incarnation;
use hemlock_types::time::Instant;
use serde::{Deserialize, Serialize};

/// Who ordered a run and is told of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Owner {
    /// The leading coordinator, for jobs that are kept.
    Leader,
    /// A gateway in one life of its process, for best-effort jobs.
    Gateway(Incarnation),
}

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
        /// When the stop was decided.
        since: Instant,
        /// Whether it was decided because the run stood still.
        stalled: bool,
    },
}

/// One run. It takes room until the instance is known not to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Unknown for runs that an earlier process of this agent started, until they are claimed.
    pub(crate) owner: Option<Owner>,
    pub(crate) run: RunNumber,
    /// Unknown like the owner.
    pub(crate) needs: Option<Resources>,
    /// How long it should take, in milliseconds; zero when that isn't known.
    pub(crate) expected_ms: u64,
    /// After how long it is taken to stand still, in milliseconds; zero for never.
    pub(crate) stall_after_ms: u64,
    /// When it was first known to run.
    pub(crate) began_at: Option<Instant>,
    pub(crate) phase: Phase,
}

impl Entry {
    /// How long it has run, in milliseconds, as far as is known.
    pub(crate) fn took_ms(&self, now: Instant) -> u64 {
        self.began_at.map_or(0, |began| now.since(began).as_ms())
    }
}

/// A start that waits for room.
#[derive(Clone, Debug)]
pub(crate) struct QueuedStart {
    pub(crate) owner: Owner,
    pub(crate) order: StartOrder,
}

/// Place of a start in the queue; the least goes first.
pub(crate) type QueuePlace = (Urgency, TaskKey);
