//! The part of the log that is held in memory.

use std::collections::VecDeque;

use crate::disk_work::PersistBatch;
use crate::entry::{Entry, Payload};
use crate::ids::{LogIndex, Term};
use crate::member::MemberSet;
use crate::snapshot::SnapshotHead;

/// The log after its base, with the keeper sets that it states.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Keeper sets by the entry that states them; the first stands at or before the base.
    members: VecDeque<(LogIndex, MemberSet)>,
    /// The first entry that was not handed to the disk yet.
    unsaved_from: LogIndex,
    /// Where the disk must cut its log before it appends.
    truncate_from: Option<LogIndex>,
}

impl Log {
    /// A log that begins after a snapshot and that the disk holds already.
    pub(crate) fn new(head: SnapshotHead, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: head.index,
            base_term: head.term,
            entries: VecDeque::new(),
            members: VecDeque::from([(head.index, head.members)]),
            unsaved_from: head.index.next(),
            truncate_from: None,
        };
        for entry in entries {
            log.append(entry);
        }
        log.unsaved_from = log.last_index().next();
        log
    }

    /// The entry before the first one held.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// The term of an entry, if it is the base or held.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        match index {
            index if index == self.base_index => Some(self.base_term),
            index => self.get(index).map(|entry| entry.term),
        }
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The keeper set that holds now: the latest stated one, committed or not.
    pub(crate) fn members(&self) -> &MemberSet {
        &self.latest_members().1
    }

    /// The entry that states the present keeper set.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.latest_members().0
    }

    /// The keeper set before the present one, if the log still states it.
    pub(crate) fn earlier_members(&self) -> Option<&MemberSet> {
        let position = self.members.len().checked_sub(2)?;
        self.members.get(position).map(|(_, set)| set)
    }

    fn latest_members(&self) -> &(LogIndex, MemberSet) {
        self.members
            .back()
            .expect("the set at the base is always held")
    }

    /// The keeper set at an entry, which must not lie before the base.
    pub(crate) fn members_at(&self, index: LogIndex) -> &MemberSet {
        self.members
            .iter()
            .rev()
            .find(|(stated_at, _)| *stated_at <= index)
            .map(|(_, set)| set)
            .expect("the set at the base is always held")
    }

    /// Whether a log with this end holds everything that a quorum may have committed here.
    pub(crate) fn is_covered_by(&self, last_term: Term, last_index: LogIndex) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
        assert!(entry.term >= self.last_term(), "terms never go back");
        if let Payload::Members(set) = &entry.payload {
            self.members.push_back((entry.index, set.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.base_index, "a snapshot is never cut");
        let keep = usize::try_from(from.since(self.base_index) - 1).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        while self.members_index() >= from {
            self.members.pop_back();
        }
        if from < self.unsaved_from {
            self.unsaved_from = from;
            self.truncate_from = Some(self.truncate_from.map_or(from, |own| own.min(from)));
        }
    }

    /// Entries from `from` on, one at least and no more than `max_bytes` otherwise, up to `up_to`.
    pub(crate) fn slice(&self, from: LogIndex, up_to: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while index <= up_to {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.size_bytes();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// Drops from memory all but the last entries before `index`.
    pub(crate) fn keep_behind(&mut self, index: LogIndex, max_entries: u64, max_bytes: usize) {
        let mut first_kept = index.next();
        let mut bytes = 0;
        while index.next().since(first_kept) < max_entries {
            let Some(entry) = self.get(first_kept.prev()) else {
                break;
            };
            bytes += entry.size_bytes();
            if bytes > max_bytes {
                break;
            }
            first_kept = entry.index;
        }
        self.drop_through(first_kept.prev());
    }

    /// Drops the entries up to `to` from memory.
    fn drop_through(&mut self, to: LogIndex) {
        let Some(term) = self.term_at(to) else { return };
        assert!(to < self.unsaved_from, "the disk has what memory drops");
        let count = usize::try_from(to.since(self.base_index)).unwrap_or(usize::MAX);
        self.entries.drain(..count);
        self.base_index = to;
        self.base_term = term;
        while self
            .members
            .get(1)
            .is_some_and(|(stated_at, _)| *stated_at <= to)
        {
            self.members.pop_front();
        }
    }

    /// Moves what the disk doesn't have yet into a batch.
    pub(crate) fn take_unsaved(&mut self, batch: &mut PersistBatch) {
        batch.truncate_from = self.truncate_from.take();
        let last = self.last_index();
        batch.entries = self.slice(self.unsaved_from, last, usize::MAX);
        self.unsaved_from = last.next();
    }
}
