//! Delays between the starts of a task that are refused one after the other.
//!
//! A refusal may last, for example while another owner runs the task at the chosen instance. Without
//! a delay the start would be repeated as fast as it is refused.

use std::collections::BTreeSet;

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::Dispatcher;
use crate::job::{Job, TaskState};

/// Number of refusals in a row after which a task is started again at once, since one refusal often
/// means only that another instance has to be chosen.
const IMMEDIATE_RETRIES: u32 = 2;
/// Delay after the next refusal, in milliseconds. It doubles with each further one.
const FIRST_RETRY_DELAY_MS: u64 = 10;
/// Longest delay, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 160;

/// Tasks that wait until they may be started again, by that time.
pub(super) type DelayedTasks = BTreeSet<(Instant, TaskKey)>;

/// The delay before the start of a task whose last `refusals` starts were refused.
fn retry_delay(refusals: u32) -> Option<DurationMs> {
    let doublings = refusals.checked_sub(IMMEDIATE_RETRIES + 1)?;
    let delay_ms = FIRST_RETRY_DELAY_MS.saturating_mul(1 << doublings.min(u64::BITS - 1));
    Some(DurationMs::new(delay_ms.min(MAX_RETRY_DELAY_MS)))
}

impl Dispatcher {
    /// Counts the refusal of a task's latest start, and delays the next one if several were refused.
    pub(super) fn delay_restart(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        task.refusals = task.refusals.saturating_add(1);
        let delay = retry_delay(task.refusals).filter(|_| task.state == TaskState::Waiting);
        if let Some(delay) = delay {
            job.set_startable(key, false);
            self.delayed_tasks.insert((self.now + delay, key));
            self.rerank(key.job);
        }
    }

    /// Forgets the refusals of a task that has been started.
    pub(super) fn forget_refusals(&mut self, key: TaskKey) {
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.refusals = 0;
        }
    }

    /// Lets the tasks start whose delay is over.
    pub(super) fn end_delays(&mut self) {
        while let Some((at, key)) = self.delayed_tasks.first().copied() {
            if at > self.now {
                return;
            }
            self.delayed_tasks.pop_first();
            let is_waiting = |job: &&mut Job| {
                job.task(key)
                    .is_some_and(|task| task.state == TaskState::Waiting)
            };
            let job = self.jobs.get_mut(&key.job);
            if let Some(job) = job.filter(is_waiting) {
                job.set_startable(key, true);
                self.rerank(key.job);
            }
        }
    }
}
