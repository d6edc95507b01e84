//! Whether a job is taken in.
//!
//! Answers the load pattern of a long overload: more work comes than can be done. Whatever is
//! served late then displaces something that could have been prompt, so as many callers are served
//! if the surplus is rejected, and all of them promptly. A rejected caller learns at once when to
//! come back, instead of waiting for an acceptance that can't be kept.

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::Dispatcher;
use crate::estimate::ESTIMATE_MAY_BE_HIGH_BY;
use crate::instance::Agent;
use crate::job::{Policy, spec_chain_ms};
use crate::order::Urgency;
use crate::ranking::{Promise, Rank};

/// Why a job is rejected, before anything of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmitRefusal {
    /// How long the job would wait for room, in milliseconds.
    pub expected_wait_ms: u64,
    /// When the caller may come back, in milliseconds from now.
    pub retry_after_ms: u64,
}

impl Dispatcher {
    /// Whether a job of the queue can be served while its result is of use, and before its caller
    /// leaves, if it is known for how long that waits.
    ///
    /// # Errors
    ///
    /// [`AdmitRefusal`] when it would wait too long behind jobs that go first, or can't end in time.
    pub fn admit(
        &mut self,
        now: Instant,
        queue: &Queue,
        spec: &JobSpec,
        time_left: Option<DurationMs>,
    ) -> Result<(), AdmitRefusal> {
        self.advance(now);
        let policy = Policy::of(queue);
        let chain_ms = spec_chain_ms(spec);
        let slack_ms = policy.objective(chain_ms).as_ms().saturating_sub(chain_ms);
        let patience_ms = slack_ms as f64 * self.settings.admit_slack_share;
        let wait_ms = self.expected_wait_ms(&queue.service, policy.priority);
        let least_ms = wait_ms + chain_ms / ESTIMATE_MAY_BE_HIGH_BY;
        let hopeless = time_left.is_some_and(|left| least_ms > left.as_ms());
        match hopeless || wait_ms as f64 > patience_ms {
            false => Ok(()),
            true => Err(AdmitRefusal {
                expected_wait_ms: wait_ms,
                retry_after_ms: wait_ms.max(self.settings.retry_after_min_ms),
            }),
        }
    }

    /// How long new work of the given priority waits behind what goes first, here and at the
    /// instances, in milliseconds.
    fn expected_wait_ms(&self, service: &str, priority: u32) -> u64 {
        let level = Urgency {
            class: 0,
            priority,
            due_in_ms: 0,
        }
        .level();
        let own_service = |agent: &&Agent| {
            let instance = agent.instance.as_ref();
            instance.is_some_and(|instance| instance.service == service)
        };
        let agents = self.agents.values().filter(|agent| agent.takes_work());
        // An instance that gets no work has a short queue, which helps nobody.
        let sound = |agent: &&Agent| agent.health.admits(self.now, agent.runs.len());
        let agents: Vec<&Agent> = agents.filter(own_service).filter(sound).collect();
        // What this dispatcher can count on: its part of each instance.
        let share = |agent: &&Agent| {
            let capacity = agent.instance.as_ref().map_or(0, |i| i.capacity.cpu_milli);
            let owners = agent.room.map_or(1, |room| room.owners.max(1));
            capacity / u64::from(owners)
        };
        let share: u64 = agents.iter().map(share).sum();
        if share == 0 {
            // Without any instance the wait is not known, and instances may come any moment.
            return 0;
        }
        let ahead = |rank: &&Rank| rank.promise == Promise::Prompt && rank.priority <= priority;
        let here: u64 = self
            .ready
            .iter()
            .filter(ahead)
            .filter_map(|rank| self.jobs.get(&rank.job))
            .filter(|job| job.service == service)
            .map(|job| job.waiting_work())
            .sum();
        let nothing = Resources {
            cpu_milli: 1,
            ..Resources::default()
        };
        // Placement evens out the queues, and the tasks of a job go to several of them.
        let there = agents
            .iter()
            .map(|agent| agent.expected_wait_ms(&nothing, level));
        let mean = there.sum::<u64>() / agents.len().max(1) as u64;
        mean + here / share
    }
}
