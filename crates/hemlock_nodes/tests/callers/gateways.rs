//! Simulated gateways: the engine with its sessions and callers.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::connect_timeouts::ConnectTimeouts;
use hemlock_nodes::gateway::engine::{Engine, EngineSettings, Submission};
use hemlock_nodes::message::{CallerAnswer, Report, RunnerReply, RunnerRequest, SentAt};
use hemlock_runs::prelude::Claim;
use hemlock_types::prelude::*;
use tokio::sync::oneshot::Receiver;
use tokio::sync::oneshot::error::TryRecvError;

use super::clients::DEADLINE_MS;
use super::network::Message;
use super::{Action, MS, Node, RESUBMIT_MS, RUNNERS, Simulation, configuration};

const MIN_RECONNECT_DELAY: u64 = 50 * MS;
const MAX_RECONNECT_DELAY: u64 = 200 * MS;
const PING_INTERVAL: u64 = 250 * MS;
const ANSWER_TIMEOUT: u64 = 600 * MS;
const ANSWER_MARGIN_MS: u64 = 40;

/// A caller's request that has arrived.
#[derive(Clone, Copy)]
pub(super) struct Request {
    pub(super) client: usize,
    pub(super) attempt: u32,
    pub(super) channel: u64,
    /// Time since which its connection is open, if it isn't new.
    pub(super) kept_since: Option<u64>,
}

pub(super) enum GatewayEvent {
    /// A caller's connection is accepted.
    Accepted(u64),
    Request(Request),
    CallerClosed(usize, u32),
    Message(u64, Message),
    /// The engine's next deadline, if nothing has changed it since.
    Timer(u64),
    Connect(usize, u64),
    ConnectTimeout(usize, u64),
    CallTimeout(u64),
    Ping(usize, SessionId),
    Agents(BTreeSet<usize>),
}

enum LinkState {
    Waiting,
    Connecting(u64),
    Attaching(u64, SessionId),
    Active {
        connection: u64,
        session: SessionId,
        last_order_sent: u64,
    },
}

impl LinkState {
    fn connection(&self) -> Option<u64> {
        match self {
            Self::Waiting => None,
            Self::Connecting(connection)
            | Self::Attaching(connection, _)
            | Self::Active { connection, .. } => Some(*connection),
        }
    }
}

struct RunnerLink {
    /// Distinguishes the link from earlier ones to the same runner.
    generation: u64,
    state: LinkState,
    timeouts: ConnectTimeouts,
    delay: u64,
}

enum Call {
    Attach(SessionId),
    Ping(SessionId, u64),
    Order(SessionId, u64),
}

struct PendingCall {
    runner: usize,
    connection: u64,
    call: Call,
}

struct Waiting {
    client: usize,
    attempt: u32,
    id: JobId,
    receiver: Receiver<CallerAnswer>,
}

pub(super) struct Gateway {
    engine: Engine,
    followed: BTreeSet<usize>,
    links: BTreeMap<usize, RunnerLink>,
    calls: BTreeMap<u64, PendingCall>,
    waiting: Vec<Waiting>,
    /// Times at which new connections of callers were accepted.
    accepted: BTreeMap<u64, u64>,
    timer: u64,
    timer_at: u64,
}

fn agent(runner: usize) -> AgentId {
    AgentId(runner as u64)
}

fn runner_of(agent: AgentId) -> usize {
    usize::try_from(agent.0).unwrap_or(usize::MAX)
}

impl Simulation {
    fn new_gateway(&self) -> Gateway {
        let settings = EngineSettings {
            lease_ms: 1_000,
            remote_factor: 1.0,
            resubmit_ms: RESUBMIT_MS,
        };
        let mut engine = Engine::new(self.now(), settings);
        engine.configure(&configuration(&self.queues));
        Gateway {
            engine,
            followed: BTreeSet::new(),
            links: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: Vec::new(),
            accepted: BTreeMap::new(),
            timer: 0,
            timer_at: 0,
        }
    }

    pub(super) fn add_gateway(&mut self, index: usize) {
        self.start_process(Node::Gateway(index));
        let gateway = self.new_gateway();
        self.gateways.push(gateway);
        self.learn_agents(index);
    }

    pub(super) fn restart_gateway(&mut self, index: usize) {
        self.start_process(Node::Gateway(index));
        self.gateways[index] = self.new_gateway();
        self.learn_agents(index);
    }

    fn learn_agents(&mut self, index: usize) {
        let at = self.now_us + self.between(5, 300) * MS;
        let all = GatewayEvent::Agents((0..RUNNERS).collect());
        self.push_to(Node::Gateway(index), at, Action::Gateway(all));
        self.run_engine(index);
    }

    pub(super) fn change_agents(&mut self, index: usize, missing: &[usize], for_us: u64) {
        let node = Node::Gateway(index);
        let left = (0..RUNNERS).filter(|runner| !missing.contains(runner));
        let fewer = GatewayEvent::Agents(left.collect());
        self.push_to(node, self.now_us, Action::Gateway(fewer));
        let all = GatewayEvent::Agents((0..RUNNERS).collect());
        self.push_to(node, self.now_us + for_us, Action::Gateway(all));
    }

    pub(super) fn handle_gateway_event(&mut self, index: usize, event: GatewayEvent) {
        match event {
            GatewayEvent::Accepted(channel) => {
                let now_us = self.now_us;
                self.gateways[index].accepted.insert(channel, now_us);
            }
            GatewayEvent::Request(request) => self.serve(index, request),
            GatewayEvent::CallerClosed(client, attempt) => {
                self.caller_closed(index, client, attempt);
            }
            GatewayEvent::Message(connection, message) => {
                self.gateway_receives(index, connection, message);
            }
            GatewayEvent::Timer(timer) => {
                if self.gateways[index].timer == timer {
                    self.run_engine(index);
                }
            }
            GatewayEvent::Connect(runner, generation) => {
                self.connect_runner(index, runner, generation);
            }
            GatewayEvent::ConnectTimeout(runner, connection) => {
                let link = self.gateways[index].links.get(&runner);
                let is_current = link.is_some_and(
                    |l| matches!(l.state, LinkState::Connecting(c) if c == connection),
                );
                if is_current {
                    self.lose_connecting(index, runner, connection);
                }
            }
            GatewayEvent::CallTimeout(call) => {
                if let Some(pending) = self.gateways[index].calls.remove(&call) {
                    self.call_failed(index, &pending);
                }
            }
            GatewayEvent::Ping(runner, session) => self.ping(index, runner, session),
            GatewayEvent::Agents(agents) => self.set_runners(index, agents),
        }
    }

    fn serve(&mut self, index: usize, request: Request) {
        let now = self.now();
        let Request {
            client,
            attempt,
            channel,
            kept_since,
        } = request;
        let (spec, kind) = self.spec_of(client);
        let id = JobId(client as u64 + 1);
        let accepted_at = self.gateways[index].accepted.remove(&channel);
        let connected_at = kept_since.or(accepted_at).unwrap_or(self.now_us);
        let sent_after = Instant::from_micros(connected_at);
        let submission = Submission {
            id,
            queue: &self.queues[kind],
            spec,
            answer_deadline: now + DurationMs::new(DEADLINE_MS - ANSWER_MARGIN_MS),
            sent_after,
            peer: None,
        };
        let submitted = self.gateways[index].engine.submit(now, submission);
        self.note_job(
            id,
            index,
            if submitted.is_ok() {
                "accepts"
            } else {
                "refuses"
            },
        );
        match submitted {
            Ok(receiver) => self.gateways[index].waiting.push(Waiting {
                client,
                attempt,
                id,
                receiver,
            }),
            Err(answer) => self.send_answer(index, client, attempt, answer),
        }
        self.run_engine(index);
    }

    fn caller_closed(&mut self, index: usize, client: usize, attempt: u32) {
        let now = self.now();
        let gateway = &mut self.gateways[index];
        let mut waiting = gateway.waiting.iter();
        let position = waiting.position(|w| w.client == client && w.attempt == attempt);
        let Some(position) = position else {
            return;
        };
        let waiting = gateway.waiting.swap_remove(position);
        gateway.engine.abandon(now, waiting.id);
        self.note_job(waiting.id, index, "learns that the caller left");
        self.run_engine(index);
    }

    /// Runs the engine, sends its orders and the answers, and sets the timer.
    pub(super) fn run_engine(&mut self, index: usize) {
        let now = self.now();
        let orders = self.gateways[index].engine.step(now);
        self.send_orders(index, orders);
        self.deliver_answers(index);
        let deadline = self.gateways[index].engine.next_deadline().as_micros();
        // Timers have a resolution of a millisecond.
        let at = deadline.max(self.now_us).div_ceil(MS) * MS + 50;
        if at != self.gateways[index].timer_at {
            let timer = self.next_number();
            self.gateways[index].timer = timer;
            self.gateways[index].timer_at = at;
            let action = Action::Gateway(GatewayEvent::Timer(timer));
            self.push_to(Node::Gateway(index), at, action);
        }
    }

    fn deliver_answers(&mut self, index: usize) {
        let mut answers = Vec::new();
        self.gateways[index].waiting.retain_mut(|waiting| {
            let answer = match waiting.receiver.try_recv() {
                Ok(answer) => answer,
                // A newer request has replaced this one.
                Err(TryRecvError::Closed) => CallerAnswer::Undecided,
                Err(TryRecvError::Empty) => return true,
            };
            answers.push((waiting.client, waiting.attempt, answer));
            false
        });
        for (client, attempt, answer) in answers {
            self.send_answer(index, client, attempt, answer);
        }
    }

    fn send_orders(&mut self, index: usize, orders: Vec<Order>) {
        for order in orders {
            let runner = runner_of(order.agent);
            let link = self.gateways[index].links.get(&runner);
            let connection = match link.map(|link| &link.state) {
                Some(LinkState::Active {
                    connection,
                    session,
                    ..
                }) if *session == order.session => *connection,
                _ => continue,
            };
            for start in &order.starts {
                self.note_task(start.task, start.run, runner, "start ordered");
            }
            for stop in &order.stops {
                self.note_task(stop.task, stop.run, runner, "stop ordered");
            }
            let sent_us = self.now_us;
            let call = Call::Order(order.session, sent_us);
            self.call_runner(
                index,
                runner,
                connection,
                call,
                RunnerRequest::Order(order, SentAt(sent_us)),
            );
        }
    }

    fn call_runner(
        &mut self,
        index: usize,
        runner: usize,
        connection: u64,
        call: Call,
        request: RunnerRequest,
    ) {
        let id = self.next_number();
        let pending = PendingCall {
            runner,
            connection,
            call,
        };
        self.gateways[index].calls.insert(id, pending);
        let timeout = Action::Gateway(GatewayEvent::CallTimeout(id));
        self.push_to(Node::Gateway(index), self.now_us + ANSWER_TIMEOUT, timeout);
        self.send_to_runner(connection, Message::Request(id, Box::new(request)));
    }

    fn set_runners(&mut self, index: usize, agents: BTreeSet<usize>) {
        let gateway = &mut self.gateways[index];
        let dropped = gateway.links.iter().filter(|(runner, link)| {
            !agents.contains(runner) && !matches!(link.state, LinkState::Active { .. })
        });
        let dropped: Vec<(usize, Option<u64>)> = dropped
            .map(|(runner, link)| (*runner, link.state.connection()))
            .collect();
        gateway.followed.clone_from(&agents);
        for (runner, connection) in dropped {
            self.gateways[index].links.remove(&runner);
            self.note_link(index, runner, "link dropped");
            if let Some(connection) = connection {
                self.close_by_gateway(index, connection);
            }
        }
        for runner in agents {
            if !self.gateways[index].links.contains_key(&runner) {
                let generation = self.next_number();
                let link = RunnerLink {
                    generation,
                    state: LinkState::Waiting,
                    timeouts: ConnectTimeouts::default(),
                    delay: MIN_RECONNECT_DELAY,
                };
                self.gateways[index].links.insert(runner, link);
                let connect = Action::Gateway(GatewayEvent::Connect(runner, generation));
                self.push_to(Node::Gateway(index), self.now_us, connect);
            }
        }
    }

    fn connect_runner(&mut self, index: usize, runner: usize, generation: u64) {
        let Some(link) = self.gateways[index].links.get_mut(&runner) else {
            return;
        };
        if link.generation != generation || !matches!(link.state, LinkState::Waiting) {
            return;
        }
        let timeout_us = link.timeouts.next_timeout().as_ms() * MS;
        let connection = self.connect(index, runner);
        if let Some(link) = self.gateways[index].links.get_mut(&runner) {
            link.state = LinkState::Connecting(connection);
        }
        let timeout = Action::Gateway(GatewayEvent::ConnectTimeout(runner, connection));
        self.push_to(Node::Gateway(index), self.now_us + timeout_us, timeout);
    }

    fn lose_connecting(&mut self, index: usize, runner: usize, connection: u64) {
        self.close_by_gateway(index, connection);
        if let Some(link) = self.gateways[index].links.get_mut(&runner) {
            link.delay = (link.delay * 2).min(MAX_RECONNECT_DELAY);
        }
        self.wait_to_reconnect(index, runner);
    }

    fn wait_to_reconnect(&mut self, index: usize, runner: usize) {
        let gateway = &mut self.gateways[index];
        if !gateway.followed.contains(&runner) {
            gateway.links.remove(&runner);
            return;
        }
        let Some(link) = gateway.links.get_mut(&runner) else {
            return;
        };
        link.state = LinkState::Waiting;
        let at = self.now_us + link.delay;
        let connect = Action::Gateway(GatewayEvent::Connect(runner, link.generation));
        self.push_to(Node::Gateway(index), at, connect);
    }

    /// Closes a connection, and ends the calls over it without a result.
    fn close_by_gateway(&mut self, index: usize, connection: u64) {
        let calls = &mut self.gateways[index].calls;
        calls.retain(|_, pending| pending.connection != connection);
        self.send_to_runner(connection, Message::Closed);
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.closed_by_gateway = true;
        }
    }

    fn gateway_receives(&mut self, index: usize, id: u64, message: Message) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.closed_by_gateway {
            return;
        }
        let runner = connection.runner;
        let link = self.gateways[index].links.get_mut(&runner);
        let link = link.filter(|link| link.state.connection() == Some(id));
        match (message, link) {
            (Message::Closed, link) => {
                connection.closed_by_gateway = true;
                let state = link.map(|link| std::mem::replace(&mut link.state, LinkState::Waiting));
                self.gateways[index]
                    .calls
                    .retain(|_, pending| pending.connection != id);
                match state {
                    Some(LinkState::Connecting(_)) => self.lose_connecting(index, runner, id),
                    Some(LinkState::Attaching(_, session) | LinkState::Active { session, .. }) => {
                        self.end_session(index, runner, id, session, "session closed");
                    }
                    Some(LinkState::Waiting) | None => {}
                }
            }
            (Message::Challenge, Some(_)) => self.send_to_runner(id, Message::Open),
            (Message::Welcome, Some(link)) => {
                link.delay = MIN_RECONNECT_DELAY;
                self.attach(index, runner, id);
            }
            (Message::Reply(call, reply), _) => {
                if let Some(pending) = self.gateways[index].calls.remove(&call) {
                    self.reply_arrived(index, &pending, *reply);
                }
            }
            (Message::Update(call, update), _) => {
                for ended in &update.report.ended {
                    self.note_task(ended.task, ended.run, runner, "end reported");
                }
                let now = self.now();
                self.gateways[index].engine.handle_update(now, *update);
                self.send_to_runner(id, Message::Updated(call));
                self.run_engine(index);
            }
            _ => {}
        }
    }

    fn attach(&mut self, index: usize, runner: usize, connection: u64) {
        let now = self.now();
        let gateway = &mut self.gateways[index];
        let (session, runs) = gateway.engine.begin_session(now, agent(runner));
        if let Some(link) = gateway.links.get_mut(&runner) {
            link.state = LinkState::Attaching(connection, session);
        }
        for (task, run, _) in &runs {
            self.note_task(*task, *run, runner, "claimed");
        }
        let claims = runs
            .into_iter()
            .map(|(task, run, needs)| Claim { task, run, needs });
        let request = RunnerRequest::Attach(session, claims.collect(), now.into());
        self.call_runner(index, runner, connection, Call::Attach(session), request);
    }

    /// Ends a session and its connection.
    fn end_session(
        &mut self,
        index: usize,
        runner: usize,
        connection: u64,
        session: SessionId,
        cause: &'static str,
    ) {
        self.note_link(index, runner, cause);
        let now = self.now();
        self.close_by_gateway(index, connection);
        let engine = &mut self.gateways[index].engine;
        engine.close_session(now, agent(runner), session);
        self.wait_to_reconnect(index, runner);
    }

    fn call_failed(&mut self, index: usize, pending: &PendingCall) {
        let session = match pending.call {
            Call::Attach(session) | Call::Ping(session, _) | Call::Order(session, _) => session,
        };
        let link = self.gateways[index].links.get(&pending.runner);
        let is_current = match link.map(|link| &link.state) {
            Some(LinkState::Attaching(_, current)) => *current == session,
            Some(LinkState::Active {
                session: current, ..
            }) => *current == session,
            _ => false,
        };
        if is_current {
            let (runner, connection) = (pending.runner, pending.connection);
            self.end_session(index, runner, connection, session, "session failed");
        }
    }

    fn reply_arrived(&mut self, index: usize, pending: &PendingCall, reply: RunnerReply) {
        let now = self.now();
        let runner = pending.runner;
        match (&pending.call, reply) {
            (Call::Attach(session), RunnerReply::Attached(inventory, load_report)) => {
                let session = *session;
                for run in &inventory.runs {
                    let text = match run.end {
                        None => "inventory: runs",
                        Some(RunEnd::Done) => "inventory: done",
                        Some(_) => "inventory: ended otherwise",
                    };
                    self.note_task(run.task, run.run, runner, text);
                }
                let gateway = &mut self.gateways[index];
                let stops =
                    gateway
                        .engine
                        .attached(now, agent(runner), session, &inventory, load_report);
                if let Some(link) = gateway.links.get_mut(&runner) {
                    link.state = LinkState::Active {
                        connection: pending.connection,
                        session,
                        last_order_sent: 0,
                    };
                }
                self.note_link(index, runner, "session begins");
                if !stops.is_empty() {
                    let order = Order {
                        agent: agent(runner),
                        session,
                        sequence: 0,
                        instance: None,
                        starts: Vec::new(),
                        stops,
                    };
                    self.send_orders(index, vec![order]);
                }
                let ping = Action::Gateway(GatewayEvent::Ping(runner, session));
                self.push_to(Node::Gateway(index), self.now_us, ping);
                self.run_engine(index);
            }
            (Call::Ping(session, sent_at), RunnerReply::Alive(load_report)) => {
                let (session, sent_at) = (*session, Instant::from_micros(*sent_at));
                let engine = &mut self.gateways[index].engine;
                engine.note_runner_contact(now);
                if engine.confirm_session(sent_at, agent(runner), session, Some(load_report)) {
                    let ping = Action::Gateway(GatewayEvent::Ping(runner, session));
                    self.push_to(Node::Gateway(index), self.now_us + PING_INTERVAL, ping);
                } else {
                    self.call_failed(index, pending);
                }
            }
            (Call::Order(session, sent_us), RunnerReply::Ordered(refused, load_report)) => {
                let (session, sent_us) = (*session, *sent_us);
                let gateway = &mut self.gateways[index];
                if let Some(link) = gateway.links.get_mut(&runner)
                    && let LinkState::Active {
                        last_order_sent, ..
                    } = &mut link.state
                {
                    *last_order_sent = sent_us;
                }
                let sent_at = Instant::from_micros(sent_us);
                let engine = &mut gateway.engine;
                engine.note_runner_contact(now);
                engine.confirm_session(sent_at, agent(runner), session, Some(load_report));
                let report = Report {
                    ended: Vec::new(),
                    refused,
                };
                engine.handle_report(now, agent(runner), session, &report);
                if !report.refused.is_empty() {
                    self.run_engine(index);
                }
            }
            _ => self.call_failed(index, pending),
        }
    }

    fn ping(&mut self, index: usize, runner: usize, session: SessionId) {
        let gateway = &mut self.gateways[index];
        let Some(LinkState::Active {
            connection,
            session: current,
            last_order_sent,
        }) = gateway.links.get(&runner).map(|link| &link.state)
        else {
            return;
        };
        if *current != session {
            return;
        }
        let connection = *connection;
        if self.now_us < last_order_sent + PING_INTERVAL {
            let ping = Action::Gateway(GatewayEvent::Ping(runner, session));
            self.push_to(Node::Gateway(index), self.now_us + PING_INTERVAL, ping);
            return;
        }
        let call = Call::Ping(session, self.now_us);
        let request = RunnerRequest::Ping(session, SentAt(self.now_us));
        self.call_runner(index, runner, connection, call, request);
    }
}
