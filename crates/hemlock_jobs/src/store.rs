//! The replicated job store.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::command::{Acceptance, Batch, Command, TaskEnd};
use crate::config::Configuration;
use crate::crash::{CrashLog, Suspicion, TaskCrashes};
use crate::error::JobStoreError;
use crate::evacuation::Evacuations;
use crate::ids::{AgentId, JobId, RunNumber, TaskKey};
use crate::instance::InstanceReport;
use crate::record::{JobEntry, JobOutcome, JobRecord};

/// The outcome of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The command took effect, or there was nothing to change.
    Done,
    /// The job is stored.
    Accepted,
    /// A job with the same id is already stored.
    Duplicate,
    /// The job is not stored.
    Unknown,
    /// The job had ended before the command.
    AlreadyEnded(JobOutcome),
    /// The command ended the job.
    Ended(JobOutcome),
    /// The configuration is in force.
    Configured,
    /// The configuration was ignored, because one of the same or a higher version is in force.
    Outdated,
}

/// State machine with every accepted job, the configuration, the evacuated failure domains, and the
/// agents that may have runs.
///
/// Replicas that apply the same batches are equal.
#[derive(Clone, Debug, Default)]
pub struct JobStore {
    now_ms: u64,
    retention_ms: u64,
    generation: u64,
    configuration: Option<Configuration>,
    jobs: HashMap<JobId, JobRecord>,
    /// Ended jobs with their end times, in the order in which they ended.
    ended: VecDeque<(u64, JobId)>,
    agents: BTreeSet<AgentId>,
    agents_version: u64,
    instances: BTreeMap<AgentId, InstanceReport>,
    evacuations: Evacuations,
    crashes: CrashLog,
}

/// The first part of a snapshot. The evacuations follow it, and then the crashes by task, if there
/// are any. Either is missing from snapshots of earlier versions, of which the first ones ignore what
/// follows this part.
#[derive(Serialize, Deserialize)]
struct SnapshotData {
    now_ms: u64,
    generation: u64,
    configuration: Option<Configuration>,
    jobs: Vec<JobEntry>,
    ended: VecDeque<(u64, JobId)>,
    agents: BTreeSet<AgentId>,
    agents_version: u64,
    instances: BTreeMap<AgentId, InstanceReport>,
}

impl JobStore {
    /// Creates an empty store that keeps ended jobs for `retention_ms`. All replicas must use the
    /// same value.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            ..Self::default()
        }
    }

    /// Replaces the state with that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is not a valid snapshot.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), JobStoreError> {
        let (stored, rest): (SnapshotData, &[u8]) = postcard::take_from_bytes(data)?;
        let (evacuations, rest) = match rest {
            [] => (Evacuations::default(), rest),
            rest => postcard::take_from_bytes(rest)?,
        };
        let crashes: BTreeMap<TaskKey, TaskCrashes> = match rest {
            [] => BTreeMap::new(),
            rest => postcard::from_bytes(rest)?,
        };
        *self = Self {
            now_ms: stored.now_ms,
            retention_ms: self.retention_ms,
            generation: stored.generation,
            configuration: stored.configuration,
            jobs: stored.jobs.into_iter().collect(),
            ended: stored.ended,
            agents: stored.agents,
            agents_version: stored.agents_version,
            instances: usable_instances(stored.instances),
            evacuations,
            crashes: CrashLog::from_tasks(crashes),
        };
        Ok(())
    }

    /// Encodes the state as a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the state can't be encoded.
    pub fn snapshot(&self) -> Result<Bytes, JobStoreError> {
        let mut jobs: Vec<JobEntry> = self
            .jobs
            .iter()
            .map(|(id, record)| (*id, record.clone()))
            .collect();
        jobs.sort_unstable_by_key(|(id, _)| *id);
        let stored = SnapshotData {
            now_ms: self.now_ms,
            generation: self.generation,
            configuration: self.configuration.clone(),
            jobs,
            ended: self.ended.clone(),
            agents: self.agents.clone(),
            agents_version: self.agents_version,
            instances: self.instances.clone(),
        };
        let mut data = postcard::to_stdvec(&(&stored, &self.evacuations))?;
        // Without crashes, a snapshot is the same as one of an earlier version.
        if !self.crashes.tasks().is_empty() {
            data = postcard::to_extend(self.crashes.tasks(), data)?;
        }
        Ok(data.into())
    }

    /// Applies the commands of a log entry and returns the outcome of each.
    pub fn apply(&mut self, batch: &Batch) -> Vec<ApplyOutcome> {
        self.now_ms = self.now_ms.max(batch.at_ms);
        self.remove_expired_jobs();
        let commands = batch.commands.iter();
        commands
            .map(|command| self.apply_command(command))
            .collect()
    }

    fn apply_command(&mut self, command: &Command) -> ApplyOutcome {
        match command {
            Command::Lead => {
                self.generation += 1;
                ApplyOutcome::Done
            }
            Command::NoteInstance(agent, instance) => {
                if instance.is_usable() {
                    self.instances.insert(*agent, instance.as_ref().clone());
                }
                ApplyOutcome::Done
            }
            Command::Configure(configuration) => self.configure(configuration),
            Command::Accept(acceptance) => self.accept(acceptance),
            Command::Cancel(id) => self.cancel(*id),
            Command::End(key, run, end) => self.end_task(*key, *run, *end),
            Command::Enlist(agent) => {
                self.agents_version += u64::from(self.agents.insert(*agent));
                ApplyOutcome::Done
            }
            Command::Delist(agent) => {
                self.agents_version += u64::from(self.agents.remove(agent));
                self.instances.remove(agent);
                ApplyOutcome::Done
            }
            Command::Evacuate(domain) => {
                self.evacuations.begin(domain);
                ApplyOutcome::Done
            }
            Command::EndEvacuation(domain) => {
                self.evacuations.end(domain);
                ApplyOutcome::Done
            }
        }
    }

    fn configure(&mut self, configuration: &Configuration) -> ApplyOutcome {
        match &self.configuration {
            Some(current) if current.version >= configuration.version => ApplyOutcome::Outdated,
            _ => {
                self.configuration = Some(configuration.clone());
                ApplyOutcome::Configured
            }
        }
    }

    fn accept(&mut self, acceptance: &Acceptance) -> ApplyOutcome {
        if self.jobs.contains_key(&acceptance.id) {
            return ApplyOutcome::Duplicate;
        }
        let record = JobRecord::new(acceptance, self.now_ms);
        self.jobs.insert(acceptance.id, record);
        ApplyOutcome::Accepted
    }

    fn cancel(&mut self, id: JobId) -> ApplyOutcome {
        match self.jobs.get(&id).map(JobRecord::outcome) {
            None => ApplyOutcome::Unknown,
            Some(Some(outcome)) => ApplyOutcome::AlreadyEnded(outcome),
            Some(None) => self.close(id, JobOutcome::Canceled),
        }
    }

    fn end_task(&mut self, key: TaskKey, run: RunNumber, end: TaskEnd) -> ApplyOutcome {
        let Some(record) = self.jobs.get_mut(&key.job) else {
            return ApplyOutcome::Unknown;
        };
        if let Some(outcome) = record.outcome() {
            return ApplyOutcome::AlreadyEnded(outcome);
        }
        if let TaskEnd::Crashed(suspicion) = end {
            return self.note_crash(key, run, suspicion);
        }
        match record.end_task(key, run, end) {
            Some(outcome) => self.close(key.job, outcome),
            None => ApplyOutcome::Done,
        }
    }

    fn note_crash(&mut self, key: TaskKey, run: RunNumber, suspicion: Suspicion) -> ApplyOutcome {
        let open = self.jobs.get(&key.job).and_then(JobRecord::open);
        match open.and_then(|open| open.task(key)) {
            Some(task) if !task.done => {}
            Some(_) | None => return ApplyOutcome::Done,
        }
        match self.crashes.add(self.now_ms, key, run, suspicion) {
            true => self.close(key.job, JobOutcome::Failed),
            false => ApplyOutcome::Done,
        }
    }

    fn close(&mut self, id: JobId, outcome: JobOutcome) -> ApplyOutcome {
        if let Some(record) = self.jobs.get_mut(&id) {
            record.close(outcome);
            self.ended.push_back((self.now_ms, id));
        }
        ApplyOutcome::Ended(outcome)
    }

    /// Removes ended jobs whose retention time is over.
    fn remove_expired_jobs(&mut self) {
        while let Some((ended_at_ms, id)) = self.ended.front().copied() {
            if self.now_ms < ended_at_ms.saturating_add(self.retention_ms) {
                break;
            }
            self.ended.pop_front();
            self.jobs.remove(&id);
        }
        let until_ms = self.now_ms.saturating_sub(self.retention_ms);
        let jobs = &self.jobs;
        let is_open = |id: JobId| jobs.get(&id).is_some_and(JobRecord::is_open);
        self.crashes.remove_expired(until_ms, is_open);
    }

    /// The store's clock in milliseconds: the highest time of all applied batches.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Number of leader terms so far.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// The evacuated failure domains.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// The record of a job, if the job is stored.
    pub fn job(&self, id: JobId) -> Option<&JobRecord> {
        self.jobs.get(&id)
    }

    /// All stored jobs, in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(id, record)| (*id, record))
    }

    /// Number of changes of the set of agents.
    pub fn agents_version(&self) -> u64 {
        self.agents_version
    }

    /// The instance that an agent last reported.
    pub fn instance(&self, agent: AgentId) -> Option<&InstanceReport> {
        self.instances.get(&agent)
    }

    /// Tasks of open and recent jobs whose instances have crashed.
    pub fn crashed_tasks(&self) -> &BTreeMap<TaskKey, TaskCrashes> {
        self.crashes.tasks()
    }

    /// Removes a job in any state. Only for stores that are not replicated. The crashes of its
    /// tasks are remembered for the retention time, because the job may be submitted again.
    pub fn forget(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// Agents that may have runs.
    pub fn agents(&self) -> &BTreeSet<AgentId> {
        &self.agents
    }
}

/// Drops the instances of a snapshot that can't be calculated with. Their agents report them anew.
fn usable_instances(
    mut instances: BTreeMap<AgentId, InstanceReport>,
) -> BTreeMap<AgentId, InstanceReport> {
    instances.retain(|_, instance| instance.is_usable());
    instances
}
