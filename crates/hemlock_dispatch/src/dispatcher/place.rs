//! Starting tasks where there is room.

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;
use crate::instance::{Agent, Run};
use crate::job::{Job, TaskState};
use crate::order::{Order, StartOrder, Urgency};
use crate::placement::{Wish, choose};
use crate::ranking::Promise;
use crate::settings::CapacityView;

/// How long a task may wait at an instance though its job can only be late, in milliseconds: little
/// more than the time to the next end, so that such work takes only what is left over.
const LATE_PATIENCE_MS: u64 = 25;
/// Multiple of its expected duration after which a run is taken to stand still. Declared durations
/// are off by less, and an instance that is slower than that does harm like one that stands still.
const STALL_FACTOR: u64 = 4;
/// Time that every run gets at least before it is taken to stand still, in milliseconds.
const STALL_MIN_MS: u64 = 250;
/// Setbacks of one task after which its own work is taken to be the cause.
const MAX_STALLS: u32 = 2;
/// Tasks in a row that find no room, after which the rest waits for the next change.
const MISSES_PER_PASS: usize = 48;

impl Dispatcher {
    /// Starts what may be started, and returns all orders that are to be sent.
    pub fn poll(&mut self, now: Instant) -> Vec<Order> {
        self.advance(now);
        if std::mem::take(&mut self.placement_due) {
            self.place_all();
        }
        let due = |agent: &Agent| !agent.starts.is_empty() || !agent.stops.is_empty();
        let order = |(id, agent): (&AgentId, &mut Agent)| {
            let session = agent.session.filter(|_| due(agent))?;
            agent.last_order += 1;
            Some(Order {
                agent: *id,
                session,
                sequence: agent.last_order,
                instance: agent.instance.as_ref().map(|instance| instance.id.clone()),
                starts: std::mem::take(&mut agent.starts),
                stops: std::mem::take(&mut agent.stops),
            })
        };
        self.agents.iter_mut().filter_map(order).collect()
    }

    fn place_all(&mut self) {
        let ranks: Vec<JobId> = self.ready.iter().map(|rank| rank.job).collect();
        let mut misses = 0;
        for id in ranks {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let tasks: Vec<(u16, u16)> = job.startable().collect();
            let mut placed = false;
            for (step, index) in tasks {
                let key = TaskKey {
                    job: id,
                    occurrence: 0,
                    step,
                    index,
                };
                match self.place(key) {
                    true => {
                        placed = true;
                        misses = 0;
                    }
                    false => misses += 1,
                }
                if misses >= MISSES_PER_PASS {
                    break;
                }
            }
            if placed {
                self.rerank_quietly(id);
            }
            if misses >= MISSES_PER_PASS {
                return;
            }
        }
    }

    /// Ranks a job anew without asking for another pass.
    fn rerank_quietly(&mut self, id: JobId) {
        let due = self.placement_due;
        self.rerank(id);
        self.placement_due = due;
    }

    /// Starts a task at the best instance; `false` when there is none.
    fn place(&mut self, key: TaskKey) -> bool {
        let Some(agent) = self.choose_agent(key) else {
            return false;
        };
        self.start(key, agent);
        true
    }

    fn choose_agent(&self, key: TaskKey) -> Option<AgentId> {
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key)?;
        let task = step.tasks.get(usize::from(key.index))?;
        let spec = &step.spec;
        let wish = Wish {
            task: key,
            service: &job.service,
            needs: spec.needs,
            required_label: spec.required_label.as_deref(),
            preferred_rack: spec.preferred_rack.as_deref(),
            avoid: task.avoid,
            expected_ms: spec.estimate_ms,
            level: self.urgency(job).level(),
            patience_ms: self.queue_patience_ms(job),
        };
        let spread_holds = |_: AgentId, agent: &Agent| match spec.max_per_instance {
            0 => true,
            most => {
                let same_step = |run: &&TaskKey| run.job == key.job && run.step == key.step;
                agent.runs.keys().filter(same_step).count() < usize::from(most)
            }
        };
        let agents = self.agents.iter().map(|(id, agent)| (*id, agent));
        choose(
            self.now,
            &wish,
            self.settings.capacity,
            agents,
            spread_holds,
        )
    }

    /// A job's place among the starts that wait at an instance.
    fn urgency(&self, job: &Job) -> Urgency {
        Urgency {
            class: job.rank.map_or(0, |rank| rank.promise as u8),
            priority: job.priority,
            due_in_ms: job.due.since(self.now).as_ms(),
        }
    }

    /// How long a task of the job may wait at an instance: until it would miss what it can reach.
    fn queue_patience_ms(&self, job: &Job) -> u64 {
        let promise = job.rank.map_or(Promise::Prompt, |rank| rank.promise);
        let end = match (promise, job.caller_leaves_at) {
            (Promise::Late | Promise::Useless, _) => return LATE_PATIENCE_MS,
            // The rest of a job that has begun may be late, and is then the most urgent.
            (Promise::Prompt, Some(leaves_at)) if job.due <= self.now => leaves_at,
            (Promise::Prompt, _) => job.due,
        };
        let left_ms = end.since(self.now).as_ms();
        left_ms
            .saturating_sub(job.remaining_chain_ms())
            .max(LATE_PATIENCE_MS)
    }

    fn start(&mut self, key: TaskKey, id: AgentId) {
        let now = self.now;
        let Some(urgency) = self.jobs.get(&key.job).map(|job| self.urgency(job)) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(step) = job.steps.get(usize::from(key.step)) else {
            return;
        };
        let (needs, estimate_ms) = (step.spec.needs, step.spec.estimate_ms);
        let Some(task) = job.task_mut(key) else {
            return;
        };
        assert!(
            task.state == TaskState::Waiting,
            "task {key} is started only while it waits"
        );
        let stall_after_ms = match task.setbacks {
            0..MAX_STALLS => (estimate_ms * STALL_FACTOR).max(STALL_MIN_MS),
            _ => 0,
        };
        let run = match self.settings.records_ends {
            true => task.last_run.next_recorded(),
            false => task.last_run.next_unrecorded(),
        };
        task.last_run = run;
        job.set_state(key, TaskState::Running(id, run));
        job.started = true;
        let payload = job.payload.clone();
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        agent.add_run(
            key,
            Run {
                number: run,
                needs,
                ordered_at: now,
                expected_ms: estimate_ms,
                stopping: false,
                order: agent.last_order + 1,
                level: urgency.level(),
            },
        );
        let capacity = agent.instance.as_ref().map(|instance| instance.capacity);
        assert!(
            self.settings.capacity == CapacityView::Shared
                || capacity.is_some_and(|capacity| capacity.fits(&agent.used)),
            "the runs of agent {id} fit its instance"
        );
        agent.starts.push(StartOrder {
            task: key,
            run,
            payload,
            needs,
            urgency,
            expected_ms: estimate_ms,
            stall_after_ms,
        });
    }

    /// When [`poll`](Self::poll) is due though nothing has happened.
    pub fn next_deadline(&self) -> Instant {
        let change = self.rank_changes.first().map(|(at, _)| *at);
        let takeover = self.takeover_until;
        let times = [change, takeover, Some(self.next_scan)];
        times.into_iter().flatten().min().unwrap_or(self.next_scan)
    }
}
