//! A gateway's jobs whose tasks crash the instances that start them, without a network.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::gateway::engine::{Engine, EngineSettings, Submission};
use hemlock_nodes::message::{CallerAnswer, InstanceUpdate, Report, RunnerUpdate};
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;
use tokio::sync::oneshot::Receiver;

const OWNER: Owner = Owner::Gateway(Incarnation(1));
const RUNNERS: u64 = 12;
/// Time for which an instance is gone after a crash.
const OUTAGE: DurationMs = DurationMs::new(3_000);
const STEP_MS: u64 = 10;
const TASK_MS: u64 = 60;
/// Crashes of a task's runs after which the task must not be started any more.
const MAX_CRASHES: usize = 3;

/// A runner, its instance, and the sequence of the instance's incarnations.
struct Side {
    runs: Runs,
    model: InstanceModel,
    session: SessionId,
    born_ms: u64,
    /// When each run ends.
    ends_at: BTreeMap<TaskKey, Instant>,
}

/// A gateway with runners whose instances end as soon as they start a task in `deadly`.
struct Fleet {
    now: Instant,
    engine: Engine,
    sides: BTreeMap<AgentId, Side>,
    deadly: BTreeSet<TaskKey>,
    crashes: BTreeMap<TaskKey, usize>,
    /// When each instance that is gone comes back.
    back_at: BTreeMap<AgentId, Instant>,
}

const SEARCHES: &str = "searches";
const POSTINGS: &str = "postings";

fn queue(name: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "listings".to_owned(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority: 0,
        max_attempts: 4,
        slack_factor: 1.6,
    }
}

fn instance(agent: AgentId, born_ms: u64) -> InstanceReport {
    InstanceReport {
        id: InstanceId {
            name: format!("i-{agent}"),
            born_ms,
        },
        service: "listings".to_owned(),
        failure_domain: "a".to_owned(),
        capacity: Resources {
            cpu_milli: 64_000,
            memory_mb: 262_144,
            accelerators: 0,
        },
        labels: Vec::new(),
        draining: false,
    }
}

fn heartbeat(agent: AgentId, born_ms: u64) -> Heartbeat {
    Heartbeat {
        instance: instance(agent, born_ms),
        sequence: 1,
        cold_left_ms: 0,
    }
}

impl Side {
    /// Advances the instance by one step and ends the tasks that are due.
    fn end_due_tasks(&mut self, now: Instant) {
        self.model.advance_ms(STEP_MS);
        let due: Vec<TaskKey> = self
            .ends_at
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            self.ends_at.remove(&task);
            if self.model.running().contains_key(&task) {
                self.model.end(task, RunEnd::Done);
            }
        }
    }
}

fn list(side: &mut Side, now: Instant) {
    let call = ListCall {
        fence: side.runs.fence(),
        born_ms: None,
        lease_until_ms: side.runs.renew_lease(now),
        settled: side.runs.settled(),
        wait_ms: 20,
        timeout_ms: 120,
    };
    let listing = side.model.list(&call).expect("no later process calls");
    side.runs.handle_listing(now, now, &listing);
}

/// Passes the first heartbeat of a new incarnation to its runner, confirmed by a listing.
fn report_instance(side: &mut Side, agent: AgentId, now: Instant) {
    let answer = side.model.identify(side.runs.fence());
    let listing = answer.expect("no later process calls");
    let heartbeat = heartbeat(agent, side.born_ms);
    let confirmed = side.runs.confirm_heartbeat(now, now, &heartbeat, &listing);
    assert!(matches!(confirmed, Confirmation::Confirmed(..)));
}

impl Fleet {
    /// Lets the first task of a job crash any instance that starts it.
    fn mark_deadly(&mut self, id: u64) -> TaskKey {
        let task = TaskKey {
            job: JobId(id),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        self.deadly.insert(task);
        task
    }

    fn new() -> Self {
        let now = Instant::from_ms(1_000);
        let settings = EngineSettings {
            lease_ms: 1_000,
            remote_factor: 1.0,
            resubmit_ms: 1_300,
        };
        let mut engine = Engine::new(now, settings);
        engine.configure(&Configuration {
            version: 1,
            queues: vec![queue(SEARCHES), queue(POSTINGS)],
            services: vec![ServicePool {
                name: "listings".to_owned(),
            }],
            document: Bytes::new(),
        });
        let mut sides = BTreeMap::new();
        for agent in (0..RUNNERS).map(AgentId) {
            let runs = Runs::new(RunsSettings::default(), 1, now);
            let (session, _) = engine.begin_session(now, agent);
            let mut side = Side {
                runs,
                model: InstanceModel::new(1),
                session,
                born_ms: 1,
                ends_at: BTreeMap::new(),
            };
            report_instance(&mut side, agent, now);
            let inventory = side.runs.attach(now, OWNER, session, &[]);
            let load = side.runs.load_report(now, OWNER);
            engine.attached(now, agent, session, &inventory, load);
            sides.insert(agent, side);
        }
        Self {
            now,
            engine,
            sides,
            deadly: BTreeSet::new(),
            crashes: BTreeMap::new(),
            back_at: BTreeMap::new(),
        }
    }

    fn submit(
        &mut self,
        queue_name: &str,
        id: u64,
        width: u16,
    ) -> Result<Receiver<CallerAnswer>, CallerAnswer> {
        let mut step = StepSpec::new(width);
        step.needs.cpu_milli = 6_200;
        step.estimate_ms = 60;
        let submission = Submission {
            id: JobId(id),
            queue: &queue(queue_name),
            spec: JobSpec::new(Bytes::from_static(b"work"), vec![step]),
            answer_deadline: self.now + DurationMs::new(1_500),
            sent_after: self.now,
            peer: None,
        };
        self.engine.submit(self.now, submission)
    }

    fn send_update(&mut self, agent: AgentId, instance_lost: bool) {
        let Some(side) = self.sides.get_mut(&agent) else {
            return;
        };
        let mut report = Report::default();
        for (_, outcome) in side.runs.take_outbox() {
            match outcome {
                RunOutcome::Ended(ended, _) => report.ended.push(ended),
                RunOutcome::Refused(refused) => report.refused.push(refused),
            }
        }
        let update = RunnerUpdate {
            agent,
            session: side.session,
            report,
            load_report: side.runs.load_report(self.now, OWNER),
            instance: instance_lost.then(|| InstanceUpdate {
                instance: side.runs.instance().cloned(),
                runs_lost: true,
                suspects: side.runs.take_crash_suspects(),
            }),
        };
        self.engine.handle_update(self.now, update);
    }

    /// Carries out the engine's orders, and returns whether there were any.
    fn carry_out_orders(&mut self) -> bool {
        let orders = self.engine.step(self.now);
        let ordered = !orders.is_empty();
        for order in orders {
            let agent = order.agent;
            let Some(side) = self.sides.get_mut(&agent) else {
                continue;
            };
            let (calls, _) = side.runs.handle_order(self.now, OWNER, order);
            let mut crashed = None;
            for call in calls {
                let DriverCall::Start(call) = call else {
                    continue;
                };
                let result = side.model.start(&call);
                side.runs.start_answered(self.now, &call, result);
                side.ends_at
                    .insert(call.task, self.now + DurationMs::new(TASK_MS));
                crashed = crashed.or(self.deadly.contains(&call.task).then_some(call.task));
            }
            if let Some(task) = crashed {
                *self.crashes.entry(task).or_default() += 1;
                side.runs.instance_lost(self.now, self.now);
                self.back_at.insert(agent, self.now + OUTAGE);
                self.send_update(agent, true);
            }
        }
        ordered
    }

    /// Starts each instance whose outage is over, as a new incarnation without runs.
    fn restart_instances(&mut self) {
        let agents: Vec<AgentId> = self.sides.keys().copied().collect();
        for agent in agents {
            let Some(side) = self.sides.get_mut(&agent) else {
                continue;
            };
            let is_due = self.back_at.get(&agent).is_some_and(|at| *at <= self.now);
            if side.runs.instance().is_none() && is_due {
                side.born_ms += 1;
                side.model = InstanceModel::new(side.born_ms);
                side.ends_at.clear();
                report_instance(side, agent, self.now);
                self.send_update(agent, true);
            }
        }
    }

    fn run_for_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.now += DurationMs::new(STEP_MS);
            while self.carry_out_orders() {}
            self.restart_instances();
            let agents: Vec<AgentId> = self.sides.keys().copied().collect();
            for agent in agents {
                if let Some(side) = self.sides.get_mut(&agent) {
                    if side.runs.instance().is_some() {
                        side.end_due_tasks(self.now);
                        list(side, self.now);
                    }
                    self.engine
                        .confirm_session(self.now, agent, side.session, None);
                }
                self.send_update(agent, false);
            }
        }
    }
}

/// Guards against a task that takes down one instance after the other, because runs that ended with
/// their instance counted like runs whose lease had expired.
#[test]
fn task_that_crashes_its_instances_is_given_up() {
    let mut fleet = Fleet::new();
    let task = fleet.mark_deadly(1);
    let mut answer = fleet.submit(SEARCHES, 1, 1).expect("it is admitted");
    fleet.run_for_ms(10_000);
    let crashes = fleet.crashes[&task];
    assert!(crashes <= MAX_CRASHES, "{crashes} instances crashed");
    assert_eq!(
        answer.try_recv().ok(),
        Some(CallerAnswer::Finished(JobOutcome::Failed)),
        "the caller learns that the job has failed"
    );
}

/// Guards against a queue of which a tenth crash instances, and with them the work of other queues.
#[test]
fn other_queues_are_served_while_one_queue_crashes_instances() {
    let mut fleet = Fleet::new();
    let mut postings = Vec::new();
    // Each 100 ms brings 4 searches and 8 postings; every tenth search is deadly.
    for round in 0..100_u64 {
        for search in 0..4 {
            let id = 1_000 + round * 4 + search;
            if id % 10 == 0 {
                fleet.mark_deadly(id);
            }
            // Whether searches are served doesn't matter here.
            let _ = fleet.submit(SEARCHES, id, 4);
        }
        for posting in 0..8 {
            postings.push(fleet.submit(POSTINGS, 10_000 + round * 8 + posting, 2));
        }
        fleet.run_for_ms(100);
    }
    fleet.run_for_ms(1_500);
    let served = postings
        .into_iter()
        .filter_map(|answer| answer.ok()?.try_recv().ok());
    let complete = CallerAnswer::Finished(JobOutcome::Complete);
    let served = served.filter(|answer| *answer == complete).count();
    assert!(served >= 760, "{served} of 800 postings are served");
    let most = fleet.crashes.values().max();
    assert!(most <= Some(&MAX_CRASHES), "{most:?} crashes of one task");
}

/// Guards against a job that crashes two instances through each gateway that it is submitted to.
#[test]
fn a_job_that_crashed_instances_through_another_gateway_has_failed() {
    let mut fleet = Fleet::new();
    let task = fleet.mark_deadly(1);
    let suspect = CrashSuspect {
        task,
        queue: QueueId::of(SEARCHES),
    };
    for agent in [AgentId(2), AgentId(3)] {
        let side = &fleet.sides[&agent];
        let update = RunnerUpdate {
            agent,
            session: side.session,
            report: Report::default(),
            load_report: side.runs.load_report(fleet.now, OWNER),
            instance: Some(InstanceUpdate {
                instance: side.runs.instance().cloned(),
                runs_lost: true,
                suspects: vec![suspect],
            }),
        };
        fleet.engine.handle_update(fleet.now, update);
    }
    let answer = fleet.submit(SEARCHES, 1, 1).err();
    assert_eq!(answer, Some(CallerAnswer::Finished(JobOutcome::Failed)));
    assert!(fleet.submit(SEARCHES, 2, 1).is_ok());
}
