//! The announcement of an agent's endpoint instance to the keepers.

use std::net::SocketAddr;

use hemlock_directory::prelude::*;
use hemlock_gate::prelude::*;
use hemlock_settings::prelude::*;
use hemlock_types::prelude::*;

/// The fields of an announcement that stay the same while the agent runs.
#[derive(Clone, Debug)]
pub(crate) struct AgentInfo {
    agent: Incarnation,
    address: SocketAddr,
    domain: FailureDomainName,
    rack: RackName,
    cores: u32,
    memory_mb: u64,
}

impl AgentInfo {
    /// Takes the fields from the settings. `address` is where entries reach the agent.
    pub(crate) fn new(settings: &AgentSettings, agent: Incarnation, address: SocketAddr) -> Self {
        Self {
            agent,
            address,
            domain: settings.domain.clone(),
            rack: settings.rack.clone(),
            cores: settings.cores,
            memory_mb: settings.memory_mb,
        }
    }

    /// Builds the announcement of the endpoint instance. Returns `None` if there is no instance or
    /// it has left.
    pub(crate) fn announcement(
        &self,
        offer: Option<&Offer>,
        phase: EndpointPhase,
    ) -> Option<Announcement> {
        let offer = offer.filter(|_| phase != EndpointPhase::Gone)?;
        let state = match phase {
            EndpointPhase::Serving => EndpointState::Serving,
            _ => EndpointState::Draining,
        };
        Some(Announcement {
            agent: self.agent,
            service: offer.service.clone(),
            slots: offer.capacity(),
            connections: offer.connections,
            address: self.address,
            domain: self.domain.clone(),
            rack: self.rack.clone(),
            cores: self.cores,
            memory_mb: self.memory_mb,
            state,
        })
    }
}

/// The state that the lane is to announce to the keepers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AnnouncedState {
    /// Announcement of the endpoint instance, if there is one.
    pub(crate) announcement: Option<Announcement>,
    /// Number of running tasks. If only this changes, it is announced with the next heartbeat.
    pub(crate) running: u16,
}
