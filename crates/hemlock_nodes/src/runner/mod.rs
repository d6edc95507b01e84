//! The process beside one instance: starts and stops its runs as the leader orders, renews their
//! leases, and tells the leader of every end.

mod listing;
mod service;
mod session;

use std::cell::RefCell;
use std::rc::Rc;

use hemlock_jobs::prelude::AgentId;
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::Notify;
use tracing::info;

use crate::connector::{Connector, Seeds};
use crate::message::{Reply, Report, Request};
use crate::task_set::TaskSet;
use service::RunnerService;

/// Time that the leader may take to record ends: a sync that stalls, and an election.
const REPORT_TIMEOUT: DurationMs = DurationMs::new(2_500);

/// What a runner needs to know.
pub struct RunnerSettings {
    /// How it introduces itself.
    pub identity: Identity,
    /// Its agent id, the same over all restarts.
    pub agent: AgentId,
    /// Where keepers may be, as the settings say now.
    pub seeds: Seeds,
    /// Times of its runs.
    pub runs: RunsSettings,
}

/// Runs tasks at one instance.
pub struct Runner {
    agent: AgentId,
    connector: Connector,
    driver: Rc<dyn InstanceDriver>,
    runs: RefCell<Runs>,
    clock: SystemClock,
    /// Rung when a listing is due before its time.
    listing_due: Notify,
    tasks: TaskSet,
}

impl Runner {
    /// A runner that has not connected yet.
    pub fn new(settings: RunnerSettings, driver: Rc<dyn InstanceDriver>) -> Rc<Self> {
        Rc::new_cyclic(|runner| {
            let service: Rc<dyn Service> = Rc::new(RunnerService::new(runner.clone()));
            Self {
                agent: settings.agent,
                connector: Connector::new(settings.identity, service, settings.seeds),
                driver,
                runs: RefCell::new(Runs::new(settings.runs)),
                clock: SystemClock::start(),
                listing_due: Notify::new(),
                tasks: TaskSet::default(),
            }
        })
    }

    /// Keeps a session with whoever leads, and the runs alive. Never returns.
    pub async fn run(self: &Rc<Self>) {
        tokio::join!(self.keep_session(), self.keep_listing());
    }

    /// Takes in what the instance says of itself.
    pub fn take_beat(self: &Rc<Self>, beat: Beat) {
        let name = beat.instance.id.name.clone();
        let draining = beat.instance.draining;
        let change = self.runs.borrow_mut().beat(self.clock.now(), beat);
        if change != InstanceChange::None {
            info!(event = "instance-beat", instance = name, draining, change = ?change);
            self.driver.set_target(Some(name));
            self.listing_due.notify_one();
        }
        self.tell_change(change);
    }

    /// Takes in that the instance has left.
    pub fn take_leave(self: &Rc<Self>, name: &str) {
        info!(event = "instance-left", instance = name);
        let change = self.runs.borrow_mut().instance_left(name);
        self.tell_change(change);
        self.listing_due.notify_one();
    }

    /// Tells the leader of a changed instance.
    fn tell_change(self: &Rc<Self>, change: InstanceChange) {
        let runs = self.runs.borrow();
        let (true, Some(session)) = (runs.is_adopted(), runs.session()) else {
            return;
        };
        let runs_lost = match change {
            InstanceChange::None => return,
            InstanceChange::Updated => false,
            InstanceChange::RunsLost => true,
        };
        let instance = runs.instance().cloned();
        let request = Request::InstanceChanged(self.agent, session, instance, runs_lost);
        self.tell(request, Vec::new());
    }

    /// Tells the leader of ends and of starts that came to nothing.
    fn tell_outcomes(self: &Rc<Self>) {
        let mut runs = self.runs.borrow_mut();
        let (true, Some(session)) = (runs.is_adopted(), runs.session()) else {
            return;
        };
        let outcomes = runs.take_outbox();
        if outcomes.is_empty() {
            return;
        }
        let mut report = Report::default();
        let mut numbers = Vec::new();
        for outcome in outcomes {
            match outcome {
                RunOutcome::Ended(ended, number) => {
                    info!(event = "run-ended", task = %ended.task, run = ended.run.0,
                          end = ended.end.map(tracing::field::display));
                    report.ended.push(ended);
                    numbers.extend(number);
                }
                RunOutcome::Refused(refused) => {
                    info!(event = "start-failed", task = %refused.task, run = refused.run.0,
                          reason = %refused.reason);
                    report.refused.push(refused);
                }
            }
        }
        let request = Request::Report(self.agent, session, report);
        self.tell(request, numbers);
    }

    /// Sends a request to the leader; once it is done, the given ends are settled.
    fn tell(self: &Rc<Self>, request: Request, numbers: Vec<u64>) {
        let runner = Rc::clone(self);
        self.tasks.spawn(async move {
            let Some(link) = runner.connector.leader() else {
                return;
            };
            let call = link.call::<_, Reply>(&request);
            let answer = tokio::time::timeout(REPORT_TIMEOUT.as_std(), call).await;
            match answer {
                Ok(Ok(Reply::Done)) => {
                    runner.runs.borrow_mut().settle(numbers);
                    runner.listing_due.notify_one();
                }
                // The next session's inventory tells all of it again.
                Ok(_) | Err(_) => runner.connector.give_up(&link),
            }
        });
    }

    /// Makes calls to the instance, and deals with their answers.
    fn make_calls(self: &Rc<Self>, calls: Vec<DriverCall>) {
        for call in calls {
            let runner = Rc::clone(self);
            self.tasks.spawn(async move { runner.make_call(call).await });
        }
    }

    async fn make_call(self: Rc<Self>, call: DriverCall) {
        match call {
            DriverCall::Start(call) => {
                let result = self.driver.start(call.clone()).await;
                info!(event = "start", task = %call.task, run = call.run.0, fence = call.fence,
                      result = ?result);
                let now = self.clock.now();
                let follow_up = self.runs.borrow_mut().start_answered(now, &call, result);
                self.tell_outcomes();
                self.make_calls(follow_up.into_iter().collect());
            }
            DriverCall::Stop(call) => {
                let result = self.driver.stop(call).await;
                info!(event = "stop", task = %call.task, run = call.run.0, fence = call.fence,
                      result = ?result);
                let now = self.clock.now();
                self.runs.borrow_mut().stop_answered(now, &call, result);
                self.listing_due.notify_one();
            }
        }
    }
}
