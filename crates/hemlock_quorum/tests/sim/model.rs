//! The naive single copy that every keeper's state is compared with.

use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_quorum::prelude::*;

/// The log as one copy would hold it.
#[derive(Default)]
pub(crate) struct Model {
    pub(crate) committed: Vec<Entry>,
    chains: Vec<u64>,
    pub(crate) leaders: BTreeMap<Term, KeeperId>,
    pub(crate) leaders_served: u64,
    commands: BTreeMap<ProposalToken, Bytes>,
    places: BTreeMap<Bytes, LogIndex>,
    pub(crate) accepted: BTreeMap<ProposalToken, LogIndex>,
    pub(crate) refused: u64,
    pub(crate) undecided: u64,
    reads: BTreeMap<ProposalToken, LogIndex>,
    pub(crate) reads_done: u64,
}

/// The state after one more entry.
pub(crate) fn chain(before: u64, entry: &Entry) -> u64 {
    let bytes = postcard::to_stdvec(entry).expect("entries are encodable");
    let sum = u64::from(crc32fast::hash(&bytes));
    before.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17) ^ sum
}

impl Model {
    pub(crate) fn chain_at(&self, index: LogIndex) -> u64 {
        match index.0 {
            0 => 0,
            position => self.chains[position as usize - 1],
        }
    }

    /// The first keeper to apply an entry decides it for all.
    pub(crate) fn check_applied(&mut self, entry: &Entry) {
        let position = entry.index.0 as usize - 1;
        if let Some(earlier) = self.committed.get(position) {
            assert_eq!(earlier, entry, "a committed entry changed");
            return;
        }
        assert_eq!(self.committed.len(), position, "committed in order");
        self.chains
            .push(chain(self.chain_at(entry.index.prev()), entry));
        self.committed.push(entry.clone());
        if let Some(command) = entry.command() {
            let twice = self.places.insert(command.clone(), entry.index);
            assert_eq!(twice, None, "a command was committed twice");
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

    /// The latest committed keeper set.
    pub(crate) fn members(&self) -> MemberSet {
        let stated = |entry: &Entry| match &entry.payload {
            Payload::Members(set) => Some(set.clone()),
            _ => None,
        };
        self.committed
            .iter()
            .rev()
            .find_map(stated)
            .unwrap_or_default()
    }

    pub(crate) fn check_leader(&mut self, term: Term, id: KeeperId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    pub(crate) fn proposed(&mut self, token: ProposalToken, command: Bytes) {
        self.commands.insert(token, command);
    }

    pub(crate) fn answered(
        &mut self,
        token: ProposalToken,
        result: Result<LogIndex, ProposeError>,
    ) {
        match result {
            Ok(index) => {
                if let Some(command) = self.commands.get(&token) {
                    let place = self.places.get(command);
                    assert_eq!(place, Some(&index), "accepted, but not in the log");
                }
                let twice = self.accepted.insert(token, index);
                assert_eq!(twice, None, "answered twice");
            }
            Err(ProposeError::Undecided(_)) => self.undecided += 1,
            Err(_) => {
                self.refused += 1;
                if let Some(command) = self.commands.get(&token) {
                    let place = self.places.get(command);
                    assert_eq!(place, None, "refused, but in the log");
                }
            }
        }
    }

    /// What a read that starts now must see at least.
    pub(crate) fn asked(&mut self, token: ProposalToken) {
        let seen = self.accepted.values().max().copied();
        self.reads.insert(token, seen.unwrap_or_default());
    }

    pub(crate) fn read_done(
        &mut self,
        token: ProposalToken,
        result: Result<LogIndex, ProposeError>,
    ) {
        let Ok(applied) = result else { return };
        let needed = self.reads.remove(&token).expect("asked once");
        assert!(applied >= needed, "a stale read: {applied} before {needed}");
        self.reads_done += 1;
    }
}
