//! The replicated record of jobs.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::command::{Acceptance, Batch, Command, TaskEnd};
use crate::config::Configuration;
use crate::error::BookError;
use crate::ids::{AgentId, JobId, RunNumber, TaskKey};
use crate::instance::InstanceReport;
use crate::record::{JobOutcome, JobRecord, NamedRecord};

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It took effect, or had to change nothing.
    Done,
    /// The job is kept from now on.
    Accepted,
    /// A job of that id is kept already.
    Duplicate,
    /// No such job is kept.
    Unknown,
    /// The job has ended before.
    AlreadyEnded(JobOutcome),
    /// The job has ended by this command.
    Ended(JobOutcome),
    /// The configuration is in force from now on.
    Configured,
    /// A configuration of the same or a higher version is in force.
    Outdated,
}

/// Every accepted job, the configuration, and the agents that may hold runs.
///
/// All copies that apply the same batches are equal.
#[derive(Clone, Debug, Default)]
pub struct JobBook {
    now_ms: u64,
    retention_ms: u64,
    generation: u64,
    configuration: Option<Configuration>,
    jobs: HashMap<JobId, JobRecord>,
    /// Ended jobs in the order in which they ended, with the time.
    ended: VecDeque<(u64, JobId)>,
    agents: BTreeSet<AgentId>,
    agents_version: u64,
    instances: BTreeMap<AgentId, InstanceReport>,
}

/// The form of a snapshot.
#[derive(Serialize, Deserialize)]
struct Stored {
    now_ms: u64,
    generation: u64,
    configuration: Option<Configuration>,
    jobs: Vec<NamedRecord>,
    ended: VecDeque<(u64, JobId)>,
    agents: BTreeSet<AgentId>,
    agents_version: u64,
    instances: BTreeMap<AgentId, InstanceReport>,
}

impl JobBook {
    /// An empty record that keeps ended jobs for `retention_ms`. All copies need the same value.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            ..Self::default()
        }
    }

    /// Replaces the state by a snapshot's.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no snapshot.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), BookError> {
        let stored: Stored = postcard::from_bytes(data)?;
        *self = Self {
            now_ms: stored.now_ms,
            retention_ms: self.retention_ms,
            generation: stored.generation,
            configuration: stored.configuration,
            jobs: stored.jobs.into_iter().collect(),
            ended: stored.ended,
            agents: stored.agents,
            agents_version: stored.agents_version,
            instances: stored.instances,
        };
        Ok(())
    }

    /// The state as bytes.
    ///
    /// # Errors
    ///
    /// Fails when the state has no encoding.
    pub fn snapshot(&self) -> Result<Bytes, BookError> {
        let mut jobs: Vec<NamedRecord> = self
            .jobs
            .iter()
            .map(|(id, record)| (*id, record.clone()))
            .collect();
        jobs.sort_unstable_by_key(|(id, _)| *id);
        let stored = Stored {
            now_ms: self.now_ms,
            generation: self.generation,
            configuration: self.configuration.clone(),
            jobs,
            ended: self.ended.clone(),
            agents: self.agents.clone(),
            agents_version: self.agents_version,
            instances: self.instances.clone(),
        };
        Ok(postcard::to_stdvec(&stored)?.into())
    }

    /// Applies the commands of one entry and says what each did.
    pub fn apply(&mut self, batch: &Batch) -> Vec<Applied> {
        self.now_ms = self.now_ms.max(batch.at_ms);
        self.forget_old();
        let commands = batch.commands.iter();
        commands.map(|command| self.apply_one(command)).collect()
    }

    fn apply_one(&mut self, command: &Command) -> Applied {
        match command {
            Command::Lead => {
                self.generation += 1;
                Applied::Done
            }
            Command::NoteInstance(agent, instance) => {
                self.instances.insert(*agent, instance.as_ref().clone());
                Applied::Done
            }
            Command::Configure(configuration) => self.configure(configuration),
            Command::Accept(acceptance) => self.accept(acceptance),
            Command::Cancel(id) => self.cancel(*id),
            Command::End(key, run, end) => self.end_task(*key, *run, *end),
            Command::Enlist(agent) => {
                self.agents_version += u64::from(self.agents.insert(*agent));
                Applied::Done
            }
            Command::Delist(agent) => {
                self.agents_version += u64::from(self.agents.remove(agent));
                self.instances.remove(agent);
                Applied::Done
            }
        }
    }

    fn configure(&mut self, configuration: &Configuration) -> Applied {
        match &self.configuration {
            Some(held) if held.version >= configuration.version => Applied::Outdated,
            _ => {
                self.configuration = Some(configuration.clone());
                Applied::Configured
            }
        }
    }

    fn accept(&mut self, acceptance: &Acceptance) -> Applied {
        if self.jobs.contains_key(&acceptance.id) {
            return Applied::Duplicate;
        }
        let record = JobRecord::new(acceptance, self.now_ms);
        self.jobs.insert(acceptance.id, record);
        Applied::Accepted
    }

    fn cancel(&mut self, id: JobId) -> Applied {
        match self.jobs.get(&id).map(JobRecord::outcome) {
            None => Applied::Unknown,
            Some(Some(outcome)) => Applied::AlreadyEnded(outcome),
            Some(None) => self.close(id, JobOutcome::Canceled),
        }
    }

    fn end_task(&mut self, key: TaskKey, run: RunNumber, end: TaskEnd) -> Applied {
        let Some(record) = self.jobs.get_mut(&key.job) else {
            return Applied::Unknown;
        };
        if let Some(outcome) = record.outcome() {
            return Applied::AlreadyEnded(outcome);
        }
        match record.end_task(key, run, end) {
            Some(outcome) => self.close(key.job, outcome),
            None => Applied::Done,
        }
    }

    fn close(&mut self, id: JobId, outcome: JobOutcome) -> Applied {
        if let Some(record) = self.jobs.get_mut(&id) {
            record.close(outcome);
            self.ended.push_back((self.now_ms, id));
        }
        Applied::Ended(outcome)
    }

    /// Drops ended jobs whose retention is over.
    fn forget_old(&mut self) {
        while let Some((ended_at_ms, id)) = self.ended.front().copied() {
            if self.now_ms < ended_at_ms + self.retention_ms {
                break;
            }
            self.ended.pop_front();
            self.jobs.remove(&id);
        }
    }

    /// The record's clock: the time of the latest batch, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// How many leaders have begun.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// A job that is kept.
    pub fn job(&self, id: JobId) -> Option<&JobRecord> {
        self.jobs.get(&id)
    }

    /// All jobs that are kept, in no order.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(id, record)| (*id, record))
    }

    /// How often the set of agents has changed.
    pub fn agents_version(&self) -> u64 {
        self.agents_version
    }

    /// The instance that was last noted for an agent.
    pub fn instance(&self, agent: AgentId) -> Option<&InstanceReport> {
        self.instances.get(&agent)
    }

    /// Drops a job, whatever its state. Only for records that are not replicated.
    pub fn forget(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// Agents that may hold runs.
    pub fn agents(&self) -> &BTreeSet<AgentId> {
        &self.agents
    }
}
