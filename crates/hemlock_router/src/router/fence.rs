//! Takeover of a submission: fencing the agents of earlier owners and collecting outcomes.

use hemlock_types::prelude::*;

use super::Router;
use super::callers::RETRY_AFTER_FAULT_MS;
use crate::action::{Action, Actions, CallResult};
use crate::submission::Phase;
use crate::timers::Timer;
use crate::work::{TaskState, WorkKey};

/// Delay before a fence is sent again to agents that still run tasks or gave no answer, in
/// milliseconds.
const FENCE_RETRY_MS: u64 = 100;

impl Router {
    /// Sends fences to the connected agents that need one, and sets the timer for the next attempt.
    pub(super) fn send_fences(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let Some(submission) = &mut work.submission else {
            return;
        };
        let fleet = &self.fleet;
        let connected = |agent: Incarnation| {
            let endpoint = fleet.find(agent).and_then(|key| fleet.get(key));
            endpoint.is_some_and(|endpoint| endpoint.connected)
        };
        for agent in submission.take_agents_to_fence(connected) {
            out.push(Action::Fence {
                agent,
                submission: submission.id,
                epoch: submission.epoch(),
            });
        }
        let at = now + DurationMs::new(FENCE_RETRY_MS);
        self.timers.set(at, Timer::RetryFence(key));
    }

    pub(super) fn retry_fence(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
        let needs_retry = self
            .works
            .get(key)
            .and_then(|work| work.submission.as_ref())
            .is_some_and(|submission| submission.needs_fence_retry());
        if needs_retry {
            self.send_fences(now, key, out);
        }
    }

    pub(super) fn fence_lost(
        &mut self,
        _now: Instant,
        agent: Incarnation,
        id: SubmissionId,
        epoch: Epoch,
    ) {
        let key = self.submissions.get(&id).copied();
        if let Some(work) = key.and_then(|key| self.works.get_mut(key))
            && let Some(submission) = &mut work.submission
            && submission.epoch() == epoch
        {
            submission.fence_lost(agent);
        }
    }

    pub(super) fn fenced(
        &mut self,
        agent: Incarnation,
        id: SubmissionId,
        epoch: Epoch,
        tasks: Vec<(TaskIndex, TaskRecord)>,
        out: &mut Actions,
    ) {
        let Some(key) = self.submissions.get(&id).copied() else {
            return;
        };
        if !self.record_fence_answer(key, agent, epoch, &tasks) {
            return;
        }
        for (index, record) in tasks {
            self.collect_record(key, index, record, out);
        }
        self.finish_fencing(key, out);
    }

    /// Records that an agent answered a fence; returns whether the answer belongs to the current
    /// epoch.
    fn record_fence_answer(
        &mut self,
        key: WorkKey,
        agent: Incarnation,
        epoch: Epoch,
        tasks: &[(TaskIndex, TaskRecord)],
    ) -> bool {
        let Some(work) = self.works.get_mut(key) else {
            return false;
        };
        let Some(submission) = &mut work.submission else {
            return false;
        };
        if submission.epoch() != epoch || submission.fenced().is_empty() {
            return false;
        }
        let running = tasks
            .iter()
            .any(|(_, record)| *record == TaskRecord::Running);
        submission.fence_answered(agent, running);
        true
    }

    /// Applies an agent's record of one task. A recorded refusal leaves the task unstarted.
    fn collect_record(
        &mut self,
        key: WorkKey,
        index: TaskIndex,
        record: TaskRecord,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        if usize::from(index.0) >= work.tasks.len() {
            return;
        }
        let task = work.task_mut(index);
        match (&task.state, record) {
            (TaskState::Held, TaskRecord::Running) => task.state = TaskState::RunningElsewhere,
            (
                TaskState::Held | TaskState::RunningElsewhere,
                TaskRecord::Ended(outcome @ (Outcome::Complete(_) | Outcome::Failed(_))),
            ) => self.end_task(key, index, outcome, out),
            _ => {}
        }
    }

    fn finish_fencing(&mut self, key: WorkKey, out: &mut Actions) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let Some(submission) = &mut work.submission else {
            return;
        };
        match submission.phase() {
            Phase::Fencing if submission.is_fenced() => {
                submission.begin_running();
                self.enqueue_held(key, out);
            }
            Phase::Fetching if submission.is_fenced() => {
                let result = CallResult::Failed(FailureKind::Unknown);
                self.finish(key, result, Some(RETRY_AFTER_FAULT_MS), out);
            }
            _ => {}
        }
    }
}
