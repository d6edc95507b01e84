//! Sessions with the runners that the gateway follows.

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
use tracing::{debug, info, warn};

use super::Gateway;
use crate::address::{keeper_address, peer_address};
use crate::connect_timeouts::ConnectTimeouts;
use crate::message::{Report, RunnerReply, RunnerRequest};
use crate::run_log::log_order;
use crate::subset::choose_subset;

/// Delay after the first failed connection attempt.
const MIN_RECONNECT_DELAY: DurationMs = DurationMs::new(50);
/// Upper limit of the delay, which doubles with each failed attempt.
const MAX_RECONNECT_DELAY: DurationMs = DurationMs::new(200);
/// Time between two pings. A runner's gateway timeout is more than three times as long.
const PING_INTERVAL: DurationMs = DurationMs::new(250);
/// Time after which a missing answer marks the connection as dead.
const ANSWER_TIMEOUT: DurationMs = DurationMs::new(600);

/// Connection task and session of one runner.
struct RunnerLink {
    task: JoinHandle<()>,
    current: Rc<CurrentSession>,
}

/// The session with one runner, if one is active.
#[derive(Default)]
struct CurrentSession {
    session: RefCell<Option<(SessionId, Link)>>,
    /// Time at which the last answered order was sent.
    last_order_sent: Cell<Instant>,
    ended: Notify,
}

impl CurrentSession {
    fn begin(&self, session: SessionId, link: Link) {
        self.session.replace(Some((session, link)));
    }

    /// Ends the session, unless it was replaced by another.
    fn end(&self, session: SessionId) {
        let current = self.link(session).is_some();
        if current {
            self.session.replace(None);
            self.ended.notify_one();
        }
    }

    /// Returns the session's connection, if the session is active.
    fn link(&self, session: SessionId) -> Option<Link> {
        let current = self.session.borrow();
        let (number, link) = current.as_ref()?;
        (*number == session).then(|| link.clone())
    }

    fn is_active(&self) -> bool {
        self.session.borrow().is_some()
    }

    async fn wait_until_ended(&self, session: SessionId) {
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

/// The runners that the gateway follows, and others with a session that is still active.
#[derive(Default)]
pub(super) struct Runners {
    version: Cell<u64>,
    /// The subset of the keepers' latest set of agents that the gateway follows.
    followed: RefCell<BTreeSet<AgentId>>,
    links: RefCell<BTreeMap<AgentId, RunnerLink>>,
}

impl Runners {
    /// Returns the version of the current set of agents.
    pub(super) fn version(&self) -> u64 {
        self.version.get()
    }

    fn is_followed(&self, agent: AgentId) -> bool {
        self.followed.borrow().contains(&agent)
    }
}

impl Gateway {
    /// Replaces the set of runners, and connects to those of them that the gateway follows.
    ///
    /// A runner that the keepers have removed is kept while its session is active: it may be cut off
    /// only from the keepers and still run tasks. A runner that others have displaced is kept until
    /// its runs have ended.
    pub(super) fn set_runners(self: &Rc<Self>, version: u64, agents: Vec<AgentId>) {
        self.runners.version.set(version);
        let (known, unusable): (BTreeSet<AgentId>, BTreeSet<AgentId>) = agents
            .into_iter()
            .partition(|agent| peer_address(KeeperId(agent.0)).is_some());
        for agent in unusable {
            warn!(event = "agent-unusable", agent = agent.0, version);
        }
        let followed = choose_subset(self.identity.incarnation.0, &known, self.max_runners);
        self.runners.followed.replace(followed.clone());
        let mut links = self.runners.links.borrow_mut();
        links.retain(|agent, link| followed.contains(agent) || link.current.is_active());
        for agent in links.keys() {
            let displaced = known.contains(agent) && !followed.contains(agent);
            self.engine.borrow_mut().set_retiring(*agent, displaced);
        }
        for agent in followed {
            links.entry(agent).or_insert_with(|| {
                let current = Rc::default();
                let gateway = Rc::clone(self);
                let maintaining = gateway.maintain_runner(agent, Rc::clone(&current));
                RunnerLink {
                    task: tokio::task::spawn_local(maintaining),
                    current,
                }
            });
        }
    }

    /// Maintains a session with one runner, until the gateway follows the runner no more and its
    /// session has ended.
    async fn maintain_runner(self: Rc<Self>, agent: AgentId, current: Rc<CurrentSession>) {
        // An agent's id encodes its listen address, like a keeper's id.
        let address = keeper_address(KeeperId(agent.0));
        let mut delay = MIN_RECONNECT_DELAY;
        let mut timeouts = ConnectTimeouts::default();
        loop {
            let identity = Rc::clone(&self.identity);
            let service = Rc::clone(&self.service);
            match connect(address, identity, service, timeouts.next_timeout()).await {
                Ok(connection) => {
                    delay = MIN_RECONNECT_DELAY;
                    self.run_session(agent, &connection, &current).await;
                }
                Err(error) => {
                    debug!(event = "runner-unreachable", agent = agent.0, reason = %error);
                    delay = DurationMs::new(delay.as_ms() * 2).min(MAX_RECONNECT_DELAY);
                }
            }
            if !self.runners.is_followed(agent) {
                info!(event = "runner-dropped", agent = agent.0);
                let link = self.runners.links.borrow_mut().remove(&agent);
                drop(link);
                return;
            }
            tokio::time::sleep(delay.as_std()).await;
        }
    }

    async fn run_session(
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
        let attach = RunnerRequest::Attach(session, claims.collect(), now.into());
        let link = &connection.link;
        let answer = link.call::<_, RunnerReply>(&attach);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT.as_std(), answer).await;
        if let Ok(Ok(RunnerReply::Attached(inventory, load_report))) = answer {
            let now = self.clock.now();
            let stops =
                self.engine
                    .borrow_mut()
                    .attached(now, agent, session, &inventory, load_report);
            info!(
                event = "runner-attached",
                agent = agent.0,
                session = session.0,
                runs = inventory.runs.len(),
                unwanted = stops.len()
            );
            current.begin(session, link.clone());
            self.stop_unwanted(agent, session, stops);
            self.run_engine();
            let cause = tokio::select! {
                () = connection.until_closed() => "closed",
                cause = self.ping_runner(agent, session, link, current) => cause,
                () = current.wait_until_ended(session) => "failed",
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
        // The first ping is sent at once: without a sign after its begin, a session renews no lease.
        let mut interval = DurationMs::new(0);
        loop {
            tokio::time::sleep(interval.as_std()).await;
            interval = PING_INTERVAL;
            if self.engine.borrow().is_retired(agent) {
                return "displaced";
            }
            let sent_at = self.clock.now();
            // An answered order replaces a ping.
            if sent_at < current.last_order_sent.get() + PING_INTERVAL {
                continue;
            }
            let ping = RunnerRequest::Ping(session, sent_at.into());
            let answer = link.call::<_, RunnerReply>(&ping);
            let answer = tokio::time::timeout(ANSWER_TIMEOUT.as_std(), answer).await;
            let load_report = match answer {
                Ok(Ok(RunnerReply::Alive(load_report))) => load_report,
                Ok(Ok(_)) => return "void",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            };
            let mut engine = self.engine.borrow_mut();
            engine.note_runner_contact(self.clock.now());
            if !engine.confirm_session(sent_at, agent, session, Some(load_report)) {
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
            // Orders of an ended session are dropped.
            let Some(link) = current.link(order.session) else {
                continue;
            };
            log_order(&order);
            let gateway = Rc::clone(self);
            self.tasks.spawn(async move {
                gateway.send_order(link, &current, order).await;
            });
        }
    }

    async fn send_order(self: Rc<Self>, link: Link, current: &CurrentSession, order: Order) {
        let (agent, session, sequence) = (order.agent, order.session, order.sequence);
        let sent_at = self.clock.now();
        let request = RunnerRequest::Order(order, sent_at.into());
        let answer = link.call::<_, RunnerReply>(&request);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT.as_std(), answer).await;
        match answer {
            Ok(Ok(RunnerReply::Ordered(refused, load_report))) => {
                let now = self.clock.now();
                let report = Report {
                    ended: Vec::new(),
                    refused,
                };
                current.last_order_sent.set(sent_at);
                let changed = {
                    let mut engine = self.engine.borrow_mut();
                    engine.note_runner_contact(now);
                    engine.confirm_session(sent_at, agent, session, Some(load_report));
                    engine.handle_report(now, agent, session, &report);
                    !report.refused.is_empty()
                };
                if changed {
                    self.run_engine();
                }
            }
            // The next session claims the order's runs, which shows whether it was carried out.
            unusable => {
                let cause = match unusable {
                    Ok(Ok(_)) => "unusable",
                    Ok(Err(_)) => "failed",
                    Err(_) => "silent",
                };
                let after_ms = self.clock.now().since(sent_at).as_ms();
                warn!(
                    event = "order-unanswered",
                    agent = agent.0,
                    session = session.0,
                    sequence,
                    after_ms,
                    cause
                );
                current.end(session);
            }
        }
    }
}
