//! Data that a keeper writes to its disk and recovers from it at startup.

use hemlock_types::ids::Incarnation;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::ids::{KeeperId, LogIndex, Term, WorkId};
use crate::snapshot::Snapshot;

/// Term and vote that must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the keeper has seen.
    pub term: Term,
    /// The candidate that it voted for in that term.
    pub voted_for: Option<KeeperId>,
}

/// A write to the log that is made durable with one sync.
///
/// It is applied in this order: the log is truncated from `truncate_from` on, `entries` are
/// appended, and `hard_state` replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Id of the last work contained in the batch.
    pub id: WorkId,
    /// The new term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// First entry to remove, if any.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistBatch {
    /// Whether the batch contains no changes.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.truncate_from.is_none() && self.entries.is_empty()
    }

    /// Merges a later batch into this one, so that both become durable with one sync.
    pub fn merge(&mut self, later: Self) {
        self.id = later.id;
        self.hard_state = later.hard_state.or(self.hard_state);
        if let Some(from) = later.truncate_from {
            self.entries.retain(|entry| entry.index < from);
            self.truncate_from = Some(
                self.truncate_from
                    .map_or(from, |previous| previous.min(from)),
            );
        }
        self.entries.extend(later.entries);
    }
}

/// A unit of work for the disk thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWork {
    /// Writes term, vote and entries.
    Append(PersistBatch),
    /// Stores a snapshot taken by this keeper and removes the log entries that it covers.
    Compact {
        /// Id of the work.
        id: WorkId,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Stores a snapshot received from the leader and removes the whole log.
    Install {
        /// Id of the work.
        id: WorkId,
        /// The snapshot.
        snapshot: Snapshot,
    },
}

impl DiskWork {
    /// Id of the last work contained.
    pub fn id(&self) -> WorkId {
        match self {
            Self::Append(batch) => batch.id,
            Self::Compact { id, .. } | Self::Install { id, .. } => *id,
        }
    }
}

/// State recovered from a keeper's disk at startup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredState {
    /// Incarnation of the disk.
    pub incarnation: Incarnation,
    /// Last durable term and vote.
    pub hard_state: HardState,
    /// Last durable snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Durable entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// The state of a new disk.
    pub fn empty(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Whether the disk has never stored a term, a vote, an entry or a snapshot.
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }
}
