//! The gateway's connection to the leading coordinator.

use std::rc::Rc;

use hemlock_jobs::prelude::{Configuration, Evacuations};
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::time::Instant as RuntimeInstant;
use tracing::info;

use super::Gateway;
use crate::evacuations::log_evacuations;
use crate::message::{CallerAction, CallerAnswer, CallerRequest, Rejection, Reply, Request};

/// Time after which a missing answer to a watch marks the connection as dead. The leader answers
/// within half of it.
const WATCH_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Delay before a request is sent again after its target turned out not to lead.
const RETRY_DELAY: DurationMs = DurationMs::new(20);
/// Retry delay for callers while no leader is known, in milliseconds. An election takes less.
const NO_LEADER_RETRY_MS: u64 = 1_000;
/// Part of the caller's timeout that is reserved for the answer to reach it.
const ANSWER_MARGIN: DurationMs = DurationMs::new(100);

impl Gateway {
    /// Maintains a connection to the leader. Never returns.
    pub(super) async fn maintain_leader_connection(self: &Rc<Self>) {
        loop {
            let connection = self.connector.connect().await;
            let leader = connection.peer.id;
            info!(event = "leader-connected", leader);
            let cause = tokio::select! {
                () = connection.until_closed() => "closed",
                cause = self.watch(&connection.link) => cause,
                () = self.connector.wait_until_discarded(&connection.link) => "not-leading",
            };
            self.connector.discard(&connection.link);
            info!(event = "leader-lost", leader, cause);
        }
    }

    /// Follows the leader's configuration, agents and evacuations. Returns the cause when an answer
    /// is missing or the peer doesn't lead.
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
                evacuations: self.engine.borrow().evacuations_version(),
            };
            let answer = link.call::<_, Reply>(&request);
            match tokio::time::timeout(WATCH_TIMEOUT.as_std(), answer).await {
                Ok(Ok(Reply::Watched {
                    configuration,
                    agents,
                    evacuations,
                })) => {
                    // Without the evacuations, nothing may be placed by the other two.
                    if let Some(evacuations) = evacuations {
                        self.set_evacuations(&evacuations);
                    }
                    if let Some(configuration) = configuration {
                        self.configure(*configuration);
                    }
                    if let Some((version, agents)) = agents {
                        info!(event = "agents", version, count = agents.len());
                        self.set_runners(version, agents);
                    }
                }
                Ok(Ok(_)) => return "not-leading",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            }
        }
    }

    /// Places nothing more in the evacuated failure domains.
    fn set_evacuations(self: &Rc<Self>, evacuations: &Evacuations) {
        let newer = self.engine.borrow_mut().set_evacuations(evacuations);
        if newer {
            log_evacuations(evacuations);
            self.run_engine();
        }
    }

    /// Puts a configuration in force on this gateway, if it is newer than the current one.
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
        self.run_engine();
    }

    /// Forwards a request to the leader and returns its answer, within `time_left`.
    pub(super) async fn forward(
        &self,
        request: &CallerRequest,
        time_left: DurationMs,
    ) -> CallerAnswer {
        let usable_ms = time_left.as_ms().saturating_sub(ANSWER_MARGIN.as_ms());
        let end = RuntimeInstant::now() + DurationMs::new(usable_ms).as_std();
        let wire_request = Request::Call(request.clone());
        // Whether a leader may have received the request.
        let mut sent = false;
        let leader_deadline = RuntimeInstant::now() + self.leader_timeout.as_std();
        loop {
            let wait_end = match sent {
                // A request that may have taken effect is retried for as long as the caller waits.
                true => end,
                false => end.min(leader_deadline),
            };
            let link = tokio::time::timeout_at(wait_end, self.connector.wait_for_leader()).await;
            let Ok(link) = link else {
                return no_leader_answer(sent, &request.action);
            };
            let answer = tokio::time::timeout_at(end, link.call(&wire_request)).await;
            match answer {
                Ok(Ok(Reply::Call(CallerAnswer::Undecided) | Reply::Undecided)) => sent = true,
                Ok(Ok(Reply::Call(answer))) => return answer,
                Ok(Ok(_)) | Ok(Err(CallError::NeverSent)) => {}
                Ok(Err(_)) => sent = true,
                Err(_) => return CallerAnswer::Undecided,
            }
            self.connector.discard(&link);
            tokio::time::sleep(RETRY_DELAY.as_std()).await;
        }
    }
}

/// Returns the answer for a request for which no leader was reached in time.
fn no_leader_answer(sent: bool, action: &CallerAction) -> CallerAnswer {
    match (sent, action) {
        (false, CallerAction::Submit(_)) => CallerAnswer::Rejected {
            reason: Rejection::NoLeader,
            retry_after_ms: NO_LEADER_RETRY_MS,
        },
        _ => CallerAnswer::Undecided,
    }
}
