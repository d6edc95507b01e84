//! Simulated runners and instances.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;
use rand::RngExt;

use super::{CAPACITY, Link, SERVICE, STEP_MS, Simulation, ToLeader, ToRunner, work_ms};

/// Time between two pings of the leader, in milliseconds.
const PING_MS: u64 = 300;
/// Time after which a silent leader is given up, in milliseconds.
const SILENCE_MS: u64 = 800;
/// Longest time in which a session must begin, in milliseconds.
const SESSION_MS: u64 = 1_500;
/// Delay after which a deferred end is reported again, in milliseconds.
const DEFERRED_MS: u64 = 100;

/// State of a runner's session with the leader.
#[derive(Clone, Copy, PartialEq)]
enum SessionState {
    /// There is no connection.
    Disconnected,
    /// The session began in the given step, and the leader has not adopted the runs yet.
    Opening(u64),
    /// The leader has answered, and the runs at the instance are not known yet.
    Registered(SessionId, u64),
    /// The leader has adopted the runs.
    Adopted(SessionId),
}

/// An end `done` that the instance lists.
struct ListedSuccess {
    number: u64,
    task: TaskKey,
    lease_lapsed: bool,
}

/// A runner's process and the instance beside it.
pub(super) struct RunnerNode {
    runs: Runs,
    pub(super) model: InstanceModel,
    started_at: Instant,
    session: SessionState,
    last_pong_ms: u64,
    next_ping_ms: u64,
    next_connect_ms: u64,
    /// End of the time in which the process is suspended.
    suspended_until_ms: u64,
    /// End of the time in which the instance executes calls without answering.
    mute_until_ms: u64,
    heartbeat_count: u64,
    successes: Vec<ListedSuccess>,
    /// Deferred ends with the time of the next report.
    deferred: Vec<(u64, RunReport)>,
    /// Calls that the runner has treated as unanswered, with the times at which they are executed.
    delayed_calls: Vec<(u64, DriverCall)>,
}

impl RunnerNode {
    pub(super) fn new(now: Instant, born_ms: u64, fence: u64) -> Self {
        Self::with_model(now, InstanceModel::new(born_ms), fence)
    }

    fn with_model(now: Instant, model: InstanceModel, fence: u64) -> Self {
        Self {
            runs: Runs::new(RunsSettings::default(), fence, now),
            model,
            started_at: now,
            session: SessionState::Disconnected,
            last_pong_ms: 0,
            next_ping_ms: 0,
            next_connect_ms: 0,
            suspended_until_ms: 0,
            mute_until_ms: 0,
            heartbeat_count: 0,
            successes: Vec::new(),
            deferred: Vec::new(),
            delayed_calls: Vec::new(),
        }
    }
}

impl Simulation {
    /// Advances an instance: ends its tasks, executes late calls, and crashes it at times.
    pub(super) fn step_instance(&mut self, index: usize) {
        let fails = self.chance(3_000);
        let crashes = self.chance(20);
        let born_ms = self.next_unique_number();
        let now_ms = self.now_ms;
        let node = &mut self.runners[index];
        node.model.advance_ms(STEP_MS);
        if !node.model.has_lease() {
            node.successes
                .iter_mut()
                .for_each(|success| success.lease_lapsed = true);
        }
        let clock_ms = node.model.clock_ms;
        let running = node.model.running().iter();
        let due: Vec<TaskKey> = running
            .filter(|(task, run)| clock_ms >= run.began_ms + work_ms(task.job))
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let end = if fails { RunEnd::Failed } else { RunEnd::Done };
            node.model.end(task, end);
            if end == RunEnd::Done {
                let number = node.model.unsettled().last().map_or(0, |end| end.number);
                self.done.insert(task);
                node.successes.push(ListedSuccess {
                    number,
                    task,
                    lease_lapsed: false,
                });
            }
        }
        let calls = std::mem::take(&mut node.delayed_calls).into_iter();
        let (ready, waiting) = calls.partition(|(at_ms, _)| *at_ms <= now_ms);
        node.delayed_calls = waiting;
        let ready: Vec<(u64, DriverCall)> = ready;
        for (_, call) in ready {
            match call {
                DriverCall::Start(call) => drop(node.model.start(&call)),
                DriverCall::Stop(call) => drop(node.model.stop(&call)),
            }
        }
        if crashes {
            node.model = InstanceModel::new(born_ms);
            node.successes.clear();
            node.delayed_calls.clear();
        }
    }

    /// Drives a runner's process, unless it is suspended.
    pub(super) fn step_runner(&mut self, index: usize) {
        self.disturb_runner(index);
        if self.runners[index].suspended_until_ms > self.now_ms {
            return;
        }
        self.maintain_session(index);
        self.deliver_to_runner(index);
        if self.now_ms.is_multiple_of(50) {
            let now = self.now();
            let node = &mut self.runners[index];
            let calls = node.runs.tick(now);
            let leases_end = node.started_at + node.runs.longest_lease();
            if now > leases_end + DurationMs::new(100) {
                node.runs.note_leases_expired();
            }
            self.make_calls(index, calls);
        }
        if self.now_ms.is_multiple_of(20) {
            self.list(index);
        }
        if self.now_ms.is_multiple_of(500) {
            self.send_heartbeat(index);
        }
        self.report(index);
    }

    fn disturb_runner(&mut self, index: usize) {
        let (suspends, restarts, mutes) = (self.chance(50), self.chance(40), self.chance(20));
        let (cuts, with_restart) = (self.chance(80), self.chance(40_000));
        let fence = self.next_unique_number();
        let now = self.now();
        let until_ms = self.now_ms + self.rng.random_range(100..7_000);
        let node = &mut self.runners[index];
        if suspends {
            node.suspended_until_ms = until_ms;
        }
        if mutes {
            node.mute_until_ms = until_ms;
        }
        let wakes = node.suspended_until_ms > self.now_ms && with_restart && restarts;
        if wakes || (restarts && node.suspended_until_ms <= self.now_ms) {
            let model = std::mem::take(&mut node.model);
            let successes = std::mem::take(&mut node.successes);
            let delayed_calls = std::mem::take(&mut node.delayed_calls);
            *node = RunnerNode {
                successes,
                delayed_calls,
                ..RunnerNode::with_model(now, model, fence)
            };
            self.links.remove(&index);
        }
        if cuts {
            // Neither side is notified at once.
            if let Some(link) = self.links.get_mut(&index) {
                link.term = 0;
            }
        }
    }

    fn disconnect(&mut self, index: usize) {
        self.links.remove(&index);
        let node = &mut self.runners[index];
        node.session = SessionState::Disconnected;
        node.deferred.clear();
        node.next_connect_ms = self.now_ms + self.rng.random_range(5..60);
    }

    fn maintain_session(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let term = self.store.generation();
        let node = &mut self.runners[index];
        match node.session {
            SessionState::Disconnected => {
                if self.leader.is_some() && now_ms >= node.next_connect_ms {
                    node.session = SessionState::Opening(now_ms);
                    let link = Link {
                        term,
                        ..Link::default()
                    };
                    self.links.insert(index, link);
                    self.send_to_leader(index, ToLeader::Register);
                }
            }
            SessionState::Opening(since_ms) => {
                if now_ms > since_ms + SESSION_MS {
                    self.disconnect(index);
                }
            }
            SessionState::Registered(session, since_ms) => {
                if node.runs.knows_runs() {
                    self.send_inventory(index, session);
                } else if now_ms > since_ms + SESSION_MS {
                    self.disconnect(index);
                }
            }
            SessionState::Adopted(session) => {
                if now_ms > node.last_pong_ms + SILENCE_MS {
                    self.disconnect(index);
                } else if now_ms >= node.next_ping_ms {
                    node.next_ping_ms = now_ms + PING_MS;
                    let sent_at = self.now();
                    self.send_to_leader(index, ToLeader::Ping(session, sent_at));
                }
            }
        }
    }

    fn send_inventory(&mut self, index: usize, session: SessionId) {
        let now = self.now();
        let node = &mut self.runners[index];
        node.session = SessionState::Opening(self.now_ms);
        let calls = node.runs.tick(now);
        let inventory = node.runs.attach_leader(now, session);
        self.make_calls(index, calls);
        self.send_to_leader(index, ToLeader::Adopt(session, inventory, now));
    }

    fn send_to_leader(&mut self, index: usize, message: ToLeader) {
        let at_ms = self.delayed();
        if let Some(link) = self.links.get_mut(&index) {
            link.to_leader.push((at_ms, message));
        }
    }

    fn deliver_to_runner(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let Some(link) = self.links.get_mut(&index) else {
            return;
        };
        let messages = link.to_runner.iter();
        let ready = messages.take_while(|(at_ms, _)| *at_ms <= now_ms).count();
        let ready: Vec<ToRunner> = link
            .to_runner
            .drain(..ready)
            .map(|(_, message)| message)
            .collect();
        for message in ready {
            if self.runners[index].session == SessionState::Disconnected {
                return;
            }
            self.handle_answer(index, message);
        }
    }

    fn handle_answer(&mut self, index: usize, message: ToRunner) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let node = &mut self.runners[index];
        match message {
            ToRunner::Registered(session) => {
                node.session = SessionState::Registered(session, now_ms);
            }
            ToRunner::Adopted(inventory, stops, deferred, sent_at) => {
                let session = node.runs.session(Owner::Leader);
                let holds = session
                    .is_some_and(|session| node.runs.owner_heard(Owner::Leader, session, sent_at));
                let Some(session) = session.filter(|_| holds) else {
                    return self.disconnect(index);
                };
                let calls = node.runs.leader_adopted(now, &inventory, &stops, &deferred);
                node.session = SessionState::Adopted(session);
                node.last_pong_ms = now_ms;
                node.next_ping_ms = now_ms;
                node.deferred = later(now_ms, deferred);
                self.make_calls(index, calls);
                let instance = self.runners[index].runs.instance().cloned();
                self.send_to_leader(index, ToLeader::Instance(session, instance, false));
            }
            ToRunner::Recorded(ended, deferred) => {
                let confirmed = ended.iter().filter(|end| !deferred.contains(end));
                node.runs.settle_reports(confirmed);
                node.deferred.extend(later(now_ms, deferred));
            }
            ToRunner::Pong(session, sent_at) => {
                match node.runs.owner_heard(Owner::Leader, session, sent_at) {
                    true => node.last_pong_ms = now_ms,
                    false => self.disconnect(index),
                }
            }
            ToRunner::Order(order) => {
                let session = order.session;
                let (calls, refused) = node.runs.handle_order(now, Owner::Leader, order);
                self.make_calls(index, calls);
                if !refused.is_empty() {
                    let report = ToLeader::Report(session, Vec::new(), refused);
                    self.send_to_leader(index, report);
                }
            }
            ToRunner::Void => self.disconnect(index),
        }
    }

    /// Reports outcomes, and deferred ends again.
    fn report(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.runners[index];
        let SessionState::Adopted(session) = node.session else {
            node.runs.take_gateway_outbox();
            return;
        };
        let mut ended = Vec::new();
        let mut refused = Vec::new();
        for (_, outcome) in node.runs.take_outbox() {
            match outcome {
                RunOutcome::Ended(report, _) => ended.push(report),
                RunOutcome::Refused(start) => refused.push(start),
            }
        }
        let deferred = std::mem::take(&mut node.deferred).into_iter();
        let (due, waiting) = deferred.partition(|(at_ms, _)| *at_ms <= now_ms);
        node.deferred = waiting;
        let due: Vec<(u64, RunReport)> = due;
        ended.extend(due.into_iter().map(|(_, report)| report));
        if !ended.is_empty() || !refused.is_empty() {
            self.send_to_leader(index, ToLeader::Report(session, ended, refused));
        }
    }

    fn is_mute(&self, index: usize) -> bool {
        self.faults && self.now_ms < self.runners[index].mute_until_ms
    }

    fn list(&mut self, index: usize) {
        let now = self.now();
        let is_mute = self.is_mute(index);
        let node = &mut self.runners[index];
        let call = ListCall {
            fence: node.runs.fence(),
            born_ms: None,
            lease_until_ms: node.runs.renew_lease(now),
            settled: node.runs.settled(),
            wait_ms: 0,
            timeout_ms: 100,
        };
        let (settled, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut node.successes)
            .into_iter()
            .partition(|success| success.number <= call.settled);
        node.successes = kept;
        let under_lease = settled.iter().filter(|success| !success.lease_lapsed);
        self.settled.extend(under_lease.map(|success| success.task));
        let listing = node.model.list(&call);
        let change = match listing {
            Ok(listing) if !is_mute => {
                let (change, calls) = node.runs.handle_listing(now, now, &listing);
                self.make_calls(index, calls);
                change
            }
            Err(ListError::Fenced) => {
                node.runs.handle_fenced();
                InstanceChange::None
            }
            Ok(_) | Err(_) => node.runs.expire_silent_instance(now),
        };
        self.report_change(index, change);
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now();
        let is_mute = self.is_mute(index);
        let node = &mut self.runners[index];
        node.heartbeat_count += 1;
        let heartbeat = Heartbeat {
            instance: InstanceReport {
                id: InstanceId {
                    name: format!("i-{index}"),
                    born_ms: node.model.born_ms,
                },
                service: SERVICE.to_owned(),
                failure_domain: "a".to_owned(),
                capacity: CAPACITY,
                labels: Vec::new(),
                draining: false,
            },
            sequence: node.heartbeat_count,
            cold_left_ms: 0,
        };
        let change = match node.runs.heartbeat_received(now, &heartbeat) {
            HeartbeatOutcome::Handled(change) => change,
            HeartbeatOutcome::Unconfirmed if is_mute => return,
            HeartbeatOutcome::Unconfirmed => {
                let Ok(listing) = node.model.identify(node.runs.fence()) else {
                    return;
                };
                match node.runs.confirm_heartbeat(now, now, &heartbeat, &listing) {
                    Confirmation::Confirmed(change, calls) => {
                        self.make_calls(index, calls);
                        change
                    }
                    Confirmation::Refuted | Confirmation::Outdated => return,
                }
            }
        };
        self.report_change(index, change);
    }

    fn report_change(&mut self, index: usize, change: InstanceChange) {
        let runs_lost = change == InstanceChange::RunsLost;
        self.report(index);
        let node = &self.runners[index];
        if let (true, SessionState::Adopted(session)) =
            (change != InstanceChange::None, node.session)
        {
            let instance = node.runs.instance().cloned();
            self.send_to_leader(index, ToLeader::Instance(session, instance, runs_lost));
        }
    }

    /// Makes calls to the instance. Some are executed late, or without an answer.
    fn make_calls(&mut self, index: usize, calls: Vec<DriverCall>) {
        let now = self.now();
        for call in calls {
            let is_late = self.chance(2_000);
            let is_mute = self.is_mute(index);
            let executed_at_ms = self.now_ms + self.rng.random_range(100..6_000);
            let node = &mut self.runners[index];
            if is_late {
                node.delayed_calls.push((executed_at_ms, call.clone()));
            }
            let follow_up = match call {
                DriverCall::Start(call) => {
                    let answer = match is_late {
                        true => StartResult::Unanswered,
                        false => node.model.start(&call),
                    };
                    let answer = if is_mute {
                        StartResult::Unanswered
                    } else {
                        answer
                    };
                    node.runs.start_answered(now, &call, answer)
                }
                DriverCall::Stop(call) => {
                    let answer = match is_late {
                        true => StopResult::Unanswered,
                        false => node.model.stop(&call),
                    };
                    let answer = if is_mute {
                        StopResult::Unanswered
                    } else {
                        answer
                    };
                    node.runs.stop_answered(now, &call, answer);
                    None
                }
            };
            self.make_calls(index, follow_up.into_iter().collect());
        }
    }
}

/// Deferred ends with the time at which they are reported again.
fn later(now_ms: u64, deferred: Vec<RunReport>) -> Vec<(u64, RunReport)> {
    let at_ms = now_ms + DEFERRED_MS;
    deferred.into_iter().map(|report| (at_ms, report)).collect()
}
