//! In-memory part of the replicated log.

use std::collections::VecDeque;

use crate::disk_work::PersistBatch;
use crate::entry::{Entry, Payload};
use crate::ids::{LogIndex, Term};
use crate::member::MemberSet;
use crate::snapshot::SnapshotHeader;

/// Log entries after a base index, and the member sets that they define.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Member sets with the index of the entry that defines each. The first one is at or before the
    /// base.
    member_sets: VecDeque<(LogIndex, MemberSet)>,
    /// First entry that was not passed to the disk yet.
    unsaved_from: LogIndex,
    /// Index from which the disk must truncate its log before it appends.
    truncate_from: Option<LogIndex>,
}

impl Log {
    /// Creates a log that starts after a snapshot and is already on disk.
    pub(crate) fn new(head: SnapshotHeader, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: head.index,
            base_term: head.term,
            entries: VecDeque::new(),
            member_sets: VecDeque::from([(head.index, head.members)]),
            unsaved_from: head.index.next(),
            truncate_from: None,
        };
        for entry in entries {
            log.append(entry);
        }
        log.unsaved_from = log.last_index().next();
        log
    }

    /// Index of the entry before the first one in memory.
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

    /// Term of an entry, if it is the base or in memory.
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

    /// The current member set: the latest one in the log, committed or not.
    pub(crate) fn members(&self) -> &MemberSet {
        &self.latest_members().1
    }

    /// Index of the entry that defines the current member set.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.latest_members().0
    }

    /// The member set before the current one, if it is in memory.
    pub(crate) fn previous_members(&self) -> Option<&MemberSet> {
        let position = self.member_sets.len().checked_sub(2)?;
        self.member_sets.get(position).map(|(_, set)| set)
    }

    fn latest_members(&self) -> &(LogIndex, MemberSet) {
        self.member_sets
            .back()
            .expect("the member set at the base is always kept")
    }

    /// The member set that applied at `index`, which must not be before the base.
    pub(crate) fn members_at(&self, index: LogIndex) -> &MemberSet {
        self.member_sets
            .iter()
            .rev()
            .find(|(entry_index, _)| *entry_index <= index)
            .map(|(_, set)| set)
            .expect("the member set at the base is always kept")
    }

    /// Whether a candidate whose log ends at this entry has every entry that a quorum may have
    /// committed.
    pub(crate) fn is_candidate_up_to_date(&self, last_term: Term, last_index: LogIndex) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
        assert!(entry.term >= self.last_term(), "terms never decrease");
        if let Payload::Members(set) = &entry.payload {
            self.member_sets.push_back((entry.index, set.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        assert!(
            from > self.base_index,
            "entries covered by a snapshot are never truncated"
        );
        let keep = usize::try_from(from.since(self.base_index) - 1).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        while self.members_index() >= from {
            self.member_sets.pop_back();
        }
        if from < self.unsaved_from {
            self.unsaved_from = from;
            self.truncate_from = Some(
                self.truncate_from
                    .map_or(from, |previous| previous.min(from)),
            );
        }
    }

    /// Returns entries from `from` up to `up_to`: at least one, further ones only within
    /// `max_bytes`.
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

    /// Removes the entries covered by a snapshot at `index` from memory, except the last ones
    /// within the given limits.
    pub(crate) fn trim_before(&mut self, index: LogIndex, max_entries: u64, max_bytes: usize) {
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

    /// Removes the entries up to and including `to` from memory.
    fn drop_through(&mut self, to: LogIndex) {
        let Some(term) = self.term_at(to) else { return };
        assert!(
            to < self.unsaved_from,
            "only entries already passed to the disk are removed from memory"
        );
        let count = usize::try_from(to.since(self.base_index)).unwrap_or(usize::MAX);
        self.entries.drain(..count);
        self.base_index = to;
        self.base_term = term;
        while self
            .member_sets
            .get(1)
            .is_some_and(|(entry_index, _)| *entry_index <= to)
        {
            self.member_sets.pop_front();
        }
    }

    /// Moves the entries and truncations that were not passed to the disk yet into a batch.
    pub(crate) fn take_unsaved(&mut self, batch: &mut PersistBatch) {
        batch.truncate_from = self.truncate_from.take();
        let last = self.last_index();
        batch.entries = self.slice(self.unsaved_from, last, usize::MAX);
        self.unsaved_from = last.next();
    }
}
