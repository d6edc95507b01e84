//! Admission control for new jobs.
//!
//! During a long overload, more work arrives than the instances can run, and each job that is
//! served late displaces one that could have been on time. Rejecting the surplus serves as many
//! callers, all of them on time. A rejected caller learns at once when to retry, instead of waiting
//! for a result that comes too late.

use derive_more::Display;
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::Dispatcher;
use crate::admitted::AdmittedWork;
use crate::estimate::MAX_OVERESTIMATE_FACTOR;
use crate::instance::Agent;
use crate::job::{Policy, spec_critical_path_ms, spec_work};
use crate::order::{QueueId, Urgency};
use crate::ranking::{Rank, Timeliness};
use crate::retry_spread::RetrySpread;
use crate::size_refusal::{RelativeSize, SizeProfile};

/// Smallest share of the CPU that is assumed to be left beside more urgent work. The rate of that
/// work is an estimate, which may exceed the CPU for a moment.
const MIN_LEFT_SHARE: f64 = 0.35;

/// Why a job was rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RejectionCause {
    /// A job of the mean work of its queue would have been rejected too.
    #[display("wait")]
    Wait,
    /// The job needs more work than others of its queue, and only they may wait as long.
    #[display("size")]
    Size,
    /// The job can't end before its caller stops waiting.
    #[display("deadline")]
    Deadline,
    /// All instances of the service are evacuated.
    #[display("evacuated")]
    Evacuated,
}

/// Recent admission of a queue's jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionHistory {
    sizes: SizeProfile,
    retries: RetrySpread,
}

/// Rejection of a job that is expected to miss its objective or its caller's deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionError {
    /// How long the job would wait for capacity, in milliseconds.
    pub expected_wait_ms: u64,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Why the job was rejected.
    pub cause: RejectionCause,
    /// The job's size in comparison with its queue's recent jobs.
    pub size: RelativeSize,
}

impl Dispatcher {
    /// Decides whether to admit a job to the queue. `time_left` is how long its caller waits, if
    /// known.
    ///
    /// # Errors
    ///
    /// Returns an [`AdmissionError`] if the job would wait too long behind jobs that go first, or
    /// can't end before its caller stops waiting.
    pub fn admit(
        &mut self,
        now: Instant,
        queue: &Queue,
        spec: &JobSpec,
        time_left: Option<DurationMs>,
    ) -> Result<(), AdmissionError> {
        self.advance(now);
        if self.is_evacuated(&queue.service) {
            // The operator ends the evacuation at a time that isn't known here.
            return Err(AdmissionError {
                expected_wait_ms: self.settings.retry_after_min_ms,
                retry_after_ms: self.settings.retry_after_min_ms,
                cause: RejectionCause::Evacuated,
                size: RelativeSize::Usual,
            });
        }
        let policy = Policy::of(queue);
        let critical_path_ms = spec_critical_path_ms(spec);
        let slack_ms = policy
            .objective(critical_path_ms)
            .as_ms()
            .saturating_sub(critical_path_ms);
        let usual_wait_ms = slack_ms as f64 * self.admit_slack_share(queue);
        let most_wait_ms = slack_ms as f64 * self.settings.max_admit_slack_share;
        let wait_ms = self.expected_wait_ms(queue);
        let min_duration_ms = wait_ms + critical_path_ms / MAX_OVERESTIMATE_FACTOR;
        let misses_deadline = time_left.is_some_and(|left| min_duration_ms > left.as_ms());
        let work = spec_work(spec);
        let AdmissionHistory { sizes, retries } =
            self.histories.entry(queue.name.clone()).or_default();
        sizes.note_asked(work);
        let max_wait_ms = (usual_wait_ms * sizes.wait_factor(work)).min(most_wait_ms);
        let is_too_long = wait_ms as f64 > max_wait_ms;
        sizes.note_decision(work, !misses_deadline && !is_too_long);
        let cause = match (misses_deadline, is_too_long) {
            (false, false) => return Ok(()),
            (true, _) => RejectionCause::Deadline,
            (false, true) if wait_ms as f64 <= usual_wait_ms => RejectionCause::Size,
            (false, true) => RejectionCause::Wait,
        };
        let least_ms = wait_ms.max(self.settings.retry_after_min_ms);
        Err(AdmissionError {
            expected_wait_ms: wait_ms,
            retry_after_ms: retries.next_ms(least_ms, sizes.admitted_share()),
            cause,
            size: sizes.relative_size(work),
        })
    }

    /// Share of their slack that jobs of the queue may wait. It is smaller for a class between the
    /// most and the least urgent one while a less urgent class is admitted less often.
    fn admit_slack_share(&self, queue: &Queue) -> f64 {
        let admitted_share = |queue: &Queue| {
            let history = self.histories.get(&queue.name);
            history.map_or(1.0, |history| history.sizes.admitted_share())
        };
        let own_share = admitted_share(queue);
        let same_service = || {
            let queues = self.queues.values();
            queues.filter(|other| other.service == queue.service)
        };
        let is_middle = same_service().any(|other| other.priority < queue.priority);
        let displaces =
            |other: &Queue| other.priority > queue.priority && admitted_share(other) < own_share;
        match is_middle && same_service().any(displaces) {
            true => self.settings.admit_displacing_slack_share,
            false => self.settings.admit_slack_share,
        }
    }

    /// Adds a job's work to the admitted work of its service.
    pub(super) fn note_admitted(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let level = Urgency::of_new_work(job.priority).level();
        let work = job.waiting_work();
        let admitted = self
            .admitted
            .entry(job.service.clone())
            .or_insert_with(|| AdmittedWork::new(self.now));
        admitted.add(self.now, level, work);
    }

    /// Whether the service has instances and all of them are evacuated, so that nothing can start.
    fn is_evacuated(&self, service: &str) -> bool {
        let agents = self.agents.values().filter(|agent| agent.is_available());
        let mut agents = agents.filter(|agent| agent.serves(service)).peekable();
        agents.peek().is_some() && agents.all(Agent::is_evacuated)
    }

    /// Expected wait of new work of the given priority, in milliseconds. It covers the work that
    /// goes first in the dispatcher and in the queues of the instances, and more urgent work that
    /// arrives meanwhile.
    fn expected_wait_ms(&self, queue: &Queue) -> u64 {
        let (service, priority) = (queue.service.as_str(), queue.priority);
        let level = Urgency::of_new_work(priority).level();
        let own_service = |agent: &&Agent| agent.serves(service);
        let queue_id = QueueId::of(&queue.name);
        let allowed = |id: &AgentId| self.containment.allows(queue_id, *id);
        let agents = self.agents.iter().filter(|(id, _)| allowed(id));
        let agents = agents.map(|(_, agent)| agent);
        let agents = agents.filter(|agent| agent.accepts_work());
        // The short queue of an instance that receives no work must not lower the expected wait.
        let healthy = |agent: &&Agent| agent.health.admits(self.now, agent.runs.len());
        let agents: Vec<&Agent> = agents.filter(own_service).filter(healthy).collect();
        // CPU that this dispatcher can count on: its reported share of instances that are shared.
        let share = |agent: &&Agent| {
            let capacity = agent.instance.as_ref().map_or(0, |i| i.capacity.cpu_milli);
            agent.usable_share(agent.load.map_or(capacity, |load| load.share_cpu_milli))
        };
        let share = agents.iter().map(share).fold(0, u64::saturating_add);
        if share == 0 {
            // Without a known outage the wait is unknown, and an instance may join at any moment.
            return self.expected_outage_ms(queue).unwrap_or(0);
        }
        let goes_first =
            |rank: &&Rank| rank.timeliness == Timeliness::OnTime && rank.priority <= priority;
        let is_confined = self.containment.is_confined(queue_id);
        let local_work: u64 = self
            .ready
            .iter()
            .filter(goes_first)
            .filter_map(|rank| self.jobs.get(&rank.job))
            .filter(|job| job.service == service)
            .filter(|job| self.containment.is_confined(job.queue_id) == is_confined)
            .map(|job| job.waiting_work())
            .sum();
        let minimal_needs = Resources {
            cpu_milli: 1,
            ..Resources::default()
        };
        // The mean wait is used because placement balances the queues, and the tasks of a job are
        // spread over several of them.
        let instance_waits_ms = agents
            .iter()
            .map(|agent| agent.mean_wait_ms(&minimal_needs, level));
        let total_wait_ms = instance_waits_ms.fold(0, u64::saturating_add);
        let mean_wait_ms = total_wait_ms / agents.len().max(1) as u64;
        let more_urgent = self.admitted.get(service).map_or(0.0, |admitted| {
            admitted.more_urgent_cpu_milli(self.now, level)
        });
        let left_share = (1.0 - more_urgent / share as f64).max(MIN_LEFT_SHARE);
        (mean_wait_ms.saturating_add(local_work / share) as f64 / left_share) as u64
    }
}
