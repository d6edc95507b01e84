//! Test harness: the run state of an agent, connected directly to a model of its instance.
#![allow(dead_code)]

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;

/// Capacity of the instance.
pub(crate) const CAPACITY: Resources = Resources {
    cpu_milli: 64_000,
    memory_mb: 262_144,
    accelerators: 0,
};
/// Name of the instance in all its incarnations.
pub(crate) const INSTANCE_NAME: &str = "i-1";
/// Fencing token of the first agent process; later ones take higher tokens.
pub(crate) const FENCE: u64 = 100;

pub(crate) fn task(job: u64) -> TaskKey {
    TaskKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

pub(crate) fn needs(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 64,
        accelerators: 0,
    }
}

pub(crate) fn instance(born_ms: u64) -> InstanceReport {
    InstanceReport {
        id: InstanceId {
            name: INSTANCE_NAME.to_owned(),
            born_ms,
        },
        service: "listings".to_owned(),
        failure_domain: "a".to_owned(),
        capacity: CAPACITY,
        labels: Vec::new(),
        draining: false,
    }
}

/// The owner that most tests use.
pub(crate) const GATEWAY: Owner = Owner::Gateway(Incarnation(7));

/// An agent's run state and the model of its instance, in simulated time.
pub(crate) struct Harness {
    pub(crate) now: Instant,
    pub(crate) runs: Runs,
    pub(crate) model: InstanceModel,
    /// Sequence number of the latest order in the current session.
    sequence: u64,
    heartbeat_count: u64,
}

impl Harness {
    /// Creates an agent that has received a heartbeat and a listing of a new instance.
    pub(crate) fn new() -> Self {
        let mut harness = Self::just_started(InstanceModel::new(1), FENCE);
        harness.heartbeat(false);
        harness.list();
        harness
    }

    /// Creates an agent process that has just started, for an instance that may have runs already.
    pub(crate) fn just_started(model: InstanceModel, fence: u64) -> Self {
        Self {
            now: Instant::from_ms(1_000),
            runs: Runs::new(RunsSettings::default(), fence, Instant::from_ms(1_000)),
            model,
            sequence: 0,
            heartbeat_count: 0,
        }
    }

    /// Sends a heartbeat of the instance to the agent.
    pub(crate) fn heartbeat(&mut self, draining: bool) -> InstanceChange {
        self.heartbeat_count += 1;
        let mut report = instance(self.model.born_ms);
        report.draining = draining;
        let heartbeat = Heartbeat {
            instance: report,
            sequence: self.heartbeat_count,
            cold_left_ms: 0,
        };
        self.receive(&heartbeat)
    }

    /// Passes a heartbeat to the agent. If the agent needs an answer of the instance that the
    /// heartbeat names, the model answers.
    pub(crate) fn receive(&mut self, heartbeat: &Heartbeat) -> InstanceChange {
        if let HeartbeatOutcome::Handled(change) = self.runs.heartbeat_received(self.now, heartbeat)
        {
            return change;
        }
        if heartbeat.instance.id.name != INSTANCE_NAME {
            // The model refuses calls that are meant for another instance.
            return InstanceChange::None;
        }
        let fence = self.runs.fence();
        let answer = self.model.identify(fence);
        let listing = answer.expect("the call carries the highest fencing token");
        let confirmed = self
            .runs
            .confirm_heartbeat(self.now, self.now, heartbeat, &listing);
        let Confirmation::Confirmed(change, calls) = confirmed else {
            return InstanceChange::None;
        };
        self.execute(calls);
        change
    }

    /// Creates the agent's next listing call, which renews the lease if that is allowed.
    pub(crate) fn list_call(&mut self) -> ListCall {
        ListCall {
            fence: self.runs.fence(),
            born_ms: None,
            lease_until_ms: self.runs.renew_lease(self.now),
            settled: self.runs.settled(),
            wait_ms: 0,
            timeout_ms: 100,
        }
    }

    /// Lists the runs of the instance and executes the calls that follow.
    pub(crate) fn list(&mut self) -> InstanceChange {
        let call = self.list_call();
        let listing = self
            .model
            .list(&call)
            .expect("the call carries the highest fencing token");
        let (change, calls) = self.runs.handle_listing(self.now, self.now, &listing);
        self.execute(calls);
        change
    }

    /// Begins a session, in which orders are numbered from 1.
    pub(crate) fn attach(&mut self, owner: Owner, session: u64, claims: &[Claim]) -> Inventory {
        self.sequence = 0;
        self.runs
            .attach(self.now, owner, SessionId(session), claims)
    }

    /// Sends an order to the agent without executing the resulting calls.
    pub(crate) fn order(
        &mut self,
        owner: Owner,
        session: u64,
        starts: Vec<StartOrder>,
        stops: Vec<StopOrder>,
    ) -> (Vec<DriverCall>, Vec<RefusedStart>) {
        self.sequence += 1;
        let order = Order {
            agent: AgentId(1),
            session: SessionId(session),
            sequence: self.sequence,
            instance: Some(instance(self.model.born_ms).id),
            starts,
            stops,
        };
        self.runs.handle_order(self.now, owner, order)
    }

    /// Orders a start and executes the resulting calls.
    pub(crate) fn start(&mut self, owner: Owner, session: u64, job: u64, cpu_milli: u64) {
        let (calls, refused) = self.order(owner, session, vec![start(job, 1, cpu_milli)], vec![]);
        assert_eq!(refused, vec![]);
        self.execute(calls);
    }

    /// Executes calls on the model and passes the answers to the agent.
    pub(crate) fn execute(&mut self, calls: Vec<DriverCall>) {
        for call in calls {
            match call {
                DriverCall::Start(call) => {
                    let result = self.model.start(&call);
                    let follow_up = self.runs.start_answered(self.now, &call, result);
                    self.execute(follow_up.into_iter().collect());
                }
                DriverCall::Stop(call) => {
                    let result = self.model.stop(&call);
                    self.runs.stop_answered(self.now, &call, result);
                }
            }
        }
    }

    /// Advances the clocks of the agent and the instance, without a tick or a listing.
    pub(crate) fn advance_ms(&mut self, ms: u64) {
        self.now += DurationMs::new(ms);
        self.model.advance_ms(ms);
    }

    /// Advances the time in steps of 50 ms, with a tick and a listing after each.
    pub(crate) fn run_for_ms(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.advance_ms(50);
            let calls = self.runs.tick(self.now);
            self.execute(calls);
            self.list();
        }
    }
}

pub(crate) fn start(job: u64, run: u64, cpu_milli: u64) -> StartOrder {
    start_urgent(job, run, cpu_milli, 0)
}

pub(crate) fn start_urgent(job: u64, run: u64, cpu_milli: u64, priority: u32) -> StartOrder {
    StartOrder {
        task: task(job),
        run: RunNumber(run),
        queue: QueueId::of("searches"),
        payload: Bytes::from_static(b"work"),
        needs: needs(cpu_milli),
        urgency: Urgency {
            class: 0,
            priority,
            due_in_ms: 100,
        },
        expected_ms: 60,
        stall_after_ms: 0,
    }
}
