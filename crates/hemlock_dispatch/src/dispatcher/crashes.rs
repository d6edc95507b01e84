//! Instances that crash, and the tasks that may be the cause.

use std::collections::BTreeMap;

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::Dispatcher;
use crate::instance::Agent;
use crate::job::Job;
use crate::order::{CrashSuspect, QueueId};

/// Divisor of the time since a crash that gives the expected rest of an outage that lasts longer
/// than the one before.
const OVERDUE_OUTAGE_DIVISOR: u64 = 4;
/// Time after which an instance that crashed counts as gone for good.
const LONGEST_OUTAGE: DurationMs = DurationMs::new(10_000);

/// A change of the queues that are confined to a part of the instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfinementChange {
    /// A queue is confined, because one of its tasks crashed several instances.
    Confined {
        /// Name of the queue.
        queue: String,
        /// The task.
        task: TaskKey,
    },
    /// A queue is no longer confined.
    Released {
        /// Name of the queue.
        queue: String,
    },
}

impl Dispatcher {
    /// Restores the crashes that the job store has recorded, so that a new leader treats the tasks
    /// as the one before did.
    pub(super) fn restore_crashes(&mut self, store: &JobStore) {
        for (key, crashes) in store.crashed_tasks() {
            let job = self.jobs.get_mut(&key.job);
            if let Some(task) = job.and_then(|job| job.task_mut(*key)) {
                task.strong_crashes = u32::try_from(crashes.strong()).unwrap_or(u32::MAX);
            }
        }
    }

    /// Notes that an agent's instance crashed under a run of the task, so that its next run goes to
    /// another instance if possible.
    pub(super) fn note_crash(&mut self, id: AgentId, key: TaskKey, suspicion: Suspicion) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let queue = job.queue_id;
        let Some(task) = job.task_mut(key) else {
            return;
        };
        task.avoid_agent = Some(id);
        if suspicion == Suspicion::Strong {
            task.strong_crashes += 1;
            self.note_suspect(id, CrashSuspect { task: key, queue });
        }
    }

    /// Notes the tasks of all dispatchers that are strongly suspected to have crashed an agent's
    /// instance.
    pub fn note_suspects(&mut self, now: Instant, id: AgentId, suspects: &[CrashSuspect]) {
        self.advance(now);
        for suspect in suspects {
            self.note_suspect(id, *suspect);
        }
    }

    /// Whether a job that is submitted again has crashed several instances, perhaps through another
    /// dispatcher, so that it must be given up.
    pub fn is_crashing(&self, now: Instant, id: JobId) -> bool {
        self.containment.is_crashing(now, id)
    }

    /// Confines the queue of a task that several instances have crashed under.
    fn note_suspect(&mut self, id: AgentId, suspect: CrashSuspect) {
        let CrashSuspect { task, queue } = suspect;
        if self.containment.note_suspect(self.now, queue, task, id) {
            self.update_reserved_agents();
            let queue = self.queue_name(queue);
            let change = ConfinementChange::Confined { queue, task };
            self.confinement_changes.push(change);
        }
    }

    /// Ends confinements whose time is over.
    pub(super) fn expire_confinements(&mut self) {
        if !self.containment.is_active() {
            return;
        }
        let agents = &self.agents;
        let is_present = |id: AgentId| agents.get(&id).is_some_and(|a| a.instance.is_some());
        let ended = self.containment.expire(self.now, is_present);
        self.update_reserved_agents();
        for queue in ended {
            let queue = self.queue_name(queue);
            self.confinement_changes
                .push(ConfinementChange::Released { queue });
            self.placement_due = true;
        }
    }

    /// Name of a queue; empty if the queue has been removed from the configuration.
    fn queue_name(&self, id: QueueId) -> String {
        let mut names = self.queues.keys();
        let name = names.find(|name| QueueId::of(name) == id);
        name.cloned().unwrap_or_default()
    }

    fn update_reserved_agents(&mut self) {
        let mut agents: BTreeMap<&str, Vec<AgentId>> = BTreeMap::new();
        // An instance that is gone for good must not be reserved.
        let may_return = |agent: &Agent| {
            let exited_at = agent.exited_at;
            agent.instance.is_some() || exited_at.is_some_and(|at| self.now < at + LONGEST_OUTAGE)
        };
        for (id, agent) in &self.agents {
            match (agent.session, agent.last_service()) {
                (Some(_), Some(service)) if may_return(agent) => {
                    agents.entry(service).or_default().push(*id);
                }
                _ => {}
            }
        }
        let queues = &self.queues;
        let service_of = |id: QueueId| {
            let mut queues = queues.values();
            let queue = queues.find(|queue| QueueId::of(&queue.name) == id);
            queue.map(|queue| queue.service.clone())
        };
        self.containment.update_reserved(&agents, service_of);
    }

    /// Takes the changes of confined queues since the last call, for logs and metrics.
    pub fn take_confinement_changes(&mut self) -> Vec<ConfinementChange> {
        std::mem::take(&mut self.confinement_changes)
    }

    /// Whether a task of the job may be placed at the agent, as far as crashes are concerned. Of a
    /// confined queue, each instance runs the suspected tasks of one job at a time: a crash then
    /// shows which one is the cause.
    pub(super) fn allows_placement(&self, job: &Job, key: TaskKey, id: AgentId) -> bool {
        if !self.containment.is_active() {
            return true;
        }
        let is_suspect = |key: &TaskKey| {
            let job = self.jobs.get(&key.job);
            job.and_then(|job| job.task(*key))
                .is_some_and(|task| task.strong_crashes > 0)
        };
        let runs_other_suspect = || {
            let agent = self.agents.get(&id);
            let mut runs = agent.into_iter().flat_map(|agent| agent.runs.keys());
            runs.any(|run| run.job != key.job && is_suspect(run))
        };
        self.containment.allows(job.queue_id, id)
            && !(self.containment.is_confined(job.queue_id)
                && is_suspect(&key)
                && runs_other_suspect())
    }

    /// Expected time until an instance is back, if all instances that could run the queue's tasks
    /// are known to have exited; `None` if any is there, or if nothing is known.
    pub(super) fn expected_outage_ms(&self, queue: &Queue) -> Option<u64> {
        let queue_id = QueueId::of(&queue.name);
        let of_queue = |(id, agent): &(&AgentId, &Agent)| {
            agent.session.is_some()
                && agent.last_service() == Some(queue.service.as_str())
                && self.containment.allows(queue_id, **id)
        };
        let mut soonest_ms = None;
        for (_, agent) in self.agents.iter().filter(of_queue) {
            let elapsed_ms = self.now.since(agent.exited_at?).as_ms();
            let rest_ms = self
                .usual_outage_ms
                .saturating_sub(elapsed_ms)
                .max(elapsed_ms / OVERDUE_OUTAGE_DIVISOR);
            soonest_ms = Some(soonest_ms.unwrap_or(u64::MAX).min(rest_ms));
        }
        soonest_ms
    }

    /// Notes how long an instance was gone.
    pub(super) fn note_outage(&mut self, outage: DurationMs) {
        self.usual_outage_ms = outage.as_ms();
    }
}
