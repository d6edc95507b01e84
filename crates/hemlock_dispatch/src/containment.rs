//! Containment of queues whose tasks crash the instances that start them.
//!
//! Load pattern: a share of one queue's tasks crash any instance. Each of them is given up after
//! a few crashes, but more of them arrive than instances come back, so all other work is lost too.
//! The tasks of such a queue are confined to a few instances, which other queues then avoid.
//!
//! All dispatchers see the same evidence and rank the instances alike, so they confine the same
//! queues to the same instances without a message between them. A queue that is confined by mistake
//! is released soon, because its instances go on without a crash.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use hemlock_jobs::prelude::{AgentId, JobId, TaskKey};
use hemlock_types::time::{DurationMs, Instant};

use crate::order::QueueId;

/// Number of instances that must crash under strong suspicion of one task to confine its queue.
const CONFINING_CRASHES: usize = 2;
/// How long a suspicion is remembered.
const EVIDENCE_RETENTION: DurationMs = DurationMs::new(10_000);
/// How long the instances of a confined queue must go on without a crash to end the confinement.
const CONFINEMENT: DurationMs = DurationMs::new(2_000);
/// Divisor of a service's number of instances that gives the number reserved for a confined queue.
const RESERVED_DIVISOR: usize = 4;

/// The strong suspicion of a task at the crash of an instance.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    at: Instant,
    task: TaskKey,
    agent: AgentId,
}

/// The confined queues of all services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Containment {
    /// Recent evidence, oldest first.
    evidence: VecDeque<Evidence>,
    /// Ends of the confinement by queue.
    until: BTreeMap<QueueId, Instant>,
    /// The agents that are reserved for each confined queue.
    reserved: BTreeMap<QueueId, BTreeSet<AgentId>>,
    /// The agents that unconfined queues avoid.
    avoided: BTreeSet<AgentId>,
}

impl Containment {
    /// Whether any queue is confined.
    pub(crate) fn is_active(&self) -> bool {
        !self.until.is_empty()
    }

    /// Notes that an agent's instance crashed under strong suspicion of the task. Returns whether
    /// this confines the queue, which was not confined before.
    pub(crate) fn note_suspect(
        &mut self,
        now: Instant,
        queue: QueueId,
        task: TaskKey,
        agent: AgentId,
    ) -> bool {
        let is_old = |evidence: &Evidence| now > evidence.at + EVIDENCE_RETENTION;
        while self.evidence.front().is_some_and(is_old) {
            self.evidence.pop_front();
        }
        let agents = self.suspecting_agents(task);
        if agents.contains(&agent) {
            return false;
        }
        self.evidence.push_back(Evidence {
            at: now,
            task,
            agent,
        });
        let is_at_reserved = || {
            let reserved = self.reserved.get(&queue);
            reserved.is_some_and(|reserved| reserved.contains(&agent))
        };
        match agents.len() + 1 >= CONFINING_CRASHES || is_at_reserved() {
            true => self.until.insert(queue, now + CONFINEMENT).is_none(),
            false => false,
        }
    }

    /// The agents whose instances crashed lately under strong suspicion of the task.
    fn suspecting_agents(&self, task: TaskKey) -> BTreeSet<AgentId> {
        let of_task = self.evidence.iter();
        let of_task = of_task.filter(|evidence| evidence.task == task);
        of_task.map(|evidence| evidence.agent).collect()
    }

    /// Whether several instances have crashed lately under strong suspicion of one task of the job.
    pub(crate) fn is_crashing(&self, now: Instant, job: JobId) -> bool {
        let recent = self.evidence.iter();
        let mut recent = recent.filter(|evidence| now <= evidence.at + EVIDENCE_RETENTION);
        recent.any(|evidence| {
            let task = evidence.task;
            task.job == job && self.suspecting_agents(task).len() >= CONFINING_CRASHES
        })
    }

    /// Ends the confinements whose time is over, and returns their queues. Time in which all
    /// reserved instances of a queue are gone doesn't count.
    pub(crate) fn expire(
        &mut self,
        now: Instant,
        is_present: impl Fn(AgentId) -> bool,
    ) -> Vec<QueueId> {
        for (queue, until) in &mut self.until {
            let reserved = self.reserved.get(queue);
            let mut agents = reserved.into_iter().flatten();
            if reserved.is_some_and(|reserved| !reserved.is_empty())
                && !agents.any(|agent| is_present(*agent))
            {
                *until = (*until).max(now + CONFINEMENT);
            }
        }
        let ended = self.until.extract_if(.., |_, until| *until <= now);
        ended.map(|(queue, _)| queue).collect()
    }

    /// Updates the reserved agents from all agents and from the services of all queues.
    pub(crate) fn update_reserved(
        &mut self,
        agents: &BTreeMap<&str, Vec<AgentId>>,
        service_of: impl Fn(QueueId) -> Option<String>,
    ) {
        self.reserved.clear();
        self.avoided.clear();
        for queue in self.until.keys().copied() {
            let service = service_of(queue);
            let of_service = service.and_then(|service| agents.get(service.as_str()));
            let of_service = of_service.map_or(&[][..], Vec::as_slice);
            let count = match of_service.len() {
                // With a single agent, all queues share it.
                0 | 1 => 0,
                agents => agents.div_ceil(RESERVED_DIVISOR),
            };
            let free = of_service
                .iter()
                .filter(|agent| !self.avoided.contains(agent));
            let mut ranked: Vec<(u64, AgentId)> =
                free.map(|agent| (rank(queue, *agent), *agent)).collect();
            ranked.sort_unstable();
            let chosen = ranked.into_iter().take(count).map(|(_, agent)| agent);
            let chosen: BTreeSet<AgentId> = chosen.collect();
            self.avoided.extend(&chosen);
            self.reserved.insert(queue, chosen);
        }
        for of_service in agents.values() {
            // Unconfined queues keep some instances in any case.
            if of_service.iter().all(|agent| self.avoided.contains(agent)) {
                for agent in of_service {
                    self.avoided.remove(agent);
                }
            }
        }
    }

    /// Whether tasks of the queue may run at an agent.
    pub(crate) fn allows(&self, queue: QueueId, agent: AgentId) -> bool {
        match self.reserved.get(&queue) {
            Some(reserved) if !reserved.is_empty() => reserved.contains(&agent),
            Some(_) | None => !self.avoided.contains(&agent),
        }
    }

    /// Whether the queue is confined.
    pub(crate) fn is_confined(&self, queue: QueueId) -> bool {
        self.until.contains_key(&queue)
    }
}

/// Rank of an agent among those that may be reserved for a queue, the same for each dispatcher.
fn rank(queue: QueueId, agent: AgentId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (queue, agent).hash(&mut hasher);
    hasher.finish()
}
