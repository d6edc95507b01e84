//! A model of an instance that runs tasks under leases, for tests of what stands beside it.
//!
//! It has a capacity that it doesn't guard, a clock of its own, a highest fencing number, numbered
//! ends, and remembers which runs of a task are passed. Whether calls are answered, or carried out
//! at all or late, is up to the test.

use std::collections::{BTreeMap, HashMap};

use hemlock_dispatch::prelude::{RefusalReason, RunEnd};
use hemlock_jobs::prelude::{Resources, RunNumber, TaskKey};
use hemlock_runs::prelude::{
    ListCall, ListError, ListedEnd, ListedRun, Listing, StartCall, StartResult, StopCall,
    StopResult,
};

/// Ends that one listing names at most, the oldest first.
pub const ENDS_PER_LISTING: usize = 500;

/// One run at the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelRun {
    /// The run.
    pub run: RunNumber,
    /// When it began, on the instance's clock, in milliseconds.
    pub began_ms: u64,
}

/// An instance that runs tasks under leases.
#[derive(Clone, Debug, Default)]
pub struct InstanceModel {
    /// When the instance was started, in Unix milliseconds.
    pub born_ms: u64,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Longest lease that it gives, in milliseconds.
    pub longest_lease_ms: u64,
    /// Whether it refuses every start as unhealthy.
    pub refuses_starts: bool,
    highest_fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskKey, ModelRun>,
    passed: HashMap<TaskKey, RunNumber>,
    ends: Vec<ListedEnd>,
    next_end: u64,
    /// Every start that was carried out, in order.
    pub started: Vec<(TaskKey, RunNumber)>,
}

impl InstanceModel {
    /// An instance that was started at `born_ms` and gives leases of a second.
    pub fn new(born_ms: u64) -> Self {
        Self {
            born_ms,
            longest_lease_ms: 1_000,
            next_end: 1,
            ..Self::default()
        }
    }

    /// What runs.
    pub fn running(&self) -> &BTreeMap<TaskKey, ModelRun> {
        &self.running
    }

    /// Ends that are not settled.
    pub fn unsettled(&self) -> &[ListedEnd] {
        &self.ends
    }

    /// What all runs take together.
    pub fn used(&self, needs: impl Fn(TaskKey) -> Resources) -> Resources {
        let mut used = Resources::default();
        self.running.keys().for_each(|task| used.add(&needs(*task)));
        used
    }

    /// Lets time pass. When the lease runs out everything is killed.
    pub fn advance_ms(&mut self, ms: u64) {
        self.clock_ms += ms;
        if self.clock_ms >= self.lease_until_ms {
            let tasks: Vec<TaskKey> = self.running.keys().copied().collect();
            tasks
                .into_iter()
                .for_each(|task| self.end(task, RunEnd::Lapsed));
        }
    }

    /// Ends a run, if one of the task is there.
    pub fn end(&mut self, task: TaskKey, end: RunEnd) {
        let Some(run) = self.running.remove(&task).map(|run| run.run) else {
            return;
        };
        self.pass(task, run);
        let number = self.next_end;
        self.next_end += 1;
        self.ends.push(ListedEnd {
            number,
            task,
            run,
            end,
        });
    }

    /// Notes that neither this run nor an earlier one may begin any more.
    fn pass(&mut self, task: TaskKey, run: RunNumber) {
        let passed = self.passed.entry(task).or_default();
        *passed = run.max(*passed);
    }

    /// Takes a lease, which never shortens.
    fn extend(&mut self, until_ms: u64) {
        let longest_ms = self.clock_ms + self.longest_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    fn is_fenced(&mut self, fence: u64) -> bool {
        self.highest_fence = self.highest_fence.max(fence);
        fence < self.highest_fence
    }

    /// Carries out a start.
    pub fn start(&mut self, call: &StartCall) -> StartResult {
        if self.refuses_starts {
            return StartResult::Refused(RefusalReason::Unhealthy);
        }
        if self.is_fenced(call.fence) {
            return StartResult::Fenced;
        }
        if call.lease_until_ms <= self.clock_ms {
            return StartResult::Refused(RefusalReason::Outdated);
        }
        self.extend(call.lease_until_ms);
        let same = self.running.get(&call.task).map(|run| run.run);
        let passed = self.passed.get(&call.task).copied().unwrap_or_default();
        match same {
            Some(run) if run == call.run => StartResult::Started,
            Some(_) => StartResult::Refused(RefusalReason::Outdated),
            None if call.run <= passed => StartResult::Refused(RefusalReason::Outdated),
            None => {
                let run = ModelRun {
                    run: call.run,
                    began_ms: self.clock_ms,
                };
                self.running.insert(call.task, run);
                self.started.push((call.task, call.run));
                StartResult::Started
            }
        }
    }

    /// Carries out a stop.
    pub fn stop(&mut self, call: &StopCall) -> StopResult {
        if self.is_fenced(call.fence) {
            return StopResult::Fenced;
        }
        self.pass(call.task, call.run);
        let runs = self.running.get(&call.task);
        if runs.is_some_and(|run| run.run <= call.run) {
            self.end(call.task, RunEnd::Stopped);
        }
        StopResult::Accepted
    }

    /// Carries out a listing.
    ///
    /// # Errors
    ///
    /// [`ListError::Fenced`] when a higher fencing number has been seen.
    pub fn list(&mut self, call: &ListCall) -> Result<Listing, ListError> {
        if self.is_fenced(call.fence) {
            return Err(ListError::Fenced);
        }
        if let Some(until_ms) = call.lease_until_ms {
            self.extend(until_ms);
        }
        self.ends.retain(|ended| ended.number > call.settled);
        let running = self.running.iter();
        Ok(Listing {
            clock_ms: self.clock_ms,
            born_ms: self.born_ms,
            running: running
                .map(|(task, run)| ListedRun {
                    task: *task,
                    run: run.run,
                })
                .collect(),
            ended: self.ends.iter().take(ENDS_PER_LISTING).copied().collect(),
            ended_complete: self.ends.len() <= ENDS_PER_LISTING,
        })
    }
}
