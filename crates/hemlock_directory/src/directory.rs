//! Directory of the endpoints, held by the leading keeper.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hemlock_types::prelude::*;

use crate::message::{Announcement, DirectoryUpdate, EndpointState};

/// Largest number of removed endpoints that are remembered, so that entries are told of removals in
/// a delta.
const MAX_TOMBSTONES: usize = 4_096;
/// Time for which a displaced incarnation is rejected, in milliseconds.
const DISPLACED_RETENTION_MS: u64 = 60_000;

/// All live endpoints, by agent incarnation.
///
/// Every change increases the version. Versions are only comparable within a generation, which is
/// the term of the leader that holds the directory.
#[derive(Clone, Debug)]
pub struct Directory {
    generation: u64,
    version: u64,
    lease: DurationMs,
    endpoints: HashMap<Incarnation, Endpoint>,
    by_address: HashMap<SocketAddr, Incarnation>,
    changes: BTreeMap<u64, Incarnation>,
    tombstones: HashMap<Incarnation, u64>,
    tombstones_by_version: BTreeMap<u64, Incarnation>,
    oldest_delta_version: u64,
    displaced: HashMap<Incarnation, Instant>,
}

/// An endpoint and the time of its last announcement.
#[derive(Clone, Debug)]
struct Endpoint {
    announcement: Announcement,
    effective: EndpointState,
    renewed_at: Instant,
    version: u64,
    running: u16,
}

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The announcement is unchanged. The endpoint's lease was renewed.
    Renewed,
    /// The endpoint is new or has changed.
    Changed,
    /// A later incarnation has announced the same address, so this one is treated as dead.
    Displaced,
}

impl Directory {
    /// Creates an empty directory of a generation. An endpoint is removed if it is not renewed
    /// within `lease`.
    pub fn new(generation: u64, lease: DurationMs) -> Self {
        Self {
            generation,
            version: 0,
            lease,
            endpoints: HashMap::new(),
            by_address: HashMap::new(),
            changes: BTreeMap::new(),
            tombstones: HashMap::new(),
            tombstones_by_version: BTreeMap::new(),
            oldest_delta_version: 0,
            displaced: HashMap::new(),
        }
    }

    /// Generation and version of the directory.
    pub fn position(&self) -> (u64, u64) {
        (self.generation, self.version)
    }

    /// Time for which an announcement is valid without renewal.
    pub fn lease(&self) -> DurationMs {
        self.lease
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns all endpoints as the entries see them, with the number of tasks that each last
    /// reported as running.
    pub fn endpoints(&self) -> Vec<(Announcement, u16)> {
        let mut endpoints: Vec<_> = self
            .endpoints
            .values()
            .map(|endpoint| (endpoint.effective_announcement(), endpoint.running))
            .collect();
        endpoints.sort_by_key(|(announcement, _)| announcement.agent);
        endpoints
    }

    /// Handles an announcement. `stopped` is true if a planned stop covers the endpoint.
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
        if let Some(current) = self.endpoints.get_mut(&agent) {
            current.renewed_at = now;
            current.running = running;
            if current.announcement == *announcement && current.effective == effective {
                return AnnounceOutcome::Renewed;
            }
        }
        self.displace(now, announcement);
        self.upsert(now, announcement, running, effective);
        AnnounceOutcome::Changed
    }

    /// Removes the endpoint of another incarnation at the announced address.
    fn displace(&mut self, now: Instant, announcement: &Announcement) {
        let occupant = self.by_address.get(&announcement.address).copied();
        if let Some(earlier) = occupant.filter(|occupant| *occupant != announcement.agent) {
            self.displaced.insert(earlier, now);
            self.withdraw(earlier);
        }
    }

    fn upsert(
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
        if let Some(version) = self.tombstones.remove(&agent) {
            self.tombstones_by_version.remove(&version);
        }
        self.version += 1;
        self.changes.insert(self.version, agent);
        self.by_address.insert(announcement.address, agent);
        let endpoint = Endpoint {
            announcement: announcement.clone(),
            effective,
            renewed_at: now,
            version: self.version,
            running,
        };
        self.endpoints.insert(agent, endpoint);
    }

    /// Removes an endpoint. Returns whether it was present.
    pub fn withdraw(&mut self, agent: Incarnation) -> bool {
        let Some(endpoint) = self.endpoints.remove(&agent) else {
            return false;
        };
        self.changes.remove(&endpoint.version);
        self.by_address.remove(&endpoint.announcement.address);
        self.version += 1;
        self.tombstones.insert(agent, self.version);
        self.tombstones_by_version.insert(self.version, agent);
        self.trim_tombstones();
        true
    }

    fn trim_tombstones(&mut self) {
        while self.tombstones_by_version.len() > MAX_TOMBSTONES
            && let Some((version, agent)) = self.tombstones_by_version.pop_first()
        {
            self.tombstones.remove(&agent);
            self.oldest_delta_version = version;
        }
    }

    /// Removes all endpoints whose lease has expired, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Incarnation> {
        let lease = self.lease;
        let mut expired: Vec<Incarnation> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.renewed_at + lease <= now)
            .map(|(agent, _)| *agent)
            .collect();
        expired.sort_unstable();
        for agent in &expired {
            self.withdraw(*agent);
        }
        self.displaced
            .retain(|_, since| now.since(*since).as_ms() < DISPLACED_RETENTION_MS);
        expired
    }

    /// Updates the state of all endpoints to match the planned stops. Returns whether any has
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
                    (
                        announcement,
                        effective,
                        endpoint.renewed_at,
                        endpoint.running,
                    )
                })
            })
            .collect();
        for (announcement, effective, renewed_at, running) in &changed {
            self.upsert(*renewed_at, announcement, *running, *effective);
        }
        !changed.is_empty()
    }

    /// Returns the update from the given generation and version to the current one.
    pub fn update_since(&self, (generation, version): (u64, u64)) -> DirectoryUpdate {
        match version {
            _ if generation != self.generation => self.snapshot(),
            version if version > self.version || version < self.oldest_delta_version => {
                self.snapshot()
            }
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
            .map(Endpoint::effective_announcement)
            .collect();
        let gone = self
            .tombstones_by_version
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
    fn effective_announcement(&self) -> Announcement {
        let mut announcement = self.announcement.clone();
        announcement.state = self.effective;
        announcement
    }
}

fn effective_state(announcement: &Announcement, stopped: bool) -> EndpointState {
    match stopped {
        true => EndpointState::Draining,
        false => announcement.state,
    }
}
