//! Requests from an agent to an entry, over the connection that the entry has opened to the agent.

use serde::{Deserialize, Serialize};

/// A request to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// Grants slots that the entry has requested.
    Grant {
        /// Number of slots.
        slots: u16,
    },
    /// Requests the return of unused slots. The reply is [`EntryReply::Returned`].
    Recall {
        /// Maximum number of slots to return.
        slots: u16,
    },
    /// The agent accepts no new work from now on. Slots granted earlier are no longer valid.
    Leaving,
    /// Heartbeat.
    Ping,
}

/// A reply from an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryReply {
    /// The request was received.
    Done,
    /// Unused slots returned to the agent.
    Returned {
        /// Number of slots.
        slots: u16,
    },
}
