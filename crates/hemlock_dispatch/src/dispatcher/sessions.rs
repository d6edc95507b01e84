//! Agents that come, tell what runs, change their instance, and go.

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::Dispatcher;
use crate::instance::{Agent, Run};
use crate::job::TaskState;
use crate::order::{EndVerdict, Inventory, Room, RunReport, SessionId, StopOrder};

/// What an agent is to do after it has told what runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Adoption {
    /// Runs that nobody wants.
    pub stops: Vec<StopOrder>,
    /// What is to be done with each end that it told of.
    pub ends: Vec<(RunReport, EndVerdict)>,
}

impl Dispatcher {
    /// Begins a session with an agent. Earlier sessions of it are void.
    pub fn register(&mut self, now: Instant, id: AgentId) -> SessionId {
        self.advance(now);
        self.next_session += 1;
        let session = SessionId(self.next_session);
        let agent = self.agents.entry(id).or_insert_with(|| Agent::new(now));
        agent.session = Some(session);
        agent.adopted = false;
        agent.room = None;
        agent.starts.clear();
        agent.stops.clear();
        session
    }

    /// Takes over what the agent says runs at its instance.
    ///
    /// Whatever was ordered in earlier sessions and isn't named is over: the instance refuses all
    /// orders of earlier sessions. Returns `None` when the session is void.
    pub fn adopt(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        inventory: &Inventory,
    ) -> Option<Adoption> {
        self.advance(now);
        let agent = self.in_session(id, session)?;
        agent.adopted = true;
        agent.confirmed = now;
        agent.instance.clone_from(&inventory.instance);
        let known: Vec<(TaskKey, RunNumber)> = agent
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        let mut adoption = Adoption::default();
        for report in &inventory.runs {
            match report.end {
                None => adoption.stops.extend(self.adopt_run(id, *report)),
                Some(_) => {
                    self.adopt_ended(id, *report);
                    let verdict = self.run_ended(id, *report);
                    adoption.ends.push((*report, verdict));
                }
            }
        }
        let named = |task: TaskKey, run: RunNumber| {
            let mut runs = inventory.runs.iter();
            runs.any(|report| report.task == task && report.run == run)
        };
        for (task, run) in known {
            if !named(task, run) {
                self.run_is_lost(id, task, run);
            }
        }
        self.unheard.remove(&id);
        self.end_takeover_if_done();
        self.placement_due = true;
        Some(adoption)
    }

    /// Takes over a run that goes on, or says that it is to be stopped. Either way it takes room.
    fn adopt_run(&mut self, id: AgentId, report: RunReport) -> Option<StopOrder> {
        let (task, number) = (report.task, report.run);
        let wanted = self.expects_run(id, report);
        let now = self.now;
        let spec = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let needs = spec.map(|step| step.spec.needs);
        let expected_ms = spec.map_or(0, |step| step.spec.estimate_ms);
        let agent = self.agents.get_mut(&id)?;
        // A run whose job is gone may take all that the instance has, until it is over.
        let all = agent.instance.as_ref().map(|instance| instance.capacity);
        let needs = needs.or(all).unwrap_or_default();
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
        let job = self.jobs.get_mut(&task.job)?;
        job.started = true;
        job.set_state(task, TaskState::Running(id, number));
        if let Some(task) = job.task_mut(task) {
            task.last_run = task.last_run.max(number);
        }
        None
    }

    /// Notes a run that has ended while no leader knew of it.
    fn adopt_ended(&mut self, id: AgentId, report: RunReport) {
        if !self.expects_run(id, report) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&report.task.job) {
            job.started = true;
            job.set_state(report.task, TaskState::Running(id, report.run));
            if let Some(task) = job.task_mut(report.task) {
                task.last_run = task.last_run.max(report.run);
            }
        }
    }

    /// Whether this run of the task is the one that should be, or may be as far as is known.
    fn expects_run(&mut self, id: AgentId, report: RunReport) -> bool {
        let job = self.jobs.get_mut(&report.task.job);
        let state = job.and_then(|job| job.task_mut(report.task).map(|task| task.state));
        match state {
            Some(TaskState::Unknown) => true,
            Some(TaskState::Running(agent, run)) => agent == id && run == report.run,
            Some(TaskState::Waiting | TaskState::Ending(_) | TaskState::Done) | None => false,
        }
    }

    /// Notes that the agent's authority was confirmed just now; `false` when its session is void.
    pub fn confirm(&mut self, now: Instant, id: AgentId, session: SessionId) -> bool {
        self.advance(now);
        let Some(agent) = self.in_session(id, session) else {
            return false;
        };
        agent.confirmed = now;
        true
    }

    /// Notes that the connection of a session has closed. Its runs may go on for a while.
    pub fn close_session(&mut self, now: Instant, id: AgentId, session: SessionId) {
        self.advance(now);
        if let Some(agent) = self.in_session(id, session) {
            agent.session = None;
            agent.adopted = false;
            agent.starts.clear();
            agent.stops.clear();
        }
    }

    /// Notes what the agent says of its instance, and whether everything that ran there before is
    /// over. The agent reports each of those runs by itself: an order that crossed this message may
    /// have started others since.
    pub fn instance_changed(
        &mut self,
        now: Instant,
        id: AgentId,
        session: SessionId,
        instance: Option<InstanceReport>,
        runs_lost: bool,
    ) {
        self.advance(now);
        let Some(agent) = self.in_session(id, session) else {
            return;
        };
        agent.instance = instance;
        if runs_lost {
            agent.health = Default::default();
        }
        self.placement_due = true;
    }

    /// Notes what an instance has left for all that order starts there.
    pub fn room_reported(&mut self, now: Instant, id: AgentId, session: SessionId, room: Room) {
        self.advance(now);
        if let Some(agent) = self.in_session(id, session) {
            let percent = f64::from(room.slowest_percent);
            agent.health.note_slowest(percent / 100.0);
            agent.room = Some(room);
            self.placement_due = true;
        }
    }

    /// The runs that are believed to be at an agent's instance.
    pub fn runs_of(&self, id: AgentId) -> Vec<(TaskKey, RunNumber, Resources)> {
        let agent = self.agents.get(&id);
        let runs = agent.into_iter().flat_map(|agent| &agent.runs);
        runs.map(|(task, run)| (*task, run.number, run.needs))
            .collect()
    }

    /// Returns every run of an agent to the waiting tasks, because none can be alive.
    pub(super) fn lose_runs(&mut self, id: AgentId) {
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
            self.run_is_lost(id, task, run);
        }
    }

    /// Ends the time in which agents of earlier leaders may run unknown tasks.
    pub(super) fn end_takeover_if_done(&mut self) {
        let over = match self.takeover_until {
            Some(until) => self.unheard.is_empty() || self.now >= until,
            None => false,
        };
        if !over {
            return;
        }
        self.takeover_until = None;
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                release_unknown_tasks(id, job);
            }
            self.rerank(id);
        }
    }

    /// Agents of earlier leaders that were not heard within the time in which they could act.
    pub fn take_missing_agents(&mut self) -> Vec<AgentId> {
        match self.takeover_until {
            None => std::mem::take(&mut self.unheard).into_iter().collect(),
            Some(_) => Vec::new(),
        }
    }
}

fn release_unknown_tasks(id: JobId, job: &mut crate::job::Job) {
    let steps = job.steps.iter().enumerate();
    let unknown: Vec<TaskKey> = steps
        .flat_map(|(step, tasks)| {
            let tasks = tasks.tasks.iter().enumerate();
            let unknown = tasks.filter(|(_, task)| task.state == TaskState::Unknown);
            unknown.map(move |(index, _)| TaskKey {
                job: id,
                occurrence: 0,
                step: u16::try_from(step).unwrap_or(u16::MAX),
                index: u16::try_from(index).unwrap_or(u16::MAX),
            })
        })
        .collect();
    for task in unknown {
        job.set_state(task, TaskState::Waiting);
    }
}
