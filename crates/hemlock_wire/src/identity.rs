//! Identities of a process, its peers and its connections.

use std::fmt;
use std::net::IpAddr;

use derive_more::Display;
use hemlock_types::prelude::*;

/// The secret that all processes of a cluster share. Its `Debug` output hides the secret.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl ClusterKey {
    /// Creates a key from the secret's bytes.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self(secret.into())
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterKey(hidden)")
    }
}

/// Identity of this process: the one that it sends to its peers, and the cluster that it belongs
/// to.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Role of the process.
    pub role: Role,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Keeper id; zero in other roles.
    pub id: u64,
    /// Name of the cluster. A peer with another name fails the handshake.
    pub cluster: String,
    /// The cluster's shared secret.
    pub key: ClusterKey,
    /// Address from which connections are opened; `None` leaves the choice to the system.
    pub source_ip: Option<IpAddr>,
}

/// Identifies a connection within a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The process at the other end of a connection, which has proved that it holds the cluster key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Role of the peer.
    pub role: Role,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Keeper id; zero in other roles.
    pub id: u64,
    /// The connection to the peer.
    pub connection: ConnectionId,
}

/// The number that stands for a role in the handshake.
pub(crate) fn role_number(role: Role) -> u8 {
    match role {
        Role::Keeper => 1,
        Role::Entry => 2,
        Role::Agent => 3,
        Role::Operator => 4,
    }
}

/// The role that a number stands for in the handshake; `None` if the number is unknown.
pub(crate) fn role_from_number(number: u8) -> Option<Role> {
    match number {
        1 => Some(Role::Keeper),
        2 => Some(Role::Entry),
        3 => Some(Role::Agent),
        4 => Some(Role::Operator),
        _ => None,
    }
}
