//! The dispatcher and its state.

mod admission;
mod crashes;
mod ends;
mod place;
mod refusals;
mod scarcity;
mod sessions;
mod takeover;
mod tick;
mod withdrawal;

pub use admission::{AdmissionError, RejectionCause};
pub use crashes::ConfinementChange;
pub use sessions::Adoption;
pub use tick::ExpiredAgent;
pub use withdrawal::Withdrawal;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::admitted::AdmittedWork;
use crate::containment::Containment;
use crate::estimate::MAX_OVERESTIMATE_FACTOR;
use crate::instance::Agent;
use crate::job::{Job, Policy, Step, Task, TaskState, spec_critical_path_ms};
use crate::order::{QueueId, SessionId};
use crate::rack_demand::RackDemand;
use crate::ranking::{Rank, Timeliness, assess_timeliness};
use crate::settings::DispatchSettings;
use admission::AdmissionHistory;
use refusals::DelayedTasks;
use withdrawal::Withdrawals;

/// How long the highest run number of a removed job is remembered.
const DROPPED_RUNS_RETENTION: DurationMs = DurationMs::new(10_000);
/// Assumed duration of an outage before the first one is over, in milliseconds.
const INITIAL_OUTAGE_MS: u64 = 1_000;
/// How many run numbers per task each leader may use, so that no two leaders use the same one and
/// those of a later leader are higher. Refused starts use them up as well.
const RUNS_PER_GENERATION: u64 = 1_000_000;

/// Stage of an open job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// No task has been started.
    Pending,
    /// A task has been started.
    Active,
}

/// Decides which task runs where and when.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    now: Instant,
    jobs: BTreeMap<JobId, Job>,
    agents: BTreeMap<AgentId, Agent>,
    /// Ranks of the jobs with tasks that may start.
    ready: BTreeSet<Rank>,
    /// Instants after which the rank of a job changes by the passage of time.
    rank_changes: BTreeSet<(Instant, JobId)>,
    queues: HashMap<String, Queue>,
    /// Failure domains in which nothing is placed.
    evacuations: Evacuations,
    /// Rates of the admitted work by service.
    admitted: HashMap<String, AdmittedWork>,
    /// Recent admission of the jobs of each queue.
    histories: HashMap<String, AdmissionHistory>,
    /// Recent demand for the racks that tasks prefer.
    rack_demand: RackDemand,
    next_scarcity_update: Instant,
    /// Whether any instance is scarce, so that tasks that don't need it go elsewhere.
    steers: bool,
    next_session: u64,
    /// Lower bound for new run numbers of tasks whose earlier runs are unknown.
    run_floor: RunNumber,
    /// Agents of earlier leaders that have not sent their inventory to this one yet.
    awaiting_inventory: BTreeSet<AgentId>,
    /// End of the time in which agents of earlier leaders may still run tasks; `None` once it is
    /// over.
    takeover_until: Option<Instant>,
    /// Successes of earlier leaders' runs that are still to be recorded.
    proven_successes: Vec<(TaskKey, RunNumber)>,
    /// Whether a change since the last placement pass may allow another start.
    placement_due: bool,
    next_scan: Instant,
    /// The highest run numbers of removed jobs, oldest first, because a job may be submitted again.
    dropped_runs: VecDeque<(Instant, JobId, RunNumber)>,
    withdrawals: Withdrawals,
    /// Tasks whose starts were refused several times.
    delayed_tasks: DelayedTasks,
    /// Queues whose tasks crash instances.
    containment: Containment,
    /// Changes of the confined queues that are still to be logged.
    confinement_changes: Vec<ConfinementChange>,
    /// Expired agents that are still to be logged.
    expired_agents: Vec<ExpiredAgent>,
    /// How long the last instance that came back had been gone, in milliseconds.
    usual_outage_ms: u64,
}

impl Dispatcher {
    /// Creates a dispatcher for a leader whose term begins now, from the current job store.
    pub fn new(now: Instant, settings: DispatchSettings, store: &JobStore) -> Self {
        let mut dispatcher = Self {
            settings,
            now,
            jobs: BTreeMap::new(),
            agents: BTreeMap::new(),
            ready: BTreeSet::new(),
            rank_changes: BTreeSet::new(),
            queues: HashMap::new(),
            evacuations: store.evacuations().clone(),
            admitted: HashMap::new(),
            histories: HashMap::new(),
            rack_demand: RackDemand::new(now),
            next_scarcity_update: now,
            steers: false,
            next_session: 0,
            run_floor: RunNumber(store.generation().saturating_sub(1) * RUNS_PER_GENERATION),
            awaiting_inventory: store.agents().clone(),
            takeover_until: Some(now + settings.expiry()),
            proven_successes: Vec::new(),
            placement_due: true,
            next_scan: now,
            dropped_runs: VecDeque::new(),
            withdrawals: Withdrawals::default(),
            delayed_tasks: DelayedTasks::new(),
            containment: Containment::default(),
            confinement_changes: Vec::new(),
            expired_agents: Vec::new(),
            usual_outage_ms: INITIAL_OUTAGE_MS,
        };
        if let Some(configuration) = store.configuration() {
            dispatcher.configure(configuration);
        }
        for (id, record) in store.jobs() {
            if let Some(open) = record.open() {
                let age = DurationMs::new(store.now_ms().saturating_sub(open.accepted_at_ms));
                dispatcher.add_job(id, &record.queue, open, age, TaskState::Unknown);
            }
        }
        dispatcher.restore_crashes(store);
        dispatcher.end_takeover_if_done();
        dispatcher
    }

    /// Applies the queues of a new configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        let queues = configuration.queues.iter();
        self.queues = queues
            .map(|queue| (queue.name.clone(), queue.clone()))
            .collect();
        self.histories
            .retain(|queue, _| self.queues.contains_key(queue));
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.queues.get(&job.queue) {
                job.service.clone_from(&queue.service);
            }
        }
        self.placement_due = true;
    }

    /// Takes over the evacuated failure domains, in which nothing is placed from now on, if their
    /// version is higher than that of the known ones. Returns whether it is.
    pub fn set_evacuations(&mut self, evacuations: &Evacuations) -> bool {
        let newer = self.evacuations.update(evacuations);
        if newer {
            let agents = self.agents.values_mut();
            agents.for_each(|agent| agent.note_evacuations(evacuations));
            self.placement_due = true;
        }
        newer
    }

    /// The evacuated failure domains.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Adds a job that the job store has just accepted.
    pub fn job_accepted(&mut self, now: Instant, id: JobId, queue: &str, open: &OpenJob) {
        self.advance(now);
        self.withdrawals.forget(id);
        self.add_job(id, queue, open, DurationMs::new(0), TaskState::Waiting);
        self.note_admitted(id);
        self.note_rack_demand(id);
    }

    fn add_job(
        &mut self,
        id: JobId,
        queue: &str,
        open: &OpenJob,
        age: DurationMs,
        unfinished_state: TaskState,
    ) {
        let policy = self.policy(queue);
        let objective = policy.objective(spec_critical_path_ms(&open.spec));
        let expires_after_ms = objective.as_ms() as f64 * self.settings.expire_after_objectives;
        let age_us = age.as_ms() * 1_000;
        let accepted_at = Instant::from_micros(self.now.as_micros().saturating_sub(age_us));
        let earlier = self.dropped_run(id).unwrap_or_default();
        let run_floor = self.run_floor.max(earlier);
        let step = |(spec, progress): (&StepSpec, &Vec<TaskProgress>)| {
            let task = |progress: &TaskProgress| Task {
                state: match progress.done {
                    true => TaskState::Done,
                    false => unfinished_state,
                },
                last_run: run_floor,
                reported_run: RunNumber::default(),
                is_latest_known: unfinished_state != TaskState::Unknown,
                unproven_success: None,
                avoid_agent: None,
                instance_failures: 0,
                refusals: 0,
                strong_crashes: 0,
            };
            let tasks: Vec<Task> = progress.iter().map(task).collect();
            let waits = |index: &u16| tasks[usize::from(*index)].state == TaskState::Waiting;
            Step {
                spec: spec.clone(),
                waiting: (0..spec.count).filter(waits).collect(),
                done: progress.iter().filter(|task| task.done).count(),
                tasks,
            }
        };
        let steps: Vec<Step> = open.spec.steps.iter().zip(&open.steps).map(step).collect();
        let service = self.queues.get(queue).map(|queue| queue.service.clone());
        let job = Job {
            queue: queue.to_owned(),
            queue_id: QueueId::of(queue),
            service: service.unwrap_or_else(|| open.service.clone()),
            priority: policy.priority,
            payload: open.spec.payload.clone(),
            started: steps.iter().any(|step| step.done > 0),
            may_have_run: steps.iter().any(|step| step.done > 0),
            steps,
            due: accepted_at + objective,
            expires_at: accepted_at + DurationMs::new(expires_after_ms as u64),
            caller_deadline: None,
            is_held: false,
            rank: None,
        };
        self.jobs.insert(id, job);
        self.rerank(id);
    }

    fn policy(&self, queue: &str) -> Policy {
        /// Policy of jobs whose queue has been removed from the configuration.
        const REMOVED_QUEUE: Policy = Policy {
            priority: u32::MAX,
            target_latency_ms: 0,
            slack_factor: 1.0,
        };
        self.queues.get(queue).map_or(REMOVED_QUEUE, Policy::of)
    }

    /// Removes a job that has ended, and stops its remaining runs.
    pub fn job_ended(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(rank) = job.rank {
            self.ready.remove(&rank);
        }
        self.remember_run_numbers(id, &job);
        for agent in self.agents.values_mut() {
            let runs: Vec<TaskKey> = agent
                .runs
                .keys()
                .filter(|task| task.job == id)
                .copied()
                .collect();
            agent.starts.retain(|start| start.task.job != id);
            runs.into_iter().for_each(|task| agent.stop_run(task));
        }
    }

    /// The highest run number of a job that was removed a short time ago; `None` if none was.
    pub fn dropped_run(&self, id: JobId) -> Option<RunNumber> {
        let dropped = self.dropped_runs.iter();
        let of_job = dropped.filter(|(_, job, _)| *job == id);
        of_job.map(|(_, _, run)| *run).max()
    }

    /// Remembers the highest run number of a removed job, so that no number is used twice.
    fn remember_run_numbers(&mut self, id: JobId, job: &Job) {
        let tasks = job.steps.iter().flat_map(|step| &step.tasks);
        let highest = tasks.map(|task| task.last_run).max();
        let forgotten = |at: Instant| self.now > at + DROPPED_RUNS_RETENTION;
        while self
            .dropped_runs
            .front()
            .is_some_and(|(at, _, _)| forgotten(*at))
        {
            self.dropped_runs.pop_front();
        }
        let highest = highest.unwrap_or_default();
        self.dropped_runs.push_back((self.now, id, highest));
    }

    /// Sets the instant at which the caller of a job stops waiting for its result.
    pub fn set_caller_deadline(&mut self, id: JobId, at: Instant) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.expires_at = job.expires_at.min(at);
            job.caller_deadline = Some(at);
        }
        self.rerank(id);
    }

    /// Sets whether no further task of a job may be started. Its runs continue.
    pub fn set_held(&mut self, id: JobId, is_held: bool) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_held = is_held;
        }
        self.rerank(id);
    }

    /// Time that the unfinished tasks of an open job take at least, by the caller's estimates.
    pub fn remaining_work(&self, id: JobId) -> Option<DurationMs> {
        let job = self.jobs.get(&id)?;
        Some(DurationMs::new(job.remaining_critical_path_ms()))
    }

    /// Jobs with tasks to start whose result is of no use any more.
    pub fn expired_jobs(&self) -> Vec<JobId> {
        let by_descending_rank = self.ready.iter().rev();
        by_descending_rank
            .take_while(|rank| rank.timeliness == Timeliness::Expired)
            .map(|rank| rank.job)
            .collect()
    }

    /// Updates the rank of a job among those with tasks to start.
    fn rerank(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(rank) = job.rank.take() {
            self.ready.remove(&rank);
        }
        if job.startable().next().is_none() {
            return;
        }
        let (timeliness, until) = assess_job(self.now, job);
        let rank = Rank {
            timeliness,
            not_started: !job.started,
            priority: job.priority,
            due: job.due,
            job: id,
        };
        job.rank = Some(rank);
        self.ready.insert(rank);
        self.rank_changes.extend(until.map(|until| (until, id)));
        self.placement_due = true;
    }

    /// Stage of a job; `None` if the job is not open.
    pub fn stage(&self, id: JobId) -> Option<JobStage> {
        self.jobs.get(&id).map(|job| match job.started {
            true => JobStage::Active,
            false => JobStage::Pending,
        })
    }

    /// Number of open jobs of a queue of which no task has been started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let pending = |job: &&Job| !job.started && job.queue == queue;
        self.jobs.values().filter(pending).count()
    }

    /// Number of tasks that wait to be started.
    pub fn waiting_tasks(&self) -> usize {
        let steps = self.jobs.values().flat_map(|job| &job.steps);
        steps.map(|step| step.waiting.len()).sum()
    }

    /// Number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn agent_in_session(&mut self, id: AgentId, session: SessionId) -> Option<&mut Agent> {
        self.agents
            .get_mut(&id)
            .filter(|agent| agent.session == Some(session))
    }
}

/// The timeliness that a job can still reach, and the instant after which it drops.
///
/// The finished work of a started job is wasted unless the rest follows. A started job therefore
/// counts as on time for as long as its caller may still receive the result.
fn assess_job(now: Instant, job: &Job) -> (Timeliness, Option<Instant>) {
    let remaining_ms = job.remaining_critical_path_ms();
    match (job.started, job.caller_deadline) {
        (false, _) => {
            let remaining = DurationMs::new(remaining_ms);
            assess_timeliness(now, remaining, job.due, job.expires_at)
        }
        (true, None) => (Timeliness::OnTime, None),
        (true, Some(deadline)) => {
            let least = DurationMs::new(remaining_ms / MAX_OVERESTIMATE_FACTOR);
            assess_timeliness(now, least, deadline, deadline)
        }
    }
}
