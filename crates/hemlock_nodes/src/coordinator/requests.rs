//! Handling of requests received over the wire.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::RefusedStart;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::oneshot;
use tracing::{debug, info};

use super::control::Control;
use super::waiters::{AnswerGroup, CommandWaiter, ReadWaiter, reply};
use super::watchers::WatchedVersions;
use crate::message::{
    CallerAction, CallerAnswer, CallerRequest, Rejection, Reply, Report, Request,
};

/// Retry delay for callers while no configuration is in force, in milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 1_000;

impl Control {
    pub(super) fn handle_request(
        &mut self,
        peer: Peer,
        request: Request,
        answer: oneshot::Sender<Reply>,
    ) {
        match (request, peer.role) {
            (Request::WhoLeads, _) => reply(answer, self.who_leads()),
            (Request::Call(call), Role::Entry) => self.handle_call(call, answer),
            (Request::Ping(ping), Role::Entry | Role::Agent) => {
                self.read(ReadWaiter::Ping(ping, answer));
            }
            (
                Request::Watch {
                    configuration,
                    agents,
                    evacuations,
                },
                Role::Entry,
            ) => {
                let held = WatchedVersions {
                    configuration,
                    agents,
                    evacuations,
                };
                match self.dispatcher.is_some() {
                    true => self.watchers.add(self.now, held, answer),
                    false => reply(answer, Reply::NotLeader),
                }
            }
            (Request::Register(agent), Role::Agent) => {
                self.handle_registration(peer.connection, agent, answer);
            }
            (Request::Adopt(agent, session, inventory), Role::Agent) => {
                self.adopt(agent, session, &inventory, answer);
            }
            (Request::Report(agent, session, report), Role::Agent) => {
                self.handle_report(agent, session, &report, answer);
            }
            (Request::InstanceChanged(agent, session, instance, runs_lost), Role::Agent) => {
                self.instance_changed(agent, session, instance, runs_lost, answer);
            }
            (Request::Evacuation(change), Role::Operator) => {
                self.change_evacuations(change, answer);
            }
            (Request::Evacuations, Role::Operator) => self.read(ReadWaiter::Evacuations(answer)),
            // The service handles consensus messages itself, and peers of other roles may not send
            // the remaining requests.
            (_, _) => reply(answer, Reply::NotLeader),
        }
    }

    fn who_leads(&self) -> Reply {
        let status = self.quorum.status();
        Reply::Leads {
            here: self.has_leader_lease(),
            leader: status.leader,
            members: status.members.iter().map(|(id, _)| id).collect(),
        }
    }

    // Callers.

    fn handle_call(&mut self, call: CallerRequest, answer: oneshot::Sender<Reply>) {
        if self.dispatcher.is_none() {
            reply(answer, Reply::NotLeader);
            return;
        }
        match self.decide_call(call) {
            Decision::Known(known) => self.read(ReadWaiter::Known(known, answer)),
            Decision::Propose(command) => self.propose(command, CommandWaiter::Caller(answer)),
            Decision::State(id) => self.read(ReadWaiter::JobState(id, answer)),
            Decision::Count(queue) => self.read(ReadWaiter::QueueCount(queue, answer)),
        }
    }

    fn decide_call(&mut self, call: CallerRequest) -> Decision {
        let Some(configuration) = self.store.configuration() else {
            return Decision::Known(CallerAnswer::Rejected {
                reason: Rejection::NoConfiguration,
                retry_after_ms: NO_CONFIGURATION_RETRY_MS,
            });
        };
        let Some(found) = configuration.find(&call.host, &call.path) else {
            return Decision::Known(CallerAnswer::NoSuchQueue);
        };
        let id = match (&call.action, found.rest) {
            (CallerAction::State, "") => return Decision::Count(found.queue.name.clone()),
            (_, rest) => rest.parse::<JobId>(),
        };
        let queue = found.queue;
        match (call.action, id) {
            (_, Err(_)) => Decision::Known(CallerAnswer::BadJobId),
            (CallerAction::State, Ok(id)) => Decision::State(id),
            (CallerAction::Cancel, Ok(id)) => {
                debug!(event = "cancel", job = %id);
                Decision::Propose(Command::Cancel(id))
            }
            (CallerAction::Submit(_), Ok(id)) if self.store.job(id).is_some() => {
                info!(event = "job-duplicate", job = %id);
                Decision::Known(CallerAnswer::Accepted)
            }
            (CallerAction::Submit(spec), Ok(id)) => {
                let version = configuration.version;
                let admitted = self.dispatcher.as_mut().map_or(Ok(()), |dispatcher| {
                    dispatcher.admit(self.now, queue, &spec, None)
                });
                match admitted {
                    Ok(()) => {
                        info!(event = "job-accepting", job = %id, queue = queue.name,
                              tasks = spec.task_count(), version);
                        Decision::Propose(Command::Accept(Box::new(Acceptance::new(
                            id,
                            queue.name.as_str(),
                            queue.service.as_str(),
                            queue.max_attempts,
                            spec,
                        ))))
                    }
                    Err(refusal) => {
                        info!(event = "job-rejected", job = %id, queue = queue.name,
                              expected_wait_ms = refusal.expected_wait_ms,
                              cause = %refusal.cause, size = %refusal.size,
                              retry_after_ms = refusal.retry_after_ms, version);
                        Decision::Known(CallerAnswer::Rejected {
                            reason: Rejection::Overload,
                            retry_after_ms: refusal.retry_after_ms,
                        })
                    }
                }
            }
        }
    }

    // Runners.

    fn handle_registration(
        &mut self,
        connection: ConnectionId,
        agent: AgentId,
        answer: oneshot::Sender<Reply>,
    ) {
        if self.dispatcher.is_none() {
            reply(answer, Reply::NotLeader);
            return;
        }
        // `register` assigns the session id; zero stands for no session.
        self.sessions.insert(agent, (SessionId(0), connection));
        let is_recorded = self.store.agents().contains(&agent) && !self.delisting.contains(&agent);
        match is_recorded {
            true => self.register(agent, answer),
            // The agent is recorded first, because a later leader must know every agent that may
            // hold runs.
            false => self.propose(
                Command::Enlist(agent),
                CommandWaiter::Registration(agent, answer),
            ),
        }
    }

    pub(super) fn register(&mut self, agent: AgentId, answer: oneshot::Sender<Reply>) {
        let now = self.now;
        let (Some(dispatcher), Some(entry)) =
            (self.dispatcher.as_mut(), self.sessions.get_mut(&agent))
        else {
            reply(answer, Reply::NotLeader);
            return;
        };
        let session = dispatcher.register(now, agent);
        entry.0 = session;
        info!(
            event = "agent-registered",
            agent = agent.0,
            session = session.0
        );
        let instance = self.store.instance(agent).cloned();
        reply(answer, Reply::Registered { session, instance });
    }

    fn adopt(
        &mut self,
        agent: AgentId,
        session: SessionId,
        inventory: &Inventory,
        answer: oneshot::Sender<Reply>,
    ) {
        let now = self.now;
        let Some(dispatcher) = self.dispatcher.as_mut() else {
            reply(answer, Reply::NotLeader);
            return;
        };
        let Some(adoption) = dispatcher.adopt(now, agent, session, inventory) else {
            reply(answer, Reply::VoidSession);
            return;
        };
        info!(
            event = "agent-adopted",
            agent = agent.0,
            session = session.0,
            instance = inventory.instance.as_ref().map(|i| i.id.to_string()),
            runs = inventory.runs.len(),
            unwanted = adoption.stops.len(),
            latest = inventory.latest_runs.len(),
            deferred = deferred_ends(&adoption.ends).len(),
        );
        let adopted = Reply::Adopted {
            stops: adoption.stops,
            deferred: deferred_ends(&adoption.ends),
            // The answer isn't a confirmed read, and only the lease excludes another leader.
            evacuations: self
                .has_leader_lease()
                .then(|| self.store.evacuations().clone()),
        };
        self.record_ends(&adoption.ends, answer, adopted);
        self.propose_instance(agent, inventory.instance.as_ref());
    }

    /// Records a changed instance in the job store for the agent's next process, which otherwise
    /// would not know the instance before its next heartbeat.
    fn propose_instance(&mut self, agent: AgentId, instance: Option<&InstanceReport>) {
        let noted = self.store.instance(agent);
        let newer = instance.filter(|instance| !instance.draining && Some(*instance) != noted);
        if let Some(instance) = newer {
            let command = Command::NoteInstance(agent, Box::new(instance.clone()));
            self.propose(command, CommandWaiter::Nobody);
        }
    }

    fn handle_report(
        &mut self,
        agent: AgentId,
        session: SessionId,
        report: &Report,
        answer: oneshot::Sender<Reply>,
    ) {
        let now = self.now;
        let current = self.sessions.get(&agent).map(|(current, _)| *current);
        let Some(dispatcher) = self.dispatcher.as_mut() else {
            reply(answer, Reply::NotLeader);
            return;
        };
        if current != Some(session) {
            reply(answer, Reply::VoidSession);
            return;
        }
        let mut ends = Vec::new();
        for ended in &report.ended {
            match dispatcher.report_end(now, agent, session, *ended) {
                Some(action) => ends.push((*ended, action)),
                None => {
                    reply(answer, Reply::VoidSession);
                    return;
                }
            }
        }
        self.handle_refused_starts(agent, session, &report.refused);
        let deferred = deferred_ends(&ends);
        let complete = match deferred.is_empty() {
            true => Reply::Done,
            false => Reply::Deferred(deferred),
        };
        self.record_ends(&ends, answer, complete);
    }

    /// Proposes the ends that must be recorded, and answers once all of them are committed.
    fn record_ends(
        &mut self,
        ends: &[(RunReport, EndAction)],
        answer: oneshot::Sender<Reply>,
        complete: Reply,
    ) {
        let to_record: Vec<(RunReport, TaskEnd)> = ends
            .iter()
            .filter_map(|(report, action)| match action {
                EndAction::Record(end) => Some((*report, *end)),
                EndAction::Confirm | EndAction::Defer => None,
            })
            .collect();
        let group = AnswerGroup::new(to_record.len(), answer, complete);
        for (report, end) in to_record {
            let command = Command::End(report.task, report.run, end);
            self.propose(command, CommandWaiter::Group(std::rc::Rc::clone(&group)));
        }
    }

    pub(super) fn handle_refused_starts(
        &mut self,
        agent: AgentId,
        session: SessionId,
        refused: &[RefusedStart],
    ) {
        let now = self.now;
        let Some(dispatcher) = self.dispatcher.as_mut() else {
            return;
        };
        for start in refused {
            info!(event = "start-refused", task = %start.task, run = start.run.0,
                  agent = agent.0, reason = %start.reason);
            dispatcher.start_refused(now, agent, session, start.task, start.run, start.reason);
        }
    }

    fn instance_changed(
        &mut self,
        agent: AgentId,
        session: SessionId,
        instance: Option<InstanceReport>,
        runs_lost: bool,
        answer: oneshot::Sender<Reply>,
    ) {
        let now = self.now;
        self.propose_instance(agent, instance.as_ref());
        let Some(dispatcher) = self.dispatcher.as_mut() else {
            reply(answer, Reply::NotLeader);
            return;
        };
        info!(
            event = "instance-changed",
            agent = agent.0,
            session = session.0,
            instance = instance.as_ref().map(|i| i.id.to_string()),
            draining = instance.as_ref().map(|i| i.draining),
            runs_lost,
        );
        dispatcher.instance_changed(now, agent, session, instance, runs_lost);
        reply(answer, Reply::Done);
    }

    pub(super) fn close_sessions(&mut self, connection: ConnectionId) {
        let sessions = self.sessions.iter();
        let closed: Vec<(AgentId, SessionId)> = sessions
            .filter(|(_, (_, current))| *current == connection)
            .map(|(agent, (session, _))| (*agent, *session))
            .collect();
        for (agent, session) in closed {
            self.close_session(agent, session);
        }
    }

    pub(super) fn close_session(&mut self, agent: AgentId, session: SessionId) {
        let current = self.sessions.get(&agent).map(|(current, _)| *current);
        if current != Some(session) {
            return;
        }
        info!(
            event = "agent-disconnected",
            agent = agent.0,
            session = session.0
        );
        self.sessions.remove(&agent);
        let now = self.now;
        if let Some(dispatcher) = self.dispatcher.as_mut() {
            dispatcher.close_session(now, agent, session);
        }
    }
}

/// The ends that their agent must report again.
fn deferred_ends(ends: &[(RunReport, EndAction)]) -> Vec<RunReport> {
    let deferred = ends.iter().filter(|(_, a)| *a == EndAction::Defer);
    deferred.map(|(report, _)| *report).collect()
}

/// Handling of a caller's request.
enum Decision {
    /// The answer is known; it is sent once leadership is confirmed.
    Known(CallerAnswer),
    /// A command must be committed before the answer.
    Propose(Command),
    /// The caller reads a job's state.
    State(JobId),
    /// The caller reads a queue's number of pending jobs.
    Count(String),
}
