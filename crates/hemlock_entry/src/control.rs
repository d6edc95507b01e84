//! The control thread: passes events to the router and performs the actions it returns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use hemlock_http::prelude::HttpServer;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use tokio::sync::oneshot;
use tracing::info;

use crate::calls::PendingCalls;
use crate::counters::Counters;
use crate::inbox::{Call, CallKind, Inbox, Input, LaneCommand, Report, post};
use crate::lane::Lanes;
use crate::session::{Session, SessionCommand};
use crate::status::{KeyTable, Status};

/// Most inputs handled before the router starts the tasks it can place.
const MAX_BATCH: usize = 512;
/// Longest wait for an input before timers are checked, in milliseconds.
const MAX_INPUT_WAIT_MS: u64 = 200;
const US_PER_MS: u64 = 1_000;

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopPhase {
    /// No stop was requested.
    Running,
    /// New work is refused and admitted work is finished.
    Draining,
    /// Every call is answered and the HTTP server is closing its connections.
    ClosingHttp,
    /// The keeper session reports the remaining ends and releases the lease.
    ClosingSession,
    /// The control thread can end.
    Ended,
}

/// State of the control thread.
pub(crate) struct Control {
    router: Router,
    clock: SystemClock,
    status: Arc<Status>,
    counters: Counters,
    lanes: Lanes,
    session: Session,
    server: Option<HttpServer>,
    http_closer: Option<std::thread::JoinHandle<()>>,
    inbox: Inbox,
    calls: PendingCalls,
    pending_recalls: HashMap<u64, oneshot::Sender<u16>>,
    next_ticket: u64,
    actions: Actions,
    lane_commands: Vec<Vec<LaneCommand>>,
    keys_version: ConfigVersion,
    stop_phase: StopPhase,
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
        let lane_commands = (0..lanes.count()).map(|_| Vec::new()).collect();
        Self {
            router,
            clock,
            status,
            counters,
            lanes,
            session,
            server: Some(server),
            http_closer: None,
            inbox,
            calls: PendingCalls::default(),
            pending_recalls: HashMap::new(),
            next_ticket: 0,
            actions: Actions::new(),
            lane_commands,
            keys_version: ConfigVersion::default(),
            stop_phase: StopPhase::Running,
        }
    }

    /// Runs until a planned stop has ended or the entry is killed, then joins its other threads.
    pub(crate) fn run(mut self, input_receiver: &Receiver<Input>) {
        info!(event = "entry-started");
        while self.stop_phase != StopPhase::Ended {
            match input_receiver.recv_timeout(self.input_timeout()) {
                Ok(input) => self.handle_batch(input, input_receiver),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.run_router();
            self.advance_stop();
        }
        self.join_threads();
        info!(event = "entry-ended");
    }

    fn input_timeout(&self) -> Duration {
        let max_wait_us = MAX_INPUT_WAIT_MS * US_PER_MS;
        let now = self.clock.now();
        let due_us = self
            .router
            .next_wakeup()
            .map_or(max_wait_us, |at| at.micros_since(now));
        Duration::from_micros(due_us.min(max_wait_us))
    }

    fn handle_batch(&mut self, first: Input, input_receiver: &Receiver<Input>) {
        let now = self.clock.now();
        self.handle_input(now, first);
        for input in input_receiver.try_iter().take(MAX_BATCH) {
            self.handle_input(now, input);
        }
    }

    fn handle_input(&mut self, now: Instant, input: Input) {
        match input {
            Input::Call(call) => self.handle_call(now, *call),
            Input::Event(event) => {
                self.count_received(&event);
                self.router.apply(now, event, &mut self.actions);
            }
            Input::Report(reply) => self.send_report(now, reply),
            Input::Recall {
                agent,
                slots,
                reply,
            } => self.recall_credits(now, agent, slots, reply),
            Input::Drain if self.stop_phase == StopPhase::Running => self.begin_drain(now),
            Input::Drain => {}
            Input::HttpClosed => {
                self.session.send(SessionCommand::Leave);
                self.stop_phase = StopPhase::ClosingSession;
            }
            Input::SessionClosed | Input::Kill => self.stop_phase = StopPhase::Ended,
        }
    }

    /// Counts a message that came from an agent or a keeper.
    fn count_received(&mut self, event: &Event) {
        let kind = match event {
            Event::Settled { .. } => "settled",
            Event::Granted { .. } => "granted",
            Event::Cancelled { .. } => "cancelled",
            Event::Fenced { .. } => "fenced",
            Event::Pong { .. } => "pong",
            Event::Synced(_) => "synced",
            _ => return,
        };
        self.counters.count_message(kind);
    }

    fn handle_call(&mut self, now: Instant, call: Call) {
        let id = self
            .calls
            .insert(call.reply_format, call.traceparent, call.responder);
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

    fn send_report(&mut self, now: Instant, reply: oneshot::Sender<Report>) {
        let report = Report {
            config: self.router.contracts().version(),
            directory: self.router.fleet().position(),
            demand: self.router.demand(now),
            shares_seen: self.router.contracts().shares_seq(),
            has_lease: self.router.has_lease(now),
            sent: now,
        };
        // The session drops the receiver only when the entry ends.
        drop(reply.send(report));
    }

    fn recall_credits(
        &mut self,
        now: Instant,
        agent: Incarnation,
        slots: u16,
        reply: oneshot::Sender<u16>,
    ) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.pending_recalls.insert(ticket, reply);
        let event = Event::Recall {
            agent,
            slots,
            ticket,
        };
        self.router.apply(now, event, &mut self.actions);
    }

    fn begin_drain(&mut self, now: Instant) {
        info!(event = "entry-draining");
        self.stop_phase = StopPhase::Draining;
        self.status.begin_drain();
        self.router.apply(now, Event::Drain, &mut self.actions);
    }

    fn run_router(&mut self) {
        let now = self.clock.now();
        self.router.flush(now, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.perform(action);
        }
        for (lane, commands) in self.lane_commands.iter_mut().enumerate() {
            if !commands.is_empty() {
                self.lanes.send(lane, std::mem::take(commands));
            }
        }
        self.publish_status(now);
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
                self.queue_command(agent, LaneCommand::Connect(agent, address));
            }
            Action::Disconnect(agent) => self.queue_command(agent, LaneCommand::Disconnect(agent)),
            Action::Start { agent, spec } => {
                self.counters.count_message("start");
                self.queue_command(agent, LaneCommand::Start(agent, Box::new(spec)));
            }
            Action::Want { agent, count } => {
                self.counters.count_message("want");
                self.queue_command(agent, LaneCommand::Want(agent, count));
            }
            Action::Return { ticket, slots, .. } => self.answer_recall(ticket, slots),
            Action::Cancel { agent, requests } => {
                self.counters.count_message("cancel");
                self.queue_command(agent, LaneCommand::Cancel(agent, requests));
            }
            Action::Fence {
                agent,
                submission,
                epoch,
            } => {
                self.counters.count_message("fence");
                self.queue_command(agent, LaneCommand::Fence(agent, submission, epoch));
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

    fn queue_command(&mut self, agent: Incarnation, command: LaneCommand) {
        let lane = self.lanes.lane_of(agent);
        self.lane_commands[lane].push(command);
    }

    fn answer_recall(&mut self, ticket: u64, slots: u16) {
        if let Some(reply) = self.pending_recalls.remove(&ticket) {
            // The receiver is gone if the agent's connection has closed, which voids its credits.
            let _ = reply.send(slots);
        }
    }

    fn publish_status(&mut self, now: Instant) {
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
        let is_idle = self.router.is_idle() && self.calls.is_empty();
        if self.stop_phase != StopPhase::Draining || !is_idle {
            return;
        }
        self.stop_phase = StopPhase::ClosingHttp;
        let inbox = self.inbox.clone();
        let server = self.server.take();
        self.http_closer = Some(std::thread::spawn(move || {
            if let Some(server) = server {
                server.join();
            }
            post(&inbox, Input::HttpClosed);
        }));
    }

    fn join_threads(self) {
        let Self {
            lanes,
            session,
            server,
            http_closer,
            calls,
            pending_recalls,
            ..
        } = self;
        drop(calls);
        drop(pending_recalls);
        lanes.join();
        session.join();
        if let Some(server) = server {
            server.join();
        }
        if let Some(http_closer) = http_closer
            && let Err(panic) = http_closer.join()
        {
            std::panic::resume_unwind(panic);
        }
    }
}
