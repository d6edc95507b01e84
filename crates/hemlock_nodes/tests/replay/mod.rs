//! Replays a load against the engines of many gateways and the runs of many instances, in simulated
//! time.
//!
//! Messages take their link's delay and wait for the processor of the process that receives them.

mod evacuation;
mod fleet;
mod load;
mod result;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::gateway::engine::Engine;
use hemlock_nodes::load_reports::LoadReports;
use hemlock_nodes::message::{CallerAnswer, RunnerUpdate};
use hemlock_nodes::update_queue::UpdateQueue;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tokio::sync::oneshot;

pub(crate) use evacuation::{Evacuation, domain_of};
pub(crate) use load::{Burst, HotKey, Load};
pub(crate) use result::{ReplayResult, Start};

/// Sizes, delays and costs of the simulated deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) gateways: usize,
    pub(crate) runners: usize,
    /// Number of runners that each gateway follows.
    pub(crate) subset: usize,
    /// Capacity of the instances, which are assigned in turn, in thousandths of a core.
    pub(crate) capacities_milli: Vec<u64>,
    /// Ratio of actual to nominal duration at the instances, assigned in turn.
    pub(crate) slowness: Vec<f64>,
    /// One-way delay between gateways and runners, in microseconds.
    pub(crate) link_us: u64,
    /// Real time that a gateway needs for each message, in microseconds.
    pub(crate) gateway_message_us: u64,
    /// Real time that a runner needs for each message, in microseconds.
    pub(crate) runner_message_us: u64,
    /// Uneven share of the load by gateway; the weights are assigned in turn.
    pub(crate) gateway_weights: Vec<f64>,
    /// Number of racks, to which the instances are assigned in blocks.
    pub(crate) racks: usize,
    /// Ratio of a task's duration on another rack than the one that it prefers to that on the
    /// preferred one.
    pub(crate) remote_factor: f64,
}

/// A message with its receiver.
enum Event {
    /// A caller submits the job to the gateway.
    Submit(usize, load::Arrival),
    ToGateway(usize, GatewayMessage),
    ToRunner(usize, usize, Order),
    TaskEnds(usize, TaskKey, RunNumber, RunEnd),
    /// The instance answers the listing that was sent at the time, unless it has been answered.
    ListingAnswered(usize, u64),
    ReportDue(usize),
    /// The gateway's answer to the update that was sent at the time reaches the runner.
    UpdateAnswered(usize, usize, u64),
    Step(usize),
    Ping(usize),
    Tick(usize),
    /// The leader commits a change of the evacuations.
    EvacuationChanged(Command),
    /// The evacuations reach a process.
    EvacuationsAtGateway(usize, Evacuations),
    EvacuationsAtRunner(usize, Evacuations),
    /// The instance sends a heartbeat.
    Heartbeat(usize),
}

/// The updates of a runner to one gateway.
#[derive(Default)]
struct Updates {
    queue: UpdateQueue,
    reports: LoadReports,
}

enum GatewayMessage {
    Ordered(AgentId, SessionId, Vec<RefusedStart>, LoadReport),
    /// With the time at which it was sent.
    Update(Box<RunnerUpdate>, u64),
}

struct Gateway {
    engine: Engine,
    sessions: BTreeMap<usize, SessionId>,
    busy_until_us: u64,
    next_step_us: u64,
    open: BTreeMap<JobId, (oneshot::Receiver<CallerAnswer>, load::Arrival)>,
    messages: u64,
}

struct Runner {
    runs: Runs,
    model: InstanceModel,
    owners: Vec<usize>,
    busy_until_us: u64,
    /// Sending time of the listing that the instance holds.
    listing_us: u64,
    /// Time of the scheduled load report.
    next_report_us: u64,
    /// Updates to each gateway.
    updates: BTreeMap<usize, Updates>,
    messages: u64,
    heartbeat_count: u64,
    /// End of the time in which the instance is slow.
    cold_until_us: u64,
}

/// The simulated processes and the messages between them.
pub(crate) struct Replay {
    deployment: Deployment,
    load: Load,
    rng: Pcg32,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: BTreeMap<u64, Event>,
    next_event: u64,
    gateways: Vec<Gateway>,
    runners: Vec<Runner>,
    /// Nominal duration of each job's tasks, in milliseconds.
    durations_ms: BTreeMap<JobId, Vec<u64>>,
    /// The racks that jobs prefer.
    preferred_racks: BTreeMap<JobId, String>,
    /// The leader's record of the evacuations.
    evacuations: JobStore,
    result: ReplayResult,
}

impl Replay {
    /// Plays the load and returns what its callers saw.
    pub(crate) fn run(deployment: Deployment, load: Load, seed: u64) -> ReplayResult {
        let mut replay = Self {
            rng: Pcg32::seed_from_u64(seed),
            now_us: 1_000_000,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_event: 0,
            gateways: Vec::new(),
            runners: Vec::new(),
            durations_ms: BTreeMap::new(),
            preferred_racks: BTreeMap::new(),
            evacuations: JobStore::default(),
            result: ReplayResult::new(&load),
            deployment,
            load,
        };
        replay.found();
        replay.schedule_arrivals();
        replay.schedule_evacuations();
        while let Some(Reverse((at_us, key))) = replay.events.pop() {
            replay.now_us = at_us;
            if let Some(event) = replay.payloads.remove(&key) {
                replay.handle(event);
            }
            if at_us > replay.load.end_us() {
                break;
            }
        }
        replay.finish()
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.now_us)
    }

    fn at(&mut self, at_us: u64, event: Event) {
        let key = self.next_event;
        self.next_event += 1;
        self.payloads.insert(key, event);
        self.events.push(Reverse((at_us.max(self.now_us), key)));
    }

    /// Schedules an event at the gateway after its processor has handled what came before.
    fn deliver_to_gateway(&mut self, gateway: usize, sent_us: u64, event: Event) {
        let state = &mut self.gateways[gateway];
        let arrives_us = sent_us + self.deployment.link_us;
        let handled_us = state.busy_until_us.max(arrives_us) + self.deployment.gateway_message_us;
        state.busy_until_us = handled_us;
        state.messages += 1;
        self.at(handled_us, event);
    }

    fn deliver_to_runner(&mut self, runner: usize, event: Event) {
        let state = &mut self.runners[runner];
        let arrives_us = self.now_us + self.deployment.link_us;
        let handled_us = state.busy_until_us.max(arrives_us) + self.deployment.runner_message_us;
        state.busy_until_us = handled_us;
        state.messages += 1;
        self.at(handled_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(gateway, arrival) => self.submit(gateway, arrival),
            Event::ToGateway(gateway, message) => self.handle_at_gateway(gateway, message),
            Event::ToRunner(runner, gateway, order) => self.handle_order(runner, gateway, order),
            Event::TaskEnds(runner, task, run, end) => self.end_task(runner, task, run, end),
            Event::ListingAnswered(runner, sent_us) => self.answer_listing(runner, sent_us),
            Event::ReportDue(runner) => self.report_load(runner),
            Event::UpdateAnswered(runner, gateway, sent_us) => {
                self.update_answered(runner, gateway, sent_us);
            }
            Event::Step(gateway) => self.step_gateway(gateway),
            Event::Ping(gateway) => self.ping_runners(gateway),
            Event::Tick(runner) => self.tick_runner(runner),
            Event::EvacuationChanged(change) => self.change_evacuations(change),
            Event::EvacuationsAtGateway(gateway, evacuations) => {
                self.gateways[gateway].engine.set_evacuations(&evacuations);
                self.step_gateway(gateway);
            }
            Event::EvacuationsAtRunner(runner, evacuations) => {
                self.note_evacuations(runner, &evacuations);
            }
            Event::Heartbeat(runner) => self.send_heartbeat(runner),
        }
    }

    fn submit(&mut self, gateway: usize, arrival: load::Arrival) {
        let kind = &self.load.kinds[arrival.kind];
        let deadline_us = arrival.at_us + load::CALLER_TIMEOUT_US;
        let submission = hemlock_nodes::gateway::engine::Submission {
            id: arrival.id,
            queue: &kind.queue,
            spec: arrival.spec.clone(),
            answer_deadline: Instant::from_micros(deadline_us),
            sent_after: Instant::from_micros(self.now_us),
            peer: None,
        };
        let now = Instant::from_micros(self.now_us);
        let state = &mut self.gateways[gateway];
        match state.engine.submit(now, submission) {
            Ok(receiver) => {
                state.open.insert(arrival.id, (receiver, arrival));
            }
            Err(answer) => self
                .result
                .answered(gateway, &arrival, self.now_us, &answer),
        }
        self.step_gateway(gateway);
    }

    /// Runs the engine, sends its orders and takes the answers to callers.
    fn step_gateway(&mut self, gateway: usize) {
        let now = self.now();
        let orders = self.gateways[gateway].engine.step(now);
        for order in orders {
            let runner = fleet::runner_index(order.agent);
            self.deliver_to_runner(runner, Event::ToRunner(runner, gateway, order));
        }
        let state = &mut self.gateways[gateway];
        let mut answered = Vec::new();
        state
            .open
            .retain(|_, (receiver, arrival)| match receiver.try_recv() {
                Ok(answer) => {
                    answered.push((arrival.clone(), answer));
                    false
                }
                Err(_) => true,
            });
        for (arrival, answer) in answered {
            self.result
                .answered(gateway, &arrival, self.now_us, &answer);
        }
        let deadline_us = self.gateways[gateway].engine.next_deadline().as_micros();
        let due_us = deadline_us.max(self.now_us + 1_000);
        if self.gateways[gateway].next_step_us <= self.now_us
            || self.gateways[gateway].next_step_us > due_us
        {
            self.gateways[gateway].next_step_us = due_us;
            self.at(due_us, Event::Step(gateway));
        }
    }

    fn handle_at_gateway(&mut self, gateway: usize, message: GatewayMessage) {
        let now = self.now();
        let engine = &mut self.gateways[gateway].engine;
        match message {
            GatewayMessage::Ordered(agent, session, refused, load_report) => {
                engine.confirm_session(now, agent, session, Some(load_report));
                let report = hemlock_nodes::message::Report {
                    ended: Vec::new(),
                    refused,
                };
                engine.handle_report(now, agent, session, &report);
            }
            GatewayMessage::Update(update, sent_us) => {
                let runner = fleet::runner_index(update.agent);
                engine.handle_update(now, *update);
                let arrives_us = self.now_us + self.deployment.link_us;
                self.at(arrives_us, Event::UpdateAnswered(runner, gateway, sent_us));
            }
        }
        self.step_gateway(gateway);
    }

    fn ping_runners(&mut self, gateway: usize) {
        let now = self.now();
        let state = &mut self.gateways[gateway];
        for (runner, session) in &state.sessions {
            let agent = fleet::agent_id(*runner);
            state.engine.confirm_session(now, agent, *session, None);
            let owner = Owner::Gateway(fleet::incarnation(gateway));
            self.runners[*runner].runs.owner_heard(owner, *session, now);
        }
        self.at(self.now_us + 250_000, Event::Ping(gateway));
    }

    fn finish(mut self) -> ReplayResult {
        let span_us = self.load.end_us() - 1_000_000;
        self.result.gateway_messages_per_s = self
            .gateways
            .iter()
            .map(|gateway| gateway.messages as f64 * 1e6 / span_us as f64)
            .sum::<f64>()
            / self.gateways.len() as f64;
        let capacity: u64 = (0..self.runners.len())
            .map(|runner| fleet::capacity(&self.deployment, runner).cpu_milli)
            .sum();
        let work_us = self.load.length_ms * 1_000;
        self.result.used_share =
            self.result.used_milli_us as f64 / (capacity as f64 * work_us as f64);
        self.result
    }
}
