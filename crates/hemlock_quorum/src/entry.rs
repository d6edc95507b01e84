//! Entries of the replicated log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, Term};
use crate::member::MemberSet;

/// Bytes that an entry takes in memory and on disk besides its command.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry, which commits what came before it.
    Noop,
    /// A command for the state machine.
    Command(Bytes),
    /// The set of keepers from this entry on.
    Members(MemberSet),
}

impl Payload {
    /// Roughly the bytes that the payload takes.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Command(command) => command.len(),
            Self::Members(members) => members.iter().count() * ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// One position of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that made the entry.
    pub term: Term,
    /// The entry's position.
    pub index: LogIndex,
    /// What the entry carries.
    pub payload: Payload,
}

impl Entry {
    /// Roughly the bytes that the entry takes.
    pub fn size_bytes(&self) -> usize {
        self.payload.size_bytes() + ENTRY_OVERHEAD_BYTES
    }

    /// The command, if the entry carries one.
    pub fn command(&self) -> Option<&Bytes> {
        match &self.payload {
            Payload::Command(command) => Some(command),
            Payload::Noop | Payload::Members(_) => None,
        }
    }
}
