//! Changes in who owns the runs at the instance, for logs.

use hemlock_dispatch::prelude::SessionId;
use hemlock_jobs::prelude::{RunNumber, TaskKey};
use hemlock_types::time::{DurationMs, Instant};

use super::{DriverCall, OwnerState, Runs};
use crate::tracked_run::Owner;

/// A change in who owns the runs at the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The first listing shows runs of an earlier process, which wait for their owners.
    Found(Vec<(TaskKey, RunNumber)>),
    /// The instance lists runs that nothing is known of. They are stopped.
    Unknown(Vec<(TaskKey, RunNumber)>),
    /// No owner has claimed the runs of an earlier process in time. They are stopped.
    Unclaimed {
        /// Time since they were found.
        waited: DurationMs,
        /// The runs that are stopped now.
        runs: Vec<(TaskKey, RunNumber)>,
    },
    /// The session of an owner is over. Its runs are stopped.
    OwnerGone {
        /// The owner.
        owner: Owner,
        /// Its session.
        session: SessionId,
        /// Time since its connection has closed; `None` if it is open and the owner is silent.
        closed: Option<DurationMs>,
        /// Time since it was last heard from.
        silent: DurationMs,
        /// The runs that are stopped now.
        runs: Vec<(TaskKey, RunNumber)>,
    },
}

impl OwnershipChange {
    pub(super) fn owner_gone(
        now: Instant,
        owner: Owner,
        state: &OwnerState,
        stops: &[DriverCall],
    ) -> Self {
        Self::OwnerGone {
            owner,
            session: state.session,
            closed: state.closed_at.map(|closed_at| now.since(closed_at)),
            silent: now.since(state.last_heard),
            runs: runs_of(stops),
        }
    }
}

/// The runs that the calls concern.
pub(super) fn runs_of(calls: &[DriverCall]) -> Vec<(TaskKey, RunNumber)> {
    let run_of = |call: &DriverCall| match call {
        DriverCall::Start(start) => (start.task, start.run),
        DriverCall::Stop(stop) => (stop.task, stop.run),
    };
    calls.iter().map(run_of).collect()
}

impl Runs {
    /// Takes the changes in the ownership of runs since the last call, for logs.
    pub fn take_ownership_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.ownership_changes)
    }

    /// The owner of a task's run with its current session, if both are known.
    pub fn owner_of(&self, task: TaskKey, run: RunNumber) -> Option<(Owner, SessionId)> {
        let tracked = self.table.get(&task).filter(|tracked| tracked.run == run)?;
        let owner = tracked.owner?;
        Some((owner, self.session(owner)?))
    }
}
