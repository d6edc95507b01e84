//! Announcements from agents, and directory updates for entries.

use std::net::SocketAddr;

use derive_more::Display;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Announcement of an endpoint instance by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Incarnation of the agent, which identifies the endpoint instance.
    pub agent: Incarnation,
    /// The service that the endpoint offers.
    pub service: ServiceName,
    /// Largest number of tasks that it runs at the same time.
    pub slots: u16,
    /// Largest number of connections that it accepts at the same time.
    pub connections: u16,
    /// Address at which entries connect to the agent.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: FailureDomainName,
    /// Rack of the endpoint.
    pub rack: RackName,
    /// Number of cores of its worker, the most that one task may request.
    pub cores: u32,
    /// Memory of its worker in megabytes, the most that one task may request.
    pub memory_mb: u64,
    /// Whether the endpoint accepts new tasks.
    pub state: EndpointState,
}

/// Whether an endpoint accepts new tasks.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new tasks.
    #[display("serving")]
    Serving,
    /// Finishes its running tasks and accepts no new ones.
    #[display("draining")]
    Draining,
}

/// Update of an entry's copy of the directory to the keeper's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// The copy is up to date.
    Current,
    /// Changes after version `from`, within one generation.
    Delta {
        /// Term of the leader that holds the directory.
        generation: u64,
        /// Version of the entry's copy before the update.
        from: u64,
        /// Version of the copy after the update.
        to: u64,
        /// New and changed endpoints.
        changed: Vec<Announcement>,
        /// Removed endpoints.
        gone: Vec<Incarnation>,
    },
    /// The whole directory, which replaces the copy.
    Snapshot {
        /// Term of the leader that holds the directory.
        generation: u64,
        /// Version of the directory.
        version: u64,
        /// All endpoints.
        endpoints: Vec<Announcement>,
    },
}
