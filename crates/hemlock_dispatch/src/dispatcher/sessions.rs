//! Agent sessions: registration, adoption of running tasks, and instance changes.

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;
use super::takeover::RunStanding;
use crate::instance::{Agent, Run};
use crate::order::{EndAction, Inventory, LoadReport, RunReport, SessionId, StopOrder};

/// The dispatcher's answer to an agent's inventory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Adoption {
    /// Runs to stop because they are not expected.
    pub stops: Vec<StopOrder>,
    /// The action for each end that the inventory reported.
    pub ends: Vec<(RunReport, EndAction)>,
}

impl Dispatcher {
    /// Starts a session with an agent and voids its earlier sessions.
    pub fn register(&mut self, now: Instant, id: AgentId) -> SessionId {
        self.advance(now);
        self.next_session += 1;
        let session = SessionId(self.next_session);
        let agent = self.agents.entry(id).or_insert_with(|| Agent::new(now));
        agent.session = Some(session);
        agent.adopted = false;
        agent.retiring = false;
        agent.load = None;
        agent.withheld_percent = 0;
        agent.starts.clear();
        agent.stops.clear();
        session
    }

    /// Adopts the runs that the agent reports from its instance.
    ///
    /// Runs ordered in earlier sessions that the inventory doesn't name are over, because the
    /// instance refuses all orders of earlier sessions. Returns `None` if the session is void.
    pub fn adopt(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        inventory: &Inventory,
    ) -> Option<Adoption> {
        self.advance(now);
        self.agent_in_session(id, session)?;
        let agent = self.agents.get_mut(&id)?;
        agent.adopted = true;
        agent.confirmed = now;
        let outage = agent.set_instance(now, inventory.instance.clone());
        agent.note_evacuations(&self.evacuations);
        let known: Vec<(TaskKey, RunNumber)> = agent
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        outage
            .into_iter()
            .for_each(|outage| self.note_outage(outage));
        let mut adoption = Adoption::default();
        for report in &inventory.runs {
            let is_latest = inventory.proves_latest(report);
            match report.end {
                None => adoption
                    .stops
                    .extend(self.adopt_run(id, *report, is_latest)),
                Some(_) => {
                    let action = self.run_ended(id, *report, is_latest);
                    adoption.ends.push((*report, action));
                }
            }
        }
        let is_reported = |task: TaskKey, run: RunNumber| {
            let mut runs = inventory.runs.iter();
            runs.any(|report| report.task == task && report.run == run)
        };
        for (task, run) in known {
            if !is_reported(task, run) {
                self.run_lost(id, task, run);
            }
        }
        self.awaiting_inventory.remove(&id);
        self.end_takeover_if_done();
        self.decide_deferred(&mut adoption.ends);
        self.placement_due = true;
        Some(adoption)
    }

    /// Adopts an active run, or returns an order to stop it if it is not expected. The run occupies
    /// capacity in both cases.
    fn adopt_run(&mut self, id: AgentId, report: RunReport, is_latest: bool) -> Option<StopOrder> {
        let (task, number) = (report.task, report.run);
        let wanted = self.run_standing(id, &report) != RunStanding::Outdated;
        let now = self.now;
        let spec = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let needs = spec.map(|step| step.spec.needs);
        let expected_ms = spec.map_or(0, |step| step.spec.estimate_ms);
        let agent = self.agents.get_mut(&id)?;
        // The needs of a run whose job is gone are unknown, so it reserves the whole instance.
        let whole_instance = agent.instance.as_ref().map(|instance| instance.capacity);
        let needs = needs.or(whole_instance).unwrap_or_default();
        let known = agent.runs.get(&task).filter(|run| run.number == number);
        let run = known.copied().unwrap_or(Run {
            number,
            needs,
            ordered_at: now,
            expected_ms,
            stopping: false,
            order: 0,
            level: 0,
        });
        let stopping = !wanted;
        agent.add_run(task, Run { stopping, ..run });
        if stopping {
            return Some(StopOrder { task, run: number });
        }
        self.adopt_latest(id, &report, is_latest);
        None
    }

    /// Records that the agent's authority was confirmed now. Returns `false` if the session is
    /// void.
    pub fn confirm(&mut self, now: Instant, id: AgentId, session: SessionId) -> bool {
        self.advance(now);
        let Some(agent) = self.agent_in_session(id, session) else {
            return false;
        };
        agent.confirmed = now;
        true
    }

    /// Sets whether an agent gets no more starts. Its runs continue.
    pub fn set_retiring(&mut self, id: AgentId, retiring: bool) {
        if let Some(agent) = self.agents.get_mut(&id) {
            self.placement_due |= agent.retiring != retiring;
            agent.retiring = retiring;
        }
    }

    /// Whether an agent gets no more starts and none of its runs may be left.
    pub fn is_retired(&self, id: AgentId) -> bool {
        self.agents
            .get(&id)
            .is_some_and(|agent| agent.retiring && agent.runs.is_empty())
    }

    /// Closes a session whose connection is gone. Its runs may continue until their leases expire.
    pub fn close_session(&mut self, now: Instant, id: AgentId, session: SessionId) {
        self.advance(now);
        if let Some(agent) = self.agent_in_session(id, session) {
            agent.session = None;
            agent.adopted = false;
            agent.starts.clear();
            agent.stops.clear();
        }
    }

    /// Updates an agent's instance. `runs_lost` says that all earlier runs there are over.
    ///
    /// This removes no runs: the agent reports the end of each one separately, and an order that
    /// crossed this message may have started others since.
    pub fn instance_changed(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        instance: Option<InstanceReport>,
        runs_lost: bool,
    ) {
        self.advance(now);
        if self.agent_in_session(id, session).is_none() {
            return;
        }
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        let outage = agent.set_instance(now, instance);
        agent.note_evacuations(&self.evacuations);
        if runs_lost {
            agent.forget_runs();
        }
        outage
            .into_iter()
            .for_each(|outage| self.note_outage(outage));
        self.placement_due = true;
    }

    /// Records a load report of an instance that several dispatchers share. Returns whether its figures
    /// can be used; otherwise the report before stays in force.
    pub fn load_reported(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        load: LoadReport,
    ) -> bool {
        self.advance(now);
        if !load.is_usable() {
            return false;
        }
        if let Some(agent) = self.agent_in_session(id, session) {
            let percent = f64::from(load.slowest_percent);
            agent.health.note_slowest_running(percent / 100.0);
            agent.withheld_percent = load.withheld_percent;
            agent.load = Some(load);
            agent.load_at = now;
            self.placement_due = true;
        }
        true
    }

    /// Records which percentage of the instance's capacity gets no new starts. Load reports carry it
    /// as well.
    pub fn set_withheld(&mut self, id: AgentId, session: SessionId, withheld_percent: u32) {
        if let Some(agent) = self.agent_in_session(id, session) {
            let changed = agent.withheld_percent != withheld_percent;
            agent.withheld_percent = withheld_percent;
            self.placement_due |= changed;
        }
    }

    /// The runs that may be at an agent's instance, with the capacity they occupy.
    pub fn runs_of(&self, id: AgentId) -> Vec<(TaskKey, RunNumber, Resources)> {
        let agent = self.agents.get(&id);
        let runs = agent.into_iter().flat_map(|agent| &agent.runs);
        runs.map(|(task, run)| (*task, run.number, run.needs))
            .collect()
    }

    /// Requeues the tasks of all runs of an agent, because none of the runs can be alive.
    pub(super) fn requeue_runs(&mut self, id: AgentId) {
        let Some(agent) = self.agents.get_mut(&id) else {
            return;
        };
        agent.starts.clear();
        agent.stops.clear();
        let runs: Vec<(TaskKey, RunNumber)> = agent
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        for (task, run) in runs {
            self.run_lost(id, task, run);
        }
    }
}
