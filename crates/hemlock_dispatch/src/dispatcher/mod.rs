//! The dispatcher's state and what changes it.

mod admission;
mod ends;
mod place;
mod sessions;
mod tick;
mod withdrawal;

pub use admission::AdmitRefusal;
pub use sessions::Adoption;
pub use withdrawal::Withdrawal;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::estimate::ESTIMATE_MAY_BE_HIGH_BY;
use crate::instance::Agent;
use crate::job::{Job, Policy, Step, Task, TaskState, spec_chain_ms};
use crate::order::SessionId;
use crate::ranking::{Promise, Rank, judge_promise};
use crate::settings::DispatchSettings;
use withdrawal::Withdrawals;

/// How long the run numbers of a dropped job are remembered.
const DROPPED_RUNS_KEPT: DurationMs = DurationMs::new(10_000);
/// Run numbers that one leader may use for a task before the next leader's begin.
const RUNS_PER_GENERATION: u64 = 1_000;

/// How far an open job is.
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
    /// Jobs with tasks that may be started, in order.
    ready: BTreeSet<Rank>,
    /// When ranks change if nothing is done.
    rank_changes: BTreeSet<(Instant, JobId)>,
    queues: HashMap<String, Queue>,
    next_session: u64,
    /// Run numbers of tasks whose earlier runs are not known are above this.
    run_floor: RunNumber,
    /// Agents of earlier leaders that have not been heard yet.
    unheard: BTreeSet<AgentId>,
    /// Until when agents of earlier leaders may run what they were told to.
    takeover_until: Option<Instant>,
    /// Whether something has changed that may allow another start.
    placement_due: bool,
    next_scan: Instant,
    /// The highest run numbers of jobs that were dropped, the oldest first: the same job may be
    /// handed in again.
    dropped_runs: VecDeque<(Instant, JobId, RunNumber)>,
    withdrawals: Withdrawals,
}

impl Dispatcher {
    /// A dispatcher for a leader whose term begins now, with the record as it is.
    pub fn new(now: Instant, settings: DispatchSettings, book: &JobBook) -> Self {
        let mut dispatcher = Self {
            settings,
            now,
            jobs: BTreeMap::new(),
            agents: BTreeMap::new(),
            ready: BTreeSet::new(),
            rank_changes: BTreeSet::new(),
            queues: HashMap::new(),
            next_session: 0,
            run_floor: RunNumber(book.generation().saturating_sub(1) * RUNS_PER_GENERATION),
            unheard: book.agents().clone(),
            takeover_until: Some(now + settings.expiry()),
            placement_due: true,
            next_scan: now,
            dropped_runs: VecDeque::new(),
            withdrawals: Withdrawals::default(),
        };
        if let Some(configuration) = book.configuration() {
            dispatcher.configure(configuration);
        }
        for (id, record) in book.jobs() {
            if let Some(open) = record.open() {
                let age = DurationMs::new(book.now_ms().saturating_sub(open.accepted_at_ms));
                dispatcher.add_job(id, &record.queue, open, age, TaskState::Unknown);
            }
        }
        dispatcher.end_takeover_if_done();
        dispatcher
    }

    /// Takes over the queues in force.
    pub fn configure(&mut self, configuration: &Configuration) {
        let queues = configuration.queues.iter();
        self.queues = queues
            .map(|queue| (queue.name.clone(), queue.clone()))
            .collect();
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.queues.get(&job.queue) {
                job.service.clone_from(&queue.service);
            }
        }
        self.placement_due = true;
    }

    /// Takes in a job that the record has just accepted.
    pub fn job_accepted(&mut self, now: Instant, id: JobId, queue: &str, open: &OpenJob) {
        self.advance(now);
        self.withdrawals.forget(id);
        self.add_job(id, queue, open, DurationMs::new(0), TaskState::Waiting);
    }

    fn add_job(
        &mut self,
        id: JobId,
        queue: &str,
        open: &OpenJob,
        age: DurationMs,
        unfinished: TaskState,
    ) {
        let policy = self.policy(queue);
        let objective = policy.objective(spec_chain_ms(&open.spec));
        let useless_ms = objective.as_ms() as f64 * self.settings.useless_after_objectives;
        let since_us = age.as_ms() * 1_000;
        let began = Instant::from_micros(self.now.as_micros().saturating_sub(since_us));
        let dropped = self.dropped_runs.iter().rev();
        let earlier = dropped
            .filter(|(_, job, _)| *job == id)
            .map(|(_, _, run)| *run);
        let run_floor = earlier.fold(self.run_floor, RunNumber::max);
        let step = |(spec, progress): (&StepSpec, &Vec<TaskProgress>)| {
            let task = |progress: &TaskProgress| Task {
                state: match progress.done {
                    true => TaskState::Done,
                    false => unfinished,
                },
                last_run: run_floor,
                avoid: None,
                setbacks: 0,
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
            service: service.unwrap_or_else(|| open.service.clone()),
            priority: policy.priority,
            payload: open.spec.payload.clone(),
            started: steps.iter().any(|step| step.done > 0),
            ran: steps.iter().any(|step| step.done > 0),
            steps,
            due: began + objective,
            useless_at: began + DurationMs::new(useless_ms as u64),
            caller_leaves_at: None,
            rank: None,
        };
        self.jobs.insert(id, job);
        self.rerank(id);
    }

    fn policy(&self, queue: &str) -> Policy {
        /// For jobs whose queue has been removed.
        const ORPHAN: Policy = Policy {
            priority: u32::MAX,
            target_latency_ms: 0,
            slack_factor: 1.0,
        };
        self.queues.get(queue).map_or(ORPHAN, Policy::of)
    }

    /// Drops a job that has ended, and stops what still runs of it.
    pub fn job_ended(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(rank) = job.rank {
            self.ready.remove(&rank);
        }
        self.remember_runs(id, &job);
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

    /// Keeps the run numbers of a dropped job from being used again.
    fn remember_runs(&mut self, id: JobId, job: &Job) {
        let tasks = job.steps.iter().flat_map(|step| &step.tasks);
        let highest = tasks.map(|task| task.last_run).max();
        let forgotten = |at: Instant| self.now > at + DROPPED_RUNS_KEPT;
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

    /// Notes when the caller of a job stops waiting for its result.
    pub fn note_caller_leaves(&mut self, id: JobId, at: Instant) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.useless_at = job.useless_at.min(at);
            job.caller_leaves_at = Some(at);
        }
        self.rerank(id);
    }

    /// Jobs with tasks to start whose result can't serve anybody any more.
    pub fn hopeless_jobs(&self) -> Vec<JobId> {
        let useless = self.ready.iter().rev();
        useless
            .take_while(|rank| rank.promise == Promise::Useless)
            .map(|rank| rank.job)
            .collect()
    }

    /// Puts a job at its place among those with tasks to start.
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
        let (promise, until) = judge_job(self.now, job);
        let rank = Rank {
            promise,
            untouched: !job.started,
            priority: job.priority,
            due: job.due,
            job: id,
        };
        job.rank = Some(rank);
        self.ready.insert(rank);
        self.rank_changes.extend(until.map(|until| (until, id)));
        self.placement_due = true;
    }

    /// How far an open job is; `None` when it is not open.
    pub fn stage(&self, id: JobId) -> Option<JobStage> {
        self.jobs.get(&id).map(|job| match job.started {
            true => JobStage::Active,
            false => JobStage::Pending,
        })
    }

    /// Open jobs of a queue of which no task has been started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let pending = |job: &&Job| !job.started && job.queue == queue;
        self.jobs.values().filter(pending).count()
    }

    /// Tasks that wait for room.
    pub fn waiting_tasks(&self) -> usize {
        let steps = self.jobs.values().flat_map(|job| &job.steps);
        steps.map(|step| step.waiting.len()).sum()
    }

    /// Open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn in_session(&mut self, id: AgentId, session: SessionId) -> Option<&mut Agent> {
        self.agents
            .get_mut(&id)
            .filter(|agent| agent.session == Some(session))
    }
}

/// What a job's result can still be, and when that changes if nothing is done.
///
/// What was spent on a job that has begun is lost unless the rest follows, so its rest goes first
/// for as long as its caller may get the result.
fn judge_job(now: Instant, job: &Job) -> (Promise, Option<Instant>) {
    let remaining_ms = job.remaining_chain_ms();
    match (job.started, job.caller_leaves_at) {
        (false, _) => {
            let remaining = DurationMs::new(remaining_ms);
            judge_promise(now, remaining, job.due, job.useless_at)
        }
        (true, None) => (Promise::Prompt, None),
        (true, Some(leaves_at)) => {
            let least = DurationMs::new(remaining_ms / ESTIMATE_MAY_BE_HIGH_BY);
            judge_promise(now, least, leaves_at, leaves_at)
        }
    }
}
