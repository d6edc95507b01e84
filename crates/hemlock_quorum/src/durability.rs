//! Tracks which log entries and writes are durable.

use std::collections::VecDeque;

use crate::ids::{LogIndex, WorkId};

/// Tracks completed disk work and the durable part of the current log.
#[derive(Debug)]
pub(crate) struct DurabilityTracker {
    index: LogIndex,
    synced: WorkId,
    last_assigned: WorkId,
    /// Disk work in progress, with the last log entry that is on disk once the work completes.
    pending: VecDeque<(WorkId, LogIndex)>,
}

impl DurabilityTracker {
    /// Creates a tracker for a disk that holds the log up to `index`.
    pub(crate) fn new(index: LogIndex) -> Self {
        Self {
            index,
            synced: WorkId::default(),
            last_assigned: WorkId::default(),
            pending: VecDeque::new(),
        }
    }

    /// Index of the last durable entry of the current log.
    pub(crate) fn index(&self) -> LogIndex {
        self.index
    }

    /// Whether the work has completed.
    pub(crate) fn is_synced(&self, work: WorkId) -> bool {
        work <= self.synced
    }

    /// The id that will be assigned next.
    pub(crate) fn next_work(&self) -> WorkId {
        self.last_assigned.next()
    }

    /// Assigns an id to new work that makes the log durable up to `last`.
    pub(crate) fn assign_id(&mut self, last: LogIndex) -> WorkId {
        self.last_assigned = self.next_work();
        self.pending.push_back((self.last_assigned, last));
        self.last_assigned
    }

    /// Records that the log was truncated: entries on disk from `from` on no longer count as
    /// durable.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let kept = from.prev();
        self.index = self.index.min(kept);
        for (_, last) in &mut self.pending {
            *last = (*last).min(kept);
        }
    }

    /// Records that all work up to `up_to` has completed.
    pub(crate) fn advance(&mut self, up_to: WorkId) {
        assert!(
            up_to <= self.last_assigned,
            "the disk completed work that was never assigned"
        );
        self.synced = self.synced.max(up_to);
        while let Some((work, last)) = self.pending.front().copied() {
            if work > up_to {
                break;
            }
            self.index = self.index.max(last);
            self.pending.pop_front();
        }
    }
}
