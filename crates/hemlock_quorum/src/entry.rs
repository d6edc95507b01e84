//! Entries of the replicated log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, Term};
use crate::member::MemberSet;

/// Estimated size of an entry's metadata in memory and on disk.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader appends such an entry to commit the entries before it.
    Noop,
    /// A command for the state machine.
    Command(Bytes),
    /// The member set that applies from this entry on.
    Members(MemberSet),
}

impl Payload {
    /// Approximate size of the payload, in bytes.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Command(command) => command.len(),
            Self::Members(members) => members.iter().count() * ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of the entry, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.payload.size_bytes() + ENTRY_OVERHEAD_BYTES
    }

    /// The command, if the entry contains one.
    pub fn command(&self) -> Option<&Bytes> {
        match &self.payload {
            Payload::Command(command) => Some(command),
            Payload::Noop | Payload::Members(_) => None,
        }
    }
}
