//! The directory of the leading keeper.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hemlock_types::prelude::*;

use crate::message::{Announcement, DirectoryUpdate, EndpointState};

/// Endpoints that are gone and remembered, so that entries learn of them by a delta.
const TOMBSTONES: usize = 4_096;
/// How long a displaced incarnation is refused, in milliseconds.
const DISPLACED_MS: u64 = 60_000;

/// Who offers which service, and where.
///
/// Versions grow with every change. They belong to a generation: the term of the leader that
/// keeps the directory.
#[derive(Clone, Debug)]
pub struct Directory {
    generation: u64,
    version: u64,
    lease: DurationMs,
    endpoints: HashMap<Incarnation, Endpoint>,
    by_address: HashMap<SocketAddr, Incarnation>,
    changes: BTreeMap<u64, Incarnation>,
    gone: HashMap<Incarnation, u64>,
    gone_order: BTreeMap<u64, Incarnation>,
    oldest_delta: u64,
    displaced: HashMap<Incarnation, Instant>,
}

/// One endpoint and when it was last heard of.
#[derive(Clone, Debug)]
struct Endpoint {
    announcement: Announcement,
    effective: EndpointState,
    renewed: Instant,
    version: u64,
    running: u16,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It is as it was; its lease is renewed.
    Renewed,
    /// The endpoint is new or has changed.
    Changed,
    /// A later incarnation has taken the endpoint's address; this one counts as dead.
    Displaced,
}

impl Directory {
    /// An empty directory of the given generation. An endpoint that isn't renewed for `lease` is
    /// taken as gone.
    pub fn new(generation: u64, lease: DurationMs) -> Self {
        Self {
            generation,
            version: 0,
            lease,
            endpoints: HashMap::new(),
            by_address: HashMap::new(),
            changes: BTreeMap::new(),
            gone: HashMap::new(),
            gone_order: BTreeMap::new(),
            oldest_delta: 0,
            displaced: HashMap::new(),
        }
    }

    /// Its generation and version.
    pub fn position(&self) -> (u64, u64) {
        (self.generation, self.version)
    }

    /// How long an announcement stands without renewal.
    pub fn lease(&self) -> DurationMs {
        self.lease
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Every endpoint as entries see it, with the tasks that it last reported as running.
    pub fn endpoints(&self) -> Vec<(Announcement, u16)> {
        let mut all: Vec<_> = self
            .endpoints
            .values()
            .map(|endpoint| (endpoint.as_seen(), endpoint.running))
            .collect();
        all.sort_by_key(|(announcement, _)| announcement.agent);
        all
    }

    /// Takes an announcement. `stopped` tells whether a planned stop covers the endpoint.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        running: u16,
        stopped: bool,
    ) -> AnnounceOutcome {
        let agent = announcement.agent;
        if self.displaced.contains_key(&agent) {
            return AnnounceOutcome::Displaced;
        }
        let effective = effective_state(announcement, stopped);
        if let Some(held) = self.endpoints.get_mut(&agent) {
            held.renewed = now;
            held.running = running;
            if held.announcement == *announcement && held.effective == effective {
                return AnnounceOutcome::Renewed;
            }
        }
        self.displace(now, announcement);
        self.put(now, announcement, running, effective);
        AnnounceOutcome::Changed
    }

    /// Drops the endpoint that another incarnation left at the announced address.
    fn displace(&mut self, now: Instant, announcement: &Announcement) {
        let holder = self.by_address.get(&announcement.address).copied();
        if let Some(earlier) = holder.filter(|holder| *holder != announcement.agent) {
            self.displaced.insert(earlier, now);
            self.withdraw(earlier);
        }
    }

    fn put(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        running: u16,
        effective: EndpointState,
    ) {
        let agent = announcement.agent;
        if let Some(earlier) = self.endpoints.remove(&agent) {
            self.changes.remove(&earlier.version);
            self.by_address.remove(&earlier.announcement.address);
        }
        if let Some(version) = self.gone.remove(&agent) {
            self.gone_order.remove(&version);
        }
        self.version += 1;
        self.changes.insert(self.version, agent);
        self.by_address.insert(announcement.address, agent);
        let endpoint = Endpoint {
            announcement: announcement.clone(),
            effective,
            renewed: now,
            version: self.version,
            running,
        };
        self.endpoints.insert(agent, endpoint);
    }

    /// Drops an endpoint, and tells whether it was there.
    pub fn withdraw(&mut self, agent: Incarnation) -> bool {
        let Some(endpoint) = self.endpoints.remove(&agent) else {
            return false;
        };
        self.changes.remove(&endpoint.version);
        self.by_address.remove(&endpoint.announcement.address);
        self.version += 1;
        self.gone.insert(agent, self.version);
        self.gone_order.insert(self.version, agent);
        self.trim_tombstones();
        true
    }

    fn trim_tombstones(&mut self) {
        while self.gone_order.len() > TOMBSTONES
            && let Some((version, agent)) = self.gone_order.pop_first()
        {
            self.gone.remove(&agent);
            self.oldest_delta = version;
        }
    }

    /// Drops every endpoint whose lease has run out, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Incarnation> {
        let lease = self.lease;
        let mut lost: Vec<Incarnation> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.renewed + lease <= now)
            .map(|(agent, _)| *agent)
            .collect();
        lost.sort_unstable();
        for agent in &lost {
            self.withdraw(*agent);
        }
        self.displaced
            .retain(|_, since| now.since(*since).as_ms() < DISPLACED_MS);
        lost
    }

    /// Brings every endpoint's state in line with the planned stops, and tells whether any
    /// changed.
    pub fn apply_stops(&mut self, is_stopped: impl Fn(&Announcement) -> bool) -> bool {
        let changed: Vec<(Announcement, EndpointState, Instant, u16)> = self
            .endpoints
            .values()
            .filter_map(|endpoint| {
                let stopped = is_stopped(&endpoint.announcement);
                let effective = effective_state(&endpoint.announcement, stopped);
                (effective != endpoint.effective).then(|| {
                    let announcement = endpoint.announcement.clone();
                    (announcement, effective, endpoint.renewed, endpoint.running)
                })
            })
            .collect();
        for (announcement, effective, renewed, running) in &changed {
            self.put(*renewed, announcement, *running, *effective);
        }
        !changed.is_empty()
    }

    /// What brings an entry from the generation and version that it holds to this directory's.
    pub fn update_since(&self, (generation, version): (u64, u64)) -> DirectoryUpdate {
        match version {
            _ if generation != self.generation => self.snapshot(),
            version if version > self.version || version < self.oldest_delta => self.snapshot(),
            version if version == self.version => DirectoryUpdate::Current,
            version => self.delta(version),
        }
    }

    fn delta(&self, from: u64) -> DirectoryUpdate {
        let newer = from + 1..;
        let changed = self
            .changes
            .range(newer.clone())
            .filter_map(|(_, agent)| self.endpoints.get(agent))
            .map(Endpoint::as_seen)
            .collect();
        let gone = self
            .gone_order
            .range(newer)
            .map(|(_, agent)| *agent)
            .collect();
        DirectoryUpdate::Delta {
            generation: self.generation,
            from,
            to: self.version,
            changed,
            gone,
        }
    }

    fn snapshot(&self) -> DirectoryUpdate {
        DirectoryUpdate::Snapshot {
            generation: self.generation,
            version: self.version,
            endpoints: self
                .endpoints()
                .into_iter()
                .map(|(announcement, _)| announcement)
                .collect(),
        }
    }
}

impl Endpoint {
    fn as_seen(&self) -> Announcement {
        let mut seen = self.announcement.clone();
        seen.state = self.effective;
        seen
    }
}

fn effective_state(announcement: &Announcement, stopped: bool) -> EndpointState {
    match stopped {
        true => EndpointState::Draining,
        false => announcement.state,
    }
}
