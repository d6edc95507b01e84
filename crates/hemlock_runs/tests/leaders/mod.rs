//! Simulation of one leader at a time, of runners and of instances, with late and lost messages.

mod leader;
mod runner;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use leader::Leader;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use runner::RunnerNode;

/// Duration of one step, in milliseconds.
const STEP_MS: u64 = 5;
const RUNNER_COUNT: usize = 4;
const QUEUE: &str = "q";
const SERVICE: &str = "s";

const CAPACITY: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 65_536,
    accelerators: 0,
};

/// A message from a runner to the leader.
enum ToLeader {
    Register,
    Adopt(SessionId, Inventory, Instant),
    Report(SessionId, Vec<RunReport>, Vec<RefusedStart>),
    Ping(SessionId, Instant),
    Instance(SessionId, Option<InstanceReport>, bool),
}

/// A message from the leader to a runner.
enum ToRunner {
    Registered(SessionId),
    Adopted(Inventory, Vec<StopOrder>, Vec<RunReport>, Instant),
    /// The ends that a report contained, and those of them that are deferred.
    Recorded(Vec<RunReport>, Vec<RunReport>),
    Pong(SessionId, Instant),
    Order(Order),
    Void,
}

/// The connection of a runner to the leader of a term. It delivers messages in order.
#[derive(Default)]
struct Link {
    term: u64,
    to_leader: Vec<(u64, ToLeader)>,
    to_runner: Vec<(u64, ToRunner)>,
}

/// The simulated processes and what the instances have done.
pub(crate) struct Simulation {
    rng: Pcg32,
    faults: bool,
    now_ms: u64,
    /// The replicated record, as committed.
    store: JobStore,
    leader: Option<Leader>,
    /// When the next leader is elected, while there is none.
    election_ms: u64,
    runners: Vec<RunnerNode>,
    links: BTreeMap<usize, Link>,
    /// Id of the next job; `u64::MAX` if no more are submitted.
    next_job: u64,
    last_unique_number: u64,
    /// Tasks that have ended as done at an instance.
    done: BTreeSet<TaskKey>,
    /// Tasks with an end `done` that an instance was told to forget under its lease.
    settled: BTreeSet<TaskKey>,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let queue = Queue {
            name: QUEUE.to_owned(),
            service: SERVICE.to_owned(),
            timeout_ms: 1_500,
            target_latency_ms: 200,
            max_attempts: 4,
            slack_factor: 4.0,
            ..Queue::default()
        };
        let configuration = Configuration {
            version: 1,
            queues: vec![queue],
            services: vec![ServicePool {
                name: SERVICE.to_owned(),
            }],
            document: Bytes::new(),
        };
        let mut store = JobStore::new(3_600_000);
        let configure = Command::Configure(Box::new(configuration));
        store.apply(&Batch::new(0, vec![configure]));
        let mut simulation = Self {
            rng: Pcg32::seed_from_u64(seed),
            faults: true,
            now_ms: 10_000,
            store,
            leader: None,
            election_ms: 10_000,
            runners: Vec::new(),
            links: BTreeMap::new(),
            next_job: 1,
            last_unique_number: 1,
            done: BTreeSet::new(),
            settled: BTreeSet::new(),
        };
        for _ in 0..RUNNER_COUNT {
            let born_ms = simulation.next_unique_number();
            let fence = simulation.next_unique_number();
            let runner = RunnerNode::new(simulation.now(), born_ms, fence);
            simulation.runners.push(runner);
        }
        simulation
    }

    /// Number of leaders so far.
    pub(crate) fn terms(&self) -> u64 {
        self.store.generation()
    }

    /// Number of jobs that have ended.
    pub(crate) fn ended_jobs(&self) -> u64 {
        let ended = self.store.jobs().filter(|(_, record)| !record.is_open());
        ended.count() as u64
    }

    fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    /// A number higher than all earlier ones, for start times and fencing tokens.
    fn next_unique_number(&mut self) -> u64 {
        self.last_unique_number += 1;
        self.last_unique_number
    }

    /// Draws whether a fault with this probability occurs; never once faults have ended.
    fn chance(&mut self, per_100_000: u32) -> bool {
        self.rng.random_range(0..100_000) < per_100_000 && self.faults
    }

    fn delayed(&mut self) -> u64 {
        self.now_ms + self.rng.random_range(1..12)
    }

    /// Advances the simulation by one step.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.submit_job();
        self.step_leader();
        for runner in 0..RUNNER_COUNT {
            self.step_instance(runner);
            self.step_runner(runner);
        }
        self.check_invariants();
    }

    /// Runs without faults or new jobs until all jobs have ended.
    pub(crate) fn drain(&mut self) {
        self.faults = false;
        self.next_job = u64::MAX;
        for _ in 0..12_000 {
            if self.store.jobs().all(|(_, record)| !record.is_open()) {
                return;
            }
            self.step();
        }
        let open = self.store.jobs().find(|(_, record)| record.is_open());
        panic!("job {:?} has not ended", open.map(|(id, _)| id));
    }

    fn submit_job(&mut self) {
        let is_due = self.rng.random_bool(0.02);
        if self.next_job == u64::MAX || !is_due || self.leader.is_none() {
            return;
        }
        let id = JobId(self.next_job);
        self.next_job += 1;
        let mut step = StepSpec::new(1 + (id.0 % 3) as u16);
        step.needs.cpu_milli = 6_000;
        step.needs.memory_mb = 64;
        step.estimate_ms = work_ms(id);
        let spec = JobSpec::new(Bytes::new(), vec![step]);
        let acceptance = Acceptance::new(id, QUEUE, SERVICE, 4, spec);
        self.commit(vec![Command::Accept(Box::new(acceptance))], None);
    }

    /// Checks what the instances run and have run against the rules.
    fn check_invariants(&mut self) {
        let mut seen: BTreeMap<TaskKey, usize> = BTreeMap::new();
        for (index, runner) in self.runners.iter().enumerate() {
            for task in runner.model.running().keys() {
                let other = seen.insert(*task, index);
                assert!(
                    other.is_none(),
                    "{} ms: task {task} runs at instances {other:?} and {index}",
                    self.now_ms
                );
            }
        }
        for (index, runner) in self.runners.iter_mut().enumerate() {
            for (task, run) in runner.model.started.drain(..) {
                assert!(
                    !self.settled.contains(&task),
                    "{} ms: task {task} run {run} starts at instance {index} after its success",
                    self.now_ms
                );
            }
        }
    }

    /// Checks that the tasks of a complete job have all succeeded.
    fn check_complete(&self, id: JobId) {
        let count = 1 + (id.0 % 3) as u16;
        for index in 0..count {
            let task = TaskKey {
                job: id,
                occurrence: 0,
                step: 0,
                index,
            };
            assert!(self.done.contains(&task), "task {task} has not succeeded");
        }
    }
}

/// Duration of a job's tasks, in milliseconds. Some take longer than a takeover.
fn work_ms(id: JobId) -> u64 {
    match id.0 % 5 {
        0 => 4_000,
        1 => 1_500,
        kind => 40 + kind * 60,
    }
}
