//! An open job as the dispatcher sees it.

use std::collections::BTreeSet;

use bytes::Bytes;
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::ranking::Rank;

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It may be started, once its step's turn has come.
    Waiting,
    /// An agent that the leader has not heard yet may run it.
    Unknown,
    /// The agent was told to start this run, or runs it.
    Running(AgentId, RunNumber),
    /// This run has ended, and the end is being recorded.
    Ending(RunNumber),
    /// Its success is recorded.
    Done,
}

/// One task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// The highest run number that may have been used.
    pub(crate) last_run: RunNumber,
    /// The agent whose instance let the last run down.
    pub(crate) avoid: Option<AgentId>,
    /// Runs that its instances let down.
    pub(crate) setbacks: u32,
}

/// One step with its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) spec: StepSpec,
    pub(crate) tasks: Vec<Task>,
    /// Positions of the waiting tasks.
    pub(crate) waiting: BTreeSet<u16>,
    pub(crate) done: usize,
}

impl Step {
    pub(crate) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }
}

/// How the queue of a job wants it treated.
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

    /// The time from acceptance in which a job with the given chain of work is prompt.
    pub(crate) fn objective(&self, chain_ms: u64) -> DurationMs {
        let work_ms = (chain_ms as f64 * self.slack_factor).max(0.0);
        DurationMs::new(work_ms as u64 + self.target_latency_ms)
    }
}

/// One job with work left.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) queue: String,
    pub(crate) service: String,
    pub(crate) priority: u32,
    pub(crate) payload: Bytes,
    pub(crate) steps: Vec<Step>,
    /// When its result stops being prompt.
    pub(crate) due: Instant,
    /// When its result is too late to begin work for it.
    pub(crate) useless_at: Instant,
    /// When its caller stops waiting, if one waits.
    pub(crate) caller_leaves_at: Option<Instant>,
    /// Whether the start of a task has been ordered.
    pub(crate) started: bool,
    /// Whether something of it has run, or may have.
    pub(crate) ran: bool,
    /// Its place among the jobs with work to start.
    pub(crate) rank: Option<Rank>,
}

impl Job {
    /// The tasks that may be started now.
    pub(crate) fn startable(&self) -> impl Iterator<Item = (u16, u16)> + '_ {
        self.steps
            .iter()
            .enumerate()
            .filter(|(_, step)| !step.waiting.is_empty() && self.is_unblocked(step))
            .flat_map(|(position, step)| {
                let position = u16::try_from(position).unwrap_or(u16::MAX);
                step.waiting.iter().map(move |index| (position, *index))
            })
    }

    /// Whether every step that this one depends on is done.
    fn is_unblocked(&self, step: &Step) -> bool {
        let earlier = step.spec.depends_on.iter();
        earlier
            .filter_map(|earlier| self.steps.get(usize::from(*earlier)))
            .all(Step::is_done)
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

    /// Puts a task in another state and keeps the lists of its step.
    ///
    /// # Panics
    ///
    /// When the task's success is recorded already: nothing may happen to it after that.
    pub(crate) fn set_state(&mut self, key: TaskKey, state: TaskState) {
        let Some(step) = self.steps.get_mut(usize::from(key.step)) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(usize::from(key.index)) else {
            return;
        };
        assert!(
            task.state != TaskState::Done,
            "task {key} stays done once its success is recorded"
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

    /// Time that the longest chain of unfinished steps takes as far as the caller knows.
    pub(crate) fn remaining_chain_ms(&self) -> u64 {
        let own = |step: &Step| match step.is_done() {
            true => 0,
            false => step.spec.estimate_ms,
        };
        let steps = self.steps.iter();
        longest_chain_ms(steps.map(|step| (own(step), step.spec.depends_on.as_slice())))
    }

    /// Processor time of the tasks that wait, in thousandths of a core times milliseconds.
    pub(crate) fn waiting_work(&self) -> u64 {
        let work = |step: &Step| step_work(&step.spec, step.waiting.len());
        self.steps.iter().map(work).sum()
    }
}

/// Processor time of `count` tasks of a step, in thousandths of a core times milliseconds.
pub(crate) fn step_work(spec: &StepSpec, count: usize) -> u64 {
    spec.needs.cpu_milli * spec.estimate_ms * count as u64
}

/// The longest chain of steps, each given by its own time and the earlier steps it depends on.
pub(crate) fn longest_chain_ms<'a>(steps: impl Iterator<Item = (u64, &'a [u16])>) -> u64 {
    let mut ends: Vec<u64> = Vec::new();
    for (own_ms, depends_on) in steps {
        let earlier = depends_on.iter();
        let begin = earlier
            .filter_map(|step| ends.get(usize::from(*step)))
            .max()
            .copied();
        ends.push(begin.unwrap_or(0) + own_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// The longest chain of a job that has not begun.
pub(crate) fn spec_chain_ms(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    longest_chain_ms(steps.map(|step| (step.estimate_ms, step.depends_on.as_slice())))
}
