//! Commands of the replicated log.

use serde::{Deserialize, Serialize};

use crate::config::Configuration;
use crate::ids::{AgentId, JobId, RunNumber, TaskKey};
use crate::instance::InstanceReport;
use crate::spec::JobSpec;

/// A job that is to be kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// The job.
    pub id: JobId,
    /// Name of its queue.
    pub queue: String,
    /// The service that ran the queue's tasks when the job came.
    pub service: String,
    /// Failed runs after which a task, and with it the job, has failed.
    pub max_attempts: u32,
    /// What is to be done.
    pub spec: JobSpec,
}

impl Acceptance {
    /// A job for a queue.
    pub fn new(
        id: JobId,
        queue: impl Into<String>,
        service: impl Into<String>,
        max_attempts: u32,
        spec: JobSpec,
    ) -> Self {
        Self {
            id,
            queue: queue.into(),
            service: service.into(),
            max_attempts,
            spec,
        }
    }
}

/// How a run ended, as far as it must be remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The task is done.
    Done,
    /// The run failed and counts as an attempt.
    Failed,
}

/// A change of the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A leader begins; the first command of its term.
    Lead,
    /// Puts a configuration in force, unless one of the same or a higher version is.
    Configure(Box<Configuration>),
    /// Keeps a job, unless one of the same id is kept.
    Accept(Box<Acceptance>),
    /// Cancels a job.
    Cancel(JobId),
    /// A run has ended. The same end may be told more than once.
    End(TaskKey, RunNumber, TaskEnd),
    /// An agent may hold runs from now on.
    Enlist(AgentId),
    /// An agent has been gone for so long that it holds none.
    Delist(AgentId),
    /// What an agent's instance has, for the agent's next process.
    NoteInstance(AgentId, Box<InstanceReport>),
}

/// Commands that share one entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The leader's reading of the record's own clock, in milliseconds.
    pub at_ms: u64,
    /// The commands, in order.
    pub commands: Vec<Command>,
}

impl Batch {
    /// Commands made at one moment.
    pub fn new(at_ms: u64, commands: Vec<Command>) -> Self {
        Self { at_ms, commands }
    }
}
