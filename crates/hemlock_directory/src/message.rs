//! What agents announce, and how entries learn of it.

use std::net::SocketAddr;

use derive_more::Display;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One endpoint instance, as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The agent's incarnation; it names the endpoint instance in the whole system.
    pub agent: Incarnation,
    /// The service it offers.
    pub service: ServiceName,
    /// How many tasks it runs at once.
    pub slots: u16,
    /// How many connections it takes at once.
    pub connections: u16,
    /// Where entries reach the agent.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomainName,
    /// Its rack.
    pub rack: RackName,
    /// Cores of its worker, the most that one task may ask for.
    pub cores: u32,
    /// Memory of its worker in megabytes, the most that one task may ask for.
    pub memory_mb: u64,
    /// Whether it takes new work.
    pub state: EndpointState,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    #[display("serving")]
    Serving,
    /// It finishes what it has and takes nothing new.
    #[display("draining")]
    Draining,
}

/// What brings an entry from the directory version it holds to the keeper's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryUpdate {
    /// The entry is up to date.
    Current,
    /// Changes after version `from` of the same generation.
    Delta {
        /// The term of the leader that numbers the versions.
        generation: u64,
        /// Version that the entry holds.
        from: u64,
        /// Version that it holds afterwards.
        to: u64,
        /// Endpoints that are new or changed.
        changed: Vec<Announcement>,
        /// Endpoints that are gone.
        gone: Vec<Incarnation>,
    },
    /// The whole directory; replaces everything held.
    Snapshot {
        /// The term of the leader that numbers the versions.
        generation: u64,
        /// Version of the snapshot.
        version: u64,
        /// Every endpoint.
        endpoints: Vec<Announcement>,
    },
}
