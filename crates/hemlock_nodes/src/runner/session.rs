//! Sessions with the leader.

use std::rc::Rc;

use hemlock_dispatch::prelude::{Inventory, SessionId};
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tracing::info;

use super::Runner;
use crate::message::{Reply, Request};

/// Time between two pings of the leader, which extend the runner's authority.
const PING_PERIOD: DurationMs = DurationMs::new(300);
/// Time after which a ping without an answer shows that the connection is dead.
const PING_TIMEOUT: DurationMs = DurationMs::new(800);
/// Time that the leader may take to begin a session: two commits.
const REGISTER_TIMEOUT: DurationMs = DurationMs::new(1_500);
/// Time that the instance may take for the first listing of a session.
const FIRST_LISTING_TIMEOUT: DurationMs = DurationMs::new(300);
/// Pause after a listing without an answer.
const LISTING_PAUSE: DurationMs = DurationMs::new(30);

impl Runner {
    /// Keeps a session with whoever leads. Never returns.
    pub(super) async fn keep_session(self: &Rc<Self>) {
        loop {
            let connection = self.connector.connect().await;
            let leader = connection.peer.id;
            info!(event = "leader-connected", leader);
            let link = connection.link.clone();
            let cause = tokio::select! {
                () = connection.until_closed() => "closed",
                () = self.connector.until_given_up(&link) => "given-up",
                cause = self.hold_session(&link) => cause,
            };
            self.connector.give_up(&link);
            self.runs.borrow_mut().end_session();
            info!(event = "leader-lost", leader, cause);
        }
    }

    async fn hold_session(self: &Rc<Self>, link: &Link) -> &'static str {
        match self.open_session(link).await {
            Some(session) => self.ping(link, session).await,
            None => "no-session",
        }
    }

    async fn open_session(self: &Rc<Self>, link: &Link) -> Option<SessionId> {
        let asked_at = self.clock.now();
        let register = Request::Register(self.agent);
        let answer = link.call::<_, Reply>(&register);
        let answer = tokio::time::timeout(REGISTER_TIMEOUT.as_std(), answer).await;
        let Ok(Ok(Reply::Registered { session, fence })) = answer else {
            return None;
        };
        self.runs
            .borrow_mut()
            .begin_session(session, fence, asked_at);
        let (inventory, listing) = self.take_inventory(fence).await?;
        let runs = inventory.runs.len();
        let asked_at = self.clock.now();
        let adopt = Request::Adopt(self.agent, session, inventory);
        let answer = link.call::<_, Reply>(&adopt);
        let answer = tokio::time::timeout(REGISTER_TIMEOUT.as_std(), answer).await;
        let Ok(Ok(Reply::Adopted(stops))) = answer else {
            return None;
        };
        info!(event = "session", session = session.0, fence, runs, unwanted = stops.len());
        let calls = {
            let mut table = self.runs.borrow_mut();
            table.extend_authority(asked_at);
            table.adopted(session, listing.as_ref());
            table.stop_all(&stops)
        };
        self.make_calls(calls);
        self.tell_change(InstanceChange::Updated);
        self.tell_outcomes();
        self.listing_due.notify_one();
        Some(session)
    }

    /// Lists what runs under the new session's fencing number, which ends all earlier orders.
    async fn take_inventory(self: &Rc<Self>, fence: u64) -> Option<(Inventory, Option<Listing>)> {
        let begun = self.clock.now();
        loop {
            let (lease_until_ms, settled, patience) = {
                let runs = self.runs.borrow();
                let lease = runs.lease_until_ms(self.clock.now());
                (lease, runs.settled(), runs.longest_lease())
            };
            let call = ListCall {
                fence,
                lease_until_ms,
                settled,
                wait_ms: 0,
                timeout_ms: FIRST_LISTING_TIMEOUT.as_ms(),
            };
            let answer = self.driver.list(call).await;
            let now = self.clock.now();
            match answer {
                Ok(listing) => {
                    let inventory = self.runs.borrow_mut().take_inventory(now, &listing);
                    return Some((inventory, Some(listing)));
                }
                Err(ListFault::Fenced) => return None,
                Err(ListFault::Gone) => break,
                Err(ListFault::OtherInstance) => self.driver.set_target(None),
                // After that time no lease that was given before can hold.
                Err(ListFault::Unanswered) if now > begun + patience => break,
                Err(ListFault::Unanswered) => tokio::time::sleep(LISTING_PAUSE.as_std()).await,
            }
        }
        let inventory = self.runs.borrow_mut().take_empty_inventory();
        Some((inventory, None))
    }

    /// Pings until an answer is missing or says that the session is void.
    async fn ping(&self, link: &Link, session: SessionId) -> &'static str {
        loop {
            tokio::time::sleep(PING_PERIOD.as_std()).await;
            let asked_at = self.clock.now();
            let ping = Request::Ping(Some((self.agent, session)));
            let answer = link.call::<_, Reply>(&ping);
            match tokio::time::timeout(PING_TIMEOUT.as_std(), answer).await {
                Ok(Ok(Reply::Done)) => self.runs.borrow_mut().extend_authority(asked_at),
                Ok(Ok(Reply::VoidSession)) => return "void",
                Ok(Ok(_)) => return "not-leading",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            }
        }
    }
}
