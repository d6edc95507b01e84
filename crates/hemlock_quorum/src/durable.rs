//! Keeps account of what the disk has made durable.

use std::collections::VecDeque;

use crate::ids::{LogIndex, WorkId};

/// Which work is durable, and up to where the present log is.
#[derive(Debug)]
pub(crate) struct Durable {
    index: LogIndex,
    synced: WorkId,
    handed_out: WorkId,
    /// Where the present log ends on disk once the work is done.
    pending: VecDeque<(WorkId, LogIndex)>,
}

impl Durable {
    /// An account of a disk that holds the log up to `index`.
    pub(crate) fn new(index: LogIndex) -> Self {
        Self {
            index,
            synced: WorkId::default(),
            handed_out: WorkId::default(),
            pending: VecDeque::new(),
        }
    }

    /// The last entry of the present log that is durable.
    pub(crate) fn index(&self) -> LogIndex {
        self.index
    }

    /// Whether the work is durable.
    pub(crate) fn is_synced(&self, work: WorkId) -> bool {
        work <= self.synced
    }

    /// The number that the next work will have.
    pub(crate) fn next_work(&self) -> WorkId {
        self.handed_out.next()
    }

    /// Numbers new work, after which the disk holds the present log up to `last`.
    pub(crate) fn hand_out(&mut self, last: LogIndex) -> WorkId {
        self.handed_out = self.next_work();
        self.pending.push_back((self.handed_out, last));
        self.handed_out
    }

    /// The present log was cut: what the disk holds from `from` on is not part of it.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let kept = from.prev();
        self.index = self.index.min(kept);
        for (_, last) in &mut self.pending {
            *last = (*last).min(kept);
        }
    }

    /// All work up to `up_to` is durable.
    pub(crate) fn advance(&mut self, up_to: WorkId) {
        assert!(
            up_to <= self.handed_out,
            "the disk did work that nobody gave it"
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
