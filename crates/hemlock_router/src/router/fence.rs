//! Taking a submission over: fencing earlier owners' agents and collecting outcomes.

use hemlock_types::prelude::*;

use super::Router;
use super::callers::RETRY_AFTER_FAULT_MS;
use crate::action::{Action, Actions, CallResult};
use crate::submission::Phase;
use crate::timers::Timer;
use crate::work::{TaskState, WorkKey};

/// Pause before fenced agents that have running tasks, or gave no answer, are asked again.
const FENCE_AGAIN_MS: u64 = 100;

impl Router {
    /// Asks the fenced agents that have not answered, as far as they can be reached.
    pub(super) fn ask_fenced(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
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
        let at = now + DurationMs::new(FENCE_AGAIN_MS);
        self.timers.set(at, Timer::RetryFence(key));
    }

    pub(super) fn fence_again(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
        let needed = self
            .works
            .get(key)
            .and_then(|work| work.submission.as_ref())
            .is_some_and(|submission| submission.needs_fence_retry());
        if needed {
            self.ask_fenced(now, key, out);
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
        if !self.note_fence_answer(key, agent, epoch, &tasks) {
            return;
        }
        for (index, record) in tasks {
            self.collect(key, index, record, out);
        }
        self.fencing_progressed(key, out);
    }

    /// Whether the answer belongs to the fence that is out.
    fn note_fence_answer(
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

    /// Takes what an agent knows of one task. A recorded refusal is no start.
    fn collect(&mut self, key: WorkKey, index: TaskIndex, record: TaskRecord, out: &mut Actions) {
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

    fn fencing_progressed(&mut self, key: WorkKey, out: &mut Actions) {
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
