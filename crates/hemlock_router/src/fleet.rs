//! The endpoints that this entry knows from the directory.

use std::collections::HashMap;

use hemlock_directory::prelude::*;
use hemlock_types::prelude::*;

use crate::arena::{Arena, Key};
use crate::health::Health;
use crate::queue::ServiceKey;
use crate::start_table::StartKey;

/// Identifies an endpoint in the router.
pub type EndpointKey = Key<Endpoint>;

/// Number of heartbeats missed in a row after which an endpoint gets no new work.
const SUSPECT_AFTER_MISSED_PINGS: u8 = 3;

/// Index of a rack in the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RackKey(pub u32);

/// One endpoint as this entry sees it.
#[derive(Debug)]
pub struct Endpoint {
    /// Its agent's announcement.
    pub announcement: Announcement,
    /// Its service.
    pub service: ServiceKey,
    /// Its rack.
    pub rack: RackKey,
    /// It is in this entry's failure domain.
    pub is_local: bool,
    /// The entry is connected to its agent.
    pub connected: bool,
    /// The directory lists it.
    pub listed: bool,
    /// It accepts no new work because its agent drains or the directory removed it.
    pub leaving: bool,
    /// Number of heartbeats missed in a row.
    pub missed_pings: u8,
    /// Time until which it gets no work, after it refused or lost a start; zero when there is no
    /// such pause.
    pub paused_until: Instant,
    /// Its health, for outlier ejection.
    pub health: Health,
    /// Slots that its agent has granted: the number of starts that it has promised to accept.
    pub credits: u16,
    /// Starts that this entry has in flight there.
    pub in_flight: u16,
    /// Slots that this entry has requested and not yet been granted.
    pub wanted: u16,
    /// Lost starts of submissions, to be sent there again once the connection is restored.
    pub lost_starts: Vec<StartKey>,
}

impl Endpoint {
    /// Whether its agent can be reached and takes new work.
    pub fn is_reachable(&self) -> bool {
        self.connected && !self.leaving && self.missed_pings < SUSPECT_AFTER_MISSED_PINGS
    }

    /// Whether it gets work without restriction.
    pub fn is_open(&self) -> bool {
        self.is_reachable() && self.health.is_healthy() && self.paused_until == Instant::ZERO
    }

    /// Whether its worker has the cores and memory for one task.
    pub fn fits(&self, cores: u32, memory_mb: u64) -> bool {
        cores <= self.announcement.cores && memory_mb <= self.announcement.memory_mb
    }
}

/// A change made by a directory update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// An endpoint was added.
    Added(EndpointKey),
    /// An endpoint's announcement changed.
    Changed(EndpointKey),
    /// The directory no longer lists an endpoint.
    Unlisted(EndpointKey),
}

/// Table of endpoints, indexed by key, by agent and by service.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: Arena<Endpoint>,
    by_agent: HashMap<Incarnation, EndpointKey>,
    services: HashMap<ServiceName, ServiceKey>,
    by_service: Vec<Vec<EndpointKey>>,
    racks: HashMap<(FailureDomainName, RackName), RackKey>,
    position: (u64, u64),
}

impl Fleet {
    /// Generation and version of the directory that was applied last.
    pub fn position(&self) -> (u64, u64) {
        self.position
    }

    /// The key of a service, created on its first use.
    pub fn intern_service(&mut self, service: &ServiceName) -> ServiceKey {
        if let Some(key) = self.services.get(service) {
            return *key;
        }
        let key = ServiceKey(self.by_service.len() as u32);
        self.by_service.push(Vec::new());
        self.services.insert(service.clone(), key);
        key
    }

    /// Number of services known.
    pub fn service_count(&self) -> usize {
        self.by_service.len()
    }

    /// The endpoints of a service.
    pub fn of_service(&self, service: ServiceKey) -> &[EndpointKey] {
        &self.by_service[service.0 as usize]
    }

    /// The endpoint of an agent.
    pub fn find(&self, agent: Incarnation) -> Option<EndpointKey> {
        self.by_agent.get(&agent).copied()
    }

    /// An endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Mutable access to an endpoint.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Applies a directory update. Ignores changes that don't follow the position held: the next
    /// report requests the missing changes again.
    pub fn update(
        &mut self,
        update: &DirectoryUpdate,
        own_domain: &FailureDomainName,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        match update {
            DirectoryUpdate::Current => {}
            DirectoryUpdate::Delta {
                generation,
                from,
                to,
                changed,
                gone,
            } if (*generation, *from) == self.position => {
                changes.extend(
                    changed
                        .iter()
                        .map(|endpoint| self.upsert(endpoint, own_domain)),
                );
                changes.extend(gone.iter().filter_map(|agent| self.unlist(*agent)));
                self.position = (*generation, *to);
            }
            DirectoryUpdate::Delta { .. } => {}
            DirectoryUpdate::Snapshot {
                generation,
                version,
                endpoints,
            } => {
                changes.extend(
                    endpoints
                        .iter()
                        .map(|endpoint| self.upsert(endpoint, own_domain)),
                );
                changes.extend(self.unlist_all_but(endpoints));
                self.position = (*generation, *version);
            }
        }
        changes
    }

    fn upsert(
        &mut self,
        announcement: &Announcement,
        own_domain: &FailureDomainName,
    ) -> FleetChange {
        let leaving = announcement.state == EndpointState::Draining;
        if let Some(key) = self.find(announcement.agent) {
            if let Some(endpoint) = self.endpoints.get_mut(key) {
                endpoint.announcement = announcement.clone();
                endpoint.listed = true;
                endpoint.leaving = leaving;
            }
            return FleetChange::Changed(key);
        }
        let service = self.intern_service(&announcement.service);
        let rack = self.intern_rack(announcement);
        let key = self.endpoints.insert(Endpoint {
            announcement: announcement.clone(),
            service,
            rack,
            is_local: announcement.domain == *own_domain,
            connected: false,
            listed: true,
            leaving,
            missed_pings: 0,
            paused_until: Instant::ZERO,
            health: Health::default(),
            credits: 0,
            in_flight: 0,
            wanted: 0,
            lost_starts: Vec::new(),
        });
        self.by_agent.insert(announcement.agent, key);
        self.by_service[service.0 as usize].push(key);
        FleetChange::Added(key)
    }

    fn intern_rack(&mut self, announcement: &Announcement) -> RackKey {
        let next = RackKey(self.racks.len() as u32);
        let name = (announcement.domain.clone(), announcement.rack.clone());
        *self.racks.entry(name).or_insert(next)
    }

    fn unlist(&mut self, agent: Incarnation) -> Option<FleetChange> {
        let key = self.find(agent)?;
        let endpoint = self.endpoints.get_mut(key)?;
        endpoint.listed = false;
        endpoint.leaving = true;
        Some(FleetChange::Unlisted(key))
    }

    /// Marks endpoints that a directory snapshot doesn't list. They stay in use while they are
    /// connected: a keeper that has just become the leader has not heard from every agent yet.
    fn unlist_all_but(&mut self, listed: &[Announcement]) -> Vec<FleetChange> {
        let listed: std::collections::HashSet<_> = listed.iter().map(|a| a.agent).collect();
        let mut changes = Vec::new();
        for (agent, key) in &self.by_agent {
            match self.endpoints.get_mut(*key) {
                Some(endpoint) if endpoint.listed && !listed.contains(agent) => {
                    endpoint.listed = false;
                    changes.push(FleetChange::Unlisted(*key));
                }
                Some(_) | None => {}
            }
        }
        changes
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(key)?;
        self.by_agent.remove(&endpoint.announcement.agent);
        self.by_service[endpoint.service.0 as usize].retain(|other| *other != key);
        Some(endpoint)
    }
}
