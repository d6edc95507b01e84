//! The control thread, which owns the gate and performs its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use hemlock_gate::prelude::*;
use hemlock_http::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::message::entry::EntryRequest;
use tokio::sync::{mpsc, watch};

use crate::agent_metrics::AgentMetrics;
use crate::announce::{AgentInfo, AnnouncedState};
use crate::command::{Command, ReplySender};
use crate::endpoint_client::{EndpointClientPool, PoolCommand};
use crate::http_api::{EndpointReport, SharedPhase};
use crate::lane::Shutdown;

/// Interval of the gate's ticks and of the published metrics.
const TICK: DurationMs = DurationMs::new(1_000);

/// Shortest wait before a wake-up that the gate requests.
const MIN_WAIT: Duration = Duration::from_micros(200);

/// Inputs for creating the control thread.
pub(crate) struct ControlParts {
    pub(crate) gate: Gate,
    pub(crate) agent: Incarnation,
    pub(crate) info: AgentInfo,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) commands: Sender<Command>,
    pub(crate) command_receiver: Receiver<Command>,
    pub(crate) phase: SharedPhase,
    pub(crate) announced: watch::Sender<AnnouncedState>,
    pub(crate) shutdown: Arc<watch::Sender<Shutdown>>,
}

/// The control thread's state.
pub(crate) struct Control {
    parts: ControlParts,
    actions: Actions,
    pending_starts: HashMap<(LinkId, RequestId), ReplySender>,
    pending_calls: HashMap<CallId, ReplySender>,
    links: HashMap<LinkId, mpsc::UnboundedSender<EntryRequest>>,
    next_call: u64,
    endpoint_clients: EndpointClientPool,
    probing: bool,
    metrics: AgentMetrics,
    next_tick: Instant,
}

impl Control {
    pub(crate) fn new(parts: ControlParts) -> Self {
        let metrics = AgentMetrics::new(parts.agent);
        let clock = Arc::clone(&parts.clock);
        Self {
            endpoint_clients: EndpointClientPool::new(parts.commands.clone(), clock, &metrics),
            metrics,
            next_tick: parts.clock.now() + TICK,
            actions: Actions::new(),
            pending_starts: HashMap::new(),
            pending_calls: HashMap::new(),
            links: HashMap::new(),
            next_call: 0,
            probing: false,
            parts,
        }
    }

    /// Runs until the lane has ended.
    pub(crate) fn run(mut self) {
        loop {
            let command = match self
                .parts
                .command_receiver
                .recv_timeout(self.time_until_wakeup())
            {
                Ok(Command::LaneEnded) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(command) => Some(command),
                Err(RecvTimeoutError::Timeout) => None,
            };
            let now = self.parts.clock.now();
            match command {
                Some(command) => self.handle_command(now, command),
                None => self.handle_event(now, Event::Tick),
            }
            if now >= self.next_tick {
                self.handle_tick(now);
            }
        }
        self.publish_metrics();
    }

    /// Time until the next wake-up of the gate or the next tick.
    fn time_until_wakeup(&self) -> Duration {
        let now = self.parts.clock.now();
        let wakeup = self.parts.gate.next_wakeup().unwrap_or(self.next_tick);
        let micros = wakeup.min(self.next_tick).micros_since(now);
        Duration::from_micros(micros).max(MIN_WAIT)
    }

    fn handle_tick(&mut self, now: Instant) {
        self.next_tick = now + TICK;
        self.handle_event(now, Event::Tick);
        self.publish_metrics();
    }

    fn publish_metrics(&self) {
        let gate = &self.parts.gate;
        self.metrics.publish(&gate.counters(), &gate.status());
    }

    fn handle_command(&mut self, now: Instant, command: Command) {
        match command {
            Command::Opened { link, entry, push } => {
                self.links.insert(link, push);
                self.handle_event(now, Event::Opened { link, entry });
            }
            Command::Closed { link } => {
                self.links.remove(&link);
                self.pending_starts.retain(|(owner, _), _| *owner != link);
                self.handle_event(now, Event::Closed { link });
            }
            Command::Request {
                link,
                request,
                reply,
                received,
            } => self.handle_request(now, link, request, reply, received),
            Command::Event(event) => self.handle_event(now, event),
            Command::Announce { offer, responder } => {
                self.handle_event(now, Event::Announced(offer));
                self.send_report(responder);
            }
            Command::Withdraw { responder } => {
                self.handle_event(now, Event::Withdrawn);
                self.send_report(responder);
            }
            Command::LaneEnded => {}
        }
    }

    fn handle_request(
        &mut self,
        now: Instant,
        link: LinkId,
        request: AgentRequest,
        reply: ReplySender,
        received: Instant,
    ) {
        let event = match request {
            AgentRequest::Start(spec) => {
                // If an entry reuses the id of a pending request, the second start gets no answer.
                self.pending_starts
                    .entry((link, spec.request))
                    .or_insert(reply);
                return self.handle_event_received_at(now, received, Event::Start { link, spec });
            }
            AgentRequest::Ping => return self.answer_ping(reply),
            AgentRequest::Want { count } => {
                let call = self.add_pending_call(reply);
                Event::Want { link, call, count }
            }
            AgentRequest::Fence { submission, epoch } => Event::Fence {
                call: self.add_pending_call(reply),
                submission,
                epoch,
            },
            AgentRequest::Cancel { requests } => Event::Cancel {
                link,
                call: self.add_pending_call(reply),
                requests,
            },
        };
        self.handle_event(now, event);
    }

    fn add_pending_call(&mut self, reply: ReplySender) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.pending_calls.insert(call, reply);
        call
    }

    fn answer_ping(&self, reply: ReplySender) {
        let status = self.parts.gate.status();
        send_reply(
            Some(reply),
            AgentReply::Pong {
                running: status.running,
                draining: status.phase.is_leaving(),
            },
        );
    }

    fn send_report(&self, responder: Responder) {
        let gate = &self.parts.gate;
        let status = gate.status();
        let report = EndpointReport::new(self.parts.agent, gate.offer(), &status);
        let code = match status.phase.is_leaving() {
            true => 409,
            false => 200,
        };
        responder.send(HttpResponse::json(code, &report));
    }

    fn handle_event(&mut self, now: Instant, event: Event) {
        self.handle_event_received_at(now, now, event);
    }

    fn handle_event_received_at(&mut self, now: Instant, received: Instant, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let was = self.parts.gate.status().phase;
        let reset_probing = matches!(event, Event::Unreachable | Event::Reached);
        self.parts.gate.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action, received);
        }
        self.actions = actions;
        if reset_probing {
            self.probing = false;
        }
        self.publish_changes(was);
    }

    /// Publishes changes of the endpoint's phase, offer or load to the other threads, and probes a
    /// suspect endpoint. `was` is the previous phase.
    fn publish_changes(&mut self, was: EndpointPhase) {
        let gate = &self.parts.gate;
        let status = gate.status();
        if status.phase != was {
            let phase = status.phase;
            tracing::info!(agent = %self.parts.agent, %was, %phase, "endpoint changed phase");
            self.parts.phase.set(status.phase);
        }
        let suspect_offer = match (status.phase, gate.offer()) {
            (EndpointPhase::Suspect, Some(offer)) if !self.probing => Some(offer.address),
            _ => None,
        };
        if let Some(address) = suspect_offer {
            self.probing = true;
            let min_threads = usize::from(status.running) + 1;
            self.endpoint_clients
                .submit(PoolCommand::Probe(address), min_threads);
        }
        self.announce(&status);
    }

    fn announce(&self, status: &GateStatus) {
        let gate = &self.parts.gate;
        self.parts.announced.send_if_modified(|announced| {
            announced.running = status.running;
            let is_current = announcement_is_current(announced, gate.offer(), status);
            if is_current {
                return false;
            }
            announced.announcement = self.parts.info.announcement(gate.offer(), status.phase);
            true
        });
    }

    fn perform(&mut self, action: Action, received: Instant) {
        match action {
            Action::Run { run, offer, spec } => {
                let min_threads =
                    usize::from(self.parts.gate.status().running) + usize::from(self.probing);
                let spec = Box::new(spec);
                let command = PoolCommand::Call {
                    run,
                    offer,
                    spec,
                    received,
                };
                self.endpoint_clients.submit(command, min_threads);
            }
            Action::Settle {
                link,
                request,
                outcome,
                service_us,
                granted,
            } => {
                let reply = AgentReply::Settled {
                    request,
                    outcome,
                    service_us,
                    granted,
                };
                send_reply(self.pending_starts.remove(&(link, request)), reply);
            }
            Action::Granted { call, slots, .. } => {
                send_reply(
                    self.pending_calls.remove(&call),
                    AgentReply::Granted { slots },
                );
            }
            Action::Fenced { call, tasks } => {
                send_reply(
                    self.pending_calls.remove(&call),
                    AgentReply::Fenced { tasks },
                );
            }
            Action::FenceRefused { call } => drop(self.pending_calls.remove(&call)),
            Action::Cancelled { call, outcomes } => {
                send_reply(
                    self.pending_calls.remove(&call),
                    AgentReply::Cancelled { outcomes },
                );
            }
            Action::Grant { link, slots } => self.push(link, EntryRequest::Grant { slots }),
            Action::Recall { link, slots } => self.push(link, EntryRequest::Recall { slots }),
            Action::Leaving { link } => self.push(link, EntryRequest::Leaving),
            Action::Drained => drop(self.parts.shutdown.send_replace(Shutdown::Graceful)),
        }
    }

    fn push(&self, link: LinkId, request: EntryRequest) {
        if let Some(push) = self.links.get(&link) {
            // A push to a link that has just closed is dropped.
            let _ = push.send(request);
        }
    }
}

/// Whether the announcement still matches the gate's state, checked without building a new one.
fn announcement_is_current(
    announced: &AnnouncedState,
    offer: Option<&Offer>,
    status: &GateStatus,
) -> bool {
    use hemlock_directory::prelude::EndpointState;
    let serving = status.phase == EndpointPhase::Serving;
    let gone = status.phase == EndpointPhase::Gone;
    match (&announced.announcement, offer) {
        (None, None) => true,
        (None, Some(_)) => gone,
        (Some(_), None) => false,
        (Some(old), Some(offer)) => {
            !gone
                && old.service == offer.service
                && old.slots == offer.capacity()
                && old.connections == offer.connections
                && (old.state == EndpointState::Serving) == serving
        }
    }
}

fn send_reply(to: Option<ReplySender>, reply: AgentReply) {
    if let Some(to) = to {
        // The receiver is gone if the entry has closed its connection.
        let _ = to.send(reply);
    }
}
