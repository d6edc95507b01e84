//! What an agent or a keeper asks of an entry, on the entry's own connections.

use serde::{Deserialize, Serialize};

/// A request to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// The agent grants slots that the entry has asked for.
    Grant {
        /// How many.
        slots: u16,
    },
    /// The agent asks for unused slots back: [`EntryReply::Returned`].
    Recall {
        /// How many at most.
        slots: u16,
    },
    /// The agent takes no new work from now on; grants are void.
    Leaving,
    /// Heartbeat.
    Ping,
}

/// An entry's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReply {
    /// Taken.
    Done,
    /// Slots given back.
    Returned {
        /// How many.
        slots: u16,
    },
}
