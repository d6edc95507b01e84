//! A model of an instance that runs tasks under leases, for tests of its runner.
//!
//! The model has its own clock, rejects calls with an outdated fencing number, numbers the ends of
//! its runs, and remembers which runs of a task may no longer start. It does not enforce a
//! capacity. The test decides whether calls are delivered, lost or delayed, and whether they are
//! answered.

use std::collections::{BTreeMap, HashMap};

use hemlock_dispatch::prelude::{RefusalReason, RunEnd};
use hemlock_jobs::prelude::{Resources, RunNumber, TaskKey};
use hemlock_runs::prelude::{
    ListCall, ListError, ListedEnd, ListedRun, Listing, StartCall, StartResult, StopCall,
    StopResult,
};

/// Maximum number of ended runs in one listing. The oldest are listed first.
pub const ENDS_PER_LISTING: usize = 500;

/// A run of a task on the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelRun {
    /// Number of the run.
    pub run: RunNumber,
    /// Start time on the instance's clock, in milliseconds.
    pub began_ms: u64,
}

/// Model of an instance that runs tasks under leases.
#[derive(Clone, Debug, Default)]
pub struct InstanceModel {
    /// Time at which the instance was started, in Unix milliseconds.
    pub born_ms: u64,
    /// The instance's clock, in milliseconds.
    pub clock_ms: u64,
    /// Maximum length of a lease, in milliseconds.
    pub longest_lease_ms: u64,
    /// Whether every start is refused as unhealthy.
    pub refuses_starts: bool,
    max_fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskKey, ModelRun>,
    /// For each task, the highest run that has ended or was stopped. Neither it nor an earlier run
    /// may start any more.
    closed_runs: HashMap<TaskKey, RunNumber>,
    /// Ends that the caller has not settled yet.
    ends: Vec<ListedEnd>,
    next_end: u64,
    /// All runs that were started, in order.
    pub started: Vec<(TaskKey, RunNumber)>,
}

impl InstanceModel {
    /// An instance that was started at `born_ms`, with leases of at most one second.
    pub fn new(born_ms: u64) -> Self {
        Self {
            born_ms,
            longest_lease_ms: 1_000,
            next_end: 1,
            ..Self::default()
        }
    }

    /// The running tasks.
    pub fn running(&self) -> &BTreeMap<TaskKey, ModelRun> {
        &self.running
    }

    /// The ends that the caller has not settled yet.
    pub fn unsettled(&self) -> &[ListedEnd] {
        &self.ends
    }

    /// Resources of all running tasks together.
    pub fn used(&self, needs: impl Fn(TaskKey) -> Resources) -> Resources {
        let mut used = Resources::default();
        self.running.keys().for_each(|task| used.add(&needs(*task)));
        used
    }

    /// Advances the clock. When the lease expires, every run ends as lapsed.
    pub fn advance_ms(&mut self, ms: u64) {
        self.clock_ms += ms;
        if self.clock_ms >= self.lease_until_ms {
            let tasks: Vec<TaskKey> = self.running.keys().copied().collect();
            tasks
                .into_iter()
                .for_each(|task| self.end(task, RunEnd::Lapsed));
        }
    }

    /// Whether the lease has not expired.
    pub fn has_lease(&self) -> bool {
        self.clock_ms < self.lease_until_ms
    }

    /// Ends the task's run, if it has one.
    pub fn end(&mut self, task: TaskKey, end: RunEnd) {
        let Some(run) = self.running.remove(&task).map(|run| run.run) else {
            return;
        };
        self.close_run(task, run);
        let number = self.next_end;
        self.next_end += 1;
        self.ends.push(ListedEnd {
            number,
            task,
            run,
            end,
        });
    }

    /// Records that neither this run nor an earlier one may start any more.
    fn close_run(&mut self, task: TaskKey, run: RunNumber) {
        let closed_run = self.closed_runs.entry(task).or_default();
        *closed_run = run.max(*closed_run);
    }

    /// Extends the lease, up to its maximum length. The lease is never shortened.
    fn extend(&mut self, until_ms: u64) {
        let longest_ms = self.clock_ms + self.longest_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    /// Whether a call's fencing number is outdated. Records the highest number seen.
    fn is_fenced(&mut self, fence: u64) -> bool {
        self.max_fence = self.max_fence.max(fence);
        fence < self.max_fence
    }

    /// Handles a call to start a run.
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
        let running = self.running.get(&call.task).map(|run| run.run);
        let closed_run = self
            .closed_runs
            .get(&call.task)
            .copied()
            .unwrap_or_default();
        match running {
            Some(run) if run == call.run => StartResult::Started,
            Some(_) => StartResult::Refused(RefusalReason::Outdated),
            None if call.run <= closed_run => StartResult::Refused(RefusalReason::Outdated),
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

    /// Handles a call to stop a run.
    pub fn stop(&mut self, call: &StopCall) -> StopResult {
        if self.is_fenced(call.fence) {
            return StopResult::Fenced;
        }
        self.close_run(call.task, call.run);
        let runs = self.running.get(&call.task);
        if runs.is_some_and(|run| run.run <= call.run) {
            self.end(call.task, RunEnd::Stopped);
        }
        StopResult::Accepted
    }

    /// Handles a call to list running and ended runs that neither extends the lease nor forgets any
    /// ends.
    ///
    /// # Errors
    ///
    /// Like [`InstanceModel::list`].
    pub fn identify(&mut self, fence: u64) -> Result<Listing, ListError> {
        self.list(&ListCall {
            fence,
            born_ms: None,
            lease_until_ms: None,
            settled: 0,
            wait_ms: 0,
            timeout_ms: 0,
        })
    }

    /// Handles a call to list running and ended runs. Forgets the ends that the call settles.
    ///
    /// # Errors
    ///
    /// [`ListError::Fenced`] if a call with a higher fencing number was received before.
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
            ..Listing::default()
        })
    }
}
