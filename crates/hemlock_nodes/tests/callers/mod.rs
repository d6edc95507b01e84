//! Simulation of callers, gateways, runners and instances on virtual time, with the real decisions of
//! gateways and runners and with simulated processes, connections and calls.

mod clients;
mod gateways;
mod instances;
mod network;
mod processes;
mod runners;
pub(crate) mod schedule;
mod trace;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use clients::{Client, ClientEvent, IdleConnection};
use gateways::{Gateway, GatewayEvent};
use instances::{Instance, InstanceEvent};
use network::{Connection, Network};
use processes::Process;
use runners::{Runner, RunnerEvent};
use schedule::{FaultKind, Schedule};
use trace::TraceEntry;
pub(crate) use trace::Violation;

/// Microseconds in a millisecond.
pub(crate) const MS: u64 = 1_000;
pub(crate) const GATEWAYS: usize = 3;
pub(crate) const RUNNERS: usize = 11;
pub(crate) const DOMAINS: usize = 3;
/// Time after which callers whose connection broke submit their jobs again, in milliseconds.
const RESUBMIT_MS: u64 = 1_300;
/// Resources of a task.
const TASK_CPU_MILLI: u64 = 6_200;

/// A process that can be paused, killed or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Node {
    Gateway(usize),
    Runner(usize),
}

/// What happens at one time.
enum Action {
    Gateway(GatewayEvent),
    Runner(RunnerEvent),
    Instance(InstanceEvent),
    Client(ClientEvent),
    Fault(usize),
    Wake(Node),
    Restart(Node),
}

/// The receiver of an event: a process or an instance with its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    World,
    Process(Node, u64),
    Instance(usize, u64),
}

struct Event {
    at: u64,
    sequence: u64,
    target: Target,
    /// Events of one channel stay in order.
    channel: Option<u64>,
    action: Action,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// The earliest event is the greatest, for the heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// What was simulated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) jobs: u64,
    pub(crate) resubmissions: u64,
    pub(crate) starts: u64,
    pub(crate) done: u64,
    pub(crate) rejected: u64,
    pub(crate) undecided: u64,
}

/// Callers, gateways, runners and instances.
pub(crate) struct Simulation {
    rng: Pcg64Mcg,
    /// Microseconds since the start.
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Event>,
    schedule: Schedule,
    network: Network,
    connections: HashMap<u64, Connection>,
    processes: BTreeMap<Node, Process>,
    gateways: Vec<Gateway>,
    runners: Vec<Runner>,
    instances: Vec<Instance>,
    clients: Vec<Client>,
    /// Connections of callers without a request, by gateway.
    idle: Vec<Vec<IdleConnection>>,
    queues: Vec<Queue>,
    last_number: u64,
    trace: Vec<TraceEntry>,
    violation: Option<Violation>,
    pub(crate) counts: Counts,
}

impl Simulation {
    /// Plays a schedule. `salt` varies everything else that is random.
    pub(crate) fn new(schedule: &Schedule, salt: u64) -> Self {
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(schedule.seed ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            now_us: 10_000 * MS,
            sequence: 0,
            events: BinaryHeap::new(),
            schedule: schedule.clone(),
            network: Network::new(schedule),
            connections: HashMap::new(),
            processes: BTreeMap::new(),
            gateways: Vec::new(),
            runners: Vec::new(),
            instances: Vec::new(),
            clients: Vec::new(),
            idle: (0..GATEWAYS).map(|_| Vec::new()).collect(),
            queues: queues(),
            last_number: 1,
            trace: Vec::new(),
            violation: None,
            counts: Counts::default(),
        };
        for index in 0..RUNNERS {
            simulation.add_instance(index);
            simulation.add_runner(index);
        }
        for index in 0..GATEWAYS {
            simulation.add_gateway(index);
        }
        for index in 0..schedule.faults.len() {
            let at_us = schedule.faults[index].at_us;
            simulation.push(at_us, Target::World, None, Action::Fault(index));
        }
        simulation.plan_jobs();
        simulation
    }

    /// Plays until the end or the first violation.
    pub(crate) fn run(&mut self) -> Option<Violation> {
        while let Some(event) = self.events.pop() {
            if event.at > self.schedule.end_us || self.violation.is_some() {
                break;
            }
            self.now_us = self.now_us.max(event.at);
            self.deliver(event);
        }
        self.violation.take()
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.now_us)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..=to)
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn push(&mut self, at: u64, target: Target, channel: Option<u64>, action: Action) {
        self.sequence += 1;
        self.events.push(Event {
            at: at.max(self.now_us),
            sequence: self.sequence,
            target,
            channel,
            action,
        });
    }

    /// Schedules an event of a process that is lost with it.
    fn push_to(&mut self, node: Node, at: u64, action: Action) {
        let id = self.processes[&node].id;
        self.push(at, Target::Process(node, id), None, action);
    }

    fn deliver(&mut self, event: Event) {
        if let Target::Process(node, id) = event.target {
            let now_us = self.now_us;
            let Some(process) = self.processes.get_mut(&node) else {
                return;
            };
            if !process.is_up || process.id != id {
                return;
            }
            if process.paused_until > now_us {
                process.deferred.push(event);
                return;
            }
        }
        if let Target::Instance(index, born) = event.target
            && !self.instances[index].is_present(born)
        {
            return;
        }
        match (event.action, event.target) {
            (Action::Gateway(action), Target::Process(Node::Gateway(index), _)) => {
                self.handle_gateway_event(index, action);
            }
            (Action::Runner(action), Target::Process(Node::Runner(index), _)) => {
                self.handle_runner_event(index, action);
            }
            (Action::Instance(action), _) => self.handle_instance_event(action),
            (Action::Client(action), _) => self.handle_client_event(action),
            (Action::Fault(index), _) => self.inject(index),
            (Action::Wake(node), _) => self.wake(node),
            (Action::Restart(node), _) => self.restart(node),
            (Action::Gateway(_) | Action::Runner(_), _) => unreachable!("processes handle these"),
        }
    }

    fn inject(&mut self, index: usize) {
        let kind = self.schedule.faults[index].kind.clone();
        match kind {
            FaultKind::Pause { nodes, for_us, .. } => {
                nodes.iter().for_each(|node| self.pause(*node, for_us));
            }
            FaultKind::Kill { nodes, off_us } => {
                nodes.iter().for_each(|node| self.kill(*node, off_us));
            }
            FaultKind::PowerLoss { nodes, off_us } => {
                nodes.iter().for_each(|node| self.cut_power(*node, off_us));
            }
            FaultKind::Reset { gateway, runner } => self.reset_connections(gateway, runner),
            FaultKind::Silence { gateway, runner } => self.silence_connections(gateway, runner),
            FaultKind::InstanceCrash {
                instance,
                is_dark,
                off_us,
            } => self.crash_instance(instance, is_dark, off_us),
            FaultKind::Drain {
                instance,
                for_us,
                off_us,
            } => self.drain_instance(instance, for_us, off_us),
            FaultKind::Calls {
                instance,
                disturbance,
                for_us,
            } => self.disturb_calls(instance, disturbance, for_us),
            FaultKind::Agents {
                gateway,
                ref missing,
                for_us,
            } => self.change_agents(gateway, missing, for_us),
            // The network looks these up when it delivers messages.
            FaultKind::Cut { .. } | FaultKind::Delay { .. } => {}
        }
    }
}

fn queues() -> Vec<Queue> {
    let queue = |(index, target_latency_ms): (usize, u64)| Queue {
        name: format!("q{index}"),
        host: "h".to_owned(),
        path_prefix: format!("/q{index}/"),
        service: "s".to_owned(),
        timeout_ms: 1_500,
        target_latency_ms,
        priority: u32::try_from(index).unwrap_or(0),
        max_attempts: 3,
        slack_factor: 4.0,
    };
    [200, 1_000, 400]
        .into_iter()
        .enumerate()
        .map(queue)
        .collect()
}

fn configuration(queues: &[Queue]) -> Configuration {
    Configuration {
        version: 1,
        queues: queues.to_vec(),
        services: vec![ServicePool {
            name: "s".to_owned(),
        }],
        document: Bytes::new(),
    }
}

fn instance_report(index: usize, born_ms: u64, draining: bool) -> InstanceReport {
    InstanceReport {
        id: InstanceId {
            name: format!("i-{index}"),
            born_ms,
        },
        service: "s".to_owned(),
        failure_domain: format!("z{}", index % DOMAINS),
        capacity: Resources {
            cpu_milli: match index % 3 {
                0 => 96_000,
                _ => 64_000,
            },
            memory_mb: 262_144,
            accelerators: 0,
        },
        labels: Vec::new(),
        draining,
    }
}
