//! Sessions with the leader.

use std::rc::Rc;

use hemlock_dispatch::prelude::{InstanceReport, SessionId};
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
/// Pause between two looks whether the instance has listed its runs.
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
            self.leader_adopted.set(false);
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
        let register = Request::Register(self.agent);
        let answer = link.call::<_, Reply>(&register);
        let answer = tokio::time::timeout(REGISTER_TIMEOUT.as_std(), answer).await;
        let Ok(Ok(Reply::Registered { session, instance })) = answer else {
            return None;
        };
        self.until_runs_known().await;
        self.take_noted_instance(instance);
        let asked_at = self.clock.now();
        let inventory = self.runs.borrow_mut().attach_leader(asked_at, session);
        let runs = inventory.runs.len();
        let adopt = Request::Adopt(self.agent, session, inventory.clone());
        let answer = link.call::<_, Reply>(&adopt);
        let answer = tokio::time::timeout(REGISTER_TIMEOUT.as_std(), answer).await;
        let Ok(Ok(Reply::Adopted(stops))) = answer else {
            return None;
        };
        info!(
            event = "session",
            session = session.0,
            runs,
            unwanted = stops.len()
        );
        let now = self.clock.now();
        let calls = self
            .runs
            .borrow_mut()
            .leader_adopted(now, &inventory, &stops);
        self.make_calls(calls);
        self.leader_adopted.set(true);
        let same = self.runs.borrow().instance() == inventory.instance.as_ref();
        if !same {
            self.tell_change(InstanceChange::Updated);
        }
        self.tell_outcomes();
        self.listing_due.notify_one();
        Some(session)
    }

    /// Takes over what an earlier process knew of the instance, if the same life of it is there.
    fn take_noted_instance(self: &Rc<Self>, noted: Option<InstanceReport>) {
        let Some(noted) = noted else {
            return;
        };
        let name = noted.id.name.clone();
        let change = self.runs.borrow_mut().restore_instance(noted);
        if change != InstanceChange::None {
            info!(event = "instance-noted", instance = name);
            self.driver.set_target(Some(name));
        }
        self.tell_change(change);
    }

    /// Waits until the instance has listed its runs, or none that an earlier process started can be
    /// alive.
    async fn until_runs_known(&self) {
        while !self.knows_runs() {
            tokio::time::sleep(LISTING_PAUSE.as_std()).await;
        }
    }

    /// Pings until an answer is missing or says that the session is void.
    async fn ping(&self, link: &Link, session: SessionId) -> &'static str {
        loop {
            tokio::time::sleep(PING_PERIOD.as_std()).await;
            let asked_at = self.clock.now();
            let ping = Request::Ping(Some((self.agent, session)));
            let answer = link.call::<_, Reply>(&ping);
            match tokio::time::timeout(PING_TIMEOUT.as_std(), answer).await {
                Ok(Ok(Reply::Done)) => {
                    let mut runs = self.runs.borrow_mut();
                    if !runs.owner_heard(Owner::Leader, session, asked_at) {
                        return "expired";
                    }
                }
                Ok(Ok(Reply::VoidSession)) => return "void",
                Ok(Ok(_)) => return "not-leading",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            }
        }
    }
}
