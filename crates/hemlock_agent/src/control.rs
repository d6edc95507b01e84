//! The control thread: it owns the gate and carries out its actions.

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

use crate::announce::{Announced, Place};
use crate::command::{Command, ReplySender};
use crate::edge::{EndpointReport, SharedPhase};
use crate::lane::Ending;
use crate::meters::Meters;
use crate::traffic::{Job, TrafficPool};

/// Time between ticks of the gate.
const TICK: DurationMs = DurationMs::new(1_000);

/// Shortest wait for a wake-up that the gate asks for.
const MIN_WAIT: Duration = Duration::from_micros(200);

/// What the control thread needs.
pub(crate) struct ControlParts {
    pub(crate) gate: Gate,
    pub(crate) agent: Incarnation,
    pub(crate) place: Place,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) commands: Sender<Command>,
    pub(crate) received: Receiver<Command>,
    pub(crate) phase: SharedPhase,
    pub(crate) announced: watch::Sender<Announced>,
    pub(crate) ending: Arc<watch::Sender<Ending>>,
}

/// The control thread's state.
pub(crate) struct Control {
    parts: ControlParts,
    actions: Actions,
    starts: HashMap<(LinkId, RequestId), ReplySender>,
    calls: HashMap<CallId, ReplySender>,
    links: HashMap<LinkId, mpsc::UnboundedSender<EntryRequest>>,
    next_call: u64,
    traffic: TrafficPool,
    probing: bool,
    meters: Meters,
    next_tick: Instant,
}

impl Control {
    pub(crate) fn new(parts: ControlParts) -> Self {
        let meters = Meters::new(parts.agent);
        let clock = Arc::clone(&parts.clock);
        Self {
            traffic: TrafficPool::new(parts.commands.clone(), clock, &meters),
            meters,
            next_tick: parts.clock.now() + TICK,
            actions: Actions::new(),
            starts: HashMap::new(),
            calls: HashMap::new(),
            links: HashMap::new(),
            next_call: 0,
            probing: false,
            parts,
        }
    }

    /// Runs until the thread of the connections has ended.
    pub(crate) fn run(mut self) {
        loop {
            let command = match self.parts.received.recv_timeout(self.wait()) {
                Ok(Command::LaneEnded) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(command) => Some(command),
                Err(RecvTimeoutError::Timeout) => None,
            };
            let now = self.parts.clock.now();
            match command {
                Some(command) => self.take(now, command),
                None => self.handle(now, Event::Tick),
            }
            if now >= self.next_tick {
                self.tick(now);
            }
        }
        self.publish();
    }

    /// How long nothing has to be done if nothing is received.
    fn wait(&self) -> Duration {
        let now = self.parts.clock.now();
        let wakeup = self.parts.gate.next_wakeup().unwrap_or(self.next_tick);
        let micros = wakeup.min(self.next_tick).micros_since(now);
        Duration::from_micros(micros).max(MIN_WAIT)
    }

    fn tick(&mut self, now: Instant) {
        self.next_tick = now + TICK;
        self.handle(now, Event::Tick);
        self.publish();
    }

    fn publish(&self) {
        let gate = &self.parts.gate;
        self.meters.publish(&gate.counters(), &gate.status());
    }

    fn take(&mut self, now: Instant, command: Command) {
        match command {
            Command::Opened { link, entry, push } => {
                self.links.insert(link, push);
                self.handle(now, Event::Opened { link, entry });
            }
            Command::Closed { link } => {
                self.links.remove(&link);
                self.starts.retain(|(of, _), _| *of != link);
                self.handle(now, Event::Closed { link });
            }
            Command::Request {
                link,
                request,
                reply,
                received,
            } => self.request(now, link, request, reply, received),
            Command::Event(event) => self.handle(now, event),
            Command::Announce { offer, responder } => {
                self.handle(now, Event::Announced(offer));
                self.report(responder);
            }
            Command::Withdraw { responder } => {
                self.handle(now, Event::Withdrawn);
                self.report(responder);
            }
            Command::LaneEnded => {}
        }
    }

    fn request(
        &mut self,
        now: Instant,
        link: LinkId,
        request: AgentRequest,
        reply: ReplySender,
        received: Instant,
    ) {
        let event = match request {
            AgentRequest::Start(spec) => {
                // A request id that is used twice leaves the second start without an answer.
                self.starts.entry((link, spec.request)).or_insert(reply);
                return self.handle_received(now, received, Event::Start { link, spec });
            }
            AgentRequest::Ping => return self.pong(reply),
            AgentRequest::Want { count } => {
                let call = self.keep_call(reply);
                Event::Want { link, call, count }
            }
            AgentRequest::Fence { submission, epoch } => Event::Fence {
                call: self.keep_call(reply),
                submission,
                epoch,
            },
            AgentRequest::Cancel { requests } => Event::Cancel {
                link,
                call: self.keep_call(reply),
                requests,
            },
        };
        self.handle(now, event);
    }

    fn keep_call(&mut self, reply: ReplySender) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, reply);
        call
    }

    fn pong(&self, reply: ReplySender) {
        let status = self.parts.gate.status();
        answer(
            Some(reply),
            AgentReply::Pong {
                running: status.running,
                draining: status.phase.is_leaving(),
            },
        );
    }

    fn report(&self, responder: Responder) {
        let gate = &self.parts.gate;
        let status = gate.status();
        let report = EndpointReport::new(self.parts.agent, gate.offer(), &status);
        let code = match status.phase.is_leaving() {
            true => 409,
            false => 200,
        };
        responder.send(HttpResponse::json(code, &report));
    }

    fn handle(&mut self, now: Instant, event: Event) {
        self.handle_received(now, now, event);
    }

    fn handle_received(&mut self, now: Instant, received: Instant, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let was = self.parts.gate.status().phase;
        let retry_probe = matches!(event, Event::Unreachable | Event::Reached);
        self.parts.gate.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, received);
        }
        self.actions = actions;
        if retry_probe {
            self.probing = false;
        }
        self.follow_phase(was);
    }

    /// Tells the other threads of a change of the endpoint's phase, offer or load.
    fn follow_phase(&mut self, was: EndpointPhase) {
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
            let busy = usize::from(status.running) + 1;
            self.traffic.submit(Job::Probe(address), busy);
        }
        self.announce(&status);
    }

    fn announce(&self, status: &GateStatus) {
        let gate = &self.parts.gate;
        self.parts.announced.send_if_modified(|announced| {
            announced.running = status.running;
            let unchanged = is_announced(announced, gate.offer(), status);
            if unchanged {
                return false;
            }
            announced.announcement = self.parts.place.announcement(gate.offer(), status.phase);
            true
        });
    }

    fn carry_out(&mut self, action: Action, received: Instant) {
        match action {
            Action::Run { run, offer, spec } => {
                let busy =
                    usize::from(self.parts.gate.status().running) + usize::from(self.probing);
                let spec = Box::new(spec);
                let job = Job::Call {
                    run,
                    offer,
                    spec,
                    received,
                };
                self.traffic.submit(job, busy);
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
                answer(self.starts.remove(&(link, request)), reply);
            }
            Action::Granted { call, slots, .. } => {
                answer(self.calls.remove(&call), AgentReply::Granted { slots });
            }
            Action::Fenced { call, tasks } => {
                answer(self.calls.remove(&call), AgentReply::Fenced { tasks });
            }
            Action::FenceRefused { call } => drop(self.calls.remove(&call)),
            Action::Cancelled { call, outcomes } => {
                answer(self.calls.remove(&call), AgentReply::Cancelled { outcomes });
            }
            Action::Grant { link, slots } => self.push(link, EntryRequest::Grant { slots }),
            Action::Recall { link, slots } => self.push(link, EntryRequest::Recall { slots }),
            Action::Leaving { link } => self.push(link, EntryRequest::Leaving),
            Action::Drained => drop(self.parts.ending.send_replace(Ending::Finish)),
        }
    }

    fn push(&self, link: LinkId, request: EntryRequest) {
        if let Some(push) = self.links.get(&link) {
            // A push to a link that has just closed is void.
            let _ = push.send(request);
        }
    }
}

/// Whether the announcement still tells the gate's state, without building a new one.
fn is_announced(announced: &Announced, offer: Option<&Offer>, status: &GateStatus) -> bool {
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

fn answer(to: Option<ReplySender>, reply: AgentReply) {
    if let Some(to) = to {
        // An entry that no longer waits has closed its connection.
        let _ = to.send(reply);
    }
}
