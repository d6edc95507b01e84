//! State changes caused by the passage of time.

use hemlock_jobs::prelude::{AgentId, RunNumber, TaskKey};
use hemlock_types::time::{DurationMs, Instant};

use super::Dispatcher;

/// Time between two checks for expired agents and ended ejections.
const SCAN_PERIOD: DurationMs = DurationMs::new(100);

/// An agent that was silent for so long that none of its runs can be alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredAgent {
    /// The agent.
    pub agent: AgentId,
    /// Time since its authority was last confirmed.
    pub unconfirmed: DurationMs,
    /// Its runs, which are taken for lost.
    pub runs: Vec<(TaskKey, RunNumber)>,
}

impl Dispatcher {
    /// Advances the dispatcher's clock and applies what became due.
    pub(super) fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.end_delays();
        self.update_ranks();
        self.end_takeover_if_done();
        if self.now >= self.next_scan {
            self.next_scan = self.now + SCAN_PERIOD;
            self.expire_agents();
            self.note_ended_ejections();
            self.expire_confinements();
        }
    }

    fn update_ranks(&mut self) {
        while let Some((at, id)) = self.rank_changes.first().copied() {
            if at >= self.now {
                break;
            }
            self.rank_changes.pop_first();
            let waits = self.jobs.get(&id).is_some_and(|job| job.rank.is_some());
            if waits {
                self.rerank(id);
            }
        }
    }

    /// Ends the sessions of silent agents whose runs can't be alive any more, and requeues the
    /// tasks.
    fn expire_agents(&mut self) {
        let expiry = self.settings.expiry();
        let is_over = |confirmed: Instant| self.now >= confirmed + expiry;
        let over: Vec<AgentId> = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.runs.is_empty() && is_over(agent.confirmed))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(agent) = self.agents.get_mut(&id) {
                let runs = agent.runs.iter();
                self.expired_agents.push(ExpiredAgent {
                    agent: id,
                    unconfirmed: self.now.since(agent.confirmed),
                    runs: runs.map(|(task, run)| (*task, run.number)).collect(),
                });
                agent.session = None;
                agent.adopted = false;
                agent.instance = None;
            }
            self.requeue_runs(id);
        }
    }

    /// Takes the agents that have expired since the last call, for logs.
    pub fn take_expired_agents(&mut self) -> Vec<ExpiredAgent> {
        std::mem::take(&mut self.expired_agents)
    }

    /// Requests a placement pass when an ejection has ended.
    fn note_ended_ejections(&mut self) {
        let ended =
            |until: Instant| until <= self.now && self.now < until + SCAN_PERIOD + SCAN_PERIOD;
        let mut agents = self.agents.values();
        if agents.any(|agent| agent.health.ejected_until().is_some_and(ended)) {
            self.placement_due = true;
        }
    }
}
