//! Gateways, runners and instances in simulated time, with messages that are late or lost.

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
    Attached(SessionId, Inventory, Room),
    Order(Order),
    Ordered(SessionId, Vec<RefusedStart>, Room),
    Ping(SessionId),
    Pong(SessionId, Room),
    News(SessionId, Vec<RunOutcome>, Room),
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
    book: JobBook,
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
        let mut book = JobBook::new(10_000);
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
            capacity: CapacityView::Shared,
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

    fn break_something(&mut self) {
        if self.chance(4) {
            let key = (
                self.rng.random_range(0..GATEWAYS),
                self.rng.random_range(0..RUNNERS),
            );
            let silent = self.rng.random_bool(0.5);
            if let Some(link) = self.links.get_mut(&key) {
                match silent {
                    true => link.silent = !link.silent,
                    false => self.cut(key),
                }
            }
        }
        if self.chance(2) {
            let gateway = self.rng.random_range(0..GATEWAYS);
            self.kill_gateway(gateway);
        }
        if self.chance(2) {
            let runner = self.rng.random_range(0..RUNNERS);
            self.restart_runner(runner, false);
        }
        if self.chance(1) {
            let runner = self.rng.random_range(0..RUNNERS);
            self.restart_runner(runner, true);
        }
    }

    /// Closes a connection; both sides notice.
    fn cut(&mut self, key: (u64, u64)) {
        self.links.remove(&key);
        let now = self.now();
        let (gateway, runner) = (&mut self.gateways[key.0 as usize], key.1);
        let session = gateway.sessions.remove(&runner);
        let owner = Owner::Gateway(gateway.life);
        if let Some(session) = session {
            gateway
                .dispatcher
                .close_session(now, AgentId(runner), session);
            let runs = &mut self.runners[runner as usize].runs;
            runs.owner_closed(now, owner, session);
        }
    }

    /// A gateway dies. Its callers see their connections break, and hand their jobs in again.
    fn kill_gateway(&mut self, index: u64) {
        for runner in 0..RUNNERS {
            self.cut((index, runner));
        }
        self.gateways[index as usize] = self.new_gateway();
        let lost: Vec<JobId> = self
            .open
            .iter()
            .filter(|(_, gateway)| **gateway == index)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.open.remove(&id);
            self.again.push((self.now_ms + RESEND_MS, id));
        }
    }

    /// A runner's process is replaced; its instance goes on, or is replaced with it.
    fn restart_runner(&mut self, index: u64, with_instance: bool) {
        for gateway in 0..GATEWAYS {
            self.cut((gateway, index));
        }
        let born_ms = self.draw_life();
        let model = match with_instance {
            true => InstanceModel::new(born_ms),
            false => std::mem::take(&mut self.runners[index as usize].model),
        };
        // Calls of the earlier process that are still on their way may be carried out yet.
        let late = std::mem::take(&mut self.runners[index as usize].late);
        let mut runner = self.new_runner(model);
        if !with_instance {
            runner.late = late;
        }
        self.runners[index as usize] = runner;
    }

    fn submit(&mut self) {
        let due: Vec<JobId> = self
            .again
            .iter()
            .filter(|(at_ms, _)| *at_ms <= self.now_ms)
            .map(|(_, id)| *id)
            .collect();
        self.again.retain(|(at_ms, _)| *at_ms > self.now_ms);
        for id in due {
            self.hand_in(id);
        }
        if self.next_job != u64::MAX && self.rng.random_bool(JOBS_PER_STEP) {
            let id = JobId(self.next_job);
            self.next_job += 1;
            self.submitted += 1;
            self.hand_in(id);
        }
    }

    fn hand_in(&mut self, id: JobId) {
        let now = self.now();
        let index = self.rng.random_range(0..GATEWAYS);
        let mut step = StepSpec::new(1 + (id.0 % 4) as u16);
        step.needs = needs();
        step.estimate_ms = work_ms(id);
        let spec = JobSpec::new(Bytes::new(), vec![step]).with_best_effort(true);
        let acceptance = Acceptance::new(id, "q", "s", 3, spec);
        let gateway = &mut self.gateways[index as usize];
        let accept = Command::Accept(Box::new(acceptance));
        gateway.book.apply(&Batch::new(self.now_ms, vec![accept]));
        if let Some(open) = gateway.book.job(id).and_then(JobRecord::open) {
            gateway.dispatcher.job_accepted(now, id, "q", open);
        }
        self.open.insert(id, index);
    }

    // Instances and runners.

    fn step_instance(&mut self, index: u64) {
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

    fn step_runner(&mut self, index: u64) {
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
            let beat = Beat {
                instance: instance(index, runner.model.born_ms),
                clock_ms: runner.model.clock_ms,
                sequence: runner.beats,
            };
            let change = runner.runs.beat(now, beat);
            self.tell_instance(index, change);
        }
        let runner = &mut self.runners[index as usize];
        let mut calls = runner.runs.tick(now);
        if now_ms >= runner.next_listing_ms {
            runner.next_listing_ms = now_ms + LISTING_MS;
            let call = ListCall {
                fence: runner.runs.fence(),
                lease_until_ms: runner.runs.take_renewal(now),
                settled: runner.runs.settled(),
                wait_ms: 0,
                timeout_ms: 100,
            };
            match runner.model.list(&call) {
                Ok(listing) if !answer_lost => {
                    let (change, more) = runner.runs.take_listing(now, now, &listing);
                    calls.extend(more);
                    self.tell_instance(index, change);
                }
                Ok(_) => {
                    let change = runner.runs.lose_silent_instance(now);
                    self.tell_instance(index, change);
                }
                Err(ListFault::Fenced) => runner.runs.raise_fence(),
                Err(_) => {}
            }
        }
        self.make_calls(index, calls);
        self.tell_outcomes(index);
    }

    fn make_calls(&mut self, index: u64, calls: Vec<DriverCall>) {
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
    fn tell_instance(&mut self, index: u64, change: InstanceChange) {
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

    fn tell_outcomes(&mut self, index: u64) {
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

    // Connections.

    fn send(&mut self, key: (u64, u64), to_runner: bool, message: Message) {
        let at_ms = self.now_ms + self.rng.random_range(1..12);
        if let Some(link) = self.links.get_mut(&key).filter(|link| link.open) {
            let queue = match to_runner {
                true => &mut link.to_runner,
                false => &mut link.to_gateway,
            };
            queue.push((at_ms, message));
        }
    }

    fn step_link(&mut self, gateway: u64, runner: u64) {
        let key = (gateway, runner);
        if !self.links.contains_key(&key) {
            if self.rng.random_bool(0.2) {
                self.connect(key);
            }
            return;
        }
        let heard_ms = self.gateways[gateway as usize].heard_ms.get(&runner);
        if heard_ms.is_some_and(|heard_ms| self.now_ms > heard_ms + 850) {
            self.cut(key);
            return;
        }
        let now_ms = self.now_ms;
        let Some(link) = self.links.get_mut(&key).filter(|link| !link.silent) else {
            return;
        };
        let arrived = |queue: &mut Vec<(u64, Message)>| {
            // A connection keeps its order: what follows a message on its way waits behind it.
            let ready = queue
                .iter()
                .take_while(|(at_ms, _)| *at_ms <= now_ms)
                .count();
            queue.drain(..ready).map(|(_, message)| message).collect()
        };
        let to_runner: Vec<Message> = arrived(&mut link.to_runner);
        let to_gateway: Vec<Message> = arrived(&mut link.to_gateway);
        for message in to_runner {
            self.deliver_to_runner(key, message);
        }
        for message in to_gateway {
            self.deliver_to_gateway(key, message);
        }
    }

    fn connect(&mut self, key: (u64, u64)) {
        let now = self.now();
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[key.0 as usize];
        let agent = AgentId(key.1);
        let session = gateway.dispatcher.register(now, agent);
        gateway.sessions.insert(key.1, session);
        gateway.heard_ms.insert(key.1, now_ms);
        let claims = gateway.dispatcher.runs_of(agent).into_iter();
        let claims = claims
            .map(|(task, run, needs)| Claim { task, run, needs })
            .collect();
        let link = Link {
            open: true,
            ..Link::default()
        };
        self.links.insert(key, link);
        self.send(key, true, Message::Attach(session, claims));
    }

    fn deliver_to_runner(&mut self, key: (u64, u64), message: Message) {
        let now = self.now();
        if !self.runners[key.1 as usize].runs.knows_runs() {
            // As the runner's process does: the gateway comes again.
            self.cut(key);
            return;
        }
        let owner = Owner::Gateway(self.gateways[key.0 as usize].life);
        let runs = &mut self.runners[key.1 as usize].runs;
        match message {
            Message::Attach(session, claims) => {
                let inventory = runs.attach(now, owner, session, &claims);
                let room = runs.room(now, owner);
                self.send(key, false, Message::Attached(session, inventory, room));
            }
            Message::Order(order) => {
                let session = order.session;
                let (calls, refused) = runs.take_order(now, owner, order);
                let room = runs.room(now, owner);
                self.make_calls(key.1, calls);
                self.send(key, false, Message::Ordered(session, refused, room));
                self.tell_outcomes(key.1);
            }
            Message::Ping(session) => {
                if runs.owner_heard(owner, session, now) {
                    let room = runs.room(now, owner);
                    self.send(key, false, Message::Pong(session, room));
                }
            }
            _ => unreachable!("gateways send nothing else"),
        }
    }

    fn deliver_to_gateway(&mut self, key: (u64, u64), message: Message) {
        let now = self.now();
        let now_ms = self.now_ms;
        let agent = AgentId(key.1);
        let gateway = &mut self.gateways[key.0 as usize];
        gateway.heard_ms.insert(key.1, now_ms);
        match message {
            Message::Attached(session, inventory, room) => {
                let adoption = gateway.dispatcher.adopt(now, agent, session, &inventory);
                let Some(adoption) = adoption else {
                    return;
                };
                gateway.dispatcher.room_reported(now, agent, session, room);
                for (report, verdict) in adoption.ends {
                    self.take_end(key.0, report, verdict);
                }
                let order = Order {
                    agent,
                    session,
                    sequence: 0,
                    instance: None,
                    starts: Vec::new(),
                    stops: adoption.stops,
                };
                self.send(key, true, Message::Order(order));
            }
            Message::Ordered(session, refused, room) => {
                for start in refused {
                    gateway.dispatcher.start_refused(
                        now,
                        agent,
                        session,
                        start.task,
                        start.run,
                        start.reason,
                    );
                }
                gateway.dispatcher.room_reported(now, agent, session, room);
            }
            Message::Pong(session, room) => {
                gateway.dispatcher.confirm(now, agent, session);
                gateway.dispatcher.room_reported(now, agent, session, room);
            }
            Message::News(session, outcomes, room) => {
                for outcome in outcomes {
                    let gateway = &mut self.gateways[key.0 as usize];
                    match outcome {
                        RunOutcome::Ended(report, _) => {
                            let verdict =
                                gateway.dispatcher.report_end(now, agent, session, report);
                            self.take_end(key.0, report, verdict);
                        }
                        RunOutcome::Refused(start) => gateway.dispatcher.start_refused(
                            now,
                            agent,
                            session,
                            start.task,
                            start.run,
                            start.reason,
                        ),
                    }
                }
                let gateway = &mut self.gateways[key.0 as usize];
                gateway.dispatcher.room_reported(now, agent, session, room);
            }
            Message::Instance(session, instance, runs_lost) => {
                let dispatcher = &mut gateway.dispatcher;
                dispatcher.instance_changed(now, agent, session, instance, runs_lost);
            }
            _ => unreachable!("runners send nothing else"),
        }
    }

    fn take_end(&mut self, index: u64, report: RunReport, verdict: EndVerdict) {
        let EndVerdict::Record(end) = verdict else {
            return;
        };
        let now = self.now();
        let gateway = &mut self.gateways[index as usize];
        let command = Command::End(report.task, report.run, end);
        let batch = Batch::new(self.now_ms, vec![command]);
        match gateway.book.apply(&batch)[0] {
            Applied::Ended(_) => {
                gateway.dispatcher.job_ended(report.task.job);
                if self.open.get(&report.task.job) == Some(&index) {
                    self.open.remove(&report.task.job);
                    self.ended += 1;
                }
            }
            _ => gateway
                .dispatcher
                .end_recorded(now, report.task, report.run, end),
        }
    }

    fn step_gateway(&mut self, index: u64) {
        let now = self.now();
        let gateway = &mut self.gateways[index as usize];
        let orders = gateway.dispatcher.poll(now);
        let ping = self.now_ms >= gateway.next_ping_ms;
        let sessions = gateway.sessions.clone();
        if ping {
            gateway.next_ping_ms = self.now_ms + PING_MS;
        }
        for order in orders {
            let key = (index, order.agent.0);
            self.send(key, true, Message::Order(order));
        }
        if ping {
            for (runner, session) in sessions {
                self.send((index, runner), true, Message::Ping(session));
            }
        }
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
