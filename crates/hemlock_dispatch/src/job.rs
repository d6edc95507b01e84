//! The dispatcher's state of an open job, with its steps and tasks.

use std::collections::BTreeSet;

use bytes::Bytes;
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::order::QueueId;
use crate::ranking::Rank;

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// The task may start as soon as the steps that its own step depends on are done.
    Waiting,
    /// The task may be running, or have ended, at an agent that has not yet reported to this leader.
    Unknown,
    /// This run was ordered at this agent, and may be running there.
    Running(AgentId, RunNumber),
    /// This run has ended, and its end is being written to the job store.
    Ending(RunNumber),
    /// The success of the task is in the job store.
    Done,
}

/// A task of a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// The highest run number that may have been used for the task.
    pub(crate) last_run: RunNumber,
    /// The highest run number that agents have reported to this leader while the latest run of the
    /// task was unknown.
    pub(crate) reported_run: RunNumber,
    /// Whether no run is unknown that is later than the one in the state.
    pub(crate) is_latest_known: bool,
    /// A run that has succeeded, unless a later one is reported.
    pub(crate) unproven_success: Option<RunNumber>,
    /// The agent at whose instance the latest of the `instance_failures` happened.
    pub(crate) avoid_agent: Option<AgentId>,
    /// Number of runs that failed or stalled, or whose start the instance refused as unhealthy or
    /// left unanswered.
    pub(crate) instance_failures: u32,
    /// Number of starts that were refused since the last run.
    pub(crate) refusals: u32,
    /// Number of crashes of its instances under strong suspicion.
    pub(crate) strong_crashes: u32,
}

/// A step with its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) spec: StepSpec,
    pub(crate) tasks: Vec<Task>,
    /// Indices of the tasks that wait to be started, but for those whose restart is delayed.
    pub(crate) waiting: BTreeSet<u16>,
    /// Number of tasks that are done.
    pub(crate) done: usize,
}

impl Step {
    pub(crate) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }
}

/// The scheduling parameters that a queue sets for its jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Policy {
    pub(crate) priority: u32,
    pub(crate) target_latency_ms: u64,
    pub(crate) slack_factor: f64,
}

impl Policy {
    pub(crate) fn of(queue: &Queue) -> Self {
        Self {
            priority: queue.priority,
            target_latency_ms: queue.target_latency_ms,
            slack_factor: queue.slack_factor,
        }
    }

    /// The latency objective, counted from acceptance, of a job with the given critical path.
    pub(crate) fn objective(&self, critical_path_ms: u64) -> DurationMs {
        let work_ms = (critical_path_ms as f64 * self.slack_factor).max(0.0);
        DurationMs::new((work_ms as u64).saturating_add(self.target_latency_ms))
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) queue: String,
    pub(crate) queue_id: QueueId,
    pub(crate) service: String,
    pub(crate) priority: u32,
    pub(crate) payload: Bytes,
    pub(crate) steps: Vec<Step>,
    /// End of the latency objective: a result after this instant is late.
    pub(crate) due: Instant,
    /// The instant from which the result is of no use, so that the job is not worth starting.
    pub(crate) expires_at: Instant,
    /// When the caller stops waiting for the result; `None` if no caller is known to wait.
    pub(crate) caller_deadline: Option<Instant>,
    /// Whether no further task may be started.
    pub(crate) is_held: bool,
    /// Whether the start of a task has been ordered.
    pub(crate) started: bool,
    /// Whether a task of the job has run, or may have.
    pub(crate) may_have_run: bool,
    /// Its rank among the jobs with tasks to start; `None` while it has none.
    pub(crate) rank: Option<Rank>,
}

impl Job {
    /// The tasks that may start now, as pairs of step and index.
    pub(crate) fn startable(&self) -> impl Iterator<Item = (u16, u16)> + '_ {
        self.steps
            .iter()
            .enumerate()
            .filter(|(_, step)| !self.is_held && !step.waiting.is_empty())
            .filter(|(_, step)| self.is_unblocked(step))
            .flat_map(|(position, step)| {
                let position = u16::try_from(position).unwrap_or(u16::MAX);
                step.waiting.iter().map(move |index| (position, *index))
            })
    }

    /// Whether every step that `step` depends on is done.
    fn is_unblocked(&self, step: &Step) -> bool {
        let earlier = step.spec.depends_on.iter();
        earlier
            .filter_map(|earlier| self.steps.get(usize::from(*earlier)))
            .all(Step::is_done)
    }

    pub(crate) fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self.steps.get(usize::from(key.step))?;
        step.tasks.get(usize::from(key.index))
    }

    pub(crate) fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.steps
            .get_mut(usize::from(key.step))?
            .tasks
            .get_mut(usize::from(key.index))
    }

    pub(crate) fn step(&self, key: TaskKey) -> Option<&Step> {
        self.steps.get(usize::from(key.step))
    }

    /// Sets the state of a task and updates the waiting set and the done count of its step.
    ///
    /// # Panics
    ///
    /// Panics if the task is [`TaskState::Done`], because a recorded success is final.
    pub(crate) fn set_state(&mut self, key: TaskKey, state: TaskState) {
        let Some(step) = self.steps.get_mut(usize::from(key.step)) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(usize::from(key.index)) else {
            return;
        };
        assert!(
            task.state != TaskState::Done,
            "task {key} is done and its state must not change"
        );
        task.state = state;
        match state {
            TaskState::Waiting => {
                step.waiting.insert(key.index);
            }
            _ => {
                step.waiting.remove(&key.index);
            }
        }
        if state == TaskState::Done {
            step.done += 1;
        }
    }

    /// Sets whether a waiting task may be started.
    pub(crate) fn set_startable(&mut self, key: TaskKey, is_startable: bool) {
        let Some(step) = self.steps.get_mut(usize::from(key.step)) else {
            return;
        };
        match is_startable {
            true => step.waiting.insert(key.index),
            false => step.waiting.remove(&key.index),
        };
    }

    /// Length of the critical path through the unfinished steps, by the caller's estimates.
    pub(crate) fn remaining_critical_path_ms(&self) -> u64 {
        let own = |step: &Step| match step.is_done() {
            true => 0,
            false => step.spec.estimate_ms,
        };
        let steps = self.steps.iter();
        longest_path_ms(steps.map(|step| (own(step), step.spec.depends_on.as_slice())))
    }

    /// Estimated CPU time of the waiting tasks, in milli-cores times milliseconds.
    pub(crate) fn waiting_work(&self) -> u64 {
        let work = |step: &Step| step_work(&step.spec, step.waiting.len());
        self.steps.iter().map(work).sum()
    }
}

/// Estimated CPU time of `count` tasks of a step, in milli-cores times milliseconds.
pub(crate) fn step_work(spec: &StepSpec, count: usize) -> u64 {
    spec.needs.cpu_milli * spec.estimate_ms * count as u64
}

/// Estimated CPU time of a whole job, in milli-cores times milliseconds.
pub(crate) fn spec_work(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    steps
        .map(|step| step_work(step, usize::from(step.count)))
        .sum()
}

/// Length of the critical path through the given steps.
///
/// Each step is given by its own duration and the positions of the earlier steps it depends on.
pub(crate) fn longest_path_ms<'a>(steps: impl Iterator<Item = (u64, &'a [u16])>) -> u64 {
    let mut end_times_ms: Vec<u64> = Vec::new();
    for (own_ms, depends_on) in steps {
        let earlier = depends_on.iter();
        let start_ms = earlier
            .filter_map(|step| end_times_ms.get(usize::from(*step)))
            .max()
            .copied();
        end_times_ms.push(start_ms.unwrap_or(0) + own_ms);
    }
    end_times_ms.into_iter().max().unwrap_or(0)
}

/// Length of the critical path of a whole job, by the caller's estimates.
pub(crate) fn spec_critical_path_ms(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    longest_path_ms(steps.map(|step| (step.estimate_ms, step.depends_on.as_slice())))
}
