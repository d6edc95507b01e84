//! What time alone brings about.

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::Dispatcher;

/// Time between two looks at all running tasks.
const SCAN_PERIOD: DurationMs = DurationMs::new(100);
/// Multiple of its expected duration after which a run is taken to stand still.
const STALL_FACTOR: u64 = 6;
/// Time that every run gets at least before it is taken to stand still, in milliseconds.
const STALL_MIN_MS: u64 = 600;
/// Setbacks of one task after which its own work is taken to be the cause.
const MAX_STALL_STOPS: u32 = 2;

impl Dispatcher {
    /// Takes note of the time.
    pub(super) fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.update_ranks();
        self.end_takeover_if_done();
        if self.now >= self.next_scan {
            self.next_scan = self.now + SCAN_PERIOD;
            self.expire_agents();
            self.stop_stalled_runs();
            self.note_ended_ejections();
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

    /// Gives up agents whose runs can't be alive any more.
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
                agent.session = None;
                agent.adopted = false;
                agent.instance = None;
            }
            self.lose_runs(id);
        }
    }

    /// Stops runs that take so long that they must be standing still.
    fn stop_stalled_runs(&mut self) {
        let now = self.now;
        let mut stalled = Vec::new();
        for (id, agent) in &self.agents {
            for (task, run) in &agent.runs {
                let patience_ms = (run.expected_ms * STALL_FACTOR).max(STALL_MIN_MS);
                let late = now > run.ordered_at + DurationMs::new(patience_ms);
                if late && !run.stopping && agent.session.is_some() {
                    stalled.push((*id, *task));
                }
            }
        }
        for (id, task) in stalled {
            let job = self.jobs.get_mut(&task.job);
            let setbacks = job
                .and_then(|job| job.task_mut(task))
                .map_or(0, |task| task.setbacks);
            if setbacks >= MAX_STALL_STOPS {
                continue;
            }
            self.note_setback(id, task);
            if let Some(agent) = self.agents.get_mut(&id) {
                agent.health.note_bad(now);
                agent.stop_run(task);
            }
        }
    }

    /// Looks for room again once an ejected instance may be tried.
    fn note_ended_ejections(&mut self) {
        let ended = |until: Instant| until <= self.now && self.now < until + SCAN_PERIOD + SCAN_PERIOD;
        let mut agents = self.agents.values();
        if agents.any(|agent| agent.health.ejected_until().is_some_and(ended)) {
            self.placement_due = true;
        }
    }
}
