//! What a keeper writes to its disk, and what it finds there when it starts.

use hemlock_types::ids::Incarnation;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::ids::{KeeperId, LogIndex, Term, WorkId};
use crate::snapshot::Snapshot;

/// The vote that a keeper must not forget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the keeper has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub voted_for: Option<KeeperId>,
}

/// A write to the log that one sync makes durable.
///
/// It is applied in this order: the log is cut before `truncate_from`, `entries` are appended, and
/// `hard_state` replaces the earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// The number of the last work that the batch contains.
    pub id: WorkId,
    /// The new vote, if it changed.
    pub hard_state: Option<HardState>,
    /// The first entry to drop, if any.
    pub truncate_from: Option<LogIndex>,
    /// The entries to append, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistBatch {
    /// Whether the batch changes nothing.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.truncate_from.is_none() && self.entries.is_empty()
    }

    /// Adds a later batch, so that both become durable by one sync.
    pub fn merge(&mut self, later: Self) {
        self.id = later.id;
        self.hard_state = later.hard_state.or(self.hard_state);
        if let Some(from) = later.truncate_from {
            self.entries.retain(|entry| entry.index < from);
            self.truncate_from = Some(self.truncate_from.map_or(from, |own| own.min(from)));
        }
        self.entries.extend(later.entries);
    }
}

/// One piece of work for the disk thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWork {
    /// Writes the vote and entries.
    Append(PersistBatch),
    /// Stores the keeper's own snapshot and drops the log that it stands in for.
    Compact {
        /// The work's number.
        id: WorkId,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Stores a snapshot from the leader and drops the whole log.
    Install {
        /// The work's number.
        id: WorkId,
        /// The snapshot.
        snapshot: Snapshot,
    },
}

impl DiskWork {
    /// The number of the last work contained.
    pub fn id(&self) -> WorkId {
        match self {
            Self::Append(batch) => batch.id,
            Self::Compact { id, .. } | Self::Install { id, .. } => *id,
        }
    }
}

/// What a keeper's disk holds when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredState {
    /// The life of the disk.
    pub incarnation: Incarnation,
    /// The last durable vote.
    pub hard_state: HardState,
    /// The last durable snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The durable entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// What a new disk holds.
    pub fn empty(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Whether the disk has never held a vote, an entry or a snapshot.
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }
}
