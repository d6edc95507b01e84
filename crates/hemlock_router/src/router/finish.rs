//! Ends of tasks and of work.

use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;

use super::Router;
use super::callers::RETRY_AFTER_FAULT_MS;
use crate::action::{Action, Actions, CallResult, Observation};
use crate::placement::plan_agents;
use crate::submission::{Phase, Submission};
use crate::work::{Task, TaskState, Work, WorkKey};

/// Maximum size of the answers that the ledger stores for one submission, in bytes. Larger answers
/// stay with the agents.
const LEDGER_ANSWER_MAX_BYTES: usize = 16 * 1024;

impl Router {
    /// Ends a task, and its work when the outcome decides that.
    pub(super) fn end_task(
        &mut self,
        key: WorkKey,
        index: TaskIndex,
        outcome: Outcome,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let task = work.task_mut(index);
        assert!(
            !matches!(task.state, TaskState::Ended(_)),
            "a task must not end twice"
        );
        let was_waiting = task.state.is_waiting();
        let decided = match &outcome {
            Outcome::Complete(_) => None,
            Outcome::Failed(kind) => Some(Err(*kind)),
            Outcome::NotRun(reason, proof) => Some(Ok((*reason, *proof))),
        };
        task.state = TaskState::Ended(outcome);
        work.open_tasks -= 1;
        let (contract, open) = (work.contract, work.open_tasks);
        if was_waiting {
            self.contracts.state_mut(contract).queued -= 1;
            self.queued -= 1;
        }
        match decided {
            None if open == 0 => self.complete(key, out),
            None => {}
            Some(Err(kind)) => {
                let retry_after_ms = Some(RETRY_AFTER_FAULT_MS);
                self.finish(key, CallResult::Failed(kind), retry_after_ms, out);
            }
            Some(Ok((reason, proof))) => self.give_up(key, reason, proof, out),
        }
    }

    /// Ends work that can't be completed. Its result is "not run" only if that is proven for every
    /// task.
    pub(super) fn give_up(
        &mut self,
        key: WorkKey,
        reason: NotRunReason,
        proof: NotRunProof,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get(key) else {
            return;
        };
        let result = match (is_proven_not_run(work), reason) {
            (true, _) => CallResult::NotRun(reason, proof),
            (false, NotRunReason::Deadline) => CallResult::Failed(FailureKind::Deadline),
            (false, NotRunReason::Cancelled) => CallResult::Failed(FailureKind::Cancelled),
            (false, _) if work.is_job() => CallResult::Failed(FailureKind::TaskFailed),
            (false, _) => CallResult::Failed(FailureKind::Unknown),
        };
        self.finish(key, result, Some(RETRY_AFTER_FAULT_MS), out);
    }

    /// Ends work whose tasks all completed, with their answers in task order.
    fn complete(&mut self, key: WorkKey, out: &mut Actions) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let answers: Vec<_> = work.tasks.iter_mut().filter_map(take_answer).collect();
        assert_eq!(
            answers.len(),
            work.tasks.len(),
            "every task must have an answer"
        );
        self.finish(key, CallResult::Complete(answers), None, out);
    }

    /// Ends work: records the result in the ledger, cancels its starts in flight, and answers its
    /// callers.
    pub(super) fn finish(
        &mut self,
        key: WorkKey,
        result: CallResult,
        retry_after_ms: Option<u64>,
        out: &mut Actions,
    ) {
        let Some(mut work) = self.works.remove(key) else {
            return;
        };
        if let CallResult::NotRun(reason, _) = &result {
            Self::observe(out, Observation::Refused(*reason));
        }
        if let Some(mut submission) = work.submission.take() {
            self.submissions.remove(&submission.id);
            self.record_end(&work, &submission, &result, out);
            submission.end();
        }
        self.uncount_waiting_tasks(&work);
        self.withdraw_starts(&work);
        let Some((last, others)) = work.waiters.split_last() else {
            return;
        };
        let answer = |call, result| Action::Answer {
            call,
            result,
            retry_after_ms,
        };
        out.extend(
            others
                .iter()
                .map(|waiter| answer(waiter.call, result.clone())),
        );
        out.push(answer(last.call, result));
    }

    fn uncount_waiting_tasks(&mut self, work: &Work) {
        let waiting = work
            .tasks
            .iter()
            .filter(|task| task.state.is_waiting())
            .count();
        self.contracts.state_mut(work.contract).queued -= waiting as u32;
        self.queued -= waiting as u64;
        self.services_to_dispatch.insert(work.service);
    }

    fn withdraw_starts(&mut self, work: &Work) {
        let starts = work.tasks.iter().flat_map(|task| [task.start, task.hedge]);
        for key in starts.flatten() {
            self.abandon(key);
        }
    }

    /// Marks a start whose outcome is no longer awaited, and cancels it at its agent. It counts as
    /// in flight until its outcome is known.
    pub(super) fn abandon(&mut self, key: crate::start_table::StartKey) {
        let Some(start) = self.starts.get_mut(key) else {
            return;
        };
        let was_abandoned = std::mem::replace(&mut start.abandoned, true);
        if !was_abandoned && !start.lost {
            let (endpoint, request) = (start.endpoint, start.request);
            self.pending_cancels
                .entry(endpoint)
                .or_default()
                .push(request);
        }
    }

    fn record_end(
        &self,
        work: &Work,
        submission: &Submission,
        result: &CallResult,
        out: &mut Actions,
    ) {
        if !matches!(submission.phase(), Phase::Running | Phase::Fencing) {
            return;
        }
        let result = match result {
            CallResult::Complete(answers) => self.recorded_result(work, submission, answers),
            CallResult::Failed(kind) => SubmissionResult::Failed(*kind),
            CallResult::NotRun(reason, proof) => SubmissionResult::NotRun(*reason, *proof),
            CallResult::Rejected(_)
            | CallResult::Running
            | CallResult::CompleteElsewhere
            | CallResult::CancelRecorded => return,
        };
        out.push(Action::End(EndRecord {
            submission: submission.id,
            epoch: submission.epoch(),
            result,
        }));
    }

    fn recorded_result(
        &self,
        work: &Work,
        submission: &Submission,
        answers: &[Answer],
    ) -> SubmissionResult {
        let size = |answer: &Answer| answer.body.len() + answer.content_type.len();
        let total: usize = answers.iter().map(size).sum();
        if total <= LEDGER_ANSWER_MAX_BYTES {
            return SubmissionResult::Complete {
                answers: answers.to_vec(),
            };
        }
        let mut plan = plan_agents(&submission.holders(), &self.fleet);
        let earlier = submission.fenced().iter().map(|fenced| fenced.agent);
        plan.extend(earlier);
        plan.sort_unstable();
        plan.dedup();
        assert!(plan.len() <= work.tasks.len() + submission.fenced().len());
        SubmissionResult::CompleteElsewhere { plan }
    }
}

fn take_answer(task: &mut Task) -> Option<Answer> {
    match &mut task.state {
        TaskState::Ended(Outcome::Complete(answer)) => Some(answer.clone()),
        _ => None,
    }
}

/// Whether it is proven that no task of the work has run or will run.
fn is_proven_not_run(work: &Work) -> bool {
    let no_task_ran = work.tasks.iter().all(|task| {
        let open = matches!(
            task.state,
            TaskState::Held | TaskState::Queued | TaskState::Ended(Outcome::NotRun(..))
        );
        open && !task.may_have_run && task.start.is_none() && task.hedge.is_none()
    });
    let no_start_bound = work
        .submission
        .as_ref()
        .is_none_or(|submission| submission.phase() == Phase::Running && !submission.has_starts());
    no_task_ran && no_start_bound
}
