//! The control thread: feeds the router and carries out its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use hemlock_http::prelude::HttpServer;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use tokio::sync::oneshot;
use tracing::info;

use crate::calls::Calls;
use crate::counters::Counters;
use crate::inbox::{Call, CallKind, Inbox, Input, LaneCommand, Report, post};
use crate::lane::Lanes;
use crate::session::{Session, SessionCommand};
use crate::status::{KeyTable, Status};

/// Most inputs taken before the router starts what it can.
const BATCH_MAX: usize = 512;
/// Longest rest between two looks at the clock, in milliseconds.
const REST_MAX_MS: u64 = 200;
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    /// No stop was asked for.
    No,
    /// Nothing more is admitted; what runs is finished.
    Draining,
    /// Everything is answered; the HTTP server closes its connections.
    ClosingHttp,
    /// The keeper session hands over what it holds.
    ClosingSession,
    /// Nothing is left to do.
    Ended,
}

/// What the control thread owns.
pub(crate) struct Control {
    router: Router,
    clock: SystemClock,
    status: Arc<Status>,
    counters: Counters,
    lanes: Lanes,
    session: Session,
    server: Option<HttpServer>,
    closer: Option<std::thread::JoinHandle<()>>,
    inbox: Inbox,
    calls: Calls,
    recalls: HashMap<u64, oneshot::Sender<u16>>,
    next_ticket: u64,
    actions: Actions,
    commands: Vec<Vec<LaneCommand>>,
    keys_version: ConfigVersion,
    stopping: Stopping,
}

impl Control {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        router: Router,
        clock: SystemClock,
        status: Arc<Status>,
        counters: Counters,
        lanes: Lanes,
        session: Session,
        server: HttpServer,
        inbox: Inbox,
    ) -> Self {
        let commands = (0..lanes.count()).map(|_| Vec::new()).collect();
        Self {
            router,
            clock,
            status,
            counters,
            lanes,
            session,
            server: Some(server),
            closer: None,
            inbox,
            calls: Calls::default(),
            recalls: HashMap::new(),
            next_ticket: 0,
            actions: Actions::new(),
            commands,
            keys_version: ConfigVersion::default(),
            stopping: Stopping::No,
        }
    }

    /// Runs until a planned stop has ended, then joins every other thread of the entry.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) {
        info!(event = "entry-started");
        while self.stopping != Stopping::Ended {
            match inputs.recv_timeout(self.rest()) {
                Ok(input) => self.take_batch(input, inputs),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.work();
            self.advance_stop();
        }
        self.finish();
        info!(event = "entry-ended");
    }

    fn rest(&self) -> Duration {
        let longest_us = REST_MAX_MS * US_PER_MS;
        let now = self.clock.now();
        let due_us = self
            .router
            .next_wakeup()
            .map_or(longest_us, |at| at.micros_since(now));
        Duration::from_micros(due_us.min(longest_us))
    }

    fn take_batch(&mut self, first: Input, inputs: &Receiver<Input>) {
        let now = self.clock.now();
        self.take(now, first);
        for input in inputs.try_iter().take(BATCH_MAX) {
            self.take(now, input);
        }
    }

    fn take(&mut self, now: Instant, input: Input) {
        match input {
            Input::Call(call) => self.take_call(now, *call),
            Input::Event(event) => {
                self.count_answer(&event);
                self.router.apply(now, event, &mut self.actions);
            }
            Input::Report(answer) => self.report(now, answer),
            Input::Recall {
                agent,
                slots,
                answer,
            } => self.recall(now, agent, slots, answer),
            Input::Drain if self.stopping == Stopping::No => self.drain(now),
            Input::Drain => {}
            Input::HttpClosed => {
                self.session.send(SessionCommand::Leave);
                self.stopping = Stopping::ClosingSession;
            }
            Input::SessionClosed | Input::Kill => self.stopping = Stopping::Ended,
        }
    }

    /// Counts what agents and keepers send.
    fn count_answer(&mut self, event: &Event) {
        let kind = match event {
            Event::Settled { .. } => "settled",
            Event::Granted { .. } => "granted",
            Event::Cancelled { .. } => "cancelled",
            Event::Fenced { .. } => "fenced",
            Event::Pong { .. } => "pong",
            Event::Synced(_) => "synced",
            _ => return,
        };
        self.counters.message(kind);
    }

    fn take_call(&mut self, now: Instant, call: Call) {
        let id = self
            .calls
            .insert(call.shape, call.traceparent, call.responder);
        let event = match call.kind {
            CallKind::Submit(mut submit) => {
                submit.call = id;
                Event::Submit(submit)
            }
            CallKind::Query(submission) => Event::Query {
                call: id,
                submission,
            },
            CallKind::Cancel(submission) => Event::CancelSubmission {
                call: id,
                submission,
            },
        };
        self.router.apply(now, event, &mut self.actions);
    }

    fn report(&mut self, now: Instant, answer: oneshot::Sender<Report>) {
        let report = Report {
            config: self.router.contracts().version(),
            directory: self.router.fleet().position(),
            demand: self.router.demand(now),
            shares_seen: self.router.contracts().shares_seq(),
            has_lease: self.router.has_lease(now),
            sent: now,
        };
        // The session has gone only when the entry ends.
        drop(answer.send(report));
    }

    fn recall(
        &mut self,
        now: Instant,
        agent: Incarnation,
        slots: u16,
        answer: oneshot::Sender<u16>,
    ) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.recalls.insert(ticket, answer);
        let event = Event::Recall {
            agent,
            slots,
            ticket,
        };
        self.router.apply(now, event, &mut self.actions);
    }

    fn drain(&mut self, now: Instant) {
        info!(event = "entry-draining");
        self.stopping = Stopping::Draining;
        self.status.begin_drain();
        self.router.apply(now, Event::Drain, &mut self.actions);
    }

    fn work(&mut self) {
        let now = self.clock.now();
        self.router.flush(now, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.perform(action);
        }
        for (lane, commands) in self.commands.iter_mut().enumerate() {
            if !commands.is_empty() {
                self.lanes.send(lane, std::mem::take(commands));
            }
        }
        self.publish(now);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Answer {
                call,
                result,
                retry_after_ms,
            } => self
                .calls
                .answer(call, result, retry_after_ms, &self.counters),
            Action::Connect { agent, address } => {
                self.command(agent, LaneCommand::Connect(agent, address));
            }
            Action::Disconnect(agent) => self.command(agent, LaneCommand::Disconnect(agent)),
            Action::Start { agent, spec } => {
                self.counters.message("start");
                self.command(agent, LaneCommand::Start(agent, Box::new(spec)));
            }
            Action::Want { agent, count } => {
                self.counters.message("want");
                self.command(agent, LaneCommand::Want(agent, count));
            }
            Action::Return { ticket, slots, .. } => self.give_back(ticket, slots),
            Action::Cancel { agent, requests } => {
                self.counters.message("cancel");
                self.command(agent, LaneCommand::Cancel(agent, requests));
            }
            Action::Fence {
                agent,
                submission,
                epoch,
            } => {
                self.counters.message("fence");
                self.command(agent, LaneCommand::Fence(agent, submission, epoch));
            }
            Action::Claim { attempt, claim } => {
                self.session.send(SessionCommand::Claim(attempt, claim));
            }
            Action::End(end) => self.session.send(SessionCommand::End(end)),
            Action::Lookup { call, submission } => {
                self.session.send(SessionCommand::Lookup(call, submission));
            }
            Action::RecordCancel { call, submission } => {
                self.session.send(SessionCommand::Cancel(call, submission));
            }
            Action::SyncSoon => self.session.send(SessionCommand::SyncSoon),
            Action::Observe(observation) => self.counters.observe(observation),
        }
    }

    fn command(&mut self, agent: Incarnation, command: LaneCommand) {
        let lane = self.lanes.lane_of(agent);
        self.commands[lane].push(command);
    }

    fn give_back(&mut self, ticket: u64, slots: u16) {
        if let Some(answer) = self.recalls.remove(&ticket) {
            // The agent's connection may have closed meanwhile; its credits are void then.
            let _ = answer.send(slots);
        }
    }

    fn publish(&mut self, now: Instant) {
        self.status.set_lease_until(self.router.lease_until());
        let version = self.router.contracts().version();
        if version != self.keys_version {
            self.keys_version = version;
            let contracts = self.router.contracts().iter();
            let contracts = contracts.map(|(_, state)| &state.contract);
            self.status.set_keys(KeyTable::new(contracts));
            info!(event = "configuration-in-force", version = version.0);
        }
        self.counters.publish(now, &self.router);
    }

    fn advance_stop(&mut self) {
        let quiet = self.router.is_idle() && self.calls.is_empty();
        if self.stopping != Stopping::Draining || !quiet {
            return;
        }
        self.stopping = Stopping::ClosingHttp;
        let inbox = self.inbox.clone();
        let server = self.server.take();
        self.closer = Some(std::thread::spawn(move || {
            if let Some(server) = server {
                server.join();
            }
            post(&inbox, Input::HttpClosed);
        }));
    }

    fn finish(self) {
        let Self {
            lanes,
            session,
            server,
            closer,
            calls,
            recalls,
            ..
        } = self;
        drop(calls);
        drop(recalls);
        lanes.join();
        session.join();
        if let Some(server) = server {
            server.join();
        }
        if let Some(closer) = closer
            && let Err(panic) = closer.join()
        {
            std::panic::resume_unwind(panic);
        }
    }
}
