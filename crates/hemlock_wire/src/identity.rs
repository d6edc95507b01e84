//! Who a process is, and who its peer is.

use std::fmt;

use derive_more::Display;
use hemlock_types::prelude::*;

/// The secret that every process of a cluster shares. It never appears in output.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl ClusterKey {
    /// Wraps the secret.
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

/// How a process introduces itself on its connections.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its role.
    pub role: Role,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its keeper id; zero in other roles.
    pub id: u64,
    /// Name of its cluster.
    pub cluster: String,
    /// The cluster's shared secret.
    pub key: ClusterKey,
}

/// Names a connection within a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The process at the other end of a connection, after it has proved the cluster key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its role.
    pub role: Role,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its keeper id; zero in other roles.
    pub id: u64,
    /// This connection.
    pub connection: ConnectionId,
}

/// The number of a role in the handshake.
pub(crate) fn role_number(role: Role) -> u8 {
    match role {
        Role::Keeper => 1,
        Role::Entry => 2,
        Role::Agent => 3,
    }
}

/// The role of a number in the handshake.
pub(crate) fn role_from_number(number: u8) -> Option<Role> {
    match number {
        1 => Some(Role::Keeper),
        2 => Some(Role::Entry),
        3 => Some(Role::Agent),
        _ => None,
    }
}
