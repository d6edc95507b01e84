//! Gateways, runners and instances in simulated time, with messages that are late or lost.

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

/// Time of one step, in milliseconds.
const STEP_MS: u64 = 5;
/// A caller that had no answer hands its job in again after this long, in milliseconds.
const RESEND_MS: u64 = 1_300;
/// Jobs that are handed in in a step: half of what the instances can do.
const JOBS_PER_STEP: f64 = 0.06;
const GATEWAYS: u64 = 3;
const RUNNERS: u64 = 4;
/// Time between two pings of a gateway, in milliseconds.
const PING_MS: u64 = 250;
/// Time between two listings of a runner, in milliseconds.
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

/// How long the tasks of a job work, in milliseconds. Some outlast the time after which a caller
/// hands its job in again.
fn work_ms(id: JobId) -> u64 {
    match id.0 % 11 {
        0 => 2_000,
        kind => 40 + kind * 25,
    }
}

/// What travels between a gateway and a runner. A connection keeps its order.
enum Message {
    Attach(SessionId, Vec<Claim>),
    Attached(SessionId, Inventory, LoadReport),
    Order(Order),
    Ordered(SessionId, Vec<RefusedStart>, LoadReport),
    Ping(SessionId),
    Pong(SessionId, LoadReport),
    News(SessionId, Vec<RunOutcome>, LoadReport),
    /// The instance as it is now, and whether what ran there is over.
    Instance(SessionId, Option<InstanceReport>, bool),
}

/// One connection between a gateway and a runner.
#[derive(Default)]
struct Link {
    open: bool,
    /// Set while nothing passes, though neither side is told.
    silent: bool,
    to_runner: Vec<(u64, Message)>,
    to_gateway: Vec<(u64, Message)>,
}

struct Gateway {
    book: JobStore,
    dispatcher: Dispatcher,
    life: Incarnation,
    sessions: BTreeMap<u64, SessionId>,
    next_ping_ms: u64,
    /// When each runner was last heard, for the time-out of its connection.
    heard_ms: BTreeMap<u64, u64>,
}

struct Runner {
    runs: Runs,
    model: InstanceModel,
    next_listing_ms: u64,
    next_beat_ms: u64,
    beats: u64,
    /// Until when the instance carries out what it is told and answers nothing.
    mute_until_ms: u64,
    /// Calls whose answers were lost, which are carried out later.
    late: Vec<(u64, DriverCall)>,
}

/// Everything.
pub(crate) struct World {
    rng: Pcg32,
    faults: bool,
    now_ms: u64,
    gateways: Vec<Gateway>,
    runners: Vec<Runner>,
    links: BTreeMap<(u64, u64), Link>,
    /// Open jobs with their gateways.
    open: BTreeMap<JobId, u64>,
    /// Jobs that are handed in again at a time.
    again: Vec<(u64, JobId)>,
    next_job: u64,
    next_life: u64,
    pub(crate) submitted: u64,
    pub(crate) ended: u64,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self::with(seed, true)
    }

    pub(crate) fn calm(seed: u64) -> Self {
        Self::with(seed, false)
    }

    fn with(seed: u64, faults: bool) -> Self {
        let mut world = Self {
            rng: Pcg32::seed_from_u64(seed),
            faults,
            now_ms: 10_000,
            gateways: Vec::new(),
            runners: Vec::new(),
            links: BTreeMap::new(),
            open: BTreeMap::new(),
            again: Vec::new(),
            next_job: 1,
            next_life: 1,
            submitted: 0,
            ended: 0,
        };
        for _ in 0..GATEWAYS {
            let gateway = world.new_gateway();
            world.gateways.push(gateway);
        }
        for _ in 0..RUNNERS {
            let born_ms = world.draw_life();
            let runner = world.new_runner(InstanceModel::new(born_ms));
            world.runners.push(runner);
        }
        world
    }

    fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    fn draw_life(&mut self) -> u64 {
        self.next_life += 1;
        self.next_life
    }

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
        let mut book = JobStore::new(10_000);
        let configuration = Configuration {
            version: 1,
            queues: vec![queue],
            services: vec![ServicePool {
                name: "s".to_owned(),
            }],
            document: Bytes::new(),
        };
        let configure = Command::Configure(Box::new(configuration));
        book.apply(&Batch::new(0, vec![configure]));
        let settings = DispatchSettings {
            capacity: CapacitySource::Reported,
            records_ends: false,
            authority_ms: 1_200,
            ..DispatchSettings::default()
        };
        Gateway {
            dispatcher: Dispatcher::new(self.now(), settings, &book),
            book,
            life: Incarnation(self.draw_life()),
            sessions: BTreeMap::new(),
            next_ping_ms: 0,
            heard_ms: BTreeMap::new(),
        }
    }

    fn new_runner(&mut self, model: InstanceModel) -> Runner {
        let fence = self.draw_life();
        Runner {
            runs: Runs::new(RunsSettings::default(), fence, self.now()),
            model,
            next_listing_ms: 0,
            next_beat_ms: 0,
            beats: 0,
            mute_until_ms: 0,
            late: Vec::new(),
        }
    }

    /// One step of time, with whatever goes wrong in it.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.break_something();
        self.submit();
        for runner in 0..RUNNERS {
            self.step_instance(runner);
            self.step_runner(runner);
        }
        for gateway in 0..GATEWAYS {
            for runner in 0..RUNNERS {
                self.step_link(gateway, runner);
            }
            self.step_gateway(gateway);
        }
        self.check();
    }

    /// Lets everything end without further faults.
    pub(crate) fn heal(&mut self) {
        self.faults = false;
        for link in self.links.values_mut() {
            link.silent = false;
        }
        let no_more = u64::MAX;
        let next_job = std::mem::replace(&mut self.next_job, no_more);
        for _ in 0..8_000 {
            if self.open.is_empty() && self.again.is_empty() {
                break;
            }
            self.step();
        }
        self.next_job = next_job;
        assert!(
            self.open.is_empty() && self.again.is_empty(),
            "{} jobs are left without an answer, the first is {:?}",
            self.open.len(),
            self.open.first_key_value()
        );
    }

    /// What must hold at every moment, from what the instances see.
    fn check(&self) {
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
                "instance {index} is over its capacity"
            );
        }
    }
}

fn instance(index: u64, born_ms: u64) -> InstanceReport {
    InstanceReport {
        id: InstanceId {
            name: format!("i-{index}"),
            born_ms,
        },
        service: "s".to_owned(),
        failure_domain: "a".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        draining: false,
    }
}
