//! The connection to one agent, reopened whenever it is lost.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::prelude::*;
use tokio::task::JoinHandle;
use tracing::info;

use super::agent_calls::AgentCalls;
use crate::inbox::{Inbox, post_event};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Pause before the first attempt to reopen a connection, in milliseconds. It doubles with each
/// further attempt.
const MIN_RECONNECT_PAUSE_MS: u64 = 50;
/// Longest pause before an attempt to reopen a connection, in milliseconds.
const MAX_RECONNECT_PAUSE_MS: u64 = 2_000;
/// Pause between two heartbeats, and longest wait for the answer to one, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// Number of consecutive unanswered heartbeats after which the connection is closed.
const MAX_MISSED_HEARTBEATS: u32 = 10;
/// Time past the deadline of a start after which it counts as lost if it has no answer, in
/// milliseconds.
const START_GRACE_MS: u64 = 5_000;
/// Longest wait for the answer to a fence, in milliseconds.
const FENCE_TIMEOUT_MS: u64 = 2_000;

/// Sends requests to one agent, and owns the task that keeps the connection open.
pub(super) struct AgentLink {
    agent: Incarnation,
    inbox: Inbox,
    link: Rc<RefCell<Option<Link>>>,
    task: Option<JoinHandle<()>>,
    stop: Rc<tokio::sync::Notify>,
}

impl AgentLink {
    /// Opens the connection and reopens it when it is lost, until [`AgentLink::close`].
    pub(super) fn open(
        agent: Incarnation,
        address: SocketAddr,
        identity: Rc<Identity>,
        inbox: Inbox,
    ) -> Self {
        let link = Rc::new(RefCell::new(None));
        let stop = Rc::new(tokio::sync::Notify::new());
        let reconnector = Reconnector {
            agent,
            address,
            identity,
            inbox: inbox.clone(),
            link: Rc::clone(&link),
        };
        let stop_signal = Rc::clone(&stop);
        let task = tokio::task::spawn_local(async move {
            tokio::select! {
                () = reconnector.run() => {}
                () = stop_signal.notified() => {}
            }
        });
        Self {
            agent,
            inbox,
            link,
            task: Some(task),
            stop,
        }
    }

    /// Creates a link without a connection: a start is reported as never sent, a fence as lost, and
    /// other requests are dropped.
    pub(super) fn disconnected(agent: Incarnation, inbox: Inbox) -> Self {
        Self {
            agent,
            inbox,
            link: Rc::default(),
            task: None,
            stop: Rc::default(),
        }
    }

    /// Closes the connection and waits until its task has ended.
    pub(super) async fn close(mut self) {
        self.stop.notify_one();
        if let Some(task) = self.task.take() {
            // The task returns nothing, and the panic hook has printed a panic.
            drop(task.await);
        }
    }

    fn link(&self) -> Option<Link> {
        self.link.borrow().clone()
    }

    pub(super) fn start(&self, spec: TaskSpec) {
        let (agent, inbox) = (self.agent, self.inbox.clone());
        let request = spec.request;
        let Some(link) = self.link() else {
            let loss = LossKind::NeverSent;
            post_event(
                &inbox,
                Event::StartLost {
                    agent,
                    request,
                    loss,
                },
            );
            return;
        };
        let timeout = Duration::from_millis(spec.deadline_ms + START_GRACE_MS);
        tokio::task::spawn_local(async move {
            let message = AgentRequest::Start(spec);
            let call = link.call::<_, AgentReply>(&message);
            let answer = tokio::time::timeout(timeout, call).await;
            post_event(&inbox, start_event(agent, request, answer.ok()));
        });
    }

    pub(super) fn want(&self, count: u16) {
        let (agent, inbox) = (self.agent, self.inbox.clone());
        let Some(link) = self.link() else {
            return;
        };
        tokio::task::spawn_local(async move {
            let request = AgentRequest::Want { count };
            if let Ok(AgentReply::Granted { slots }) = link.call(&request).await {
                post_event(&inbox, Event::Granted { agent, slots });
            }
        });
    }

    pub(super) fn cancel(&self, requests: Vec<RequestId>) {
        let (agent, inbox) = (self.agent, self.inbox.clone());
        let Some(link) = self.link() else {
            return;
        };
        tokio::task::spawn_local(async move {
            let request = AgentRequest::Cancel { requests };
            if let Ok(AgentReply::Cancelled { outcomes }) = link.call(&request).await {
                post_event(&inbox, Event::Cancelled { agent, outcomes });
            }
        });
    }

    pub(super) fn fence(&self, submission: SubmissionId, epoch: Epoch) {
        let (agent, inbox) = (self.agent, self.inbox.clone());
        let lost = Event::FenceLost {
            agent,
            submission,
            epoch,
        };
        let Some(link) = self.link() else {
            post_event(&inbox, lost);
            return;
        };
        tokio::task::spawn_local(async move {
            let request = AgentRequest::Fence { submission, epoch };
            let timeout = Duration::from_millis(FENCE_TIMEOUT_MS);
            let answer = tokio::time::timeout(timeout, link.call(&request)).await;
            let event = match answer {
                Ok(Ok(AgentReply::Fenced { tasks })) => Event::Fenced {
                    agent,
                    submission,
                    epoch,
                    tasks,
                },
                _ => lost,
            };
            post_event(&inbox, event);
        });
    }
}

/// Creates the router event for the result of a start.
fn start_event(
    agent: Incarnation,
    sent: RequestId,
    answer: Option<Result<AgentReply, CallError>>,
) -> Event {
    let lost = |loss| Event::StartLost {
        agent,
        request: sent,
        loss,
    };
    match answer {
        Some(Ok(AgentReply::Settled {
            request,
            outcome,
            service_us,
            granted,
        })) if request == sent => Event::Settled {
            agent,
            request,
            outcome,
            service_us,
            granted,
        },
        Some(Err(CallError::NeverSent)) => lost(LossKind::NeverSent),
        Some(Ok(_) | Err(_)) | None => lost(LossKind::AfterSending),
    }
}

/// Keeps the connection to one agent open.
struct Reconnector {
    agent: Incarnation,
    address: SocketAddr,
    identity: Rc<Identity>,
    inbox: Inbox,
    link: Rc<RefCell<Option<Link>>>,
}

impl Reconnector {
    async fn run(self) {
        let mut pause_ms = MIN_RECONNECT_PAUSE_MS;
        loop {
            if let Some(connection) = self.connect().await {
                pause_ms = MIN_RECONNECT_PAUSE_MS;
                self.serve(connection).await;
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(MAX_RECONNECT_PAUSE_MS);
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let service = Rc::new(AgentCalls::new(self.agent, self.inbox.clone()));
        let identity = Rc::clone(&self.identity);
        let connection = connect(self.address, identity, service, CONNECT_TIMEOUT).await;
        match connection {
            Ok(connection) if connection.peer.incarnation == self.agent => Some(connection),
            Ok(_) | Err(_) => None,
        }
    }

    /// Uses a connection until it closes or its agent becomes unresponsive.
    async fn serve(&self, connection: Connection) {
        let agent = self.agent;
        let link = connection.link.clone();
        self.link.replace(Some(link.clone()));
        post_event(&self.inbox, Event::LinkUp(agent));
        tokio::select! {
            () = connection.until_closed() => {}
            () = self.send_heartbeats(link) => {}
        }
        self.link.replace(None);
        connection.close();
        info!(event = "agent-link-closed", %agent);
        post_event(&self.inbox, Event::LinkDown(agent));
    }

    /// Sends heartbeats until too many in a row are unanswered.
    async fn send_heartbeats(&self, link: Link) {
        let mut missed = 0;
        while missed < MAX_MISSED_HEARTBEATS {
            tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            let timeout = Duration::from_millis(HEARTBEAT_MS);
            let call = link.call::<_, AgentReply>(&AgentRequest::Ping);
            let agent = self.agent;
            match tokio::time::timeout(timeout, call).await {
                Ok(Ok(AgentReply::Pong { draining, .. })) => {
                    missed = 0;
                    post_event(&self.inbox, Event::Pong { agent, draining });
                }
                _ => {
                    missed += 1;
                    post_event(&self.inbox, Event::PingMissed(agent));
                }
            }
        }
    }
}
