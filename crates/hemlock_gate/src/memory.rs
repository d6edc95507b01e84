//! What a gate remembers: started tasks, fences and outcomes, within bounds.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

use crate::arena::{Arena, Key};
use crate::config::GateConfig;
use crate::task::{Task, TaskEvent, TaskPhase};

/// What is remembered of one submission.
#[derive(Debug)]
struct Submission {
    /// Starts of a lower epoch are refused.
    fence: Epoch,
    /// Its started tasks, by their place in it.
    tasks: Vec<(TaskIndex, Key)>,
    /// Last use.
    used: Instant,
}

/// Started tasks, fences and outcomes.
#[derive(Debug)]
pub(crate) struct Memory {
    chart: Chart<TaskPhase, TaskEvent>,
    tasks: Arena<Task>,
    submissions: HashMap<SubmissionId, Submission>,
    /// Every submission once, in the order in which it may expire.
    expiry: VecDeque<(Instant, SubmissionId)>,
    /// Tasks whose outcome is kept, in the order of their end.
    kept: VecDeque<Key>,
    kept_bytes: usize,
    config: GateConfig,
}

impl Memory {
    pub(crate) fn new(config: GateConfig, chart: Chart<TaskPhase, TaskEvent>) -> Self {
        Self {
            chart,
            tasks: Arena::new(),
            submissions: HashMap::new(),
            expiry: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            config,
        }
    }

    /// The started task of this name, if it is remembered.
    pub(crate) fn find(&self, submission: SubmissionId, index: TaskIndex) -> Option<Key> {
        let tasks = &self.submissions.get(&submission)?.tasks;
        let at = tasks
            .binary_search_by_key(&index, |(known, _)| *known)
            .ok()?;
        Some(tasks[at].1)
    }

    pub(crate) fn task(&self, key: Key) -> Option<&Task> {
        self.tasks.get(key)
    }

    pub(crate) fn task_mut(&mut self, key: Key) -> Option<&mut Task> {
        self.tasks.get_mut(key)
    }

    /// Tasks remembered or running.
    pub(crate) fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Submissions remembered.
    pub(crate) fn submissions(&self) -> usize {
        self.submissions.len()
    }

    /// Bytes of kept outcomes.
    pub(crate) fn outcome_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// The lowest epoch that may start tasks of the submission.
    pub(crate) fn fence(&self, submission: SubmissionId) -> Epoch {
        let known = self.submissions.get(&submission);
        known.map_or(Epoch::default(), |known| known.fence)
    }

    /// Raises the fence of the submission to `epoch`. Says whether it is recorded: a new
    /// submission is not when the bound is reached.
    pub(crate) fn raise_fence(
        &mut self,
        now: Instant,
        submission: SubmissionId,
        epoch: Epoch,
    ) -> bool {
        let full = self.submissions.len() >= self.config.max_submissions;
        match self.submissions.entry(submission) {
            Entry::Occupied(mut known) => {
                let known = known.get_mut();
                known.fence = known.fence.max(epoch);
                known.used = now;
                true
            }
            Entry::Vacant(_) if full => false,
            Entry::Vacant(vacant) => {
                vacant.insert(Submission {
                    fence: epoch,
                    tasks: Vec::new(),
                    used: now,
                });
                self.expiry
                    .push_back((now + self.config.retention, submission));
                true
            }
        }
    }

    /// Whether one more task can be remembered.
    pub(crate) fn has_room(&self) -> bool {
        self.tasks.len() < self.config.max_tasks
    }

    /// Remembers a task as started.
    ///
    /// # Panics
    /// Panics if a task of this name is already remembered: it would start twice.
    pub(crate) fn insert(&mut self, task: Task) -> Key {
        let name = task.name;
        let key = self.tasks.insert(task);
        let Some((submission, index)) = name else {
            return key;
        };
        let known = self.submissions.get_mut(&submission);
        assert!(known.is_some(), "a task starts before its fence is raised");
        let tasks = known.map(|known| &mut known.tasks);
        if let Some(tasks) = tasks {
            let at = tasks.binary_search_by_key(&index, |(known, _)| *known);
            assert!(at.is_err(), "task {index} of {submission} starts twice");
            tasks.insert(at.unwrap_or_else(|at| at), (index, key));
        }
        key
    }

    /// Every remembered task of the submission.
    pub(crate) fn records(&self, submission: SubmissionId) -> Vec<(TaskIndex, TaskRecord)> {
        let Some(known) = self.submissions.get(&submission) else {
            return Vec::new();
        };
        let record = |(index, key): &(TaskIndex, Key)| Some((*index, self.task(*key)?.record()));
        known.tasks.iter().filter_map(record).collect()
    }

    /// Moves a task along its chart. Says whether the event changed anything.
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

    /// Keeps the outcome of a task that has just ended, and drops the oldest ones over the
    /// bound. A task on the fast path is forgotten at once.
    pub(crate) fn keep_outcome(&mut self, now: Instant, key: Key, outcome: Outcome) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let Some((submission, _)) = task.name else {
            self.tasks.remove(key);
            return;
        };
        task.outcome = Some(outcome);
        self.kept_bytes += task.outcome_bytes();
        self.kept.push_back(key);
        if let Some(known) = self.submissions.get_mut(&submission) {
            known.used = now;
        }
        self.drop_outcomes();
    }

    fn drop_outcomes(&mut self) {
        while self.kept_bytes > self.config.max_outcome_bytes {
            let Some(key) = self.kept.pop_front() else {
                return;
            };
            if self.advance(key, TaskEvent::Forget) {
                self.drop_outcome(key);
            }
        }
    }

    fn drop_outcome(&mut self, key: Key) {
        if let Some(task) = self.tasks.get_mut(key) {
            self.kept_bytes -= task.outcome_bytes();
            task.outcome = None;
        }
    }

    /// Removes a task that provably did not start. Its submission's fence stays.
    pub(crate) fn release(&mut self, key: Key) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        let Some((submission, index)) = task.name else {
            return;
        };
        if let Some(known) = self.submissions.get_mut(&submission) {
            known.tasks.retain(|(known, _)| *known != index);
        }
    }

    /// Forgets the submissions whose retention time has passed and that have nothing running.
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
            self.forget(submission);
        }
    }

    /// When the submission may expire, if not now.
    fn later_expiry(&self, now: Instant, submission: SubmissionId) -> Option<Instant> {
        let known = self.submissions.get(&submission)?;
        let due = known.used + self.config.retention;
        let running = known
            .tasks
            .iter()
            .filter_map(|(_, key)| self.task(*key))
            .any(|task| task.phase.holds_slot());
        match running {
            true => Some(now + self.config.retention),
            false => Some(due).filter(|due| *due > now),
        }
    }

    fn forget(&mut self, submission: SubmissionId) {
        let Some(known) = self.submissions.remove(&submission) else {
            return;
        };
        for (_, key) in known.tasks {
            self.advance(key, TaskEvent::Expire);
            self.drop_outcome(key);
            self.tasks.remove(key);
        }
        while self
            .kept
            .front()
            .is_some_and(|key| self.task(*key).is_none())
        {
            self.kept.pop_front();
        }
    }
}
