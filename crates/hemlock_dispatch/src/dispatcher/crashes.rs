//! Tasks whose instances have crashed.

use hemlock_jobs::prelude::*;

use super::Dispatcher;

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
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.avoid_agent = Some(id);
            task.strong_crashes += u32::from(suspicion == Suspicion::Strong);
        }
    }
}
