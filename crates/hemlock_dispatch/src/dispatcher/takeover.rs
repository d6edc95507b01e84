//! What a new leader learns of runs that earlier leaders ordered.
//!
//! The job store records the ends of runs, not their starts. After a change of the leader the latest
//! run of an unfinished task is therefore unknown until the agents have reported, and the report of
//! an older run may arrive first: its agent was cut off, the run's lease lapsed, and an earlier
//! leader started the task elsewhere. Run numbers rise, so the highest reported number is the latest
//! once every agent has reported or the leases of the missing ones have lapsed. Until then only a
//! run that its agent proves to be the latest one has the effects of an end.

use hemlock_jobs::prelude::*;

use super::{Dispatcher, RUNS_PER_GENERATION};
use crate::job::{Job, Task, TaskState};
use crate::order::{EndAction, RunEnd, RunReport};

/// How a reported run relates to the other runs of its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunStanding {
    /// It is the run that the dispatcher counts on.
    Current,
    /// It is the latest run that agents have reported to this leader so far.
    LatestReported,
    /// A later run has been started, or none is expected.
    Outdated,
}

impl Dispatcher {
    /// How the run in a report of the agent relates to the other runs of its task.
    pub(super) fn run_standing(&self, id: AgentId, report: &RunReport) -> RunStanding {
        let job = self.jobs.get(&report.task.job);
        let Some(task) = job.and_then(|job| job.task(report.task)) else {
            return RunStanding::Outdated;
        };
        match task.state {
            TaskState::Running(agent, run) if agent == id && run == report.run => {
                RunStanding::Current
            }
            // No leader has used such a number, and the true ones would count as older.
            _ if report.run.0 > self.run_floor.0.saturating_add(RUNS_PER_GENERATION) => {
                RunStanding::Outdated
            }
            TaskState::Unknown if report.run >= task.reported_run => RunStanding::LatestReported,
            TaskState::Running(..) if !task.is_latest_known && report.run > task.reported_run => {
                RunStanding::LatestReported
            }
            TaskState::Unknown
            | TaskState::Running(..)
            | TaskState::Waiting
            | TaskState::Ending(_)
            | TaskState::Done => RunStanding::Outdated,
        }
    }

    /// Makes a reported run the one that the dispatcher counts on. An earlier one that was adopted
    /// before is over, although its agent may not have noticed, and is stopped.
    pub(super) fn adopt_latest(&mut self, id: AgentId, report: &RunReport, is_latest_known: bool) {
        let (key, run) = (report.task, report.run);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.started = true;
        let earlier = job.task(key).map(|task| task.state);
        job.set_state(key, TaskState::Running(id, run));
        if let Some(task) = job.task_mut(key) {
            task.last_run = task.last_run.max(run);
            task.reported_run = run;
            task.is_latest_known |= is_latest_known;
            task.unproven_success = None;
        }
        let superseded = match earlier {
            Some(TaskState::Running(agent, number)) if number != run => {
                self.agents.get_mut(&agent).filter(|agent| {
                    let known = agent.runs.get(&key);
                    known.is_some_and(|known| known.number == number)
                })
            }
            _ => None,
        };
        if let Some(agent) = superseded {
            agent.stop_run(key);
        }
    }

    /// Whether the current run of a task is known to be its latest one.
    pub(super) fn is_latest_known(&self, key: TaskKey) -> bool {
        let job = self.jobs.get(&key.job);
        job.and_then(|job| job.task(key))
            .is_none_or(|task| task.is_latest_known)
    }

    /// Processes the end of the latest reported run of a task while a later run may exist.
    ///
    /// A failure counts at once, because the agent may forget it. A success counts only if no later
    /// run is reported: an earlier leader has taken the run for lost otherwise.
    pub(super) fn end_unproven(
        &mut self,
        id: AgentId,
        report: &RunReport,
        end: RunEnd,
    ) -> EndAction {
        let (key, run) = (report.task, report.run);
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.set_state(key, TaskState::Unknown);
        }
        match end {
            RunEnd::Done => {
                let job = self.jobs.get_mut(&key.job);
                if let Some(task) = job.and_then(|job| job.task_mut(key)) {
                    task.unproven_success = Some(run);
                }
                EndAction::Defer
            }
            RunEnd::Failed => {
                self.note_instance_failure(id, key);
                EndAction::Record(TaskEnd::Failed)
            }
            RunEnd::Crashed(suspicion) => {
                self.note_crash(id, key, suspicion);
                EndAction::Record(TaskEnd::Crashed(suspicion))
            }
            RunEnd::Stalled => {
                self.note_instance_failure(id, key);
                EndAction::Confirm
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => EndAction::Confirm,
        }
    }

    /// Makes the task wait for its next run, or for further reports while a later run than the one
    /// that is over may exist.
    pub(super) fn requeue(&mut self, key: TaskKey) {
        let state = match self.is_latest_known(key) {
            true => TaskState::Waiting,
            false => TaskState::Unknown,
        };
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.set_state(key, state);
        }
        self.rerank(key.job);
    }

    /// Ends the takeover if every agent of earlier leaders has reported or its time is over. Tasks
    /// in an unknown state then start to wait, unless their latest run has succeeded.
    pub(super) fn end_takeover_if_done(&mut self) {
        let over = match self.takeover_until {
            Some(until) => self.awaiting_inventory.is_empty() || self.now >= until,
            None => false,
        };
        if !over {
            return;
        }
        self.takeover_until = None;
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                let successes = settle_unknown_tasks(id, job);
                self.proven_successes.extend(successes);
            }
            self.rerank(id);
        }
    }

    /// Decides on the deferred ends of an inventory that has ended the takeover.
    pub(super) fn decide_deferred(&mut self, ends: &mut [(RunReport, EndAction)]) {
        if self.takeover_until.is_some() {
            return;
        }
        for (report, action) in ends {
            if *action == EndAction::Defer {
                let success = (report.task, report.run);
                let is_proven = self.proven_successes.contains(&success);
                self.proven_successes.retain(|proven| *proven != success);
                *action = match is_proven {
                    true => EndAction::Record(TaskEnd::Done),
                    false => EndAction::Confirm,
                };
            }
        }
    }

    /// Takes the agents of earlier leaders that did not register before the takeover ended.
    ///
    /// One that has registered gets work once it has sent its inventory, so the next leader must
    /// know it.
    pub fn take_missing_agents(&mut self) -> Vec<AgentId> {
        if self.takeover_until.is_some() {
            return Vec::new();
        }
        let mut missing = std::mem::take(&mut self.awaiting_inventory);
        let agents = &self.agents;
        let has_session = |id: &AgentId| agents.get(id).is_some_and(|a| a.session.is_some());
        missing.retain(|id| !has_session(id));
        missing.into_iter().collect()
    }

    /// Takes the successes that were [deferred](EndAction::Defer) and are to be recorded now.
    pub fn take_proven_successes(&mut self) -> Vec<(TaskKey, RunNumber)> {
        std::mem::take(&mut self.proven_successes)
    }
}

/// Ends the uncertainty about the tasks of a job. Returns those that have succeeded.
fn settle_unknown_tasks(id: JobId, job: &mut Job) -> Vec<(TaskKey, RunNumber)> {
    let position = |index: usize| u16::try_from(index).unwrap_or(u16::MAX);
    let mut unknown: Vec<(TaskKey, Option<RunNumber>)> = Vec::new();
    for (step, tasks) in job.steps.iter_mut().enumerate() {
        for (index, task) in tasks.tasks.iter_mut().enumerate() {
            task.is_latest_known = true;
            if let Task {
                state: TaskState::Unknown,
                unproven_success,
                ..
            } = *task
            {
                let key = TaskKey {
                    job: id,
                    occurrence: 0,
                    step: position(step),
                    index: position(index),
                };
                unknown.push((key, unproven_success));
            }
        }
    }
    for (key, success) in &unknown {
        let state = success.map_or(TaskState::Waiting, TaskState::Ending);
        job.set_state(*key, state);
    }
    let succeeded = unknown.into_iter();
    succeeded
        .filter_map(|(key, success)| Some((key, success?)))
        .collect()
}
