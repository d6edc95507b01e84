//! Finding the leader, and keeping one connection to it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hemlock_quorum::prelude::KeeperId;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::watch;

use crate::address::keeper_address;
use crate::message::{Reply, Request};

/// Time to connect to a keeper and to hear who leads.
const ASK_TIMEOUT: DurationMs = DurationMs::new(700);
/// Pause between two rounds of asking.
const ASK_PAUSE: DurationMs = DurationMs::new(80);
/// Most keepers that are remembered besides those of the settings.
const MAX_LEARNT: usize = 16;

/// Where keepers may be, as the settings say now.
pub(crate) type Seeds = Rc<dyn Fn() -> Vec<SocketAddr>>;

/// Connects to whoever leads.
pub(crate) struct Connector {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    seeds: Seeds,
    learnt: RefCell<BTreeSet<KeeperId>>,
    leader: watch::Sender<Option<Link>>,
}

impl Connector {
    pub(crate) fn new(identity: Rc<Identity>, service: Rc<dyn Service>, seeds: Seeds) -> Self {
        Self {
            identity,
            service,
            seeds,
            learnt: RefCell::default(),
            leader: watch::Sender::new(None),
        }
    }

    /// The open connection to the leader, if there is one.
    pub(crate) fn leader(&self) -> Option<Link> {
        let link = self.leader.borrow().clone();
        link.filter(|link| !link.is_closed())
    }

    /// Waits for a connection to the leader.
    pub(crate) async fn until_leader(&self) -> Link {
        let mut changes = self.leader.subscribe();
        loop {
            if let Some(link) = self.leader() {
                return link;
            }
            // The sender lives as long as this value.
            let _ = changes.changed().await;
        }
    }

    /// Returns once this connection is not the one to the leader any more.
    pub(crate) async fn until_given_up(&self, link: &Link) {
        let mut changes = self.leader.subscribe();
        while self.leader().is_some_and(|leader| leader.is_same(link)) {
            // The sender lives as long as this value.
            let _ = changes.changed().await;
        }
    }

    /// Drops the connection, if it is still this one.
    pub(crate) fn give_up(&self, link: &Link) {
        self.leader.send_if_modified(|current| {
            let same = current
                .as_ref()
                .is_some_and(|current| current.is_same(link));
            if same {
                *current = None;
            }
            same
        });
    }

    /// Finds the leader and returns the connection, which ends when it is dropped.
    pub(crate) async fn connect(&self) -> Connection {
        loop {
            if let Some(connection) = self.ask_all().await {
                self.leader.send_replace(Some(connection.link.clone()));
                return connection;
            }
            tokio::time::sleep(ASK_PAUSE.as_std()).await;
        }
    }

    /// Asks all known keepers at once; the first that leads is taken.
    async fn ask_all(&self) -> Option<Connection> {
        let mut addresses: BTreeSet<SocketAddr> = (self.seeds)().into_iter().collect();
        addresses.extend(self.learnt.borrow().iter().map(|id| keeper_address(*id)));
        let asked = addresses.into_iter().map(|address| self.ask(address));
        let mut answers: FuturesUnordered<_> = asked.collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn ask(&self, address: SocketAddr) -> Option<Connection> {
        let identity = Rc::clone(&self.identity);
        let service = Rc::clone(&self.service);
        // A keeper that can't be reached is as good as one that doesn't lead.
        let connection = connect(address, identity, service, ASK_TIMEOUT)
            .await
            .ok()?;
        let answer = connection.link.call::<_, Reply>(&Request::WhoLeads);
        let answer = tokio::time::timeout(ASK_TIMEOUT.as_std(), answer).await;
        match answer {
            Ok(Ok(Reply::Leads {
                here,
                members,
                leader,
            })) => {
                self.learn(members.into_iter().chain(leader));
                here.then_some(connection)
            }
            Ok(_) | Err(_) => None,
        }
    }

    fn learn(&self, members: impl Iterator<Item = KeeperId>) {
        let mut learnt = self.learnt.borrow_mut();
        learnt.extend(members);
        while learnt.len() > MAX_LEARNT {
            learnt.pop_first();
        }
    }
}
