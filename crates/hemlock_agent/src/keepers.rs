//! The heartbeat that keeps the endpoint instance in the keepers' directory.

use std::net::SocketAddr;
use std::rc::Rc;

use crossbeam::channel::Sender;
use hemlock_directory::prelude::*;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{AgentSync, KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::sync::watch;

use crate::announce::Announced;
use crate::command::Command;
use crate::service::NoService;

/// Time between announcements.
const HEARTBEAT: DurationMs = DurationMs::new(1_000);

/// Longest wait for a keeper's connection or answer.
const CALL_TIMEOUT: DurationMs = DurationMs::new(1_000);

/// Pause before the next keeper is tried.
const RETRY_PAUSE: DurationMs = DurationMs::new(100);

/// Keepers tried before an ending agent leaves the withdrawal to the lease.
const WITHDRAW_TRIES: u32 = 4;

/// Announces the endpoint instance to the leading keeper.
pub(crate) struct KeeperSync {
    identity: Rc<Identity>,
    commands: Sender<Command>,
    keepers: Vec<SocketAddr>,
    next: usize,
    connection: Option<Connection>,
    /// Whether the keepers know the endpoint.
    known: bool,
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
            known: false,
            draining: false,
        }
    }

    /// Announces every change at once and what stands once per heartbeat, until the agent's
    /// side of the channel is gone.
    pub(crate) async fn run(&mut self, announced: &mut watch::Receiver<Announced>) {
        loop {
            let current = announced.borrow_and_update().clone();
            let taken = match current.announcement.clone() {
                Some(announcement) => self.announce(announcement, current.running).await,
                None => self.withdraw_known().await,
            };
            let pause = match taken {
                true => HEARTBEAT,
                false => RETRY_PAUSE,
            };
            let changed = announced.wait_for(|now| now.announcement != current.announcement);
            if let Ok(Err(_)) = tokio::time::timeout(pause.as_std(), changed).await {
                return;
            }
        }
    }

    /// Takes the endpoint out of the directory, so that no entry waits for its lease to end.
    pub(crate) async fn withdraw(&mut self) {
        for _ in 0..WITHDRAW_TRIES {
            if self.withdraw_known().await {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE.as_std()).await;
        }
    }

    async fn withdraw_known(&mut self) -> bool {
        if !self.known {
            return true;
        }
        let request = KeeperRequest::Withdraw(self.identity.incarnation);
        let done = matches!(self.call(&request).await, Some(KeeperReply::Done));
        self.known = !done;
        done
    }

    /// Says whether the leading keeper has taken the announcement.
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
        self.known = true;
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

    /// Asks the keeper that leads, as far as known; `None` when it has to be asked again.
    async fn call(&mut self, request: &KeeperRequest) -> Option<KeeperReply> {
        let connection = self.connect().await?;
        let call = connection.link.call::<_, KeeperReply>(request);
        let answer = tokio::time::timeout(CALL_TIMEOUT.as_std(), call).await;
        match answer {
            Ok(Ok(KeeperReply::NotLeader { leader })) => self.follow(leader).await,
            Ok(Ok(KeeperReply::Unavailable) | Err(_)) | Err(_) => self.turn_away(),
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
            self.turn_away();
        }
        opened
    }

    async fn open(&self, address: SocketAddr) -> Option<Connection> {
        let identity = Rc::clone(&self.identity);
        let opened = connect(address, identity, Rc::new(NoService), CALL_TIMEOUT).await;
        opened.ok().filter(|open| open.peer.role == Role::Keeper)
    }

    /// Turns to the leader, or to the next keeper when nobody knows the leader.
    async fn follow(&mut self, leader: Option<SocketAddr>) {
        match leader {
            Some(leader) => {
                self.connection = self.open(leader).await;
                if self.connection.is_none() {
                    self.turn_away();
                }
            }
            None => self.turn_away(),
        }
    }

    fn turn_away(&mut self) {
        self.connection = None;
        self.next = self.next.wrapping_add(1);
    }
}
