//! Ends of runs, and what follows from them.

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;
use crate::instance::Run;
use crate::job::TaskState;
use crate::order::{EndVerdict, RefusalReason, RunEnd, RunReport, SessionId};

/// Run numbers that are passed over when one was refused as outdated.
const RUNS_SKIPPED: u64 = 100;

impl Dispatcher {
    /// Notes an end that an agent has reported in its session.
    pub fn report_end(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        report: RunReport,
    ) -> EndVerdict {
        self.advance(now);
        match self.in_session(id, session) {
            Some(_) => self.run_ended(id, report),
            None => EndVerdict::Confirm,
        }
    }

    /// Notes the end of a run. Only the run that the dispatcher knows of counts: the end of any
    /// other has been settled before, or came after its lease was over.
    pub(super) fn run_ended(&mut self, id: AgentId, report: RunReport) -> EndVerdict {
        let (task, number) = (report.task, report.run);
        let Some(end) = report.end else {
            return EndVerdict::Confirm;
        };
        let run = self
            .agents
            .get_mut(&id)
            .and_then(|agent| agent.remove_run(task, number));
        self.placement_due = true;
        self.note_may_have_run(task);
        match (self.task_state(task), end) {
            (Some(TaskState::Running(agent, run)), _) if agent == id && run == number => {}
            // Told again before the record of the first telling is known to be durable.
            (Some(TaskState::Ending(run)), RunEnd::Done) if run == number => {
                return EndVerdict::Record(TaskEnd::Done);
            }
            (Some(TaskState::Ending(run)), RunEnd::Failed) if run == number => {
                return EndVerdict::Record(TaskEnd::Failed);
            }
            _ => return EndVerdict::Confirm,
        }
        if let Some(run) = run {
            self.judge_instance(id, end, report.took_ms, &run);
        }
        match end {
            RunEnd::Done => self.begin_recording(task, number, TaskEnd::Done),
            RunEnd::Failed => {
                self.note_setback(id, task);
                self.begin_recording(task, number, TaskEnd::Failed)
            }
            RunEnd::Stalled => {
                self.note_setback(id, task);
                self.set_waiting(task);
                EndVerdict::Confirm
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.set_waiting(task);
                EndVerdict::Confirm
            }
        }
    }

    fn skip_run_numbers(&mut self, task: TaskKey) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.last_run = RunNumber(task.last_run.0 + RUNS_SKIPPED);
        }
    }

    fn task_state(&mut self, task: TaskKey) -> Option<TaskState> {
        let job = self.jobs.get_mut(&task.job)?;
        job.task_mut(task).map(|task| task.state)
    }

    fn begin_recording(&mut self, task: TaskKey, run: RunNumber, end: TaskEnd) -> EndVerdict {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_state(task, TaskState::Ending(run));
        }
        EndVerdict::Record(end)
    }

    fn judge_instance(&mut self, id: AgentId, end: RunEnd, took_ms: u64, run: &Run) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        match end {
            RunEnd::Done => {
                let expected_ms = run.expected_ms.max(1) as f64;
                let pace = match took_ms {
                    0 => 1.0,
                    took_ms => took_ms as f64 / expected_ms,
                };
                let response_ms = now.since(run.ordered_at).as_ms() as f64;
                agent.health.note_good(pace, response_ms / expected_ms);
            }
            RunEnd::Failed | RunEnd::Stalled => {
                agent.health.note_bad(now);
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
    }

    /// Remembers which instance let a task down, so that its next run goes elsewhere.
    pub(super) fn note_setback(&mut self, id: AgentId, task: TaskKey) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.avoid = Some(id);
            task.setbacks += 1;
        }
    }

    /// Notes that an end is recorded and the job goes on.
    pub fn end_recorded(&mut self, now: Instant, task: TaskKey, run: RunNumber, end: TaskEnd) {
        self.advance(now);
        if self.task_state(task) != Some(TaskState::Ending(run)) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match end {
            TaskEnd::Done => {
                job.set_state(task, TaskState::Done);
                self.rerank(task.job);
            }
            TaskEnd::Failed => self.set_waiting(task),
        }
    }

    /// Notes that a start was not carried out and never will be.
    pub fn start_refused(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        task: TaskKey,
        number: RunNumber,
        reason: RefusalReason,
    ) {
        self.advance(now);
        let Some(agent) = self.in_session(id, session) else {
            return;
        };
        match reason {
            RefusalReason::Unhealthy | RefusalReason::Unanswered => {
                agent.health.note_bad(now);
                self.note_setback(id, task);
            }
            RefusalReason::NoRoom
            | RefusalReason::NoInstance
            | RefusalReason::Session
            | RefusalReason::Withdrawn => {}
            // Another owner of the same job has used higher numbers.
            RefusalReason::Outdated => self.skip_run_numbers(task),
        }
        self.withdrawals.note_refused(task, number);
        self.run_is_over(id, task, number);
    }

    /// Notes that something of a task's job has run, or may have.
    fn note_may_have_run(&mut self, task: TaskKey) {
        self.withdrawals.note_ended(task);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.ran = true;
        }
    }

    /// Notes that a run is over of which it isn't known how it ended, or whether it began.
    pub(super) fn run_is_lost(&mut self, id: AgentId, task: TaskKey, number: RunNumber) {
        self.note_may_have_run(task);
        self.run_is_over(id, task, number);
    }

    /// Notes that a run is over without an end that counts.
    pub(super) fn run_is_over(&mut self, id: AgentId, task: TaskKey, number: RunNumber) {
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.remove_run(task, number);
        }
        self.placement_due = true;
        if self.task_state(task) == Some(TaskState::Running(id, number)) {
            self.set_waiting(task);
        }
    }

    pub(super) fn set_waiting(&mut self, task: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_state(task, TaskState::Waiting);
        }
        self.rerank(task.job);
    }
}
