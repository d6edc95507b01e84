//! Leader discovery, and the single connection to the leader.

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

use crate::address::{keeper_address, peer_address};
use crate::connect_timeouts::ConnectTimeouts;
use crate::message::{Reply, Request};

/// Longest wait for the answer to [`Request::WhoLeads`].
const WHO_LEADS_TIMEOUT: DurationMs = DurationMs::new(700);
/// Pause between two polls of a keeper; short compared with an election.
const POLL_INTERVAL: DurationMs = DurationMs::new(30);
/// Time between two reads of the seeds from the settings while no leader is found.
const SEEDS_REFRESH_INTERVAL: DurationMs = DurationMs::new(500);
/// Most keepers that are kept besides the seeds.
const MAX_DISCOVERED: usize = 16;

/// Reads the addresses of possible keepers from the current settings.
pub(crate) type Seeds = Rc<dyn Fn() -> Vec<SocketAddr>>;

/// Finds the leader and holds the connection to it.
pub(crate) struct Connector {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    seeds: Seeds,
    discovered: RefCell<BTreeSet<KeeperId>>,
    leader: watch::Sender<Option<Link>>,
}

impl Connector {
    pub(crate) fn new(identity: Rc<Identity>, service: Rc<dyn Service>, seeds: Seeds) -> Self {
        Self {
            identity,
            service,
            seeds,
            discovered: RefCell::default(),
            leader: watch::Sender::new(None),
        }
    }

    /// Returns the open connection to the leader, if there is one.
    pub(crate) fn leader(&self) -> Option<Link> {
        let link = self.leader.borrow().clone();
        link.filter(|link| !link.is_closed())
    }

    /// Waits for a connection to the leader.
    pub(crate) async fn wait_for_leader(&self) -> Link {
        let mut changes = self.leader.subscribe();
        loop {
            if let Some(link) = self.leader() {
                return link;
            }
            // The sender lives as long as `self`, so `changed` can't fail.
            let _ = changes.changed().await;
        }
    }

    /// Waits until `link` is no longer the connection to the leader.
    pub(crate) async fn wait_until_discarded(&self, link: &Link) {
        let mut changes = self.leader.subscribe();
        while self
            .leader()
            .is_some_and(|leader| leader.is_same_connection(link))
        {
            // The sender lives as long as `self`, so `changed` can't fail.
            let _ = changes.changed().await;
        }
    }

    /// Forgets the connection to the leader if it is still `link`.
    pub(crate) fn discard(&self, link: &Link) {
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

    /// Finds the leader and returns the connection to it, which closes when dropped.
    ///
    /// Polls all known keepers concurrently, so that a keeper that is down causes no delay.
    pub(crate) async fn connect(&self) -> Connection {
        let mut polled = BTreeSet::new();
        let mut polls = FuturesUnordered::new();
        let mut seeds_read: Option<RuntimeInstant> = None;
        loop {
            let now = RuntimeInstant::now();
            let mut addresses = self.discovered_addresses();
            if seeds_read.is_none_or(|read| now >= read + SEEDS_REFRESH_INTERVAL.as_std()) {
                addresses.extend((self.seeds)());
                seeds_read = Some(now);
            }
            let new_addresses = addresses
                .into_iter()
                .filter(|address| polled.insert(*address));
            polls.extend(new_addresses.map(|address| self.poll_until_leader(address)));
            tokio::select! {
                Some(connection) = polls.next() => {
                    self.leader.send_replace(Some(connection.link.clone()));
                    return connection;
                }
                () = tokio::time::sleep(POLL_INTERVAL.as_std()) => {}
            }
        }
    }

    /// Polls one keeper until it leads, and returns the connection to it.
    async fn poll_until_leader(&self, address: SocketAddr) -> Connection {
        let mut timeouts = ConnectTimeouts::default();
        loop {
            let identity = Rc::clone(&self.identity);
            let service = Rc::clone(&self.service);
            // An unreachable keeper is handled like one that doesn't lead.
            match connect(address, identity, service, timeouts.next_timeout()).await {
                Ok(connection) if self.becomes_leader(&connection.link).await => return connection,
                Ok(_) | Err(_) => tokio::time::sleep(POLL_INTERVAL.as_std()).await,
            }
        }
    }

    /// Polls a keeper over one connection until it leads. Returns false when an answer is missing
    /// or unexpected.
    async fn becomes_leader(&self, link: &Link) -> bool {
        loop {
            let answer = link.call::<_, Reply>(&Request::WhoLeads);
            let answer = tokio::time::timeout(WHO_LEADS_TIMEOUT.as_std(), answer).await;
            let Ok(Ok(Reply::Leads {
                here,
                members,
                leader,
            })) = answer
            else {
                return false;
            };
            self.add_discovered(members.into_iter().chain(leader));
            if here {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL.as_std()).await;
        }
    }

    fn discovered_addresses(&self) -> BTreeSet<SocketAddr> {
        let discovered = self.discovered.borrow();
        discovered.iter().map(|id| keeper_address(*id)).collect()
    }

    fn add_discovered(&self, members: impl Iterator<Item = KeeperId>) {
        let mut discovered = self.discovered.borrow_mut();
        discovered.extend(members.filter(|id| peer_address(*id).is_some()));
        while discovered.len() > MAX_DISCOVERED {
            discovered.pop_first();
        }
    }
}
