//! Processing of ended, lost and refused runs.

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;
use super::takeover::RunStanding;
use crate::instance::Run;
use crate::job::TaskState;
use crate::order::{EndAction, RefusalReason, RunEnd, RunReport, SessionId};
use crate::settings::CapacitySource;

/// Number of run numbers to skip after one was refused as outdated.
const SKIPPED_RUN_NUMBERS: u64 = 100;

impl Dispatcher {
    /// Processes the end of a run that an agent has reported in its session. Returns `None` if the
    /// session is void, so that the end may not be confirmed.
    ///
    /// A success counts in a void session too if ends needn't be recorded and the task hasn't been
    /// started since: a dispatcher that stood still receives it after the run's lease has lapsed.
    pub fn report_end(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        report: RunReport,
    ) -> Option<EndAction> {
        self.advance(now);
        if self.agent_in_session(id, session).is_none() {
            let is_success = report.end == Some(RunEnd::Done) && !self.settings.records_ends;
            return (is_success && self.awaits_restart_after(report.task, report.run))
                .then(|| self.run_ended(id, report, false));
        }
        Some(self.run_ended(id, report, false))
    }

    /// Processes the end of a run. `is_latest` says that the agent can rule out that an earlier
    /// leader has started a later one.
    ///
    /// Only the end of the task's current run has an effect. The end of any other run was processed
    /// before, or arrived after the run's lease had expired.
    pub(super) fn run_ended(
        &mut self,
        id: AgentId,
        report: RunReport,
        is_latest: bool,
    ) -> EndAction {
        let (task, number) = (report.task, report.run);
        let Some(end) = report.end else {
            return EndAction::Confirm;
        };
        let run = self
            .agents
            .get_mut(&id)
            .and_then(|agent| agent.remove_run(task, number));
        self.placement_due = true;
        self.note_may_have_run(task);
        if self.run_standing(id, &report) == RunStanding::LatestReported {
            self.adopt_latest(id, &report, is_latest);
        }
        match (self.task_state(task), end) {
            (Some(TaskState::Running(agent, run)), _)
                if agent == id && run == number && !self.is_latest_known(task) =>
            {
                return self.end_unproven(id, &report, end);
            }
            (Some(TaskState::Running(agent, run)), _) if agent == id && run == number => {}
            // The end was reported again before its record is known to be durable.
            (Some(TaskState::Ending(run)), RunEnd::Done) if run == number => {
                return EndAction::Record(TaskEnd::Done);
            }
            (Some(TaskState::Ending(run)), RunEnd::Failed) if run == number => {
                return EndAction::Record(TaskEnd::Failed);
            }
            // The run was taken for lost, and the task has not been started again.
            (Some(_), RunEnd::Done) if self.awaits_restart_after(task, number) => {
                let action = self.begin_recording(task, number, TaskEnd::Done);
                self.rerank(task.job);
                return action;
            }
            // A crash counts whenever it is reported, also after the task was requeued.
            (Some(TaskState::Done) | None, _) => return EndAction::Confirm,
            (Some(_), RunEnd::Crashed(suspicion)) => {
                return EndAction::Record(TaskEnd::Crashed(suspicion));
            }
            _ => return EndAction::Confirm,
        }
        self.forget_refusals(task);
        if let Some(run) = run {
            self.update_health(id, end, report.took_ms, &run);
        }
        match end {
            RunEnd::Done => self.begin_recording(task, number, TaskEnd::Done),
            RunEnd::Failed => {
                self.note_instance_failure(id, task);
                self.begin_recording(task, number, TaskEnd::Failed)
            }
            RunEnd::Stalled => {
                self.note_instance_failure(id, task);
                self.requeue(task);
                EndAction::Confirm
            }
            RunEnd::Crashed(suspicion) => {
                self.note_crash(id, task, suspicion);
                self.begin_recording(task, number, TaskEnd::Crashed(suspicion))
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.requeue(task);
                EndAction::Confirm
            }
        }
    }

    fn skip_run_numbers(&mut self, task: TaskKey) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.last_run = RunNumber(task.last_run.0.saturating_add(SKIPPED_RUN_NUMBERS));
        }
    }

    fn task_state(&mut self, task: TaskKey) -> Option<TaskState> {
        let job = self.jobs.get_mut(&task.job)?;
        job.task_mut(task).map(|task| task.state)
    }

    fn last_run(&self, task: TaskKey) -> Option<RunNumber> {
        let job = self.jobs.get(&task.job)?;
        job.task(task).map(|task| task.last_run)
    }

    /// Whether the task waits for its next run after this one.
    fn awaits_restart_after(&mut self, task: TaskKey, run: RunNumber) -> bool {
        self.task_state(task) == Some(TaskState::Waiting) && self.last_run(task) == Some(run)
    }

    fn begin_recording(&mut self, task: TaskKey, run: RunNumber, end: TaskEnd) -> EndAction {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_state(task, TaskState::Ending(run));
        }
        EndAction::Record(end)
    }

    fn update_health(&mut self, id: AgentId, end: RunEnd, took_ms: u64, run: &Run) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        match end {
            RunEnd::Done => {
                let expected_ms = run.expected_ms.max(1) as f64;
                let slowdown = match took_ms {
                    0 => 1.0,
                    took_ms => took_ms as f64 / expected_ms,
                };
                let response_ms = now.since(run.ordered_at).as_ms() as f64;
                agent
                    .health
                    .record_success(slowdown, response_ms / expected_ms);
            }
            RunEnd::Failed | RunEnd::Stalled => {
                agent.health.record_failure(now);
            }
            RunEnd::Stopped
            | RunEnd::Lapsed
            | RunEnd::Broken
            | RunEnd::Alone
            | RunEnd::Crashed(_) => {}
        }
    }

    /// Records that a run failed or stalled at an instance, or was refused as unhealthy or left
    /// unanswered, so that the next run of the task goes to another instance if possible.
    pub(super) fn note_instance_failure(&mut self, id: AgentId, task: TaskKey) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.avoid_agent = Some(id);
            task.instance_failures += 1;
        }
    }

    /// Processes the confirmation that an end is in the job store and the job continues.
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
            TaskEnd::Failed | TaskEnd::Crashed(_) => self.requeue(task),
        }
    }

    /// Processes the refusal of a start, which never leads to a run.
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
        let has_load_reports = self.settings.capacity == CapacitySource::Reported;
        let Some(agent) = self.agent_in_session(id, session) else {
            return;
        };
        match reason {
            RefusalReason::Unhealthy | RefusalReason::Unanswered => {
                agent.health.record_failure(now);
                self.note_instance_failure(id, task);
            }
            // Load reports tell a dispatcher that shares the instances of the suspension. Without
            // them, refusals have to.
            RefusalReason::Suspended if !has_load_reports => {
                agent.health.record_failure(now);
            }
            RefusalReason::Suspended
            | RefusalReason::NoRoom
            | RefusalReason::NoInstance
            | RefusalReason::Session
            | RefusalReason::Withdrawn
            | RefusalReason::Evacuated => {}
            // Another owner of the same job has used higher run numbers.
            RefusalReason::Outdated => self.skip_run_numbers(task),
        }
        self.withdrawals.note_refused(task, number);
        let is_current = self.task_state(task) == Some(TaskState::Running(id, number));
        self.run_over(id, task, number);
        if is_current {
            self.delay_restart(task);
        }
    }

    /// Records that a task has run, or may have.
    fn note_may_have_run(&mut self, task: TaskKey) {
        self.withdrawals.note_started(task);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.may_have_run = true;
        }
    }

    /// Removes a run that is over, although it is unknown how it ended or whether it started.
    pub(super) fn run_lost(&mut self, id: AgentId, task: TaskKey, number: RunNumber) {
        self.note_may_have_run(task);
        self.run_over(id, task, number);
    }

    /// Removes a run and requeues its task if this was the task's current run.
    pub(super) fn run_over(&mut self, id: AgentId, task: TaskKey, number: RunNumber) {
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.remove_run(task, number);
        }
        self.placement_due = true;
        if self.task_state(task) == Some(TaskState::Running(id, number)) {
            self.requeue(task);
        }
    }
}
