//! The simulated runners and their instances.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::gateway::engine::{Engine, EngineSettings};
use hemlock_nodes::load_reports::LoadSummary;
use hemlock_nodes::message::{Report, RunnerUpdate};
use hemlock_nodes::subset::choose_subset;
use hemlock_nodes::update_queue::PendingUpdate;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;

use super::{Deployment, Event, Gateway, GatewayMessage, Replay, Runner, Updates};

/// Time between a call to the instance and its answer, in microseconds.
const INSTANCE_CALL_US: u64 = 400;
/// Longest time that a busy instance holds a listing, in microseconds.
const HOLD_US: u64 = 20_000;
const LEASE_MS: u64 = 1_000;

pub(super) fn agent_id(runner: usize) -> AgentId {
    AgentId(runner as u64 + 1)
}

pub(super) fn runner_index(agent: AgentId) -> usize {
    agent.0 as usize - 1
}

pub(super) fn incarnation(gateway: usize) -> Incarnation {
    Incarnation(gateway as u64 + 1)
}

pub(super) fn capacity(deployment: &Deployment, runner: usize) -> Resources {
    let capacities = &deployment.capacities_milli;
    Resources {
        cpu_milli: capacities[runner % capacities.len()],
        memory_mb: 262_144,
        accelerators: 0,
    }
}

/// Name of the rack of an instance.
pub(super) fn rack_of(deployment: &Deployment, runner: usize) -> String {
    format!("rack-{}", runner * deployment.racks / deployment.runners)
}

pub(super) fn instance(deployment: &Deployment, runner: usize) -> InstanceReport {
    InstanceReport {
        id: InstanceId {
            name: format!("i-{runner}"),
            born_ms: 1,
        },
        service: "s".to_owned(),
        failure_domain: super::domain_of(runner).to_owned(),
        capacity: capacity(deployment, runner),
        labels: vec![rack_of(deployment, runner)],
        draining: false,
    }
}

impl Replay {
    /// Creates all processes and their sessions.
    pub(super) fn found(&mut self) {
        let now = self.now();
        for runner in 0..self.deployment.runners {
            let mut runs = Runs::new(RunsSettings::default(), 1, now);
            let mut model = InstanceModel::new(1);
            let heartbeat = Heartbeat {
                instance: instance(&self.deployment, runner),
                sequence: 1,
                cold_left_ms: 0,
            };
            let listing = model.list(&list_call(&mut runs, now)).expect("no fence");
            let confirmed = runs.confirm_heartbeat(now, now, &heartbeat, &listing);
            assert!(matches!(confirmed, Confirmation::Confirmed(..)));
            self.runners.push(Runner {
                runs,
                model,
                owners: Vec::new(),
                busy_until_us: 0,
                listing_us: 0,
                next_report_us: 0,
                updates: BTreeMap::new(),
                messages: 0,
                heartbeat_count: 1,
                cold_until_us: 0,
            });
            self.at(self.now_us, Event::ListingAnswered(runner, 0));
            self.at(self.now_us + 50_000, Event::Tick(runner));
        }
        let agents: BTreeSet<AgentId> = (0..self.deployment.runners).map(agent_id).collect();
        for gateway in 0..self.deployment.gateways {
            let settings = EngineSettings {
                lease_ms: LEASE_MS,
                remote_factor: self.deployment.remote_factor,
                resubmit_ms: 1_300,
            };
            let mut engine = Engine::new(now, settings);
            engine.configure(&Configuration {
                version: 1,
                queues: self
                    .load
                    .kinds
                    .iter()
                    .map(|kind| kind.queue.clone())
                    .collect(),
                services: vec![ServicePool {
                    name: "s".to_owned(),
                }],
                document: bytes::Bytes::new(),
            });
            let mut sessions = BTreeMap::new();
            for agent in self.subset(gateway, &agents) {
                let runner = runner_index(agent);
                let (session, _) = engine.begin_session(now, agent);
                let owner = Owner::Gateway(incarnation(gateway));
                let state = &mut self.runners[runner];
                let inventory = state.runs.attach(now, owner, session, &[]);
                state.owners.push(gateway);
                let load_report = state.runs.load_report(now, owner);
                engine.attached(now, agent, session, &inventory, load_report);
                sessions.insert(runner, session);
            }
            self.gateways.push(Gateway {
                engine,
                sessions,
                busy_until_us: 0,
                next_step_us: 0,
                open: BTreeMap::new(),
                messages: 0,
            });
            self.at(self.now_us + 250_000, Event::Ping(gateway));
        }
    }

    fn subset(&self, gateway: usize, agents: &BTreeSet<AgentId>) -> BTreeSet<AgentId> {
        choose_subset(incarnation(gateway).0, agents, self.deployment.subset)
    }

    pub(super) fn handle_order(&mut self, runner: usize, gateway: usize, order: Order) {
        let now = self.now();
        let owner = Owner::Gateway(incarnation(gateway));
        let (agent, session) = (order.agent, order.session);
        let state = &mut self.runners[runner];
        let (calls, refused) = state.runs.handle_order(now, owner, order);
        self.make_calls(runner, calls);
        let load_report = self.runners[runner].runs.load_report(now, owner);
        let answer = GatewayMessage::Ordered(agent, session, refused, load_report);
        self.deliver_to_gateway(gateway, self.now_us, Event::ToGateway(gateway, answer));
        self.send_outcomes(runner);
        self.load_changed(runner);
        self.note_reported(runner, gateway);
    }

    fn advance_model(&mut self, runner: usize) {
        let model = &mut self.runners[runner].model;
        let elapsed_ms = (self.now_us / 1_000).saturating_sub(1_000 + model.clock_ms);
        model.advance_ms(elapsed_ms);
    }

    /// Makes calls to the instance, which are answered at once.
    fn make_calls(&mut self, runner: usize, calls: Vec<DriverCall>) {
        self.advance_model(runner);
        let now = self.now();
        for call in calls {
            match call {
                DriverCall::Start(call) => {
                    let state = &mut self.runners[runner];
                    let result = state.model.start(&call);
                    state.runs.start_answered(now, &call, result);
                    if result == StartResult::Started {
                        self.begin_task(runner, call.task, call.run);
                    }
                }
                DriverCall::Stop(call) => {
                    let state = &mut self.runners[runner];
                    let result = state.model.stop(&call);
                    state.runs.stop_answered(now, &call, result);
                    self.wake_listing(runner);
                }
            }
        }
    }

    fn begin_task(&mut self, runner: usize, task: TaskKey, run: RunNumber) {
        let durations = self.durations_ms.get(&task.job);
        let nominal_ms = durations.map_or(1, |durations| durations[usize::from(task.index)]);
        let slowness = &self.deployment.slowness;
        let is_remote = self
            .preferred_racks
            .get(&task.job)
            .is_some_and(|rack| *rack != rack_of(&self.deployment, runner));
        let remote_factor = if is_remote {
            self.deployment.remote_factor
        } else {
            1.0
        };
        let factor = slowness[runner % slowness.len()] * remote_factor * self.cold_factor(runner);
        self.note_start(runner);
        let ends_us = self.now_us + (nominal_ms as f64 * 1_000.0 * factor) as u64;
        let needs = self.runners[runner]
            .runs
            .capacity_of(task)
            .map_or(0, |needs| needs.cpu_milli);
        self.result.used_milli_us += needs * (ends_us - self.now_us);
        let arrival = self.gateways.iter().find_map(|gateway| {
            gateway
                .open
                .get(&task.job)
                .map(|(_, arrival)| arrival.at_us)
        });
        let waited = arrival.map(|at_us| self.now_us - at_us);
        self.result.start_waits_us.extend(waited);
        if let Some(waited_us) = waited {
            let first = self.result.first_starts_us.entry(task.job);
            first.or_insert(waited_us);
        }
        self.at(ends_us, Event::TaskEnds(runner, task, run, RunEnd::Done));
    }

    pub(super) fn end_task(&mut self, runner: usize, task: TaskKey, run: RunNumber, end: RunEnd) {
        self.advance_model(runner);
        let model = &mut self.runners[runner].model;
        if model
            .running()
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            model.end(task, end);
            self.wake_listing(runner);
        }
    }

    fn wake_listing(&mut self, runner: usize) {
        let sent_us = self.runners[runner].listing_us;
        let answered_us = self.now_us.max(sent_us) + INSTANCE_CALL_US / 2;
        self.at(answered_us, Event::ListingAnswered(runner, sent_us));
    }

    pub(super) fn answer_listing(&mut self, runner: usize, sent_us: u64) {
        if self.runners[runner].listing_us != sent_us {
            return;
        }
        self.advance_model(runner);
        let now = self.now();
        let state = &mut self.runners[runner];
        let call = list_call(&mut state.runs, now);
        let listing = state.model.list(&call).expect("no later process calls");
        let asked_at = Instant::from_micros(sent_us.max(1_000_000));
        let (_, calls) = state.runs.handle_listing(now, asked_at, &listing);
        state.listing_us = self.now_us + INSTANCE_CALL_US / 2;
        let sent_us = state.listing_us;
        let holds = state
            .model
            .unsettled()
            .iter()
            .all(|end| end.number <= state.runs.settled());
        let wait_us = if holds { HOLD_US } else { INSTANCE_CALL_US };
        self.at(sent_us + wait_us, Event::ListingAnswered(runner, sent_us));
        self.make_calls(runner, calls);
        self.send_outcomes(runner);
    }

    pub(super) fn tick_runner(&mut self, runner: usize) {
        let now = self.now();
        let calls = self.runners[runner].runs.tick(now);
        self.make_calls(runner, calls);
        self.send_outcomes(runner);
        self.at(self.now_us + 50_000, Event::Tick(runner));
    }

    pub(super) fn send_outcomes(&mut self, runner: usize) {
        let outcomes = self.runners[runner].runs.take_outbox();
        if outcomes.is_empty() {
            return;
        }
        let mut reports: BTreeMap<usize, Report> = BTreeMap::new();
        for (owner, outcome) in outcomes {
            let Owner::Gateway(incarnation) = owner else {
                continue;
            };
            let report = reports.entry(incarnation.0 as usize - 1).or_default();
            match outcome {
                RunOutcome::Ended(ended, _) => report.ended.push(ended),
                RunOutcome::Refused(refused) => report.refused.push(refused),
            }
        }
        for (gateway, report) in reports {
            self.send_update(runner, gateway, report);
        }
        self.load_changed(runner);
    }

    /// Sends an update, or merges it with others that wait for the answer to an earlier one.
    pub(super) fn send_update(&mut self, runner: usize, gateway: usize, report: Report) {
        let updates = self.runners[runner].updates.entry(gateway).or_default();
        let pending = PendingUpdate {
            report,
            instance: None,
        };
        if let Some(pending) = updates.queue.push(pending) {
            self.transmit_update(runner, gateway, pending.report);
        }
    }

    pub(super) fn update_answered(&mut self, runner: usize, gateway: usize, sent_us: u64) {
        let took_us = self.now_us - sent_us;
        let updates = self.runners[runner].updates.entry(gateway).or_default();
        updates.reports.note_answered(took_us);
        match updates.queue.finish() {
            Some(pending) => self.transmit_update(runner, gateway, pending.report),
            None => self.schedule_report(runner),
        }
    }

    fn transmit_update(&mut self, runner: usize, gateway: usize, report: Report) {
        self.note_reported(runner, gateway);
        let Some(session) = self.gateways[gateway].sessions.get(&runner).copied() else {
            return;
        };
        let owner = Owner::Gateway(incarnation(gateway));
        let update = RunnerUpdate {
            agent: agent_id(runner),
            session,
            report,
            load_report: self.runners[runner].runs.load_report(self.now(), owner),
            instance: None,
        };
        self.runners[runner].busy_until_us =
            self.runners[runner].busy_until_us.max(self.now_us) + self.deployment.runner_message_us;
        let message = GatewayMessage::Update(Box::new(update), self.now_us);
        self.deliver_to_gateway(gateway, self.now_us, Event::ToGateway(gateway, message));
    }

    fn load_changed(&mut self, runner: usize) {
        let state = &mut self.runners[runner];
        for gateway in &state.owners {
            let updates = state.updates.entry(*gateway).or_default();
            updates.reports.note_changed();
        }
        self.schedule_report(runner);
    }

    fn note_reported(&mut self, runner: usize, gateway: usize) {
        let now = self.now();
        let state = &mut self.runners[runner];
        let summary = state.summary();
        let updates = state.updates.entry(gateway).or_default();
        updates.reports.note_sent(now, summary);
    }

    /// The gateways to which a changed load is to be reported, each with the time.
    fn reports_due(&self, runner: usize) -> Vec<(u64, usize)> {
        let state = &self.runners[runner];
        let summary = state.summary();
        let is_waiting =
            |updates: &Updates| updates.reports.is_changed() && !updates.queue.is_in_flight();
        let updates = state.updates.iter();
        let waiting = updates.filter(|(_, updates)| is_waiting(updates));
        let due = waiting.map(|(gateway, updates)| {
            let due = updates.reports.due_at(&summary, state.owners.len());
            (due.as_micros(), *gateway)
        });
        due.collect()
    }

    fn schedule_report(&mut self, runner: usize) {
        let due = self.reports_due(runner);
        let Some(due_us) = due.iter().map(|(at_us, _)| *at_us).min() else {
            return;
        };
        let due_us = due_us.max(self.now_us);
        let state = &mut self.runners[runner];
        if state.next_report_us <= self.now_us || due_us < state.next_report_us {
            state.next_report_us = due_us;
            self.at(due_us, Event::ReportDue(runner));
        }
    }

    pub(super) fn report_load(&mut self, runner: usize) {
        // A later change has moved the report.
        if self.runners[runner].next_report_us != self.now_us {
            return;
        }
        for (at_us, gateway) in self.reports_due(runner) {
            if at_us <= self.now_us {
                self.send_update(runner, gateway, Report::default());
            }
        }
        self.schedule_report(runner);
    }
}

impl Runner {
    fn summary(&self) -> LoadSummary {
        let report = self.runs.load_report(Instant::ZERO, Owner::Leader);
        let capacity = self.runs.instance().map_or(0, |i| i.capacity.cpu_milli);
        LoadSummary::new(
            &report,
            capacity,
            self.runs.used().cpu_milli,
            self.runs.running(),
        )
    }
}

fn list_call(runs: &mut Runs, now: Instant) -> ListCall {
    ListCall {
        fence: runs.fence(),
        born_ms: None,
        lease_until_ms: runs.renew_lease(now),
        settled: runs.settled(),
        wait_ms: 20,
        timeout_ms: 120,
    }
}
