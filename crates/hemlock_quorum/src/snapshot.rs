//! Snapshots of the state machine, which replace the log up to an index.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, Term};
use crate::member::MemberSet;

/// Header of a snapshot: its position in the log, and the member set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// Index of the last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Member set at that entry.
    pub members: MemberSet,
}

/// State of the state machine after the entry at `head.index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position in the log and member set.
    pub head: SnapshotHeader,
    /// The state, in the state machine's own encoding.
    pub data: Bytes,
}
