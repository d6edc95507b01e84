//! The gateway's side of the leading coordinator.

use std::rc::Rc;

use hemlock_jobs::prelude::Configuration;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::time::Instant as RuntimeInstant;
use tracing::info;

use super::Gateway;
use crate::message::{CallerAction, CallerAnswer, CallerRequest, Rejection, Reply, Request};

/// Time after which a watch without an answer shows that the connection is dead. The leader answers
/// within half of it.
const WATCH_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Pause before a request is asked again at a keeper that didn't lead.
const RETRY_PAUSE: DurationMs = DurationMs::new(20);
/// When a caller may come back while no leader is known: an election takes less.
const NO_LEADER_RETRY_MS: u64 = 1_000;
/// Time for the answer to reach the caller before it gives up.
const ANSWER_MARGIN: DurationMs = DurationMs::new(100);

impl Gateway {
    /// Keeps a connection to whoever leads. Never returns.
    pub(super) async fn keep_leader(self: &Rc<Self>) {
        loop {
            let connection = self.connector.connect().await;
            let leader = connection.peer.id;
            info!(event = "leader-connected", leader);
            let cause = tokio::select! {
                () = connection.until_closed() => "closed",
                cause = self.watch(&connection.link) => cause,
                () = self.connector.until_given_up(&connection.link) => "not-leading",
            };
            self.connector.give_up(&connection.link);
            info!(event = "leader-lost", leader, cause);
        }
    }

    /// Takes over what is in force, until an answer is missing or the peer doesn't lead.
    async fn watch(self: &Rc<Self>, link: &Link) -> &'static str {
        loop {
            let held = self
                .configuration
                .borrow()
                .as_ref()
                .map(|held| held.version);
            let request = Request::Watch {
                configuration: held.unwrap_or(0),
                agents: self.runners.version(),
            };
            let answer = link.call::<_, Reply>(&request);
            match tokio::time::timeout(WATCH_TIMEOUT.as_std(), answer).await {
                Ok(Ok(Reply::Watched {
                    configuration,
                    agents,
                })) => {
                    if let Some(configuration) = configuration {
                        self.configure(*configuration);
                    }
                    if let Some((version, agents)) = agents {
                        info!(event = "agents", version, count = agents.len());
                        self.follow_runners(version, agents);
                    }
                }
                Ok(Ok(_)) => return "not-leading",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            }
        }
    }

    /// Puts a configuration in force here, unless a newer one is.
    fn configure(self: &Rc<Self>, configuration: Configuration) {
        let held = self
            .configuration
            .borrow()
            .as_ref()
            .map(|held| held.version);
        if held >= Some(configuration.version) {
            return;
        }
        info!(
            event = "configured",
            version = configuration.version,
            before = held
        );
        self.engine.borrow_mut().configure(&configuration);
        self.configuration.replace(Some(Rc::new(configuration)));
        self.pump();
    }

    /// Passes a request to the leader and returns its answer, within `time_left`.
    pub(super) async fn forward(
        &self,
        request: &CallerRequest,
        time_left: DurationMs,
    ) -> CallerAnswer {
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
