//! The simulated leader and the log.

use std::collections::BTreeSet;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use rand::RngExt;

use super::{Simulation, ToLeader, ToRunner};

/// Longest time until the next leader is elected, in milliseconds.
const MAX_ELECTION_MS: u64 = 900;

/// Commands that are being committed, and the message to a runner that waits for them.
struct Commit {
    due_ms: u64,
    commands: Vec<Command>,
    answer: Option<(usize, ToRunner)>,
    /// The runner whose registration the commands record.
    registers: Option<usize>,
}

/// The process that leads.
pub(super) struct Leader {
    dispatcher: Dispatcher,
    commits: Vec<Commit>,
    /// Agents whose removal from the record is being committed.
    delisting: BTreeSet<AgentId>,
}

impl Simulation {
    /// Begins to commit commands. The answer is sent once they are committed.
    pub(super) fn commit(&mut self, commands: Vec<Command>, answer: Option<(usize, ToRunner)>) {
        self.commit_for(commands, answer, None);
    }

    fn commit_for(
        &mut self,
        commands: Vec<Command>,
        answer: Option<(usize, ToRunner)>,
        registers: Option<usize>,
    ) {
        let due_ms = self.now_ms + self.rng.random_range(5..25);
        if let Some(leader) = &mut self.leader {
            // The log has an order.
            let last_ms = leader.commits.last().map_or(0, |commit| commit.due_ms);
            leader.commits.push(Commit {
                due_ms: due_ms.max(last_ms),
                commands,
                answer,
                registers,
            });
        }
    }

    /// Elects, drives or loses the leader.
    pub(super) fn step_leader(&mut self) {
        if self.leader.is_none() && self.now_ms >= self.election_ms {
            self.store
                .apply(&Batch::new(self.now_ms, vec![Command::Lead]));
            let settings = DispatchSettings::default();
            self.leader = Some(Leader {
                dispatcher: Dispatcher::new(self.now(), settings, &self.store),
                commits: Vec::new(),
                delisting: BTreeSet::new(),
            });
        }
        if self.chance(150) {
            self.lose_leader();
        }
        if self.leader.is_none() {
            return;
        }
        self.apply_commits();
        self.deliver_to_leader();
        let now = self.now();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let missing = leader.dispatcher.take_missing_agents();
        leader.delisting.extend(&missing);
        let mut commands: Vec<Command> = missing.into_iter().map(Command::Delist).collect();
        let proven = leader.dispatcher.take_proven_successes().into_iter();
        commands.extend(proven.map(|(task, run)| Command::End(task, run, TaskEnd::Done)));
        let orders = leader.dispatcher.poll(now);
        if !commands.is_empty() {
            self.commit(commands, None);
        }
        for order in orders {
            self.send_to_runner(order.agent.0 as usize, ToRunner::Order(order));
        }
    }

    /// Ends the leader's term. Some of the commands in flight are committed all the same.
    fn lose_leader(&mut self) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        let kept = self.rng.random_range(0..=leader.commits.len());
        for commit in leader.commits.into_iter().take(kept) {
            let outcomes = self
                .store
                .apply(&Batch::new(self.now_ms, commit.commands.clone()));
            self.check_outcomes(&commit.commands, &outcomes);
        }
        self.election_ms = self.now_ms + self.rng.random_range(150..MAX_ELECTION_MS);
    }

    fn check_outcomes(&self, commands: &[Command], outcomes: &[ApplyOutcome]) {
        for (command, outcome) in commands.iter().zip(outcomes) {
            if let (Command::End(task, ..), ApplyOutcome::Ended(JobOutcome::Complete)) =
                (command, outcome)
            {
                self.check_complete(task.job);
            }
        }
    }

    fn apply_commits(&mut self) {
        let now = self.now();
        loop {
            let Some(leader) = &mut self.leader else {
                return;
            };
            let is_due = |commit: &Commit| commit.due_ms <= self.now_ms;
            if !leader.commits.first().is_some_and(is_due) {
                return;
            }
            let commit = leader.commits.remove(0);
            let outcomes = self
                .store
                .apply(&Batch::new(self.now_ms, commit.commands.clone()));
            for (command, outcome) in commit.commands.iter().zip(&outcomes) {
                match (command, outcome) {
                    (Command::Accept(acceptance), ApplyOutcome::Accepted) => {
                        let record = self.store.job(acceptance.id);
                        let open = record.and_then(JobRecord::open).expect("it is open");
                        let queue = &acceptance.queue;
                        leader
                            .dispatcher
                            .job_accepted(now, acceptance.id, queue, open);
                    }
                    (Command::End(task, ..), ApplyOutcome::Ended(_)) => {
                        leader.dispatcher.job_ended(task.job);
                    }
                    (Command::End(task, run, end), ApplyOutcome::Done) => {
                        leader.dispatcher.end_recorded(now, *task, *run, *end);
                    }
                    (Command::Delist(agent), _) => {
                        leader.delisting.remove(agent);
                    }
                    _ => {}
                }
            }
            self.check_outcomes(&commit.commands, &outcomes);
            if let Some((runner, answer)) = commit.answer {
                self.send_to_runner(runner, answer);
            }
            if let Some(runner) = commit.registers {
                self.register(runner);
            }
        }
    }

    fn register(&mut self, runner: usize) {
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            let session = leader.dispatcher.register(now, AgentId(runner as u64));
            self.send_to_runner(runner, ToRunner::Registered(session));
        }
    }

    pub(super) fn send_to_runner(&mut self, runner: usize, message: ToRunner) {
        let at_ms = self.delayed();
        let term = self.store.generation();
        if let Some(link) = self.links.get_mut(&runner).filter(|link| link.term == term) {
            link.to_runner.push((at_ms, message));
        }
    }

    fn deliver_to_leader(&mut self) {
        let term = self.store.generation();
        let now_ms = self.now_ms;
        let runners: Vec<usize> = self.links.keys().copied().collect();
        for runner in runners {
            let Some(link) = self.links.get_mut(&runner).filter(|link| link.term == term) else {
                continue;
            };
            let messages = link.to_leader.iter();
            let ready = messages.take_while(|(at_ms, _)| *at_ms <= now_ms).count();
            let ready: Vec<ToLeader> = link
                .to_leader
                .drain(..ready)
                .map(|(_, message)| message)
                .collect();
            for message in ready {
                self.handle_message(runner, message);
            }
        }
    }

    fn handle_message(&mut self, runner: usize, message: ToLeader) {
        let (now, agent) = (self.now(), AgentId(runner as u64));
        let is_recorded = self.store.agents().contains(&agent);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let is_recorded = is_recorded && !leader.delisting.contains(&agent);
        let dispatcher = &mut leader.dispatcher;
        match message {
            ToLeader::Register if is_recorded => self.register(runner),
            ToLeader::Register => {
                self.commit_for(vec![Command::Enlist(agent)], None, Some(runner));
            }
            ToLeader::Adopt(session, inventory, sent_at) => {
                match dispatcher.adopt(now, agent, session, &inventory) {
                    None => self.send_to_runner(runner, ToRunner::Void),
                    Some(adoption) => {
                        let (commands, deferred) = split(&adoption.ends);
                        let stops = adoption.stops;
                        let answer = ToRunner::Adopted(inventory, stops, deferred, sent_at);
                        self.commit(commands, Some((runner, answer)));
                    }
                }
            }
            ToLeader::Report(session, ended, refused) => {
                let mut ends = Vec::new();
                for report in &ended {
                    match dispatcher.report_end(now, agent, session, *report) {
                        Some(action) => ends.push((*report, action)),
                        None => return self.send_to_runner(runner, ToRunner::Void),
                    }
                }
                for start in refused {
                    let (task, run, reason) = (start.task, start.run, start.reason);
                    dispatcher.start_refused(now, agent, session, task, run, reason);
                }
                let (commands, deferred) = split(&ends);
                self.commit(
                    commands,
                    Some((runner, ToRunner::Recorded(ended, deferred))),
                );
            }
            ToLeader::Ping(session, sent_at) => {
                let answer = match dispatcher.confirm(now, agent, session) {
                    true => ToRunner::Pong(session, sent_at),
                    false => ToRunner::Void,
                };
                self.send_to_runner(runner, answer);
            }
            ToLeader::Instance(session, instance, runs_lost) => {
                dispatcher.instance_changed(now, agent, session, instance, runs_lost);
            }
        }
    }
}

/// The commands that record ends, and the deferred ends.
fn split(ends: &[(RunReport, EndAction)]) -> (Vec<Command>, Vec<RunReport>) {
    let mut commands = Vec::new();
    let mut deferred = Vec::new();
    for (report, action) in ends {
        match action {
            EndAction::Record(end) => commands.push(Command::End(report.task, report.run, *end)),
            EndAction::Defer => deferred.push(*report),
            EndAction::Confirm => {}
        }
    }
    (commands, deferred)
}
