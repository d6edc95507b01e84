//! Simulated instances and runners.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use rand::RngExt;

use super::{
    CAPACITY, DEADLY_AFTER_MS, GATEWAY_COUNT, LISTING_MS, MAX_CRASHES, Message, STEP_MS,
    Simulation, instance, is_deadly, needs, work_ms,
};

impl Simulation {
    /// Ends the tasks that are due and executes the delayed calls that are due.
    pub(super) fn step_instance(&mut self, index: u64) {
        let fails = self.chance(5);
        let runner = &mut self.runners[index as usize];
        runner.model.advance_ms(STEP_MS);
        let clock_ms = runner.model.clock_ms;
        let due: Vec<TaskKey> = runner
            .model
            .running()
            .iter()
            .filter(|(task, run)| {
                clock_ms >= run.began_ms + work_ms(task.job) + u64::from(task.index)
            })
            .map(|(task, _)| *task)
            .collect();
        let deadly = runner.model.running().iter().find(|(task, run)| {
            is_deadly(task.job) && task.index == 0 && clock_ms >= run.began_ms + DEADLY_AFTER_MS
        });
        let deadly = deadly.map(|(task, _)| *task).filter(|_| self.faults);
        if let Some(task) = deadly {
            self.crash_instance(index, task);
            return;
        }
        for task in due {
            let end = if fails { RunEnd::Failed } else { RunEnd::Done };
            runner.model.end(task, end);
        }
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut runner.delayed_calls)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= self.now_ms);
        runner.delayed_calls = waiting;
        for (_, call) in ready {
            match call {
                DriverCall::Start(call) => drop(runner.model.start(&call)),
                DriverCall::Stop(call) => drop(runner.model.stop(&call)),
            }
        }
    }

    /// Restarts an instance that a task has crashed. The runner finds its process gone.
    fn crash_instance(&mut self, index: u64, task: TaskKey) {
        let now = self.now();
        let born_ms = self.next_unique_number();
        let runner = &mut self.runners[index as usize];
        runner.model = InstanceModel::new(born_ms);
        runner.delayed_calls.clear();
        if let Some(gateway) = self.open_jobs.get(&task.job) {
            let gateway = self.gateways[*gateway as usize].incarnation;
            let crashes = self.crashes.entry((task, gateway)).or_default();
            *crashes += 1;
            assert!(
                *crashes <= MAX_CRASHES,
                "task {task} of {gateway:?} has crashed {crashes} instances"
            );
        }
        let change = runner.runs.instance_lost(now, now);
        self.report_instance_change(index, change);
    }

    /// Sends heartbeats and listings that are due, and makes the calls that follow from them.
    pub(super) fn step_runner(&mut self, index: u64) {
        let now = self.now();
        let now_ms = self.now_ms;
        // This fault is rarer than the others because it lasts longer.
        let becomes_unresponsive = self.chance(2) && self.chance(150);
        let unresponsive_ms = self.rng.random_range(200..4_000);
        if becomes_unresponsive {
            self.runners[index as usize].unresponsive_until_ms = self.now_ms + unresponsive_ms;
        }
        let unresponsive =
            self.faults && self.now_ms < self.runners[index as usize].unresponsive_until_ms;
        let answer_lost = unresponsive || self.chance(20);
        let shrinks = self.chance(100);
        let runner = &mut self.runners[index as usize];
        if now_ms >= runner.next_heartbeat_ms {
            runner.next_heartbeat_ms = now_ms + 500;
            runner.heartbeat_count += 1;
            runner.capacity = match shrinks {
                true => CAPACITY.percent(50),
                false => CAPACITY,
            };
            let heartbeat = Heartbeat {
                instance: instance(index, runner.model.born_ms, runner.capacity),
                sequence: runner.heartbeat_count,
                cold_left_ms: runner.cold_until_ms.saturating_sub(now_ms),
            };
            match runner.runs.heartbeat_received(now, &heartbeat) {
                HeartbeatOutcome::Handled(change) => self.report_instance_change(index, change),
                HeartbeatOutcome::Unconfirmed if answer_lost => {}
                HeartbeatOutcome::Unconfirmed => self.confirm_heartbeat(index, &heartbeat),
            }
        }
        if self.chance(10) {
            self.send_foreign_heartbeat(index);
        }
        let runner = &mut self.runners[index as usize];
        let mut calls = runner.runs.tick(now);
        if now_ms >= runner.next_listing_ms {
            runner.next_listing_ms = now_ms + LISTING_MS;
            let call = ListCall {
                fence: runner.runs.fence(),
                born_ms: None,
                lease_until_ms: runner.runs.renew_lease(now),
                settled: runner.runs.settled(),
                wait_ms: 0,
                timeout_ms: 100,
            };
            match runner.model.list(&call) {
                Ok(listing) if !answer_lost => {
                    let (change, more) = runner.runs.handle_listing(now, now, &listing);
                    calls.extend(more);
                    self.report_instance_change(index, change);
                }
                Ok(_) => {
                    let change = runner.runs.expire_silent_instance(now);
                    self.report_instance_change(index, change);
                }
                Err(ListError::Fenced) => assert_eq!(
                    runner.runs.handle_fenced(),
                    FenceAction::Retry,
                    "no other process calls the instance"
                ),
                Err(_) => {}
            }
        }
        self.make_calls(index, calls);
        self.report_outcomes(index);
    }

    /// Sends a heartbeat of another writer: it has the name or the start time of the runner's
    /// instance at most. The instance that it names refuses to confirm it.
    fn send_foreign_heartbeat(&mut self, index: u64) {
        let now = self.now();
        let has_same_name = self.rng.random_bool(0.5);
        let born_ms = self.rng.random_range(0..u64::MAX);
        let runner = &mut self.runners[index as usize];
        let mut report = instance(index, born_ms, runner.capacity);
        if !has_same_name {
            report.id.name = "i-other".to_owned();
            report.id.born_ms = runner.model.born_ms;
        }
        let heartbeat = Heartbeat {
            instance: report,
            sequence: u64::MAX,
            cold_left_ms: 0,
        };
        let outcome = runner.runs.heartbeat_received(now, &heartbeat);
        assert_eq!(outcome, HeartbeatOutcome::Unconfirmed);
        let fence = runner.runs.fence();
        let answer = runner.model.identify(fence).ok().filter(|_| has_same_name);
        if let Some(listing) = answer {
            let confirmed = runner
                .runs
                .confirm_heartbeat(now, now, &heartbeat, &listing);
            assert_eq!(confirmed, Confirmation::Refuted);
        }
    }

    /// Asks the instance that a heartbeat names for an answer that confirms the heartbeat.
    fn confirm_heartbeat(&mut self, index: u64, heartbeat: &Heartbeat) {
        let now = self.now();
        let runner = &mut self.runners[index as usize];
        // A new process whose fencing token is too low raises it with its next listing.
        let Ok(listing) = runner.model.identify(runner.runs.fence()) else {
            return;
        };
        let confirmed = runner.runs.confirm_heartbeat(now, now, heartbeat, &listing);
        let Confirmation::Confirmed(change, calls) = confirmed else {
            panic!("the heartbeat is of this instance");
        };
        self.report_instance_change(index, change);
        self.make_calls(index, calls);
    }

    /// Makes calls to the instance. Some are delayed, or executed without an answer.
    pub(super) fn make_calls(&mut self, index: u64, calls: Vec<DriverCall>) {
        let now = self.now();
        for call in calls {
            let unresponsive =
                self.faults && self.now_ms < self.runners[index as usize].unresponsive_until_ms;
            let delayed = !unresponsive && self.chance(30);
            let executed_at_ms = self.now_ms + self.rng.random_range(100..6_000);
            let runner = &mut self.runners[index as usize];
            if let DriverCall::Start(call) = &call {
                assert!(
                    !runner.runs.is_evacuated(),
                    "task {} is started in an evacuated domain",
                    call.task
                );
            }
            let follow_up = match call {
                call if delayed => {
                    runner.delayed_calls.push((executed_at_ms, call.clone()));
                    match call {
                        DriverCall::Start(call) => {
                            let unanswered = StartResult::Unanswered;
                            runner.runs.start_answered(now, &call, unanswered)
                        }
                        DriverCall::Stop(call) => {
                            runner
                                .runs
                                .stop_answered(now, &call, StopResult::Unanswered);
                            None
                        }
                    }
                }
                DriverCall::Start(call) if unresponsive => {
                    runner.model.start(&call);
                    runner
                        .runs
                        .start_answered(now, &call, StartResult::Unanswered)
                }
                DriverCall::Stop(call) if unresponsive => {
                    runner.model.stop(&call);
                    runner
                        .runs
                        .stop_answered(now, &call, StopResult::Unanswered);
                    None
                }
                DriverCall::Start(call) => {
                    let result = runner.model.start(&call);
                    let used = runner.model.used(|_| needs());
                    assert!(
                        result != StartResult::Started || runner.capacity.fits(&used),
                        "the start of {} exceeds the reported capacity",
                        call.task
                    );
                    runner.runs.start_answered(now, &call, result)
                }
                DriverCall::Stop(call) => {
                    let result = runner.model.stop(&call);
                    runner.runs.stop_answered(now, &call, result);
                    None
                }
            };
            self.make_calls(index, follow_up.into_iter().collect());
        }
    }

    /// Reports a changed instance to all gateways, after the ends that the change has caused.
    pub(super) fn report_instance_change(&mut self, index: u64, change: InstanceChange) {
        let runs_lost = match change {
            InstanceChange::None => return,
            InstanceChange::Updated => false,
            InstanceChange::RunsLost => true,
        };
        self.report_outcomes(index);
        for gateway in 0..GATEWAY_COUNT {
            let owner = Owner::Gateway(self.gateways[gateway as usize].incarnation);
            let runs = &self.runners[index as usize].runs;
            let instance = runs.instance().cloned();
            if let Some(session) = runs.session(owner) {
                let message = Message::Instance(session, instance, runs_lost);
                self.send((gateway, index), false, message);
            }
        }
    }

    /// Sends outcomes to their gateways, and the instance's load at intervals.
    pub(super) fn report_outcomes(&mut self, index: u64) {
        let now = self.now();
        let outcomes = self.runners[index as usize].runs.take_outbox();
        for gateway in 0..GATEWAY_COUNT {
            let incarnation = self.gateways[gateway as usize].incarnation;
            let owner = Owner::Gateway(incarnation);
            let owner_outcomes = outcomes.iter().filter(|(to, _)| *to == owner);
            let owner_outcomes: Vec<RunOutcome> =
                owner_outcomes.map(|(_, outcome)| *outcome).collect();
            let runs = &self.runners[index as usize].runs;
            let due = !owner_outcomes.is_empty() || self.now_ms.is_multiple_of(20);
            if let Some(session) = runs.session(owner).filter(|_| due) {
                let message =
                    Message::Outcomes(session, owner_outcomes, runs.load_report(now, owner));
                self.send((gateway, index), false, message);
            }
        }
    }
}
