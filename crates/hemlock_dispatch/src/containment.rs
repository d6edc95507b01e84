//! Containment of queues whose tasks crash the instances that start them.
//!
//! Load pattern: a share of one queue's tasks crash any instance. Each of them is given up after
//! a few crashes, but more of them arrive than instances come back, so all other work is lost too.
//! The tasks of such a queue are confined to a few instances, which other queues then avoid. All
//! dispatchers rank the instances alike, so they reserve the same ones without a message.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use hemlock_jobs::prelude::AgentId;
use hemlock_types::time::{DurationMs, Instant};

/// Number of crashes of one task under strong suspicion that confine its queue.
const CONFINING_CRASHES: u32 = 2;
/// How long a queue stays confined after the last task that gave reason to.
const CONFINEMENT: DurationMs = DurationMs::new(5_000);
/// Divisor of a service's number of instances that gives the number of reserved ones.
const RESERVED_DIVISOR: usize = 4;

/// The confined queues of all services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Containment {
    /// Ends of the confinement by queue.
    until: HashMap<String, Instant>,
    /// Reserved agents by service; empty for a service whose only agent would be reserved.
    reserved: BTreeMap<String, BTreeSet<AgentId>>,
}

impl Containment {
    /// Whether any queue is confined.
    pub(crate) fn is_active(&self) -> bool {
        !self.until.is_empty()
    }

    /// Notes the number of strongly suspected crashes that a task of the queue now has. Returns
    /// whether this confines the queue, which was not confined before.
    pub(crate) fn note_crashes(&mut self, now: Instant, queue: &str, crashes: u32) -> bool {
        if crashes < CONFINING_CRASHES {
            return false;
        }
        let until = now + CONFINEMENT;
        self.until.insert(queue.to_owned(), until).is_none()
    }

    /// Ends the confinements whose time is over, and returns their queues.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<String> {
        let ended = self.until.extract_if(|_, until| *until <= now);
        ended.map(|(queue, _)| queue).collect()
    }

    /// Updates which of the agents of each service are reserved.
    pub(crate) fn update_reserved<'a>(&mut self, agents: impl Iterator<Item = (&'a str, AgentId)>) {
        let mut by_service: BTreeMap<&str, Vec<(u64, AgentId)>> = BTreeMap::new();
        for (service, agent) in agents {
            by_service
                .entry(service)
                .or_default()
                .push((rank(agent), agent));
        }
        let reserve = |(service, mut ranked): (&str, Vec<(u64, AgentId)>)| {
            ranked.sort_unstable();
            let count = match ranked.len() {
                // With a single agent, all queues share it.
                0 | 1 => 0,
                agents => agents.div_ceil(RESERVED_DIVISOR),
            };
            let reserved = ranked.into_iter().take(count).map(|(_, agent)| agent);
            (service.to_owned(), reserved.collect())
        };
        self.reserved = by_service.into_iter().map(reserve).collect();
    }

    /// Whether tasks of the queue may run at an agent of the service: confined ones only at reserved
    /// agents, others only elsewhere while any queue is confined.
    pub(crate) fn allows(&self, service: &str, queue: &str, agent: AgentId) -> bool {
        match self.reserved.get(service) {
            Some(reserved) if self.is_active() && !reserved.is_empty() => {
                reserved.contains(&agent) == self.is_confined(queue)
            }
            Some(_) | None => true,
        }
    }

    /// Whether the queue is confined.
    pub(crate) fn is_confined(&self, queue: &str) -> bool {
        self.until.contains_key(queue)
    }
}

/// Rank of an agent among those that are reserved, the same for each dispatcher.
fn rank(agent: AgentId) -> u64 {
    let mut hasher = DefaultHasher::new();
    agent.hash(&mut hasher);
    hasher.finish()
}
