//! Records of started tasks, fences and outcomes, within fixed limits.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

use crate::arena::{Arena, Key};
use crate::config::GateConfig;
use crate::task::{Task, TaskEvent, TaskPhase};

/// Record of one submission.
#[derive(Debug)]
struct Submission {
    /// Lowest epoch under which its tasks may start.
    fence: Epoch,
    /// Started tasks, sorted by their position in the submission.
    tasks: Vec<(TaskIndex, Key)>,
    /// Time of the latest start, end or fence.
    last_used: Instant,
}

/// Records of started tasks, fences and outcomes.
///
/// The records guarantee that a task of a submission starts at most once. A record of a start is
/// therefore kept longer than its outcome, and is never dropped to make room for another.
#[derive(Debug)]
pub(crate) struct TaskStore {
    chart: Chart<TaskPhase, TaskEvent>,
    tasks: Arena<Task>,
    submissions: HashMap<SubmissionId, Submission>,
    /// Every submission once, with the next time at which to check whether it has expired.
    expiry: VecDeque<(Instant, SubmissionId)>,
    /// Tasks whose outcome is kept, in the order in which they ended.
    ended: VecDeque<Key>,
    /// Total size of kept answers, in bytes.
    outcome_bytes: usize,
    config: GateConfig,
}

impl TaskStore {
    pub(crate) fn new(config: GateConfig, chart: Chart<TaskPhase, TaskEvent>) -> Self {
        Self {
            chart,
            tasks: Arena::new(),
            submissions: HashMap::new(),
            expiry: VecDeque::new(),
            ended: VecDeque::new(),
            outcome_bytes: 0,
            config,
        }
    }

    /// Returns the key of a started task, if it is recorded.
    pub(crate) fn find(&self, submission: SubmissionId, index: TaskIndex) -> Option<Key> {
        let tasks = &self.submissions.get(&submission)?.tasks;
        let at = tasks
            .binary_search_by_key(&index, |(recorded, _)| *recorded)
            .ok()?;
        Some(tasks[at].1)
    }

    pub(crate) fn task(&self, key: Key) -> Option<&Task> {
        self.tasks.get(key)
    }

    pub(crate) fn task_mut(&mut self, key: Key) -> Option<&mut Task> {
        self.tasks.get_mut(key)
    }

    /// Returns the number of recorded tasks, including running ones.
    pub(crate) fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the number of recorded submissions.
    pub(crate) fn submissions(&self) -> usize {
        self.submissions.len()
    }

    /// Returns the total size of kept answers, in bytes.
    pub(crate) fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }

    /// Returns the lowest epoch under which tasks of the submission may start.
    pub(crate) fn fence(&self, submission: SubmissionId) -> Epoch {
        let record = self.submissions.get(&submission);
        record.map_or(Epoch::default(), |record| record.fence)
    }

    /// Raises the fence of the submission to at least `epoch`. Returns `false` without any effect
    /// if the submission is new and the limit on submissions is reached.
    pub(crate) fn raise_fence(
        &mut self,
        now: Instant,
        submission: SubmissionId,
        epoch: Epoch,
    ) -> bool {
        let full = self.submissions.len() >= self.config.max_submissions;
        match self.submissions.entry(submission) {
            Entry::Occupied(mut occupied) => {
                let record = occupied.get_mut();
                record.fence = record.fence.max(epoch);
                record.last_used = now;
                true
            }
            Entry::Vacant(_) if full => false,
            Entry::Vacant(vacant) => {
                vacant.insert(Submission {
                    fence: epoch,
                    tasks: Vec::new(),
                    last_used: now,
                });
                self.expiry
                    .push_back((now + self.config.retention, submission));
                true
            }
        }
    }

    /// Returns whether one more task can be recorded.
    pub(crate) fn has_room(&self) -> bool {
        self.tasks.len() < self.config.max_tasks
    }

    /// Records the start of a task.
    ///
    /// # Panics
    /// Panics if the task is already recorded, because it would start twice, or if its submission
    /// has no record.
    pub(crate) fn insert(&mut self, task: Task) -> Key {
        let id = task.id;
        let key = self.tasks.insert(task);
        let Some((submission, index)) = id else {
            return key;
        };
        let record = self.submissions.get_mut(&submission);
        assert!(
            record.is_some(),
            "a task starts before its submission is recorded"
        );
        let tasks = record.map(|record| &mut record.tasks);
        if let Some(tasks) = tasks {
            let at = tasks.binary_search_by_key(&index, |(recorded, _)| *recorded);
            assert!(at.is_err(), "task {index} of {submission} starts twice");
            tasks.insert(at.unwrap_or_else(|at| at), (index, key));
        }
        key
    }

    /// Returns every recorded task of the submission with its state.
    pub(crate) fn records(&self, submission: SubmissionId) -> Vec<(TaskIndex, TaskRecord)> {
        let Some(submission) = self.submissions.get(&submission) else {
            return Vec::new();
        };
        let record = |(index, key): &(TaskIndex, Key)| Some((*index, self.task(*key)?.record()));
        submission.tasks.iter().filter_map(record).collect()
    }

    /// Applies an event to the state chart of a task. Returns whether its state changed.
    pub(crate) fn advance(&mut self, key: Key, event: TaskEvent) -> bool {
        let Some(task) = self.tasks.get_mut(key) else {
            return false;
        };
        match self.chart.next(task.phase, event) {
            Some(phase) => {
                task.phase = phase;
                true
            }
            None => false,
        }
    }

    /// Stores the outcome of a task that has just ended, and drops the oldest outcomes beyond the
    /// limit. A task without a submission is removed instead, because it may run again.
    pub(crate) fn store_outcome(&mut self, now: Instant, key: Key, outcome: Outcome) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let Some((submission, _)) = task.id else {
            self.tasks.remove(key);
            return;
        };
        task.outcome = Some(outcome);
        self.outcome_bytes += task.outcome_bytes();
        self.ended.push_back(key);
        if let Some(record) = self.submissions.get_mut(&submission) {
            record.last_used = now;
        }
        self.evict_outcomes();
    }

    fn evict_outcomes(&mut self) {
        while self.outcome_bytes > self.config.max_outcome_bytes {
            let Some(key) = self.ended.pop_front() else {
                return;
            };
            if self.advance(key, TaskEvent::Forget) {
                self.drop_outcome(key);
            }
        }
    }

    fn drop_outcome(&mut self, key: Key) {
        if let Some(task) = self.tasks.get_mut(key) {
            self.outcome_bytes -= task.outcome_bytes();
            task.outcome = None;
        }
    }

    /// Removes a task that the endpoint provably never received, so that it may be started again.
    /// The fence of its submission stays.
    pub(crate) fn release(&mut self, key: Key) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        let Some((submission, index)) = task.id else {
            return;
        };
        if let Some(record) = self.submissions.get_mut(&submission) {
            record.tasks.retain(|(recorded, _)| *recorded != index);
        }
    }

    /// Removes the submissions whose retention time has passed and that have no running task.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((due, submission)) = self.expiry.front().copied() {
            if due > now {
                return;
            }
            self.expiry.pop_front();
            if let Some(due) = self.later_expiry(now, submission) {
                self.expiry.push_back((due, submission));
                continue;
            }
            self.remove_submission(submission);
        }
    }

    /// Returns the next time at which the submission may expire; `None` if it expires now.
    fn later_expiry(&self, now: Instant, submission: SubmissionId) -> Option<Instant> {
        let record = self.submissions.get(&submission)?;
        let due = record.last_used + self.config.retention;
        let running = record
            .tasks
            .iter()
            .filter_map(|(_, key)| self.task(*key))
            .any(|task| task.phase.holds_slot());
        match running {
            true => Some(now + self.config.retention),
            false => Some(due).filter(|due| *due > now),
        }
    }

    fn remove_submission(&mut self, submission: SubmissionId) {
        let Some(record) = self.submissions.remove(&submission) else {
            return;
        };
        for (_, key) in record.tasks {
            self.advance(key, TaskEvent::Expire);
            self.drop_outcome(key);
            self.tasks.remove(key);
        }
        while self
            .ended
            .front()
            .is_some_and(|key| self.task(*key).is_none())
        {
            self.ended.pop_front();
        }
    }
}
