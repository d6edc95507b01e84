//! Runs that ended because their instance crashed, counted by task.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, RunNumber, TaskKey};

/// Number of crashes after which a task is given up.
const MAX_CRASHES: usize = 3;
/// Number of crashes under strong suspicion after which a task is given up.
const MAX_STRONG_CRASHES: usize = 2;

/// How likely it is that a run is the cause of the crash that ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Suspicion {
    /// Other runs had started later when the instance crashed.
    Weak,
    /// The run was among those that had started last.
    Strong,
}

/// Crashes of the instances that ran a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The runs that were lost, each once.
    runs: Vec<(RunNumber, Suspicion)>,
    /// Time of the last crash on the store's clock, in milliseconds.
    last_at_ms: u64,
}

impl TaskCrashes {
    /// Number of crashes under strong suspicion.
    pub fn strong(&self) -> usize {
        let runs = self.runs.iter();
        runs.filter(|(_, suspicion)| *suspicion == Suspicion::Strong)
            .count()
    }

    /// Whether the task must not be started again.
    ///
    /// Most runs of a crashed instance are not its cause, and a task that started last at two
    /// crashes most likely is. A task that crashes its instances late is given up one crash later.
    fn is_exhausted(&self) -> bool {
        self.runs.len() >= MAX_CRASHES || self.strong() >= MAX_STRONG_CRASHES
    }
}

/// Crashes of all tasks that are open, or that ended or were removed a short while ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashLog {
    tasks: BTreeMap<TaskKey, TaskCrashes>,
    /// The tasks by the time of their last crash.
    by_time: BTreeSet<(u64, TaskKey)>,
}

impl CrashLog {
    pub(crate) fn from_tasks(tasks: BTreeMap<TaskKey, TaskCrashes>) -> Self {
        let by_time = tasks.iter();
        let by_time = by_time.map(|(task, crashes)| (crashes.last_at_ms, *task));
        Self {
            by_time: by_time.collect(),
            tasks,
        }
    }

    pub(crate) fn tasks(&self) -> &BTreeMap<TaskKey, TaskCrashes> {
        &self.tasks
    }

    /// Counts a crash, unless that of the same run is counted. Returns whether the task must be
    /// given up.
    pub(crate) fn add(
        &mut self,
        now_ms: u64,
        task: TaskKey,
        run: RunNumber,
        suspicion: Suspicion,
    ) -> bool {
        let crashes = self.tasks.entry(task).or_default();
        if !crashes.runs.iter().any(|(counted, _)| *counted == run) {
            self.by_time.remove(&(crashes.last_at_ms, task));
            crashes.runs.push((run, suspicion));
            crashes.last_at_ms = now_ms;
            self.by_time.insert((now_ms, task));
        }
        crashes.is_exhausted()
    }

    /// Removes the tasks whose last crash was at `until_ms` or earlier and whose job is not open.
    pub(crate) fn remove_expired(&mut self, until_ms: u64, is_open: impl Fn(JobId) -> bool) {
        let expired = self.by_time.iter();
        let expired = expired.take_while(|(at_ms, _)| *at_ms <= until_ms);
        let closed: Vec<(u64, TaskKey)> = expired
            .filter(|(_, task)| !is_open(task.job))
            .copied()
            .collect();
        for entry in closed {
            self.by_time.remove(&entry);
            self.tasks.remove(&entry.1);
        }
    }
}
