//! Commits entries and has them applied.

use super::Quorum;
use super::role_state::{RoleState, Waiting};
use crate::action::Action;
use crate::entry::{Entry, Payload};
use crate::ids::LogIndex;

impl Quorum {
    /// Commits what a quorum holds durably, if this leader made the last of it.
    pub(super) fn advance_commit(&mut self) {
        let Some(matched) = self
            .leading()
            .and_then(|leading| self.quorum_matched(leading))
        else {
            return;
        };
        if matched > self.commit && self.log.term_at(matched) == Some(self.hard.term) {
            self.commit_to(matched);
        }
    }

    pub(super) fn commit_to(&mut self, index: LogIndex) {
        if index <= self.commit {
            return;
        }
        assert!(index <= self.log.last_index(), "only held entries commit");
        self.commit = index;
        self.agreed = self.agreed.max(index);
    }

    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied.next();
            let entry = self
                .log
                .get(index)
                .cloned()
                .expect("memory keeps what is not applied");
            self.apply(entry);
        }
    }

    fn apply(&mut self, entry: Entry) {
        let index = entry.index;
        let states_members = matches!(entry.payload, Payload::Members(_));
        self.applied = index;
        self.applied_bytes += entry.size_bytes() as u64;
        self.out.push(Action::Apply(entry));
        self.answer_waiting(index);
        self.start_serving(index);
        if states_members {
            self.leave_if_removed();
        }
    }

    fn answer_waiting(&mut self, index: LogIndex) {
        let Some(leading) = self.leading_mut() else {
            return;
        };
        let due = leading
            .waiting
            .front()
            .is_some_and(|waiting| waiting.index == index);
        if !due {
            return;
        }
        if let Some(Waiting { token, bytes, .. }) = leading.waiting.pop_front() {
            leading.waiting_bytes -= bytes;
            let result = Ok(index);
            self.out.push(Action::ProposalDone { token, result });
        }
    }

    fn start_serving(&mut self, index: LogIndex) {
        let term = self.hard.term;
        let Some(leading) = self.leading_mut() else {
            return;
        };
        if !leading.serving && leading.first_index == index {
            leading.serving = true;
            self.out.push(Action::BecameLeader { term });
        }
    }

    /// A leader that was taken out of the set leads until that is committed.
    fn leave_if_removed(&mut self) {
        let leads = matches!(self.role, RoleState::Leader(_));
        if leads && !self.is_voter() && self.log.members_index() <= self.applied {
            self.become_follower(self.hard.term, None);
        }
    }

    pub(super) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex::ZERO, |snapshot| snapshot.head.index)
    }
}
