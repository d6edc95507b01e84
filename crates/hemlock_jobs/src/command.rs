//! Commands of the replicated log, which change the job store.

use serde::{Deserialize, Serialize};

use crate::config::Configuration;
use crate::crash::Suspicion;
use crate::ids::{AgentId, JobId, RunNumber, TaskKey};
use crate::instance::InstanceReport;
use crate::spec::JobSpec;

/// A job to be stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// The job.
    pub id: JobId,
    /// Name of its queue.
    pub queue: String,
    /// The service that ran the queue's tasks when the job was submitted.
    pub service: String,
    /// Number of failed runs after which a task, and with it the job, has failed.
    pub max_attempts: u32,
    /// The work to do.
    pub spec: JobSpec,
}

impl Acceptance {
    /// Creates a job for a queue.
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

/// The end of a run that must be recorded in the job store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The task is done.
    Done,
    /// The run failed, which counts as an attempt.
    Failed,
    /// The instance crashed under the run.
    Crashed(Suspicion),
}

/// A change of the job store.
///
/// The log encodes a command by its position here, so new ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Starts the term of a leader, as its first command.
    Lead,
    /// Puts a configuration in force, unless one of the same or a higher version is in force.
    Configure(Box<Configuration>),
    /// Stores a job, unless one with the same id is stored.
    Accept(Box<Acceptance>),
    /// Cancels a job.
    Cancel(JobId),
    /// Records the end of a run. The same end may be recorded more than once.
    End(TaskKey, RunNumber, TaskEnd),
    /// Adds an agent, which may have runs from now on.
    Enlist(AgentId),
    /// Removes an agent that has been gone for so long that it can't have runs.
    Delist(AgentId),
    /// Stores the report of an agent's instance, so that the agent can restore it after a restart.
    NoteInstance(AgentId, Box<InstanceReport>),
    /// Evacuates a failure domain: nothing more is started there.
    Evacuate(String),
    /// Ends the evacuation of a failure domain.
    EndEvacuation(String),
}

/// Commands that share a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The leader's time on the store's clock, in milliseconds.
    pub at_ms: u64,
    /// The commands, in order.
    pub commands: Vec<Command>,
}

impl Batch {
    /// Creates a batch of commands issued at the same time.
    pub fn new(at_ms: u64, commands: Vec<Command>) -> Self {
        Self { at_ms, commands }
    }
}
