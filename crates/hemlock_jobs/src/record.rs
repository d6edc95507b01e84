//! The stored record of a job.

use serde::{Deserialize, Serialize};

use crate::command::{Acceptance, TaskEnd};
use crate::ids::{JobId, RunNumber, TaskKey};
use crate::spec::JobSpec;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobOutcome {
    /// Every task is done.
    Complete,
    /// A task has reached its maximum number of failed runs, or of crashes of its instances.
    Failed,
    /// Its caller cancelled it.
    Canceled,
}

/// Progress of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether the task is done.
    pub done: bool,
    /// Number of failed runs.
    pub failures: u32,
    /// The last run that failed. Failures of this or an earlier run have been counted.
    pub last_failed: RunNumber,
}

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenJob {
    /// The service that ran the queue's tasks when the job was submitted.
    pub service: String,
    /// Number of failed runs after which a task has failed.
    pub max_attempts: u32,
    /// The work to do.
    pub spec: JobSpec,
    /// Progress of each task of each step.
    pub steps: Vec<Vec<TaskProgress>>,
    /// When the job was accepted, in milliseconds on the store's clock.
    pub accepted_at_ms: u64,
}

impl OpenJob {
    /// Progress of one task.
    pub fn task(&self, key: TaskKey) -> Option<&TaskProgress> {
        self.steps
            .get(usize::from(key.step))?
            .get(usize::from(key.index))
    }

    /// Whether every task of the step is done.
    pub fn is_step_done(&self, step: u16) -> bool {
        self.steps
            .get(usize::from(step))
            .is_some_and(|tasks| tasks.iter().all(|task| task.done))
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|task| task.done)
    }
}

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job has unfinished work.
    Open(Box<OpenJob>),
    /// The job has ended.
    Ended(JobOutcome),
}

/// The stored record of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Name of its queue.
    pub queue: String,
    /// Its phase.
    pub phase: JobPhase,
}

impl JobRecord {
    pub(crate) fn new(acceptance: &Acceptance, at_ms: u64) -> Self {
        let tasks = |count| vec![TaskProgress::default(); usize::from(count)];
        let steps = acceptance.spec.steps.iter();
        Self {
            queue: acceptance.queue.clone(),
            phase: JobPhase::Open(Box::new(OpenJob {
                service: acceptance.service.clone(),
                max_attempts: acceptance.max_attempts.max(1),
                steps: steps.map(|step| tasks(step.count)).collect(),
                spec: acceptance.spec.clone(),
                accepted_at_ms: at_ms,
            })),
        }
    }

    /// The open job, or `None` if it has ended.
    pub fn open(&self) -> Option<&OpenJob> {
        match &self.phase {
            JobPhase::Open(open) => Some(open),
            JobPhase::Ended(_) => None,
        }
    }

    /// Whether the job has not ended.
    pub fn is_open(&self) -> bool {
        self.open().is_some()
    }

    /// How the job ended, or `None` if it is open.
    pub fn outcome(&self) -> Option<JobOutcome> {
        match &self.phase {
            JobPhase::Open(_) => None,
            JobPhase::Ended(outcome) => Some(*outcome),
        }
    }

    /// Records the end of a run and returns the outcome of the job if this ends it. An end that was
    /// recorded before changes nothing.
    pub(crate) fn end_task(
        &mut self,
        key: TaskKey,
        run: RunNumber,
        end: TaskEnd,
    ) -> Option<JobOutcome> {
        let JobPhase::Open(open) = &mut self.phase else {
            return None;
        };
        let max_attempts = open.max_attempts;
        let step = open.steps.get_mut(usize::from(key.step))?;
        let task = step.get_mut(usize::from(key.index))?;
        match end {
            _ if task.done => return None,
            // Crashes are counted apart from failed runs.
            TaskEnd::Crashed(_) => return None,
            TaskEnd::Done => task.done = true,
            TaskEnd::Failed if run <= task.last_failed => return None,
            TaskEnd::Failed => {
                task.failures += 1;
                task.last_failed = run;
            }
        }
        let failed = task.failures >= max_attempts;
        match end {
            TaskEnd::Failed if failed => Some(JobOutcome::Failed),
            TaskEnd::Done if open.is_done() => Some(JobOutcome::Complete),
            TaskEnd::Done | TaskEnd::Failed | TaskEnd::Crashed(_) => None,
        }
    }

    /// Ends the job and drops the data that only an open job needs.
    pub(crate) fn close(&mut self, outcome: JobOutcome) {
        self.phase = JobPhase::Ended(outcome);
    }
}

/// A job's id and record in a snapshot.
pub(crate) type JobEntry = (JobId, JobRecord);
