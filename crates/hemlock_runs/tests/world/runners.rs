//! Instances and runners.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use rand::RngExt;

use super::{GATEWAYS, LISTING_MS, Message, STEP_MS, World, instance, work_ms};

impl World {
    pub(super) fn step_instance(&mut self, index: u64) {
        let lost_end = self.chance(5);
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
        for task in due {
            let end = if lost_end {
                RunEnd::Failed
            } else {
                RunEnd::Done
            };
            runner.model.end(task, end);
        }
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut runner.late)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= self.now_ms);
        runner.late = waiting;
        for (_, call) in ready {
            match call {
                DriverCall::Start(call) => drop(runner.model.start(&call)),
                DriverCall::Stop(call) => drop(runner.model.stop(&call)),
            }
        }
    }

    pub(super) fn step_runner(&mut self, index: u64) {
        let now = self.now();
        let now_ms = self.now_ms;
        // Rarer than other faults, since it lasts.
        let begins_mute = self.chance(2) && self.chance(150);
        let mute_ms = self.rng.random_range(200..4_000);
        if begins_mute {
            self.runners[index as usize].mute_until_ms = self.now_ms + mute_ms;
        }
        let mute = self.faults && self.now_ms < self.runners[index as usize].mute_until_ms;
        let answer_lost = mute || self.chance(20);
        let runner = &mut self.runners[index as usize];
        if now_ms >= runner.next_beat_ms {
            runner.next_beat_ms = now_ms + 500;
            runner.beats += 1;
            let beat = Heartbeat {
                instance: instance(index, runner.model.born_ms),
                clock_ms: runner.model.clock_ms,
                sequence: runner.beats,
            };
            let change = runner.runs.heartbeat_received(now, beat);
            self.tell_instance(index, change);
        }
        let runner = &mut self.runners[index as usize];
        let mut calls = runner.runs.tick(now);
        if now_ms >= runner.next_listing_ms {
            runner.next_listing_ms = now_ms + LISTING_MS;
            let call = ListCall {
                fence: runner.runs.fence(),
                lease_until_ms: runner.runs.renew_lease(now),
                settled: runner.runs.settled(),
                wait_ms: 0,
                timeout_ms: 100,
            };
            match runner.model.list(&call) {
                Ok(listing) if !answer_lost => {
                    let (change, more) = runner.runs.handle_listing(now, now, &listing);
                    calls.extend(more);
                    self.tell_instance(index, change);
                }
                Ok(_) => {
                    let change = runner.runs.expire_silent_instance(now);
                    self.tell_instance(index, change);
                }
                Err(ListError::Fenced) => runner.runs.raise_fence(),
                Err(_) => {}
            }
        }
        self.make_calls(index, calls);
        self.tell_outcomes(index);
    }

    pub(super) fn make_calls(&mut self, index: u64, calls: Vec<DriverCall>) {
        let now = self.now();
        for call in calls {
            let mute = self.faults && self.now_ms < self.runners[index as usize].mute_until_ms;
            let late = !mute && self.chance(30);
            let carried_out_ms = self.now_ms + self.rng.random_range(100..6_000);
            let runner = &mut self.runners[index as usize];
            let follow_up = match call {
                call if late => {
                    runner.late.push((carried_out_ms, call.clone()));
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
                DriverCall::Start(call) if mute => {
                    runner.model.start(&call);
                    runner
                        .runs
                        .start_answered(now, &call, StartResult::Unanswered)
                }
                DriverCall::Stop(call) if mute => {
                    runner.model.stop(&call);
                    runner
                        .runs
                        .stop_answered(now, &call, StopResult::Unanswered);
                    None
                }
                DriverCall::Start(call) => {
                    let result = runner.model.start(&call);
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

    /// Tells all gateways of a changed instance, behind the ends that the change has brought about.
    pub(super) fn tell_instance(&mut self, index: u64, change: InstanceChange) {
        let runs_lost = match change {
            InstanceChange::None => return,
            InstanceChange::Updated => false,
            InstanceChange::RunsLost => true,
        };
        self.tell_outcomes(index);
        for gateway in 0..GATEWAYS {
            let owner = Owner::Gateway(self.gateways[gateway as usize].life);
            let runs = &self.runners[index as usize].runs;
            let instance = runs.instance().cloned();
            if let Some(session) = runs.session(owner) {
                let news = Message::Instance(session, instance, runs_lost);
                self.send((gateway, index), false, news);
            }
        }
    }

    pub(super) fn tell_outcomes(&mut self, index: u64) {
        let now = self.now();
        let outcomes = self.runners[index as usize].runs.take_outbox();
        for gateway in 0..GATEWAYS {
            let life = self.gateways[gateway as usize].life;
            let owner = Owner::Gateway(life);
            let own = outcomes.iter().filter(|(to, _)| *to == owner);
            let own: Vec<RunOutcome> = own.map(|(_, outcome)| *outcome).collect();
            let runs = &self.runners[index as usize].runs;
            let due = !own.is_empty() || self.now_ms.is_multiple_of(20);
            if let Some(session) = runs.session(owner).filter(|_| due) {
                let news = Message::News(session, own, runs.room(now, owner));
                self.send((gateway, index), false, news);
            }
        }
    }
}
