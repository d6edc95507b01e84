//! Carries out the session commands of the control thread.

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

/// Longest wait for the answer to a lookup or a cancellation, in milliseconds.
const LOOKUP_TIMEOUT_MS: u64 = 2_000;
/// Longest time that a stopping entry waits until its ends are recorded and its lease is
/// released, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 5_000;
/// Poll interval of that wait, in milliseconds.
const LEAVE_POLL_MS: u64 = 10;

/// State shared by the tasks of a session.
pub(super) struct Shared {
    pub(super) identity: Rc<Identity>,
    pub(super) domain: FailureDomainName,
    pub(super) inbox: Inbox,
    /// Addresses of the known keepers, in the order in which they are tried.
    pub(super) keepers: RefCell<VecDeque<SocketAddr>>,
    /// The current connection to a keeper, if any.
    pub(super) link: RefCell<Option<Link>>,
    /// Signals that the connected keeper does not lead or does not answer, so that another must be
    /// tried.
    pub(super) change_keeper: Notify,
    /// Claims that are not sent yet.
    pub(super) claims: RefCell<VecDeque<(ClaimAttempt, ClaimRequest)>>,
    /// Signals a new claim.
    pub(super) claim_queued: Notify,
    /// Ends that the keepers have not recorded yet.
    pub(super) ends: RefCell<VecDeque<EndRecord>>,
    /// Signals a new end.
    pub(super) end_queued: Notify,
    /// Signals that the next report is to be sent early.
    pub(super) sync_soon: Notify,
    /// Whether the next report releases the lease.
    pub(super) leaving: Cell<bool>,
    /// Whether a keeper has confirmed the release. A further report would acquire a new lease, so
    /// none is sent.
    pub(super) left: Cell<bool>,
}

impl Shared {
    pub(super) fn link(&self) -> Option<Link> {
        self.link.borrow().clone()
    }

    /// Makes the leader the next keeper to try; if it is unknown, moves the first keeper to the end.
    pub(super) fn select_keeper(&self, leader: Option<SocketAddr>) {
        let mut keepers = self.keepers.borrow_mut();
        match leader {
            Some(leader) => {
                keepers.retain(|keeper| *keeper != leader);
                keepers.push_front(leader);
            }
            None => keepers.rotate_left(1),
        }
    }

    /// Calls the connected keeper. Returns `None` if there is no connection, the keeper doesn't
    /// lead, it is unavailable, or it doesn't answer in time.
    pub(super) async fn call(
        &self,
        request: &KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let link = self.link()?;
        let answer = tokio::time::timeout(timeout, link.call(request)).await;
        match answer {
            Ok(Ok(KeeperReply::NotLeader { leader })) => {
                self.select_keeper(leader);
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

/// The main task of a session.
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
                claim_queued: Notify::new(),
                ends: RefCell::default(),
                end_queued: Notify::new(),
                sync_soon: Notify::new(),
                leaving: Cell::new(false),
                left: Cell::new(false),
            }),
        }
    }

    /// Runs until the control thread drops its command sender.
    pub(super) async fn run(self, mut commands: mpsc::UnboundedReceiver<SessionCommand>) {
        let connections = tokio::task::spawn_local(run_connections(Rc::clone(&self.shared)));
        while let Some(command) = commands.recv().await {
            match command {
                SessionCommand::Leave => {
                    self.leave().await;
                    post(&self.shared.inbox, Input::SessionClosed);
                }
                command => self.handle_command(command),
            }
        }
        connections.abort();
        // The result is always the cancellation requested above.
        drop(connections.await);
    }

    fn handle_command(&self, command: SessionCommand) {
        let shared = &self.shared;
        match command {
            SessionCommand::Claim(attempt, claim) => {
                shared.claims.borrow_mut().push_back((attempt, claim));
                shared.claim_queued.notify_one();
            }
            SessionCommand::End(end) => {
                shared.ends.borrow_mut().push_back(end);
                shared.end_queued.notify_one();
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

    /// Waits until every end is recorded, then releases the lease.
    async fn leave(&self) {
        let shared = &self.shared;
        let released = async {
            while !shared.ends.borrow().is_empty() {
                tokio::time::sleep(Duration::from_millis(LEAVE_POLL_MS)).await;
            }
            shared.leaving.set(true);
            shared.sync_soon.notify_one();
            while !shared.left.get() {
                tokio::time::sleep(Duration::from_millis(LEAVE_POLL_MS)).await;
            }
        };
        let timeout = Duration::from_millis(LEAVE_TIMEOUT_MS);
        // If no keeper answers in time, the lease and the claims expire at the keepers.
        drop(tokio::time::timeout(timeout, released).await);
    }
}

async fn look_up(shared: Rc<Shared>, call: CallId, submission: SubmissionId) {
    let request = KeeperRequest::Lookup(submission);
    let timeout = Duration::from_millis(LOOKUP_TIMEOUT_MS);
    let reply = match shared.call(&request, timeout).await {
        Some(KeeperReply::Lookup(found)) => Some(found),
        _ => None,
    };
    post_event(&shared.inbox, Event::LookupAnswered { call, reply });
}

async fn cancel(shared: Rc<Shared>, call: CallId, submission: SubmissionId) {
    let request = KeeperRequest::Cancel(submission);
    let timeout = Duration::from_millis(LOOKUP_TIMEOUT_MS);
    let reply = match shared.call(&request, timeout).await {
        Some(KeeperReply::Cancelled(reply)) => Some(reply),
        _ => None,
    };
    post_event(&shared.inbox, Event::CancelRecorded { call, reply });
}
