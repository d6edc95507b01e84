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
use tokio::time::Instant as RuntimeInstant;

use crate::address::keeper_address;
use crate::connect_timeouts::ConnectTimeouts;
use crate::message::{Reply, Request};

/// Time to hear who leads.
const ASK_TIMEOUT: DurationMs = DurationMs::new(700);
/// Pause before a keeper is asked again: little against the time that an election takes.
const ASK_PAUSE: DurationMs = DurationMs::new(30);
/// Time between two readings of the settings while no leader is found.
const SEEDS_PERIOD: DurationMs = DurationMs::new(500);
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
        while self
            .leader()
            .is_some_and(|leader| leader.is_same_connection(link))
        {
            // The sender lives as long as this value.
            let _ = changes.changed().await;
        }
    }

    /// Drops the connection, if it is still this one.
    pub(crate) fn give_up(&self, link: &Link) {
        self.leader.send_if_modified(|current| {
            let same = current
                .as_ref()
                .is_some_and(|current| current.is_same_connection(link));
            if same {
                *current = None;
            }
            same
        });
    }

    /// Finds the leader and returns the connection, which ends when it is dropped.
    ///
    /// All known keepers are asked side by side, so that one that is down holds up nothing.
    pub(crate) async fn connect(&self) -> Connection {
        let mut asked = BTreeSet::new();
        let mut asking = FuturesUnordered::new();
        let mut seeds_read: Option<RuntimeInstant> = None;
        loop {
            let now = RuntimeInstant::now();
            let mut addresses = self.learnt_addresses();
            if seeds_read.is_none_or(|read| now >= read + SEEDS_PERIOD.as_std()) {
                addresses.extend((self.seeds)());
                seeds_read = Some(now);
            }
            let unasked = addresses
                .into_iter()
                .filter(|address| asked.insert(*address));
            asking.extend(unasked.map(|address| self.ask_until_leading(address)));
            tokio::select! {
                Some(connection) = asking.next() => {
                    self.leader.send_replace(Some(connection.link.clone()));
                    return connection;
                }
                () = tokio::time::sleep(ASK_PAUSE.as_std()) => {}
            }
        }
    }

    /// Asks one keeper until it leads.
    async fn ask_until_leading(&self, address: SocketAddr) -> Connection {
        let mut timeouts = ConnectTimeouts::default();
        loop {
            let identity = Rc::clone(&self.identity);
            let service = Rc::clone(&self.service);
            // A keeper that can't be reached is as good as one that doesn't lead.
            match connect(address, identity, service, timeouts.next_timeout()).await {
                Ok(connection) if self.leads_at_last(&connection.link).await => return connection,
                Ok(_) | Err(_) => tokio::time::sleep(ASK_PAUSE.as_std()).await,
            }
        }
    }

    /// Asks over one connection whether the keeper leads, until it does; false once it doesn't
    /// answer.
    async fn leads_at_last(&self, link: &Link) -> bool {
        loop {
            let answer = link.call::<_, Reply>(&Request::WhoLeads);
            let answer = tokio::time::timeout(ASK_TIMEOUT.as_std(), answer).await;
            let Ok(Ok(Reply::Leads {
                here,
                members,
                leader,
            })) = answer
            else {
                return false;
            };
            self.learn(members.into_iter().chain(leader));
            if here {
                return true;
            }
            tokio::time::sleep(ASK_PAUSE.as_std()).await;
        }
    }

    fn learnt_addresses(&self) -> BTreeSet<SocketAddr> {
        let learnt = self.learnt.borrow();
        learnt.iter().map(|id| keeper_address(*id)).collect()
    }

    fn learn(&self, members: impl Iterator<Item = KeeperId>) {
        let mut learnt = self.learnt.borrow_mut();
        learnt.extend(members);
        while learnt.len() > MAX_LEARNT {
            learnt.pop_first();
        }
    }
}
