//! Heartbeats to the leading keeper, which keep the endpoint instance in the directory.

use std::net::SocketAddr;
use std::rc::Rc;

use crossbeam::channel::Sender;
use hemlock_directory::prelude::*;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{AgentSync, KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::sync::watch;

use crate::announce::AnnouncedState;
use crate::command::Command;
use crate::service::RejectCalls;

/// Interval between announcements.
const HEARTBEAT: DurationMs = DurationMs::new(1_000);

/// Longest wait for a connection to a keeper, and for its answer.
const CALL_TIMEOUT: DurationMs = DurationMs::new(1_000);

/// Pause before the next attempt after a failed one.
const RETRY_PAUSE: DurationMs = DurationMs::new(100);

/// Attempts to withdraw the endpoint. If all fail, its lease in the directory expires instead.
const WITHDRAW_ATTEMPTS: u32 = 4;

/// Announces the endpoint instance to the leading keeper.
pub(crate) struct KeeperSync {
    identity: Rc<Identity>,
    commands: Sender<Command>,
    keepers: Vec<SocketAddr>,
    next: usize,
    connection: Option<Connection>,
    /// Whether the endpoint is registered in the directory.
    is_registered: bool,
    /// Whether a planned stop covered the endpoint at the last heartbeat.
    draining: bool,
}

impl KeeperSync {
    pub(crate) fn new(
        identity: Rc<Identity>,
        commands: Sender<Command>,
        keepers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            identity,
            commands,
            keepers,
            next: 0,
            connection: None,
            is_registered: false,
            draining: false,
        }
    }

    /// Announces every change at once, and the current state with each heartbeat, until the sender
    /// of the channel is dropped.
    pub(crate) async fn run(&mut self, announced: &mut watch::Receiver<AnnouncedState>) {
        loop {
            let current = announced.borrow_and_update().clone();
            let accepted = match current.announcement.clone() {
                Some(announcement) => self.announce(announcement, current.running).await,
                None => self.withdraw_if_registered().await,
            };
            let pause = match accepted {
                true => HEARTBEAT,
                false => RETRY_PAUSE,
            };
            let changed = announced.wait_for(|latest| latest.announcement != current.announcement);
            if let Ok(Err(_)) = tokio::time::timeout(pause.as_std(), changed).await {
                return;
            }
        }
    }

    /// Removes the endpoint from the directory, so that entries stop using it before its lease
    /// expires.
    pub(crate) async fn withdraw(&mut self) {
        for _ in 0..WITHDRAW_ATTEMPTS {
            if self.withdraw_if_registered().await {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE.as_std()).await;
        }
    }

    async fn withdraw_if_registered(&mut self) -> bool {
        if !self.is_registered {
            return true;
        }
        let request = KeeperRequest::Withdraw(self.identity.incarnation);
        let done = matches!(self.call(&request).await, Some(KeeperReply::Done));
        self.is_registered = !done;
        done
    }

    /// Sends the announcement. Returns whether the leading keeper has accepted it.
    async fn announce(&mut self, announcement: Announcement, running: u16) -> bool {
        let sync = AgentSync {
            announcement,
            running,
        };
        let Some(KeeperReply::AgentSync {
            draining, keepers, ..
        }) = self.call(&KeeperRequest::AgentSync(sync)).await
        else {
            return false;
        };
        self.is_registered = true;
        if !keepers.is_empty() {
            self.keepers = keepers;
        }
        if draining != self.draining {
            self.draining = draining;
            let event = match draining {
                true => Event::Drain,
                false => Event::Lift,
            };
            let _ = self.commands.send(Command::Event(event));
        }
        true
    }

    /// Calls the keeper that is believed to lead. Returns `None` if the request must be repeated.
    async fn call(&mut self, request: &KeeperRequest) -> Option<KeeperReply> {
        let connection = self.connect().await?;
        let call = connection.link.call::<_, KeeperReply>(request);
        let answer = tokio::time::timeout(CALL_TIMEOUT.as_std(), call).await;
        match answer {
            Ok(Ok(KeeperReply::NotLeader { leader })) => self.connect_to_leader(leader).await,
            Ok(Ok(KeeperReply::Unavailable) | Err(_)) | Err(_) => self.select_next_keeper(),
            Ok(Ok(reply)) => {
                self.connection = Some(connection);
                return Some(reply);
            }
        }
        None
    }

    async fn connect(&mut self) -> Option<Connection> {
        match self.connection.take() {
            Some(connection) if !connection.link.is_closed() => return Some(connection),
            _ => {}
        }
        let address = *self.keepers.get(self.next % self.keepers.len().max(1))?;
        let opened = self.open(address).await;
        if opened.is_none() {
            self.select_next_keeper();
        }
        opened
    }

    async fn open(&self, address: SocketAddr) -> Option<Connection> {
        let identity = Rc::clone(&self.identity);
        let opened = connect(address, identity, Rc::new(RejectCalls), CALL_TIMEOUT).await;
        opened
            .ok()
            .filter(|connection| connection.peer.role == Role::Keeper)
    }

    /// Connects to the leader, or selects the next keeper if the leader is unknown.
    async fn connect_to_leader(&mut self, leader: Option<SocketAddr>) {
        match leader {
            Some(leader) => {
                self.connection = self.open(leader).await;
                if self.connection.is_none() {
                    self.select_next_keeper();
                }
            }
            None => self.select_next_keeper(),
        }
    }

    fn select_next_keeper(&mut self) {
        self.connection = None;
        self.next = self.next.wrapping_add(1);
    }
}
