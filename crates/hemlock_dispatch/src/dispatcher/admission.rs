//! Whether a job is taken in.
//!
//! Answers the load pattern of a long overload: more work waits than can be done while its result
//! is of use. A caller then fares better with an immediate rejection and a time to come back than
//! with an acceptance that can't be kept.

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::Dispatcher;
use crate::job::{Policy, spec_chain_ms};

/// Why a job is rejected, before anything of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmitRefusal {
    /// How long the job would wait for room, in milliseconds.
    pub expected_wait_ms: u64,
    /// When the caller may come back, in milliseconds from now.
    pub retry_after_ms: u64,
}

impl Dispatcher {
    /// Whether a job of the queue can be served while its result is of use.
    ///
    /// # Errors
    ///
    /// [`AdmitRefusal`] when it would wait too long behind jobs that go first.
    pub fn admit(&mut self, now: Instant, queue: &Queue, spec: &JobSpec) -> Result<(), AdmitRefusal> {
        self.advance(now);
        let policy = Policy::of(queue);
        let chain_ms = spec_chain_ms(spec);
        let objective = policy.objective(chain_ms);
        let useful_ms = objective.as_ms() as f64 * self.settings.useless_after_objectives;
        let wait_ms = self.expected_wait(&queue.service, policy.priority).as_ms();
        match (wait_ms + chain_ms) as f64 > useful_ms {
            false => Ok(()),
            true => Err(AdmitRefusal {
                expected_wait_ms: wait_ms,
                retry_after_ms: wait_ms.max(self.settings.retry_after_min_ms),
            }),
        }
    }

    /// How long new work of the given priority waits behind what goes first.
    fn expected_wait(&self, service: &str, priority: u32) -> DurationMs {
        let ahead: u64 = self
            .ready
            .iter()
            .filter(|rank| rank.priority <= priority)
            .filter_map(|rank| self.jobs.get(&rank.job))
            .filter(|job| job.service == service)
            .map(|job| job.waiting_work())
            .sum();
        match self.capacity_cpu_milli(service) {
            // Without any instance the wait is not known, and instances may come any moment.
            0 => DurationMs::new(0),
            capacity => DurationMs::new(ahead / capacity),
        }
    }

    fn capacity_cpu_milli(&self, service: &str) -> u64 {
        let agents = self.agents.values().filter(|agent| agent.takes_work());
        agents
            .filter_map(|agent| agent.instance.as_ref())
            .filter(|instance| instance.service == service)
            .map(|instance| instance.capacity.cpu_milli)
            .sum()
    }
}
