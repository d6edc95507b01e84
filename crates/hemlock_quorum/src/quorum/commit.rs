//! Commits entries and applies them.

use super::Quorum;
use super::role_state::{PendingProposal, RoleState};
use crate::action::Action;
use crate::entry::{Entry, Payload};
use crate::ids::LogIndex;

impl Quorum {
    /// Commits the entries that are durable on a quorum, if the last of them is from the current
    /// term. Entries of earlier terms are committed only together with one of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Some(matched) = self
            .leader_state()
            .and_then(|leader_state| self.quorum_matched(leader_state))
        else {
            return;
        };
        if matched > self.commit && self.log.term_at(matched) == Some(self.hard_state.term) {
            self.commit_to(matched);
        }
    }

    pub(super) fn commit_to(&mut self, index: LogIndex) {
        if index <= self.commit {
            return;
        }
        assert!(
            index <= self.log.last_index(),
            "only entries in the log can be committed"
        );
        self.commit = index;
        self.matched_index = self.matched_index.max(index);
    }

    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied.next();
            let entry = self
                .log
                .get(index)
                .cloned()
                .expect("unapplied entries are kept in memory");
            self.apply(entry);
        }
    }

    fn apply(&mut self, entry: Entry) {
        let index = entry.index;
        let changes_members = matches!(entry.payload, Payload::Members(_));
        self.applied = index;
        self.applied_bytes += entry.size_bytes() as u64;
        self.out.push(Action::Apply(entry));
        self.complete_proposal(index);
        self.start_serving(index);
        if changes_members {
            self.step_down_if_removed();
        }
    }

    fn complete_proposal(&mut self, index: LogIndex) {
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        let due = leader_state
            .pending_proposals
            .front()
            .is_some_and(|proposal| proposal.index == index);
        if !due {
            return;
        }
        if let Some(PendingProposal { token, bytes, .. }) =
            leader_state.pending_proposals.pop_front()
        {
            leader_state.pending_bytes -= bytes;
            let result = Ok(index);
            self.out.push(Action::ProposalDone { token, result });
        }
    }

    fn start_serving(&mut self, index: LogIndex) {
        let term = self.hard_state.term;
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        if !leader_state.serving && leader_state.first_index == index {
            leader_state.serving = true;
            self.out.push(Action::BecameLeader { term });
        }
    }

    /// Steps down as leader once the removal of this keeper from the voters has been applied.
    fn step_down_if_removed(&mut self) {
        let leads = matches!(self.role, RoleState::Leader(_));
        if leads && !self.is_voter() && self.log.members_index() <= self.applied {
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(super) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex::ZERO, |snapshot| snapshot.head.index)
    }
}
