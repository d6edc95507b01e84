//! Withdrawal of jobs whose caller gets no result.
//!
//! During a long overload, ordered tasks wait in the instances' queues until their job is given up.
//! Only the instances know whether a task has started, and a caller may be told that its job has
//! not run only when this is certain.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;

/// The result of withdrawing a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// No task of the job has started, and none will.
    NotRun,
    /// A task of the job has started, or may have.
    MayHaveRun,
    /// Runs of the job are being stopped; [`Dispatcher::take_withdrawn`] returns the final result.
    Pending,
}

/// Jobs that are being withdrawn.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    /// Runs by job that may still start.
    pending: BTreeMap<JobId, BTreeSet<(TaskKey, RunNumber)>>,
    /// Final results that have not been taken yet.
    settled: Vec<(JobId, Withdrawal)>,
}

impl Withdrawals {
    /// Records that the start of a run was refused.
    pub(super) fn note_refused(&mut self, task: TaskKey, run: RunNumber) {
        let Some(open) = self.pending.get_mut(&task.job) else {
            return;
        };
        open.remove(&(task, run));
        if open.is_empty() {
            self.settle(task.job, Withdrawal::NotRun);
        }
    }

    /// Records that a run of the task has started, or may have.
    pub(super) fn note_started(&mut self, task: TaskKey) {
        self.settle(task.job, Withdrawal::MayHaveRun);
    }

    /// Drops the withdrawal of a job, for example because the job was submitted again.
    pub(super) fn forget(&mut self, id: JobId) {
        self.pending.remove(&id);
        self.settled.retain(|(job, _)| *job != id);
    }

    fn settle(&mut self, id: JobId, withdrawal: Withdrawal) {
        if self.pending.remove(&id).is_some() {
            self.settled.push((id, withdrawal));
        }
    }
}

impl Dispatcher {
    /// Removes a job and orders the stop of its runs. Runs that have not started are withdrawn.
    pub fn withdraw(&mut self, now: Instant, id: JobId) -> Withdrawal {
        self.advance(now);
        let Some(may_have_run) = self.jobs.get(&id).map(|job| job.may_have_run) else {
            self.withdrawals.forget(id);
            return Withdrawal::MayHaveRun;
        };
        self.job_ended(id);
        let runs = self.agents.values().flat_map(|agent| &agent.runs);
        let of_job = runs.filter(|(task, _)| task.job == id);
        let open: BTreeSet<(TaskKey, RunNumber)> =
            of_job.map(|(task, run)| (*task, run.number)).collect();
        match open.is_empty() {
            _ if may_have_run => Withdrawal::MayHaveRun,
            true => Withdrawal::NotRun,
            false => {
                self.withdrawals.pending.insert(id, open);
                Withdrawal::Pending
            }
        }
    }

    /// Takes the final results of withdrawals that were [`Withdrawal::Pending`].
    pub fn take_withdrawn(&mut self) -> Vec<(JobId, Withdrawal)> {
        std::mem::take(&mut self.withdrawals.settled)
    }
}
