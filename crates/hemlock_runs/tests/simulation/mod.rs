//! Simulation of gateways, runners and instances, with late and lost messages, tasks that crash their
//! instances, and instances whose capacity shrinks and grows.

mod evacuations;
mod faults;
mod gateways;
mod links;
mod runners;

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Duration of one step, in milliseconds.
const STEP_MS: u64 = 5;
/// Delay after which a caller whose gateway was restarted submits its job again, in milliseconds.
const RESUBMIT_AFTER_MS: u64 = 1_300;
/// Probability that a job is submitted in a step. It loads the instances to half of their capacity.
const JOBS_PER_STEP: f64 = 0.06;
const GATEWAY_COUNT: u64 = 3;
const RUNNER_COUNT: u64 = 4;
/// Interval between a gateway's pings, in milliseconds.
const PING_MS: u64 = 250;
/// Run time after which a deadly task crashes its instance, in milliseconds.
const DEADLY_AFTER_MS: u64 = 10;
/// Most crashes of one task that one gateway may cause. The task is given up after three; reports of two
/// may be lost with the processes of runners.
const MAX_CRASHES: u32 = 5;
/// Interval between a runner's listings, in milliseconds.
const LISTING_MS: u64 = 20;

const CAPACITY: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 65_536,
    accelerators: 0,
};

fn needs() -> Resources {
    Resources {
        cpu_milli: 6_000,
        memory_mb: 64,
        accelerators: 0,
    }
}

/// Duration of a job's tasks, in milliseconds. Some take longer than the delay after which callers
/// submit their jobs again.
fn work_ms(id: JobId) -> u64 {
    match id.0 % 11 {
        0 => 2_000,
        kind => 40 + kind * 25,
    }
}

/// Whether a task of the job crashes each instance that starts it.
fn is_deadly(id: JobId) -> bool {
    id.0.is_multiple_of(53)
}

/// A message between a gateway and a runner. A connection delivers messages in order.
enum Message {
    Attach(SessionId, Vec<Claim>),
    Attached(SessionId, Inventory, LoadReport),
    Order(Order),
    Ordered(SessionId, Vec<RefusedStart>, LoadReport),
    Ping(SessionId),
    Pong(SessionId, LoadReport),
    Outcomes(SessionId, Vec<RunOutcome>, LoadReport),
    /// The current instance, and whether all its earlier runs have ended.
    Instance(SessionId, Option<InstanceReport>, bool),
}

/// A connection between a gateway and a runner. Each queued message has a delivery time.
#[derive(Default)]
struct Link {
    open: bool,
    /// While set, no messages are delivered, and neither side is notified.
    silent: bool,
    to_runner: Vec<(u64, Message)>,
    to_gateway: Vec<(u64, Message)>,
}

struct Gateway {
    job_store: JobStore,
    dispatcher: Dispatcher,
    incarnation: Incarnation,
    sessions: BTreeMap<u64, SessionId>,
    next_ping_ms: u64,
    /// Time at which each runner was last heard from, for the timeout of its connection.
    last_heard_ms: BTreeMap<u64, u64>,
}

struct Runner {
    runs: Runs,
    model: InstanceModel,
    next_listing_ms: u64,
    next_heartbeat_ms: u64,
    heartbeat_count: u64,
    /// End of the time in which the instance executes calls without answering.
    unresponsive_until_ms: u64,
    /// Calls that the runner has treated as unanswered, with the times at which they are executed.
    delayed_calls: Vec<(u64, DriverCall)>,
    /// End of the time in which the instance is slow.
    cold_until_ms: u64,
    /// The instance's capacity, which shrinks and grows.
    capacity: Resources,
}

/// The simulated processes, their connections and the open jobs.
pub(crate) struct Simulation {
    rng: Pcg32,
    faults: bool,
    now_ms: u64,
    gateways: Vec<Gateway>,
    runners: Vec<Runner>,
    /// Connections by the indices of their gateway and runner.
    links: BTreeMap<(u64, u64), Link>,
    /// Open jobs and the gateways that they were submitted to.
    open_jobs: BTreeMap<JobId, u64>,
    /// Jobs to submit again, with the times of the submissions.
    resubmissions: Vec<(u64, JobId)>,
    /// The leader's record of the evacuations.
    evacuations: Evacuations,
    /// Id of the next new job; `u64::MAX` if no more jobs are submitted.
    next_job: u64,
    last_unique_number: u64,
    /// Crashes by task and by the gateway process that started it.
    crashes: BTreeMap<(TaskKey, Incarnation), u32>,
    pub(crate) submitted: u64,
    pub(crate) ended: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        Self::build(seed, true)
    }

    pub(crate) fn without_faults(seed: u64) -> Self {
        Self::build(seed, false)
    }

    fn build(seed: u64, faults: bool) -> Self {
        let mut simulation = Self {
            rng: Pcg32::seed_from_u64(seed),
            faults,
            now_ms: 10_000,
            gateways: Vec::new(),
            runners: Vec::new(),
            links: BTreeMap::new(),
            open_jobs: BTreeMap::new(),
            resubmissions: Vec::new(),
            evacuations: Evacuations::default(),
            next_job: 1,
            last_unique_number: 1,
            crashes: BTreeMap::new(),
            submitted: 0,
            ended: 0,
        };
        for _ in 0..GATEWAY_COUNT {
            let gateway = simulation.new_gateway();
            simulation.gateways.push(gateway);
        }
        for _ in 0..RUNNER_COUNT {
            let born_ms = simulation.next_unique_number();
            let runner = simulation.new_runner(InstanceModel::new(born_ms));
            simulation.runners.push(runner);
        }
        simulation
    }

    fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    /// Returns a number higher than all earlier ones, for incarnations, start times and fencing
    /// tokens.
    fn next_unique_number(&mut self) -> u64 {
        self.last_unique_number += 1;
        self.last_unique_number
    }

    /// Draws whether a fault with this probability occurs; never if faults are disabled.
    fn chance(&mut self, per_mille: u32) -> bool {
        self.faults && self.rng.random_range(0..1_000) < per_mille
    }

    fn new_gateway(&mut self) -> Gateway {
        let queue = Queue {
            name: "q".to_owned(),
            service: "s".to_owned(),
            timeout_ms: 1_500,
            target_latency_ms: 200,
            max_attempts: 3,
            slack_factor: 4.0,
            ..Queue::default()
        };
        let mut job_store = JobStore::new(10_000);
        let configuration = Configuration {
            version: 1,
            queues: vec![queue],
            services: vec![ServicePool {
                name: "s".to_owned(),
            }],
            document: Bytes::new(),
        };
        let configure = Command::Configure(Box::new(configuration));
        job_store.apply(&Batch::new(0, vec![configure]));
        let settings = DispatchSettings {
            capacity: CapacitySource::Reported,
            records_ends: false,
            authority_ms: 1_200,
            ..DispatchSettings::default()
        };
        Gateway {
            dispatcher: Dispatcher::new(self.now(), settings, &job_store),
            job_store,
            incarnation: Incarnation(self.next_unique_number()),
            sessions: BTreeMap::new(),
            next_ping_ms: 0,
            last_heard_ms: BTreeMap::new(),
        }
    }

    fn new_runner(&mut self, model: InstanceModel) -> Runner {
        let fence = self.next_unique_number();
        Runner {
            runs: Runs::new(RunsSettings::default(), fence, self.now()),
            model,
            next_listing_ms: 0,
            next_heartbeat_ms: 0,
            heartbeat_count: 0,
            unresponsive_until_ms: 0,
            delayed_calls: Vec::new(),
            cold_until_ms: 0,
            capacity: CAPACITY,
        }
    }

    /// Advances the simulation by one step, with random faults if they are enabled.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject_faults();
        self.step_evacuations();
        self.submit_due_jobs();
        for runner in 0..RUNNER_COUNT {
            self.step_instance(runner);
            self.step_runner(runner);
        }
        for gateway in 0..GATEWAY_COUNT {
            for runner in 0..RUNNER_COUNT {
                self.step_link(gateway, runner);
            }
            self.step_gateway(gateway);
        }
        self.check_invariants();
    }

    /// Runs without faults or new jobs until all jobs have ended.
    pub(crate) fn drain(&mut self) {
        self.faults = false;
        for link in self.links.values_mut() {
            link.silent = false;
        }
        self.end_evacuations();
        let no_more = u64::MAX;
        let next_job = std::mem::replace(&mut self.next_job, no_more);
        for _ in 0..8_000 {
            if self.open_jobs.is_empty() && self.resubmissions.is_empty() {
                break;
            }
            self.step();
        }
        self.next_job = next_job;
        assert!(
            self.open_jobs.is_empty() && self.resubmissions.is_empty(),
            "{} jobs got no answer, the first is {:?}",
            self.open_jobs.len(),
            self.open_jobs.first_key_value()
        );
    }

    /// Checks on the instances that no task runs twice at once and that no capacity is exceeded.
    fn check_invariants(&self) {
        let mut seen: HashMap<TaskKey, usize> = HashMap::new();
        for (index, runner) in self.runners.iter().enumerate() {
            for task in runner.model.running().keys() {
                if let Some(other) = seen.insert(*task, index) {
                    panic!("task {task} runs at instances {other} and {index} at once");
                }
            }
            let used = runner.model.used(|_| needs());
            assert!(
                CAPACITY.fits(&used),
                "instance {index} exceeds its capacity"
            );
        }
    }
}

fn instance(index: u64, born_ms: u64, capacity: Resources) -> InstanceReport {
    InstanceReport {
        id: InstanceId {
            name: format!("i-{index}"),
            born_ms,
        },
        service: "s".to_owned(),
        failure_domain: evacuations::domain_of(index),
        capacity,
        labels: Vec::new(),
        draining: false,
    }
}
