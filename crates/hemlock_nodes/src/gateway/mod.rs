//! The process that callers reach: passes their requests to the leading coordinator.
//!
//! A gateway keeps no state of its own, so any of them may be lost at any time. A job's id makes
//! handing it in idempotent, so a request whose answer is lost is asked again at the next leader.

use std::rc::Rc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::time::Instant as RuntimeInstant;
use tracing::info;

use crate::connector::{Connector, Seeds};
use crate::message::{CallerAction, CallerAnswer, CallerRequest, Rejection, Reply, Request};

/// Time between two pings of the leader.
const PING_PERIOD: DurationMs = DurationMs::new(400);
/// Time after which a ping without an answer shows that the connection is dead.
const PING_TIMEOUT: DurationMs = DurationMs::new(800);
/// Pause before a request is asked again at a keeper that didn't lead.
const RETRY_PAUSE: DurationMs = DurationMs::new(20);
/// When a caller may come back while no leader is known: an election takes less.
const NO_LEADER_RETRY_MS: u64 = 1_000;
/// Time for the answer to reach the caller before it gives up.
const ANSWER_MARGIN: DurationMs = DurationMs::new(100);

/// What a gateway needs to know.
pub struct GatewaySettings {
    /// How it introduces itself.
    pub identity: Identity,
    /// Where keepers may be, as the settings say now.
    pub seeds: Seeds,
    /// Longest time that a request waits for a leader, in milliseconds.
    pub patience_ms: u64,
}

/// Passes callers' requests on.
pub struct Gateway {
    connector: Connector,
    patience: DurationMs,
}

/// A gateway is called by nobody.
struct NoService;

impl Service for NoService {
    fn answer(
        &self,
        _peer: Peer,
        _frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        std::future::ready(Err(ServiceError::Forbidden)).boxed_local()
    }
}

impl Gateway {
    /// A gateway that has not connected yet.
    pub fn new(settings: GatewaySettings) -> Rc<Self> {
        let service: Rc<dyn Service> = Rc::new(NoService);
        Rc::new(Self {
            connector: Connector::new(settings.identity, service, settings.seeds),
            patience: DurationMs::new(settings.patience_ms),
        })
    }

    /// Keeps a connection to whoever leads. Never returns.
    pub async fn run(&self) {
        loop {
            let connection = self.connector.connect().await;
            let leader = connection.peer.id;
            info!(event = "leader-connected", leader);
            let cause = tokio::select! {
                () = connection.until_closed() => "closed",
                cause = self.ping(&connection.link) => cause,
                () = self.connector.until_given_up(&connection.link) => "not-leading",
            };
            self.connector.give_up(&connection.link);
            info!(event = "leader-lost", leader, cause);
        }
    }

    /// Pings until an answer is missing or says that the peer doesn't lead.
    async fn ping(&self, link: &Link) -> &'static str {
        loop {
            tokio::time::sleep(PING_PERIOD.as_std()).await;
            let answer = link.call::<_, Reply>(&Request::Ping(None));
            match tokio::time::timeout(PING_TIMEOUT.as_std(), answer).await {
                Ok(Ok(Reply::Done)) => {}
                Ok(Ok(_)) => return "not-leading",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            }
        }
    }

    /// Whether requests can be passed on now.
    pub fn is_ready(&self) -> bool {
        self.connector.leader().is_some()
    }

    /// Passes a request on and returns its answer, within `time_left`.
    pub async fn call(&self, request: &CallerRequest, time_left: DurationMs) -> CallerAnswer {
        let usable_ms = time_left.as_ms().saturating_sub(ANSWER_MARGIN.as_ms());
        let end = RuntimeInstant::now() + DurationMs::new(usable_ms).as_std();
        let wire_request = Request::Call(request.clone());
        let mut sent = false;
        let patience_end = RuntimeInstant::now() + self.patience.as_std();
        loop {
            let wait_end = match sent {
                // What may have taken effect is asked about for as long as the caller waits.
                true => end,
                false => end.min(patience_end),
            };
            let link = tokio::time::timeout_at(wait_end, self.connector.until_leader()).await;
            let Ok(link) = link else {
                return unreachable_answer(sent, &request.action);
            };
            let answer = tokio::time::timeout_at(end, link.call(&wire_request)).await;
            match answer {
                Ok(Ok(Reply::Call(CallerAnswer::Undecided) | Reply::Undecided)) => sent = true,
                Ok(Ok(Reply::Call(answer))) => return answer,
                Ok(Ok(_)) | Ok(Err(CallError::NeverSent)) => {}
                Ok(Err(_)) => sent = true,
                Err(_) => return CallerAnswer::Undecided,
            }
            self.connector.give_up(&link);
            tokio::time::sleep(RETRY_PAUSE.as_std()).await;
        }
    }
}

/// The answer when no leader could be reached in time.
fn unreachable_answer(sent: bool, action: &CallerAction) -> CallerAnswer {
    match (sent, action) {
        (false, CallerAction::Submit(_)) => CallerAnswer::Rejected {
            reason: Rejection::NoLeader,
            retry_after_ms: NO_LEADER_RETRY_MS,
        },
        _ => CallerAnswer::Undecided,
    }
}
