//! The session with the leader.

use std::rc::Rc;

use hemlock_dispatch::prelude::SessionId;
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tracing::info;

use super::Runner;
use crate::message::{Reply, Request, RunnerPing};

/// Time between two pings of the leader, each of which extends the runner's authority.
const PING_INTERVAL: DurationMs = DurationMs::new(300);
/// Time after which an unanswered ping marks the connection as dead.
const PING_TIMEOUT: DurationMs = DurationMs::new(800);
/// Longest wait for each step of opening a session, which may take the leader two commits.
const REGISTER_TIMEOUT: DurationMs = DurationMs::new(1_500);
/// Time between two checks whether all runs on the instance are known.
const RUNS_KNOWN_POLL_INTERVAL: DurationMs = DurationMs::new(30);

impl Runner {
    /// Maintains a session with the leader. Never returns.
    pub(super) async fn maintain_leader_session(self: &Rc<Self>) {
        loop {
            let connection = self.connector.connect().await;
            let leader = connection.peer.id;
            info!(event = "leader-connected", leader);
            let link = connection.link.clone();
            let cause = tokio::select! {
                () = connection.until_closed() => "closed",
                () = self.connector.wait_until_discarded(&link) => "given-up",
                cause = self.run_session(&link) => cause,
            };
            self.connector.discard(&link);
            self.leader_adopted.set(false);
            info!(event = "leader-lost", leader, cause);
        }
    }

    async fn run_session(self: &Rc<Self>, link: &Link) -> &'static str {
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
        self.wait_until_runs_known().await;
        self.restore_instance(instance);
        let sent_at = self.clock.now();
        // Authority of an earlier session that has run out isn't carried over to this one.
        let calls = self.runs.borrow_mut().tick(sent_at);
        self.make_calls(calls);
        let inventory = self.runs.borrow_mut().attach_leader(sent_at, session);
        let runs = inventory.runs.len();
        let adopt = Request::Adopt(self.agent, session, inventory.clone());
        let answer = link.call::<_, Reply>(&adopt);
        let answer = tokio::time::timeout(REGISTER_TIMEOUT.as_std(), answer).await;
        let Ok(Ok(Reply::Adopted {
            stops,
            deferred,
            evacuations,
        })) = answer
        else {
            return None;
        };
        // The leader tells the evacuations only while no other one can lead, so the answer confirms
        // the runner's authority as well.
        if let Some(evacuations) = evacuations {
            let leader = Owner::Leader;
            if !self.runs.borrow_mut().owner_heard(leader, session, sent_at) {
                return None;
            }
            self.note_evacuations(&evacuations);
        }
        info!(
            event = "session",
            session = session.0,
            runs,
            unwanted = stops.len(),
            deferred = deferred.len()
        );
        let now = self.clock.now();
        let calls = self
            .runs
            .borrow_mut()
            .leader_adopted(now, &inventory, &stops, &deferred);
        self.make_calls(calls);
        self.leader_adopted.set(true);
        self.report_again(session, deferred);
        let same = self.runs.borrow().instance() == inventory.instance.as_ref();
        if !same {
            self.report_instance_change(InstanceChange::Updated);
        }
        self.report_outcomes();
        self.listing_due.notify_one();
        Some(session)
    }

    /// Waits until all runs on the instance are known: it has listed them, or no run of an earlier
    /// process can be alive any more.
    async fn wait_until_runs_known(&self) {
        while !self.knows_runs() {
            tokio::time::sleep(RUNS_KNOWN_POLL_INTERVAL.as_std()).await;
        }
    }

    fn ping_state(&self, now: Instant, session: SessionId) -> RunnerPing {
        let runs = self.runs.borrow();
        RunnerPing {
            agent: self.agent,
            session,
            withheld_percent: runs.withheld_percent(now),
            evacuations: runs.evacuations().version(),
        }
    }

    /// Pings the leader until an answer is missing or the session is void. Returns the cause.
    ///
    /// The first ping is sent at once, because only a confirmed answer is sure to carry the
    /// evacuations. After a change of these, another one tells the leader what it may order.
    async fn ping(self: &Rc<Self>, link: &Link, session: SessionId) -> &'static str {
        let mut interval = DurationMs::new(0);
        loop {
            tokio::time::sleep(interval.as_std()).await;
            let sent_at = self.clock.now();
            let ping = Request::Ping(Some(self.ping_state(sent_at, session)));
            let answer = link.call::<_, Reply>(&ping);
            match tokio::time::timeout(PING_TIMEOUT.as_std(), answer).await {
                Ok(Ok(Reply::Confirmed { evacuations })) => {
                    let leader = Owner::Leader;
                    let holds = self.runs.borrow_mut().owner_heard(leader, session, sent_at);
                    if !holds {
                        return "expired";
                    }
                    let newer = evacuations.is_some_and(|newer| self.note_evacuations(&newer));
                    interval = match newer {
                        true => DurationMs::new(0),
                        false => PING_INTERVAL,
                    };
                }
                Ok(Ok(Reply::VoidSession)) => return "void",
                Ok(Ok(_)) => return "not-leading",
                Ok(Err(_)) => return "failed",
                Err(_) => return "silent",
            }
        }
    }
}
