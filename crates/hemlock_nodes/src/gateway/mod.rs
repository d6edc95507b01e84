//! The process that callers reach.
//!
//! A gateway dispatches best-effort jobs by itself: it places their tasks on runners and answers
//! when they have ended, without any keeper. Jobs that must be kept are passed to the leading
//! coordinator. A gateway keeps no durable state, so any of them may be lost at any time.

mod engine;
mod leader;
mod runners;
mod service;

use std::cell::RefCell;
use std::rc::Rc;

use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::Notify;
use tracing::info;

use crate::connector::{Connector, Seeds};
use crate::message::{CallerAction, CallerAnswer, CallerRequest, Rejection};
use crate::task_set::TaskSet;
use engine::{Engine, Submission};
use runners::Runners;
use service::GatewayService;

/// When a caller may come back while no configuration is held, in milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 1_000;
/// Time for the answer to reach the caller before it gives up.
const ANSWER_MARGIN: DurationMs = DurationMs::new(40);

/// What a gateway needs to know.
pub struct GatewaySettings {
    /// How it introduces itself.
    pub identity: Identity,
    /// Where keepers may be, as the settings say now.
    pub seeds: Seeds,
    /// Longest time that a request waits for a leader, in milliseconds.
    pub patience_ms: u64,
    /// Longest lease of a run, in milliseconds.
    pub lease_ms: u64,
}

/// Serves callers.
pub struct Gateway {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    connector: Connector,
    patience: DurationMs,
    clock: SystemClock,
    configuration: RefCell<Option<Rc<Configuration>>>,
    engine: RefCell<Engine>,
    runners: Runners,
    /// Rung when the engine's next deadline may have changed.
    engine_changed: Notify,
    tasks: TaskSet,
}

impl Gateway {
    /// A gateway that has not connected yet.
    pub fn new(settings: GatewaySettings) -> Rc<Self> {
        let identity = Rc::new(settings.identity);
        Rc::new_cyclic(|gateway| {
            let service: Rc<dyn Service> = Rc::new(GatewayService::new(gateway.clone()));
            let clock = SystemClock::start();
            Self {
                identity: Rc::clone(&identity),
                connector: Connector::new(identity, Rc::clone(&service), settings.seeds),
                service,
                patience: DurationMs::new(settings.patience_ms),
                engine: RefCell::new(Engine::new(clock.now(), settings.lease_ms)),
                clock,
                configuration: RefCell::default(),
                runners: Runners::default(),
                engine_changed: Notify::new(),
                tasks: TaskSet::default(),
            }
        })
    }

    /// Keeps the connections to the leader and to all runners. Never returns.
    pub async fn run(self: &Rc<Self>) {
        tokio::select! {
            () = self.keep_leader() => {}
            () = self.keep_time() => {}
        }
    }

    /// Whether requests can be served now.
    pub fn is_ready(&self) -> bool {
        self.configuration.borrow().is_some()
    }

    /// Best-effort jobs that are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.engine.borrow().open_jobs()
    }

    /// Serves a request, for a caller that waits for `time_left`.
    pub async fn call(
        self: &Rc<Self>,
        request: CallerRequest,
        time_left: DurationMs,
    ) -> CallerAnswer {
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
                self.serve_best_effort(id, found.queue, spec, time_left)
                    .await
            }
            (CallerAction::Cancel, Ok(id)) if self.abandon(id) => CallerAnswer::Canceled,
            (CallerAction::State, Err(_)) if found.rest.is_empty() => {
                let own = self.engine.borrow().pending_jobs(&found.queue.name) as u64;
                self.count(&request, own, time_left).await
            }
            (_, Err(_)) => CallerAnswer::BadJobId,
            (_, Ok(_)) => self.forward(&request, time_left).await,
        }
    }

    /// Answers all best-effort jobs that are still open, because the process is about to end.
    pub fn give_up_all(self: &Rc<Self>) {
        self.engine.borrow_mut().give_up_all(self.clock.now());
        self.pump();
    }

    /// Dispatches a job and waits for its end. Dropping the future abandons the job.
    async fn serve_best_effort(
        self: &Rc<Self>,
        id: JobId,
        queue: &Queue,
        spec: JobSpec,
        time_left: DurationMs,
    ) -> CallerAnswer {
        let now = self.clock.now();
        let usable_ms = time_left.as_ms().saturating_sub(ANSWER_MARGIN.as_ms());
        let answer_by = now + DurationMs::new(usable_ms);
        let submission = Submission {
            id,
            queue,
            spec,
            answer_by,
        };
        let submitted = self.engine.borrow_mut().submit(now, submission);
        self.pump();
        let answer = match submitted {
            Ok(answer) => answer,
            Err(answer) => return answer,
        };
        let abandoned = AbandonOnDrop {
            gateway: self,
            id,
            answered: false,
        };
        // The engine answers every job; a dropped answer means that it was replaced.
        let answer = answer.await.unwrap_or(CallerAnswer::Undecided);
        abandoned.disarm();
        answer
    }

    /// Drops a job whose caller has left; false when it isn't here.
    fn abandon(self: &Rc<Self>, id: JobId) -> bool {
        let known = self.engine.borrow_mut().abandon(self.clock.now(), id);
        if known {
            info!(event = "job-abandoned", job = %id);
            self.pump();
        }
        known
    }

    /// Counts a queue's waiting jobs: those kept by the leader, and this gateway's own.
    async fn count(
        self: &Rc<Self>,
        request: &CallerRequest,
        own: u64,
        time_left: DurationMs,
    ) -> CallerAnswer {
        if self.connector.leader().is_none() {
            return CallerAnswer::PendingJobs(own);
        }
        match self.forward(request, time_left).await {
            CallerAnswer::PendingJobs(kept) => CallerAnswer::PendingJobs(kept + own),
            answer => answer,
        }
    }

    /// Sends what the engine wants sent.
    fn pump(self: &Rc<Self>) {
        let orders = self.engine.borrow_mut().step(self.clock.now());
        self.send_orders(orders);
        self.engine_changed.notify_one();
    }

    /// Does what time alone brings about. Never returns.
    async fn keep_time(self: &Rc<Self>) {
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

/// Drops a job when nobody waits for its answer any more.
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
