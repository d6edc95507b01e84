//! Simulated instances around the model: tasks that end by themselves, stops that take time, listings
//! that wait for an end, calls that are lost or late, crashes and drains.

use std::collections::BTreeSet;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use rand::RngExt;

use super::runners::RunnerEvent;
use super::schedule::Disturbance;
use super::{Action, MS, Node, RUNNERS, Simulation, Target, instance_report};

const HEARTBEAT_INTERVAL: u64 = 500 * MS;
/// Longest time that a stop takes.
const MAX_STOP_US: u64 = 50 * MS;
/// Share of tasks that never end by themselves, in thousandths.
const HANGING_PER_MILLE: u64 = 2;
/// Share of tasks that fail, in thousandths.
const FAILING_PER_MILLE: u64 = 4;

/// A call to an instance.
#[derive(Clone)]
pub(super) enum InstanceCall {
    Start(StartCall),
    Stop(StopCall),
    List(ListCall),
    Identify(u64),
}

/// What a runner learns of a call.
#[derive(Clone)]
pub(super) enum CallResult {
    Start(StartResult),
    Stop(StopResult),
    Listed(Box<Listing>),
    ListFailed(ListError),
    Unanswered,
}

/// Where the answer to a call goes.
#[derive(Clone, Copy)]
pub(super) struct ReplyTo {
    index: usize,
    process: u64,
    call: u64,
    attempt: u32,
}

pub(super) enum InstanceEvent {
    Call(ReplyTo, InstanceCall),
    /// A call whose caller gets no answer is executed.
    LateCall(usize, InstanceCall),
    TaskEnds(usize, TaskKey, RunNumber),
    StopEnds(usize, StopCall),
    HoldEnds(usize, u64),
    Heartbeat(usize),
    Drained(usize),
    Born(usize),
    DisturbanceEnds(usize, Disturbance),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Presence {
    Up,
    /// Connections are refused.
    Refusing,
    /// Nothing is answered.
    Dark,
}

struct HeldListing {
    id: u64,
    reply_to: ReplyTo,
    call: ListCall,
}

pub(super) struct Instance {
    model: InstanceModel,
    presence: Presence,
    born_us: u64,
    /// Distinguishes the incarnation.
    born: u64,
    /// How much slower than true time its clock runs, in thousandths.
    lag_per_mille: u64,
    sequence: u64,
    is_draining: bool,
    /// Stops that have begun.
    stopping: BTreeSet<TaskKey>,
    held: Vec<HeldListing>,
    disturbances: Vec<Disturbance>,
}

impl Instance {
    pub(super) fn is_present(&self, born: u64) -> bool {
        self.presence == Presence::Up && self.born == born
    }
}

impl Simulation {
    fn new_instance(&mut self) -> Instance {
        let born = self.next_number();
        let lag_per_mille = self.between(0, 20);
        Instance {
            model: InstanceModel::new(born),
            presence: Presence::Up,
            born_us: self.now_us,
            born,
            lag_per_mille,
            sequence: 0,
            is_draining: false,
            stopping: BTreeSet::new(),
            held: Vec::new(),
            disturbances: Vec::new(),
        }
    }

    pub(super) fn add_instance(&mut self, index: usize) {
        let instance = self.new_instance();
        self.instances.push(instance);
        self.plan_heartbeat(index, self.now_us + 20 * MS);
    }

    fn plan_heartbeat(&mut self, index: usize, at: u64) {
        let target = Target::Instance(index, self.instances[index].born);
        let heartbeat = Action::Instance(InstanceEvent::Heartbeat(index));
        self.push(at, target, None, heartbeat);
    }

    fn push_to_instance(&mut self, index: usize, at: u64, event: InstanceEvent) {
        let target = Target::Instance(index, self.instances[index].born);
        self.push(at, target, None, Action::Instance(event));
    }

    /// Advances the instance's clock, which ends its runs if the lease has lapsed.
    fn advance_instance(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.presence != Presence::Up {
            return;
        }
        let age_us = self.now_us - instance.born_us;
        let clock_ms = age_us * (1_000 - instance.lag_per_mille) / 1_000 / MS;
        let passed_ms = clock_ms - instance.model.clock_ms;
        if passed_ms > 0 {
            let had_runs = !instance.model.running().is_empty();
            let tasks: Vec<(TaskKey, RunNumber)> = match had_runs {
                true => instance
                    .model
                    .running()
                    .iter()
                    .map(|(t, r)| (*t, r.run))
                    .collect(),
                false => Vec::new(),
            };
            instance.model.advance_ms(passed_ms);
            if had_runs && instance.model.running().is_empty() {
                for (task, run) in tasks {
                    self.note_task(task, run, index, "LAPSES");
                }
            }
        }
    }

    /// Sends a call to the instance beside a runner.
    pub(super) fn call_instance(
        &mut self,
        index: usize,
        call_id: u64,
        attempt: u32,
        call: InstanceCall,
    ) {
        let process = self.processes[&Node::Runner(index)].id;
        let reply_to = ReplyTo {
            index,
            process,
            call: call_id,
            attempt,
        };
        let slow = self.instances[index].disturbances.iter();
        let slow = slow.filter_map(|d| match d {
            Disturbance::SlowCalls { up_to_us } => Some(*up_to_us),
            _ => None,
        });
        let extra_us = slow
            .max()
            .map_or(0, |up_to_us| self.rng.random_range(0..=up_to_us));
        let at = self.now_us + self.rng.random_range(100..800) + extra_us;
        let call = Action::Instance(InstanceEvent::Call(reply_to, call));
        self.push(at, Target::World, None, call);
    }

    fn reply(&mut self, reply_to: ReplyTo, result: CallResult) {
        let disturbances = self.instances[reply_to.index].disturbances.clone();
        let mut extra_us = 0;
        for disturbance in disturbances {
            match disturbance {
                Disturbance::Unanswered { per_mille } if self.chance(per_mille) => return,
                Disturbance::SlowAnswers { up_to_us } => {
                    extra_us = self.rng.random_range(0..=up_to_us);
                }
                _ => {}
            }
        }
        let at = self.now_us + self.rng.random_range(100..800) + extra_us;
        let ReplyTo {
            index,
            process,
            call,
            attempt,
        } = reply_to;
        let answer = RunnerEvent::Answer(call, attempt, result);
        let target = Target::Process(Node::Runner(index), process);
        self.push(at, target, None, Action::Runner(answer));
    }

    pub(super) fn handle_instance_event(&mut self, event: InstanceEvent) {
        match event {
            InstanceEvent::Call(reply_to, call) => self.receive_call(reply_to, call),
            InstanceEvent::LateCall(index, call) => {
                self.advance_instance(index);
                match call {
                    InstanceCall::Start(call) => drop(self.execute_start(index, &call)),
                    InstanceCall::Stop(call) => drop(self.execute_stop(index, call)),
                    InstanceCall::List(call) => drop(self.instances[index].model.list(&call)),
                    InstanceCall::Identify(_) => {}
                }
            }
            InstanceEvent::TaskEnds(index, task, run) => {
                self.advance_instance(index);
                let running = self.instances[index].model.running().get(&task);
                if running.is_some_and(|running| running.run == run) {
                    let end = match self.chance(FAILING_PER_MILLE) {
                        true => RunEnd::Failed,
                        false => RunEnd::Done,
                    };
                    self.instances[index].model.end(task, end);
                    self.note_task(task, run, index, "ENDS");
                    self.answer_held(index);
                }
            }
            InstanceEvent::StopEnds(index, call) => {
                self.advance_instance(index);
                self.instances[index].stopping.remove(&call.task);
                let running = self.instances[index].model.running().get(&call.task);
                if running.is_some_and(|running| running.run <= call.run) {
                    self.instances[index].model.end(call.task, RunEnd::Stopped);
                    self.note_task(call.task, call.run, index, "STOPPED");
                    self.answer_held(index);
                }
            }
            InstanceEvent::HoldEnds(index, id) => {
                self.advance_instance(index);
                let held = &mut self.instances[index].held;
                if let Some(position) = held.iter().position(|held| held.id == id) {
                    let held = held.swap_remove(position);
                    self.answer_listing(&held);
                }
            }
            InstanceEvent::Heartbeat(index) => self.send_heartbeat(index),
            InstanceEvent::Drained(index) => {
                let name = instance_report(index, 0, false).id.name;
                let leave = Action::Runner(RunnerEvent::Leave(name));
                self.push_to(Node::Runner(index), self.now_us + MS, leave);
                self.end_instance(index, Presence::Refusing);
            }
            InstanceEvent::Born(index) => {
                if self.instances[index].presence != Presence::Up {
                    let disturbances = std::mem::take(&mut self.instances[index].disturbances);
                    self.instances[index] = self.new_instance();
                    self.instances[index].disturbances = disturbances;
                    let born = self.instances[index].born;
                    self.note_instance(index, born, "is born");
                    let at = self.now_us + self.between(1, 30) * MS;
                    self.plan_heartbeat(index, at);
                }
            }
            InstanceEvent::DisturbanceEnds(index, disturbance) => {
                let disturbances = &mut self.instances[index].disturbances;
                if let Some(position) = disturbances.iter().position(|d| *d == disturbance) {
                    disturbances.swap_remove(position);
                }
            }
        }
    }

    fn receive_call(&mut self, reply_to: ReplyTo, call: InstanceCall) {
        let index = reply_to.index;
        match self.instances[index].presence {
            Presence::Dark => return,
            Presence::Refusing => {
                let result = match call {
                    InstanceCall::List(_) | InstanceCall::Identify(_) => {
                        CallResult::ListFailed(ListError::Gone)
                    }
                    InstanceCall::Start(_) | InstanceCall::Stop(_) => CallResult::Unanswered,
                };
                self.reply(reply_to, result);
                return;
            }
            Presence::Up => {}
        }
        let disturbances = self.instances[index].disturbances.clone();
        for disturbance in disturbances {
            if let Disturbance::Late { per_mille } = disturbance
                && self.chance(per_mille)
            {
                let at = self.now_us + self.between(100, 5_000) * MS;
                self.push_to_instance(index, at, InstanceEvent::LateCall(index, call));
                return;
            }
        }
        self.advance_instance(index);
        match call {
            InstanceCall::Start(call) => {
                let result = self.execute_start(index, &call);
                self.reply(reply_to, CallResult::Start(result));
            }
            InstanceCall::Stop(call) => {
                let result = self.execute_stop(index, call);
                self.reply(reply_to, CallResult::Stop(result));
            }
            InstanceCall::Identify(fence) => {
                let result = match self.instances[index].model.identify(fence) {
                    Ok(listing) => CallResult::Listed(Box::new(listing)),
                    Err(error) => CallResult::ListFailed(error),
                };
                self.reply(reply_to, result);
            }
            InstanceCall::List(call) => match self.instances[index].model.list(&call) {
                Ok(listing) if listing.ended.is_empty() && call.wait_ms > 0 => {
                    let id = self.next_number();
                    let held = HeldListing { id, reply_to, call };
                    self.instances[index].held.push(held);
                    let at = self.now_us + call.wait_ms * MS;
                    self.push_to_instance(index, at, InstanceEvent::HoldEnds(index, id));
                }
                Ok(listing) => self.reply(reply_to, CallResult::Listed(Box::new(listing))),
                Err(error) => self.reply(reply_to, CallResult::ListFailed(error)),
            },
        }
    }

    fn answer_held(&mut self, index: usize) {
        for held in std::mem::take(&mut self.instances[index].held) {
            self.answer_listing(&held);
        }
    }

    fn answer_listing(&mut self, held: &HeldListing) {
        let call = ListCall {
            lease_until_ms: None,
            ..held.call
        };
        let result = match self.instances[held.reply_to.index].model.list(&call) {
            Ok(listing) => CallResult::Listed(Box::new(listing)),
            Err(error) => CallResult::ListFailed(error),
        };
        self.reply(held.reply_to, result);
    }

    fn execute_start(&mut self, index: usize, call: &StartCall) -> StartResult {
        let model = &mut self.instances[index].model;
        let started_before = model.started.len();
        let result = model.start(call);
        if model.started.len() == started_before {
            return result;
        }
        self.counts.starts += 1;
        self.note_task(call.task, call.run, index, "STARTS");
        for other in (0..RUNNERS).filter(|other| *other != index) {
            self.advance_instance(other);
            let instance = &self.instances[other];
            let is_up = instance.presence == Presence::Up;
            if is_up && instance.model.running().contains_key(&call.task) {
                self.note_violation(call.task, [other, index]);
            }
        }
        if !self.chance(HANGING_PER_MILLE) {
            let at = self.now_us + self.draw_duration_us(call.task);
            let ends = InstanceEvent::TaskEnds(index, call.task, call.run);
            self.push_to_instance(index, at, ends);
        }
        result
    }

    /// Executes a stop, which takes a while if the task runs.
    fn execute_stop(&mut self, index: usize, call: StopCall) -> StopResult {
        let instance = &mut self.instances[index];
        if instance.model.identify(call.fence).is_err() {
            return StopResult::Fenced;
        }
        let running = instance.model.running().get(&call.task);
        if running.is_none_or(|running| running.run > call.run) {
            return instance.model.stop(&call);
        }
        if instance.stopping.insert(call.task) {
            let at = self.now_us + self.rng.random_range(0..MAX_STOP_US);
            self.push_to_instance(index, at, InstanceEvent::StopEnds(index, call));
        }
        StopResult::Accepted
    }

    fn send_heartbeat(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.sequence += 1;
        let heartbeat = Heartbeat {
            instance: instance_report(index, instance.born, instance.is_draining),
            sequence: instance.sequence,
            cold_left_ms: 0,
        };
        let node = Node::Runner(index);
        if self.processes[&node].is_up {
            let at = self.now_us + MS;
            let event = Action::Runner(RunnerEvent::Heartbeat(heartbeat));
            self.push_to(node, at, event);
        }
        self.plan_heartbeat(index, self.now_us + HEARTBEAT_INTERVAL);
    }

    fn end_instance(&mut self, index: usize, presence: Presence) {
        self.advance_instance(index);
        let instance = &mut self.instances[index];
        let born = instance.born;
        instance.presence = presence;
        // The operating system closes the connections of a process that has ended.
        let held = std::mem::take(&mut instance.held);
        if presence == Presence::Refusing {
            for held in held {
                self.reply(held.reply_to, CallResult::Unanswered);
            }
        }
        self.note_instance(index, born, "ends");
    }

    pub(super) fn crash_instance(&mut self, index: usize, is_dark: bool, off_us: u64) {
        if self.instances[index].presence != Presence::Up {
            return;
        }
        let presence = match is_dark {
            true => Presence::Dark,
            false => Presence::Refusing,
        };
        self.end_instance(index, presence);
        let born = Action::Instance(InstanceEvent::Born(index));
        self.push(self.now_us + off_us, Target::World, None, born);
    }

    pub(super) fn drain_instance(&mut self, index: usize, for_us: u64, off_us: u64) {
        if self.instances[index].presence != Presence::Up || self.instances[index].is_draining {
            return;
        }
        self.instances[index].is_draining = true;
        let at = self.now_us + for_us;
        self.push_to_instance(index, at, InstanceEvent::Drained(index));
        let born = Action::Instance(InstanceEvent::Born(index));
        self.push(at + off_us + MS, Target::World, None, born);
    }

    pub(super) fn disturb_calls(&mut self, index: usize, disturbance: Disturbance, for_us: u64) {
        self.instances[index].disturbances.push(disturbance);
        let ends = Action::Instance(InstanceEvent::DisturbanceEnds(index, disturbance));
        self.push(self.now_us + for_us, Target::World, None, ends);
    }
}
