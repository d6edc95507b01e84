//! Connections to all runners.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::AgentId;
use hemlock_quorum::prelude::KeeperId;
use hemlock_runs::prelude::Claim;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tracing::{debug, info};

use super::Gateway;
use crate::address::keeper_address;
use crate::connect_timeouts::ConnectTimeouts;
use crate::message::{Report, RunnerReply, RunnerRequest};

/// Pause after a failure to connect, at first.
const CONNECT_PAUSE_MIN: DurationMs = DurationMs::new(50);
/// Pause after many failures to connect.
const CONNECT_PAUSE_MAX: DurationMs = DurationMs::new(200);
/// Time between two pings. A runner serves a gateway that it doesn't hear for three times as long.
const PING_PERIOD: DurationMs = DurationMs::new(250);
/// Time after which a request without an answer shows that the connection is dead.
const ANSWER_TIMEOUT: DurationMs = DurationMs::new(600);

/// One runner's connection.
struct RunnerLink {
    task: JoinHandle<()>,
    current: Rc<CurrentSession>,
}

/// The session with one runner, while one is on.
#[derive(Default)]
struct CurrentSession {
    session: RefCell<Option<(SessionId, Link)>>,
    /// When the last order was sent that the runner has answered.
    answered: Cell<Instant>,
    ended: Notify,
}

impl CurrentSession {
    fn begin(&self, session: SessionId, link: Link) {
        self.session.replace(Some((session, link)));
    }

    /// Ends the session, unless another has begun.
    fn end(&self, session: SessionId) {
        let current = self.link(session).is_some();
        if current {
            self.session.replace(None);
            self.ended.notify_one();
        }
    }

    /// The connection of the session, while it is on.
    fn link(&self, session: SessionId) -> Option<Link> {
        let current = self.session.borrow();
        let (number, link) = current.as_ref()?;
        (*number == session).then(|| link.clone())
    }

    fn is_on(&self) -> bool {
        self.session.borrow().is_some()
    }

    async fn until_ended(&self, session: SessionId) {
        while self.link(session).is_some() {
            self.ended.notified().await;
        }
    }
}

impl Drop for RunnerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All runners that the keepers know, and those that are still in session.
#[derive(Default)]
pub(super) struct Runners {
    version: Cell<u64>,
    /// The runners that the keepers know.
    known: RefCell<BTreeSet<AgentId>>,
    links: RefCell<BTreeMap<AgentId, RunnerLink>>,
}

impl Runners {
    /// The version of the set of agents that is followed.
    pub(super) fn version(&self) -> u64 {
        self.version.get()
    }

    fn is_known(&self, agent: AgentId) -> bool {
        self.known.borrow().contains(&agent)
    }
}

impl Gateway {
    /// Connects to these runners, and to no others. One that the keepers don't hear any more is kept
    /// while its session lasts: it may be cut off from them alone, and goes on serving.
    pub(super) fn follow_runners(self: &Rc<Self>, version: u64, agents: Vec<AgentId>) {
        self.runners.version.set(version);
        self.runners.known.replace(agents.iter().copied().collect());
        let mut links = self.runners.links.borrow_mut();
        links.retain(|agent, link| agents.contains(agent) || link.current.is_on());
        for agent in agents {
            links.entry(agent).or_insert_with(|| {
                let current = Rc::default();
                let gateway = Rc::clone(self);
                let following = gateway.follow(agent, Rc::clone(&current));
                RunnerLink {
                    task: tokio::task::spawn_local(following),
                    current,
                }
            });
        }
    }

    /// Keeps a session with one runner, until the keepers don't know it.
    async fn follow(self: Rc<Self>, agent: AgentId, current: Rc<CurrentSession>) {
        // An agent's id is the address that it listens on, as a keeper's is.
        let address = keeper_address(KeeperId(agent.0));
        let mut pause = CONNECT_PAUSE_MIN;
        let mut timeouts = ConnectTimeouts::default();
        loop {
            let identity = Rc::clone(&self.identity);
            let service = Rc::clone(&self.service);
            match connect(address, identity, service, timeouts.next_timeout()).await {
                Ok(connection) => {
                    pause = CONNECT_PAUSE_MIN;
                    self.hold_session(agent, &connection, &current).await;
                }
                Err(error) => {
                    debug!(event = "runner-unreachable", agent = agent.0, reason = %error);
                    pause = DurationMs::new(pause.as_ms() * 2).min(CONNECT_PAUSE_MAX);
                }
            }
            if !self.runners.is_known(agent) {
                info!(event = "runner-dropped", agent = agent.0);
                let link = self.runners.links.borrow_mut().remove(&agent);
                drop(link);
                return;
            }
            tokio::time::sleep(pause.as_std()).await;
        }
    }

    async fn hold_session(
        self: &Rc<Self>,
        agent: AgentId,
        connection: &Connection,
        current: &CurrentSession,
    ) {
        let now = self.clock.now();
        let (session, runs) = self.engine.borrow_mut().begin_session(now, agent);
        let claims = runs
            .into_iter()
            .map(|(task, run, needs)| Claim { task, run, needs });
        let attach = RunnerRequest::Attach(session, claims.collect());
        let link = &connection.link;
        let answer = link.call::<_, RunnerReply>(&attach);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT.as_std(), answer).await;
        if let Ok(Ok(RunnerReply::Attached(inventory, room))) = answer {
            let now = self.clock.now();
            let stops = self
                .engine
                .borrow_mut()
                .attached(now, agent, session, &inventory, room);
            info!(
                event = "runner-attached",
                agent = agent.0,
                session = session.0,
                runs = inventory.runs.len(),
                unwanted = stops.len()
            );
            current.begin(session, link.clone());
            self.stop_unwanted(agent, session, stops);
            self.pump();
            let cause = tokio::select! {
                () = connection.until_closed() => "closed",
                cause = self.ping_runner(agent, session, link, current) => cause,
                () = current.until_ended(session) => "failed",
            };
            info!(
                event = "runner-lost",
                agent = agent.0,
                session = session.0,
                cause
            );
            current.end(session);
        }
        let now = self.clock.now();
        self.engine.borrow_mut().close_session(now, agent, session);
    }

    async fn ping_runner(
        self: &Rc<Self>,
        agent: AgentId,
        session: SessionId,
        link: &Link,
        current: &CurrentSession,
    ) -> &'static str {
        let ping = RunnerRequest::Ping(session);
        loop {
            tokio::time::sleep(PING_PERIOD.as_std()).await;
            let asked_at = self.clock.now();
            // An order is as good as a ping.
            if asked_at < current.answered.get() + PING_PERIOD {
                continue;
            }
            let answer = link.call::<_, RunnerReply>(&ping);
            let answer = tokio::time::timeout(ANSWER_TIMEOUT.as_std(), answer).await;
            let room = match answer {
                Ok(Ok(RunnerReply::Alive(room))) => room,
                Ok(Ok(_)) => return "void",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            };
            let mut engine = self.engine.borrow_mut();
            if !engine.runner_heard(asked_at, agent, session, Some(room)) {
                return "expired";
            }
        }
    }

    fn stop_unwanted(self: &Rc<Self>, agent: AgentId, session: SessionId, stops: Vec<StopOrder>) {
        if !stops.is_empty() {
            self.send_orders(vec![Order {
                agent,
                session,
                sequence: 0,
                instance: None,
                starts: Vec::new(),
                stops,
            }]);
        }
    }

    /// Sends orders to their runners.
    pub(super) fn send_orders(self: &Rc<Self>, orders: Vec<Order>) {
        for order in orders {
            let links = self.runners.links.borrow();
            let current = links.get(&order.agent).map(|link| Rc::clone(&link.current));
            drop(links);
            let Some(current) = current else {
                continue;
            };
            // A session that has ended takes its orders with it.
            let Some(link) = current.link(order.session) else {
                continue;
            };
            let gateway = Rc::clone(self);
            self.tasks.spawn(async move {
                gateway.send_order(link, &current, order).await;
            });
        }
    }

    async fn send_order(self: Rc<Self>, link: Link, current: &CurrentSession, order: Order) {
        let (agent, session) = (order.agent, order.session);
        let asked_at = self.clock.now();
        let request = RunnerRequest::Order(order);
        let answer = link.call::<_, RunnerReply>(&request);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT.as_std(), answer).await;
        match answer {
            Ok(Ok(RunnerReply::Ordered(refused, room))) => {
                let now = self.clock.now();
                let report = Report {
                    ended: Vec::new(),
                    refused,
                };
                current.answered.set(asked_at);
                let changed = {
                    let mut engine = self.engine.borrow_mut();
                    engine.runner_heard(asked_at, agent, session, Some(room));
                    engine.take_report(now, agent, session, &report);
                    !report.refused.is_empty()
                };
                if changed {
                    self.pump();
                }
            }
            // Whether the order was carried out is learnt by claiming its runs.
            Ok(_) | Err(_) => current.end(session),
        }
    }
}
