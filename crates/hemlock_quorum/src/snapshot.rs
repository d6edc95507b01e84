//! Snapshots of the state machine, which stand in for the log up to an index.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, Term};
use crate::member::MemberSet;

/// What a snapshot says besides the state itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// The last entry that the state contains.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The set of keepers at that entry.
    pub members: MemberSet,
}

/// The state machine's state after the entry at `head.index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Where the snapshot stands in the log.
    pub head: SnapshotHead,
    /// The state, in the state machine's own encoding.
    pub data: Bytes,
}
