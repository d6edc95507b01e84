//! Takes the control thread's commands and keeps a connection to the leading keeper.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hemlock_ledger::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::sync::{Notify, mpsc};

use super::SessionCommand;
use super::connection::run_connections;
use crate::inbox::{Inbox, Input, post, post_event};

/// Time for the answer to a lookup or a cancellation, in milliseconds.
const LOOKUP_TIMEOUT_MS: u64 = 2_000;
/// Longest time that a stopping entry waits for its ends to be recorded, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 5_000;
/// Pause between two looks at what is still to be handed over, in milliseconds.
const LEAVE_LOOK_MS: u64 = 10;

/// What the tasks of a session share.
pub(super) struct Shared {
    pub(super) identity: Rc<Identity>,
    pub(super) domain: FailureDomainName,
    pub(super) inbox: Inbox,
    /// Every keeper known, the one to ask first in front.
    pub(super) keepers: RefCell<VecDeque<SocketAddr>>,
    /// The connection in use.
    pub(super) link: RefCell<Option<Link>>,
    /// The connection in use does not lead to the leader, or is silent: use another.
    pub(super) change_keeper: Notify,
    /// Claims that are not sent yet.
    pub(super) claims: RefCell<VecDeque<(ClaimAttempt, ClaimRequest)>>,
    /// There is a claim to send.
    pub(super) claims_waiting: Notify,
    /// Ends that are not recorded yet.
    pub(super) ends: RefCell<VecDeque<EndRecord>>,
    /// There is an end to send.
    pub(super) ends_waiting: Notify,
    /// Report soon.
    pub(super) sync_soon: Notify,
    /// The entry gives its lease back with its next report.
    pub(super) leaving: Cell<bool>,
    /// A keeper has taken the lease back; nothing more is reported, which would take a new one.
    pub(super) left: Cell<bool>,
}

impl Shared {
    pub(super) fn link(&self) -> Option<Link> {
        self.link.borrow().clone()
    }

    /// Puts the leader in front, or moves on to the next keeper.
    pub(super) fn prefer(&self, leader: Option<SocketAddr>) {
        let mut keepers = self.keepers.borrow_mut();
        match leader {
            Some(leader) => {
                keepers.retain(|keeper| *keeper != leader);
                keepers.push_front(leader);
            }
            None => keepers.rotate_left(1),
        }
    }

    /// Calls the leading keeper; `None` when there is no connection, no leader or no answer in
    /// time.
    pub(super) async fn call(
        &self,
        request: &KeeperRequest,
        patience: Duration,
    ) -> Option<KeeperReply> {
        let link = self.link()?;
        let answer = tokio::time::timeout(patience, link.call(request)).await;
        match answer {
            Ok(Ok(KeeperReply::NotLeader { leader })) => {
                self.prefer(leader);
                self.change_keeper.notify_one();
                None
            }
            Ok(Ok(KeeperReply::Unavailable)) | Ok(Err(_)) => None,
            Ok(Ok(reply)) => Some(reply),
            Err(_) => {
                self.change_keeper.notify_one();
                None
            }
        }
    }
}

/// The session's main task.
pub(super) struct Client {
    shared: Rc<Shared>,
}

impl Client {
    pub(super) fn new(
        identity: Identity,
        domain: FailureDomainName,
        keepers: Vec<SocketAddr>,
        inbox: Inbox,
    ) -> Self {
        Self {
            shared: Rc::new(Shared {
                identity: Rc::new(identity),
                domain,
                inbox,
                keepers: RefCell::new(keepers.into()),
                link: RefCell::default(),
                change_keeper: Notify::new(),
                claims: RefCell::default(),
                claims_waiting: Notify::new(),
                ends: RefCell::default(),
                ends_waiting: Notify::new(),
                sync_soon: Notify::new(),
                leaving: Cell::new(false),
                left: Cell::new(false),
            }),
        }
    }

    /// Runs until the entry leaves or the control thread has ended.
    pub(super) async fn run(self, mut commands: mpsc::UnboundedReceiver<SessionCommand>) {
        let connections = tokio::task::spawn_local(run_connections(Rc::clone(&self.shared)));
        while let Some(command) = commands.recv().await {
            match command {
                SessionCommand::Leave => {
                    self.leave().await;
                    post(&self.shared.inbox, Input::SessionClosed);
                }
                command => self.take(command),
            }
        }
        connections.abort();
        // It was told to end; there is nothing to learn from how.
        drop(connections.await);
    }

    fn take(&self, command: SessionCommand) {
        let shared = &self.shared;
        match command {
            SessionCommand::Claim(attempt, claim) => {
                shared.claims.borrow_mut().push_back((attempt, claim));
                shared.claims_waiting.notify_one();
            }
            SessionCommand::End(end) => {
                shared.ends.borrow_mut().push_back(end);
                shared.ends_waiting.notify_one();
            }
            SessionCommand::Lookup(call, submission) => {
                tokio::task::spawn_local(look_up(Rc::clone(shared), call, submission));
            }
            SessionCommand::Cancel(call, submission) => {
                tokio::task::spawn_local(cancel(Rc::clone(shared), call, submission));
            }
            SessionCommand::SyncSoon => shared.sync_soon.notify_one(),
            SessionCommand::Leave => {}
        }
    }

    /// Waits until every end is recorded, then gives the lease back.
    async fn leave(&self) {
        let shared = &self.shared;
        let handed_over = async {
            while !shared.ends.borrow().is_empty() {
                tokio::time::sleep(Duration::from_millis(LEAVE_LOOK_MS)).await;
            }
            shared.leaving.set(true);
            shared.sync_soon.notify_one();
            while !shared.left.get() {
                tokio::time::sleep(Duration::from_millis(LEAVE_LOOK_MS)).await;
            }
        };
        let patience = Duration::from_millis(LEAVE_TIMEOUT_MS);
        // Without a keeper the lease and the claims simply run out.
        drop(tokio::time::timeout(patience, handed_over).await);
    }
}

async fn look_up(shared: Rc<Shared>, call: CallId, submission: SubmissionId) {
    let request = KeeperRequest::Lookup(submission);
    let patience = Duration::from_millis(LOOKUP_TIMEOUT_MS);
    let reply = match shared.call(&request, patience).await {
        Some(KeeperReply::Lookup(found)) => Some(found),
        _ => None,
    };
    post_event(&shared.inbox, Event::LookupAnswered { call, reply });
}

async fn cancel(shared: Rc<Shared>, call: CallId, submission: SubmissionId) {
    let request = KeeperRequest::Cancel(submission);
    let patience = Duration::from_millis(LOOKUP_TIMEOUT_MS);
    let reply = match shared.call(&request, patience).await {
        Some(KeeperReply::Cancelled(reply)) => Some(reply),
        _ => None,
    };
    post_event(&shared.inbox, Event::CancelRecorded { call, reply });
}
