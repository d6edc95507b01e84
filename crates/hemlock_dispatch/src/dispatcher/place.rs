//! Placement of waiting tasks, and the orders to the agents.

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;
use crate::instance::{Agent, Run};
use crate::job::{Job, TaskState};
use crate::order::{Order, StartOrder, Urgency};
use crate::placement::{PlacementRequest, choose};
use crate::ranking::Timeliness;
use crate::settings::CapacitySource;

/// How long a task of a late job may wait at an instance, in milliseconds. This is little more than
/// the time until the next run ends, so that late work takes only capacity that is left over.
const LATE_MAX_WAIT_MS: u64 = 25;
/// Multiple of its expected duration after which a run counts as stalled. Errors of declared
/// durations are smaller, and an instance slower than this is as harmful as a stalled one.
const STALL_FACTOR: u64 = 4;
/// Shortest duration after which a run counts as stalled, in milliseconds.
const STALL_MIN_MS: u64 = 250;
/// Number of failures of a task's runs from which the task itself is taken to be the cause, so that
/// stall detection is off for its later runs.
const MAX_INSTANCE_FAILURES: u32 = 2;
/// Number of consecutive tasks without a suitable instance that ends a placement pass.
const MAX_FAILED_PLACEMENTS: usize = 48;

impl Dispatcher {
    /// Places the tasks that may start, and returns the orders to send.
    pub fn poll(&mut self, now: Instant) -> Vec<Order> {
        self.advance(now);
        if std::mem::take(&mut self.placement_due) {
            self.update_scarcity();
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
        let mut failed_placements = 0;
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
                        failed_placements = 0;
                    }
                    false => failed_placements += 1,
                }
                if failed_placements >= MAX_FAILED_PLACEMENTS {
                    break;
                }
            }
            if placed {
                self.rerank_without_pass(id);
            }
            if failed_placements >= MAX_FAILED_PLACEMENTS {
                return;
            }
        }
    }

    /// Updates the rank of a job without requesting another placement pass.
    fn rerank_without_pass(&mut self, id: JobId) {
        let due = self.placement_due;
        self.rerank(id);
        self.placement_due = due;
    }

    /// Starts a task at the best instance. Returns `false` if no instance is suitable.
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
        let request = PlacementRequest {
            task: key,
            service: &job.service,
            needs: spec.needs,
            required_label: spec.required_label.as_deref(),
            preferred_rack: spec.preferred_rack.as_deref(),
            avoid_agent: task.avoid_agent,
            expected_ms: spec.estimate_ms,
            remote_factor: self.settings.remote_factor,
            steers: self.steers,
            level: self.urgency(job).level(),
            max_wait_ms: self.max_queue_wait_ms(job),
        };
        let below_instance_limit = |agent: &Agent| match spec.max_per_instance {
            0 => true,
            most => {
                let same_step = |run: &&TaskKey| run.job == key.job && run.step == key.step;
                agent.runs.keys().filter(same_step).count() < usize::from(most)
            }
        };
        let agents = self.agents.iter().map(|(id, agent)| (*id, agent));
        choose(
            self.now,
            &request,
            self.settings.capacity,
            agents,
            |id, agent| below_instance_limit(agent) && self.allows_placement(job, key, id),
        )
    }

    /// Urgency of a job's starts among those that wait at an instance.
    fn urgency(&self, job: &Job) -> Urgency {
        Urgency {
            class: job.rank.map_or(0, |rank| rank.timeliness as u8),
            priority: job.priority,
            due_in_ms: job.due.since(self.now).as_ms(),
        }
    }

    /// How long a task of the job may wait at an instance, in milliseconds, without a loss of
    /// timeliness.
    fn max_queue_wait_ms(&self, job: &Job) -> u64 {
        let timeliness = job.rank.map_or(Timeliness::OnTime, |rank| rank.timeliness);
        let end = match (timeliness, job.caller_deadline) {
            (Timeliness::Late | Timeliness::Expired, _) => return LATE_MAX_WAIT_MS,
            // The rest of a started job stays most urgent after its due time.
            (Timeliness::OnTime, Some(deadline)) if job.due <= self.now => deadline,
            (Timeliness::OnTime, _) => job.due,
        };
        let left_ms = end.since(self.now).as_ms();
        left_ms
            .saturating_sub(job.remaining_critical_path_ms())
            .max(LATE_MAX_WAIT_MS)
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
        let needs = step.spec.needs;
        // The expectation covers the distance, so that neither the pace nor the health of an
        // instance suffers from runs of tasks that prefer another rack.
        let is_remote = step.spec.preferred_rack.as_ref().is_some_and(|rack| {
            let agent = self.agents.get(&id);
            !agent.is_some_and(|agent| agent.has_label(rack))
        });
        let estimate_ms = match is_remote {
            true => (step.spec.estimate_ms as f64 * self.settings.remote_factor) as u64,
            false => step.spec.estimate_ms,
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        assert!(
            task.state == TaskState::Waiting,
            "task {key} must be waiting to be started"
        );
        let stall_after_ms = match task.instance_failures {
            0..MAX_INSTANCE_FAILURES => (estimate_ms * STALL_FACTOR).max(STALL_MIN_MS),
            _ => 0,
        };
        let run = match self.settings.records_ends {
            true => task.last_run.next_recorded(),
            false => task.last_run.next_unrecorded(),
        };
        task.last_run = run;
        job.set_state(key, TaskState::Running(id, run));
        job.started = true;
        let (queue, payload) = (job.queue_id, job.payload.clone());
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
            self.settings.capacity == CapacitySource::Reported
                || capacity.is_some_and(|capacity| capacity.fits(&agent.used)),
            "the runs of agent {id} exceed the capacity of its instance"
        );
        agent.starts.push(StartOrder {
            task: key,
            run,
            queue,
            payload,
            needs,
            urgency,
            expected_ms: estimate_ms,
            stall_after_ms,
        });
    }

    /// When [`poll`](Self::poll) must be called next if nothing else happens.
    pub fn next_deadline(&self) -> Instant {
        let change = self.rank_changes.first().map(|(at, _)| *at);
        let takeover = self.takeover_until;
        let delay = self.delayed_tasks.first().map(|(at, _)| *at);
        let times = [change, takeover, delay, Some(self.next_scan)];
        times.into_iter().flatten().min().unwrap_or(self.next_scan)
    }
}
