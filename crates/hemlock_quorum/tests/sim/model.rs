//! Reference model: a single copy of the log that every keeper's state is compared with.

use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_quorum::prelude::*;

/// The log as a single copy would hold it.
#[derive(Default)]
pub(crate) struct Model {
    pub(crate) committed: Vec<Entry>,
    state_hashes: Vec<u64>,
    pub(crate) leaders: BTreeMap<Term, KeeperId>,
    pub(crate) leaders_served: u64,
    commands: BTreeMap<ProposalToken, Bytes>,
    log_indexes: BTreeMap<Bytes, LogIndex>,
    pub(crate) accepted: BTreeMap<ProposalToken, LogIndex>,
    pub(crate) rejected: u64,
    pub(crate) undecided: u64,
    reads: BTreeMap<ProposalToken, LogIndex>,
    pub(crate) reads_done: u64,
}

/// Hash of the state after one more entry.
pub(crate) fn state_hash(before: u64, entry: &Entry) -> u64 {
    let bytes = postcard::to_stdvec(entry).expect("entries are encodable");
    let sum = u64::from(crc32fast::hash(&bytes));
    before.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17) ^ sum
}

impl Model {
    pub(crate) fn state_hash_at(&self, index: LogIndex) -> u64 {
        match index.0 {
            0 => 0,
            position => self.state_hashes[position as usize - 1],
        }
    }

    /// Compares an applied entry with the committed one. The first keeper that applies an index
    /// decides its entry.
    pub(crate) fn check_applied(&mut self, entry: &Entry) {
        let position = entry.index.0 as usize - 1;
        if let Some(earlier) = self.committed.get(position) {
            assert_eq!(earlier, entry, "a committed entry changed");
            return;
        }
        assert_eq!(
            self.committed.len(),
            position,
            "entries are committed in order"
        );
        self.state_hashes
            .push(state_hash(self.state_hash_at(entry.index.prev()), entry));
        self.committed.push(entry.clone());
        if let Some(command) = entry.command() {
            let previous = self.log_indexes.insert(command.clone(), entry.index);
            assert_eq!(previous, None, "a command was committed twice");
        }
        self.check_members();
    }

    fn check_members(&self) {
        let mut sets = self
            .committed
            .iter()
            .rev()
            .filter_map(|entry| match &entry.payload {
                Payload::Members(set) => Some(set),
                _ => None,
            });
        if let (Some(new), Some(old)) = (sets.next(), sets.next()) {
            assert!(new.voters_differing(old) <= 1, "two voters changed at once");
        }
    }

    /// The latest committed member set.
    pub(crate) fn members(&self) -> MemberSet {
        let member_set = |entry: &Entry| match &entry.payload {
            Payload::Members(set) => Some(set.clone()),
            _ => None,
        };
        self.committed
            .iter()
            .rev()
            .find_map(member_set)
            .unwrap_or_default()
    }

    pub(crate) fn check_leader(&mut self, term: Term, id: KeeperId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    pub(crate) fn record_proposal(&mut self, token: ProposalToken, command: Bytes) {
        self.commands.insert(token, command);
    }

    pub(crate) fn record_answer(
        &mut self,
        token: ProposalToken,
        result: Result<LogIndex, ProposeError>,
    ) {
        match result {
            Ok(index) => {
                if let Some(command) = self.commands.get(&token) {
                    let log_index = self.log_indexes.get(command);
                    assert_eq!(
                        log_index,
                        Some(&index),
                        "accepted, but not at its index in the log"
                    );
                }
                let previous = self.accepted.insert(token, index);
                assert_eq!(previous, None, "a proposal was accepted twice");
            }
            Err(ProposeError::Undecided(_)) => self.undecided += 1,
            Err(_) => {
                self.rejected += 1;
                if let Some(command) = self.commands.get(&token) {
                    let log_index = self.log_indexes.get(command);
                    assert_eq!(log_index, None, "rejected, but in the log");
                }
            }
        }
    }

    /// Records the index that a read starting now must see at least.
    pub(crate) fn record_read(&mut self, token: ProposalToken) {
        let seen = self.accepted.values().max().copied();
        self.reads.insert(token, seen.unwrap_or_default());
    }

    pub(crate) fn check_read(
        &mut self,
        token: ProposalToken,
        result: Result<LogIndex, ProposeError>,
    ) {
        let Ok(applied) = result else { return };
        let needed = self
            .reads
            .remove(&token)
            .expect("each read is completed once");
        assert!(applied >= needed, "stale read: {applied} before {needed}");
        self.reads_done += 1;
    }
}
