//! The process that callers connect to.
//!
//! A gateway dispatches best-effort jobs itself: it places their tasks on runners and answers when
//! they have ended, without involving a keeper. Durable jobs are forwarded to the leading
//! coordinator. A gateway has no durable state, so any gateway may be lost at any time.

pub mod engine;
mod interruptions;
mod leader;
mod runners;
mod service;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::Notify;
use tracing::info;

use crate::connector::{Connector, Seeds};
use crate::message::{CallerAction, CallerAnswer, CallerRequest, Rejection};
use crate::task_set::TaskSet;
use engine::{Engine, EngineSettings, Submission};
use runners::Runners;
use service::GatewayService;

/// Retry delay for callers while the gateway has no configuration, in milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 1_000;
/// Part of the caller's timeout that is reserved for the answer to reach it.
const ANSWER_MARGIN: DurationMs = DurationMs::new(40);

/// Settings of a gateway.
pub struct GatewaySettings {
    /// Identity that it presents to peers.
    pub identity: Identity,
    /// Reads the addresses of possible keepers from the current settings.
    pub seeds: Seeds,
    /// Longest time that a request waits for a leader, in milliseconds.
    pub leader_timeout_ms: u64,
    /// Settings of the engine.
    pub engine: EngineSettings,
    /// Most runners that the gateway follows. It places work only on these.
    pub max_runners: usize,
}

/// What is known of a caller that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Its address, if it is known.
    pub peer: Option<SocketAddr>,
    /// Time for which it still waits.
    pub time_left: DurationMs,
    /// Longest time since it may have sent its request.
    pub max_age: DurationMs,
}

/// Serves callers' requests.
pub struct Gateway {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    connector: Connector,
    leader_timeout: DurationMs,
    max_runners: usize,
    clock: SystemClock,
    configuration: RefCell<Option<Rc<Configuration>>>,
    engine: RefCell<Engine>,
    runners: Runners,
    /// Notified when the engine's next deadline may have changed.
    engine_changed: Notify,
    tasks: TaskSet,
}

impl Gateway {
    /// Creates a gateway that is not connected yet.
    pub fn new(settings: GatewaySettings) -> Rc<Self> {
        let identity = Rc::new(settings.identity);
        Rc::new_cyclic(|gateway| {
            let service: Rc<dyn Service> = Rc::new(GatewayService::new(gateway.clone()));
            let clock = SystemClock::start();
            Self {
                identity: Rc::clone(&identity),
                connector: Connector::new(identity, Rc::clone(&service), settings.seeds),
                service,
                leader_timeout: DurationMs::new(settings.leader_timeout_ms),
                max_runners: settings.max_runners,
                engine: RefCell::new(Engine::new(clock.now(), settings.engine)),
                clock,
                configuration: RefCell::default(),
                runners: Runners::default(),
                engine_changed: Notify::new(),
                tasks: TaskSet::default(),
            }
        })
    }

    /// Maintains the connections to the leader and to the followed runners. Never returns.
    pub async fn run(self: &Rc<Self>) {
        tokio::select! {
            () = self.maintain_leader_connection() => {}
            () = self.run_timers() => {}
        }
    }

    /// Whether the gateway has a configuration and can serve requests.
    pub fn is_ready(&self) -> bool {
        self.configuration.borrow().is_some()
    }

    /// Returns the number of unanswered best-effort jobs.
    pub fn open_jobs(&self) -> usize {
        self.engine.borrow().open_jobs()
    }

    /// Serves the request of a caller.
    pub async fn call(self: &Rc<Self>, request: CallerRequest, caller: Caller) -> CallerAnswer {
        let time_left = caller.time_left;
        let configuration = self.configuration.borrow().clone();
        let Some(configuration) = configuration else {
            return CallerAnswer::Rejected {
                reason: Rejection::NoConfiguration,
                retry_after_ms: NO_CONFIGURATION_RETRY_MS,
            };
        };
        let Some(found) = configuration.find(&request.host, &request.path) else {
            return CallerAnswer::NoSuchQueue;
        };
        match (&request.action, found.rest.parse::<JobId>()) {
            (CallerAction::Submit(spec), Ok(id)) if spec.best_effort => {
                let spec = spec.clone();
                self.serve_best_effort(id, found.queue, spec, caller).await
            }
            (CallerAction::Cancel, Ok(id)) if self.abandon(id) => CallerAnswer::Canceled,
            (CallerAction::State, Err(_)) if found.rest.is_empty() => {
                let local = self.engine.borrow().pending_jobs(&found.queue.name) as u64;
                self.count(&request, local, time_left).await
            }
            (_, Err(_)) => CallerAnswer::BadJobId,
            (_, Ok(_)) => self.forward(&request, time_left).await,
        }
    }

    /// Withdraws and answers all open best-effort jobs, because the process is about to stop.
    pub fn give_up_all(self: &Rc<Self>) {
        self.engine.borrow_mut().give_up_all(self.clock.now());
        self.run_engine();
    }

    /// Dispatches a job and waits for its end. Dropping the future abandons the job.
    async fn serve_best_effort(
        self: &Rc<Self>,
        id: JobId,
        queue: &Queue,
        spec: JobSpec,
        caller: Caller,
    ) -> CallerAnswer {
        let now = self.clock.now();
        let time_left_ms = caller.time_left.as_ms();
        let usable_ms = time_left_ms.saturating_sub(ANSWER_MARGIN.as_ms());
        let answer_deadline = now + DurationMs::new(usable_ms);
        let submission = Submission {
            id,
            queue,
            spec,
            answer_deadline,
            sent_after: now.before(caller.max_age),
            peer: caller.peer,
        };
        let submitted = self.engine.borrow_mut().submit(now, submission);
        self.run_engine();
        let answer = match submitted {
            Ok(answer) => answer,
            Err(answer) => return answer,
        };
        let abandoned = AbandonOnDrop {
            gateway: self,
            id,
            answered: false,
        };
        // The engine answers every job. The channel closes without an answer only when a newer
        // request for the same job has replaced this one.
        let answer = answer.await.unwrap_or(CallerAnswer::Undecided);
        abandoned.disarm();
        answer
    }

    /// Withdraws a job whose caller has left or cancels it. Returns false if it isn't open here.
    fn abandon(self: &Rc<Self>, id: JobId) -> bool {
        let known = self.engine.borrow_mut().abandon(self.clock.now(), id);
        if known {
            info!(event = "job-abandoned", job = %id);
            self.run_engine();
        }
        known
    }

    /// Counts a queue's pending jobs: those of the leader, and this gateway's `local` ones.
    async fn count(
        self: &Rc<Self>,
        request: &CallerRequest,
        local: u64,
        time_left: DurationMs,
    ) -> CallerAnswer {
        if self.connector.leader().is_none() {
            return CallerAnswer::PendingJobs(local);
        }
        match self.forward(request, time_left).await {
            CallerAnswer::PendingJobs(kept) => CallerAnswer::PendingJobs(kept + local),
            answer => answer,
        }
    }

    /// Runs the engine, sends its orders, and wakes the timer task.
    fn run_engine(self: &Rc<Self>) {
        let orders = self.engine.borrow_mut().step(self.clock.now());
        self.send_orders(orders);
        self.engine_changed.notify_one();
    }

    /// Runs the engine whenever one of its deadlines passes. Never returns.
    async fn run_timers(self: &Rc<Self>) {
        loop {
            let deadline = self.engine.borrow().next_deadline();
            let wait_us = deadline.micros_since(self.clock.now());
            let wait = std::time::Duration::from_micros(wait_us);
            let due = tokio::time::timeout(wait, self.engine_changed.notified()).await;
            if due.is_err() {
                let orders = self.engine.borrow_mut().step(self.clock.now());
                self.send_orders(orders);
            }
        }
    }
}

/// Withdraws a job when the future that waits for its answer is dropped.
struct AbandonOnDrop<'a> {
    gateway: &'a Rc<Gateway>,
    id: JobId,
    answered: bool,
}

impl AbandonOnDrop<'_> {
    fn disarm(mut self) {
        self.answered = true;
    }
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.gateway.abandon(self.id);
        }
    }
}
