//! Taking back a job whose caller gets no result.
//!
//! Answers the load pattern of a long overload: tasks that were ordered wait in the instances' queues
//! until their job is given up. Whether any of them has begun is known there only, and a caller may
//! be told that its job has not run only once that is certain.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;

/// What is known of a job that is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// No task of it has begun, and none will.
    NotRun,
    /// A task of it has begun, or may have.
    MayHaveRun,
    /// Its runs are being taken back; [`Dispatcher::take_withdrawn`] tells what became of them.
    Pending,
}

/// Jobs whose runs are being taken back.
#[derive(Debug, Default)]
pub(super) struct Withdrawals {
    pending: BTreeMap<JobId, BTreeSet<(TaskKey, RunNumber)>>,
    settled: Vec<(JobId, Withdrawal)>,
}

impl Withdrawals {
    /// Notes that a run came to nothing.
    pub(super) fn note_refused(&mut self, task: TaskKey, run: RunNumber) {
        let Some(open) = self.pending.get_mut(&task.job) else {
            return;
        };
        open.remove(&(task, run));
        if open.is_empty() {
            self.settle(task.job, Withdrawal::NotRun);
        }
    }

    /// Notes that a run began, or may have.
    pub(super) fn note_ended(&mut self, task: TaskKey) {
        self.settle(task.job, Withdrawal::MayHaveRun);
    }

    /// Forgets a job that is handed in again.
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
    /// Drops a job, and takes back those of its runs that have not begun.
    pub fn withdraw(&mut self, now: Instant, id: JobId) -> Withdrawal {
        self.advance(now);
        let Some(ran) = self.jobs.get(&id).map(|job| job.ran) else {
            self.withdrawals.forget(id);
            return Withdrawal::MayHaveRun;
        };
        self.job_ended(id);
        let runs = self.agents.values().flat_map(|agent| &agent.runs);
        let of_job = runs.filter(|(task, _)| task.job == id);
        let open: BTreeSet<(TaskKey, RunNumber)> =
            of_job.map(|(task, run)| (*task, run.number)).collect();
        match open.is_empty() {
            _ if ran => Withdrawal::MayHaveRun,
            true => Withdrawal::NotRun,
            false => {
                self.withdrawals.pending.insert(id, open);
                Withdrawal::Pending
            }
        }
    }

    /// What became of jobs whose withdrawal was pending.
    pub fn take_withdrawn(&mut self) -> Vec<(JobId, Withdrawal)> {
        std::mem::take(&mut self.withdrawals.settled)
    }
}
