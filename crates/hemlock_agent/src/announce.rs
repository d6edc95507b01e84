//! What an agent tells the keepers of its endpoint instance.

use std::net::SocketAddr;

use hemlock_directory::prelude::*;
use hemlock_gate::prelude::*;
use hemlock_settings::prelude::*;
use hemlock_types::prelude::*;

/// The part of an announcement that never changes in the life of an agent.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    agent: Incarnation,
    address: SocketAddr,
    domain: FailureDomainName,
    rack: RackName,
    cores: u32,
    memory_mb: u64,
}

impl Place {
    /// The place of the agent with these settings, which entries reach at `address`.
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

    /// The announcement of what the endpoint instance offers; `None` when there is none or
    /// it is gone.
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

/// What the thread of the connections is to announce.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Announced {
    /// The endpoint instance, while there is one.
    pub(crate) announcement: Option<Announcement>,
    /// Tasks running; a change of it alone is announced with the next heartbeat.
    pub(crate) running: u16,
}
