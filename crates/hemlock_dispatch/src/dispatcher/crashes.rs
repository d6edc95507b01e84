//! Instances that crash, and the tasks that may be the cause.

use hemlock_jobs::prelude::*;
use hemlock_types::time::DurationMs;

use super::Dispatcher;
use crate::instance::Agent;

/// Divisor of the time since a crash that gives the expected rest of an outage that lasts longer
/// than the one before.
const OVERDUE_OUTAGE_DIVISOR: u64 = 4;

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
    /// another instance if possible, and confines the task's queue if the task is the cause.
    pub(super) fn note_crash(&mut self, id: AgentId, key: TaskKey, suspicion: Suspicion) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let queue = job.queue.clone();
        let Some(task) = job.task_mut(key) else {
            return;
        };
        task.avoid_agent = Some(id);
        task.strong_crashes += u32::from(suspicion == Suspicion::Strong);
        let crashes = task.strong_crashes;
        if self.containment.note_crashes(self.now, &queue, crashes) {
            self.update_reserved_agents();
            let change = ConfinementChange::Confined { queue, task: key };
            self.confinement_changes.push(change);
        }
    }

    /// Ends confinements whose time is over.
    pub(super) fn expire_confinements(&mut self) {
        if !self.containment.is_active() {
            return;
        }
        self.update_reserved_agents();
        for queue in self.containment.expire(self.now) {
            self.confinement_changes
                .push(ConfinementChange::Released { queue });
            self.placement_due = true;
        }
    }

    /// Takes the changes of confined queues since the last call, for logs and metrics.
    pub fn take_confinement_changes(&mut self) -> Vec<ConfinementChange> {
        std::mem::take(&mut self.confinement_changes)
    }

    fn update_reserved_agents(&mut self) {
        let agents = self.agents.iter();
        let agents = agents.filter(|(_, agent)| agent.session.is_some());
        let of_service = agents.filter_map(|(id, agent)| Some((agent.last_service()?, *id)));
        self.containment.update_reserved(of_service);
    }

    /// Whether a task of the job may be placed at the agent, as far as crashes are concerned. Of a
    /// confined queue, each instance runs the suspected tasks of one job at a time: a crash then
    /// shows which one is the cause.
    pub(super) fn allows_placement(
        &self,
        job: &crate::job::Job,
        key: TaskKey,
        id: AgentId,
    ) -> bool {
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
        self.containment.allows(&job.service, &job.queue, id)
            && !(self.containment.is_confined(&job.queue)
                && is_suspect(&key)
                && runs_other_suspect())
    }

    /// Expected time until an instance is back, if all instances that could run the queue's tasks
    /// are known to have exited; `None` if any is there, or if nothing is known.
    pub(super) fn expected_outage_ms(&self, queue: &Queue) -> Option<u64> {
        let of_queue = |(id, agent): &(&AgentId, &Agent)| {
            agent.session.is_some()
                && agent.last_service() == Some(queue.service.as_str())
                && self.containment.allows(&queue.service, &queue.name, **id)
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
